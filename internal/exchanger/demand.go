package exchanger

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

const (
	// demandInterval is the shortest time between two messages with demand to a peer. The
	// demand is measured with a half-life of 1 s.
	demandInterval = 250 * time.Millisecond
	// demandSumInterval is how long a sum of demands is used for. Adding it up for each of a
	// hub's peers would multiply its work by their number.
	demandSumInterval = 100 * time.Millisecond
)

// Demand gives the Exchanger access to the demand of this host's callers.
type Demand interface {
	OwnDemand(now time.Time) aggregator.Snapshot
}

// FleetDemand is what this host knows of the demand of the fleet.
type FleetDemand struct {
	Others aggregator.Snapshot // the sum of all other hosts
	// Published is this host's demand that the others count with; its Hosts is 0 if none of
	// them has received any.
	Published aggregator.Snapshot
	// IsIsolated is true if no peer has sent an update recently; Others is out of date then.
	IsIsolated bool
	Counts     aggregator.Counts
	Rejected   int64 // received values that were treated as 0 since the start
	SentBytes  int64 // of demand in messages, since the start
}

// demandState is the demand that this host knows, and sums of it.
type demandState struct {
	mu       sync.Mutex
	registry *aggregator.Registry
	own      aggregator.Own
	others   cachedDemand[aggregator.Snapshot]
	current  cachedDemand[aggregator.Snapshot] // this host's
	zone     cachedDemand[aggregator.Snapshot]
	fleet    cachedDemand[*aggregator.Total]

	rejected, sentBytes int64
}

// cachedDemand is a value that is computed at most every demandSumInterval.
type cachedDemand[T any] struct {
	value T
	at    time.Time
}

func (c *cachedDemand[T]) get(now time.Time, compute func() T) T {
	if c.at.IsZero() || now.Sub(c.at) >= demandSumInterval {
		c.value, c.at = compute(), now
	}
	return c.value
}

// demandCursor is what a peer has been sent of demand.
type demandCursor struct {
	acked         map[aggregator.Key]aggregator.Demand
	hosts, others int // the numbers of hosts in the last message
	checkedAt     time.Time
	changedAt     time.Time // last change sent
}

// nextDemand is the demand for the next message to a peer.
type nextDemand struct {
	snapshot   aggregator.Snapshot
	changes    map[aggregator.Key]aggregator.Demand
	hasChanged bool
	isCurrent  bool // false: the last demand sent is too recent to be compared
}

// FleetDemand returns what this host knows of the demand of the fleet.
func (ex *Exchanger) FleetDemand(now time.Time) FleetDemand {
	role := ex.demandRole()
	d := &ex.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	others := d.othersLocked(role, now)
	published, _ := d.own.Published(now)
	return FleetDemand{
		Others: others, Published: published, IsIsolated: d.registry.IsIsolated(now), Counts: d.registry.Counts(others, now),
		Rejected: d.rejected, SentBytes: d.sentBytes,
	}
}

func (d *demandState) othersLocked(role aggregator.Role, now time.Time) aggregator.Snapshot {
	return d.others.get(now, func() aggregator.Snapshot {
		d.registry.Expire(now)
		return d.registry.Others(role, now)
	})
}

// demandRole returns the role that decides which messages with demand this host counts.
func (ex *Exchanger) demandRole() aggregator.Role {
	t := ex.currentTopology()
	switch {
	case t.isFullMesh:
		return aggregator.RoleMesh
	case t.hubs[ex.cfg.HostID]:
		return aggregator.RoleHub
	default:
		return aggregator.RoleMember
	}
}

// nextDemand returns the demand for the next message to a peer; nothing if the last one is
// less than demandInterval ago, unless the message is full.
func (ex *Exchanger) nextDemand(p *publisher, peer Peer, now time.Time) (next nextDemand) {
	c := &p.demand
	if p.full {
		c.acked = nil
	}
	if ex.cfg.Demand == nil || p.part == exchangerpb.Part_PART_NONE {
		return next
	}
	if !p.full && now.Sub(c.checkedAt) < demandInterval {
		next.snapshot.Hosts, next.snapshot.HostsWithout = c.hosts, c.others
		return next
	}
	c.checkedAt, next.isCurrent = now, true
	next.snapshot = ex.demandFor(p.part, peer, now)
	next.changes = aggregator.Changes(c.acked, aggregator.Compact(next.snapshot.Demands), now.Sub(c.changedAt))
	next.hasChanged = len(next.changes) > 0 || next.snapshot.Hosts != c.hosts || next.snapshot.HostsWithout != c.others
	return next
}

