package pathwatcher

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

const (
	// silenceTimeout is how long nothing arrives from any endpoint of an application before
	// those with calls in flight are probed.
	silenceTimeout = 300 * time.Millisecond
	// loneProbeDelay is how long a single endpoint is silent before it is probed, and
	// loneSilenceTimeout how long before probes that time out count while other endpoints are
	// reached. Sound endpoints pause for a second, and the first packet of a connection is sent
	// again after one.
	loneProbeDelay     = time.Second
	loneSilenceTimeout = 2 * time.Second
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the shortest time between two probes of an endpoint.
	probeInterval = 250 * time.Millisecond
	// idleProbeInterval is the time between probes of an unreached endpoint that no peer
	// reaches either.
	idleProbeInterval = time.Second
	// maxProbes bounds the probes in flight.
	maxProbes = 8
	// maxComparedEndpoints is how many other endpoints are compared with one that refuses
	// connections.
	maxComparedEndpoints = 3
	// lostSample is how many unreached endpoints show that a host reaches none of a larger
	// application, if nothing has arrived from any of its endpoints since.
	lostSample = 16
	// refusalGrace is how long other calls to an endpoint may still be in flight after it has
	// refused a connection: they end with its process.
	refusalGrace = 100 * time.Millisecond
	// exitJudgingTime bounds the time to confirm an exit.
	exitJudgingTime = 500 * time.Millisecond
	// contactTime and idleContactTime are for how long after its last data a connection with a call in
	// flight, and an idle one, show that a process is alive. Both are shorter than loneSilenceTimeout,
	// after which a machine without power is noticed.
	contactTime     = 200 * time.Millisecond
	idleContactTime = time.Second
	// pingTimeout bounds the wait for an answer over an idle connection. The connection is lost after
	// it, and a process that is busy answers late.
	pingTimeout = loneSilenceTimeout
	// pingInterval is the shortest time between two pings of an endpoint.
	pingInterval = 250 * time.Millisecond
	// aliveDelay is how long connections may stay open after the process has exited.
	aliveDelay = 50 * time.Millisecond
	// recentContact is how recently data must have arrived from a process for a peer's report
	// of its exit to be verified by a probe.
	recentContact = 2 * time.Second
)

// Endpoint is a listed endpoint that takes work.
type Endpoint struct {
	Target      driver.Target
	Application string
	// IsAuxiliary is true for an endpoint that can't serve a request without another one, such
	// as an engine that only prefills.
	IsAuxiliary bool
}

// path is what is known of this host's path to one process of an endpoint. Its fields are
// guarded by the Watcher's mutex, except receivedAt.
type path struct {
	Endpoint
	process     driver.Process
	application *application

	receivedAt atomic.Int64 // time of the latest data or accepted connection, Unix ns
	calls      int          // in flight
	waitingAt  time.Time    // since when calls have been in flight without interruption

	// connectFailedAt is the time of the latest connection that was refused or timed out, and
	// brokenAt that of the latest call that ended without an answer.
	connectFailedAt, brokenAt time.Time
	wasRefused                bool      // the connection that failed at connectFailedAt
	connectedAt               time.Time // of the latest probe that succeeded

	isUnreached bool
	isPinging   bool      // an idle connection is being verified
	pingedAt    time.Time // start of the latest ping
	isProbing   bool
	probedAt    time.Time // start of the latest probe
	// refusedAt is the time of a refused connection that is not judged yet; zero: none.
	refusedAt time.Time
	judged    chan struct{} // closed when it is judged
	isAsking  bool          // other hosts are asked about it
	exitedAt  time.Time     // when the exit was confirmed; zero: it was not
	// isReported is true while a probe verifies a peer's report of an exit, and isExitReported once
	// that probe was refused.
	isReported, isExitReported bool

	isSetAside        bool // it refuses the connections of several hosts
	setAsideAt        time.Time
	isVerifying       bool      // a probe verifies peers' refused connections
	contradictedUntil time.Time // until when peers' refused connections are ignored
}

func (p *path) receive(now time.Time) {
	p.receivedAt.Store(now.UnixNano())
	p.application.receivedAt.Store(now.UnixNano())
}

func (p *path) lastReceived() time.Time { return time.Unix(0, p.receivedAt.Load()) }

// hasFailed reports whether the latest connection failed and nothing has arrived since.
func (p *path) hasFailed() bool { return p.connectFailedAt.After(p.lastReceived()) }

// silence returns for how long calls in flight have received nothing; 0: none is in flight.
func (p *path) silence(now time.Time) time.Duration {
	if p.calls == 0 {
		return 0
	}
	since := p.waitingAt
	if received := p.lastReceived(); received.After(since) {
		since = received
	}
	return now.Sub(since)
}

// isSuspect reports whether the path has to be probed.
func (p *path) isSuspect(now time.Time) bool {
	silence := p.silence(now)
	return p.brokenAt.After(p.lastReceived()) || silence >= loneProbeDelay ||
		silence >= silenceTimeout && p.application.silence(now) >= silenceTimeout
}

// isQuiet reports whether nothing is to be decided about the path.
func (p *path) isQuiet() bool {
	return p.calls == 0 && !p.isUnreached && !p.isPinging && !p.isProbing && !p.isReported && !p.isSetAside && !p.isVerifying && p.refusedAt.IsZero() && !p.hasFailed() &&
		!p.brokenAt.After(p.lastReceived())
}

// use implements driver.PathUse.
type use struct {
	watcher *Watcher
	path    *path
}

// Received implements driver.PathUse.
func (u *use) Received() { u.path.receive(u.watcher.cfg.Now()) }

// End implements driver.PathUse.
func (u *use) End(err error) { u.watcher.end(u.path, err) }

// unwatched implements driver.PathUse for a process that is not listed.
type unwatched struct{}

func (unwatched) Received() {}
func (unwatched) End(error) {}

// isRefused reports whether nothing listens at an address, as far as this host can determine.
func isRefused(err error) bool { return errors.Is(err, driver.ErrConnectionRefused) }
