package scheduler

import (
	"cmp"
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
		engines := s.splitEngines(application, changing, s.cfg.IsPathBroken(application.Name))
		if len(engines) == 0 {
			continue
		}
		decision := s.decideSplit(application, engines, now)
		planned := planner.PlanSplit(engines, decision.Prefill)
		for i := range planned {
			planned[i].Reason = cmp.Or(decision.Reason, planned[i].Reason)
		}
		proposals = append(proposals, planned...)
	}
	return proposals
}

// decideSplit decides how many of the engines are to prefill.
func (s *Scheduler) decideSplit(application *tracker.Application, engines []planner.SplitEngine, now time.Time) planner.SplitDecision {
	input := planner.SplitInput{Now: now, PrefillInUse: application.EngineUse.PrefillInUse, DecodeInUse: application.EngineUse.DecodeInUse}
	for i := range engines {
		switch {
		case !engines[i].IsUsable:
		case engines[i].Role == driver.RolePrefill:
			input.Prefill++
		default:
			input.Decode++
		}
	}
	usable := input.Prefill + input.Decode
	if s.cfg.Policy.Roles == planner.Fixed {
		return planner.SplitDecision{Prefill: int(float64(usable)*s.cfg.Policy.PrefillShare + 0.5)}
	}
	decision, state := planner.NextSplit(&input, application.Split)
	application.Split = state
	if decision.Reason != "" {
		s.logger.Info("prefill/decode split changes", "application", application.Name, "reason", decision.Reason,
			"prefill_in_use", input.PrefillInUse, "decode_in_use", input.DecodeInUse, "prefill_need", decision.PrefillNeed,
			"decode_need", decision.DecodeNeed, "gain", decision.Gain, "wanted_prefill", decision.Prefill, "current_prefill", input.Prefill, "usable", usable)
	}
	return decision
}

// isLost reports whether an engine's process has probably exited although it is still listed. If this
// host's own paths are broken, other hosts may use it.
func (s *Scheduler) isLost(endpoint *tracker.Endpoint, isPathBroken bool) bool {
	return !isPathBroken && (endpoint.SetAside || endpoint.Unreached && s.cfg.IsExitConfirmed(endpoint.Target.Process()))
}

// splitEngines returns the engines with separate roles.
func (s *Scheduler) splitEngines(application *tracker.Application, changing map[string]driver.Role, isPathBroken bool) (engines []planner.SplitEngine) {
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
			IsUsable: (isChanging || endpoint.TakesNewWork()) && !s.isLost(endpoint, isPathBroken), Requests: endpoint.Total().Requests, Slowdown: endpoint.CurrentSlowdown(),
		})
	}
	slices.SortFunc(engines, func(a, b planner.SplitEngine) int { return strings.Compare(a.EndpointID, b.EndpointID) })
	return engines
}
