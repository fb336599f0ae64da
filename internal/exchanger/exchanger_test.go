package exchanger

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/provider"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLocal is a host's state, and records what the host has received.
type fakeLocal struct {
	isServing       atomic.Bool
	mu              sync.Mutex
	own             map[string]Load
	leaving         []LeavingEndpoint
	hosts           []provider.Host
	received        map[string]map[string]Load
	leavingReceived []LeavingEndpoint
	collections     int // calls of OwnLoad
}

func (l *fakeLocal) OwnLoad() map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collections++
	return copyLoads(l.own)
}

func (l *fakeLocal) Leaving() []LeavingEndpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}
func (l *fakeLocal) Draining() bool                  { return !l.isServing.Load() }
func (l *fakeLocal) ConfigurationRevision() int64    { return 7 }
func (l *fakeLocal) StoreRevision() int64            { return 9 }
func (l *fakeLocal) Hosts() ([]provider.Host, int64) { return l.hosts, int64(len(l.hosts)) }
func (l *fakeLocal) ApplyLoad(hostID string, _ int, loads map[string]Load, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[hostID] = loads
}

func (l *fakeLocal) ApplyLeaving(leaving []LeavingEndpoint, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingReceived = append(l.leavingReceived, leaving...)
}

func (l *fakeLocal) setOwn(loads map[string]Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = loads
}

func (l *fakeLocal) setLeaving(leaving []LeavingEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

func (l *fakeLocal) loadsOf(hostID string) map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received[hostID]
}

func newLocal() *fakeLocal {
	return &fakeLocal{own: map[string]Load{}, received: map[string]map[string]Load{}}
}

// startPair starts hosts a and b as each other's peers.
func startPair(t *testing.T, secretB string, change ...func(n int, cfg *Config)) (locals [2]*fakeLocal, exchangers [2]*Exchanger) {
	t.Helper()
	var listeners [2]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = listener
	}
	names, secrets := [2]string{"a", "b"}, [2]string{"secret", secretB}
	for i := range exchangers {
		other := 1 - i
		locals[i] = newLocal()
		cfg := Config{
			HostID: names[i], Incarnation: names[i] + "-1", Zone: "z", Listener: listeners[i], Secret: secrets[i],
			Peers: []Peer{{HostID: names[other], Zone: "z", Address: listeners[other].Addr().String()}},
			Tick:  5 * time.Millisecond, PeerTimeout: 100 * time.Millisecond, Logger: hclog.NewNullLogger(),
		}
		for _, apply := range change {
			apply(i, &cfg)
		}
		ex, err := New(cfg, locals[i])
		assert.NilError(t, err)
		ex.Start()
		t.Cleanup(func() { assert.NilError(t, ex.Close()) })
		exchangers[i] = ex
	}
	return locals, exchangers
}

