package exchanger

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// publisher is the sending side's state of one peer.
type publisher struct {
	sequence     uint64
	acked        map[string]Load // load that the peer has acknowledged
	full         bool            // the next message must contain everything
	idleTicks    int             // ticks since the last message
	sentAt       time.Time       // of the last message
	part         exchangerpb.Part
	leavingCount int // number of leaving endpoints in the last message
	caches       logCursor[CacheUpdate]
	crashes      logCursor[CrashUpdate]
	usage        logCursor[UsageUpdate]
	signals      logCursor[SignalUpdate]
	reach        []ApplicationReach // in the last message
	demand       demandCursor
	refusals     sentRefusals
}

// ownLoad caches this host's load for all publishers of a tick. Collecting it locks the
// scheduler and visits all endpoints, which is too expensive to do for each peer.
type ownLoad struct {
	mu    sync.Mutex
	loads map[string]Load // immutable; nil before the first use
	at    time.Time
}

// cachedOwnLoad returns this host's load, at most half a tick old.
func (ex *Exchanger) cachedOwnLoad(now time.Time) map[string]Load {
	ex.own.mu.Lock()
	defer ex.own.mu.Unlock()
	if ex.own.loads == nil || now.Sub(ex.own.at) >= ex.cfg.Tick/2 {
		ex.own.loads, ex.own.at = ex.local.OwnLoad(), now
	}
	return ex.own.loads
}

// publishTo publishes to one peer. Each peer has its own goroutine, so that one that does not
// answer delays no others.
func (ex *Exchanger) publishTo(ctx context.Context, conn grpc.ClientConnInterface, peer Peer) error {
	client := newUpdateStream(exchangerpb.NewExchangeClient(conn))
	defer client.close()
	p := &publisher{full: true, acked: map[string]Load{}}
	timer := time.NewTimer(ex.tick())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(ex.nextPublishDelay(p))
			ex.publish(ctx, client, p, peer)
		}
	}
}

// tick returns the time between two messages to a peer. It grows with the number of peers, so
// that the total message rate stays bounded.
func (ex *Exchanger) tick() time.Duration {
	if ex.cfg.UpdatesPerSecond <= 0 {
		return ex.cfg.Tick
	}
	ex.mu.Lock()
	peers := ex.loadPeers
	ex.mu.Unlock()
	return max(ex.cfg.Tick, time.Duration(peers)*time.Second/time.Duration(ex.cfg.UpdatesPerSecond))
}

// nextPublishDelay returns the time until the next check whether to send to a peer. A peer
// that is sent no load only needs heartbeats; a hub checks more often, because it may have to
// take over hosts of another hub.
func (ex *Exchanger) nextPublishDelay(p *publisher) time.Duration {
	switch {
	case p.part != exchangerpb.Part_PART_NONE:
		return ex.tick()
	case ex.isHub():
		return ex.tick() * heartbeatTicks
	default:
		return max(ex.tick()*heartbeatTicks, ex.heartbeatInterval())
	}
}

// heartbeatInterval returns the time between two heartbeats to a peer.
func (ex *Exchanger) heartbeatInterval() time.Duration {
	return ex.cfg.PeerTimeout / heartbeatsPerPeerTimeout
}

func (ex *Exchanger) isHub() bool { return ex.currentTopology().hubs[ex.cfg.HostID] }

