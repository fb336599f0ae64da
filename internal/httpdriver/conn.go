package httpdriver

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/timekeeper"
	"github.com/endivemast/endivemast/internal/transporter"
)

var errSealed = errors.New("connection given up")

// countingConn counts the bytes written to a connection, and can be sealed so that no more
// are written.
//
// The transport writes a request in a goroutine of its own. When the caller's context
// ends, the transport may return before that goroutine has started. Counting the written
// bytes at that moment would report "not sent" for a request that is sent a moment later.
// Therefore seal decides under the same lock as Write.
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	written       int64 // bytes accepted by the kernel
	pendingWrites int   // writes that have not returned
	sealed        bool
	owner         *attempt // the attempt that was given the connection last
}

// Write counts the bytes that the kernel accepts. It fails once the connection is sealed.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.pendingWrites++
	c.mu.Unlock()

	n, err := c.Conn.Write(b)

	c.mu.Lock()
	c.pendingWrites--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// setOwner makes an attempt the owner of the connection, and returns the number of bytes
// written for earlier attempts.
func (c *countingConn) setOwner(a *attempt) (startOffset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = a
	return c.written
}

// seal closes the connection and reports whether any byte of its owner's request, which
// starts at startOffset, was or may have been written. Nothing is written after it
// returns.
//
// The transport returns a connection to its pool once a body has been read to its end,
// before the reader has checked its contents. When a mismatched answer is found, another
// attempt may already own the connection. Its request is then not interrupted, because it
// checks the id that its own answer echoes.
func (c *countingConn) seal(owner *attempt, startOffset int64) (sent bool) {
	c.mu.Lock()
	if c.owner != owner {
		c.mu.Unlock()
		return true
	}
	c.sealed = true
	sent = c.written > startOffset || c.pendingWrites > 0
	c.mu.Unlock()

	_ = c.Close()
	return sent
}

// Close closes the connection and discards what the kernel has not sent yet.
//
// After a plain close the kernel goes on retransmitting the send buffer. An order or call
// that was abandoned during a network partition would be delivered after the partition has
// ended, long after its sender has lost the authority to send it. With a linger time of 0
// the kernel discards the buffer and resets the connection. This is done here rather than
// where a call is abandoned, because the transport closes connections by itself when a
// context ends. No request is lost with an idle connection.
func (c *countingConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// dial opens a connection on which the kernel stops retransmitting unacknowledged bytes
// after userTimeout. Without the timeout it retransmits for about 15 minutes, even while
// this process is suspended and can't close the connection: a suspension together with a
// network partition would deliver an order after its sender's lease has expired.
func dial(ctx context.Context, address string, timeout, userTimeout time.Duration) (*countingConn, error) {
	dialer := net.Dialer{Control: transporter.UserTimeout(userTimeout)}
	ctx, cancel := timekeeper.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}
