package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/orderer"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// The periodic tasks of an Entry, and its callbacks from other components.
const (
	planInterval         = time.Second
	readinessLogInterval = 200 * time.Millisecond
	// reasonNoHostList is why a host is not ready that has read no list of hosts.
	reasonNoHostList = "no_host_list"
)

// tick runs the scheduler's periodic work and detects suspensions.
func (e *Entry) tick() error {
	ticker := time.NewTicker(e.cfg.Tick)
	defer ticker.Stop()
	detector := timekeeper.NewDetector(timekeeper.New())
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case now := <-ticker.C:
			if suspension, wasSuspended := detector.Check(); wasSuspended {
				_, holds := e.leaser.Holder()
				logSuspension(e.logger, suspension, e.dispatcher.Active(), holds)
				e.meter.CountResume()
			}
			e.clients.tick(now)
			e.updateDemand(now)
			e.scheduler.Tick(now)
		}
	}
}

// plan runs the planners of roles and models while this host holds the zone's authority.
func (e *Entry) plan() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case now := <-ticker.C:
			if _, ok := e.leaser.Holder(); ok && !e.draining.Load() {
				e.planOnce(now)
			}
		}
	}
}

// upgradeRotation takes turns between the zones for loading models. A turn is as short as
// the planning interval, so that loading a version on all engines does not take minutes.
var upgradeRotation = planner.ZoneRotation{SlotLength: planInterval, ActiveTime: planInterval}

// planOnce submits the planners' proposals for this zone's endpoints. Both planners take
// turns between the zones.
func (e *Entry) planOnce(now time.Time) {
	ownEndpoints := map[string]bool{}
	hosts, _ := e.lister.Hosts()
	for _, host := range hosts {
		ownEndpoints[host.ID] = host.Zone == e.cfg.Zone && host.State == provider.HostLive
	}
	for _, order := range e.orderer.OpenOrders() {
		if order.IsForeign(e.cfg.Incarnation) {
			ownEndpoints[order.EndpointID] = false
		}
	}
	for _, proposal := range e.scheduler.PlanRoles(now) {
		if ownEndpoints[proposal.EndpointID] {
			_ = e.submit(proposal.EndpointID, driver.SetRole{Role: proposal.Role}, proposal.Reason)
		}
	}
	if !e.isUpgradeTurn(now) {
		return
	}
	for _, upgrade := range e.planUpgrades(ownEndpoints, now) {
		if !e.orderedUpgrades.isDue(upgrade, now) {
			continue
		}
		e.orderedUpgrades.record(upgrade, now, e.submit(upgrade.EndpointID, upgrade.Order, "configured version"))
	}
}

// isUpgradeTurn reports whether this zone may load models now.
func (e *Entry) isUpgradeTurn(now time.Time) bool {
	zones := []string{e.cfg.Zone}
	for _, peer := range e.cfg.Peers {
		zones = append(zones, peer.Zone)
	}
	return upgradeRotation.IsActive(e.cfg.Zone, zones, now)
}

func (e *Entry) submit(endpointID string, order driver.Order, reason string) error {
	if err := e.orderer.Submit(e.ctx, endpointID, order); err != nil {
		e.logger.Debug("order not submitted", "endpoint_id", endpointID, "error", err)
		return err
	}
	e.logger.Info("order submitted", "endpoint_id", endpointID, "order", order, "reason", reason)
	return nil
}

func (e *Entry) orderFinished(order orderer.OpenOrder, _ orderer.Outcome) {
	if _, isRole := order.Order.Order().(driver.SetRole); isRole {
		e.meter.CountRoleChange(e.cfg.Zone, e.applicationOf(order.EndpointID))
	}
}

func (e *Entry) applicationOf(endpointID string) string {
	hosts, _ := e.lister.Hosts()
	for _, host := range hosts {
		if host.ID == endpointID {
			return host.Application
		}
	}
	return ""
}

