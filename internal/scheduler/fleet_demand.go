package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
)

// OwnDemand returns what this host's callers ask for.
func (s *Scheduler) OwnDemand(now time.Time) aggregator.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownDemand(now)
}

// SetFleetDemand sets the sum of what the callers of all other hosts ask for.
func (s *Scheduler) SetFleetDemand(others aggregator.Snapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.othersDemand, s.othersDemandAt = others, now
	s.updatePortions(now)
}
