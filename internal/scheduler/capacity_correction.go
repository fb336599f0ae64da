package scheduler

import "time"

const (
	minCorrectionWindow = 500 * time.Millisecond
	correctionDecay     = 0.7
	// maxCorrectionWindow is the longest window that is measured. A longer one means that
	// the host was suspended: it granted nothing meanwhile, and would assume that its
	// engines are half as fast as they are.
	maxCorrectionWindow = 4 * minCorrectionWindow
	minCorrection       = 0.5
	maxCorrection       = 2
)

// capacityCorrection compares how fast a queue is drained with its estimated capacity.
// Costs, the peers' shares and engine speeds are all estimates; without the correction, an
// error in any of them would refuse too much or too little for as long as an overload
// lasts. It measures only while work waits, since an empty queue does not show how much
// could be served.
type capacityCorrection struct {
	grantedSeconds float64 // engine seconds granted since windowStart
	windowStart    time.Time
	excess         float64 // smoothed factor minus 1
}

func (c *capacityCorrection) factor() float64 { return 1 + c.excess }

func (c *capacityCorrection) tick(isBacklogged bool, capacity float64, now time.Time) {
	if !isBacklogged || c.windowStart.IsZero() {
		c.grantedSeconds, c.windowStart = 0, now
		return
	}
	window := now.Sub(c.windowStart)
	if window < minCorrectionWindow {
		return
	}
	if window > maxCorrectionWindow {
		c.grantedSeconds, c.windowStart = 0, now
		return
	}
	measured := c.grantedSeconds / max(capacity*window.Seconds(), 1e-9)
	measured = min(max(measured, minCorrection), maxCorrection)
	c.excess = c.excess*correctionDecay + (measured-1)*(1-correctionDecay)
	c.grantedSeconds, c.windowStart = 0, now
}
