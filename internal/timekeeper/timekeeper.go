// Package timekeeper provides a clock that includes suspensions of the machine, a
// detector of suspensions, and timeouts that count only the time in which this process
// runs.
//
// The monotonic clock, which time.Since and all timers use, stops while the machine is
// suspended. Time limits that others rely on must also pass during a suspension, and are
// measured by this package's Clock: leases, caller timeouts, the age of known state.
// Measurements of work and latency use the monotonic clock, since a suspension is not
// part of them.
//
// # Usage
//
//	clock := timekeeper.New()
//	validUntil := clock.Now().Add(ttl)      // also passes during a suspension
//	before := clock.SuspendedTime()         // the difference is the suspended time since
//	detector := timekeeper.NewDetector(clock)
//	if suspension, ok := detector.Check(); ok { ... } // in each tick and for each request
//
// Timeouts for answers of others use a Timer, so that an answer that arrived while this
// process was stopped is read before the timeout expires:
//
//	ctx, cancel := timekeeper.WithTimeout(ctx, time.Second)
//	defer cancel()
package timekeeper

import (
	"sync"
	"time"
)

// Clock is a clock that includes suspensions of the machine.
type Clock interface {
	// Now returns the time. Adjustments of the system time do not change it. It has no
	// monotonic clock reading and is comparable only with other results of Now.
	Now() time.Time
	// SuspendedTime returns for how long the machine was suspended since the clock was
	// created: the difference between this clock and the monotonic clock.
	SuspendedTime() time.Duration
}

// hostClock is the Clock of the machine.
type hostClock struct {
	monotonic time.Time     // creation by the monotonic clock
	wall      time.Time     // creation by the wall clock; origin of Now
	boot      time.Duration // creation as time since boot, including suspensions
}

// New returns the Clock of the machine.
func New() Clock {
	now := time.Now()
	return &hostClock{monotonic: now, wall: now.Round(0), boot: sinceBoot(now)}
}

// Now implements Clock.
func (c *hostClock) Now() time.Time { return c.wall.Add(sinceBoot(time.Now()) - c.boot) }

// SuspendedTime implements Clock.
func (c *hostClock) SuspendedTime() time.Duration {
	now := time.Now()
	return max(sinceBoot(now)-c.boot-now.Sub(c.monotonic), 0)
}

// suspensionThreshold is the shortest time without a Check that counts as a suspension.
// Checks run every 100 ms, and on a busy host a few hundred milliseconds late. The known
// state of a running host is at most one second old.
const suspensionThreshold = time.Second

// Detector detects that the process did not run for a while, because the machine was
// suspended or the process was frozen. It is safe for concurrent use.
type Detector struct {
	clock Clock

	mu        sync.Mutex
	last      time.Time
	suspended time.Duration
}

// NewDetector returns a Detector whose last check is now.
func NewDetector(clock Clock) *Detector {
	return &Detector{clock: clock, last: clock.Now(), suspended: clock.SuspendedTime()}
}

// Suspension is a time in which the process did not run. For MachineSuspended of it the
// machine was suspended; for the rest the process was frozen or got no processor time.
type Suspension struct {
	Duration         time.Duration
	MachineSuspended time.Duration
}

// Check reports a suspension since the last call, once for each suspension. It must be
// called several times a second, and before any action that relies on known state.
func (d *Detector) Check() (suspension Suspension, isSuspended bool) {
	now, suspended := d.clock.Now(), d.clock.SuspendedTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	suspension = Suspension{Duration: now.Sub(d.last), MachineSuspended: max(suspended-d.suspended, 0)}
	d.last, d.suspended = now, suspended
	return suspension, suspension.Duration >= suspensionThreshold
}
