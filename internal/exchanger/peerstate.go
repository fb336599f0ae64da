package exchanger

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// peerState is the receiving side's state of one peer.
type peerState struct {
	status   PeerStatus
	sequence uint64
	part     exchangerpb.Part
	hosts    int // number of hosts whose load it is
	loads    map[string]Load
	leaving  []LeavingEndpoint

	refusals   []Refusal
	refusalsAt time.Time // when they were received

	wantsUsage bool
}

// applyUpdate applies a peer's update. If messages are missing before it, the reply requests
// the full state.
func (ex *Exchanger) applyUpdate(message *exchangerpb.PeerUpdate) (*exchangerpb.PeerAck, error) {
	now := time.Now()
	reply := &exchangerpb.PeerAck{Incarnation: ex.cfg.Incarnation}
	ex.mu.Lock()
	peer, known := ex.states[message.GetHostId()]
	if !known && !ex.cfg.AcceptsUnknownPeers {
		ex.mu.Unlock()
		return nil, status.Error(codes.PermissionDenied, "host is not among the peers of this host's settings")
	}
	if !known {
		peer = ex.stateLocked(Peer{HostID: message.GetHostId(), Zone: message.GetZone()})
	}
	reply.Resync = !peer.apply(message, now)
	loads, hosts, source := copyLoads(peer.loads), peer.hosts, ex.sourceOf(ex.topology, peer)
	refusals := peer.refusals
	peerZone := peer.status.Peer.Zone
	isOwnZone := peerZone == ex.cfg.Zone
	ex.mu.Unlock()
	if ex.cfg.Caches != nil && len(message.GetCaches()) > 0 {
		ex.cfg.Caches.Merge(cachesFromMessage(message.GetCaches()), isOwnZone)
	}
	if ex.cfg.Crashes != nil && len(message.GetCrashes()) > 0 {
		ex.cfg.Crashes.Merge(ex.crashesFromMessage(message, ex.cfg.Clock()), isOwnZone)
	}
	if ex.cfg.Usage != nil && len(message.GetUsage()) > 0 {
		ex.cfg.Usage.Merge(usageFromMessage(message.GetUsage()), isOwnZone)
	}
	if ex.cfg.Signals != nil && len(message.GetSignals()) > 0 {
		ex.cfg.Signals.Merge(signalsFromMessage(message.GetSignals(), ex.cfg.Clock()), isOwnZone)
	}
	reply.Attestation = ex.attestation()
	if !reply.Resync && source != "" {
		ex.local.ApplyLoad(source, hosts, loads, now)
	}
	if !reply.Resync {
		reply.Resync = !ex.applyDemand(message, peerZone, now)
	}
	ex.local.ApplyLeaving(leavingFromMessage(message.GetLeaving()), now)
	if ex.cfg.Refusals != nil && source != "" && message.GetSendsRefusing() {
		ex.cfg.Refusals.ApplyRefusals(source, refusals)
	}
	return reply, nil
}

// apply applies a message to the state; it returns false if messages before it are missing.
func (p *peerState) apply(message *exchangerpb.PeerUpdate, now time.Time) bool {
	restarted := p.status.Incarnation != message.GetIncarnation()
	p.status.Incarnation = message.GetIncarnation()
	p.status.Draining = message.GetDraining()
	p.status.LastUpdate = now
	p.status.Reachable = true
	p.status.ConfigurationRevision = message.GetConfigurationRevision()
	p.status.StoreRevision = message.GetStoreRevision()
	p.status.ReducedReach, p.status.ActiveRequests = reachFromMessage(message.GetReducedReach()), max(message.GetActiveRequests(), 0)
	p.part, p.hosts = message.GetPart(), int(min(max(message.GetHosts(), 1), maxHosts))
	p.leaving, p.wantsUsage = leavingFromMessage(message.GetLeaving()), message.GetWantsUsage()
	if message.GetSendsRefusing() {
		p.refusals, p.refusalsAt = refusalsFromMessage(message.GetRefusing()), now
	}
	if !message.GetFull() && (restarted || message.GetSequence() != p.sequence+1) {
		return false
	}
	p.sequence = message.GetSequence()
	if message.GetFull() {
		p.loads = map[string]Load{}
	}
	for _, load := range message.GetLoads() {
		p.set(load)
	}
	return true
}

func (p *peerState) set(message *exchangerpb.EndpointLoad) {
	load := Load{
		Requests:      count(message.GetRequests()),
		PrefillTokens: count(message.GetPrefillTokens()),
		DecodeTokens:  count(message.GetDecodeTokens()),
	}
	if load == (Load{}) {
		delete(p.loads, message.GetEndpointId())
		return
	}
	p.loads[message.GetEndpointId()] = load
}

// count limits a count from a message. A negative count would make an endpoint look idle, and
// so would an overflow of the sum of huge ones.
func count(n int64) int { return int(min(max(n, 0), maxCount)) }

// expirePeers drops the load of peers that have sent nothing for PeerTimeout. Right after this
// host was suspended it skips the check, because messages that arrived meanwhile have not been
// read yet.
func (ex *Exchanger) expirePeers(ctx context.Context) error {
	ticker := time.NewTicker(ex.cfg.PeerTimeout / 4)
	defer ticker.Stop()
	detector := timekeeper.NewDetector(timekeeper.New())
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if _, wasSuspended := detector.Check(); wasSuspended {
				continue
			}
			for _, source := range ex.markTimedOut(now) {
				ex.local.ApplyLoad(source, 0, nil, now)
			}
		}
	}
}

// markTimedOut marks peers that have timed out as unreachable and returns the sources whose
// load is to be dropped. A sum is not dropped: another hub sends it too, and without one it
// expires in the scheduler's tables.
func (ex *Exchanger) markTimedOut(now time.Time) (sources []string) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for hostID, peer := range ex.states {
		if peer.status.Reachable && now.Sub(peer.status.LastUpdate) > ex.cfg.PeerTimeout {
			peer.status.Reachable = false
			peer.loads = map[string]Load{}
			peer.sequence = 0
			peer.leaving = nil
			if ex.sourceOf(ex.topology, peer) == hostID {
				sources = append(sources, hostID)
			}
			if l := ex.links[hostID]; l != nil && l.isUnlisted {
				ex.dropLocked(l)
				sources = append(sources, ex.updateTopologyLocked()...)
			}
		}
	}
	return sources
}
