package planner

import (
	"math"

	"github.com/endivemast/endivemast/internal/driver"
)

// followDemand is the baseline that gives each engine one of the two separate
// roles in proportion to the present demand and follows each change of it at once.
// It respects only the minimum numbers of engines, and changes one engine at a
// time.
func followDemand(input *Input, a *Application) (Proposal, bool) {
	if a.isChanging() || !a.isZoneActive(followDemandRotation, input) {
		return Proposal{}, false
	}
	fleet := a.fleet()
	count := fleet.Mixed + fleet.Prefill + fleet.Decode
	prefillTime := a.ShortDemand.Prefill / a.Costs.prefillRate()
	decodeTime := a.ShortDemand.Decode / max(a.Costs.decodeRate(a.ShortDemand.TokenIntervalTarget), 1)
	if count < 2 || prefillTime+decodeTime == 0 {
		return Proposal{}, false
	}
	prefillShare := prefillTime / (prefillTime + decodeTime)
	target := min(max(int(math.Round(float64(count)*prefillShare)), 1), count-1)
	switch {
	case fleet.Prefill < target:
		return changeTo(input, a, driver.RolePrefill, driver.RoleMixed, driver.RoleDecode)
	case fleet.Prefill > target:
		return changeTo(input, a, driver.RoleDecode, driver.RolePrefill, driver.RoleMixed)
	case fleet.Mixed > 0:
		return changeTo(input, a, driver.RoleDecode, driver.RoleMixed)
	default:
		return Proposal{}, false
	}
}

// changeTo proposes the role for an engine of the first of the given roles that has a
// candidate.
func changeTo(input *Input, a *Application, to driver.Role, from ...driver.Role) (Proposal, bool) {
	for _, role := range from {
		if i := candidateIndex(input, a, role, to); i >= 0 {
			return Proposal{EndpointID: a.Engines[i].EndpointID, Role: to, Reason: "follows the present demand"}, true
		}
	}
	return Proposal{}, false
}