func (ex *Exchanger) publish(ctx context.Context, client *updateStream, p *publisher, peer Peer) {
	topology := ex.currentTopology()
	part := ex.partFor(topology, peer)
	if part != p.part {
		p.full = true
		p.caches.restart()
		p.crashes.restart()
		p.usage.restart()
		p.signals.restart()
	} else if part == exchangerpb.Part_PART_NONE && time.Since(p.sentAt) < ex.heartbeatInterval()/2 {
		return
	}
	p.part = part
	if !ex.publishesTo(topology, peer) {
		return // hubs exchange load between zones, and receive from all hosts of their own
	}
	content := ex.contentFor(part, peer, ex.cachedOwnLoad(time.Now()))
	message := p.newMessage(content.loads)
	p.idleTicks++
	cacheUpdates, crashUpdates := ex.nextUpdates(p)
	usage, signals := ex.nextUsage(p, peer), ex.nextSignals(p)
	reach, activeRequests := ex.currentReach()
	demand := ex.nextDemand(p, peer, time.Now())
	sendsRefusals := p.sendsRefusals(content.refusals, time.Now())
	hasUpdates := sendsRefusals || demand.hasChanged || !slices.Equal(reach, p.reach) || len(cacheUpdates) > 0 || len(crashUpdates) > 0 || len(usage) > 0 || len(signals) > 0
	if !p.isDue(message, len(content.leaving)) && !hasUpdates {
		return
	}
	message.HostId, message.Incarnation, message.Zone = ex.cfg.HostID, ex.cfg.Incarnation, ex.cfg.Zone
	message.Part, message.Hosts = part, int64(content.hosts)
	message.Leaving = leavingToMessage(content.leaving)
	message.Caches, message.Crashes = cachesToMessage(cacheUpdates), crashesToMessage(crashUpdates, ex.cfg.Clock())
	message.Usage, message.WantsUsage = usageToMessage(usage), ex.cfg.Usage != nil && ex.cfg.Usage.WantsAllCounts()
	message.Signals = signalsToMessage(signals, ex.cfg.Clock())
	message.ReducedReach, message.ActiveRequests = reachToMessage(reach), activeRequests
	ex.addDemand(message, &demand)
	if sendsRefusals {
		message.Refusing, message.SendsRefusing = refusalsToMessage(content.refusals), true
		p.refusals = sentRefusals{items: content.refusals, at: time.Now()}
	}
	message.Draining = ex.local.Draining()
	message.ConfigurationRevision = ex.local.ConfigurationRevision()
	message.StoreRevision = ex.local.StoreRevision()
	p.reach = reach
	p.idleTicks, p.leavingCount, p.sentAt = 0, len(content.leaving), time.Now()
	p.sequence++
	message.Sequence = p.sequence
	sent := ex.cfg.Clock()
	reply, err := client.exchange(ctx, message)
	p.acknowledge(content.loads, err == nil && !reply.GetResync())
	ex.acknowledgeDemand(p, &demand, err == nil && !reply.GetResync())
	if err == nil {
		p.caches.acknowledge(len(cacheUpdates), reply.GetIncarnation())
		p.crashes.acknowledge(len(crashUpdates), reply.GetIncarnation())
		p.usage.acknowledge(len(usage), reply.GetIncarnation())
		p.signals.acknowledge(len(signals), reply.GetIncarnation())
		ex.applyAttestation(reply.GetAttestation(), sent)
	}
}

// nextUpdates returns the cache and crash updates for the next message to a peer.
func (ex *Exchanger) nextUpdates(p *publisher) (caches []CacheUpdate, crashes []CrashUpdate) {
	if ex.cfg.Caches != nil {
		caches = p.caches.next(ex.cfg.Caches, p.part, maxCacheParts, countCacheParts)
	}
	if ex.cfg.Crashes != nil {
		crashes = p.crashes.next(ex.cfg.Crashes, p.part, maxCrashFingerprints, countCrashFingerprints)
	}
	return caches, crashes
}

// nextSignals returns the signal updates for the next message to a peer.
func (ex *Exchanger) nextSignals(p *publisher) []SignalUpdate {
	if ex.cfg.Signals == nil {
		return nil
	}
	return p.signals.next(ex.cfg.Signals, p.part, maxSignals, countSignals)
}

// isDue reports whether to send a message: it has new content, the last one was sent
// heartbeatTicks ago, or it is a heartbeat to a peer that is sent no load.
func (p *publisher) isDue(message *exchangerpb.PeerUpdate, leaving int) bool {
	if p.part == exchangerpb.Part_PART_NONE {
		return true
	}
	return p.full || len(message.Loads) > 0 || leaving > 0 || leaving != p.leavingCount || p.idleTicks >= heartbeatTicks
}

// newMessage returns a message with the changes since the peer's last acknowledgement.
func (p *publisher) newMessage(loads map[string]Load) *exchangerpb.PeerUpdate {
	message := &exchangerpb.PeerUpdate{Full: p.full}
	for endpointID, load := range loads {
		if p.full || p.acked[endpointID] != load {
			message.Loads = append(message.Loads, loadToMessage(endpointID, load))
		}
	}
	if p.full {
		return message
	}
	for endpointID := range p.acked {
		if _, still := loads[endpointID]; !still {
			message.Loads = append(message.Loads, loadToMessage(endpointID, Load{}))
		}
	}
	return message
}

