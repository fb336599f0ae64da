// Package opaqueserver is a stand-in for an endpoint of the users' platform
// that runs opaque requests. A script writes the bytes of each answer, so that
// answers can also be early, duplicated, mismatched, truncated or missing.
//
// # Usage
//
//	endpoint := opaqueserver.Start(func(x *opaqueserver.Exchange) {
//		x.Answer(200, "whole")
//	})
//	defer endpoint.Close()
package opaqueserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Signature is the header that marks an answer as written by the endpoint
// itself.
const Signature = "Server-Signature"

// Request is one request as it arrived.
type Request struct {
	Method string
	Path   string
	Host   string
	Header http.Header
	Body   string
	Conn   int // number of the connection, starting at 1
}

// ID returns the request's id.
func (r *Request) ID() string { return r.Header.Get("Request-Id") }

// Exchange is one request and the connection for its answer.
type Exchange struct {
	Request
	Conn   net.Conn
	Number int // number of the request at this endpoint, starting at 1
	isDone bool
}

// Script answers requests. The connection stays open after it returns, unless
// the script closed it.
type Script func(x *Exchange)

// Server is an endpoint on a loopback address.
type Server struct {
	listener net.Listener
	script   Script
	// readBodies makes the server read each body before the script runs; StartEarly unsets it.
	readBodies bool
	done       chan struct{} // closed by Close

	mu          sync.Mutex
	seen        []Request
	conns       map[net.Conn]bool
	number      int
	opened      int
	closedConns int    // connections that have ended
	cache       Script // answers cache event requests; nil: no events
	group       sync.WaitGroup
}

// Start starts an endpoint on loopback that reads bodies before the script
// runs.
func Start(script Script) *Server { return start(script, true) }

// StartOn is Start on a listener.
func StartOn(listener net.Listener, script Script) *Server { return serve(listener, script, true) }

// StartEarly starts an endpoint whose script runs before the body is read.
func StartEarly(script Script) *Server { return start(script, false) }

func start(script Script, readBodies bool) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // loopback is always there
	}
	return serve(listener, script, readBodies)
}

func serve(listener net.Listener, script Script, readBodies bool) *Server {
	s := &Server{listener: listener, script: script, readBodies: readBodies, conns: map[net.Conn]bool{}, done: make(chan struct{})}
	s.group.Go(s.accept)
	return s
}

// Address returns the endpoint's IP and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the endpoint and closes its connections.
func (s *Server) Close() {
	s.listener.Close()
	close(s.done)
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// Seen returns the requests that have arrived.
func (s *Server) Seen() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.seen...)
}

// Opened returns how many connections were opened so far.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// ClosedConns returns how many connections have ended.
func (s *Server) ClosedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedConns
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.opened++
		number := s.opened
		s.mu.Unlock()
		s.group.Go(func() { s.serve(conn, number) })
	}
}

func (s *Server) serve(conn net.Conn, number int) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.closedConns++
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request := Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: r.Header, Conn: number}
		if s.readBodies {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			request.Body = string(body)
		}
		if strings.HasPrefix(request.Path, cachePath) || request.Path == cacheListPath {
			s.answerCache(&Exchange{Request: request, Conn: conn})
			continue
		}
		s.mu.Lock()
		s.number++
		x := &Exchange{Request: request, Conn: conn, Number: s.number}
		s.seen = append(s.seen, request)
		s.mu.Unlock()
		s.script(x)
		if x.isDone {
			return
		}
	}
}

const (
	// cachePath and cacheListPath are the path prefix and the path of requests
	// for the events and the content of an engine's cache.
	cachePath     = "/api/kv-events"
	cacheListPath = "/api/kv-list"
	// cacheWait is how long an engine without cache events delays its answer.
	cacheWait = 200 * time.Millisecond
)

// ScriptCache sets the script for requests about the engine's cache. Seen does
// not return these requests, because hosts send them all the time.
func (s *Server) ScriptCache(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = script
}

func (s *Server) answerCache(x *Exchange) {
	s.mu.Lock()
	script := s.cache
	s.mu.Unlock()
	if script != nil {
		script(x)
		return
	}
	timer := time.NewTimer(cacheWait)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		x.Answer(http.StatusOK, `{"epoch":1,"next":0,"lost":false,"events":[]}`)
	}
}

// Write writes data unchanged.
func (x *Exchange) Write(data string) {
	if _, err := io.WriteString(x.Conn, data); err != nil && !errors.Is(err, net.ErrClosed) {
		x.isDone = true
	}
}

// Head writes the head of an answer to this request.
func (x *Exchange) Head(status int, headers ...string) {
	x.Write(Head(x.ID(), status, headers...))
}

// Head returns the head of an answer to the request with an id.
func Head(id string, status int, headers ...string) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s: signed\r\n", status, http.StatusText(status), id, Signature)
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// Answer writes a complete answer to this request.
func (x *Exchange) Answer(status int, body string, headers ...string) {
	x.Head(status, append(headers, fmt.Sprintf("Content-Length: %d", len(body)))...)
	x.Write(body)
}

// Chunk writes one chunk of an answer with chunked transfer encoding.
func (x *Exchange) Chunk(data string) { x.Write(fmt.Sprintf("%x\r\n%s\r\n", len(data), data)) }

// EndChunks ends a chunked answer.
func (x *Exchange) EndChunks() { x.Write("0\r\n\r\n") }

// Close closes the connection as after a complete answer.
func (x *Exchange) Close() {
	_ = x.Conn.Close()
	x.isDone = true
}

// Reset resets the connection as after a crash of the endpoint.
func (x *Exchange) Reset() {
	if tcp, ok := x.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close follows in any case
	}
	x.Close()
}

// Hang waits until the client closes the connection, at most for a given time,
// and reports whether it did.
func (x *Exchange) Hang(timeout time.Duration) (isClosed bool) {
	_ = x.Conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, which ends the read as well
	_, err := x.Conn.Read(make([]byte, 1))
	x.isDone = true
	var netErr net.Error
	return err != nil && (!errors.As(err, &netErr) || !netErr.Timeout())
}
