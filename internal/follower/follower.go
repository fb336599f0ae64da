// Package follower keeps local state in step with keys of the platform's store: it
// reads them once, watches them, and reads them again after a gap in the store's
// history.
//
// One watch serves all topics, since each waiting call is counted and priced. The
// callbacks in Config report when the store is lost and regained.
//
// All updates are ordered by the store's revisions, whether they come from a watch,
// a read or a peer that is ahead of this host. An update that is older than the
// known state of the sinks is dropped, so that it never replaces a later one. A store
// that comes back from an older copy starts a new era, all of whose revisions are later
// (see package provider); its keys are then read again, or fetched from a peer that has
// read them.
//
// # Usage
//
//	f := follower.New(follower.Config{Store: store, Topics: []follower.Topic{{Prefix: "servers/", Sink: list}}})
//	group.Go(func() error { return f.Run(ctx) })
//	err := f.Synchronize(ctx) // nil: the sinks know all that the store had accepted
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay before the store is tried
	// again; it doubles in between. An outage lasts seconds, and each call is priced.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Sink receives the entries and changes of one topic. Its methods are called one at
// a time, in the order of the store's revisions.
type Sink interface {
	// Replace replaces all entries of the topic with those just read. made says when the
	// changes that led to them were made.
	Replace(entries []provider.Entry, made provider.Period, now time.Time)
	// Apply applies one change.
	Apply(change provider.Change, now time.Time)
}

// Topic is a key prefix and the sink of its entries. A Follower reads its first
// topic to find out whether the store answers again.
type Topic struct {
	Prefix string
	Sink   Sink
	// OnRead is called after Replace has been called with the result of a linearizable read
	// that was requested at that time; nil: not called.
	OnRead func(revision int64, requested time.Time)
}

// Peers provides the changes that other hosts have received from the store.
type Peers interface {
	// IsPeerAhead reports whether a peer has received changes after a revision.
	IsPeerAhead(revision int64) bool
	// FetchFromPeers requests the changes after a revision from one peer.
	FetchFromPeers(ctx context.Context, after int64) (provider.Update, error)
	// RecordUpdate records an update that the Follower has applied.
	RecordUpdate(update provider.Update)
	// HasFeed reports whether a peer that watches the store passes its changes on to this
	// host.
	HasFeed() bool
	// IsIsolated reports whether no peer has sent an update recently, although there are
	// peers.
	IsIsolated() bool
	// MissedPeriod returns when a change may have been made that this host has not received.
	MissedPeriod() provider.Period
}

// Config configures a Follower.
type Config struct {
	Store  provider.Store
	Topics []Topic
	// Peers are queried when this host receives no changes from the store; nil: no
	// queries.
	Peers Peers
	// WatchesStore reports whether watches go to the store itself rather than to
	// peers that watch it; nil: always.
	WatchesStore func() bool
	// OnStoreLost and OnStoreRegained are called each time that the store stops
	// answering, and when it answers again; nil: not called.
	OnStoreLost     func(cause error)
	OnStoreRegained func(unreachable time.Duration)
	// OnStoreRestored is called when the store is found to have come back from an older
	// copy, before the state of its new era is applied; nil: not called.
	OnStoreRestored func(era int64)
	Now             func() time.Time // clock of Topic.OnRead; nil: time.Now
	Logger          hclog.Logger
}

// Follower follows keys of the store. Run may be called once.
type Follower struct {
	cfg Config

	applyMu sync.Mutex // held while the sinks are called; locked before mu

	mu               sync.Mutex
	revision         int64                   // all changes up to here are known
	readRevisions    map[string]int64        // by prefix: revision of the topic's last read
	hasWatchMoved    bool                    // the last watch ended because the source of changes moved
	isSynced         bool                    // all topics have been read
	hasHistoryGap    bool                    // the store has compacted changes after the last read
	latestRevision   int64                   // highest revision applied, also before the last gap
	unreachableSince time.Time               // zero while the store answers
	cancelWatch      context.CancelCauseFunc // cancels the current watch; nil: none
	waiting          []chan error            // calls of Synchronize for the next poll

	synchronizationDue chan struct{} // holds an element if a call of Synchronize waits for the next poll
}

var (
	// errResumed ends the watch of a host that was suspended.
	errResumed = errors.New("host was suspended")
	// errIsolated ends the watch of a host that no peer sends updates to any more: the watch
	// may hang, as the connections to the peers do.
	errIsolated = errors.New("no updates from peers")
)

