package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivemast/endivemast/internal/budgeter"
)

// What the head of a request costs once it is parsed and forwarded. A line of a few bytes takes
// many times its size: entries of maps, slices and strings.
const (
	headLineBytes = 192
	headByteBytes = 4
	// shortestLineBytes is the size of the shortest header line.
	shortestLineBytes = 4
)

const (
	// refusalRetryAfter is the Retry-After, in seconds, of requests refused for lack of memory.
	// Stalled clients are evicted sooner.
	refusalRetryAfter = "1"
	// lingerTime and lingerBytes bound what is read after a refusal, so that the client can read
	// it: a connection that is closed with unread bytes is reset.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
	// receiveBufferBytes bounds what the kernel receives for a connection whose bytes are not read.
	receiveBufferBytes = 64 << 10
)

// ErrHeaderTooLarge means that the header of a request exceeds the limit.
var ErrHeaderTooLarge = errors.New("header of the request exceeds the limit")

// errRefused ends a read without an answer by net/http, which takes it for a broken connection.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request refused")}

// inThePast is a deadline that ends reads at once.
var inThePast = time.Unix(1, 0)

// clientConn is a client's connection. It reserves memory for the heads of requests before
// net/http parses them, and releases its place in the listener on Close.
type clientConn struct {
	net.Conn
	listener *limitedListener
	account  *budgeter.Account
	// maxHeadBytes returns the largest size of a head; nil: net/http limits it.
	maxHeadBytes func() int
	// isEncrypted is true below TLS: lines can't be counted, and nothing can be written.
	isEncrypted bool
	openedAt    time.Time
	closeOnce   sync.Once

	isInBody  atomic.Bool  // the head of the present request is complete
	headSince atomic.Int64 // time of the head's first byte, in Unix nanoseconds; 0: none has arrived
	hasServed atomic.Bool  // a request was answered
	isShared  atomic.Bool  // it carries requests with accounts of their own
	// isLingering is true once what the client still sends is discarded: an eviction has taken effect.
	isLingering atomic.Bool

	headMu sync.Mutex // net/http may read while a handler starts
	head   headCounter
}

// headCounter counts the bytes and lines of a head.
type headCounter struct {
	bytes, lines int
	line         lineContent // of the present line
	hasText      bool        // a line that is not empty has ended
	isComplete   bool
}

// lineContent is what a line holds so far.
type lineContent int

const (
	lineEmpty  lineContent = iota
	lineReturn             // a carriage return
	lineText
)

// add returns the content of a line after more of it.
func (l lineContent) add(data []byte) lineContent {
	switch {
	case len(data) == 0:
		return l
	case l == lineEmpty && len(data) == 1 && data[0] == '\r':
		return lineReturn
	default:
		return lineText
	}
}

// add counts bytes up to the empty line after the head. It may see the end later than net/http
// does, and never earlier.
func (h *headCounter) add(data []byte) {
	for len(data) > 0 && !h.isComplete {
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			h.bytes += len(data)
			h.line = h.line.add(data)
			return
		}
		h.bytes += n + 1
		h.lines++
		isText := h.line.add(data[:n]) == lineText
		h.isComplete = h.hasText && !isText // empty lines before a request do not end its head
		h.hasText = h.hasText || isText
		h.line = lineEmpty
		data = data[n+1:]
	}
}

// cost returns the memory that the head takes.
func (h *headCounter) cost() int64 { return headCost(h.bytes, h.lines) }

func headCost(size, lines int) int64 { return int64(size)*headByteBytes + int64(lines)*headLineBytes }

// requestCost returns the memory that the parsed head of a request takes.
func requestCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 2
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return headCost(size, lines)
}

// newClientConn opens an account for a connection. The error is that of the budget.
func newClientConn(conn net.Conn, l *limitedListener) (c *clientConn, err error) {
	c = &clientConn{Conn: conn, listener: l, maxHeadBytes: l.maxHeadBytes, isEncrypted: l.isEncrypted, openedAt: time.Now()}
	c.account, err = l.budget.Open(l.pool, func() { _ = conn.SetReadDeadline(inThePast) })
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes) // without it the kernel's default applies
	}
	return c, nil
}

