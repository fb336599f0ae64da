package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// PlanSplit returns the role changes that are due for engines that either prefill or
// decode. changing holds the pending role changes: the target role by endpoint ID.
func (s *Scheduler) PlanSplit(changing map[string]driver.Role, now time.Time) (proposals []planner.Proposal) {
	if s.cfg.Policy.Roles == planner.Never {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, application := range s.table.Applications {
		engines := splitEngines(application, changing)
		if len(engines) == 0 {
			continue
		}
		proposals = append(proposals, planner.PlanSplit(engines, s.wantedPrefillEngines(application, engines, now))...)
	}
	return proposals
}

const (
	// targetPrefillUse and targetDecodeUse are the planned utilizations of the engines of
	// the two roles. A prompt occupies its engine alone and delays those queued behind
	// it, so prefill engines need idle time; decoding streams run concurrently, and each
	// slows the others down.
	targetPrefillUse = 0.6
	targetDecodeUse  = 0.6
	// splitHysteresis is the share of the engines by which the wanted split has to differ
	// before an engine changes its role. A change takes an engine out of service for
	// seconds and moves some prefixes to engines that do not cache them: three changes at
	// once, or one for a difference of a seventh of the engines, cost more than they gain.
	splitHysteresis = 0.25
	// minPlannedUse is the least use, in engines, from which a split can be derived.
	minPlannedUse = 1.0
	// minSplitInterval is the least time between two changes, and from the first work to
	// the first change: caches are cold at that time, and prompts are prefilled in full.
	minSplitInterval = 8 * time.Second
)

// wantedPrefillEngines returns how many of the engines are to prefill, so that both roles
// are at their target utilization. The number changes by one engine at a time. Until there
// is work it is half of the engines: the demand is unknown, and changes have no cost.
func (s *Scheduler) wantedPrefillEngines(application *tracker.Application, engines []planner.SplitEngine, now time.Time) int {
	usable, current := 0, 0
	for i := range engines {
		if !engines[i].IsUsable {
			continue
		}
		usable++
		if engines[i].Role == driver.RolePrefill {
			current++
		}
	}
	if s.cfg.Policy.Roles == planner.Fixed {
		return int(float64(usable)*s.cfg.Policy.PrefillShare + 0.5)
	}
	use := &application.EngineUse
	if use.PrefillInUse+use.DecodeInUse < minPlannedUse {
		if application.SplitChangedAt.IsZero() {
			return (usable + 1) / 2
		}
		return current
	}
	if application.SplitChangedAt.IsZero() {
		application.SplitChangedAt = now
	}
	if now.Sub(application.SplitChangedAt) < minSplitInterval {
		return current
	}
	prefill, decode := use.PrefillInUse/targetPrefillUse, use.DecodeInUse/targetDecodeUse
	wanted := float64(usable) * prefill / (prefill + decode)
	if math.Abs(wanted-float64(current)) < splitHysteresis*float64(usable) {
		return current
	}
	application.SplitChangedAt = now
	s.logger.Info("prefill/decode split changes", "application", application.Name, "prefill_in_use", use.PrefillInUse,
		"decode_in_use", use.DecodeInUse, "wanted_prefill", wanted, "current_prefill", current, "usable", usable)
	if wanted > float64(current) {
		return current + 1
	}
	return current - 1
}

func splitEngines(application *tracker.Application, changing map[string]driver.Role) (engines []planner.SplitEngine) {
	for i := range application.Len() {
		endpoint := application.At(i)
		if endpoint.Kind != provider.HostEngine || endpoint.Role == driver.RoleMixed {
			continue
		}
		role, isChanging := changing[endpoint.Target.EndpointID]
		if !isChanging {
			role = endpoint.Role
		}
		engines = append(engines, planner.SplitEngine{
			EndpointID: endpoint.Target.EndpointID, Zone: endpoint.Zone, Role: role, IsChanging: isChanging,
			IsUsable: isChanging || endpoint.TakesNewWork(), Requests: endpoint.Total().Requests, Slowdown: endpoint.CurrentSlowdown(),
		})
	}
	slices.SortFunc(engines, func(a, b planner.SplitEngine) int { return strings.Compare(a.EndpointID, b.EndpointID) })
	return engines
}
