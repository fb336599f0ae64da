package loader

import (
	"sync"
	"time"
)

// stallThreshold is the delay from which on the loader counts as stalled. A busy
// loader sends only some milliseconds late.
const stallThreshold = 250 * time.Millisecond

// pacer computes when requests are due. After a stall of the loader itself, as on
// a stalled machine, it postpones all further requests by the length of the stall.
// Otherwise the overdue requests would form a burst that is not in the scenario,
// and would be late before any host received them.
type pacer struct {
	startedAt time.Time

	mu      sync.Mutex
	stalled time.Duration // total length of the stalls so far
}

// due returns when to send a request that is planned for a time after the start.
func (p *pacer) due(planned time.Duration) time.Time {
	return p.startedAt.Add(planned + p.totalStall())
}

// totalStall returns the total length of the loader's stalls so far.
func (p *pacer) totalStall() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled
}

// recordSend records that a due request is sent now, and returns its arrival
// time, which is now after a stall and due otherwise.
func (p *pacer) recordSend(due, now time.Time) (arrived time.Time) {
	late := now.Sub(due)
	if late < stallThreshold {
		return due
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled += late
	return now
}
