package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// fakePeers have received some changes from the store.
type fakePeers struct {
	isIsolated atomic.Bool
	hasFeed    bool
	hangs      bool // queries are not answered

	mu       sync.Mutex
	update   provider.Update
	queries  []int64 // revisions after which changes were requested
	recorded []int64
}

func (p *fakePeers) IsPeerAhead(revision int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.update.Revision > revision
}

func (p *fakePeers) FetchFromPeers(ctx context.Context, after int64) (provider.Update, error) {
	if p.hangs {
		p.mu.Lock()
		p.queries = append(p.queries, after)
		p.mu.Unlock()
		<-ctx.Done()
		return provider.Update{}, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries = append(p.queries, after)
	return p.update, nil
}

func (p *fakePeers) RecordUpdate(update provider.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = append(p.recorded, update.Revision)
}

func (p *fakePeers) IsIsolated() bool { return p.isIsolated.Load() }

func (p *fakePeers) HasFeed() bool { return p.hasFeed }

func (p *fakePeers) MissedPeriod() provider.Period {
	return provider.Period{Earliest: time.Now(), Latest: time.Now()}
}

func (p *fakePeers) setUpdate(update provider.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update = update
}

func (p *fakePeers) queryCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queries)
}

// runWithPeers is like run, for a host that has peers.
func runWithPeers(t *testing.T, store *fakeStore, peers *fakePeers) (f *Follower, first, second *recorder) {
	t.Helper()
	store.watchSteps = make(chan watchStep)
	first, second = &recorder{}, &recorder{}
	f = New(Config{Store: store, Peers: peers, Topics: []Topic{{Prefix: "a/", Sink: first}, {Prefix: "b/", Sink: second}}})
	keepRunning(t, f)
	await(t, "watch", func() bool { return store.lastWatch() == 8 })
	return f, first, second
}

// A host receives from its peers the changes that the store does not deliver: while
// the store rejects it, and while its watch hangs.
func TestMissingChangesAreFetchedFromPeers(t *testing.T) {
	t.Parallel()
	changes := provider.Update{Revision: 9, Changes: []provider.Change{{Entry: entry("a/2", 8)}, {Entry: entry("b/1", 9), Deleted: true}}}
	whole := provider.Update{Revision: 9, IsSnapshot: true, Changes: []provider.Change{{Entry: entry("a/2", 8)}}}
	for name, test := range map[string]struct {
		isLost bool
		update provider.Update
	}{
		"rejected by the store":                   {isLost: true, update: changes},
		"rejected by the store, changes not kept": {isLost: true, update: whole},
		"hanging watch":                           {update: changes},
		"hanging watch, changes not kept":         {update: whole},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{"a/": {entry("a/1", 3)}, "b/": {entry("b/1", 4)}}}
			peers := &fakePeers{}
			f, first, second := runWithPeers(t, store, peers)
			if test.isLost {
				store.mu.Lock()
				store.listErr = errors.New("store unreachable")
				store.mu.Unlock()
				store.watchSteps <- watchStep{err: provider.ErrUnavailable}
				await(t, "loss of the store", f.isStoreLost)
			}
			updated := time.Now()
			peers.setUpdate(test.update)
			await(t, "the changes from peers", func() bool { return first.has("a/2", 8) && second.has("b/1", 0) })
			assert.Assert(t, time.Since(updated) < 2*time.Second, "after %s", time.Since(updated))
			assert.Equal(t, first.has("a/1", 3), !test.update.IsSnapshot)
			await(t, "the recorded update", func() bool {
				peers.mu.Lock()
				defer peers.mu.Unlock()
				return len(peers.recorded) == 1 && peers.recorded[0] == 9
			})
			assert.Equal(t, f.isStoreLost(), test.isLost, "an update from a peer does not show that the store answers")
		})
	}
}

