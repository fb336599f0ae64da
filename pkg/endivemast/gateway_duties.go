package endivemast

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/accountant"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provisioner"
	"github.com/endivemast/endivemast/internal/reporter"
	"github.com/endivemast/endivemast/internal/scaler"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// The platform's duties, which one host at a time does for all: the holder of the
// authority over the engines.

// buildUsage makes what counts usage, where there is somebody to report it to.
func (g *Gateway) buildUsage() {
	window := g.cfg.UsageWindow
	if g.cfg.ReportUsage == nil {
		window = 0
	}
	g.accountant = accountant.New(accountant.Config{
		HostID: g.cfg.HostID, Incarnation: g.incarnation, Window: window, Now: g.cfg.Clock.Now,
		IsWanted: g.HoldsAuthority,
	})
}

// usage is what hosts send each other of usage; nil: nothing.
func (g *Gateway) usage() exchanger.Usage {
	if !g.accountant.Enabled() {
		return nil
	}
	return g.accountant
}

// buildDuties makes what does the duties.
func (g *Gateway) buildDuties() {
	if g.cfg.OrderEngines != nil {
		g.scaling = map[string]scaler.State{}
		g.provisioner = provisioner.New(provisioner.Config{
			Authority: g.leaser, HostID: g.cfg.HostID, Guard: g.cfg.LeaseTTL, Plan: g.planEngines,
			Send: func(ctx context.Context, order provisioner.Order) error {
				err := g.cfg.OrderEngines(ctx, order)
				g.countDuty("scale", err)
				return err
			},
			Now: g.cfg.Clock.Now, Logger: g.cfg.Logger.Named("provisioner"),
		})
	}
	if !g.accountant.Enabled() {
		return
	}
	g.reporter = reporter.New(reporter.Config{
		Authority: g.leaser, HostID: g.cfg.HostID, Guard: g.cfg.LeaseTTL,
		WindowAt: g.accountant.WindowAt, EndOf: g.accountant.EndOf, Totals: g.accountant.Totals,
		Send: func(ctx context.Context, report reporter.Report) error {
			err := g.cfg.ReportUsage(ctx, report)
			g.countDuty("usage", err)
			return err
		},
		Now: g.cfg.Clock.Now, Logger: g.cfg.Logger.Named("reporter"),
	})
}

// planEngines says how many engines each zone is to have.
func (g *Gateway) planEngines(ordered map[provisioner.Target]int, now time.Time) (wanted []provisioner.Wanted) {
	policy := scaler.Policy(cmp.Or(g.cfg.Scaling, string(scaler.SpotShare)))
	for application, scaling := range g.classifier.Scaling() {
		use := g.scheduler.EngineUse(application)
		in := scaler.Input{
			Policy: policy, Now: now, Reading: use.Reading, Generating: use.Generating,
			Bounds: scaler.Bounds{Min: scaling.Min, Max: scaling.Max, Boot: scaling.Boot, SpotPrice: scaling.SpotPrice},
		}
		for target := range ordered { // a zone may have lost all its engines
			if _, ok := use.Engines[target.Zone]; !ok && target.Application == application && use.Engines != nil {
				use.Engines[target.Zone] = scheduler.EngineCount{}
			}
		}
		for zone, engines := range use.Engines {
			in.Zones = append(in.Zones, scaler.Zone{
				Name: zone, Price: scaling.Price(zone),
				OnDemand: scaler.Count{
					Present: engines.OnDemand, Ordered: ordered[provisioner.Target{Application: application, Zone: zone}],
				},
				Spot: scaler.Count{
					Present: engines.Spot, Ordered: ordered[provisioner.Target{Application: application, Zone: zone, IsSpot: true}],
				},
			})
		}
		slices.SortFunc(in.Zones, func(a, b scaler.Zone) int { return strings.Compare(a.Name, b.Name) })
		orders, state := scaler.Plan(&in, g.scaling[application])
		g.scaling[application] = state
		for _, order := range orders {
			wanted = append(wanted, provisioner.Wanted{
				Target:  provisioner.Target{Application: application, Zone: order.Zone, IsSpot: order.IsSpot},
				Desired: order.Desired, Need: order.Need, Reading: use.Reading, Generating: use.Generating,
			})
		}
	}
	return wanted
}

func (g *Gateway) countDuty(duty string, err error) {
	outcome := "taken"
	if err != nil {
		outcome = "failed"
	}
	g.meter.CountDutyCall(duty, outcome)
}

// startDuties runs the duties.
func (g *Gateway) startDuties() {
	if g.provisioner != nil {
		g.group.Go(func() error { return g.provisioner.Run(g.ctx) })
	}
	if g.reporter != nil {
		g.group.Go(func() error { return g.reporter.Run(g.ctx) })
	}
}
