package follower

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// TestOnlyConsistentReadsAreReported guards against taking a read that may be stale as a proof of what
// the store contained when it was requested.
func TestOnlyConsistentReadsAreReported(t *testing.T) {
	t.Parallel()
	store := &staleStore{
		fakeStore:  &fakeStore{revision: 9, lists: map[string][]provider.Entry{"a/": {entry("a/1", 9)}}, watchSteps: make(chan watchStep)},
		staleLists: map[string][]provider.Entry{"b/": {entry("b/1", 3)}}, staleRevision: 4,
	}
	requested := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	reads := make(chan int64, 1)
	first := &recorder{}
	f := New(Config{Store: store, Now: func() time.Time { return requested }, Topics: []Topic{
		{Prefix: "a/", Sink: first, OnRead: func(revision int64, at time.Time) {
			assert.Check(t, at.Equal(requested))
			assert.Check(t, first.has("a/1", 9), "reported before it was applied")
			reads <- revision
		}},
		{Prefix: "b/", Sink: &recorder{}, OnRead: func(int64, time.Time) { t.Error("a stale read is reported") }},
	}})
	keepRunning(t, f)
	assert.Equal(t, <-reads, int64(9))
	await(t, "the watch", func() bool { return store.lastWatch() == 5 })
}

// TestReadsOfEarlierEraAreDropped guards against replacing entries by those that the store had before it
// came back from an older copy, now that the topics are read at once.
func TestReadsOfEarlierEraAreDropped(t *testing.T) {
	t.Parallel()
	earlier, later := provider.Revision(1, 90), provider.Revision(2, 40)
	store := &fakeStore{revision: later, lists: map[string][]provider.Entry{"b/": {entry("b/1", earlier)}}}
	firstTaken := make(chan struct{})
	isFirst := true
	store.beforeList = func(prefix string) {
		if prefix == "b/" {
			<-firstTaken
		}
	}
	store.onList = func(prefix string) {
		store.mu.Lock()
		defer store.mu.Unlock()
		switch {
		case prefix == "a/" && isFirst:
			isFirst, store.revision = false, earlier
			close(firstTaken)
		case prefix == "b/":
			store.revision, store.lists["b/"] = later, []provider.Entry{entry("b/2", later)}
		}
	}
	_, _, second := run(t, store)
	await(t, "the watch", func() bool { return store.lastWatch() == later+1 })
	assert.Assert(t, second.has("b/2", later) && second.has("b/1", 0))
}

// TestRepeatedReadDoesNotGoBack guards against replacing the entries of a topic by those of a stale read
// that another server of the store answers, after a first round in which a later topic failed.
func TestRepeatedReadDoesNotGoBack(t *testing.T) {
	t.Parallel()
	store := &fakeStore{revision: 9, lists: map[string][]provider.Entry{"b/": {entry("b/1", 8)}}}
	var rounds atomic.Int64
	store.onList = func(prefix string) {
		store.mu.Lock()
		defer store.mu.Unlock()
		if prefix == "b/" && rounds.Add(1) == 1 {
			store.revision, store.lists["b/"] = 5, []provider.Entry{entry("b/1", 3)}
		}
	}
	second := &recorder{}
	f := New(Config{Store: store, Topics: []Topic{{Prefix: "b/", Sink: second}}})
	assert.NilError(t, f.readTopics(t.Context()))
	f.mu.Lock()
	f.revision, f.isSynced = 0, false // as if a later topic had failed
	f.mu.Unlock()
	assert.NilError(t, f.readTopics(t.Context()))
	assert.Assert(t, second.has("b/1", 8))
	assert.Equal(t, f.knownRevision(), int64(5), "the watch starts at the read that was dropped")
}
