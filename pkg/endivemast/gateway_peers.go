package endivemast

import (
	"errors"
	"fmt"
	"time"

	"github.com/endivemast/endivemast/internal/connector"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/quarantiner"
	"github.com/endivemast/endivemast/internal/rebalancer"
	"github.com/endivemast/endivemast/internal/registrar"
	"github.com/endivemast/endivemast/internal/relayer"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server"
)

// How the hosts of a Gateway's fleet find and update each other, and which of them sets
// the engines' roles.

// buildPeers creates the registration of this host in the store and the peer protocol.
func (g *Gateway) buildPeers() (err error) {
	listener, err := connector.OrTCP(g.cfg.Network).Listen(g.cfg.PeersAddress)
	if err != nil {
		return fmt.Errorf("peers' address: %w", err)
	}
	g.exchanger, err = exchanger.New(exchanger.Config{
		HostID: g.cfg.HostID, Incarnation: g.incarnation, Zone: g.cfg.Zone, AcceptsUnknownPeers: true, HasHubs: true,
		ProcessorShare: g.cfg.ProcessorShare,
		Listener:       server.NewPeerListener(listener, g.clients.budget, g.clients.countRefusal), Network: g.cfg.Network, Tick: peerUpdateInterval, UpdatesPerSecond: updatesPerSecond(g.cfg.ProcessorShare), Caches: g.caches, Crashes: g.quarantiner,
		Attestations: g.attester, Usage: g.usage(), Signals: g.observer, Reach: g, Clock: g.cfg.Clock.Now, Demand: g.scheduler, Refusals: refusals{g},
		Logger: g.cfg.Logger.Named("exchanger"),
	}, g)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	g.registrar = registrar.New(registrar.Config{
		Store: g.cfg.Store, OnChange: g.setPeers, Logger: g.cfg.Logger.Named("registrar"),
		Own: registrar.Host{
			HostID: g.cfg.HostID, Incarnation: g.incarnation, Zone: g.cfg.Zone, Address: g.cfg.PeersAddress,
			ProcessorShare: g.cfg.ProcessorShare,
		},
	})
	g.relayer = relayer.New(relayer.Config{
		HostID: g.cfg.HostID, Store: g.cfg.Store, Pool: g.exchanger, ZoneHosts: g.zoneHosts,
		PeerStatuses: g.exchanger.Statuses, Configuration: g.installedConfiguration, Logger: g.cfg.Logger.Named("relayer"),
	})
	g.relayer.Register(g.exchanger.Registrar())
	g.limiter.Register(g.exchanger.Registrar())
	g.buildStreams()
	g.buildPeerForwarder()
	g.buildExitVerifier()
	return nil
}

// zoneHosts returns the hosts of this zone that the store lists and that are not
// unavailable, this one included.
func (g *Gateway) zoneHosts() []exchanger.Peer {
	hosts := []exchanger.Peer{{HostID: g.cfg.HostID, Zone: g.cfg.Zone, ProcessorShare: g.cfg.ProcessorShare}}
	for _, peer := range g.registrar.Peers() {
		if peer.Zone == g.cfg.Zone && !g.exchanger.IsUnavailable(peer.HostID) {
			hosts = append(hosts, exchanger.Peer{HostID: peer.HostID, Zone: peer.Zone, ProcessorShare: peer.ProcessorShare})
		}
	}
	return hosts
}

func (g *Gateway) setPeers(hosts []registrar.Host) {
	peers := make([]exchanger.Peer, 0, len(hosts))
	for _, host := range hosts {
		peers = append(peers, exchanger.Peer{
			HostID: host.HostID, Zone: host.Zone, Address: host.Address, ProcessorShare: host.ProcessorShare,
		})
	}
	g.peerCount.Store(int64(len(peers)))
	g.exchanger.SetPeers(peers)
	g.updateRepeatReserve(len(peers) + 1)
}

const (
	// assumedHosts is the number of hosts that a host assumes while it knows no other: its
	// share of common budgets is then too small rather than too large.
	assumedHosts = 32
	// repeatMargin is the fraction of the fleet's repeats that hosts use. Requests are
	// counted in the windows in which they are sent, and repeats in those in which they
	// arrive.
	repeatMargin = 0.85
)

// updateRepeatReserve sets this host's share of the fleet's reserve of repeats. The
// largest number of hosts ever known counts: one that is not listed may still be serving.
func (g *Gateway) updateRepeatReserve(hosts int) {
	g.peersMu.Lock()
	g.maxHosts = max(g.maxHosts, hosts)
	hosts = g.maxHosts
	g.peersMu.Unlock()
	g.forwarder.SetRepeatReserve(g.cfg.RepeatReserve * repeatMargin / float64(hosts))
}

