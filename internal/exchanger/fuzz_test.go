package exchanger

import (
	"context"
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/provider"
)

// FuzzTell checks that no message makes a host count less than no work, or so
// much that sums run over, and that only peers of the settings are heard.
func FuzzTell(f *testing.F) {
	message, err := proto.Marshal(&exchangerpb.TellRequest{
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
		message := &exchangerpb.TellRequest{}
		if proto.Unmarshal(wire, message) != nil {
			return
		}
		_, err := ex.Tell(context.Background(), message)
		assert.Equal(t, err == nil, message.GetHostId() == "b")
		for endpointID, load := range local.heardOf("b") {
			for _, n := range []int{load.Requests, load.PrefillTokens, load.DecodeTokens} {
				assert.Assert(t, n >= 0 && n <= maxCount, "%s: %v", endpointID, load)
			}
		}
	})
}

// FuzzHosts checks that a peer's list of hosts is read as it was written.
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
