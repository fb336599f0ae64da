package relayer

import (
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
)

// This file determines how old a change may be that this host receives late. An endpoint whose
// entry is removed stays listed for a while, so that it can write the entry again, and a host
// that receives the removal late must not start that time anew.

// freshUpdateAge is the age of the last update up to which a peer counts as connected. Peers
// that send no load send a heartbeat each second.
const freshUpdateAge = 1200 * time.Millisecond

// MissedSince implements follower.Peers. If all hosts were without the store, the changes are
// recent: no host has received them before, and while the store was down it made none but the
// expiry of leases.
func (r *Relayer) MissedSince() time.Time {
	now := time.Now()
	if r.isOutageShared(now) {
		return now
	}
	return r.log.missedSince()
}

// isOutageShared reports whether this host is connected to most of its peers, and none of them
// has received later changes.
func (r *Relayer) isOutageShared(now time.Time) bool {
	statuses := map[string]exchanger.PeerStatus{}
	for _, status := range r.cfg.PeerStatuses() {
		statuses[status.Peer.HostID] = status
	}
	peers, connected := r.cfg.Pool.Peers(), 0
	for _, peer := range peers {
		status, ok := statuses[peer.HostID]
		if !ok || now.Sub(status.LastUpdate) > freshUpdateAge {
			continue
		}
		if status.StoreRevision > r.log.latestRevision() {
			return false
		}
		connected++
	}
	return 2*connected >= len(peers)
}

// Resumed takes account of a suspension of the host.
func (r *Relayer) Resumed(suspended time.Duration) { r.log.resumed(suspended) }
