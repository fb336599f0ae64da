package opaqueserver

import (
	"net"
	"sync"
	"time"
)

// crasherAddress is a loopback address of its own: while a Crasher is away, the
// near end of somebody's connection from 127.0.0.1 can't take its port.
const crasherAddress = "127.0.0.2:0"

// crasherRetry is how long a Crasher waits where its address is not free yet.
const crasherRetry = 10 * time.Millisecond

// Crasher is an endpoint whose process ends when its script says so, with all
// that it has under way, and starts anew some time later at the same address.
type Crasher struct {
	address string
	away    time.Duration
	script  func(x *Exchange, crash func())
	started func(address string, start time.Time)

	crash chan struct{} // the process is to end
	done  chan struct{} // closed with the Crasher
	group sync.WaitGroup

	mu    sync.Mutex
	seen  []Arrival
	ended []time.Time
}

// Arrival is a request and when it came.
type Arrival struct {
	Request
	At time.Time
}

// StartCrasher starts an endpoint that is away for some time after each crash.
// Started is called after each start, the first included.
func StartCrasher(
	away time.Duration, started func(address string, start time.Time), script func(x *Exchange, crash func()),
) *Crasher {
	c := &Crasher{away: away, script: script, started: started, crash: make(chan struct{}, 1), done: make(chan struct{})}
	listener, err := net.Listen("tcp", crasherAddress)
	if err != nil {
		panic(err) // loopback is always there
	}
	c.address = listener.Addr().String()
	c.started(c.address, time.Now())
	c.group.Go(func() { c.live(listener) })
	return c
}

// Address is the endpoint's IP and port, the same over all its starts.
func (c *Crasher) Address() string { return c.address }

// Close ends the endpoint for good.
func (c *Crasher) Close() {
	close(c.done)
	c.group.Wait()
}

// Crash ends the process from outside; while it is away nothing happens.
func (c *Crasher) Crash() {
	select {
	case c.crash <- struct{}{}:
	default:
	}
}

// Arrivals are the requests that came to any of its processes.
func (c *Crasher) Arrivals() []Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Arrival(nil), c.seen...)
}

// Ended is when its processes ended.
func (c *Crasher) Ended() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.ended...)
}

// live runs one process after the other.
func (c *Crasher) live(listener net.Listener) {
	for listener != nil {
		server := serve(listener, c.take, true)
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

func (c *Crasher) take(x *Exchange) {
	c.mu.Lock()
	c.seen = append(c.seen, Arrival{Request: x.Request, At: time.Now()})
	c.mu.Unlock()
	c.script(x, c.Crash)
}

// restart waits and listens again; nil once the Crasher is closed.
func (c *Crasher) restart() net.Listener {
	wait := c.away
	for {
		select {
		case <-c.done:
			return nil
		case <-time.After(wait):
		}
		select {
		case <-c.crash: // what ended the process may have said so twice
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