// demandFor returns the demand that a peer is sent for the given part.
func (ex *Exchanger) demandFor(part exchangerpb.Part, peer Peer, now time.Time) aggregator.Snapshot {
	role, isDraining := ex.demandRole(), ex.local.Draining()
	d := &ex.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.current.get(now, func() aggregator.Snapshot {
		if isDraining {
			return aggregator.Snapshot{}
		}
		return d.own.Demand(ex.cfg.Demand.OwnDemand(now), d.othersLocked(role, now), now)
	})
	switch part {
	case exchangerpb.Part_PART_ZONE:
		return d.zone.get(now, func() aggregator.Snapshot { return d.registry.ZoneTotal(own) })
	case exchangerpb.Part_PART_REST:
		total := d.fleet.get(now, func() *aggregator.Total { return d.registry.FleetTotal(own, now) })
		return total.Minus(d.registry.HostDemand(peer.HostID))
	default:
		return own
	}
}

// addDemand adds the demand to a message.
func (ex *Exchanger) addDemand(message *exchangerpb.PeerUpdate, next *nextDemand) {
	message.SendsDemand = ex.cfg.Demand != nil
	message.DemandHosts, message.DemandHostsWithout = int64(next.snapshot.Hosts), int64(next.snapshot.HostsWithout)
	message.Demand = demandToMessage(next.changes)
	if len(message.GetDemand()) == 0 {
		return
	}
	size := proto.Size(&exchangerpb.PeerUpdate{Demand: message.GetDemand()})
	ex.demand.mu.Lock()
	ex.demand.sentBytes += int64(size)
	ex.demand.mu.Unlock()
}

// acknowledgeDemand records whether the peer has received the demand.
func (ex *Exchanger) acknowledgeDemand(p *publisher, next *nextDemand, acknowledged bool) {
	if !next.isCurrent || !acknowledged {
		return
	}
	c := &p.demand
	c.hosts, c.others = next.snapshot.Hosts, next.snapshot.HostsWithout
	if len(next.changes) > 0 {
		c.acked, _ = aggregator.Apply(c.acked, next.changes)
		c.changedAt = c.checkedAt
	}
	ex.demand.mu.Lock()
	defer ex.demand.mu.Unlock()
	own := ex.demand.current.value
	if p.part == exchangerpb.Part_PART_OWN { // the peer does not know small changes
		own.Demands = c.acked
	}
	ex.demand.own.Sent(own, time.Now())
}

// applyDemand records the demand of a message; it returns false if the peer has to send all
// of it.
func (ex *Exchanger) applyDemand(message *exchangerpb.PeerUpdate, zone string, now time.Time) bool {
	d := &ex.demand
	if message.GetPart() == exchangerpb.Part_PART_NONE {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.registry.Remove(message.GetHostId())
		return true
	}
	update := aggregator.Update{
		HostID: message.GetHostId(), Zone: zone, Scope: demandScope(message.GetPart()), IsFull: message.GetFull(),
		Sends: message.GetSendsDemand(), Draining: message.GetDraining(),
		Hosts: demandHosts(message.GetDemandHosts()), HostsWithout: demandHosts(message.GetDemandHostsWithout()),
	}
	if !update.Sends {
		update.Hosts, update.HostsWithout = 0, demandHosts(max(message.GetHosts(), 1))
	}
	rejected := 0
	update.Demands, rejected = demandFromMessage(message.GetDemand())
	d.mu.Lock()
	defer d.mu.Unlock()
	excess, ok := d.registry.Apply(&update, now)
	d.rejected += int64(rejected + excess)
	return ok
}

// demandHosts limits a number of hosts from a message.
func demandHosts(n int64) int { return int(min(max(n, 0), maxHosts)) }

func demandScope(part exchangerpb.Part) aggregator.Scope {
	switch part {
	case exchangerpb.Part_PART_ZONE:
		return aggregator.ScopeZone
	case exchangerpb.Part_PART_REST:
		return aggregator.ScopeRest
	default:
		return aggregator.ScopeHost
	}
}

// setListed sets in the registry which peers the platform lists.
func (ex *Exchanger) setListed(peers []Peer) {
	hostIDs := make([]string, 0, len(peers))
	for _, peer := range peers {
		hostIDs = append(hostIDs, peer.HostID)
	}
	ex.demand.mu.Lock()
	defer ex.demand.mu.Unlock()
	ex.demand.registry.SetListed(hostIDs)
}
