package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// SetPublishedDemand sets the demand of this host by application that the other hosts know.
// This host's portion of the engines is computed from it, and not from the present demand, so
// that the portions of all hosts come from the same data. Nil: the present demand is used. The
// scheduler retains the map.
func (s *Scheduler) SetPublishedDemand(offered map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishedDemand = offered
}

// Portions returns the fraction of each application's engines that this host counts on.
func (s *Scheduler) Portions() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	portions := make(map[string]float64, len(s.table.Applications))
	for name, application := range s.table.Applications {
		portions[name] = application.Summary.Portion
	}
	return portions
}

// updatePortions sets the demand from which the portions are computed.
func (s *Scheduler) updatePortions(now time.Time) {
	own := s.publishedDemand
	if own == nil {
		own = s.demandMeter.Snapshot(now).OfferedByApplication()
	}
	s.table.Demand = tracker.FleetDemand{
		Own: own, Others: s.othersDemand.OfferedByApplication(),
		Hosts: s.othersDemand.Hosts, HostsWithout: s.othersDemand.HostsWithout,
	}
}
