package relayer

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
)

// This file determines how old a change may be that this host receives late. An endpoint whose
// entry is removed stays listed for a while, so that it can write the entry again, and a host
// that receives the removal late must not start that time anew.

// freshUpdateAge is the age of the last update up to which a peer counts as connected. Peers
// that send no load send a heartbeat each second.
const freshUpdateAge = 1200 * time.Millisecond

// minLapseTime is the shortest time without the store after which entries may have lapsed
// because endpoints could not renew them.
const minLapseTime = 2500 * time.Millisecond

// MissedSince implements follower.Peers. If all hosts were without the store, the changes are
// recent: no host has received them before, and while the store was down it made none but the
// expiry of leases.
func (r *Relayer) MissedSince() time.Time {
	now, since := time.Now(), r.log.missedSince()
	if now.Sub(since) >= minLapseTime && r.isOutageShared(now) {
		return now
	}
	return since
}

// IsIsolated implements follower.Peers.
func (r *Relayer) IsIsolated() bool {
	now := time.Now()
	peers := r.cfg.Pool.Peers()
	connected := r.connectedPeers(peers, now)
	return len(peers) > 0 && len(connected) == 0
}

// isOutageShared reports whether this host is connected to most of its peers, and none of them
// has received later changes.
func (r *Relayer) isOutageShared(now time.Time) bool {
	peers, latest := r.cfg.Pool.Peers(), r.log.latestRevision()
	connected := r.connectedPeers(peers, now)
	isAhead := func(status exchanger.PeerStatus) bool { return status.StoreRevision > latest }
	return 2*len(connected) >= len(peers) && !slices.ContainsFunc(connected, isAhead)
}

// connectedPeers returns the statuses of those peers that have sent an update recently.
func (r *Relayer) connectedPeers(peers []exchanger.Peer, now time.Time) []exchanger.PeerStatus {
	return slices.DeleteFunc(r.cfg.PeerStatuses(), func(status exchanger.PeerStatus) bool {
		isPeer := slices.ContainsFunc(peers, func(peer exchanger.Peer) bool { return peer.HostID == status.Peer.HostID })
		return !isPeer || now.Sub(status.LastUpdate) > freshUpdateAge
	})
}

// Resumed takes account of a suspension of the host.
func (r *Relayer) Resumed(suspended time.Duration) { r.log.resumed(suspended) }
