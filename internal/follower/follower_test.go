package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/provider"
)

// fakeStore answers reads from lists and watches from a script.
type fakeStore struct {
	provider.Store

	mu             sync.Mutex
	lists          map[string][]provider.Entry
	revision       int64
	listErr        error
	beforeList     func(prefix string) // called before a list is taken
	onList         func(prefix string) // called after a list was taken, before it is returned
	watchRevisions []int64             // start revisions of the watches
	watchSteps     chan watchStep
}

// watchStep is the next step of a watch: it delivers changes or ends.
type watchStep struct {
	changes []provider.Change
	err     error
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]provider.Entry, int64, error) {
	if s.beforeList != nil {
		s.beforeList(prefix)
	}
	s.mu.Lock()
	entries, revision, err := slices.Clone(s.lists[prefix]), s.revision, s.listErr
	onList := s.onList
	s.mu.Unlock()
	if onList != nil {
		onList(prefix)
	}
	return entries, revision, err
}

func (s *fakeStore) Watch(ctx context.Context, _ string, from int64) (provider.Watcher, error) {
	s.mu.Lock()
	s.watchRevisions = append(s.watchRevisions, from)
	s.mu.Unlock()
	w := &fakeWatcher{changes: make(chan []provider.Change)}
	w.group.Go(func() error {
		defer close(w.changes)
		for {
			select {
			case step := <-s.watchSteps:
				if step.err != nil {
					w.err = step.err
					return nil
				}
				w.changes <- step.changes
			case <-ctx.Done():
				w.err = ctx.Err()
				return nil
			}
		}
	})
	return w, nil
}

type fakeWatcher struct {
	changes chan []provider.Change
	err     error
	group   errgroup.Group
}

func (w *fakeWatcher) Changes() <-chan []provider.Change { return w.changes }
func (w *fakeWatcher) Err() error                        { return w.err }
func (w *fakeWatcher) Close() error                      { return w.group.Wait() }

// recorder is a Sink that keeps the keys and their revisions.
type recorder struct {
	mu   sync.Mutex
	keys map[string]int64
}

func (r *recorder) Replace(entries []provider.Entry, _ provider.Period, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = map[string]int64{}
	for _, entry := range entries {
		r.keys[entry.Key] = entry.Revision
	}
}

func (r *recorder) Apply(change provider.Change, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Deleted {
		delete(r.keys, change.Entry.Key)
		return
	}
	r.keys[change.Entry.Key] = change.Entry.Revision
}

func (r *recorder) has(key string, revision int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key] == revision
}

// keepRunning runs a Follower until the test ends.
func keepRunning(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// run follows two topics until the test ends.
func run(t *testing.T, store *fakeStore) (f *Follower, first, second *recorder) {
	t.Helper()
	store.watchSteps = make(chan watchStep)
	first, second = &recorder{}, &recorder{}
	f = New(Config{Store: store, Topics: []Topic{{Prefix: "a/", Sink: first}, {Prefix: "b/", Sink: second}}})
	keepRunning(t, f)
	return f, first, second
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func entry(key string, revision int64) provider.Entry {
	return provider.Entry{Key: key, Revision: revision}
}

func (s *fakeStore) lastWatch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.watchRevisions) == 0 {
		return -1
	}
	return s.watchRevisions[len(s.watchRevisions)-1]
}

func TestReadsThenWatches(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{"a/": {entry("a/1", 3)}, "b/": {entry("b/1", 4)}}}
	f, first, second := run(t, store)
	await(t, "watch", func() bool { return store.lastWatch() == 8 })
	assert.Assert(t, f.HasSynced() && first.has("a/1", 3) && second.has("b/1", 4))
	store.watchSteps <- watchStep{changes: []provider.Change{{Entry: entry("a/2", 8)}, {Entry: entry("b/1", 9), Deleted: true}}}
	await(t, "changes", func() bool { return first.has("a/2", 8) && second.has("b/1", 0) })
}

// A change between the reads of two topics is not missed, even if the store was empty
// at the first read and its revision is 0.
func TestChangeBetweenReadsIsReceived(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 0, lists: map[string][]provider.Entry{}}
	store.onList = func(string) {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.revision = 5
	}
	run(t, store)
	await(t, "watch", func() bool { return store.lastWatch() >= 0 })
	assert.Equal(t, store.lastWatch(), int64(1))
}

