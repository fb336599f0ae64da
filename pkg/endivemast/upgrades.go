package endivemast

import (
	"errors"
	"maps"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/orderer"
	"github.com/endivemast/endivemast/internal/provider"
)

// reportMaxAge is how long a report of an engine is used. An engine that stopped with its
// old version must not keep the others from loading the new one.
const reportMaxAge = 5 * time.Second

// upgradeRetryDelay keeps an engine that fails to load a version from being drained for it
// repeatedly.
const upgradeRetryDelay = 30 * time.Second

// upgrade is an order to an engine to load the configured model of its application.
type upgrade struct {
	EndpointID  string
	Incarnation string
	Order       driver.LoadModel
}

// upgradeTimes holds the time at which each order to load was last given.
type upgradeTimes map[upgrade]time.Time

// isDue reports whether an order may be given. The delay does not apply to another version
// or another process of the engine, so that an operator who corrects a wrong version does
// not wait for it.
func (t upgradeTimes) isDue(next upgrade, now time.Time) bool {
	maps.DeleteFunc(t, func(_ upgrade, given time.Time) bool { return now.Sub(given) > upgradeRetryDelay })
	_, given := t[next]
	return !given
}

// record stores the time of an order that the engine has accepted, or may have. An order
// that did not reach it, such as while a former holder's order is open, is due again.
func (t upgradeTimes) record(next upgrade, now time.Time, submitErr error) {
	if submitErr == nil || errors.Is(submitErr, driver.ErrOutcomeUnknown) {
		t[next] = now
	}
}

// planUpgrades selects the engines of this zone that load their application's model,
// version or adapter next, one engine per application at a time. ownEndpoints lists by
// endpoint id the engines that this host may give orders to.
func (e *Entry) planUpgrades(ownEndpoints map[string]bool, now time.Time) []upgrade {
	e.timedReportsMu.Lock()
	defer e.timedReportsMu.Unlock()
	hosts, _ := e.lister.Hosts()
	isAllowed := func(endpointID string) bool { return ownEndpoints[endpointID] }
	return selectUpgrades(freshReports(hosts, e.timedReports, now), isAllowed, e.configurer.Application)
}

// freshReports returns, by endpoint id, the recent reports of the processes that are
// listed.
func freshReports(hosts []provider.Host, timedReports map[string]orderer.TimedReport, now time.Time) map[string]driver.Report {
	reports := make(map[string]driver.Report, len(timedReports))
	for _, host := range hosts {
		timedReport, ok := timedReports[host.ID]
		if ok && timedReport.Report.Incarnation == host.Incarnation && now.Sub(timedReport.RequestedAt) <= reportMaxAge {
			reports[host.ID] = timedReport.Report
		}
	}
	return reports
}

// selectUpgrades selects upgrades from reports by endpoint id. An application with an
// engine that is applying an order waits, so that a new version never takes two of its
// engines out of service at once. Engines that may not get orders are not selected and
// delay no others: those that leave, or whose zone has no holder.
func selectUpgrades(
	reports map[string]driver.Report, isAllowed func(endpointID string) bool,
	application func(string) (configurer.Application, bool),
) []upgrade {
	busy := map[string]bool{}
	for _, report := range reports {
		if report.LastOrderState == driver.OrderApplying {
			busy[report.Application] = true
		}
	}
	chosen := map[string]upgrade{}
	for endpointID, report := range reports {
		configured, ok := application(report.Application)
		if !ok || configured.Model == "" || busy[report.Application] || isLoaded(report, configured) {
			continue
		}
		if report.Draining || !isAllowed(endpointID) {
			continue
		}
		if current, found := chosen[report.Application]; !found || endpointID < current.EndpointID {
			chosen[report.Application] = upgrade{
				EndpointID:  endpointID,
				Incarnation: report.Incarnation,
				Order:       driver.LoadModel{Model: configured.Model, Version: configured.Version, Adapter: configured.Adapter},
			}
		}
	}
	result := make([]upgrade, 0, len(chosen))
	for _, next := range chosen {
		result = append(result, next)
	}
	return result
}

func isLoaded(report driver.Report, configured configurer.Application) bool {
	return report.Model == configured.Model && report.Version == configured.Version && report.Adapter == configured.Adapter
}
