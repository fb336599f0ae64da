package exchanger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// This file decides which hosts are hubs and which send heartbeats to their whole
// zone, according to the peers that this host knows.

// updateTopologyLocked recomputes the topology from the peers. It returns the sources whose
// load no longer counts, because it now arrives through another host and would count twice.
func (ex *Exchanger) updateTopologyLocked() (dropped []string) {
	hosts := []Peer{{HostID: ex.cfg.HostID, Zone: ex.cfg.Zone, ProcessorShare: ex.cfg.ProcessorShare}}
	for _, l := range ex.links {
		hosts = append(hosts, l.peer)
	}
	before := ex.topology
	next := topology{isFullMesh: true}
	if ex.cfg.HasHubs {
		next = newTopology(hosts)
	}
	isHub := next.hubs[ex.cfg.HostID]
	if before != nil && (before.isFullMesh != next.isFullMesh || before.hubs[ex.cfg.HostID] != isHub) {
		ex.cfg.Logger.Info("role in the load exchange changed", "is_hub", isHub, "is_full_mesh", next.isFullMesh, "hosts", len(hosts))
	}
	ex.topology, ex.loadPeers = &next, 0
	for _, l := range ex.links {
		if ex.partIfOnlyHub(&next, l.peer) != exchangerpb.Part_PART_NONE {
			ex.loadPeers++
		}
	}
	ex.runPublishersLocked()
	for _, state := range ex.states {
		if before == nil {
			break
		}
		if source := ex.sourceOf(before, state); source != "" && source != ex.sourceOf(&next, state) {
			dropped = append(dropped, source)
		}
	}
	return dropped
}

func (ex *Exchanger) currentTopology() *topology {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.topology
}

// ComparePriority orders hosts by the priority in which they become hubs: more cores first.
// The order is the same on all hosts.
func ComparePriority(a, b Peer) int {
	if a.ProcessorShare != b.ProcessorShare {
		return cmp.Compare(b.ProcessorShare, a.ProcessorShare)
	}
	return cmp.Compare(xxhash.Sum64String(a.HostID), xxhash.Sum64String(b.HostID))
}

// topology holds which hosts are hubs, as this host sees it. It is immutable.
type topology struct {
	isFullMesh bool // no zone is large; each host sends to all others
	hubs       map[string]bool
	// zoneHubs lists the hubs of each large zone by priority.
	zoneHubs map[string][]string
	// heartbeatSenders are the hosts that send heartbeats to all others of their zone.
	heartbeatSenders map[string]bool
}

// newTopology computes the topology of hosts, which include this host.
func newTopology(hosts []Peer) topology {
	zones := map[string][]Peer{}
	for _, host := range hosts {
		zones[host.Zone] = append(zones[host.Zone], host)
	}
	t := topology{isFullMesh: true, hubs: map[string]bool{}, heartbeatSenders: map[string]bool{}, zoneHubs: map[string][]string{}}
	for zone, members := range zones {
		slices.SortFunc(members, ComparePriority)
		count := len(members)
		if count > MaxSmallZoneHosts {
			t.isFullMesh = false
			count = HubsPerZone
		}
		for _, hub := range members[:count] {
			t.hubs[hub.HostID] = true
			if len(members) > MaxSmallZoneHosts {
				t.zoneHubs[zone] = append(t.zoneHubs[zone], hub.HostID)
			}
		}
		for _, sender := range members[:min(heartbeatSendersPerZone, len(members))] {
			t.heartbeatSenders[sender.HostID] = true
		}
	}
	return t
}

// IsAmongFirstHubs reports whether this host is one of the first n hubs, by priority, that are
// reachable and not draining.
func (ex *Exchanger) IsAmongFirstHubs(n int) bool {
	own := Peer{HostID: ex.cfg.HostID, ProcessorShare: ex.cfg.ProcessorShare}
	before := 0
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.topology.hubs[own.HostID] {
		return false
	}
	for hostID := range ex.topology.hubs {
		state := ex.states[hostID]
		if state != nil && state.status.Reachable && !state.status.Draining && ComparePriority(state.status.Peer, own) < 0 {
			before++
		}
	}
	return before < n
}

// HeartbeatSenders returns the hosts that send heartbeats to all others of their zone, without
// those that are unavailable. It includes this host if it is one of them.
func (ex *Exchanger) HeartbeatSenders() (hosts []Peer) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.topology.heartbeatSenders[ex.cfg.HostID] {
		hosts = append(hosts, Peer{HostID: ex.cfg.HostID, Zone: ex.cfg.Zone, ProcessorShare: ex.cfg.ProcessorShare})
	}
	for hostID, l := range ex.links {
		if ex.topology.heartbeatSenders[hostID] && !ex.isUnavailableLocked(hostID) {
			hosts = append(hosts, l.peer)
		}
	}
	return hosts
}

// Unheard returns the peers that send this host no updates: in large zones only hubs and a few
// other hosts do, and of other zones only hubs, to hubs.
func (ex *Exchanger) Unheard() (peers []Peer) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	t := ex.topology
	isHub := t.hubs[ex.cfg.HostID]
	for hostID, l := range ex.links {
		sends := isHub && t.hubs[hostID]
		if l.peer.Zone == ex.cfg.Zone {
			sends = isHub || t.hubs[hostID] || t.heartbeatSenders[hostID]
		}
		if !sends && !t.isFullMesh {
			peers = append(peers, l.peer)
		}
	}
	return peers
}

// Hubs returns the hubs as this host sees them, including itself if it is one. If no zone is
// large, these are all hosts.
func (ex *Exchanger) Hubs() (hubs []PeerStatus) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for hostID := range ex.topology.hubs {
		status := PeerStatus{Peer: Peer{HostID: hostID}}
		if state := ex.states[hostID]; state != nil {
			status = state.status
		}
		hubs = append(hubs, status)
	}
	return hubs
}
