package exchanger

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/provider"
)

// FuzzPeerUpdate checks that no message makes a host count negative work, or so much that sums
// overflow, and that only configured peers are accepted.
func FuzzPeerUpdate(f *testing.F) {
	message, err := proto.Marshal(&exchangerpb.PeerUpdate{
		HostId: "b", Incarnation: "b-1", Zone: "z", Sequence: 1, Full: true,
		Loads:   []*exchangerpb.EndpointLoad{{EndpointId: "e1", Requests: 2, PrefillTokens: 30, DecodeTokens: 4}},
		Leaving: []*exchangerpb.LeavingEndpoint{{EndpointId: "e2", Incarnation: "e2-1"}},
	})
	assert.NilError(f, err)
	f.Add(message)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	local := newLocal()
	ex, err := New(Config{
		HostID: "a", Incarnation: "a-1", Zone: "z", Listener: listener,
		Peers: []Peer{{HostID: "b", Zone: "z", Address: "127.0.0.1:1"}}, Logger: hclog.NewNullLogger(),
	}, local)
	assert.NilError(f, err)
	f.Cleanup(func() { assert.NilError(f, ex.Close()) })
	f.Fuzz(func(t *testing.T, wire []byte) {
		message := &exchangerpb.PeerUpdate{}
		if proto.Unmarshal(wire, message) != nil {
			return
		}
		_, err := ex.applyUpdate(message)
		assert.Equal(t, err == nil, message.GetHostId() == "b")
		for endpointID, load := range local.loadsOf("b") {
			for _, n := range []int{load.Requests, load.PrefillTokens, load.DecodeTokens} {
				assert.Assert(t, n >= 0 && n <= maxCount, "%s: %v", endpointID, load)
			}
		}
	})
}

// FuzzHosts checks that converting a peer's list of hosts to a message and back does not
// change it.
func FuzzHosts(f *testing.F) {
	reply, err := proto.Marshal(&exchangerpb.HostsReply{Revision: 3, Hosts: hostsToMessage([]provider.Host{
		{ID: "e1", Incarnation: "e1-1", Kind: provider.HostEngine, Zone: "z", State: provider.HostLive, ChecksFencing: true},
	})})
	assert.NilError(f, err)
	f.Add(reply)
	f.Fuzz(func(t *testing.T, wire []byte) {
		reply := &exchangerpb.HostsReply{}
		if proto.Unmarshal(wire, reply) != nil {
			return
		}
		hosts := hostsFromMessage(reply.GetHosts())
		assert.DeepEqual(t, hostsFromMessage(hostsToMessage(hosts)), hosts)
	})
}

// FuzzCrashUpdates checks that converting crash updates to a message and back does not change
// them, that a fingerprint of a wrong length is skipped without losing the rest, and that no
// age overflows.
func FuzzCrashUpdates(f *testing.F) {
	now := time.Unix(1000, 0)
	update := CrashUpdate{
		EndpointID: "e1", Incarnation: "e1@1", At: now.Add(-time.Second),
		Runs:        []CrashRun{{RequestFingerprint{[16]byte{1}, 7, 2}, 60 * time.Millisecond}},
		Cleared:     [][16]byte{{2}},
		Quarantines: []Quarantine{{RequestFingerprint{[16]byte{3}, 8, 0}, now.Add(30 * time.Second), 30 * time.Second}},
	}
	whole := &exchangerpb.PeerUpdate{HostId: "b", Crashes: crashesToMessage([]CrashUpdate{update}, now)}
	broken := proto.Clone(whole).(*exchangerpb.PeerUpdate)
	broken.Crashes[0].Runs[0].Name = broken.GetCrashes()[0].GetRuns()[0].GetName()[:9]
	broken.Crashes[0].AgeMs = math.MinInt64
	for _, message := range []*exchangerpb.PeerUpdate{whole, broken, {}} {
		wire, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(wire)
	}
	ex := &Exchanger{cfg: Config{Logger: hclog.NewNullLogger()}}
	assert.DeepEqual(f, ex.crashesFromMessage(whole, now), []CrashUpdate{update})
	f.Fuzz(func(t *testing.T, wire []byte) {
		message := &exchangerpb.PeerUpdate{}
		if proto.Unmarshal(wire, message) != nil {
			return
		}
		updates := ex.crashesFromMessage(message, now)
		assert.Equal(t, len(updates), len(message.GetCrashes()))
		again := ex.crashesFromMessage(&exchangerpb.PeerUpdate{Crashes: crashesToMessage(updates, now)}, now)
		assert.DeepEqual(t, again, updates, cmpopts.EquateEmpty())
		for i, update := range updates {
			assert.Assert(t, !update.At.After(now) && now.Sub(update.At) <= maxUpdateAge)
			assert.Assert(t, len(update.Runs) <= len(message.GetCrashes()[i].GetRuns()))
			for _, run := range update.Runs {
				assert.Assert(t, run.SinceSend >= 0 && run.SinceSend <= maxUpdateAge)
			}
		}
	})
}