// awaitLoads waits until a host has received the given load of host a.
func awaitLoads(t *testing.T, local *fakeLocal, want map[string]Load) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := local.loadsOf("a")
		if len(got) != len(want) {
			return poll.Continue("%v", got)
		}
		for endpointID, load := range want {
			if got[endpointID] != load {
				return poll.Continue("%v", got)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestCloseRightAfterStartIsNoError(t *testing.T) {
	for range 200 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ex, err := New(Config{HostID: "a", Zone: "z", Listener: listener, Logger: hclog.NewNullLogger()}, newLocal())
		assert.NilError(t, err)
		ex.Start()
		assert.NilError(t, ex.Close())
	}
}

func TestPeersReceiveDifferencesAndExpire(t *testing.T) {
	locals, exchangers := startPair(t, "secret")
	locals[0].setOwn(map[string]Load{"e1": {Requests: 2}, "e2": {DecodeTokens: 9}})
	awaitLoads(t, locals[1], map[string]Load{"e1": {Requests: 2}, "e2": {DecodeTokens: 9}})
	locals[0].setOwn(map[string]Load{"e1": {Requests: 3}})
	awaitLoads(t, locals[1], map[string]Load{"e1": {Requests: 3}})
	statuses := exchangers[1].Statuses()
	assert.Equal(t, statuses[0].Reachable, true)
	assert.Equal(t, statuses[0].Draining, true)
	assert.Equal(t, statuses[0].ConfigurationRevision, int64(7))
	assert.NilError(t, exchangers[0].Close())
	awaitLoads(t, locals[1], nil)
	assert.Equal(t, exchangers[1].Statuses()[0].Reachable, false)
}

// A peer that is no longer listed but still sends messages stays a peer, because the store may
// only have refused it. It is dropped once it times out or drains.
func TestUnlistedPeerStaysWhileActive(t *testing.T) {
	for name, test := range map[string]struct {
		isServing bool
		end       func(peer *Exchanger) error
	}{
		"serves, then times out": {isServing: true, end: func(peer *Exchanger) error { return peer.Close() }},
		"drains":                 {end: func(*Exchanger) error { return nil }},
	} {
		t.Run(name, func(t *testing.T) {
			locals, exchangers := startPair(t, "secret")
			locals[1].isServing.Store(test.isServing)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				statuses := exchangers[0].Statuses()
				if statuses[0].Reachable && statuses[0].Draining != test.isServing {
					return poll.Success()
				}
				return poll.Continue("%v", statuses)
			}, poll.WithDelay(time.Millisecond))
			exchangers[0].SetPeers(nil)
			assert.Equal(t, len(exchangers[0].Peers()) == 1, test.isServing)
			if test.isServing {
				locals[0].setOwn(map[string]Load{"e1": {Requests: 3}})
				awaitLoads(t, locals[1], map[string]Load{"e1": {Requests: 3}})
			}
			assert.NilError(t, test.end(exchangers[1]))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if peers := exchangers[0].Peers(); len(peers) > 0 {
					return poll.Continue("%v", peers)
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
		})
	}
}

func TestReceiverRequestsFullStateAfterGap(t *testing.T) {
	state := &peerState{loads: map[string]Load{}}
	now := time.Now()
	apply := func(incarnation string, sequence uint64, full bool) bool {
		return state.apply(&exchangerpb.PeerUpdate{
			Incarnation: incarnation, Sequence: sequence, Full: full,
			Loads: []*exchangerpb.EndpointLoad{{EndpointId: "e1", Requests: int64(sequence)}},
		}, now)
	}
	assert.Assert(t, !apply("i1", 4, false), "the first message must be full")
	assert.Assert(t, apply("i1", 5, true))
	assert.Assert(t, apply("i1", 6, false))
	assert.Assert(t, !apply("i1", 8, false), "message 7 is missing")
	assert.Equal(t, state.loads["e1"].Requests, 6)
	assert.Assert(t, !apply("i2", 7, false), "the sender has restarted")
	assert.Assert(t, apply("i2", 1, true))
	assert.Equal(t, state.loads["e1"].Requests, 1)
}

// TestOwnLoadIsCollectedOncePerTick guards hosts with hundreds of peers: collecting the load
// for each peer is too expensive.
func TestOwnLoadIsCollectedOncePerTick(t *testing.T) {
	local := newLocal()
	ex := &Exchanger{cfg: Config{Tick: DefaultTick}, local: local}
	now := time.Now()
	for tick := range 3 {
		for peer := range 389 { // all within a quarter of the tick
			ex.cachedOwnLoad(now.Add(time.Duration(tick)*DefaultTick + time.Duration(peer)*DefaultTick/4/389))
		}
	}
	assert.Equal(t, local.collections, 3)
	local.setOwn(map[string]Load{"e1": {Requests: 1}})
	assert.DeepEqual(t, ex.cachedOwnLoad(now.Add(3*DefaultTick)), map[string]Load{"e1": {Requests: 1}})
}

func TestPeersNeedTheSecret(t *testing.T) {
	_, exchangers := startPair(t, "another secret")
	conn, err := exchangers[1].Conn("a")
	assert.NilError(t, err)
	_, err = exchangerpb.NewExchangeClient(conn).Hosts(context.Background(), &exchangerpb.HostsRequest{})
	assert.Equal(t, status.Code(err), codes.Unauthenticated)
}