// Read reads bytes of the client. While a head arrives, it reserves what the head takes, and
// refuses the request if that fails.
func (c *clientConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if c.isInBody.Load() {
		return n, err
	}
	if n > 0 {
		c.headSince.CompareAndSwap(0, time.Now().UnixNano())
		if refusal := c.reserveHead(p[:n]); refusal != nil {
			return 0, c.refuse(refusal)
		}
	}
	if err != nil && c.account.IsEvicted() {
		return 0, c.refuse(budgeter.ErrEvicted)
	}
	return n, err
}

// reserveHead reserves memory for a part of a head.
func (c *clientConn) reserveHead(data []byte) error {
	before, size, cost := c.countHead(data)
	if before == 0 {
		_ = c.account.Begin(budgeter.Waiting) // an eviction is returned by Reserve
	}
	if c.maxHeadBytes != nil && size > c.maxHeadBytes() {
		return ErrHeaderTooLarge
	}
	return c.account.Reserve(context.Background(), cost-before)
}

// countHead counts a part of a head. It returns the cost of the head before and after, and its size.
func (c *clientConn) countHead(data []byte) (before int64, size int, cost int64) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	before = c.head.cost()
	if c.isEncrypted {
		c.head.bytes += len(data)
		c.head.lines += (len(data) + shortestLineBytes - 1) / shortestLineBytes
	} else {
		c.head.add(data)
		c.isInBody.Store(c.head.isComplete)
	}
	return before, c.head.bytes, c.head.cost()
}

// endHead returns what was reserved for the head of a request that is parsed now.
func (c *clientConn) endHead() int64 {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.isInBody.Store(true)
	return c.head.cost()
}

// refuse answers a request whose head has not been parsed, so that it has not run, and returns the
// error that makes net/http close the connection. A client that has sent nothing gets no answer.
// What was reserved stays so until then: net/http holds what it has parsed.
func (c *clientConn) refuse(reason error) error {
	c.listener.countRefusal(reason)
	if c.isEncrypted || c.headSince.Load() == 0 {
		return errRefused
	}
	status, headers := http.StatusServiceUnavailable, "Retry-After: "+refusalRetryAfter+"\r\n"
	if errors.Is(reason, ErrHeaderTooLarge) {
		status, headers = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	body := reason.Error() + "\n"
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), headers, body)
	if err == nil && !errors.Is(reason, budgeter.ErrEvicted) { // a stalled client has nothing on its way
		c.linger()
	}
	return errRefused
}

// linger ends the answers of the connection and discards what the client still sends.
func (c *clientConn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes)) // the connection is closed in any case
}

// SetReadDeadline sets the deadline unless the connection was evicted: its reads stay ended.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.account.IsEvicted() && !c.isLingering.Load() {
		return c.Conn.SetReadDeadline(inThePast)
	}
	return err
}

// share makes the connection carry requests with accounts of their own (HTTP/2). Its bytes are not
// counted any more, and it is not evicted before it is idle.
func (c *clientConn) share() error {
	c.isShared.Store(true)
	c.isInBody.Store(true)
	return c.account.Share()
}

// startHead prepares for the head of the next request on the connection.
func (c *clientConn) startHead() {
	if c.isShared.Load() {
		_ = c.account.Begin(budgeter.Waiting) // an evicted connection closes
		return
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = headCounter{}
	c.headSince.Store(0)
	c.hasServed.Store(true)
	c.isInBody.Store(false)
}

// hasHead reports whether a part of the next head has arrived.
func (c *clientConn) hasHead() bool { return c.headSince.Load() != 0 }

// isSilentSince reports whether the connection was opened before a time and has received nothing.
func (c *clientConn) isSilentSince(before time.Time) bool {
	return c.openedAt.Before(before) && !c.hasHead() && !c.hasServed.Load()
}

// hasHeadSince reports whether the present head began to arrive before a time and is incomplete.
func (c *clientConn) hasHeadSince(before time.Time) bool {
	since := c.headSince.Load()
	return since != 0 && since < before.UnixNano() && !c.isInBody.Load()
}

// Close closes the connection and releases what it holds.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.account.Close()
		c.listener.remove(c)
	})
	return c.Conn.Close()
}