// An update never replaces a later one, whichever source each comes from.
func TestEarlierUpdateIsIgnored(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{"a/": {entry("a/1", 3)}, "b/": {entry("b/1", 4)}}}
	peers := &fakePeers{}
	f, first, second := runWithPeers(t, store, peers)
	changes := func(revisions ...int64) (result []provider.Change) {
		for _, revision := range revisions {
			result = append(result, provider.Change{Entry: entry("a/1", revision)})
		}
		return result
	}
	assert.Assert(t, f.applyUpdate(provider.Update{Revision: 20, Changes: changes(12, 20)}))
	store.watchSteps <- watchStep{changes: changes(12)}
	store.watchSteps <- watchStep{changes: []provider.Change{{Entry: entry("b/2", 21)}}}
	await(t, "the watch's later change", func() bool { return second.has("b/2", 21) })
	assert.Assert(t, first.has("a/1", 20), "the watch's earlier change was applied")
	assert.Assert(t, !f.applyUpdate(provider.Update{Revision: 15, Changes: changes(15)}))
	assert.Assert(t, first.has("a/1", 20), "a peer's earlier change was applied")
	f.applyRead(f.cfg.Topics[0], topicRead{entries: []provider.Entry{entry("a/1", 12)}, revision: 12})
	assert.Assert(t, first.has("a/1", 20), "an earlier read was applied")
	// After a loss of the store the first topic is read before the others.
	f.applyRead(f.cfg.Topics[0], topicRead{entries: []provider.Entry{entry("a/1", 30)}, revision: 30})
	whole := changes(25)
	whole = append(whole, provider.Change{Entry: entry("b/3", 24)})
	assert.Assert(t, f.applyUpdate(provider.Update{Revision: 25, IsSnapshot: true, Changes: whole}))
	assert.Assert(t, first.has("a/1", 30), "a peer's full update replaced a later read")
	assert.Assert(t, second.has("b/3", 24) && second.has("b/2", 0))
}

// The topics are read at once, and the watch starts at the revision of the earliest
// read. It delivers again changes that the read of another topic included, and
// these must not replace later ones.
func TestWatchDoesNotUndoRead(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{"b/": {entry("b/1", 12)}}}
	firstTaken := make(chan struct{})
	store.beforeList = func(prefix string) {
		if prefix == "b/" {
			<-firstTaken
		}
	}
	store.onList = func(prefix string) {
		store.mu.Lock()
		defer store.mu.Unlock()
		if prefix == "a/" {
			store.revision = 12
			close(firstTaken)
		}
	}
	_, _, second := runWithPeers(t, store, &fakePeers{})
	store.watchSteps <- watchStep{changes: []provider.Change{{Entry: entry("b/1", 10)}}}
	store.watchSteps <- watchStep{changes: []provider.Change{{Entry: entry("b/2", 13)}}}
	await(t, "the later change", func() bool { return second.has("b/2", 13) })
	assert.Assert(t, second.has("b/1", 12))
}

// A host sends no queries while no peer is ahead of it.
func TestNoQueryUnlessPeersAreAhead(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{}}
	peers := &fakePeers{update: provider.Update{Revision: 7}}
	runWithPeers(t, store, peers)
	started := time.Now()
	await(t, "more than the grace period", func() bool { return time.Since(started) > behindGracePeriod+2*peerPollInterval })
	assert.Equal(t, peers.queryCount(), 0)
}

func TestHangingWatchIsRestartedWhenPeersAreSilent(t *testing.T) {
	t.Parallel()
	store := &fakeStore{lists: map[string][]provider.Entry{"a/": {entry("a/1", 4)}}, revision: 7}
	peers := &fakePeers{hangs: true}
	_, first, _ := runWithPeers(t, store, peers)
	peers.setUpdate(provider.Update{Revision: 8})
	await(t, "a query", func() bool { return peers.queryCount() > 0 })
	store.mu.Lock()
	store.lists["a/"], store.revision = []provider.Entry{entry("a/1", 8)}, 8
	store.mu.Unlock()
	peers.isIsolated.Store(true)
	isolatedAt := time.Now()
	await(t, "the missed change", func() bool { return first.has("a/1", 8) })
	assert.Assert(t, time.Since(isolatedAt) < peerQueryTimeout/2, "after %s", time.Since(isolatedAt))
}