// New returns a Follower that has not read anything yet.
func New(cfg Config) *Follower {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Follower{cfg: cfg, readRevisions: map[string]int64{}, synchronizationDue: make(chan struct{}, 1)}
}

// HasSynced reports whether all topics have been read.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isSynced
}

// Run follows the keys until ctx ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	if f.cfg.Peers != nil {
		queryDue := make(chan struct{})
		group.Go(func() error { return f.observePeers(ctx, queryDue) })
		group.Go(func() error { return f.runQueries(ctx, queryDue) })
	}
	group.Go(func() error { return f.followStore(ctx) })
	group.Go(func() error { return f.runSynchronizations(ctx) })
	return group.Wait()
}

func (f *Follower) followStore(ctx context.Context) error {
	pause := minRetryDelay
	var resetAt time.Time
	for ctx.Err() == nil {
		err := f.readAndWatch(ctx)
		switch {
		case ctx.Err() != nil:
			continue // stopped by the caller; this is not a loss of the store
		case errors.Is(err, provider.ErrCompacted):
			// The missed changes are unknown, so all keys are read again.
			f.cfg.Logger.Info("store has compacted its history; reading all keys again", "revision", f.knownRevision(), "error", err)
			if time.Since(resetAt) < maxRetryDelay && !wait(ctx, maxRetryDelay) {
				return nil
			}
			resetAt = time.Now()
			f.reset()
			continue
		case errors.Is(err, provider.ErrWatchSourceChanged) || errors.Is(err, errResumed) || errors.Is(err, errIsolated):
			f.setWatchMoved(true)
			continue
		}
		if f.markStoreLost(err) {
			pause = minRetryDelay
		}
		if !wait(ctx, pause/2+rand.N(pause)) {
			return nil
		}
		pause = min(pause*2, maxRetryDelay)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readAndWatch reads the topics unless they are known, and watches them from the
// known revision on.
func (f *Follower) readAndWatch(ctx context.Context) error {
	switch {
	case !f.HasSynced():
		if err := f.readTopics(ctx); err != nil {
			return err
		}
	case f.watchesStore() && (f.isStoreLost() || f.watchHasMoved()):
		if dropper, ok := f.cfg.Store.(provider.IdleDropper); ok && f.watchHasMoved() {
			dropper.DropIdle()
		}
		if err := f.probe(ctx); err != nil {
			return err
		}
		f.fetchMissedChanges(ctx)
	}
	f.setWatchMoved(false)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCancelWatch(cancel)
	defer f.setCancelWatch(nil)
	missedSince := f.missedPeriod().Earliest
	watcher, err := f.cfg.Store.Watch(ctx, f.commonPrefix(), f.knownRevision()+1)
	if err != nil {
		return errors.Join(err, restartCause(ctx))
	}
	for changes := range watcher.Changes() {
		f.markStoreRegained()
		f.apply(changes, missedSince)
		missedSince = time.Time{} // later changes are received as they are made
	}
	return errors.Join(watcher.Err(), watcher.Close(), restartCause(ctx))
}

// restartCause returns the error that ended the watch of ctx so that it is started again; nil:
// it ended otherwise.
func restartCause(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errResumed), errors.Is(cause, errIsolated):
		return cause
	default:
		return nil
	}
}

func (f *Follower) setCancelWatch(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// Resumed is called after the host was suspended. The watch may hang on a broken
// connection, and both the state and the known revisions of peers are outdated.
// Resumed restarts the watch, with a read of the store, and queries the first peer
// that reports a later revision. It returns after that query, or when ctx ends.
func (f *Follower) Resumed(ctx context.Context) {
	f.restartWatch(errResumed)
	if f.cfg.Peers == nil || !f.HasSynced() {
		return
	}
	for !f.cfg.Peers.IsPeerAhead(f.knownRevision()) {
		if !wait(ctx, resumePollInterval) {
			return
		}
	}
	f.queryPeers(ctx, peerQueryTimeout)
}

// restartWatch ends the current watch, and has a new one begin with a read of the store.
func (f *Follower) restartWatch(cause error) {
	f.mu.Lock()
	cancelWatch := f.cancelWatch
	f.mu.Unlock()
	if cancelWatch != nil {
		cancelWatch(cause)
	}
}

// resumePollInterval is how often a resumed host checks whether a peer is ahead.
const resumePollInterval = 10 * time.Millisecond

// commonPrefix returns the longest common prefix of all topics.
func (f *Follower) commonPrefix() string {
	common := f.cfg.Topics[0].Prefix
	for _, topic := range f.cfg.Topics {
		for !strings.HasPrefix(topic.Prefix, common) {
			common = common[:len(common)-1]
		}
	}
	return common
}

func (f *Follower) missedPeriod() provider.Period {
	if f.cfg.Peers == nil {
		now := time.Now()
		return provider.Period{Earliest: now, Latest: now}
	}
	return f.cfg.Peers.MissedPeriod()
}

func (f *Follower) watchesStore() bool { return f.cfg.WatchesStore == nil || f.cfg.WatchesStore() }

func (f *Follower) isStoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachableSince.IsZero()
}

