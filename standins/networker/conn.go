package networker

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/endivemast/endivemast/internal/connector"
)

const (
	minRetransmitInterval = 200 * time.Millisecond
	maxUnacknowledged     = 4 << 20 // bytes; more wait in Write
)

// conn is one end of a connection. Its fields are guarded by the network's mutex.
type conn struct {
	host          *Host
	peer          *conn
	local, remote addr
	options       connector.Options
	changed       *sync.Cond

	received   []byte
	isEnded    bool   // the peer has closed its end, and all data has been received
	outgoing   []byte // not delivered yet
	unacked    int    // bytes that are not acknowledged
	isEnding   bool   // this end has been closed, and the peer is to be told
	isClosed   bool
	isSilent   bool
	err        error // of all further calls
	sendTimer  *time.Timer
	isSending  bool
	retransmit time.Duration
	unackedAt  time.Time // since when data is unacknowledged; zero: none is

	keepAlive *time.Timer
	missed    int // keep-alive probes without an answer

	readDeadline, writeDeadline deadline
}

// deadline wakes up the calls that wait on a connection.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) hasPassed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newConn(host *Host, local, remote addr, options connector.Options) *conn {
	return &conn{host: host, local: local, remote: remote, options: options, changed: sync.NewCond(&host.network.mu)}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (n int, err error) {
	mu := &c.host.network.mu
	mu.Lock()
	defer mu.Unlock()
	for {
		switch {
		case c.isClosed:
			return 0, net.ErrClosed
		case len(c.received) > 0:
			n = copy(b, c.received)
			c.received = c.received[n:]
			return n, nil
		case c.err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: c.err}
		case c.isEnded:
			return 0, io.EOF
		case c.readDeadline.hasPassed():
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (n int, err error) {
	mu := &c.host.network.mu
	mu.Lock()
	defer mu.Unlock()
	for {
		switch {
		case c.isClosed:
			return 0, net.ErrClosed
		case c.err != nil:
			return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.err}
		case c.writeDeadline.hasPassed():
			return 0, os.ErrDeadlineExceeded
		case c.unacked < maxUnacknowledged:
			c.outgoing = append(c.outgoing, b...)
			c.unacked += len(b)
			c.startSendingLocked()
			return len(b), nil
		}
		c.changed.Wait()
	}
}

// Close implements net.Conn. Data that has been written is still sent.
func (c *conn) Close() error {
	mu := &c.host.network.mu
	mu.Lock()
	defer mu.Unlock()
	if c.isClosed {
		return net.ErrClosed
	}
	c.isClosed, c.isEnding = true, c.err == nil
	c.stopLocked(c.keepAlive)
	c.changed.Broadcast()
	if c.isEnding {
		c.startSendingLocked()
	} else {
		c.removeLocked()
	}
	return nil
}

func (c *conn) stopLocked(timer *time.Timer) {
	if timer != nil {
		timer.Stop()
	}
}

func (c *conn) removeLocked() {
	delete(c.host.network.conns, c)
	c.stopLocked(c.sendTimer)
	c.stopLocked(c.keepAlive)
}

// failLocked makes all further calls fail.
func (c *conn) failLocked(err error) {
	if c.err == nil {
		c.err = err
	}
	c.isEnding = false
	c.removeLocked()
	c.changed.Broadcast()
}

// startSendingLocked sends what is to be sent after the latency of the network.
func (c *conn) startSendingLocked() {
	if c.isSending || c.err != nil {
		return
	}
	c.isSending, c.retransmit = true, minRetransmitInterval
	c.resetSendTimerLocked(c.host.network.latency)
}

func (c *conn) resetSendTimerLocked(d time.Duration) {
	if c.sendTimer == nil {
		c.sendTimer = time.AfterFunc(d, c.send)
		return
	}
	c.sendTimer.Reset(d)
}

// send delivers what is to be sent, or tries again later.
func (c *conn) send() {
	n := c.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.err != nil || !c.isSending {
		return
	}
	peerHost := c.peer.host
	passes := !c.isSilent && !c.host.isOff && !n.cuts[link{c.host.name, peerHost.name}]
	returns := !n.cuts[link{peerHost.name, c.host.name}]
	if passes && (c.peer.isClosed || c.peer.err != nil) && returns {
		c.failLocked(syscall.ECONNRESET)
		return
	}
	if passes {
		c.deliverLocked()
	}
	if passes && returns {
		c.acknowledgedLocked()
		return
	}
	c.retryLocked()
}

func (c *conn) deliverLocked() {
	if c.peer.isClosed || c.peer.err != nil {
		return
	}
	c.peer.received = append(c.peer.received, c.outgoing...)
	c.outgoing = nil
	c.peer.isEnded = c.isEnding
	c.peer.changed.Broadcast()
}

func (c *conn) acknowledgedLocked() {
	c.isSending, c.unacked, c.unackedAt = false, 0, time.Time{}
	c.changed.Broadcast()
	if c.isEnding {
		c.isEnding = false
		c.removeLocked()
	}
}

func (c *conn) retryLocked() {
	now := time.Now()
	if c.unackedAt.IsZero() {
		c.unackedAt = now
	}
	next := c.retransmit
	if timeout := c.options.UserTimeout; timeout > 0 {
		left := timeout - now.Sub(c.unackedAt)
		if left <= 0 {
			c.failLocked(syscall.ETIMEDOUT)
			return
		}
		next = min(next, left)
	}
	c.retransmit *= 2
	c.resetSendTimerLocked(next)
}

// startKeepAliveLocked starts the keep-alive probes of this end.
func (c *conn) startKeepAliveLocked() {
	if c.options.KeepAlive.Enable && c.options.KeepAlive.Interval > 0 {
		c.keepAlive = time.AfterFunc(c.options.KeepAlive.Interval, c.probe)
	}
}

// probe sends a keep-alive probe, unless data is unacknowledged.
func (c *conn) probe() {
	n := c.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.err != nil || c.isClosed {
		return
	}
	switch {
	case !c.unackedAt.IsZero():
		c.missed = 0
	case c.isSilent || c.host.isOff || !n.areConnectedLocked(c.host.name, c.peer.host.name):
		c.missed++
	case c.peer.isClosed || c.peer.err != nil:
		c.failLocked(syscall.ECONNRESET)
		return
	default:
		c.missed = 0
	}
	if c.missed > c.options.KeepAlive.Count {
		c.failLocked(syscall.ETIMEDOUT)
		return
	}
	c.keepAlive.Reset(c.options.KeepAlive.Interval)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// IsIdle reports whether the connection is open and has received nothing.
func (c *conn) IsIdle() bool {
	mu := &c.host.network.mu
	mu.Lock()
	defer mu.Unlock()
	return !c.isClosed && c.err == nil && !c.isEnded && len(c.received) == 0
}

// SetLinger makes Close drop the data that has not been sent if sec is 0.
func (c *conn) SetLinger(sec int) error {
	mu := &c.host.network.mu
	mu.Lock()
	defer mu.Unlock()
	if sec == 0 {
		c.outgoing = nil
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	c.setDeadline(&c.writeDeadline, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.writeDeadline, t)
	return nil
}

func (c *conn) setDeadline(d *deadline, t time.Time) {
	mu := &c.host.network.mu
	mu.Lock()
	defer mu.Unlock()
	c.stopLocked(d.timer)
	d.at, d.timer = t, nil
	if !t.IsZero() {
		d.timer = time.AfterFunc(time.Until(t), func() {
			mu.Lock()
			defer mu.Unlock()
			c.changed.Broadcast()
		})
	}
	c.changed.Broadcast()
}
