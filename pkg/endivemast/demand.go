package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// How a host's scheduler learns the demand of the other hosts' callers.

func (g *Gateway) updateDemand(now time.Time) { applyDemand(g.exchanger, g.scheduler, now) }

func (e *Entry) updateDemand(now time.Time) { applyDemand(e.exchanger, e.scheduler, now) }

func applyDemand(ex *exchanger.Exchanger, s *scheduler.Scheduler, now time.Time) {
	fleet := ex.FleetDemand(now)
	s.SetPublishedDemand(fleet.Published, fleet.IsIsolated)
	s.SetFleetDemand(fleet.Others, now)
}

// OwnDemand implements exchanger.Demand.
func (e *Entry) OwnDemand(now time.Time) aggregator.Snapshot { return e.scheduler.OwnDemand(now) }
