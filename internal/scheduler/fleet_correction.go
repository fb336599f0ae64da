package scheduler

import "time"

const (
	fleetCorrectionWindow = 250 * time.Millisecond
	fleetCorrectionStep   = 0.05
	// fleetCorrectionDecay is the part of the correction that is kept in a window without
	// shortage: costs and speeds change, and half of it is forgotten in 4 s.
	fleetCorrectionDecay = 0.96
	// targetBacklog is the time for the prompts queued at an engine, as a part of the
	// shortest response target, that the correction aims at. With less, engines run out of
	// work before more arrives; with more, urgent work has too little time left for the
	// network and its output.
	targetBacklog = 0.35
	// slotMargin is the share of free slots from which on only the backlog counts.
	slotMargin = 0.2
)

// engineState is how busy an application's engines are.
type engineState struct {
	backlog  time.Duration // time for the prompts queued at an engine of the role that has more
	slotUse  float64       // share of the request limits in use
	response time.Duration // the shortest response target; 0: not known
}

// room returns by how much more the engines could take, from -1 (much less) to 1 (much more).
func (s *engineState) room() float64 {
	room := (1 - s.slotUse) / slotMargin
	if s.response > 0 {
		room = min(room, 1-s.backlog.Seconds()/(targetBacklog*s.response.Seconds()))
	}
	return min(max(room, -1), 1)
}

// fleetCorrection corrects the capacity by which the shares of all hosts are computed.
// Costs and speeds are estimates; if they are wrong by a factor, so is the part of the
// demand that is admitted, and the engines idle or the admitted work is late for as long as
// the shortage lasts. Its bounds are those of capacityCorrection.
type fleetCorrection struct {
	windowStart time.Time
	excess      float64 // factor minus 1
}

func (c *fleetCorrection) factor() float64 { return 1 + c.excess }

// tick moves the correction by at most a step for each window.
func (c *fleetCorrection) tick(isShort bool, state engineState, now time.Time) {
	if now.Sub(c.windowStart) < fleetCorrectionWindow {
		return
	}
	factor := c.factor()
	if isShort {
		factor *= 1 + fleetCorrectionStep*state.room()
	} else {
		factor = 1 + c.excess*fleetCorrectionDecay
	}
	c.excess = min(max(factor, minCorrection), maxCorrection) - 1
	c.windowStart = now
}
