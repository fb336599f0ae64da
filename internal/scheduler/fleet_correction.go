package scheduler

import "time"

const (
	fleetCorrectionWindow = 250 * time.Millisecond
	fleetCorrectionStep   = 0.05
	// fleetCorrectionDecay is the part of the correction that is kept in a window without
	// shortage: costs and speeds change, and half of it is forgotten in 4 s.
	fleetCorrectionDecay = 0.96
	// An engine whose queued prompts take less than a lowBacklog of the shortest response
	// target may run out of work before more arrives; above highBacklog, urgent work that
	// arrives there is late with a usual share of its time for the network and for output.
	lowBacklog  = 0.1
	highBacklog = 0.5
	fullSlots   = 0.9
	// lateRefusals is the share of the admitted work that is refused later, above which too
	// much is admitted.
	lateRefusals = 0.05
)

// engineState is how busy an application's engines are.
type engineState struct {
	backlog  time.Duration // time for the prompts queued at an engine
	slotUse  float64       // share of the request limits in use
	response time.Duration // the shortest response target; 0: not known
}

// fleetCorrection corrects the capacity by which the shares of all hosts are computed.
// Costs and speeds are estimates; if they are wrong by a factor, so is the part of the
// demand that is admitted, and the engines idle or the admitted work is late for as long as
// the shortage lasts. Its bounds are those of capacityCorrection.
type fleetCorrection struct {
	admittedSeconds float64 // engine seconds of new work admitted since windowStart
	withheldSeconds float64 // refused by precedence
	lateSeconds     float64 // refused after they were queued
	windowStart     time.Time
	excess          float64 // factor minus 1
}

func (c *fleetCorrection) factor() float64 { return 1 + c.excess }

// tick moves the correction by at most a step for each window.
func (c *fleetCorrection) tick(isShort bool, state engineState, now time.Time) {
	if now.Sub(c.windowStart) < fleetCorrectionWindow {
		return
	}
	backlog := 0.0
	if state.response > 0 {
		backlog = state.backlog.Seconds() / state.response.Seconds()
	}
	hasLateRefusals := c.lateSeconds > lateRefusals*c.admittedSeconds
	factor := c.factor()
	switch {
	case !isShort:
		factor = 1 + c.excess*fleetCorrectionDecay
	case hasLateRefusals || backlog > highBacklog:
		factor *= 1 - fleetCorrectionStep
	case c.withheldSeconds > 0 && backlog < lowBacklog && state.slotUse < fullSlots:
		factor *= 1 + fleetCorrectionStep
	}
	c.excess = min(max(factor, minCorrection), maxCorrection) - 1
	c.admittedSeconds, c.withheldSeconds, c.lateSeconds, c.windowStart = 0, 0, 0, now
}
