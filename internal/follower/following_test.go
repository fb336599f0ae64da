package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// followWithPeers runs a host that is to follow peers, all of which are ahead of it.
func followWithPeers(t *testing.T, hasFeed bool) (peers *fakePeers, sink *recorder) {
	t.Helper()
	store := &fakeStore{revision: 7, lists: map[string][]provider.Entry{}, watchSteps: make(chan watchStep)}
	peers = &fakePeers{hasFeed: hasFeed, update: provider.Update{Revision: 9, Changes: []provider.Change{{Entry: entry("a/2", 8)}}}}
	sink = &recorder{}
	f := New(Config{
		Store: store, Peers: peers, WatchesStore: func() bool { return false }, Topics: []Topic{{Prefix: "a/", Sink: sink}},
	})
	keepRunning(t, f)
	await(t, "watch", func() bool { return store.lastWatch() == 8 })
	return peers, sink
}

// A host with a feed from a peer sends no query while the missing changes may be on their way to it.
func TestNoQueryWhileFollowingPeers(t *testing.T) {
	t.Parallel()
	peers, _ := followWithPeers(t, true)
	started := time.Now()
	await(t, "more than the grace period", func() bool { return time.Since(started) > behindGracePeriod+2*peerPollInterval })
	assert.Equal(t, peers.queryCount(), 0)
}

func TestFeedWithoutChangesDoesNotKeepHostBehind(t *testing.T) {
	t.Parallel()
	for name, hasFeed := range map[string]bool{"feed without changes": true, "no feed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			_, sink := followWithPeers(t, hasFeed)
			await(t, "the missed change", func() bool { return sink.has("a/2", 8) })
			assert.Assert(t, time.Since(started) < 2*time.Second, "after %s", time.Since(started))
		})
	}
}
