package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
)

// How a host's scheduler learns the demand of the other hosts' callers.

func (g *Gateway) updateDemand(now time.Time) {
	g.scheduler.SetFleetDemand(g.exchanger.FleetDemand(now).Others, now)
}

func (e *Entry) updateDemand(now time.Time) {
	e.scheduler.SetFleetDemand(e.exchanger.FleetDemand(now).Others, now)
}

// OwnDemand implements exchanger.Demand.
func (e *Entry) OwnDemand(now time.Time) aggregator.Snapshot { return e.scheduler.OwnDemand(now) }
