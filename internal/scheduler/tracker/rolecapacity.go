package tracker

import "github.com/endivemast/endivemast/internal/driver"

// RoleCapacity is the engine time of usable endpoints by role, in engine seconds per second.
type RoleCapacity struct {
	Mixed, Prefill, Decode float64 // Mixed: endpoints that do both, and plain services
}

func (c *RoleCapacity) add(role driver.Role, capacity float64) {
	switch role {
	case driver.RolePrefill:
		c.Prefill += capacity
	case driver.RoleDecode:
		c.Decode += capacity
	default:
		c.Mixed += capacity
	}
}

// Total returns the engine time of all usable endpoints.
func (c *RoleCapacity) Total() float64 { return c.Mixed + c.Prefill + c.Decode }

// WorkMix states which parts of the engine time of work are prefill. The rest is decoding.
type WorkMix struct {
	Prefill float64 // all prefill
	Direct  float64 // part of Prefill that decode engines can do as well
}

// directSlowdown is how much longer a decode engine takes for a prompt than an engine that
// only prefills, since it decodes at the same time.
const directSlowdown = 2

// Of returns the engine time that serves work of a mix. One role is the bottleneck if the
// work needs more of it than its engines provide; the others are idle in part then. If it is
// prefill, decode engines prefill some of the small prompts with what they have left.
// Without engines that prefill, decode engines do it all.
func (c *RoleCapacity) Of(mix WorkMix) float64 {
	prefill, decode := c.Mixed+c.Prefill, c.Mixed+c.Decode
	if prefill <= 0 {
		return c.Decode
	}
	total := prefill + c.Decode
	if mix.Prefill < 1 {
		total = min(total, decode/(1-mix.Prefill))
	}
	if mix.Prefill*total <= prefill {
		return total
	}
	if mix.Direct <= 0 {
		return prefill / mix.Prefill
	}
	// With d of the prefill done by decode engines, mix.Prefill × total - d fills the engines
	// that prefill, and (1 - mix.Prefill) × total + directSlowdown × d the others.
	shared := (c.Decode + directSlowdown*prefill) / (1 - mix.Prefill + directSlowdown*mix.Prefill)
	if mix.Prefill > mix.Direct {
		shared = min(shared, prefill/(mix.Prefill-mix.Direct))
	}
	return min(total, max(shared, prefill/mix.Prefill))
}
