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

// RecordPassedOn counts new work in the demand of this host's callers that a peer runs without
// a call of Acquire here, since this host reaches no endpoint. The peer does not count it.
func (s *Scheduler) RecordPassedOn(work Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed || s.cfg.Policy.Admission == AdmitAll || work.IsFromPeer || !work.isNew() {
		return
	}
	now := s.now()
	application := s.table.Application(work.Class.Application)
	w := &waiter{work: work, expected: s.expectedTokens(&work)}
	item := s.newItem(application, w, now)
	s.recordDemand(s.precedence(application.Name), w, &item, now)
}

// SetFleetDemand sets the sum of what the callers of all other hosts ask for.
func (s *Scheduler) SetFleetDemand(others aggregator.Snapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.othersDemand, s.othersDemandAt = others, now
	s.updatePortions(now)
}
