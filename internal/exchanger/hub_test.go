package exchanger

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// summedLocal adds up the load that it receives, as the scheduler's tables do.
type summedLocal struct {
	fakeLocal

	mu      sync.Mutex
	loads   map[string]map[string]Load
	hosts   map[string]int
	leaving map[string]time.Time

	ownRefusals []Refusal
	refusals    map[string][]Refusal // received, by source
}

func (l *summedLocal) ApplyLoad(source string, hosts int, loads map[string]Load, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[source], l.hosts[source] = loads, hosts
}

func (l *summedLocal) ApplyLeaving(leaving []LeavingEndpoint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, endpoint := range leaving {
		l.leaving[endpoint.EndpointID] = now
	}
}

func (l *summedLocal) sum(endpointID string) (requests, hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for source, loads := range l.loads {
		requests += loads[endpointID].Requests
		hosts += l.hosts[source]
	}
	return requests, hosts
}

func (l *summedLocal) receivedLeaving(endpointID string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[endpointID].After(since)
}

// hubFleet is a set of hosts in several zones. Host i of a zone has i+1 requests at endpoint
// e.
type hubFleet struct {
	t      *testing.T
	peers  []Peer
	locals map[string]*summedLocal
	ex     map[string]*Exchanger
	own    map[string]int
	// sendsNoDemand are the hosts of builds that send no demand.
	sendsNoDemand map[string]bool
}

func startHubFleet(t *testing.T, sizes map[string]int, sendsNoDemand ...string) *hubFleet {
	t.Helper()
	f := &hubFleet{t: t, sendsNoDemand: map[string]bool{}, locals: map[string]*summedLocal{}, ex: map[string]*Exchanger{}, own: map[string]int{}}
	for _, id := range sendsNoDemand {
		f.sendsNoDemand[id] = true
	}
	listeners := map[string]net.Listener{}
	for zone, size := range sizes {
		for i := range size {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			id := fmt.Sprintf("%s-%d", zone, i)
			listeners[id], f.own[id] = listener, i+1
			f.peers = append(f.peers, Peer{HostID: id, Zone: zone, Address: listener.Addr().String(), ProcessorShare: 1 / float64(i+1)})
		}
	}
	for _, peer := range f.peers {
		local := &summedLocal{loads: map[string]map[string]Load{}, hosts: map[string]int{}, leaving: map[string]time.Time{}, refusals: map[string][]Refusal{}}
		local.own = map[string]Load{"e": {Requests: f.own[peer.HostID]}}
		var demand Demand
		if !f.sendsNoDemand[peer.HostID] {
			demand = fixedDemand(f.own[peer.HostID])
		}
		// With a tick of 5 ms the fleets of all tests together sent more messages than the
		// machine could process, and hosts timed out repeatedly.
		ex, err := New(Config{
			HostID: peer.HostID, Incarnation: peer.HostID, Zone: peer.Zone, ProcessorShare: peer.ProcessorShare, HasHubs: true,
			Listener: listeners[peer.HostID], Tick: 50 * time.Millisecond, PeerTimeout: 2 * time.Second, Logger: hclog.NewNullLogger(), Demand: demand, Refusals: local,
		}, local)
		assert.NilError(t, err)
		f.locals[peer.HostID], f.ex[peer.HostID] = local, ex
		f.setPeers(peer.HostID)
		ex.Start()
		t.Cleanup(func() {
			if f.ex[peer.HostID] != nil {
				assert.NilError(t, ex.Close())
			}
		})
	}
	return f
}

func (f *hubFleet) setPeers(id string) {
	f.t.Helper()
	others := slices.DeleteFunc(slices.Clone(f.peers), func(p Peer) bool { return p.HostID == id })
	f.ex[id].SetPeers(others)
}

