// Package relayer reduces the load on the platform's store: in an availability
// zone with more than two entry hosts, two watch the store and relay its changes
// to the others.
//
// The rate of calls to the store, and what they cost, grow with the number of
// watches. So the first hosts of a zone, in an order that all of them compute
// alike, watch the store, and each other host follows two of these. A host whose
// peers stop sending, or report that they have lost the store, watches it itself at once.
// Correctness does not depend on these roles: a host that is followed watches the
// store, a host that receives nothing watches it, and duplicate changes are
// dropped.
//
// In zones of any size a host that is to watch the store itself, and is behind its
// peers, requests the missing changes from one of them, since the store may reject
// some hosts while it serves others.
//
// # Usage
//
//	r := relayer.New(relayer.Config{HostID: id, Store: store, Pool: ex, ZoneHosts: hosts, ...})
//	r.Register(ex.Registrar())
//	f := follower.New(follower.Config{Store: r, ...}) // its watches go through peers
//	err = r.Close()
package relayer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/relayer/relayerpb"
)

const (
	// heartbeatInterval is the time between two messages to a follower while nothing
	// changes. They show it that this host still receives changes from the store.
	heartbeatInterval = 300 * time.Millisecond
	// feedIdleTimeout is the time without a message after which a feed has failed:
	// three heartbeats, and well below the two seconds in which a change has to be
	// in force on all hosts.
	feedIdleTimeout = time.Second
	// peerFailureBackoff is how long a peer is neither followed nor queried after a
	// failure.
	peerFailureBackoff = 3 * time.Second
	// minStoreWatch is how long a host watches the store itself before it tries to
	// follow peers. After a start the hosts have yet to discover each other, and
	// after a failure the same peers would fail again.
	minStoreWatch = 1500 * time.Millisecond
	// batchDelay is the delay of a watch after changes, so that several changes in
	// quick succession cost one call. Without it each host's own entry would
	// trigger a call of every other host when a fleet starts.
	batchDelay = 200 * time.Millisecond
	// largeZoneBatchDelay replaces batchDelay on a host that watches the store only
	// until it can follow peers.
	largeZoneBatchDelay = 600 * time.Millisecond
)

// Config configures a Relayer.
type Config struct {
	HostID string
	Store  provider.Store
	Pool   exchanger.Pool
	// ZoneHosts returns the hosts of this zone that are known to be live, including
	// this one. The first in exchanger.Order watch the store.
	ZoneHosts func() []exchanger.Peer
	// PeerStatuses returns the latest status of each peer.
	PeerStatuses func() []exchanger.PeerStatus
	// Configuration returns the entry of the configuration in force, for peers that start
	// while the store has lost it; nil: none is passed on.
	Configuration func() (entry provider.Entry, ok bool)
	Logger        hclog.Logger
}

// Relayer is a provider.Store whose watches may be served by peers. The other
// methods return the results of the underlying store. Only one watch may be open
// at a time. The Relayer keeps the changes that it receives, for peers that request
// them. All methods are safe for concurrent use.
type Relayer struct {
	provider.Store
	relayerpb.UnimplementedRelayServer

	cfg        Config
	log        *changeLog
	done       chan struct{} // closed by Close
	feeds      atomic.Int64  // from peers that have sent a message
	isIsolated atomic.Bool   // no peer has sent an update recently

	mu          sync.Mutex
	isWatching  bool // this host receives changes from the store itself
	watchEnded  chan struct{}
	followers   int
	failedAt    map[string]time.Time // last failure of each peer, by host id
	feedsLostAt time.Time            // when the last feed from a peer was lost
	queryCount  int                  // number of queries for changes, to take turns among peers
}

// New returns a Relayer.
func New(cfg Config) *Relayer {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Relayer{
		Store: cfg.Store, cfg: cfg, log: newChangeLog(), done: make(chan struct{}), watchEnded: make(chan struct{}),
		failedAt: map[string]time.Time{},
	}
}

// Register registers the relay service on the server for peers.
func (r *Relayer) Register(registrar grpc.ServiceRegistrar) {
	relayerpb.RegisterRelayServer(registrar, r)
}