func TestFetchHostsReturnsOnlyNewerLists(t *testing.T) {
	locals, exchangers := startPair(t, "secret")
	locals[0].hosts = []provider.Host{{ID: "e1", Kind: provider.HostEngine, ChecksFencing: true}, {ID: "e2"}}
	hosts, revision := exchangers[1].FetchHosts(context.Background(), 1)
	assert.DeepEqual(t, hosts, locals[0].hosts)
	assert.Equal(t, revision, int64(2))
	hosts, revision = exchangers[1].FetchHosts(context.Background(), 2)
	assert.Equal(t, len(hosts), 0)
	assert.Equal(t, revision, int64(2))
}

// peersIn returns n hosts in the zones that the function assigns.
func peersIn(n int, zone func(i int) string) (peers []Peer) {
	for i := range n {
		peers = append(peers, Peer{HostID: strconv.Itoa(i), Zone: zone(i), Address: "127.0.0.1:1", ProcessorShare: 0.5})
	}
	return peers
}

// The tick grows with the number of peers that are sent load: all peers where zones are small;
// in a large zone, the hosts that a hub sends to, or the hubs.
func TestTickGrowsWithPeers(t *testing.T) {
	t.Parallel()
	sameZone := func(int) string { return "z" }
	for name, test := range map[string]struct {
		peers      []Peer
		isFullMesh bool
		share      float64
		maxUpdates int
		want       time.Duration
	}{
		"no limit":            {peers: peersIn(80, strconv.Itoa), want: 100 * time.Millisecond},
		"few peers":           {peers: peersIn(8, strconv.Itoa), maxUpdates: 90, want: 100 * time.Millisecond},
		"many peers":          {peers: peersIn(90, strconv.Itoa), maxUpdates: 90, want: time.Second},
		"hub of a large zone": {peers: peersIn(90, sameZone), share: 1, maxUpdates: 90, want: time.Second},
		"no hubs":             {peers: peersIn(90, sameZone), share: 0.1, isFullMesh: true, maxUpdates: 90, want: time.Second},
		"no hub of that zone": {peers: peersIn(90, sameZone), share: 0.1, maxUpdates: 90, want: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ex, err := New(Config{
				HostID: "own", Zone: "z", ProcessorShare: test.share, Listener: listener, Logger: hclog.NewNullLogger(),
				Tick: 100 * time.Millisecond, UpdatesPerSecond: test.maxUpdates, Peers: test.peers, HasHubs: !test.isFullMesh,
			}, newLocal())
			assert.NilError(t, err)
			assert.Equal(t, ex.tick(), test.want)
			assert.NilError(t, ex.Close())
		})
	}
}

// Hosts of a zone that send each other no load only send heartbeats, a few within PeerTimeout.
// When heartbeats followed the tick, 39 hosts of a zone with a tick of 20 ms sent each other
// 13,300 messages a second.
func TestHeartbeatRateIsIndependentOfTick(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ex, err := New(Config{
		HostID: "own", Zone: "z", ProcessorShare: 0.1, Listener: listener, Logger: hclog.NewNullLogger(), HasHubs: true,
		Tick: 20 * time.Millisecond, UpdatesPerSecond: 240, Peers: peersIn(38, func(int) string { return "z" }),
	}, newLocal())
	assert.NilError(t, err)
	perSecond := 0.0
	for range 38 - HubsPerZone {
		perSecond += 1 / ex.nextPublishDelay(&publisher{part: exchangerpb.Part_PART_NONE}).Seconds()
	}
	assert.Assert(t, perSecond <= 38, "%.0f heartbeats a second", perSecond)
	assert.Assert(t, ex.nextPublishDelay(&publisher{part: exchangerpb.Part_PART_NONE}) <= ex.cfg.PeerTimeout/2, "the host would time out at its peers")
	assert.NilError(t, ex.Close())
}
