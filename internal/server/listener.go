package server

import (
	"context"
	"net"
	"sync"
)

// countedListener counts its open connections, and closes those over the limit
// at once: left waiting unaccepted, their clients would hear nothing, where a
// closed connection sends them to another host.
type countedListener struct {
	net.Listener
	limit int

	mu     sync.Mutex
	open   int
	closed bool
	none   chan struct{} // closed while no connection is open
}

// newCountedListener wraps a listener.
func newCountedListener(inner net.Listener, limit int) *countedListener {
	l := &countedListener{Listener: inner, limit: limit, none: make(chan struct{})}
	close(l.none)
	return l
}

// Accept waits for a connection within the limit.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.add() {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close() // the client sees it closed; there is nothing else to tell
	}
}

// add counts a connection, and returns false when it is one too many.
func (l *countedListener) add() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	if l.open == 0 {
		l.none = make(chan struct{})
	}
	l.open++
	return true
}

// remove counts a connection off.
func (l *countedListener) remove() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.open == 0 {
		close(l.none)
	}
}

// waitNone waits until no connection is open, or ctx ends.
func (l *countedListener) waitNone(ctx context.Context) {
	l.mu.Lock()
	none := l.none
	l.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}

// stop closes the listener; closing it again is no error.
func (l *countedListener) stop() { _ = l.Close() }

// Close closes the listener once.
func (l *countedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}

// countedConn counts itself off when it closes.
type countedConn struct {
	net.Conn
	listener *countedListener
	once     sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.listener.remove)
	return c.Conn.Close()
}