const (
	// updatesPerSecondPerCore is the largest number of load messages per second that a
	// host sends to its peers, per core: a few hundredths of its processor time
	// (BenchmarkPeerUpdate).
	updatesPerSecondPerCore = 1200
	// minUpdatesPerSecond is the bound of the smallest hosts, and of those with an unknown
	// number of cores.
	minUpdatesPerSecond = 240
)

func updatesPerSecond(cores float64) int {
	return max(minUpdatesPerSecond, int(cores*updatesPerSecondPerCore))
}

// fleetZone is the zone name of the single authority over all engines' roles: engines of
// any zone serve all zones.
const fleetZone = "fleet"

// preferredCandidates is how many hosts continuously check whether the holder of the
// authority is running: enough that two may lose their connection to the store.
const preferredCandidates = 3

// buildAuthority creates the leaser and the rebalancer, which sets the engines' roles.
func (g *Gateway) buildAuthority() (err error) {
	g.leaser, err = leaser.New(leaser.Config{
		Zone: fleetZone, HostID: g.cfg.HostID, Incarnation: g.incarnation, Address: g.cfg.PeersAddress,
		Store: g.cfg.Store, TTL: g.cfg.LeaseTTL, IsCandidate: g.relayer.WatchesStore, Now: g.cfg.Clock.Now,
		IsPreferred: func() bool { return g.exchanger.IsAmongFirstHubs(preferredCandidates) }, Log: g.cfg.Logger.Named("leaser"),
	})
	if err != nil {
		return err
	}
	g.rebalancer = rebalancer.New(rebalancer.Config{
		Leaser: g.leaser, Driver: g.cfg.Driver, HostID: g.cfg.HostID, TakeoverDelay: g.cfg.LeaseTTL,
		Plan: g.scheduler.PlanSplit, Target: g.engine, SetChanging: g.registrations.SetChangingRole,
		OnOrdered: func(string, driver.Role) { g.meter.CountRoleChange(g.cfg.Zone, "") },
		OnPlanned: g.meter.CountPlannedRoleChange,
		Logger:    g.cfg.Logger.Named("rebalancer"),
	})
	return nil
}

// engine returns an engine's process and its role.
func (g *Gateway) engine(endpointID string) (target driver.Target, role driver.Role, ok bool) {
	host, ok := g.registrations.Find(endpointID)
	return targetOf(&host), driver.Role(host.Role), ok
}

// OwnLoad implements exchanger.Local.
func (g *Gateway) OwnLoad() map[string]exchanger.Load { return ownLoad(g.scheduler) }

// Leaving implements exchanger.Local.
func (g *Gateway) Leaving() []exchanger.LeavingEndpoint {
	leaving := g.registrations.Leaving()
	for _, exit := range g.scheduler.ProcessExits() {
		reason := exchanger.ReasonUnreachable
		if exit.IsReplaced {
			reason = exchanger.ReasonReplaced
		}
		leaving = append(leaving, exchanger.LeavingEndpoint{EndpointID: exit.EndpointID, Incarnation: exit.Incarnation, Reason: reason, Age: exit.Age})
	}
	return leaving
}

// Draining implements exchanger.Local.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// ConfigurationRevision implements exchanger.Local.
func (g *Gateway) ConfigurationRevision() int64 { return g.classifier.Revision() }

// StoreRevision implements exchanger.Local.
func (g *Gateway) StoreRevision() int64 { return g.relayer.LatestRevision() }

// Hosts implements exchanger.Local.
func (g *Gateway) Hosts() (hosts []provider.Host, revision int64) { return nil, 0 }

// ApplyLoad implements exchanger.Local.
func (g *Gateway) ApplyLoad(source string, hosts int, loads map[string]exchanger.Load, now time.Time) {
	applyLoad(g.scheduler, source, hosts, loads, now)
}

// ApplyLeaving implements exchanger.Local.
func (g *Gateway) ApplyLeaving(leaving []exchanger.LeavingEndpoint, now time.Time) {
	var announced []exchanger.LeavingEndpoint
	var exits []scheduler.ProcessExit
	for _, endpoint := range leaving {
		if endpoint.Reason == exchanger.ReasonLeaving {
			announced = append(announced, endpoint)
			continue
		}
		process := driver.Process{EndpointID: endpoint.EndpointID, Incarnation: endpoint.Incarnation}
		if endpoint.Reason == exchanger.ReasonUnreachable && !g.paths.IsExitPlausible(process, endpoint.Age) {
			continue
		}
		exits = append(exits, scheduler.ProcessExit{
			EndpointID: endpoint.EndpointID, Incarnation: endpoint.Incarnation, IsReplaced: endpoint.Reason == exchanger.ReasonReplaced,
		})
	}
	g.registrations.ApplyLeaving(announced, now)
	if len(exits) > 0 {
		g.scheduler.ReceiveProcessExits(exits, now)
	}
	for _, exit := range exits {
		g.quarantiner.ProcessExited(quarantiner.Process{EndpointID: exit.EndpointID, Incarnation: exit.Incarnation})
	}
}
