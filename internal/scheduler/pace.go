package scheduler

import "time"

const (
	paceWindow = 500 * time.Millisecond
	paceFade   = 0.7
	// longestWindow is what may be measured over. A host that stood still gave
	// nothing meanwhile, and took its engines for half as fast as they are.
	longestWindow = 4 * paceWindow
	minPace       = 0.5
	maxPace       = 2
)

// pace compares how fast a queue is really worked off with the capacity that
// the estimates promise. Costs, peers' parts and engines' speeds are all
// estimates, and an error in any of them would refuse too much or too little
// for as long as the overload lasts. It measures only while work waits: an
// empty queue says nothing about what could be served.
type pace struct {
	granted float64 // engine seconds since the window began
	since   time.Time
	excess  float64 // the measured factor less 1
}

func (p *pace) factor() float64 { return 1 + p.excess }

func (p *pace) tick(isBacklogged bool, capacity float64, now time.Time) {
	if !isBacklogged || p.since.IsZero() {
		p.granted, p.since = 0, now
		return
	}
	window := now.Sub(p.since)
	if window < paceWindow {
		return
	}
	if window > longestWindow {
		p.granted, p.since = 0, now
		return
	}
	measured := p.granted / max(capacity*window.Seconds(), 1e-9)
	measured = min(max(measured, minPace), maxPace)
	p.excess = p.excess*paceFade + (measured-1)*(1-paceFade)
	p.granted, p.since = 0, now
}
