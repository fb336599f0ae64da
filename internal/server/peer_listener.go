package server

import (
	"net"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/budgeter"
)

// peerPrefaceBytes is the size of what each connection of the peer protocol begins with.
const peerPrefaceBytes = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// peerListener limits the connections of peers to what the budget allows. It closes others
// immediately.
type peerListener struct {
	net.Listener
	budget   *budgeter.Budget
	onRefuse func(reason error)
}

// NewPeerListener returns a listener for the peer protocol, whose connections count towards the
// budget. onRefuse is called for each connection that is refused.
func NewPeerListener(inner net.Listener, budget *budgeter.Budget, onRefuse func(reason error)) net.Listener {
	return &peerListener{Listener: inner, budget: budget, onRefuse: onRefuse}
}

// Accept waits for a connection within the limits.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account, err := l.budget.Open(budgeter.Peers, func() { _ = conn.SetReadDeadline(inThePast) })
		if err == nil {
			return &peerConn{Conn: conn, account: account}, nil
		}
		l.onRefuse(err)
		_ = conn.Close() // the error of closing a rejected connection does not matter
	}
}

// peerConn is a connection of a peer. It can be evicted until the peer has sent its preface.
type peerConn struct {
	net.Conn
	account   *budgeter.Account
	received  int // up to peerPrefaceBytes; used by Read only
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if c.received < peerPrefaceBytes {
		if c.received += n; c.received >= peerPrefaceBytes {
			if evicted := c.account.Begin(budgeter.Running); evicted != nil {
				return 0, evicted
			}
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline unless the connection was evicted: its reads stay ended.
func (c *peerConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.account.IsEvicted() {
		return c.Conn.SetReadDeadline(inThePast)
	}
	return err
}

// SetDeadline is SetReadDeadline with the same deadline for writes.
func (c *peerConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close closes the connection and releases what it holds.
func (c *peerConn) Close() error {
	c.closeOnce.Do(c.account.Close)
	return c.Conn.Close()
}
