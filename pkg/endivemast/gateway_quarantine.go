package endivemast

import (
	"context"
	"errors"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exitverifier"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/quarantiner"
)

// How a Gateway detects that requests crash the processes of endpoints, and which hosts
// run such a request again.

func (g *Gateway) buildQuarantine() {
	g.quarantiner = quarantiner.New(quarantiner.Config{
		HostID: g.cfg.HostID, Probe: g.probeExit, IsLeaving: g.isLeaving, Hosts: g.reachableHosts,
		Endpoints:    func() int { return len(g.registrations.Hosts()) },
		OnQuarantine: func() { g.forwarder.CancelQuarantined() }, PeersListed: func() <-chan struct{} { return g.registrar.Listed() }, Fetch: g.fetchCrashes, Now: g.cfg.Clock.Now,
		Logger: g.cfg.Logger.Named("quarantiner"),
	})
}

// fetchCrashes fetches what peers know of requests that crash endpoints.
func (g *Gateway) fetchCrashes(ctx context.Context) error {
	return g.exchanger.FetchCrashes(ctx, g.registrar.Started)
}

// errPathBroken means that a connection was refused although the process has not exited, as far
// as this host can determine.
var errPathBroken = errors.New("connection refused, not taken for the exit of the process")

// probeExit connects to an endpoint. It fails with driver.ErrConnectionRefused only if the process
// is known to have exited. While this host reaches too few other endpoints to compare, it asks peers.
// A process from which data arrives has not exited, whatever else they observe.
func (g *Gateway) probeExit(ctx context.Context, target driver.Target) error {
	process, started := target.Process(), time.Now()
	err := g.cfg.Driver.Probe(ctx, target)
	if !errors.Is(err, driver.ErrConnectionRefused) || g.paths.AwaitExit(ctx, process) {
		return err
	}
	if g.paths.ReceivedSince(process, started) || !g.exitVerifier.HasExited(ctx, process) || g.paths.ReceivedSince(process, started) {
		return errPathBroken
	}
	g.paths.ConfirmExit(process, "no peer reaches it either")
	return err
}

func (g *Gateway) buildExitVerifier() {
	g.exitVerifier = exitverifier.New(exitverifier.Config{
		HostID: g.cfg.HostID, Peers: g.exitWitnesses, Conn: g.exchanger.Conn, Observe: g.observeProcess, Logger: g.cfg.Logger.Named("exitverifier"),
	})
	g.exitVerifier.Register(g.exchanger.Registrar())
}

// exitWitnesses returns the peers that may be asked whether they reach a process.
func (g *Gateway) exitWitnesses() (peers []exitverifier.Peer) {
	for _, status := range g.exchanger.Statuses() {
		if status.Reachable {
			peers = append(peers, exitverifier.Peer{HostID: status.Peer.HostID, Zone: status.Peer.Zone})
		}
	}
	return peers
}

// observeProcess connects to a process for a peer.
func (g *Gateway) observeProcess(ctx context.Context, process driver.Process) exitverifier.Observation {
	host, ok := g.registrations.Find(process.EndpointID)
	if !ok || host.Incarnation != process.Incarnation {
		return exitverifier.ObservedNothing
	}
	switch err := g.cfg.Driver.Probe(ctx, targetOf(&host)); {
	case err == nil:
		return exitverifier.ObservedReached
	case g.paths.IsAlive(ctx, process):
		return exitverifier.ObservedAlive
	case errors.Is(err, driver.ErrConnectionRefused):
		return exitverifier.ObservedRefused
	default:
		return exitverifier.ObservedUnreached
	}
}

// isLeaving is true for a process that has announced that it leaves, or whose entry was
// removed.
func (g *Gateway) isLeaving(process quarantiner.Process) bool {
	host, ok := g.registrations.Find(process.EndpointID)
	return !ok || host.Incarnation == process.Incarnation && host.State == provider.HostLeaving
}

// reachableHosts returns the hosts that are reachable and do not drain, this one included.
func (g *Gateway) reachableHosts() (ids []string) {
	if !g.draining.Load() {
		ids = append(ids, g.cfg.HostID)
	}
	for _, status := range g.exchanger.Statuses() {
		if status.Reachable && !status.Draining {
			ids = append(ids, status.Peer.HostID)
		}
	}
	return ids
}
