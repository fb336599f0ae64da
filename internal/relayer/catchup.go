package relayer

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/relayer/relayerpb"
)

// A host does not depend on the store alone for changes: the store may reject some
// hosts while it serves others, and a watch can hang. Each host therefore reports
// up to which revision it has received changes, and a host that is behind queries
// a peer. Without that, three of nine hosts that the store rejected for 10.8 s while
// an endpoint left continued to send to it: 12 requests failed, 8 of them after about
// a second, and two ran later than the endpoint allows. With queries such hosts
// receive the change within 0.6 s, and none of these requests fails or runs late.

// errNoPeerAhead means that no peer can be queried for changes.
var errNoPeerAhead = eris.New("no reachable peer has later changes")

// IsPeerAhead reports whether a reachable peer has received changes after a
// revision.
func (r *Relayer) IsPeerAhead(revision int64) bool {
	for _, status := range r.cfg.PeerStatuses() {
		if status.Reachable && isAhead(&status, revision) {
			return true
		}
	}
	return false
}

// isAhead reports whether a peer has received changes after a revision. One that was given a revision that the store
// can't have reached is not ahead.
func isAhead(status *exchanger.PeerStatus, revision int64) bool {
	return status.StoreRevision > revision && provider.IsPlausible(status.StoreRevision, revision)
}

// FetchFromPeers requests the changes after a revision from the peer with the
// latest revision. Among equals it prefers the largest share of processor cores,
// and takes turns among those that are equal in that too. The update may be empty.
func (r *Relayer) FetchFromPeers(ctx context.Context, after int64) (update provider.Update, err error) {
	defer func() { err = eris.Wrap(err, "catch up with peers") }()
	peer, ok := r.pickPeerAhead(after, time.Now())
	if !ok {
		return update, errNoPeerAhead
	}
	return r.fetchFrom(ctx, peer, after)
}

// configurationOnly in place of a revision requests the configuration in force and no
// changes.
const configurationOnly = math.MaxInt64

// IsConfigurationLost reports whether a reachable peer has a configuration after a
// version in force, although it knows no later revision of the store than this host: the
// store has lost that configuration.
func (r *Relayer) IsConfigurationLost(version int64) bool {
	return len(r.peersWithConfiguration(version)) > 0
}

// FetchLostConfiguration requests a configuration after a version from a peer, for a
// store that has lost it. It takes a random one of the peers with the latest version,
// since many hosts may have started at once.
func (r *Relayer) FetchLostConfiguration(ctx context.Context, version int64) (entry provider.Entry, err error) {
	defer func() { err = eris.Wrap(err, "fetch configuration from a peer") }()
	peers := r.peersWithConfiguration(version)
	if len(peers) == 0 {
		return entry, errNoPeerAhead
	}
	update, err := r.fetchFrom(ctx, peers[rand.IntN(len(peers))], configurationOnly)
	if err != nil {
		return entry, err
	}
	if len(update.Changes) == 0 {
		return entry, provider.ErrNotFound
	}
	return update.Changes[0].Entry, nil
}

// peersWithConfiguration returns the peers with the latest configuration after a version,
// among those that know no later revision of the store than this host.
func (r *Relayer) peersWithConfiguration(version int64) (hostIDs []string) {
	revision, now := r.log.latestRevision(), time.Now()
	if provider.EraOf(revision) == 0 {
		return nil // the store states no era, and loses nothing
	}
	for _, status := range r.cfg.PeerStatuses() {
		if !status.Reachable || status.Draining || status.StoreRevision > revision || !r.canQuery(status.Peer.HostID, now) {
			continue
		}
		if status.ConfigurationRevision > version {
			version, hostIDs = status.ConfigurationRevision, nil
		} else if len(hostIDs) == 0 || status.ConfigurationRevision < version {
			continue
		}
		hostIDs = append(hostIDs, status.Peer.HostID)
	}
	return hostIDs
}

// fetchFrom requests the changes after a revision from a peer.
func (r *Relayer) fetchFrom(ctx context.Context, peer string, after int64) (update provider.Update, err error) {
	conn, err := r.cfg.Pool.Conn(peer)
	if err != nil {
		r.recordFailure(peer, err)
		return update, err
	}
	reply, err := relayerpb.NewRelayClient(conn).CatchUp(ctx, &relayerpb.CatchUpRequest{AfterRevision: after}, grpc.WaitForReady(true))
	if err != nil {
		r.recordFailure(peer, err)
		return update, err
	}
	if after != configurationOnly && !provider.IsPlausible(reply.GetRevision(), after) {
		return update, eris.Errorf("peer %s is at revision %d, after %d", peer, reply.GetRevision(), after)
	}
	return provider.Update{
		Changes: changesFromMessage(reply.GetChanges()), Revision: reply.GetRevision(), IsSnapshot: reply.GetIsWhole(),
	}, nil
}

// RecordUpdate records an update that this host has applied, so that it can be
// passed on.
func (r *Relayer) RecordUpdate(update provider.Update) { r.log.applyUpdate(update) }

