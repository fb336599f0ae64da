package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/budgeter"
)

// limitedListener limits the open connections, to a limit of its own and to what the budget
// allows. It closes connections that mayAccept rejects, and those that get no place within the
// limits: unaccepted, they would wait without an answer, whereas a closed connection makes the
// client try another host.
type limitedListener struct {
	net.Listener
	limit  int // 0: that of the budget
	budget *budgeter.Budget
	pool   budgeter.Pool
	// mayAccept reports whether a new connection is accepted.
	mayAccept func() bool
	// maxHeadBytes returns the largest size of a head; nil: net/http limits it.
	maxHeadBytes func() int
	isEncrypted  bool // the connections carry TLS
	// onRefuse is called for each connection and head that is refused; nil: no call.
	onRefuse func(reason error)

	mu     sync.Mutex
	conns  map[*clientConn]struct{}
	closed bool
	idle   chan struct{} // closed while no connection is open
}

// newLimitedListener returns a listener with a limit of open connections.
func newLimitedListener(inner net.Listener, limit int, budget *budgeter.Budget, pool budgeter.Pool) *limitedListener {
	l := &limitedListener{
		Listener: inner, limit: limit, budget: budget, pool: pool, mayAccept: func() bool { return true },
		conns: map[*clientConn]struct{}{}, idle: make(chan struct{}),
	}
	close(l.idle)
	return l
}

// Accept waits for a connection within the limits.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.mayAccept() {
			if c, err := l.admit(conn); err == nil {
				return c, nil
			}
		}
		_ = conn.Close() // the error of closing a rejected connection does not matter
	}
}

// admit counts a new connection. It fails if a limit is reached.
func (l *limitedListener) admit(conn net.Conn) (c *clientConn, err error) {
	if c, err = newClientConn(conn, l); err == nil && !l.add(c) {
		c.account.Close()
		err = budgeter.ErrTooManyConnections
	}
	if err != nil {
		l.countRefusal(err)
	}
	return c, err
}

// add counts a new connection. It returns false if the limit of the listener is reached.
func (l *limitedListener) add(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		return false
	}
	if len(l.conns) == 0 {
		l.idle = make(chan struct{})
	}
	l.conns[c] = struct{}{}
	return true
}

// remove counts a closed connection.
func (l *limitedListener) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if len(l.conns) == 0 {
		close(l.idle)
	}
}

func (l *limitedListener) countRefusal(reason error) {
	if l.onRefuse != nil {
		l.onRefuse(reason)
	}
}

// closeSlow closes connections whose heads began to arrive before a time and are incomplete, and
// those opened before a time without a first byte.
func (l *limitedListener) closeSlow(headBefore, openedBefore time.Time) {
	l.mu.Lock()
	var slow []*clientConn
	for c := range l.conns {
		if c.hasHeadSince(headBefore) || c.isSilentSince(openedBefore) {
			slow = append(slow, c)
		}
	}
	l.mu.Unlock()
	for _, c := range slow {
		_ = c.Close() // the request is not complete
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

type connKey struct{}

// withConn is the ConnContext of an http.Server. It makes the connection known to handlers.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, clientConnOf(conn))
}

// clientConnOf returns the connection below TLS; nil if it is of another listener.
func clientConnOf(conn net.Conn) *clientConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*clientConn)
	return c
}

// trackHead is a ConnState of an http.Server. It makes idle connections count the next head.
func trackHead(conn net.Conn, state http.ConnState) {
	if c := clientConnOf(conn); c != nil && state == http.StateIdle {
		c.startHead()
	}
}
