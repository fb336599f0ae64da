package server

import (
	"context"
	"net"
	"sync"
)

// limitedListener limits the number of open connections. It closes connections beyond the
// limit, and those that mayAccept rejects, immediately: unaccepted, they would wait without an answer, whereas a closed
// connection makes the client try another host.
type limitedListener struct {
	net.Listener
	limit int
	// mayAccept reports whether a new connection is accepted.
	mayAccept func() bool

	mu     sync.Mutex
	open   int
	closed bool
	idle   chan struct{} // closed while no connection is open
}

// newLimitedListener returns a listener with a limit of open connections.
func newLimitedListener(inner net.Listener, limit int) *limitedListener {
	l := &limitedListener{Listener: inner, limit: limit, mayAccept: func() bool { return true }, idle: make(chan struct{})}
	close(l.idle)
	return l
}

// Accept waits for a connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.mayAccept() && l.add() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close() // the error of closing a rejected connection does not matter
	}
}

// add counts a new connection. It returns false if the limit is reached.
func (l *limitedListener) add() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	if l.open == 0 {
		l.idle = make(chan struct{})
	}
	l.open++
	return true
}

// remove counts a closed connection.
func (l *limitedListener) remove() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.open == 0 {
		close(l.idle)
	}
}

// waitUntilIdle waits until no connection is open or ctx ends.
func (l *limitedListener) waitUntilIdle(ctx context.Context) {
	l.mu.Lock()
	idle := l.idle
	l.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// stop closes the listener. It may be called repeatedly.
func (l *limitedListener) stop() { _ = l.Close() }

// Close closes the listener. Later calls do nothing.
func (l *limitedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}

// limitedConn is a connection that releases its place in the limit on Close.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close closes the connection and releases its place.
func (c *limitedConn) Close() error {
	c.once.Do(c.listener.remove)
	return c.Conn.Close()
}