func TestCompactedKeysAreReadAgain(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{"a/": {entry("a/1", 3)}}}
	_, first, _ := run(t, store)
	await(t, "watch", func() bool { return store.lastWatch() == 8 })
	store.mu.Lock()
	store.lists["a/"], store.revision = []provider.Entry{entry("a/2", 30)}, 31
	store.mu.Unlock()
	store.watchSteps <- watchStep{err: provider.ErrCompacted}
	await(t, "the new list", func() bool { return first.has("a/2", 30) && first.has("a/1", 0) })
	await(t, "watch", func() bool { return store.lastWatch() == 32 })
}

// After a loss of the store the first topic is read until the store answers, and the
// watch continues from the known revision.
func TestStoreIsProbedAfterLoss(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{"a/": {entry("a/1", 3)}}}
	f, first, _ := run(t, store)
	await(t, "watch", func() bool { return store.lastWatch() == 8 })
	store.mu.Lock()
	store.listErr = errors.New("store unreachable")
	store.lists["a/"] = []provider.Entry{entry("a/1", 12)}
	store.mu.Unlock()
	store.watchSteps <- watchStep{err: provider.ErrUnavailable}
	await(t, "loss of the store", f.isStoreLost)
	assert.Assert(t, first.has("a/1", 3), "the known state stays while the store is unreachable")
	store.mu.Lock()
	store.listErr = nil
	store.mu.Unlock()
	await(t, "return of the store", func() bool { return first.has("a/1", 12) && !f.isStoreLost() })
	await(t, "watch from the known revision", func() bool { return store.lastWatch() == 8 })
}

// staleStore answers stale reads with the state at an earlier revision.
type staleStore struct {
	*fakeStore
	staleLists    map[string][]provider.Entry
	staleRevision int64
	staleReads    []string // prefixes of the stale reads
}

func (s *staleStore) ListStale(_ context.Context, prefix string) ([]provider.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReads = append(s.staleReads, prefix)
	return slices.Clone(s.staleLists[prefix]), s.staleRevision, nil
}

// At its start a host reads the first topic consistently and the others with stale
// reads, which cost less. The watch then delivers the later changes. After a gap in
// the store's history all reads are consistent.
func TestStaleReadsAreCaughtUp(t *testing.T) {
	t.Parallel()
	store := &staleStore{
		fakeStore:  &fakeStore{revision: 9, lists: map[string][]provider.Entry{"a/": {entry("a/1", 9)}, "b/": {entry("b/2", 8)}}},
		staleLists: map[string][]provider.Entry{"b/": {entry("b/1", 3)}}, staleRevision: 4,
	}
	store.watchSteps = make(chan watchStep)
	first, second := &recorder{}, &recorder{}
	f := New(Config{Store: store, Topics: []Topic{{Prefix: "a/", Sink: first}, {Prefix: "b/", Sink: second}}})
	keepRunning(t, f)
	await(t, "the watch", func() bool { return store.lastWatch() == 5 })
	assert.Assert(t, first.has("a/1", 9) && second.has("b/1", 3))
	store.watchSteps <- watchStep{changes: []provider.Change{
		{Entry: entry("b/1", 6), Deleted: true}, {Entry: entry("a/1", 7)}, {Entry: entry("b/2", 8)},
	}}
	await(t, "the later changes", func() bool { return second.has("b/2", 8) })
	assert.Assert(t, second.has("b/1", 0) && first.has("a/1", 9), "an earlier change replaced a later read")
	store.watchSteps <- watchStep{err: provider.ErrCompacted}
	await(t, "the second watch", func() bool { return store.lastWatch() == 10 })
	assert.DeepEqual(t, store.staleReads, []string{"b/"})
}

// A host that was suspended does not wait for a watch that may hang on a broken
// connection: it reads the store and restarts the watch from the known revision.
func TestWatchRestartsAfterSuspension(t *testing.T) {
	t.Parallel()
	store := &fakeStore{lists: map[string][]provider.Entry{"a/": {{Key: "a/1", Revision: 3}}}, revision: 4}
	f, first, _ := run(t, store)
	watches := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.watchRevisions)
	}
	await(t, "a watch", func() bool { return watches() == 1 })
	store.mu.Lock()
	store.lists["a/"], store.revision = []provider.Entry{{Key: "a/1", Revision: 9}}, 9
	store.mu.Unlock()
	f.Resumed(t.Context())
	await(t, "the change that the hanging watch has not delivered", func() bool { return first.has("a/1", 9) })
	await(t, "another watch", func() bool { return watches() == 2 })
	assert.Equal(t, f.StoreUnreachableFor(), time.Duration(0), "a loss of the store was reported without cause")
}
