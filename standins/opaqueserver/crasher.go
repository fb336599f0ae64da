package opaqueserver

import (
	"net"
	"sync"
	"time"
)

// crasherAddress is a loopback address that nothing else uses. While a Crasher
// is down, a client connection from 127.0.0.1 could otherwise take its port as
// its local port.
const crasherAddress = "127.0.0.2:0"

// crasherRetry is the delay before a Crasher tries again to listen on an
// address that is still in use.
const crasherRetry = 10 * time.Millisecond

// Crasher is an endpoint whose process crashes when its script requests it,
// with all requests in progress, and restarts some time later at the same
// address.
type Crasher struct {
	address  string
	downtime time.Duration
	script   func(x *Exchange, crash func())
	started  func(address string, start time.Time)

	crash chan struct{} // requests a crash
	done  chan struct{} // closed by Close
	group sync.WaitGroup

	mu    sync.Mutex
	seen  []Arrival
	ended []time.Time
}

// Arrival is a request and the time at which it arrived.
type Arrival struct {
	Request
	At time.Time
}

// StartCrasher starts an endpoint that stays down for some time after each
// crash. It calls started after each start, including the first one.
func StartCrasher(
	downtime time.Duration, started func(address string, start time.Time), script func(x *Exchange, crash func()),
) *Crasher {
	c := &Crasher{downtime: downtime, script: script, started: started, crash: make(chan struct{}, 1), done: make(chan struct{})}
	listener, err := net.Listen("tcp", crasherAddress)
	if err != nil {
		panic(err) // loopback is always available
	}
	c.address = listener.Addr().String()
	c.started(c.address, time.Now())
	c.group.Go(func() { c.run(listener) })
	return c
}

// Address returns the endpoint's IP and port, which restarts don't change.
func (c *Crasher) Address() string { return c.address }

// Close stops the endpoint without a restart.
func (c *Crasher) Close() {
	close(c.done)
	c.group.Wait()
}

// Crash ends the process. It has no effect while the process is down.
func (c *Crasher) Crash() {
	select {
	case c.crash <- struct{}{}:
	default:
	}
}

// Arrivals returns the requests that arrived at any of its processes.
func (c *Crasher) Arrivals() []Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Arrival(nil), c.seen...)
}

// Ended returns when its processes ended.
func (c *Crasher) Ended() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.ended...)
}

// run runs one process after the other until Close.
func (c *Crasher) run(listener net.Listener) {
	for listener != nil {
		server := serve(listener, c.handle, true)
		select {
		case <-c.done:
			server.Close()
			return
		case <-c.crash:
		}
		c.mu.Lock()
		c.ended = append(c.ended, time.Now())
		c.mu.Unlock()
		server.Close()
		listener = c.restart()
	}
}

func (c *Crasher) handle(x *Exchange) {
	c.mu.Lock()
	c.seen = append(c.seen, Arrival{Request: x.Request, At: time.Now()})
	c.mu.Unlock()
	c.script(x, c.Crash)
}

// restart waits for the downtime and listens again; it returns nil once the
// Crasher is closed.
func (c *Crasher) restart() net.Listener {
	wait := c.downtime
	for {
		select {
		case <-c.done:
			return nil
		case <-time.After(wait):
		}
		select {
		case <-c.crash: // drops a second request for the same crash
		default:
		}
		listener, err := net.Listen("tcp", c.address)
		if err == nil {
			c.started(c.address, time.Now())
			return listener
		}
		wait = crasherRetry
	}
}
