// Package hoster runs the HTTP server of a stand-in, and can simulate a crash
// of its process.
//
// # Usage
//
//	h, err := hoster.New("127.0.0.1:0", handler)
//	fmt.Println(h.Address())
//	h.Abort()       // resets all connections without waiting
//	err = h.Close() // waits for the handlers
package hoster

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// MaxBodyBytes is the largest request body that ReadJSON accepts.
const MaxBodyBytes = 8 << 20

// Host is a listening HTTP server.
type Host struct {
	listener net.Listener
	server   *http.Server
	group    errgroup.Group
	handlers sync.WaitGroup

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	aborted bool
	closed  bool // no more handlers are started
}

// New listens on an address and serves the handler there.
func New(address string, handler http.Handler) (_ *Host, err error) {
	defer func() { err = eris.Wrapf(err, "host on %s", address) }()

	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &Host{listener: listener, conns: make(map[net.Conn]struct{})}
	h.server = &http.Server{Handler: h.trackHandlers(handler), ConnState: h.connState}
	h.group.Go(func() error {
		if err := h.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	return h, nil
}

// Address returns the IP and port that the host listens on.
func (h *Host) Address() string { return h.listener.Addr().String() }

// Abort closes the listener and resets all connections. It does not wait, so
// that a handler may call it.
func (h *Host) Abort() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.aborted = true
	h.listener.Close()
	for conn := range h.conns {
		reset(conn)
	}
}

// Shutdown accepts no new connections and waits until all handlers have
// returned or ctx ends.
func (h *Host) Shutdown(ctx context.Context) error {
	return eris.Wrap(h.server.Shutdown(ctx), "shut down host")
}

// Close closes the listener and all connections and waits for the handlers.
func (h *Host) Close() error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()

	err := h.server.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // after Abort
	}
	err = errors.Join(err, h.group.Wait())
	h.handlers.Wait()
	return eris.Wrap(err, "close host")
}

func (h *Host) trackHandlers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.beginHandler() {
			ResetConn(w)
			return
		}
		defer h.handlers.Done()
		handler.ServeHTTP(w, r)
	})
}

func (h *Host) beginHandler() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.aborted {
		return false
	}
	h.handlers.Add(1)
	return true
}

func (h *Host) connState(conn net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateNew:
		h.conns[conn] = struct{}{}
		if h.aborted {
			reset(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// ResetConn resets the connection of a request, also when a part of the answer
// has been written.
func ResetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		reset(conn)
	}
}

// ReadJSON decodes a request's body into v. An empty body leaves v unchanged.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil || len(body) == 0 {
		return eris.Wrap(err, "read request")
	}
	return eris.Wrap(json.Unmarshal(body, v), "decode request")
}

// WriteJSON writes a complete answer.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
