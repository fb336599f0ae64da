package planner

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// Costs is the time model of an engine, in seconds. A step lasts
//
//	Step + PerSequence × batch + PerPrefillToken × prompt tokens in the step
type Costs struct {
	Step            float64
	PerSequence     float64
	PerPrefillToken float64
	ChunkTokens     int // maximum number of prompt tokens in a step
	MaxBatch        int
}

// Demand is an application's work in tokens per second, over all hosts.
type Demand struct {
	Prefill             float64
	Decode              float64
	TokenIntervalTarget time.Duration // smallest target for the time between tokens; 0: none
}

// Fleet is the number of usable engines per role.
type Fleet struct {
	Mixed, Prefill, Decode int
}

func (f Fleet) with(role driver.Role, change int) Fleet {
	switch role {
	case driver.RolePrefill:
		f.Prefill += change
	case driver.RoleDecode:
		f.Decode += change
	case driver.RoleMixed:
		f.Mixed += change
	}
	return f
}

// maxUtilisation is the share of an engine's time to plan with. Closer to 1,
// queues grow beyond the targets.
const maxUtilisation = 0.85

// searchSteps halve the range of ServedShare to less than a thousandth.
const searchSteps = 11

// ServedShare returns the share of the demand, from 0 to 1, that the fleet can
// serve within the target between tokens.
func ServedShare(costs *Costs, demand Demand, fleet Fleet) float64 {
	if demand.Prefill <= 0 && demand.Decode <= 0 || fits(costs, demand, fleet) {
		return 1
	}
	low, high := 0.0, 1.0
	for range searchSteps {
		middle := (low + high) / 2
		scaled := demand
		scaled.Prefill *= middle
		scaled.Decode *= middle
		if fits(costs, scaled, fleet) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fits reports whether the fleet can serve the demand: prefill and decode engines
// take as much as they can, and the mixed ones the rest.
func fits(costs *Costs, demand Demand, fleet Fleet) bool {
	prefill := max(0, demand.Prefill-float64(fleet.Prefill)*costs.prefillRate())
	decode := max(0, demand.Decode-float64(fleet.Decode)*costs.decodeRate(demand.TokenIntervalTarget))
	if fleet.Mixed == 0 {
		return prefill == 0 && decode == 0
	}
	mixed := float64(fleet.Mixed)
	return costs.mixedUtilisation(prefill/mixed, decode/mixed, demand.TokenIntervalTarget) <= maxUtilisation
}

// prefillRate returns how many prompt tokens per second an engine computes that
// only prefills.
func (c *Costs) prefillRate() float64 {
	return maxUtilisation / (c.Step/float64(c.ChunkTokens) + c.PerPrefillToken)
}

// decodeRate returns how many tokens per second an engine generates that only
// decodes. It is limited by the maximum batch, and by the batch with which steps
// are as short as the target.
func (c *Costs) decodeRate(tokenIntervalTarget time.Duration) float64 {
	rate := maxUtilisation / (c.Step/float64(c.MaxBatch) + c.PerSequence)
	if tokenIntervalTarget > 0 {
		rate = min(rate, max(0, maxUtilisation-c.Step/tokenIntervalTarget.Seconds())/c.PerSequence)
	}
	return rate
}

// mixedUtilisation returns the part of its time that a mixed engine needs for its
// rates. It needs the base time of each step once for decode and prefill together;
// separate engines need it twice. Separation therefore costs throughput, and pays
// off only if the target forces more steps than the work needs.
func (c *Costs) mixedUtilisation(prefill, decode float64, tokenIntervalTarget time.Duration) float64 {
	steps := max(prefill/float64(c.ChunkTokens), decode/float64(c.MaxBatch))
	if tokenIntervalTarget > 0 && decode > 0 {
		steps = max(steps, 1/tokenIntervalTarget.Seconds())
	}
	return steps*c.Step + decode*c.PerSequence + prefill*c.PerPrefillToken
}
