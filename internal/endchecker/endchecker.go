// Package endchecker decides whether an HTTP response that has neither a length nor chunks is complete
// when its connection ends.
//
// The kernel reports the failure of a connection, such as a reset or the user timeout, to one call only. If
// the request is still being written, that call may be the write. A read then returns the end of file, as if
// the peer had ended the connection after a complete response. Therefore the response is complete only if the
// write has not failed either.
//
// # Usage
//
//	conn := endchecker.New(tcp) // requests are written to conn
//	n, err := body.Read(p)
//	if err == io.EOF {
//		err = conn.CheckEnd() // nil: the peer has ended the connection
//	}
package endchecker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection that keeps the first error of its writes. It is safe for concurrent use.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held while a write is pending
	writeErr error
}

// New returns a Conn over conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// CheckEnd is called after a read has returned io.EOF. It closes the connection, waits for pending writes, and
// returns an error that wraps io.ErrUnexpectedEOF if the connection failed before the peer ended it.
func (c *Conn) CheckEnd() error {
	_ = c.Close() // ends a pending write; the connection has ended or failed
	c.mu.Lock()
	defer c.mu.Unlock()
	if isFailure(c.writeErr) {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, c.writeErr)
	}
	return nil
}

// isFailure reports whether an error of a write shows that the connection failed before the peer ended it.
//
// Once the peer has ended the connection, Linux reports a reset as EPIPE. Other systems report ECONNRESET in
// both cases, so that a complete response may count as a cut one there. net.ErrClosed is the error of a write
// that was pending when this host closed the connection.
func isFailure(writeErr error) bool {
	return writeErr != nil && !errors.Is(writeErr, syscall.EPIPE) && !errors.Is(writeErr, net.ErrClosed)
}
