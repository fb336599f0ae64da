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

// Of returns the engine time that serves work of which a share is prefill. One role is the
// bottleneck if the work needs more of it than the engines provide; the others are idle in
// part then. Without engines that prefill, decode engines do it.
func (c *RoleCapacity) Of(prefillShare float64) float64 {
	prefill, decode := c.Mixed+c.Prefill, c.Mixed+c.Decode
	if prefill <= 0 {
		return c.Decode
	}
	total := c.Mixed + c.Prefill + c.Decode
	if prefillShare > 0 {
		total = min(total, prefill/prefillShare)
	}
	if prefillShare < 1 {
		total = min(total, decode/(1-prefillShare))
	}
	return total
}
