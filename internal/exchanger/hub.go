package exchanger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// In a large zone, sending load from each host to all others needs more processor
// time than a small host has. Sending less often is worse: all hosts then see the
// same idle engine and choose it. So the first hosts of a large zone, in an order that
// is the same on all hosts, are its hubs. A hub receives the load of each host of its
// zone, and from the hubs of other zones the sum of theirs. It sends each host of its
// zone the sum of everything except that host's own load. Updates are two or three
// ticks old at any fleet size.
//
// Hosts may briefly disagree about who is a hub. Each message states whose load it
// carries, and a host uses only what fits its own role, so that no load counts twice.

const (
	// HubsPerZone is the number of hubs of a large zone. With two, the others still get
	// updates if one hub is killed, frozen or unreachable.
	HubsPerZone = 2
	// MaxSmallZoneHosts is the zone size up to which all hosts of the zone are hubs. In a
	// fleet of only small zones each host sends to all others.
	MaxSmallZoneHosts = 4
	// heartbeatSendersPerZone is the number of hosts that send heartbeats to all others of a
	// large zone: the hubs, their successors, and the hosts that do work for the whole zone
	// that a few are enough for. If all hosts did, the messages would grow with the square of
	// the zone.
	heartbeatSendersPerZone = 8
	// restSource and zoneSource name sums among the sources of load. They contain a slash,
	// which host ids do not.
	restSource = "/rest"
	zoneSource = "/zone/"
)

// partFor returns whose load is sent to a peer.
func (ex *Exchanger) partFor(t *topology, peer Peer) exchangerpb.Part {
	part := ex.partIfOnlyHub(t, peer)
	if part == exchangerpb.Part_PART_REST && !ex.isHubFor(t, peer) {
		return exchangerpb.Part_PART_NONE
	}
	return part
}

// partIfOnlyHub returns whose load would be sent to a peer if all other hubs of its zone were
// unreachable.
func (ex *Exchanger) partIfOnlyHub(t *topology, peer Peer) exchangerpb.Part {
	isHub, isOwnZone := t.hubs[ex.cfg.HostID], peer.Zone == ex.cfg.Zone
	switch {
	case t.isFullMesh:
		return exchangerpb.Part_PART_OWN
	case isOwnZone && t.hubs[peer.HostID]:
		return exchangerpb.Part_PART_OWN
	case isOwnZone && isHub:
		return exchangerpb.Part_PART_REST
	case isHub && t.hubs[peer.HostID]:
		return exchangerpb.Part_PART_ZONE
	default:
		return exchangerpb.Part_PART_NONE
	}
}

