package follower

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// Updates from peers are ordered by the store's era first, and by its numbers within one.
func TestUpdatesOfEras(t *testing.T) {
	t.Parallel()
	known := provider.Revision(2, 20)
	for name, test := range map[string]struct {
		revision int64
		want     bool
		restored int64 // era that OnStoreRestored is called with; 0: no call
	}{
		"same era, later":             {revision: provider.Revision(2, 21), want: true},
		"same era, same":              {revision: provider.Revision(2, 20)},
		"same era, earlier":           {revision: provider.Revision(2, 19)},
		"earlier era, higher number":  {revision: provider.Revision(1, 900)},
		"later era, lower number":     {revision: provider.Revision(3, 4), want: true, restored: 3},
		"two eras later, same number": {revision: provider.Revision(4, 20), want: true, restored: 4},
	} {
		for kind, isSnapshot := range map[string]bool{"changes": false, "snapshot": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				sink, restored := &recorder{keys: map[string]int64{}}, int64(0)
				f := New(Config{
					Store: &fakeStore{}, Peers: &fakePeers{}, Topics: []Topic{{Prefix: "a/", Sink: sink}},
					OnStoreRestored: func(era int64) {
						assert.Check(t, !sink.has("a/2", test.revision), "called after the state was applied")
						restored = era
					},
				})
				f.applyRead(f.cfg.Topics[0], topicRead{entries: []provider.Entry{entry("a/1", known)}, revision: known})
				f.isSynced, f.revision = true, known
				applied := f.applyUpdate(provider.Update{
					Revision: test.revision, IsSnapshot: isSnapshot, Changes: []provider.Change{{Entry: entry("a/2", test.revision)}},
				})
				assert.Equal(t, applied, test.want)
				assert.Equal(t, sink.has("a/2", test.revision), test.want)
				assert.Equal(t, restored, test.restored)
			})
		}
	}
}

// A store that comes back at a lower number is read again and watched from there.
func TestRestoredStoreIsReadAgain(t *testing.T) {
	t.Parallel()
	store := &fakeStore{
		revision: provider.Revision(1, 181), watchSteps: make(chan watchStep),
		lists: map[string][]provider.Entry{"a/": {entry("a/1", provider.Revision(1, 180))}},
	}
	var restorations atomic.Int64
	sink := &recorder{}
	f := New(Config{Store: store, Topics: []Topic{{Prefix: "a/", Sink: sink}}, OnStoreRestored: func(int64) { restorations.Add(1) }})
	keepRunning(t, f)
	for era := int64(2); era <= 3; era++ { // twice in a row
		restored := provider.Revision(era, 178)
		await(t, "watch of the era before", func() bool { return provider.EraOf(store.lastWatch()) == era-1 })
		store.mu.Lock()
		store.lists["a/"], store.revision = []provider.Entry{entry("a/1", provider.Revision(era, 170))}, restored
		store.mu.Unlock()
		store.watchSteps <- watchStep{err: provider.ErrCompacted}
		await(t, "watch", func() bool { return store.lastWatch() == restored+1 })
		assert.Assert(t, sink.has("a/1", provider.Revision(era, 170)))
		assert.Equal(t, restorations.Load(), era-1)
	}
	again := provider.Revision(3, 179) // a number that was given out before
	store.watchSteps <- watchStep{changes: []provider.Change{{Entry: entry("a/2", again)}}}
	await(t, "the change", func() bool { return sink.has("a/2", again) })
}
