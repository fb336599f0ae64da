package endivemast

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/lister"
	"github.com/endivemast/endivemast/internal/pathwatcher"
	"github.com/endivemast/endivemast/internal/peerforwarder"
	"github.com/endivemast/endivemast/internal/provider"
)

// How a Gateway tracks which endpoints this host's network paths reach.

func (g *Gateway) buildPaths() {
	g.paths = pathwatcher.New(pathwatcher.Config{
		Probe: g.cfg.Driver.Probe, Ping: g.ping, IsConnected: g.cfg.Driver.IsConnected, OnExit: g.processExited,
		IsReachedElsewhere: func(ctx context.Context, process driver.Process) bool { return g.exitVerifier.IsReached(ctx, process) },
		OnReached:          func(process driver.Process) { g.scheduler.SetUnreached(process, false) },
		OnUnreached: func(process driver.Process) {
			g.scheduler.SetUnreached(process, true)
			g.forwarder.AbandonProcess(process)
		},
		OnSetAside: func(process driver.Process, isSetAside bool) { g.scheduler.SetSetAside(process, isSetAside) },
		HostID:     g.cfg.HostID, Hosts: func() int { return int(g.peerCount.Load()) + 1 },
		HasBetterPeer: func(application string, own pathwatcher.Reach) bool {
			return g.peerForwarder.HasBetterPeer(application, own.Share())
		},
		Logger: g.cfg.Logger.Named("pathwatcher"),
	})
	g.cfg.Driver.SetPathObserver(g.paths)
}

// ping verifies the idle connections to an endpoint.
func (g *Gateway) ping(ctx context.Context, target driver.Target) error {
	host, ok := g.registrations.Find(target.EndpointID)
	if !ok {
		return driver.ErrNotSent
	}
	return g.cfg.Driver.Ping(ctx, target, driver.PingKind{IsEngine: host.Role != "", HealthPath: g.classifier.HealthPath(host.Application)})
}

func (g *Gateway) buildPeerForwarder() {
	g.peerForwarder = peerforwarder.New(peerforwarder.Config{
		HostID: g.cfg.HostID, Zone: g.cfg.Zone, Classify: g.Classify, ConfigurationVersion: g.classifier.Revision, IsDraining: g.Draining,
		Run: func(ctx context.Context, request dispatcher.OpaqueRequest, writer dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
			g.checkSuspension()
			return g.forwarder.Run(ctx, request, writer)
		},
		Reserve: g.clients.reserve,
		Share:   func(application string) float64 { return g.paths.Reach(application).Share() },
		NewConn: g.exchanger.NewConn, Meter: g.meter, Logger: g.cfg.Logger.Named("peerforwarder"),
	})
	g.peerForwarder.Register(g.exchanger.Registrar())
}

const (
	// reachFreshness is how long a peer's update on what it reaches is relied on. Peers send one
	// at least each second.
	reachFreshness = 1500 * time.Millisecond
	// peerReachInterval and idlePeerReachInterval are the times between two evaluations of the
	// peers' updates, while some host does not reach all endpoints and otherwise.
	peerReachInterval     = 100 * time.Millisecond
	idlePeerReachInterval = 500 * time.Millisecond
	// maxUnheardPeers is how many peers that send this host no updates may receive requests at a
	// time.
	maxUnheardPeers = 16
)

func (g *Gateway) peerReachInterval() time.Duration {
	if g.isReachReduced.Load() || len(g.paths.Reduced()) > 0 {
		return peerReachInterval
	}
	return idlePeerReachInterval
}

// updatePeerReach applies the peers' updates on what they reach.
func (g *Gateway) updatePeerReach(now time.Time) {
	var peers []peerforwarder.Peer
	withoutPath := map[string]float64{}
	for _, status := range g.exchanger.Statuses() {
		if !status.Reachable || now.Sub(status.LastUpdate) > reachFreshness {
			continue
		}
		peer := peerforwarder.Peer{
			HostID: status.Peer.HostID, Zone: status.Peer.Zone, ConfigurationVersion: status.ConfigurationRevision,
			ActiveRequests: status.ActiveRequests, IsDraining: status.Draining, Shares: make(map[string]float64, len(status.ReducedReach)),
		}
		for _, reach := range status.ReducedReach {
			share := pathwatcher.Reach{Reached: reach.Reached, Listed: reach.Listed}.Share()
			peer.Shares[reach.Application] = share
			if share < 1 {
				withoutPath[reach.Application] += 1 - share
			}
			if reach.IsShort {
				peer.Short = append(peer.Short, reach.Application)
			}
		}
		peers = append(peers, peer)
	}
	for application, senders := range g.peerForwarder.Senders(now) {
		withoutPath[application] = max(withoutPath[application], float64(senders))
	}
	for i, peer := range g.exchanger.Unheard() {
		if i >= maxUnheardPeers {
			break
		}
		peers = append(peers, peerforwarder.Peer{HostID: peer.HostID, Zone: peer.Zone, IsUnheard: true})
	}
	g.isReachReduced.Store(len(withoutPath) > 0)
	g.peerForwarder.SetPeers(peers, now)
	g.scheduler.SetPeersWithoutPath(withoutPath)
	for _, hostID := range g.peerForwarder.Silent() {
		g.forwarder.AbandonPeer(hostID)
	}
}