// awaitSums waits until each host counts the requests of all others exactly once.
func (f *hubFleet) awaitSums() {
	f.t.Helper()
	total := 0
	for _, peer := range f.peers {
		total += f.own[peer.HostID]
	}
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, peer := range f.peers {
			requests, hosts := f.locals[peer.HostID].sum("e")
			if want := total - f.own[peer.HostID]; requests != want || hosts != len(f.peers)-1 {
				return poll.Continue("%s counts %d requests of %d hosts, not %d of %d", peer.HostID, requests, hosts, want, len(f.peers)-1)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Each host counts the work of each other host exactly once, by whichever path it arrives.
func TestLoadSumsThroughHubs(t *testing.T) {
	t.Parallel()
	for name, sizes := range map[string]map[string]int{
		"one small zone":           {"a": 3},
		"three small zones":        {"a": 3, "b": 3, "c": 3},
		"one large zone":           {"a": 7},
		"two large zones":          {"a": 7, "b": 6},
		"a large and a small zone": {"a": 7, "b": 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startHubFleet(t, sizes)
			f.awaitSums()
		})
	}
}

// When a hub exits, the other hub continues. The load of the exited hub is no longer counted
// once it is not listed, and the next host becomes a hub.
func TestHubExits(t *testing.T) {
	t.Parallel()
	f := startHubFleet(t, map[string]int{"a": 7, "b": 6})
	f.awaitSums()
	for _, id := range []string{"a-0", "a-1"} {
		assert.NilError(t, f.ex[id].Close())
		f.ex[id] = nil
		f.peers = slices.DeleteFunc(f.peers, func(p Peer) bool { return p.HostID == id })
		for _, peer := range f.peers {
			f.setPeers(peer.HostID)
		}
		f.awaitSums()
	}
}

// An announcement that an engine leaves reaches all hosts, and the hubs do not relay it to
// each other forever.
func TestLeavingIsRelayedThroughHubs(t *testing.T) {
	t.Parallel()
	f := startHubFleet(t, map[string]int{"a": 7, "b": 6})
	f.awaitSums()
	sender := f.locals["a-6"]
	sender.setLeaving([]LeavingEndpoint{{EndpointID: "e"}})
	started := time.Now()
	f.awaitLocals("received the announcement", func(local *summedLocal) bool { return local.receivedLeaving("e", started) })
	sender.setLeaving(nil)
	// A relayed announcement would be received again after any time.
	f.awaitLocals("stopped receiving it", func(local *summedLocal) bool {
		return !local.receivedLeaving("e", time.Now().Add(-500*time.Millisecond))
	})
}

func (f *hubFleet) awaitLocals(what string, condition func(*summedLocal) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for id, local := range f.locals {
			if !strings.HasSuffix(id, "-6") && !condition(local) {
				return poll.Continue("%s has not %s", id, what)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Load that does not fit a host's role is not counted, because hosts may briefly disagree
// about who is a hub.
func TestSourceOf(t *testing.T) {
	t.Parallel()
	members := peersIn(6, func(int) string { return "z" })
	l := newTopology(append(members, Peer{HostID: "hub", Zone: "z", ProcessorShare: 1}, Peer{HostID: "far", Zone: "y"}))
	for name, test := range map[string]struct {
		self string
		part exchangerpb.Part
		zone string
		want string
	}{
		"a hub counts its zone's hosts":               {"hub", exchangerpb.Part_PART_OWN, "z", "sender"},
		"a hub counts other zones' sums":              {"hub", exchangerpb.Part_PART_ZONE, "y", zoneSource + "y"},
		"a hub does not count a sum of all":           {"hub", exchangerpb.Part_PART_REST, "z", ""},
		"a hub does not count a host of another zone": {"hub", exchangerpb.Part_PART_OWN, "y", ""},
		"a hub does not count its own zone's sum":     {"hub", exchangerpb.Part_PART_ZONE, "z", ""},
		"a non-hub counts the sum of all":             {"member", exchangerpb.Part_PART_REST, "z", restSource},
		"a non-hub does not count a single host":      {"member", exchangerpb.Part_PART_OWN, "z", ""},
		"a non-hub does not count a zone's sum":       {"member", exchangerpb.Part_PART_ZONE, "y", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ex := &Exchanger{cfg: Config{HostID: test.self, Zone: "z"}}
			state := &peerState{part: test.part, status: PeerStatus{Peer: Peer{HostID: "sender", Zone: test.zone}}}
			assert.Equal(t, ex.sourceOf(&l, state), test.want)
		})
	}
}

// The first hubs are the reachable ones by priority. A host that reaches no peer is the first.
func TestIsAmongFirstHubs(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		share       float64 // of this host; the others have 0.5
		unreachable []string
		zone        func(int) string
		want        bool
	}{
		"most cores":             {share: 1, zone: strconv.Itoa, want: true},
		"fewest cores":           {share: 0.1, zone: strconv.Itoa},
		"the only reachable hub": {share: 0.1, unreachable: []string{"0", "1", "2", "3", "4"}, zone: strconv.Itoa, want: true},
		"no hub":                 {share: 0.1, unreachable: []string{"0", "1", "2", "3", "4", "5"}, zone: func(int) string { return "own" }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ex, err := New(Config{
				HostID: "own", Zone: "own", ProcessorShare: test.share, Listener: listener, Logger: hclog.NewNullLogger(),
				Peers: peersIn(6, test.zone), HasHubs: true,
			}, newLocal())
			assert.NilError(t, err)
			for id, state := range ex.states {
				state.status.Reachable = !slices.Contains(test.unreachable, id)
			}
			assert.Equal(t, ex.IsAmongFirstHubs(3), test.want)
			assert.NilError(t, ex.Close())
		})
	}
}

// In a large zone eight hosts send heartbeats to all others. Only the hubs receive the rest,
// and all hosts agree on the available heartbeat senders.
func TestHeartbeatSendersOfLargeZone(t *testing.T) {
	t.Parallel()
	f := startHubFleet(t, map[string]int{"a": heartbeatSendersPerZone + 3})
	for _, local := range f.locals {
		local.isServing.Store(true)
	}
	f.awaitSums()
	f.awaitExchangers("all heartbeat senders known", func(ex *Exchanger) bool {
		return len(ex.HeartbeatSenders()) == heartbeatSendersPerZone && ex.CountReachable() >= heartbeatSendersPerZone-1
	})
	for i := heartbeatSendersPerZone; i < heartbeatSendersPerZone+3; i++ {
		for j := heartbeatSendersPerZone; j < heartbeatSendersPerZone+3; j++ {
			from, to := fmt.Sprintf("a-%d", i), fmt.Sprintf("a-%d", j)
			ex := f.ex[to]
			ex.mu.Lock()
			if i != j {
				assert.Assert(t, ex.states[from].status.LastUpdate.IsZero(), "%s sent a message to %s", from, to)
			}
			ex.mu.Unlock()
		}
	}
	assert.NilError(t, f.ex["a-3"].Close())
	f.ex["a-3"] = nil
	f.awaitExchangers("one sender unavailable", func(ex *Exchanger) bool { return len(ex.HeartbeatSenders()) == heartbeatSendersPerZone-1 })
}

func (f *hubFleet) awaitExchangers(what string, condition func(*Exchanger) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for id, ex := range f.ex {
			if ex != nil && !condition(ex) {
				return poll.Continue("%s: not yet: %s (%d heartbeat senders, %d reachable peers)", id, what, len(ex.HeartbeatSenders()), ex.CountReachable())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Each host of a large zone receives the load of all others from one hub, not both, and from
// the other hub once that one has timed out.
func TestEachHostReceivesSumFromOneHub(t *testing.T) {
	t.Parallel()
	f := startHubFleet(t, map[string]int{"a": 8, "b": 6})
	f.awaitSums()
	sumSenders := func(id string) (sumSenders []string) {
		ex := f.ex[id]
		ex.mu.Lock()
		defer ex.mu.Unlock()
		for hub, state := range ex.states {
			if state.part == exchangerpb.Part_PART_REST && state.status.Reachable {
				sumSenders = append(sumSenders, hub)
			}
		}
		return sumSenders
	}
	hostsByHub := map[string]int{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clear(hostsByHub)
		for _, peer := range f.peers {
			if f.ex[peer.HostID].isHub() {
				continue
			}
			from := sumSenders(peer.HostID)
			if len(from) != 1 {
				return poll.Continue("%s receives the sum from %v", peer.HostID, from)
			}
			hostsByHub[from[0]]++
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
	for hub, hosts := range hostsByHub {
		assert.Assert(t, hosts < 8, "%s sends the sum to %d hosts", hub, hosts)
	}
	for _, peer := range f.peers {
		if f.ex[peer.HostID].isHub() && peer.Zone == "a" {
			assert.NilError(t, f.ex[peer.HostID].Close())
			f.ex[peer.HostID] = nil
			f.own[peer.HostID] = 0
			break
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, peer := range f.peers {
			if ex := f.ex[peer.HostID]; ex == nil || ex.isHub() || peer.Zone != "a" {
				continue
			}
			if len(sumSenders(peer.HostID)) == 0 {
				return poll.Continue("%s receives no sum", peer.HostID)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
}
