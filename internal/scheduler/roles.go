package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

const (
	// roleChangeTime is how long a role change takes after the engine has drained.
	roleChangeTime = 3 * time.Second
	// prefillChunkTokens is the usual prefill chunk size; engines do not report theirs.
	prefillChunkTokens = 512
	// minPrefillShare is the least share of the measured time per prompt token that is
	// attributed to prefill itself; the remainder may be the base time of the steps that
	// the chunks run in.
	minPrefillShare = 0.2
)

// PlanRoles returns the role changes that are worth their cost now. The holder of the
// zone's authority calls it about once a second: a change is proposed only if it is
// wanted in several consecutive calls.
func (s *Scheduler) PlanRoles(now time.Time) []planner.Proposal {
	s.mu.Lock()
	defer s.mu.Unlock()
	input := planner.Input{
		Strategy: s.cfg.Policy.Roles, Zone: s.cfg.Zone, Now: now, RoleChangeTime: roleChangeTime,
	}
	for _, application := range s.table.Applications {
		if planned, ok := s.plannedApplication(application); ok {
			input.Applications = append(input.Applications, planned)
		}
	}
	slices.SortFunc(input.Applications, func(a, b planner.Application) int { return strings.Compare(a.Name, b.Name) })
	proposals, next := planner.Plan(&input, s.plannerState)
	s.plannerState = next
	return proposals
}

func (s *Scheduler) plannedApplication(application *tracker.Application) (planned planner.Application, ok bool) {
	planned = planner.Application{Name: application.Name, Changes: application.RoleChanges}
	if s.cfg.Configuration != nil {
		configured, _ := s.cfg.Configuration.Application(application.Name)
		planned.MaxChangesPerHour = configured.RoleChangesPerHour
	}
	limit := 0
	for i := range application.Len() {
		endpoint := application.At(i)
		if endpoint.Kind != provider.HostEngine {
			continue
		}
		planned.Engines = append(planned.Engines, engineOf(application, endpoint))
		limit = max(limit, endpoint.Limit)
	}
	if len(planned.Engines) == 0 {
		return planned, false
	}
	hosts := float64(s.table.PeerHosts() + 1)
	planned.Costs = costsOf(&application.Model, limit)
	planned.ShortDemand = demandOf(&application.Demand.Short, hosts, application.Demand.TokenIntervalTarget)
	planned.LongDemand = demandOf(&application.Demand.Long, hosts, application.Demand.TokenIntervalTarget)
	return planned, true
}

func engineOf(application *tracker.Application, endpoint *tracker.Endpoint) planner.Engine {
	total := endpoint.Total()
	tokensPerRequest := total.DecodeTokens / max(total.Requests, 1)
	drain := application.Model.Decode(tokensPerRequest, total.Requests)
	return planner.Engine{
		EndpointID: endpoint.Target.EndpointID,
		Zone:       endpoint.Zone,
		Role:       endpoint.Role,
		IsUsable:   endpoint.TakesNewWork() && !endpoint.IsCutOff() && !endpoint.Breaker.IsOpen(),
		IsChanging: endpoint.Draining || endpoint.OrderState == driver.OrderApplying,
		DrainTime:  estimator.Scale(drain, endpoint.CurrentSlowdown()),
	}
}

// costsOf splits the learned time per prompt token into the token's own time and its
// share of the base time of a step.
func costsOf(model *estimator.Model, limit int) planner.Costs {
	step, perSequence := model.Step()
	token := model.PrefillToken()
	return planner.Costs{
		Step:            step,
		PerSequence:     max(perSequence, 1e-6),
		PerPrefillToken: max(token-step/prefillChunkTokens, token*minPrefillShare, 1e-7),
		ChunkTokens:     prefillChunkTokens,
		MaxBatch:        max(limit, 1),
	}
}

// demandOf scales this host's demand to all hosts: the platform's load balancer spreads
// callers evenly over them.
func demandOf(rates *tracker.Rates, hosts, gapTarget float64) planner.Demand {
	prefill, decode := rates.PerSecond()
	return planner.Demand{
		Prefill:             prefill * hosts,
		Decode:              decode * hosts,
		TokenIntervalTarget: time.Duration(gapTarget * float64(time.Second)),
	}
}
