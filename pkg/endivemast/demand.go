package endivemast

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/meter"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// How a host's scheduler learns the demand of the other hosts' callers.

const (
	demandReportInterval = time.Second
	// demandLogInterval bounds the log lines about the hosts whose demand is known.
	demandLogInterval = 10 * time.Second
	// demandLogFraction is the change in their number from which on a line is logged. Smaller
	// changes happen at each deployment of a new version.
	demandLogFraction = 0.25
)

func (g *Gateway) updateDemand(now time.Time) {
	fleet := applyDemand(g.exchanger, g.scheduler, now)
	g.demand.report(&fleet, g.scheduler, g.meter, g.cfg.Logger.Named("demand"), now)
}

func (e *Entry) updateDemand(now time.Time) {
	fleet := applyDemand(e.exchanger, e.scheduler, now)
	e.demand.report(&fleet, e.scheduler, e.meter, e.logger.Named("demand"), now)
}

func applyDemand(ex *exchanger.Exchanger, s *scheduler.Scheduler, now time.Time) exchanger.FleetDemand {
	fleet := ex.FleetDemand(now)
	s.SetPublishedDemand(fleet.Published, fleet.IsIsolated)
	s.SetFleetDemand(fleet.Others, now)
	return fleet
}

// OwnDemand implements exchanger.Demand.
func (e *Entry) OwnDemand(now time.Time) aggregator.Snapshot { return e.scheduler.OwnDemand(now) }

// demandReporter updates the metrics of the demand and logs large changes of the hosts whose
// demand is known.
type demandReporter struct {
	reportedAt, loggedAt time.Time
	loggedKnown          int
}

func (r *demandReporter) report(fleet *exchanger.FleetDemand, s *scheduler.Scheduler, m *meter.Meter, logger hclog.Logger, now time.Time) {
	if now.Sub(r.reportedAt) < demandReportInterval {
		return
	}
	r.reportedAt = now
	m.SetDemand(demandSeries(s.OwnDemand(now), fleet.Others), s.Portions())
	counts := fleet.Counts
	if !r.isLogDue(counts.Known, now) {
		return
	}
	logger.Info("number of hosts with known demand changed", "known", counts.Known, "before", r.loggedKnown,
		"kept", counts.Kept, "missing", counts.Missing, "is_isolated", fleet.IsIsolated, "rejected_values", fleet.Rejected)
	r.loggedAt, r.loggedKnown = now, counts.Known
}

func (r *demandReporter) isLogDue(known int, now time.Time) bool {
	change := max(known-r.loggedKnown, r.loggedKnown-known)
	return float64(change) > demandLogFraction*float64(r.loggedKnown) && now.Sub(r.loggedAt) >= demandLogInterval
}

// demandSeries returns the demand by application and rank.
func demandSeries(own, others aggregator.Snapshot) (series []meter.Demand) {
	for key, demand := range others.Demands {
		series = append(series, meter.Demand{
			Application: key.Application, Rank: key.Rank, Own: own.Demands[key].Offered, Others: demand.Offered,
		})
	}
	for key, demand := range own.Demands {
		if _, ok := others.Demands[key]; !ok {
			series = append(series, meter.Demand{Application: key.Application, Rank: key.Rank, Own: demand.Offered})
		}
	}
	return series
}

// gaugeDemand registers the metrics of the exchange of demand.
func gaugeDemand(m *meter.Meter, ex *exchanger.Exchanger) {
	gauge := func(value func(*exchanger.FleetDemand) float64) func() float64 {
		return func() float64 {
			fleet := ex.FleetDemand(time.Now())
			return value(&fleet)
		}
	}
	m.GaugeDemandHosts("known", gauge(func(f *exchanger.FleetDemand) float64 { return float64(f.Counts.Known) }))
	m.GaugeDemandHosts("kept", gauge(func(f *exchanger.FleetDemand) float64 { return float64(f.Counts.Kept) }))
	m.GaugeDemandHosts("missing", gauge(func(f *exchanger.FleetDemand) float64 { return float64(f.Counts.Missing) }))
	m.GaugeDemandTotals(
		gauge(func(f *exchanger.FleetDemand) float64 { return float64(f.Rejected) }),
		gauge(func(f *exchanger.FleetDemand) float64 { return float64(f.SentBytes) }),
	)
}