// Close ends the streams to followers, which a graceful stop of the server for
// peers waits for. It always returns nil.
func (r *Relayer) Close() error {
	close(r.done)
	return nil
}

// WatchesStore reports whether this host has to watch the store itself.
func (r *Relayer) WatchesStore() bool {
	now := time.Now()
	r.mu.Lock()
	mustWatch := r.followers > 0 || now.Sub(r.feedsLostAt) < minStoreWatch
	r.mu.Unlock()
	return mustWatch || r.isIsolated.Load() || len(r.sourcePeers(now)) == 0
}

// Watch delivers the changes from a revision on, as provider.Store does. The prefix
// has to be the same in all calls, since followers receive what this host watches.
// The watch ends with provider.ErrWatchSourceChanged when the caller has to call Watch again.
// If WatchesStore is true, the caller must just have reached the store.
func (r *Relayer) Watch(ctx context.Context, prefix string, from int64) (provider.Watcher, error) {
	r.log.continueFrom(from)
	if r.WatchesStore() {
		return r.watchStore(ctx, prefix, from)
	}
	return r.followPeers(ctx), nil
}

// sourcePeers returns the peers that this host may follow, in order of preference,
// or none if it has to watch the store itself.
func (r *Relayer) sourcePeers(now time.Time) (hostIDs []string) {
	hosts := r.cfg.ZoneHosts()
	if len(hosts) <= exchanger.HubsPerZone {
		return nil
	}
	slices.SortFunc(hosts, exchanger.ComparePriority)
	own := slices.IndexFunc(hosts, func(h exchanger.Peer) bool { return h.HostID == r.cfg.HostID })
	if own >= 0 && own < exchanger.HubsPerZone {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range hosts {
		if host.HostID != r.cfg.HostID && now.Sub(r.failedAt[host.HostID]) > peerFailureBackoff {
			hostIDs = append(hostIDs, host.HostID)
		}
	}
	return hostIDs
}

// watchStore watches the store itself.
func (r *Relayer) watchStore(ctx context.Context, prefix string, from int64) (provider.Watcher, error) {
	w := newWatcher(ctx)
	storeWatcher, err := r.Store.Watch(w.ctx, prefix, from)
	if err != nil {
		w.cancel()
		return nil, err
	}
	if paced, ok := storeWatcher.(provider.PacedWatcher); ok {
		paced.SetDelay(r.delayAfterChanges)
	}
	r.cfg.Logger.Info("watching the store for changes", "from_revision", from)
	// The caller has just read from the store; the first response of a watch may
	// take as long as the store's longest wait.
	r.setWatching(true)
	w.group.Go(func() error {
		defer close(w.changes)
		err := r.forwardChanges(w, storeWatcher)
		r.setWatching(false)
		w.err = errors.Join(err, storeWatcher.Close())
		return nil
	})
	return w, nil
}

// forwardChanges delivers the store's changes until the watch fails or this host
// can follow peers.
func (r *Relayer) forwardChanges(w *watcher, storeWatcher provider.Watcher) error {
	started := time.Now()
	age := max(started.Sub(r.MissedPeriod().Latest), 0)
	for changes := range storeWatcher.Changes() {
		for i := range changes {
			changes[i].Age = age
		}
		age = 0 // later changes are received as they are made
		if !w.deliver(r.log.appendNew(changes)) {
			return w.ctx.Err()
		}
		if time.Since(started) >= minStoreWatch && !r.WatchesStore() {
			return provider.ErrWatchSourceChanged
		}
	}
	return storeWatcher.Err()
}

// delayAfterChanges returns the delay of a watch after changes. While a host does
// not know the hosts of its zone, it can't determine whether others will follow it, and
// uses the shorter delay.
func (r *Relayer) delayAfterChanges() time.Duration {
	r.mu.Lock()
	isFollowed := r.followers > 0
	r.mu.Unlock()
	if !isFollowed && len(r.sourcePeers(time.Now())) > 0 {
		return largeZoneBatchDelay
	}
	return batchDelay
}

// setWatching records whether this host receives changes from the store itself, and
// notifies followers when it no longer does.
func (r *Relayer) setWatching(watching bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isWatching && !watching {
		close(r.watchEnded)
		r.watchEnded = make(chan struct{})
	}
	r.isWatching = watching
}
