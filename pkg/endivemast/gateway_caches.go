package endivemast

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/cachesharer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/lister"
	"github.com/endivemast/endivemast/internal/provider"
)

// Which engines a Gateway watches for changes of their prompt caches.

// watchUpdateInterval is how often a host updates the set of engines that it watches: a
// host that sends no heartbeats any more is replaced within this time.
const watchUpdateInterval = 500 * time.Millisecond

// watchAfterUse is for how long after its last use an engine is watched for cache events,
// which arrive some hundred milliseconds late.
const watchAfterUse = 2 * time.Second

// setEndpoints applies a change of the list of endpoints.
func (g *Gateway) setEndpoints(change lister.ListChange, now time.Time) {
	var engines []driver.Target
	for i := range change.Hosts {
		host := &change.Hosts[i]
		if host.Kind == provider.HostEngine {
			engines = append(engines, targetOf(host))
		}
	}
	g.setPaths(&change)
	g.setStreamEndpoints(&change)
	if change.IsSnapshot {
		g.scheduler.SetHosts(change.Hosts, now)
		g.caches.SetTargets(engines)
	} else {
		g.scheduler.UpdateHosts(change.Hosts, change.Removed, now)
		g.caches.UpdateTargets(engines, change.Removed)
	}
	// A restarted process has exited before.
	g.quarantiner.SetProcesses(func(endpointID string) (incarnation string, ok bool) {
		host, ok := g.registrations.Find(endpointID)
		return host.Incarnation, ok
	})
}

func targetOf(host *provider.Host) driver.Target {
	return driver.Target{EndpointID: host.ID, Incarnation: host.Incarnation, Address: host.Address, SoftwareVersion: host.SoftwareVersion}
}

// applyCacheEvents applies changes of an engine's cache.
func (g *Gateway) applyCacheEvents(target driver.Target, events driver.CacheEvents, isSnapshot bool) {
	g.scheduler.ApplyCacheEvents(target, events, isSnapshot)
}

// updateWatches sets the engines that this host watches.
func (g *Gateway) updateWatches() {
	var hosts []cachesharer.Host
	for _, peer := range g.exchanger.HeartbeatSenders() {
		hosts = append(hosts, cachesharer.Host{ID: peer.HostID, Zone: peer.Zone})
	}
	own := cachesharer.Host{ID: g.cfg.HostID, Zone: g.cfg.Zone}
	var engines []cachesharer.Engine
	if slices.Contains(hosts, own) {
		for _, host := range g.registrations.Hosts() {
			if host.Kind == provider.HostEngine {
				engines = append(engines, cachesharer.Engine{Target: targetOf(&host), Zone: host.Zone})
			}
		}
	}
	watched := cachesharer.WatchedEngines(own, hosts, engines)
	g.caches.SetWatched(watched)
	slices.SortFunc(watched, func(a, b driver.Target) int { return strings.Compare(a.EndpointID, b.EndpointID) })
	isUsed := g.scheduler.UsedSince(watched, time.Now().Add(-watchAfterUse))
	g.cacheWatcher.SetTargets(watched, func(process driver.Process) bool { return !isUsed[process] })
}
