package relayer

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/follower"
	"github.com/endivemast/endivemast/internal/provider"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore delivers changes to all open watches.
type fakeStore struct {
	provider.Store

	mu          sync.Mutex
	changes     []provider.Change
	appended    chan struct{}
	rejected    map[string]bool // hosts that the store rejects
	openWatches map[string]int  // number of watches by host
	reads       map[string]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{appended: make(chan struct{}), rejected: map[string]bool{}, openWatches: map[string]int{}, reads: map[string]int{}}
}

// put writes a key and returns its revision.
func (s *fakeStore) put(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := int64(len(s.changes) + 1)
	s.changes = append(s.changes, provider.Change{Entry: provider.Entry{Key: key, Revision: revision}})
	close(s.appended)
	s.appended = make(chan struct{})
	return revision
}

func (s *fakeStore) setRejected(hostID string, isRejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[hostID] = isRejected
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *fakeStore) watchingHosts() (hostIDs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hostID, n := range s.openWatches {
		if n > 0 {
			hostIDs = append(hostIDs, hostID)
		}
	}
	slices.Sort(hostIDs)
	return hostIDs
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	provider.Store
	store  *fakeStore
	hostID string
}

func (h *hostStore) List(context.Context, string) ([]provider.Entry, int64, error) {
	s := h.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[h.hostID]++
	if s.rejected[h.hostID] {
		return nil, 0, provider.ErrUnavailable
	}
	latest := map[string]provider.Entry{}
	for _, change := range s.changes {
		latest[change.Entry.Key] = change.Entry
	}
	return slices.Collect(maps.Values(latest)), int64(len(s.changes)), nil
}

func (h *hostStore) Watch(ctx context.Context, _ string, from int64) (provider.Watcher, error) {
	w := newWatcher(ctx)
	h.addWatch(1)
	w.group.Go(func() error {
		defer close(w.changes)
		defer h.addWatch(-1)
		w.err = h.deliverChanges(w, int(from-1))
		return nil
	})
	return w, nil
}

func (h *hostStore) addWatch(n int) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.openWatches[h.hostID] += n
}

func (h *hostStore) deliverChanges(w *watcher, delivered int) error {
	for {
		h.store.mu.Lock()
		isRejected, appended := h.store.rejected[h.hostID], h.store.appended
		var changes []provider.Change
		if delivered < len(h.store.changes) {
			changes = slices.Clone(h.store.changes[delivered:])
		}
		h.store.mu.Unlock()
		if isRejected {
			return provider.ErrUnavailable
		}
		delivered += len(changes)
		if !w.deliver(changes) {
			return w.ctx.Err()
		}
		wait := time.NewTimer(maxWatchWait)
		select {
		case <-appended:
		case <-wait.C:
		case <-w.ctx.Done():
		}
		wait.Stop()
		if err := w.ctx.Err(); err != nil {
			return err
		}
	}
}

// maxWatchWait is how long a watch of the store waits before it responds that
// nothing has changed.
const maxWatchWait = 200 * time.Millisecond

// testHost is one host with its relayer and the changes that it has received.
type testHost struct {
	id      string
	relayer *Relayer
	server  *grpc.Server
	conns   *fleet
	cancel  context.CancelFunc
	group   errgroup.Group

	mu       sync.Mutex
	received []int64 // revisions, in order
}

// Replace implements follower.Sink. Entries that are later than all received changes
// count as received.
func (h *testHost) Replace(entries []provider.Entry, _ provider.Period, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortFunc(entries, func(a, b provider.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, entry := range entries {
		if len(h.received) == 0 || entry.Revision > h.received[len(h.received)-1] {
			h.received = append(h.received, entry.Revision)
		}
	}
}

// Apply implements follower.Sink.
func (h *testHost) Apply(change provider.Change, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, change.Entry.Revision)
}

func (h *testHost) hasReceived(revision int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.received, revision)
}

func (h *testHost) stop() {
	if h.cancel == nil {
		return
	}
	h.cancel()
	h.cancel = nil
	_ = h.relayer.Close()
	h.server.Stop()
	_ = h.group.Wait()
}

// fleet is the hosts of one zone. It implements exchanger.Pool.
type fleet struct {
	t     *testing.T
	store *fakeStore
	hosts []*testHost
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (f *fleet) Peers() []exchanger.Peer { return nil }

func (f *fleet) Conn(hostID string) (grpc.ClientConnInterface, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns[hostID], nil
}

func (f *fleet) zoneHosts() (hosts []exchanger.Peer) {
	for i, host := range f.hosts {
		hosts = append(hosts, exchanger.Peer{HostID: host.id, ProcessorShare: float64(len(f.hosts) - i)})
	}
	return hosts
}

// startFleet starts hosts h0, h1 and so on; the first are preferred for watching the
// store.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: newFakeStore(), conns: map[string]*grpc.ClientConn{}}
	f.store.put("first")
	for i := range n {
		f.hosts = append(f.hosts, &testHost{id: fmt.Sprintf("h%d", i), conns: f})
	}
	for _, host := range f.hosts {
		f.serve(host)
	}
	t.Cleanup(func() {
		for _, host := range f.hosts {
			host.stop()
		}
		for _, conn := range f.conns {
			assert.NilError(t, conn.Close())
		}
	})
	for _, host := range f.hosts {
		ctx, cancel := context.WithCancel(context.Background())
		host.cancel = cancel
		fo := follower.New(follower.Config{Store: host.relayer, WatchesStore: host.relayer.WatchesStore, Topics: []follower.Topic{{Prefix: "", Sink: host}}})
		host.group.Go(func() error { return fo.Run(ctx) })
	}
	return f
}