// LatestRevision returns the revision up to which this host has received changes.
func (r *Relayer) LatestRevision() int64 { return r.log.latestRevision() }

// List reads from the store and keeps the entries for peers that request them.
func (r *Relayer) List(ctx context.Context, prefix string) (entries []provider.Entry, revision int64, err error) {
	entries, revision, err = r.Store.List(ctx, prefix)
	if err == nil {
		r.log.setEntries(prefix, entries)
	}
	return entries, revision, err
}

// ListStale implements provider.StaleLister. If the store does not support stale
// reads, it calls List.
func (r *Relayer) ListStale(ctx context.Context, prefix string) (entries []provider.Entry, revision int64, err error) {
	stale, ok := r.Store.(provider.StaleLister)
	if !ok {
		return r.List(ctx, prefix)
	}
	entries, revision, err = stale.ListStale(ctx, prefix)
	if err == nil {
		r.log.setEntries(prefix, entries)
	}
	return entries, revision, err
}

// errNoPoller means that the store does not support polling.
var errNoPoller = eris.New("store does not support polling for changes")

// Poll implements provider.Poller.
func (r *Relayer) Poll(ctx context.Context, prefix string, after int64) (changes []provider.Change, revision int64, err error) {
	poller, ok := r.Store.(provider.Poller)
	if !ok {
		return nil, 0, errNoPoller
	}
	return poller.Poll(ctx, prefix, after)
}

// DropIdle implements provider.IdleDropper.
func (r *Relayer) DropIdle() {
	if dropper, ok := r.Store.(provider.IdleDropper); ok {
		dropper.DropIdle()
	}
}

// recentUpdateAge is the age of the last update up to which a peer is preferred
// for queries. Peers send updates every 100 ms, or every 200 ms through hubs. A
// killed peer counts as reachable for three seconds, and a call to it takes a
// second to fail.
const recentUpdateAge = 600 * time.Millisecond

// pickPeerAhead picks the peer to query for the changes after a revision: one with
// a recent update, the latest revision and the most cores.
func (r *Relayer) pickPeerAhead(after int64, now time.Time) (hostID string, ok bool) {
	statuses := slices.DeleteFunc(r.cfg.PeerStatuses(), func(status exchanger.PeerStatus) bool {
		return !status.Reachable || status.Draining || !isAhead(&status, after) || !r.canQuery(status.Peer.HostID, now)
	})
	if len(statuses) == 0 {
		return "", false
	}
	isRecent := func(status exchanger.PeerStatus) bool { return now.Sub(status.LastUpdate) <= recentUpdateAge }
	if slices.ContainsFunc(statuses, isRecent) {
		statuses = slices.DeleteFunc(statuses, func(status exchanger.PeerStatus) bool { return !isRecent(status) })
	}
	best := slices.MaxFunc(statuses, compareByRevision)
	statuses = slices.DeleteFunc(statuses, func(status exchanger.PeerStatus) bool { return compareByRevision(status, best) < 0 })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queryCount++
	return statuses[r.queryCount%len(statuses)].Peer.HostID, true
}

// canQuery returns false for a peer that has failed recently, and for a former
// peer whose last status is still known.
func (r *Relayer) canQuery(hostID string, now time.Time) bool {
	if r.hasFailedRecently(hostID, now) {
		return false
	}
	_, err := r.cfg.Pool.Conn(hostID)
	return err == nil
}

// compareByRevision orders peers by revision, then by their share of cores: hosts
// that differ in cores differ in their links too.
func compareByRevision(a, b exchanger.PeerStatus) int {
	return cmp.Or(cmp.Compare(a.StoreRevision, b.StoreRevision), cmp.Compare(a.Peer.ProcessorShare, b.Peer.ProcessorShare))
}

func (r *Relayer) hasFailedRecently(hostID string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.failedAt[hostID]) <= peerFailureBackoff
}

// CatchUp implements relayerpb.RelayServer. Changes that this host has received
// are valid whether or not it reaches the store at present.
func (r *Relayer) CatchUp(_ context.Context, request *relayerpb.CatchUpRequest) (*relayerpb.CatchUpReply, error) {
	if request.GetAfterRevision() == configurationOnly {
		return r.configurationReply(), nil
	}
	update := r.log.updateSince(request.GetAfterRevision())
	return &relayerpb.CatchUpReply{
		Changes: changesToMessage(update.Changes), Revision: update.Revision, IsWhole: update.IsSnapshot,
	}, nil
}

// configurationReply holds the configuration in force, if there is one.
func (r *Relayer) configurationReply() *relayerpb.CatchUpReply {
	reply := &relayerpb.CatchUpReply{}
	if r.cfg.Configuration == nil {
		return reply
	}
	if entry, ok := r.cfg.Configuration(); ok {
		reply.Changes = changesToMessage([]provider.Change{{Entry: entry}})
	}
	return reply
}