// isHubFor reports whether this hub sends the sum of all load to a host of its zone. The hubs
// of a zone divide its hosts among them; a hub whose other hub has timed out sends to all of
// them.
func (ex *Exchanger) isHubFor(t *topology, peer Peer) bool {
	hubs := t.zoneHubs[ex.cfg.Zone]
	if len(hubs) == 0 {
		return true
	}
	assigned := hubs[xxhash.Sum64String(peer.HostID)%uint64(len(hubs))]
	if assigned == ex.cfg.HostID {
		return true
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	state := ex.states[assigned]
	return state == nil || !state.status.Reachable || time.Since(state.status.LastUpdate) > hubTimeout
}

// hubTimeout is the time without an update after which a hub takes over another hub's hosts.
// Hubs send each other their loads some tens of times a second.
const hubTimeout = 500 * time.Millisecond

// sourceOf returns the name under which a peer's load is counted; empty if it is not counted
// because it also arrives through another host.
func (ex *Exchanger) sourceOf(t *topology, state *peerState) string {
	isHub := t.isFullMesh || t.hubs[ex.cfg.HostID]
	switch state.part {
	case exchangerpb.Part_PART_OWN:
		if isHub && (t.isFullMesh || state.status.Peer.Zone == ex.cfg.Zone) {
			return state.status.Peer.HostID
		}
	case exchangerpb.Part_PART_REST:
		if !isHub {
			return restSource
		}
	case exchangerpb.Part_PART_ZONE:
		if isHub && state.status.Peer.Zone != ex.cfg.Zone {
			return zoneSource + state.status.Peer.Zone
		}
	}
	return ""
}

// peerContent is the load and the leaving endpoints that one message carries.
type peerContent struct {
	loads   map[string]Load
	leaving []LeavingEndpoint
	hosts   int

	refusals []Refusal
}

// contentFor collects what a peer that gets the given part is sent.
func (ex *Exchanger) contentFor(part exchangerpb.Part, peer Peer, own map[string]Load) peerContent {
	c := peerContent{leaving: ex.local.Leaving()}
	if part == exchangerpb.Part_PART_NONE {
		return c
	}
	c.refusals = ex.ownRefusals()
	c.loads, c.hosts = own, 1
	if part == exchangerpb.Part_PART_OWN {
		return c
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	sum := ex.sumLocked(part, own, time.Now())
	c.loads, c.hosts = copyLoads(sum.loads), sum.hosts
	for hostID, state := range ex.states {
		if _, isIncluded := sum.parts[state]; isIncluded && hostID != peer.HostID {
			c.leaving = append(c.leaving, state.leaving...)
			c.refusals = append(c.refusals, state.currentRefusals(sum.at)...)
		}
	}
	c.refusals = mergeRefusals(c.refusals)
	if own, isIncluded := sum.parts[ex.states[peer.HostID]]; isIncluded {
		c.subtract(own)
	}
	return c
}

// sum is the load of several hosts. It is immutable.
type sum struct {
	at    time.Time
	loads map[string]Load
	hosts int
	parts map[*peerState]sumPart // the peers that it includes
}

// sumPart is what one peer contributes to a sum.
type sumPart struct {
	loads map[string]Load
	hosts int
}

// sumLocked returns the load of all hosts of a part, including this host, at most half a tick
// old. Adding it up again for each peer would multiply a hub's work by its number of peers.
func (ex *Exchanger) sumLocked(part exchangerpb.Part, own map[string]Load, now time.Time) *sum {
	if s := ex.sums[part]; s != nil && now.Sub(s.at) < ex.cfg.Tick/2 {
		return s
	}
	s := &sum{at: now, loads: copyLoads(own), hosts: 1, parts: map[*peerState]sumPart{}}
	newest := map[string]*peerState{} // for each other zone, the hub with the latest update
	for _, state := range ex.states {
		if !state.status.Reachable {
			continue
		}
		zone := state.status.Peer.Zone
		switch {
		case state.part == exchangerpb.Part_PART_OWN && zone == ex.cfg.Zone:
			s.add(state)
		case state.part == exchangerpb.Part_PART_ZONE && part == exchangerpb.Part_PART_REST && zone != ex.cfg.Zone:
			if latest := newest[zone]; latest == nil || state.status.LastUpdate.After(latest.status.LastUpdate) {
				newest[zone] = state
			}
		}
	}
	for _, state := range newest {
		s.add(state)
	}
	ex.sums[part] = s
	return s
}

func (s *sum) add(state *peerState) {
	s.parts[state] = sumPart{loads: copyLoads(state.loads), hosts: state.hosts}
	s.hosts += state.hosts
	for endpointID, load := range state.loads {
		total := s.loads[endpointID]
		total.Requests += load.Requests
		total.PrefillTokens += load.PrefillTokens
		total.DecodeTokens += load.DecodeTokens
		s.loads[endpointID] = total
	}
}

// subtract removes a part that is included in the sum.
func (c *peerContent) subtract(part sumPart) {
	c.hosts -= part.hosts
	for endpointID, load := range part.loads {
		remaining := c.loads[endpointID]
		remaining.Requests -= load.Requests
		remaining.PrefillTokens -= load.PrefillTokens
		remaining.DecodeTokens -= load.DecodeTokens
		if remaining == (Load{}) {
			delete(c.loads, endpointID)
			continue
		}
		c.loads[endpointID] = remaining
	}
}
