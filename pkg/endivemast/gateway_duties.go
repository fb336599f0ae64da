package endivemast

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/accountant"
	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/provisioner"
	"github.com/endivemast/endivemast/internal/reporter"
	"github.com/endivemast/endivemast/internal/scaler"
)

// The duties toward the platform, which one host performs for all: the holder of the
// authority over the engines.

// buildUsage creates the accountant, which counts usage only if there is a receiver for
// reports.
func (g *Gateway) buildUsage() {
	window := g.cfg.UsageWindow
	if g.cfg.ReportUsage == nil {
		window = 0
	}
	g.accountant = accountant.New(accountant.Config{
		HostID: g.cfg.HostID, Incarnation: g.incarnation, Window: window, Now: g.cfg.Clock.Now,
		WantsAllCounts: g.HoldsAuthority,
	})
}

// usage returns the usage counts that hosts exchange; nil: none.
func (g *Gateway) usage() exchanger.Usage {
	if !g.accountant.Enabled() {
		return nil
	}
	return g.accountant
}

// buildDuties creates the provisioner and the reporter.
func (g *Gateway) buildDuties() {
	if g.cfg.OrderEngines != nil {
		g.scaling = map[string]scaler.State{}
		g.provisioner = provisioner.New(provisioner.Config{
			Authority: g.leaser, HostID: g.cfg.HostID, TakeoverDelay: g.cfg.LeaseTTL, Plan: g.planEngines,
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
		Authority: g.leaser, HostID: g.cfg.HostID, TakeoverDelay: g.cfg.LeaseTTL,
		WindowAt: g.accountant.WindowAt, WindowEnd: g.accountant.WindowEnd, Totals: g.accountant.Totals,
		Send: func(ctx context.Context, report reporter.Report) error {
			err := g.cfg.ReportUsage(ctx, report)
			g.countDuty("usage", err)
			return err
		},
		Now: g.cfg.Clock.Now, Logger: g.cfg.Logger.Named("reporter"),
	})
}

// planEngines returns the orders that are due: how many engines each zone is to have.
func (g *Gateway) planEngines(ordered map[provisioner.Target]int, now time.Time) (planned []provisioner.PlannedOrder) {
	policy := scaler.Policy(cmp.Or(g.cfg.Scaling, string(scaler.SpotShare)))
	for application, scaling := range g.classifier.Scaling() {
		use := g.scheduler.EngineUse(application)
		in := scaler.Input{
			Policy: policy, Now: now, PrefillInUse: use.PrefillInUse, DecodeInUse: use.DecodeInUse,
			Bounds: scaler.Bounds{Min: scaling.Min, Max: scaling.Max, BootTime: scaling.BootTime, SpotPrice: scaling.SpotPrice},
		}
		in.Zones = zonesOf(application, &scaling, g.registrations.Registered(), ordered)
		slices.SortFunc(in.Zones, func(a, b scaler.Zone) int { return strings.Compare(a.Name, b.Name) })
		orders, state := scaler.Plan(&in, g.scaling[application])
		g.scaling[application] = state
		for _, order := range orders {
			planned = append(planned, provisioner.PlannedOrder{
				Target:  provisioner.Target{Application: application, Zone: order.Zone, IsSpot: order.IsSpot},
				Desired: order.Desired, NeededEngines: order.NeededEngines, PrefillInUse: use.PrefillInUse, DecodeInUse: use.DecodeInUse,
			})
		}
	}
	return planned
}

// zonesOf counts an application's engines by zone and kind. It includes a zone for which
// engines were ordered even if none of them exists any more.
func zonesOf(
	application string, scaling *classifier.Scaling, hosts []provider.Host, ordered map[provisioner.Target]int,
) (zones []scaler.Zone) {
	byName := map[string]*scaler.Zone{}
	zone := func(name string) *scaler.Zone {
		if byName[name] == nil {
			byName[name] = &scaler.Zone{Name: name, Price: scaling.Price(name)}
		}
		return byName[name]
	}
	for _, host := range hosts {
		switch {
		case host.Application != application || host.Kind != provider.HostEngine:
		case host.IsSpot:
			zone(host.Zone).Spot.Present++
		default:
			zone(host.Zone).OnDemand.Present++
		}
	}
	for target, desired := range ordered {
		switch {
		case target.Application != application:
		case target.IsSpot:
			zone(target.Zone).Spot.Ordered = desired
		default:
			zone(target.Zone).OnDemand.Ordered = desired
		}
	}
	for _, z := range byName {
		zones = append(zones, *z)
	}
	return zones
}

func (g *Gateway) countDuty(duty string, err error) {
	outcome := "taken"
	if err != nil {
		outcome = "failed"
	}
	g.meter.CountDutyCall(duty, outcome)
}

func (g *Gateway) startDuties() {
	if g.provisioner != nil {
		g.group.Go(func() error { return g.provisioner.Run(g.ctx) })
	}
	if g.reporter != nil {
		g.group.Go(func() error { return g.reporter.Run(g.ctx) })
	}
}