// logReadiness logs each change of readiness and of the authority.
func (e *Entry) logReadiness() error {
	ticker := time.NewTicker(readinessLogInterval)
	defer ticker.Stop()
	lastReady, lastReason, lastHolds := false, "", false
	for {
		ready, reason := e.Ready()
		if ready != lastReady || reason != lastReason {
			e.logger.Info("readiness changed", "ready", ready, "reason", reason)
			lastReady, lastReason = ready, reason
		}
		if authority, holds := e.leaser.Holder(); holds != lastHolds {
			e.logger.Info("zone authority changed", "holds", holds, "epoch", authority.Epoch)
			lastHolds = holds
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listedRevision implements leaser.Config.ListedAt.
func (e *Entry) listedRevision() (revision int64, ok bool) {
	hosts, revision := e.lister.Hosts()
	for _, host := range hosts {
		if host.ID == e.cfg.HostID && host.Incarnation == e.cfg.Incarnation {
			return revision, true
		}
	}
	return 0, false
}

// SetHosts implements lister.Sink.
func (e *Entry) SetHosts(hosts []provider.Host, now time.Time) { e.scheduler.SetHosts(hosts, now) }

// SetReport implements lister.Sink.
func (e *Entry) SetReport(endpointID string, report driver.Report, requested, now time.Time) {
	e.timedReportsMu.Lock()
	e.timedReports[endpointID] = orderer.TimedReport{Report: report, RequestedAt: requested}
	e.timedReportsMu.Unlock()
	e.scheduler.SetReport(endpointID, report, now)
}

// MarkUnreachable implements lister.Sink.
func (e *Entry) MarkUnreachable(endpointID string) { e.scheduler.MarkUnreachable(endpointID) }

func (e *Entry) report(endpointID string) *orderer.TimedReport {
	e.timedReportsMu.Lock()
	defer e.timedReportsMu.Unlock()
	report, ok := e.timedReports[endpointID]
	if !ok {
		return nil
	}
	return &report
}

// OwnLoad implements exchanger.Local.
func (e *Entry) OwnLoad() map[string]exchanger.Load { return ownLoad(e.scheduler) }

func ownLoad(s *scheduler.Scheduler) map[string]exchanger.Load {
	own := s.OwnLoad()
	loads := make(map[string]exchanger.Load, len(own))
	for endpointID, load := range own {
		loads[endpointID] = exchanger.Load(load)
	}
	return loads
}

// Leaving implements exchanger.Local.
func (e *Entry) Leaving() []exchanger.LeavingEndpoint { return e.lister.Leaving() }

// Draining implements exchanger.Local.
func (e *Entry) Draining() bool { return e.draining.Load() }

// ConfigurationRevision implements exchanger.Local.
func (e *Entry) ConfigurationRevision() int64 { return e.configurer.Revision() }

// StoreRevision implements exchanger.Local. It is 0, since Entry hosts publish the
// configuration and the platform's list with separate revisions.
func (e *Entry) StoreRevision() int64 { return 0 }

// Hosts implements exchanger.Local.
func (e *Entry) Hosts() (hosts []provider.Host, revision int64) { return e.lister.Hosts() }

// ApplyLoad implements exchanger.Local.
func (e *Entry) ApplyLoad(source string, hosts int, loads map[string]exchanger.Load, now time.Time) {
	applyLoad(e.scheduler, source, hosts, loads, now)
}

func applyLoad(s *scheduler.Scheduler, source string, hosts int, loads map[string]exchanger.Load, now time.Time) {
	schedulerLoads := make(map[string]scheduler.Load, len(loads))
	for endpointID, load := range loads {
		schedulerLoads[endpointID] = scheduler.Load(load)
	}
	s.SetPeerLoad(source, hosts, schedulerLoads, now)
}

// ApplyLeaving implements exchanger.Local.
func (e *Entry) ApplyLeaving(leaving []exchanger.LeavingEndpoint, now time.Time) {
	e.lister.ApplyLeaving(leaving, now)
}

// authority returns this host's view of its zone's authority.
func (e *Entry) authority() leaser.Status { return e.leaser.Status() }
