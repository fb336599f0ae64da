// Package networker is an in-memory network between named hosts, with the failures of a real
// one: links that drop packets, connections that go silent while new ones work, hosts that end
// without closing theirs. Connections behave like TCP where it matters to a caller: data that is
// not acknowledged is sent again at growing intervals until the user timeout, keep-alive probes
// find idle connections that no longer work, and opening a connection is tried again after one
// second.
//
// It uses only the time package and condition variables, so that it runs in a testing/synctest
// bubble.
//
// # Usage
//
//	network := networker.New(time.Millisecond)
//	listener, err := network.Host("a").Listen("10.0.0.1:80")
//	conn, err := network.Host("b").Dial(ctx, "10.0.0.1:80", connector.Options{})
//	network.SetCut("a", "b", true)
package networker

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/endivemast/endivemast/internal/connector"
)

const (
	// synRetryInterval is the time until the first packet of a connection is sent again; it
	// doubles.
	synRetryInterval = time.Second
	// maxBacklog bounds the connections that wait to be accepted.
	maxBacklog = 1024
)

// Network is the network. All methods are safe for concurrent use.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener // by address
	conns     map[*conn]struct{}   // both ends of each connection
	cuts      map[link]bool
	refused   map[link]bool // new connections are reset
}

// link is a direction between two hosts.
type link struct{ from, to string }

// New returns a network without hosts. latency is the time that a packet takes.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, cuts: map[link]bool{}, refused: map[link]bool{}}
}

// Host is the network as one host sees it. It implements connector.Network.
type Host struct {
	network *Network
	name    string

	isOff bool // guarded by network.mu
}

var _ connector.Network = (*Host)(nil)

// Host returns a host. After PowerOff, another one can have its name.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// SetCut sets whether packets from one host to another are dropped.
func (n *Network) SetCut(from, to string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = isCut
}

// SetRefused sets whether new connections from one host to another are refused. Open ones work.
func (n *Network) SetRefused(from, to string, isRefused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[link{from, to}] = isRefused
}

// Silence stops all transfers for good on the open connections between hosts for which match
// returns true.
func (n *Network) Silence(match func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.host.name, c.peer.host.name) {
			c.isSilent, c.peer.isSilent = true, true
		}
	}
}

// Reset resets the open connections between hosts for which match returns true.
func (n *Network) Reset(match func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.host.name, c.peer.host.name) {
			c.failLocked(syscall.ECONNRESET)
			c.peer.failLocked(syscall.ECONNRESET)
		}
	}
}

// PowerOff ends the host: nothing that it sends from now on arrives, and its peers' packets are
// answered with a reset.
func (h *Host) PowerOff() {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.isOff = true
	for _, l := range n.listeners {
		if l.host == h {
			l.closeLocked()
		}
	}
	for c := range n.conns {
		if c.host == h {
			c.failLocked(syscall.ENETDOWN)
		}
	}
}

// Listen implements connector.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil || h.isOff {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: address, backlog: make(chan *conn, maxBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial implements connector.Network.
func (h *Host) Dial(ctx context.Context, address string, options connector.Options) (net.Conn, error) {
	if options.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, options.Timeout)
		defer cancel()
	}
	for retry := synRetryInterval; ; retry *= 2 {
		if !wait(ctx, 2*h.network.latency) {
			return nil, dialError(address, os.ErrDeadlineExceeded)
		}
		c, err := h.connect(address, options)
		if !errors.Is(err, errDropped) {
			return c, err
		}
		if !wait(ctx, retry) {
			return nil, dialError(address, os.ErrDeadlineExceeded)
		}
	}
}

// errDropped means that a packet or the answer to it was dropped.
var errDropped = errors.New("packet dropped")

func dialError(address string, cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: cause}
}

// connect opens a connection if packets pass in both directions.
func (h *Host) connect(address string, options connector.Options) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	switch {
	case h.isOff || l != nil && !n.areConnectedLocked(h.name, l.host.name):
		return nil, errDropped
	case l == nil || len(l.backlog) == cap(l.backlog) || n.refused[link{h.name, l.host.name}]:
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
	local := newConn(h, addr(h.name+":0"), addr(address), options)
	remote := newConn(l.host, addr(address), addr(h.name+":0"), connector.Options{})
	local.peer, remote.peer = remote, local
	n.conns[local], n.conns[remote] = struct{}{}, struct{}{}
	local.startKeepAliveLocked()
	l.backlog <- remote
	return local, nil
}

// areConnectedLocked reports whether packets pass between two hosts in both directions.
func (n *Network) areConnectedLocked(a, b string) bool {
	return !n.cuts[link{a, b}] && !n.cuts[link{b, a}]
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// addr implements net.Addr.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	host    *Host
	address string
	backlog chan *conn
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.host.network.listeners[l.address] == l {
		delete(l.host.network.listeners, l.address)
		close(l.closed)
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
