package relayer

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// This file determines how old a change may be that this host receives late. An endpoint whose
// entry is removed stays listed for a while, so that it can write the entry again, and a host
// that receives the removal late must not start that time anew.

// freshUpdateAge is the age of the last update up to which a peer counts as connected. Peers
// that send no load send a heartbeat each second.
const freshUpdateAge = 1200 * time.Millisecond

// MissedPeriod implements follower.Peers. If all hosts were without the store, the changes are
// recent: no host has received them before, and while the store was down it made none but the
// expiry of leases.
func (r *Relayer) MissedPeriod() provider.Period {
	now, since := time.Now(), r.log.missedSince()
	if r.isOutageShared(now) {
		return provider.Period{Earliest: since, Latest: now}
	}
	return provider.Period{Earliest: since, Latest: since}
}

// IsIsolated implements follower.Peers. It has to be called several times a second: a host that
// is isolated watches the store itself.
func (r *Relayer) IsIsolated() bool {
	now, statuses := time.Now(), r.cfg.PeerStatuses()
	isConnected := func(status exchanger.PeerStatus) bool { return now.Sub(status.LastUpdate) <= freshUpdateAge }
	isIsolated := len(statuses) > 0 && !slices.ContainsFunc(statuses, isConnected)
	r.isIsolated.Store(isIsolated)
	return isIsolated
}

// isOutageShared reports whether this host is connected to most of its peers, and none of them
// has received later changes.
func (r *Relayer) isOutageShared(now time.Time) bool {
	statuses := map[string]exchanger.PeerStatus{}
	for _, status := range r.cfg.PeerStatuses() {
		statuses[status.Peer.HostID] = status
	}
	peers, latest, connected := r.cfg.Pool.Peers(), r.log.latestRevision(), 0
	for _, peer := range peers {
		status, ok := statuses[peer.HostID]
		if !ok || now.Sub(status.LastUpdate) > freshUpdateAge {
			continue
		}
		if status.StoreRevision > latest {
			return false
		}
		connected++
	}
	return 2*connected >= len(peers)
}

// Resumed takes account of a suspension of the host.
func (r *Relayer) Resumed(suspended time.Duration) { r.log.resumed(suspended) }
