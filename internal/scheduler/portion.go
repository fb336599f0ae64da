package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// SetPublishedDemand sets the demand of this host that the other hosts know. This host's
// portion of the engines is computed from it, and not from the present demand, so that the
// portions of all hosts come from the same data. The present demand is used while Hosts is 0.
// isIsolated states that this host is cut off from the others.
func (s *Scheduler) SetPublishedDemand(own aggregator.Snapshot, isIsolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishedDemand, s.isIsolated = own, isIsolated
}

// Portions returns the fraction of each application's engines that this host counts on.
func (s *Scheduler) Portions() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	portions := make(map[string]float64, len(s.table.Applications))
	for name := range s.table.Applications {
		portions[name] = s.table.Portion(name)
	}
	return portions
}

// updatePortions sets the demand from which the portions are computed.
func (s *Scheduler) updatePortions(now time.Time) {
	own := s.publishedDemand
	if own.Hosts == 0 {
		own = s.demandMeter.Snapshot(now)
	}
	capacity := func(application string) float64 {
		if a := s.table.Applications[application]; a != nil {
			return a.Summary.FleetCapacity.Total()
		}
		return 0
	}
	counted, others := aggregator.CountedDemand(own, s.othersDemand, capacity)
	if s.isIsolated {
		aggregator.AssumeSaturated(counted, others, capacity)
	}
	s.table.Demand = tracker.FleetDemand{
		Own: counted, Others: others,
		Hosts: s.othersDemand.Hosts, HostsWithout: s.othersDemand.HostsWithout,
	}
}
