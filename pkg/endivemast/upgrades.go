package endivemast

import (
	"errors"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
)

// upgradeAgainAfter keeps an engine that fails to load a version from being
// drained for it again and again.
const upgradeAgainAfter = 30 * time.Second

// reportHolds is how long a report says something about its engine: several
// reports have failed by then.
const reportHolds = 3 * time.Second

// upgradeLog has the last order to load that each engine was given, by
// endpoint id.
type upgradeLog map[string]givenUpgrade

type givenUpgrade struct {
	order driver.LoadModel
	at    time.Time
}

// isRecent is true where the engine was given the very same order lately.
// Another version has to wait for nothing.
func (l upgradeLog) isRecent(next upgrade, now time.Time) bool {
	given, ok := l[next.EndpointID]
	return ok && given.order == next.Order && now.Sub(given.at) <= upgradeAgainAfter
}

// note keeps an order that the engine has, or may have, taken. One that it was
// not given, such as while a former holder's order is open, is due again.
func (l upgradeLog) note(next upgrade, now time.Time, submitErr error) {
	if submitErr == nil || errors.Is(submitErr, driver.ErrOutcomeUnknown) {
		l[next.EndpointID] = givenUpgrade{order: next.Order, at: now}
	}
}

// upgrade is an engine that is to load what its application is configured to.
type upgrade struct {
	EndpointID string
	Order      driver.LoadModel
}

// planUpgrades proposes which of this zone's engines that differ from their
// application's model, version or adapter load it next, one of an application
// at a time. An engine that has not reported lately counts for nothing: one
// that crashed in the middle of an order would look busy for as long as the
// platform lists it, and the application would never get its version.
func (e *Entry) planUpgrades(own map[string]bool, now time.Time) []upgrade {
	e.sightingsMu.Lock()
	defer e.sightingsMu.Unlock()
	reports := make(map[string]driver.Report, len(e.sightings))
	hosts, _ := e.lister.Hosts()
	for _, host := range hosts {
		sighting, ok := e.sightings[host.ID]
		if ok && sighting.Report.Incarnation == host.Incarnation && now.Sub(sighting.RequestedAt) < reportHolds {
			reports[host.ID] = sighting.Report
		}
	}
	return upgrades(reports, func(endpointID string) bool { return own[endpointID] }, e.configurer.Application)
}

// upgrades is the decision over reports by endpoint id. An application with
// an engine that is busy with an order waits, so that a new version never
// takes two engines away at once. Only engines that may be changed are chosen
// from: one that leaves, or whose zone has no holder, holds up no other.
func upgrades(
	reports map[string]driver.Report, may func(endpointID string) bool,
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
		wanted, ok := application(report.Application)
		if !ok || wanted.Model == "" || busy[report.Application] || isLoaded(report, wanted) {
			continue
		}
		if report.Draining || !may(endpointID) {
			continue
		}
		if best, found := chosen[report.Application]; !found || endpointID < best.EndpointID {
			chosen[report.Application] = upgrade{
				EndpointID: endpointID,
				Order:      driver.LoadModel{Model: wanted.Model, Version: wanted.Version, Adapter: wanted.Adapter},
			}
		}
	}
	result := make([]upgrade, 0, len(chosen))
	for _, next := range chosen {
		result = append(result, next)
	}
	return result
}

func isLoaded(report driver.Report, wanted configurer.Application) bool {
	return report.Model == wanted.Model && report.Version == wanted.Version && report.Adapter == wanted.Adapter
}
