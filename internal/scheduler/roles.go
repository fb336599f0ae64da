package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/planner"
)

// PlanRoles returns the role changes that would pay now, for the holder of the
// zone's authority.
func (s *Scheduler) PlanRoles(_ time.Time) []planner.Proposal { return nil }
