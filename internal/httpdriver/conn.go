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

// countingConn knows whether anything was written to it, and can be sealed so
// that nothing will be.
//
// The transport hands a request to a goroutine of its own to write. When the
// caller's context ends, the transport returns while that goroutine may not
// have begun: counting the written bytes at that moment would say "not sent"
// about a request that leaves a moment later. Hence the seal, which decides
// under the same lock as Write.
type countingConn struct {
	net.Conn

	mu       sync.Mutex
	written  int64 // bytes that the kernel has taken
	inFlight int   // writes that have begun and not returned
	sealed   bool
	owner    *attempt // the latest to be given the connection
}

// Write counts what the kernel took, and fails once the connection is sealed.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.inFlight++
	c.mu.Unlock()

	n, err := c.Conn.Write(b)

	c.mu.Lock()
	c.inFlight--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// own makes an attempt the connection's owner, and returns the number of
// bytes that were written for earlier ones.
func (c *countingConn) own(a *attempt) (mark int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = a
	return c.written
}

// seal closes the connection and says whether its owner's request was, or may
// have been, written: anything behind the mark. Nothing will be written after
// it returns.
//
// The transport puts a connection back into its pool once a body has been read
// to its end, before the reader has looked at what it read. Another attempt
// may own the connection by the time that a crossed answer is found; its
// request is then left alone, for it has an echo of its own to check.
func (c *countingConn) seal(owner *attempt, mark int64) (sent bool) {
	c.mu.Lock()
	if c.owner != owner {
		c.mu.Unlock()
		return true
	}
	c.sealed = true
	sent = c.written > mark || c.inFlight > 0
	c.mu.Unlock()

	_ = c.Close()
	return sent
}

// Close closes the connection and drops what the kernel has not yet sent.
//
// A plain close leaves the send buffer to the kernel, which goes on
// retransmitting it. An order or call that was given up during a network
// partition would so be delivered when the partition heals, long after its
// sender has lost the right to give it. With a linger of 0 the buffer is
// dropped and the peer, if it can be reached, sees a reset. The transport
// closes connections by itself when a context ends, so that it is done here
// and not where a call is given up. An idle connection has nothing to lose.
func (c *countingConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// dial opens a connection whose unacknowledged bytes are given up by the
// kernel after userTimeout. Without it the kernel retransmits for about a
// quarter of an hour, also while this process is paused and can't close the
// connection: a pause plus a partition would then deliver an order after its
// sender's lease has lapsed.
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
