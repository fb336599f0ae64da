package planner

import (
	"slices"
	"time"
)

// ZoneRotation assigns time slots to zones by the clock, so that two zones seldom
// make engines of one application unavailable at the same time. This improves
// goodput; no guarantee depends on it.
type ZoneRotation struct {
	SlotLength time.Duration
	// ActiveTime is the part of a slot in which its zone may act. The rest is left for
	// reports of the effects to arrive.
	ActiveTime time.Duration
}

// IsActive reports whether a zone may act now. zones may contain duplicates.
func (r ZoneRotation) IsActive(zone string, zones []string, now time.Time) bool {
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	if len(zones) < 2 {
		return true
	}
	slotNumber := now.UnixNano() / int64(r.SlotLength)
	elapsed := time.Duration(now.UnixNano() % int64(r.SlotLength))
	return zones[slotNumber%int64(len(zones))] == zone && elapsed < r.ActiveTime
}
