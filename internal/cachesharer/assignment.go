package cachesharer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/driver"
)

// WatchersPerEngine is the number of hosts that watch each engine. With two, an engine is
// still watched if one of them is killed, frozen or unreachable.
const WatchersPerEngine = 2

// Host is an entry host that may watch engines.
type Host struct {
	ID   string
	Zone string
}

// Engine is an engine that may be watched.
type Engine struct {
	Target driver.Target
	Zone   string
}

// WatchedEngines returns the engines that a host watches. An engine is watched by hosts of its
// own zone if there are any, so that an isolated zone still knows its own engines. All hosts
// compute the same assignment from the available hosts that may watch; while they disagree
// about these, an engine may have one watcher more or fewer.
func WatchedEngines(own Host, hosts []Host, engines []Engine) (watched []driver.Target) {
	zones := map[string][]Host{}
	for _, host := range hosts {
		zones[host.Zone] = append(zones[host.Zone], host)
	}
	for _, engine := range engines {
		candidates := zones[engine.Zone]
		if len(candidates) == 0 {
			candidates = hosts
		} else if engine.Zone != own.Zone {
			continue
		}
		if slices.Contains(candidates, own) && isAmongFirst(own, candidates, engine.Target.EndpointID) {
			watched = append(watched, engine.Target)
		}
	}
	return watched
}

// isAmongFirst reports whether fewer than WatchersPerEngine hosts come before a host in the
// order of weights for the engine.
func isAmongFirst(own Host, hosts []Host, endpointID string) bool {
	ownWeight, before := weight(own, endpointID), 0
	for _, host := range hosts {
		if host.ID != own.ID && weight(host, endpointID) > ownWeight {
			before++
		}
	}
	return before < WatchersPerEngine
}

// weight is the rendezvous hash weight of a host for an engine.
func weight(host Host, endpointID string) uint64 {
	return xxhash.Sum64String(host.ID + "@" + endpointID)
}