// acknowledge records whether the peer has acknowledged the loads. After a failure it is
// unknown whether the message arrived, so the next one is full.
func (p *publisher) acknowledge(loads map[string]Load, acknowledged bool) {
	p.full = !acknowledged
	if acknowledged {
		p.acked = loads // a new map on each tick, never modified
	}
}

func copyLoads(loads map[string]Load) map[string]Load {
	result := make(map[string]Load, len(loads))
	for endpointID, load := range loads {
		result[endpointID] = load
	}
	return result
}

func loadToMessage(endpointID string, load Load) *exchangerpb.EndpointLoad {
	return &exchangerpb.EndpointLoad{
		EndpointId:    endpointID,
		Requests:      int64(load.Requests),
		PrefillTokens: int64(load.PrefillTokens),
		DecodeTokens:  int64(load.DecodeTokens),
	}
}

func leavingToMessage(leaving []LeavingEndpoint) []*exchangerpb.LeavingEndpoint {
	messages := make([]*exchangerpb.LeavingEndpoint, 0, len(leaving))
	for _, endpoint := range leaving {
		messages = append(messages, &exchangerpb.LeavingEndpoint{
			EndpointId: endpoint.EndpointID, Incarnation: endpoint.Incarnation, Why: exchangerpb.Why(endpoint.Reason),
			AgeMs: endpoint.Age.Milliseconds(),
		})
	}
	return messages
}

func leavingFromMessage(messages []*exchangerpb.LeavingEndpoint) []LeavingEndpoint {
	leaving := make([]LeavingEndpoint, 0, len(messages))
	for _, message := range messages {
		leaving = append(leaving, LeavingEndpoint{
			EndpointID: message.GetEndpointId(), Incarnation: message.GetIncarnation(), Reason: Reason(message.GetWhy()),
			Age: min(time.Duration(max(message.GetAgeMs(), 0))*time.Millisecond, maxUpdateAge),
		})
	}
	return leaving
}

func hostsToMessage(hosts []provider.Host) []*exchangerpb.PlatformHost {
	messages := make([]*exchangerpb.PlatformHost, 0, len(hosts))
	for _, host := range hosts {
		messages = append(messages, &exchangerpb.PlatformHost{
			Id: host.ID, Incarnation: host.Incarnation, Kind: string(host.Kind), Zone: host.Zone,
			Address: host.Address, Application: host.Application, State: string(host.State),
			ChecksFencing: host.ChecksFencing,
		})
	}
	return messages
}

func hostsFromMessage(messages []*exchangerpb.PlatformHost) []provider.Host {
	hosts := make([]provider.Host, 0, len(messages))
	for _, message := range messages {
		hosts = append(hosts, provider.Host{
			ID: message.GetId(), Incarnation: message.GetIncarnation(), Kind: provider.HostKind(message.GetKind()),
			Zone: message.GetZone(), Address: message.GetAddress(), Application: message.GetApplication(),
			State: provider.HostState(message.GetState()), ChecksFencing: message.GetChecksFencing(),
		})
	}
	return hosts
}

// FetchHosts requests from the peers, own zone first, a list newer than revision newerThan. If
// no peer has one, it returns newerThan and no hosts.
func (ex *Exchanger) FetchHosts(ctx context.Context, newerThan int64) (hosts []provider.Host, revision int64) {
	revision = newerThan
	for _, peer := range ex.Peers() {
		reply, err := ex.fetchHostsFrom(ctx, peer, revision)
		if err == nil && reply.GetRevision() > revision && len(reply.GetHosts()) > 0 {
			hosts, revision = hostsFromMessage(reply.GetHosts()), reply.GetRevision()
			break
		}
	}
	return hosts, revision
}

func (ex *Exchanger) fetchHostsFrom(ctx context.Context, peer Peer, newerThan int64) (*exchangerpb.HostsReply, error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, updateTimeout)
	defer cancel()
	conn, err := ex.Conn(peer.HostID)
	if err != nil {
		return nil, err
	}
	return exchangerpb.NewExchangeClient(conn).Hosts(ctx, &exchangerpb.HostsRequest{NewerThan: newerThan})
}