func (f *fleet) serve(host *testHost) {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(f.t, err)
	f.conns[host.id] = conn
	host.server = grpc.NewServer()
	host.relayer = New(Config{
		HostID: host.id, Store: &hostStore{store: f.store, hostID: host.id}, Pool: f, ZoneHosts: f.zoneHosts,
		PeerStatuses: func() []exchanger.PeerStatus { return nil },
	})
	host.relayer.Register(host.server)
	host.group.Go(func() error { return host.server.Serve(listener) })
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *fleet) awaitWatchingHosts(want ...string) {
	f.t.Helper()
	f.await(fmt.Sprintf("watches by %v only", want), func() bool { return slices.Equal(f.store.watchingHosts(), want) })
}

// awaitChange writes a key and waits until the hosts have received the change.
func (f *fleet) awaitChange(hosts ...*testHost) {
	f.t.Helper()
	revision := f.store.put("k")
	f.await("the change", func() bool {
		return !slices.ContainsFunc(hosts, func(h *testHost) bool { return !h.hasReceived(revision) })
	})
}

func (f *fleet) checkReceived() {
	f.t.Helper()
	for _, host := range f.hosts {
		host.mu.Lock()
		assert.Assert(f.t, slices.IsSorted(host.received), "%s received %v", host.id, host.received)
		assert.Equal(f.t, len(slices.Compact(slices.Clone(host.received))), len(host.received), "%s received a change twice: %v", host.id, host.received)
		host.mu.Unlock()
	}
}

// In a zone with many hosts two watch the store, and all receive each change once.
func TestTwoHostsOfALargeZoneWatch(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7)
	f.awaitWatchingHosts("h0", "h1")
	for range 20 {
		f.awaitChange(f.hosts...)
	}
	f.checkReceived()
}

// Two hosts of a zone watch the store, or one if it is the only one.
func TestWatchingHostsByZoneSize(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		hosts         int
		watchingHosts []string
	}{
		"one host":    {hosts: 1, watchingHosts: []string{"h0"}},
		"two hosts":   {hosts: 2, watchingHosts: []string{"h0", "h1"}},
		"three hosts": {hosts: 3, watchingHosts: []string{"h0", "h1"}},
		"four hosts":  {hosts: 4, watchingHosts: []string{"h0", "h1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.hosts)
			f.awaitWatchingHosts(test.watchingHosts...)
			f.awaitChange(f.hosts...)
			for range 3 {
				f.awaitChange(f.hosts...)
				assert.Equal(t, len(f.store.watchingHosts()), len(test.watchingHosts))
			}
		})
	}
}

// Hosts continue to receive changes when one or both of the hosts that they follow
// are killed.
func TestFollowedHostsKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7)
	f.awaitWatchingHosts("h0", "h1")
	f.hosts[0].stop()
	f.awaitChange(f.hosts[1:]...)
	f.hosts[1].stop()
	written := time.Now()
	f.awaitChange(f.hosts[2:]...)
	assert.Assert(t, time.Since(written) < 2*time.Second, "the change was received after %v", time.Since(written))
	f.checkReceived()
}

// Hosts return to the preferred peers once these are available again, so that the
// number of hosts that watch the store does not grow.
func TestHostsReturnToPreferredPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7)
	f.awaitWatchingHosts("h0", "h1")
	f.store.setRejected("h0", true)
	f.awaitChange(f.hosts[2:]...)
	f.await("a watch by another host", func() bool { return len(f.store.watchingHosts()) > 1 })
	f.store.setRejected("h0", false)
	f.awaitWatchingHosts("h0", "h1")
	f.awaitChange(f.hosts...)
	f.checkReceived()
}

// A host that the store rejects reports so to its followers, which then use another
// source. The host itself may follow others.
func TestFollowedHostsRejectedByStore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7)
	f.awaitWatchingHosts("h0", "h1")
	f.store.setRejected("h0", true)
	f.store.setRejected("h1", true)
	written := time.Now()
	f.awaitChange(f.hosts[2:]...)
	assert.Assert(t, time.Since(written) < 2*time.Second, "the change was received after %v", time.Since(written))
	f.store.setRejected("h0", false)
	f.store.setRejected("h1", false)
	f.awaitChange(f.hosts...)
	f.checkReceived()
}

func TestLogAppendsOnlyNewChanges(t *testing.T) {
	t.Parallel()
	change := func(key string, revision int64) provider.Change {
		return provider.Change{Entry: provider.Entry{Key: key, Revision: revision}}
	}
	l := newChangeLog()
	l.continueFrom(5)
	// Two keys of one transaction share a revision and are delivered together.
	assert.Equal(t, len(l.appendNew([]provider.Change{change("a", 5), change("b", 6), change("c", 6)})), 3)
	assert.Equal(t, len(l.appendNew([]provider.Change{change("b", 6), change("c", 6), change("d", 7)})), 1)
	_, _, ok := l.since(3)
	assert.Assert(t, !ok, "changes before the log's start are not kept")
	changes, _, ok := l.since(5)
	assert.Assert(t, ok)
	assert.Equal(t, len(changes), 3)
	l.continueFrom(8)
	assert.Equal(t, l.latestRevision(), int64(7))
	_, _, ok = l.since(4)
	assert.Assert(t, ok, "a watch that continues the log keeps its changes")
	l.continueFrom(20)
	_, _, ok = l.since(7)
	assert.Assert(t, !ok, "a watch that starts at another revision drops the changes")
}