// abandonWithoutPath has requests that wait for endpoints passed to a peer that reaches them.
func (g *Gateway) abandonWithoutPath() {
	for application, reach := range g.paths.Reduced() {
		if reach.IsLost() && g.peerForwarder.IsPreferred(application) {
			g.forwarder.AbandonQueued(application)
		}
	}
}

// ReducedReach implements exchanger.Reach.
func (g *Gateway) ReducedReach() (reduced []exchanger.ApplicationReach) {
	short := g.forwarder.ShortOfCapacity()
	for application, reach := range g.paths.Reduced() {
		reduced = append(reduced, exchanger.ApplicationReach{
			Application: application, Reached: reach.Reached, Listed: reach.Listed, IsShort: slices.Contains(short, application),
		})
	}
	for _, application := range short {
		if !slices.ContainsFunc(reduced, func(r exchanger.ApplicationReach) bool { return r.Application == application }) {
			reach := g.paths.Reach(application)
			reduced = append(reduced, exchanger.ApplicationReach{Application: application, Reached: reach.Reached, Listed: reach.Listed, IsShort: true})
		}
	}
	slices.SortFunc(reduced, func(a, b exchanger.ApplicationReach) int { return strings.Compare(a.Application, b.Application) })
	return reduced
}

// refusals implements exchanger.Refusals.
type refusals struct{ gateway *Gateway }

// Refusals implements exchanger.Refusals.
func (r refusals) Refusals() (own []exchanger.Refusal) {
	for _, refusal := range r.gateway.paths.Refusals() {
		own = append(own, exchanger.Refusal{
			EndpointID: refusal.Process.EndpointID, Incarnation: refusal.Process.Incarnation, Hosts: refusal.Hosts,
			Age: max(time.Since(refusal.At), 0),
		})
	}
	return own
}

// ApplyRefusals implements exchanger.Refusals.
func (r refusals) ApplyRefusals(source string, received []exchanger.Refusal) {
	now := time.Now()
	applied := make([]pathwatcher.Refusal, 0, len(received))
	for _, refusal := range received {
		applied = append(applied, pathwatcher.Refusal{
			Process: driver.Process{EndpointID: refusal.EndpointID, Incarnation: refusal.Incarnation}, Hosts: refusal.Hosts, At: now.Add(-refusal.Age),
		})
	}
	r.gateway.paths.SetRefusals(source, applied)
}

// ActiveRequests implements exchanger.Reach.
func (g *Gateway) ActiveRequests() int64 { return g.forwarder.Active() }

// processExited applies the exit of an endpoint's process, which this host has confirmed.
func (g *Gateway) processExited(process driver.Process) {
	g.scheduler.ReportProcessExit(process)
	g.quarantiner.ProcessExited(process)
}

// setPaths applies a change of the list of endpoints. Those that leave take no new work, so that
// it does not matter whether they are reached.
func (g *Gateway) setPaths(change *lister.ListChange) {
	var endpoints []pathwatcher.Endpoint
	removed := slices.Clone(change.Removed)
	for i := range change.Hosts {
		host := &change.Hosts[i]
		switch {
		case host.Application == "":
		case host.State == provider.HostLive:
			endpoints = append(endpoints, pathwatcher.Endpoint{
				Target: targetOf(host), Application: host.Application, IsAuxiliary: driver.Role(host.Role) == driver.RolePrefill,
			})
		default:
			removed = append(removed, host.ID)
		}
	}
	if change.IsSnapshot {
		g.paths.SetEndpoints(endpoints)
		return
	}
	g.paths.UpdateEndpoints(endpoints, removed)
}
