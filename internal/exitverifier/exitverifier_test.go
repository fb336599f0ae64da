package exitverifier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

var process = driver.Process{EndpointID: "e1", Incarnation: "1"}

// peer is a host that observes something of each process.
type peer struct {
	listener *bufconn.Listener
	server   *grpc.Server
	serving  errgroup.Group
}

func startPeer(observe func(ctx context.Context, process driver.Process) Observation) *peer {
	p := &peer{listener: bufconn.Listen(1 << 16), server: grpc.NewServer()}
	New(Config{Observe: observe}).Register(p.server)
	p.serving.Go(func() error { return p.server.Serve(p.listener) })
	return p
}

func (p *peer) dial(t *testing.T) *grpc.ClientConn {
	conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return p.listener.DialContext(ctx) }))
	assert.NilError(t, err)
	return conn
}

// verifierOf returns a Verifier whose peers observe what is given; a nil function is a peer without a connection.
func verifierOf(t *testing.T, observations []func(context.Context, driver.Process) Observation) (v *Verifier, stop func()) {
	t.Helper()
	var peers []Peer
	conns := map[string]*grpc.ClientConn{}
	var started []*peer
	for i, observe := range observations {
		p := Peer{HostID: fmt.Sprint("host-", i), Zone: fmt.Sprint("z", i%2)}
		peers = append(peers, p)
		if observe != nil {
			started = append(started, startPeer(observe))
			conns[p.HostID] = started[len(started)-1].dial(t)
		}
	}
	v = New(Config{HostID: "own", Peers: func() []Peer { return peers }, Conn: func(hostID string) (grpc.ClientConnInterface, error) {
		if conn := conns[hostID]; conn != nil {
			return conn, nil
		}
		return nil, errors.New("no connection")
	}})
	return v, func() {
		for _, conn := range conns {
			assert.Check(t, conn.Close())
		}
		for _, p := range started {
			p.server.Stop()
			assert.Check(t, p.serving.Wait())
		}
	}
}

func TestHasExited(t *testing.T) {
	t.Parallel()
	fixed := func(o Observation) func(context.Context, driver.Process) Observation {
		return func(context.Context, driver.Process) Observation { return o }
	}
	hangs := func(ctx context.Context, _ driver.Process) Observation {
		<-ctx.Done()
		return ObservedUnreached
	}
	reached, refused, unlisted, alive := fixed(ObservedReached), fixed(ObservedRefused), fixed(ObservedNothing), fixed(ObservedAlive)
	for name, test := range map[string]struct {
		peers     []func(context.Context, driver.Process) Observation
		want      bool
		isReached bool // also by a host that compares endpoints
	}{
		"all refused":                      {peers: []func(context.Context, driver.Process) Observation{refused, refused, refused}, want: true},
		"one of many reaches it":           {peers: []func(context.Context, driver.Process) Observation{refused, refused, refused, refused, reached}, isReached: true},
		"one has open connections to it":   {peers: []func(context.Context, driver.Process) Observation{refused, refused, refused, refused, alive}, isReached: true},
		"others time out":                  {peers: []func(context.Context, driver.Process) Observation{hangs, hangs, hangs}, want: true},
		"one refused, most do not list it": {peers: []func(context.Context, driver.Process) Observation{refused, unlisted, unlisted}},
		"most refused, one has no answer":  {peers: []func(context.Context, driver.Process) Observation{refused, refused, nil}, want: true},
		"no peer answers":                  {peers: []func(context.Context, driver.Process) Observation{nil, nil}},
		"no peers":                         {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				v, stop := verifierOf(t, test.peers)
				defer stop()
				started := time.Now()
				assert.Equal(t, v.HasExited(t.Context(), process), test.want)
				assert.Check(t, time.Since(started) <= askTimeout+confirmDelay)
				started = time.Now()
				assert.Equal(t, v.IsReached(t.Context(), process), test.isReached)
				assert.Check(t, time.Since(started) <= vetoTimeout)
				time.Sleep(probeTimeout) // peers that hang end their probes
			})
		})
	}
}

// TestBrokenPathsAreNotTakenForExits guards against a host that loses its paths to all processes, some of which no peer reaches either.
func TestBrokenPathsAreNotTakenForExits(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		observe := func(_ context.Context, process driver.Process) Observation {
			if process.EndpointID == "reached" {
				return ObservedReached
			}
			return ObservedRefused
		}
		v, stop := verifierOf(t, []func(context.Context, driver.Process) Observation{observe, observe})
		defer stop()
		var verdicts errgroup.Group
		for _, id := range []string{"e1", "reached", "e2"} {
			verdicts.Go(func() error {
				assert.Check(t, !v.HasExited(t.Context(), driver.Process{EndpointID: id}), id)
				return nil
			})
		}
		assert.NilError(t, verdicts.Wait())
		time.Sleep(2 * distrustTime)
		assert.Check(t, v.HasExited(t.Context(), driver.Process{EndpointID: "e3"}), "paths are never relied on again")
	})
}

// TestChoosePeersOfAllZones guards against asking only peers whose paths break together.
func TestChoosePeersOfAllZones(t *testing.T) {
	t.Parallel()
	var peers []Peer
	for i := range 100 {
		peers = append(peers, Peer{HostID: fmt.Sprint("a", i), Zone: "a"})
	}
	peers = append(peers, Peer{HostID: "b", Zone: "b"}, Peer{HostID: "c", Zone: "c"})
	isAsked := map[string]bool{}
	for n := range 200 {
		chosen := choosePeers(peers, driver.Process{EndpointID: fmt.Sprint("e", n)})
		assert.Equal(t, len(chosen), maxAsked)
		zones := map[string]bool{}
		for _, p := range chosen {
			zones[p.Zone], isAsked[p.HostID] = true, true
		}
		assert.Equal(t, len(zones), 3)
	}
	assert.Check(t, len(isAsked) > 90, "only %d of the peers are ever asked", len(isAsked))
}

// TestProbesForPeersAreBounded guards against as many connections as peers that ask at the same time.
func TestProbesForPeersAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		v := New(Config{Observe: func(context.Context, driver.Process) Observation {
			probes++
			time.Sleep(time.Millisecond)
			return ObservedRefused
		}})
		var peers errgroup.Group
		for range 50 {
			peers.Go(func() error {
				assert.Check(t, v.observe(t.Context(), process) == ObservedRefused)
				return nil
			})
		}
		assert.NilError(t, peers.Wait())
		assert.Equal(t, probes, 1)
	})
}
