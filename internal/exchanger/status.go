package exchanger

import (
	"sort"
	"time"
)

// This file reports the state of the peers.

// PeerStatus is the state of a peer as this host sees it.
type PeerStatus struct {
	Peer                  Peer
	Incarnation           string
	Reachable             bool // it has sent a message within Config.PeerTimeout
	Draining              bool
	LastUpdate            time.Time
	ConfigurationRevision int64
	StoreRevision         int64 // store revision up to which it knows the changes
	// ReducedReach lists the applications of which it does not reach all endpoints, or is short
	// of capacity.
	ReducedReach   []ApplicationReach
	ActiveRequests int64 // that it is serving
}

// Statuses returns the status of each peer, ordered by host id.
func (ex *Exchanger) Statuses() []PeerStatus {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	statuses := make([]PeerStatus, 0, len(ex.states))
	for _, peer := range ex.states {
		statuses = append(statuses, peer.status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Peer.HostID < statuses[j].Peer.HostID })
	return statuses
}

// CountReachable returns the number of reachable peers.
func (ex *Exchanger) CountReachable() (n int) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, state := range ex.states {
		if state.status.Reachable {
			n++
		}
	}
	return n
}

// IsUnavailable reports whether a peer has sent messages before and has now timed out or is
// draining.
func (ex *Exchanger) IsUnavailable(hostID string) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.isUnavailableLocked(hostID)
}

func (ex *Exchanger) isUnavailableLocked(hostID string) bool {
	state := ex.states[hostID]
	if state == nil || state.status.LastUpdate.IsZero() {
		return false
	}
	return !state.status.Reachable || state.status.Draining
}
