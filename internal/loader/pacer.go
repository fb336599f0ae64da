package loader

import (
	"sync"
	"time"
)

// stoodStillAfter is from which lateness on the loader counts as having stood still:
// a busy one sends some milliseconds late.
const stoodStillAfter = 250 * time.Millisecond

// pacer says when requests are due. Where the loader itself stood still, as on a
// machine that stalls, what is yet to come is put off by as long: sent at once, the
// requests of that time would be a burst that the scenario does not state, and
// counted from times at which nobody sent them they would be late before any host
// saw them.
type pacer struct {
	begun time.Time

	mu    sync.Mutex
	stood time.Duration // still, so far
}

// due is when a request goes out that was planned for a time after the start.
func (p *pacer) due(planned time.Duration) time.Time {
	return p.begun.Add(planned + p.stoodStill())
}

// stoodStill is for how long the loader has stood still so far.
func (p *pacer) stoodStill() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stood
}

// send takes in that a due request goes out now, and returns when its caller came.
func (p *pacer) send(due, now time.Time) (arrived time.Time) {
	late := now.Sub(due)
	if late < stoodStillAfter {
		return due
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stood += late
	return now
}
