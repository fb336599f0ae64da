package storeserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// silenceableListener accepts connections that can stop transferring data without being closed.
type silenceableListener struct {
	net.Listener

	mu     sync.Mutex
	open   map[*silenceableConn]struct{}
	silent []net.Conn // closed with the listener
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silenceableConn{Conn: accepted, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

func (l *silenceableListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.isSilent.Store(true)
		l.silent = append(l.silent, conn.Conn)
	}
	clear(l.open)
}

// Close implements net.Listener. It closes the silent connections too.
func (l *silenceableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.silent {
		_ = conn.Close() // its client may have closed it
	}
	l.silent = nil
	return l.Listener.Close()
}

type silenceableConn struct {
	net.Conn

	listener  *silenceableListener
	isSilent  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. What arrives on a silent connection is lost.
func (c *silenceableConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if c.isSilent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *silenceableConn) Write(b []byte) (n int, err error) {
	if c.isSilent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The other side of a silent connection does not notice.
func (c *silenceableConn) Close() (err error) {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
		if !c.isSilent.Load() {
			err = c.Conn.Close()
		}
	})
	return err
}
