package planner

import (
	"cmp"
	"slices"

	"github.com/endivemast/endivemast/internal/driver"
)

// PlanSplit returns the role changes after which the given number of usable
// engines of an application prefill. Engines that are changing count with their
// new role. The zone with most engines of a role changes one first, so that, where
// possible, a zone that is cut off from the others has both roles; within a zone
// the engine with the fewest requests changes.
func PlanSplit(engines []SplitEngine, prefill int) (proposals []Proposal) {
	engines = slices.Clone(engines)
	for {
		current, usable := 0, 0
		for i := range engines {
			if !engines[i].IsUsable {
				continue
			}
			usable++
			if engines[i].Role == driver.RolePrefill {
				current++
			}
		}
		target := min(max(prefill, min(1, usable-1)), max(usable-1, 0))
		if current == target {
			return proposals
		}
		from, to := driver.RoleDecode, driver.RolePrefill
		if current > target {
			from, to = to, from
		}
		i := engineToChange(engines, from)
		if i < 0 {
			return proposals
		}
		engines[i].Role = to
		proposals = append(proposals, Proposal{EndpointID: engines[i].EndpointID, Role: to, Reason: ReasonSplit})
	}
}

// SplitEngine is one engine of an application with separate roles.
type SplitEngine struct {
	EndpointID string
	Zone       string
	Role       driver.Role // the new one if it is changing
	IsUsable   bool        // takes work, or will after its change
	IsChanging bool
	Requests   int     // in flight
	Slowdown   float64 // of its work at present; 0: not known
}

// drainTime returns how long the work in flight takes, compared with other engines.
func (e *SplitEngine) drainTime() float64 { return float64(e.Requests) * cmp.Or(e.Slowdown, 1) }

// engineToChange returns the index of the engine of a role that is to change; -1:
// none.
func engineToChange(engines []SplitEngine, role driver.Role) int {
	inZone := map[string]int{}
	candidates := make([]int, 0, len(engines))
	for i := range engines {
		if engines[i].Role != role || !engines[i].IsUsable {
			continue
		}
		inZone[engines[i].Zone]++
		if !engines[i].IsChanging {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return slices.MinFunc(candidates, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(inZone[engines[b].Zone], inZone[engines[a].Zone]),
			cmp.Compare(engines[a].drainTime(), engines[b].drainTime()),
			cmp.Compare(engines[a].EndpointID, engines[b].EndpointID),
		)
	})
}
