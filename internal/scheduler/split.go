package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// PlanSplit returns the role changes that are due where engines either prefill
// or decode. Changing names those under way, with the role they change to.
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
		proposals = append(proposals, planner.Split(engines, s.wantedPrefill(application, engines, now))...)
	}
	return proposals
}

// wantedPrefill is how many of the engines are to prefill.
func (s *Scheduler) wantedPrefill(_ *tracker.Application, engines []planner.SplitEngine, _ time.Time) int {
	usable := 0
	for i := range engines {
		if engines[i].IsUsable {
			usable++
		}
	}
	return int(float64(usable)*s.cfg.Policy.PrefillShare + 0.5)
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
			IsUsable: isChanging || endpoint.TakesNewWork(), Requests: endpoint.Total().Requests,
		})
	}
	slices.SortFunc(engines, func(a, b planner.SplitEngine) int { return strings.Compare(a.EndpointID, b.EndpointID) })
	return engines
}