// watchHasMoved reports whether changes came from peers until now, so that it is
// not known whether the store answers this host.
func (f *Follower) watchHasMoved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasWatchMoved
}

// StoreUnreachableFor returns how long the store has not answered; 0 while it
// answers.
func (f *Follower) StoreUnreachableFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachableSince.IsZero() {
		return 0
	}
	return time.Since(f.unreachableSince)
}

func (f *Follower) setWatchMoved(moved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasWatchMoved = moved
}

// apply passes changes that are not known yet to the sinks. The changes of one
// transaction share a revision and come in one batch. This host may have missed changes since
// missedSince; zero: it has not.
func (f *Follower) apply(changes []provider.Change, missedSince time.Time) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.applyLocked(changes, missedSince)
}

func (f *Follower) applyLocked(changes []provider.Change, missedSince time.Time) {
	now, knownRevision := time.Now(), f.knownRevision()
	for _, change := range changes {
		if change.Entry.Revision <= knownRevision {
			continue
		}
		if !missedSince.IsZero() {
			change.MaxAge = now.Sub(missedSince)
		}
		f.detectRestoration(change.Entry.Revision)
		for _, topic := range f.cfg.Topics {
			if strings.HasPrefix(change.Entry.Key, topic.Prefix) && change.Entry.Revision > f.readRevision(topic.Prefix) {
				topic.Sink.Apply(change, now)
			}
		}
		f.mu.Lock()
		f.revision = max(f.revision, change.Entry.Revision)
		f.mu.Unlock()
	}
}

// detectRestoration checks by the era of a revision that is about to be applied whether
// the store has come back from an older copy.
func (f *Follower) detectRestoration(revision int64) {
	f.mu.Lock()
	latest := f.latestRevision
	f.latestRevision = max(latest, revision)
	f.mu.Unlock()
	if latest == 0 || provider.EraOf(revision) <= provider.EraOf(latest) {
		return
	}
	f.cfg.Logger.Warn("store restored from an older copy", "era", provider.EraOf(revision), "revision", revision, "previous_revision", latest)
	if f.cfg.OnStoreRestored != nil {
		f.cfg.OnStoreRestored(provider.EraOf(revision))
	}
}

func (f *Follower) setReadRevision(prefix string, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readRevisions[prefix] = revision
}

func (f *Follower) readRevision(prefix string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readRevisions[prefix]
}

func (f *Follower) knownRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// LatestRevision returns the highest revision that the sinks have received, also while others below it
// are not known.
func (f *Follower) LatestRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestRevision
}

func (f *Follower) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.isSynced, f.hasHistoryGap = 0, false, true
	clear(f.readRevisions)
}

// markStoreLost records that the store does not answer. isNew is true if it did
// until now.
func (f *Follower) markStoreLost(err error) (isNew bool) {
	f.mu.Lock()
	isNew = f.unreachableSince.IsZero()
	if isNew {
		f.unreachableSince = time.Now()
	}
	f.mu.Unlock()
	if isNew {
		f.cfg.Logger.Warn("store lost", "error", err, "revision", f.knownRevision())
		if f.cfg.OnStoreLost != nil {
			f.cfg.OnStoreLost(err)
		}
	}
	return isNew
}

// markStoreRegained records that the store has answered.
func (f *Follower) markStoreRegained() {
	now := time.Now()
	f.mu.Lock()
	lostAt := f.unreachableSince
	f.unreachableSince = time.Time{}
	f.mu.Unlock()
	if lostAt.IsZero() {
		return
	}
	unreachable := now.Sub(lostAt)
	f.cfg.Logger.Info("store regained", "away_ms", unreachable.Milliseconds())
	if f.cfg.OnStoreRegained != nil {
		f.cfg.OnStoreRegained(unreachable)
	}
}
