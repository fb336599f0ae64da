package endivemast

import (
	"context"
	"slices"

	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/historian"
	"github.com/endivemast/endivemast/internal/lister"
	"github.com/endivemast/endivemast/internal/streamkeeper"
)

// How the hosts of a Gateway's fleet know at which software version a stream began.

// maxKeepersPerZone bounds the hosts of a zone that keep streams, and with them the connections of
// each host.
const maxKeepersPerZone = 8

func (g *Gateway) buildStreams() {
	g.streams = streamkeeper.New(streamkeeper.Config{
		HostID: g.cfg.HostID, Zone: g.cfg.Zone, Clock: g.cfg.Clock.Now, Meter: g.meter, Logger: g.cfg.Logger.Named("streamkeeper"),
		Conn:             func(hostID string) (grpc.ClientConnInterface, error) { return g.exchanger.Conn(hostID) },
		IsStoreReachable: func() bool { return g.follower.StoreUnreachableFor() == 0 },
		Revision:         g.receivedRevision,
		Synchronize:      func(ctx context.Context) error { return g.follower.Synchronize(ctx) },
		RemovalDelay:     g.cfg.DrainTime,
		AwaitsHistory:    true,
	})
	g.streams.Register(g.exchanger.Registrar())
	g.historian = historian.New(historian.Config{
		Store: g.cfg.Store, Keeper: g.streams, IsWriter: func() bool { return g.exchanger.IsAmongFirstHubs(1) },
		Logger: g.cfg.Logger.Named("historian"),
	})
}

// updateKeepers sets which hosts may keep streams: some of each zone, the same ones at all hosts.
func (g *Gateway) updateKeepers() {
	peers := []exchanger.Peer{{HostID: g.cfg.HostID, Zone: g.cfg.Zone, ProcessorShare: g.cfg.ProcessorShare}}
	for _, peer := range g.registrar.Peers() {
		if !g.exchanger.IsUnavailable(peer.HostID) {
			peers = append(peers, exchanger.Peer{HostID: peer.HostID, Zone: peer.Zone, ProcessorShare: peer.ProcessorShare})
		}
	}
	slices.SortFunc(peers, exchanger.ComparePriority)
	var hosts []streamkeeper.Host
	counts := map[string]int{}
	for _, peer := range peers {
		if counts[peer.Zone]++; counts[peer.Zone] <= maxKeepersPerZone {
			hosts = append(hosts, streamkeeper.Host{HostID: peer.HostID, Zone: peer.Zone})
		}
	}
	g.streams.SetHosts(hosts)
}

// receivedRevision returns up to which revision of the store this host has received any changes.
func (g *Gateway) receivedRevision() int64 {
	revision := max(g.relayer.LatestRevision(), g.follower.LatestRevision())
	if entry, ok := g.installedConfiguration(); ok {
		revision = max(revision, entry.Revision)
	}
	return revision
}

// updateStreamMembers sets which changes the hosts that may begin streams have applied.
func (g *Gateway) updateStreamMembers() {
	revisions, incarnations := map[string]int64{}, map[string]string{}
	for _, peer := range g.registrar.Peers() {
		revisions[peer.HostID], incarnations[peer.HostID] = 0, peer.Incarnation
	}
	for _, status := range g.exchanger.Statuses() {
		if incarnation, ok := incarnations[status.Peer.HostID]; ok && incarnation == status.Incarnation {
			revisions[status.Peer.HostID] = status.StoreRevision
		}
	}
	g.streams.SetMembers(revisions)
}

// setStreamClasses applies the classes of the configuration in force. ignored is an older one in the store,
// which hosts that have started since may have in force; nil: there is none.
func (g *Gateway) setStreamClasses(snapshot, ignored *classifier.Snapshot) {
	classes := streamClasses(snapshot)
	if ignored != nil {
		for class, applications := range streamClasses(ignored) {
			classes[class] = append(classes[class], applications...)
		}
	}
	g.streams.SetClasses(classes)
}

// streamClasses returns the applications of each class of streams.
func streamClasses(snapshot *classifier.Snapshot) map[string][]string {
	classes := map[string][]string{}
	for i := range snapshot.Rules {
		class := &snapshot.Rules[i].Class
		if class.Kind != configurer.KindGenerate {
			continue
		}
		applications := []string{}
		for _, share := range class.Shares {
			if share.Weight > 0 || len(class.Shares) == 1 {
				applications = append(applications, share.Application)
			}
		}
		classes[class.Name] = applications
	}
	return classes
}

// setStreamEndpoints applies a change of the list of endpoints.
func (g *Gateway) setStreamEndpoints(change *lister.ListChange) {
	endpoints := make(map[string]streamkeeper.Origin, len(change.Hosts))
	for i := range change.Hosts {
		host := &change.Hosts[i]
		endpoints[host.ID] = streamkeeper.Origin{Application: host.Application, SoftwareVersion: host.SoftwareVersion}
	}
	for i := range change.Held {
		host := &change.Held[i]
		endpoints[host.ID] = streamkeeper.Origin{Application: host.Application, SoftwareVersion: host.SoftwareVersion}
	}
	g.streams.UpdateEndpoints(endpoints, change.Removed, change.IsSnapshot)
}
