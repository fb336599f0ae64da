package aggregator

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// This file models hosts that exchange demand over a network with delays, and engines that
// serve what the hosts admit. Demand is a flow, in fractions of the capacity of all engines.

const (
	modelStep    = 50 * time.Millisecond
	stepsPerSend = 5 // 250 ms between messages to a peer
	// stepsPerDecision is twice as long as in a host, for the run time of the model.
	stepsPerDecision = 4
	modelTenants     = 9 // the last one stands for modelRest tenants that are not named
	modelRest        = 68
	unlistedAfter    = 9 * time.Second // the time to live of a host's entry in the store
	hubsPerZone      = 2
)

// tenantNames and the ids of peers are kept, because formatting them dominated the run time.
var tenantNames = [modelTenants]string{"0", "1", "2", "3", "4", "5", "6", "7", "8"}

// usualDemand is the demand of each tenant before a change.
var usualDemand = [modelTenants]float64{0.07, 0.035, 0.035, 0.035, 0.035, 0.035, 0.035, 0.035, 0.385}

// approach decides a host's portion, and what it admits of each tenant.
type approach func(m *model, h *modelHost) (portion float64, admitted [modelTenants]float64)

type modelHost struct {
	id, zone        string
	index           int
	killedAt        time.Time
	isStarted       bool
	startedAt       time.Time // zero: before the run
	isFrozen, isCut bool
	weight          float64
	demand          [modelTenants]float64 // present
	measured        [modelTenants]float64 // with the meter's half-life
	registry        *Registry
	own             Own
	others          Snapshot
	acked           map[peerScope]map[Key]Demand // absent: it has to be sent everything
	changedAt       map[peerScope]time.Time
	portion         float64
	admitted        [modelTenants]float64
}

// isActive reports whether the host takes part in the exchange.
func (h *modelHost) isActive() bool { return h.isStarted && h.killedAt.IsZero() && !h.isFrozen }

// firstCallers is how long after its start a host has its first callers: a load balancer
// has to find it ready first.
const firstCallers = 500 * time.Millisecond

func (m *model) serves(h *modelHost) bool {
	return h.isActive() && m.now.Sub(h.startedAt) >= firstCallers
}

type peerScope struct {
	peer  *modelHost
	scope Scope
}

type delivery struct {
	at       int // step
	from, to *modelHost
	update   *Update
	own      Snapshot // of the sender
}

type model struct {
	now        time.Time
	step       int
	hosts      []*modelHost
	zones      map[string][]*modelHost // listed hosts
	listed     int
	isMesh     bool
	deliveries []delivery
	approach   approach
	isLending  bool                  // hosts send what they lend and want to borrow
	tenants    [modelTenants]float64 // present demand of each tenant
	burstZone  string                // through which all demand of tenant 0 arrives; empty: all
}

func newModel(n, zones, started int, a approach) *model {
	m := &model{now: time.Unix(1000, 0), approach: a, tenants: usualDemand, isMesh: n <= 9}
	for i := range n {
		zone := fmt.Sprintf("z%d", i%zones)
		m.hosts = append(m.hosts, &modelHost{
			id: fmt.Sprintf("%s-%d", zone, i), zone: zone, index: i, weight: 1, isStarted: i < started,
			registry: NewRegistry(zone), acked: map[peerScope]map[Key]Demand{}, changedAt: map[peerScope]time.Time{},
		})
	}
	m.list()
	return m
}

// list updates the platform's list at all hosts.
func (m *model) list() {
	listed := map[string]bool{}
	for _, h := range m.hosts {
		if h.isStarted && (h.killedAt.IsZero() || m.now.Sub(h.killedAt) < unlistedAfter) {
			listed[h.id] = true
		}
	}
	if len(listed) == m.listed {
		return
	}
	m.listed, m.zones = len(listed), map[string][]*modelHost{}
	for _, h := range m.hosts {
		h.registry.listed = listed
		if listed[h.id] {
			m.zones[h.zone] = append(m.zones[h.zone], h)
		}
	}
}

func (m *model) hubs(zone string) []*modelHost {
	return m.zones[zone][:min(hubsPerZone, len(m.zones[zone]))]
}

func (m *model) role(h *modelHost) Role {
	switch {
	case m.isMesh:
		return RoleMesh
	case slices.Contains(m.hubs(h.zone), h):
		return RoleHub
	default:
		return RoleMember
	}
}

// advance simulates one step.
func (m *model) advance() {
	m.now, m.step = m.now.Add(modelStep), m.step+1
	if m.step%10 == 0 {
		m.list()
	}
	m.offer()
	m.deliver()
	for i, h := range m.hosts {
		if h.isActive() && (m.step+i)%stepsPerSend == 0 {
			m.publish(h)
		}
	}
	for _, h := range m.hosts {
		if h.isActive() && m.step%stepsPerDecision == 0 {
			h.registry.Expire(m.now)
			h.others = h.registry.Others(m.role(h), m.now)
			h.portion, h.admitted = m.approach(m, h)
		}
	}
}

// offer spreads the demand of each tenant over the hosts that serve.
func (m *model) offer() {
	for tenant, total := range m.tenants {
		weights := 0.0
		weight := func(h *modelHost) float64 {
			if !m.serves(h) || tenant == 0 && m.burstZone != "" && h.zone != m.burstZone {
				return 0
			}
			return h.weight
		}
		for _, h := range m.hosts {
			weights += weight(h)
		}
		for _, h := range m.hosts {
			h.demand[tenant] = total * weight(h) / weights
		}
	}
	keep := math.Exp2(-modelStep.Seconds() / halfLife.Seconds())
	for _, h := range m.hosts {
		for tenant := range h.demand {
			h.measured[tenant] = h.measured[tenant]*keep + h.demand[tenant]*(1-keep)
		}
	}
}

// modelScale makes the capacity of the fleet one of 48 engines.
const modelScale = 48

func (m *model) snapshot(h *modelHost) Snapshot {
	d := Demand{RestOffered: h.measured[modelTenants-1] * modelScale, RestTenants: modelRest}
	for tenant, offered := range h.measured {
		d.Offered += offered * modelScale
		if tenant < modelTenants-1 && offered > 0 {
			d.Tenants = append(d.Tenants, TenantDemand{tenantNames[tenant], offered * modelScale})
		}
	}
	sortTenants(d.Tenants)
	if d.Offered < negligible {
		return Snapshot{Hosts: 1}
	}
	if !m.isLending {
		return Snapshot{Hosts: 1, Demands: map[Key]Demand{key: d}}
	}
	equal := modelScale / float64(1+h.others.Hosts)
	return Snapshot{Hosts: 1, Demands: map[Key]Demand{
		key: d, unusedKey: {Offered: max(equal-d.Offered, negligible)}, wantedKey: {Offered: max(d.Offered-equal, negligible)},
	}}
}

// What a host lends and wants to borrow, exchanged like demand.
var unusedKey, wantedKey = Key{Application: "unused"}, Key{Application: "wanted"}

// borrowing is the approach with equal portions, where hosts with demand above theirs divide
// what the others leave; each host divides its portion among tenants by itself.
func borrowing(m *model, h *modelHost) (portion float64, admitted [modelTenants]float64) {
	own, _ := h.own.Published(m.now)
	unused, wanted := own.Demands[unusedKey].Offered, own.Demands[wantedKey].Offered
	allUnused, allWanted := unused+h.others.Demands[unusedKey].Offered, wanted+h.others.Demands[wantedKey].Offered
	portion = modelScale / float64(1+h.others.Hosts)
	if allUnused > 0 && allWanted > 0 {
		portion += wanted*min(1, allUnused/allWanted) - unused*min(1, allWanted/allUnused)
	}
	for tenant := range admitted {
		admitted[tenant] = math.Inf(1)
	}
	return portion / modelScale, admitted
}

// second is what happened in one second.
type second struct {
	portions       float64 // sum over the hosts that serve
	worst          float64 // service of the tenant besides tenant 0 that is served worst
	total          float64 // served
	zoneDifference float64 // between the zones served best and worst
}

func (m *model) runSecond() (s second) {
	const steps = int(time.Second / modelStep)
	var offered, served [modelTenants]float64
	zoneOffered, zoneServed := map[string]float64{}, map[string]float64{}
	for range steps {
		m.advance()
		grants, total := make([][modelTenants]float64, len(m.hosts)), 0.0
		for i, h := range m.hosts {
			if m.serves(h) {
				s.portions += h.portion / float64(steps)
				grants[i] = h.grant()
				total += sumOf(grants[i])
			}
		}
		overload := max(total, 1) // engines with more work than they can do delay all of it
		for i, h := range m.hosts {
			for tenant, granted := range grants[i] {
				offered[tenant] += h.demand[tenant]
				served[tenant] += granted / overload
			}
			zoneOffered[h.zone] += sumOf(h.demand)
			zoneServed[h.zone] += sumOf(grants[i]) / overload
		}
		s.total += min(total, 1) / float64(steps)
	}
	s.worst = 1
	for tenant := 1; tenant < modelTenants; tenant++ {
		if offered[tenant] > 0 {
			s.worst = min(s.worst, served[tenant]/offered[tenant])
		}
	}
	best, worst := 0.0, 1.0
	for zone, offered := range zoneOffered {
		best, worst = max(best, zoneServed[zone]/offered), min(worst, zoneServed[zone]/offered)
	}
	s.zoneDifference = best - worst
	return s
}

// grant returns what the host serves of each tenant: its demand up to what is admitted, and
// within the portion by max-min fairness.
func (h *modelHost) grant() (granted [modelTenants]float64) {
	for tenant := range granted {
		granted[tenant] = min(h.demand[tenant], h.admitted[tenant])
	}
	level := MaxMin(granted[:modelTenants-1], granted[modelTenants-1], modelRest, h.portion)
	for tenant := range granted {
		limit := level
		if tenant == modelTenants-1 {
			limit *= modelRest
		}
		granted[tenant] = min(granted[tenant], limit)
	}
	return granted
}

func sumOf(values [modelTenants]float64) (sum float64) {
	for _, value := range values {
		sum += value
	}
	return sum
}

func (m *model) publish(h *modelHost) {
	own := h.own.Demand(m.snapshot(h), h.others, m.now)
	if m.isMesh {
		for _, peer := range m.hosts {
			m.send(h, peer, ScopeHost, own, own)
		}
		return
	}
	hubs := m.hubs(h.zone)
	for _, hub := range hubs {
		m.send(h, hub, ScopeHost, own, own)
	}
	if !slices.Contains(hubs, h) {
		return
	}
	zone, fleet := h.registry.ZoneTotal(own), h.registry.FleetTotal(own, m.now)
	for name := range m.zones {
		for _, hub := range m.hubs(name) {
			if name != h.zone {
				m.send(h, hub, ScopeZone, zone, own)
			}
		}
	}
	for _, member := range m.zones[h.zone] {
		assigned := hubs[member.index/len(m.zones)%len(hubs)]
		isTakenOver := false
		if e := h.registry.entries[assigned.id]; e == nil || m.now.Sub(e.updatedAt) > 500*time.Millisecond {
			isTakenOver = true
		}
		if !slices.Contains(hubs, member) && (assigned == h || isTakenOver) {
			m.send(h, member, ScopeRest, fleet.Minus(h.registry.HostDemand(member.id)), own)
		}
	}
}

// send sends a message, which takes 50 to 100 ms.
func (m *model) send(from, to *modelHost, scope Scope, snapshot, own Snapshot) {
	if from == to || !to.isStarted {
		return
	}
	peer := peerScope{to, scope}
	acked, isKnown := from.acked[peer]
	update := &Update{
		HostID: from.id, Zone: from.zone, Scope: scope, IsFull: !isKnown, Sends: true,
		Hosts: snapshot.Hosts, Demands: Changes(acked, Compact(snapshot.Demands), m.now.Sub(from.changedAt[peer])),
	}
	if len(update.Demands) > 0 {
		from.changedAt[peer] = m.now
	}
	delete(from.acked, peer)
	m.deliveries = append(m.deliveries, delivery{m.step + 1 + (from.index+to.index)%2, from, to, update, own})
	if isKnown || !to.isCut && !from.isCut && to.isActive() {
		from.acked[peer], _ = Apply(acked, update.Demands)
	}
	if scope == ScopeHost { // the others know what was sent, and small changes are not
		m.deliveries[len(m.deliveries)-1].own.Demands = from.acked[peer]
	}
}

func (m *model) deliver() {
	pending := m.deliveries[:0]
	for _, d := range m.deliveries {
		switch {
		case d.at > m.step:
			pending = append(pending, d)
			continue
		case !d.to.isCut && !d.from.isCut && d.to.isActive():
			if _, ok := d.to.registry.Apply(d.update, m.now); ok {
				d.from.own.Sent(d.own, m.now)
				continue
			}
		}
		delete(d.from.acked, peerScope{d.to, d.update.Scope})
	}
	m.deliveries = pending
}

// summed is the approach with the demand of all hosts added up: portions by demand, and for
// each tenant the part of the fleet's max-min level that its demand at this host is.
func summed(m *model, h *modelHost) (portion float64, admitted [modelTenants]float64) {
	own, _ := h.own.Published(m.now)
	ownDemand, others := own.Demands[key], h.others.Demands[key]
	counted, othersCounted := CountedDemand(
		Snapshot{Demands: map[Key]Demand{key: ownDemand}}, Snapshot{Demands: map[Key]Demand{key: others}}, func(string) float64 { return modelScale })
	if h.registry.IsIsolated(m.now) {
		AssumeSaturated(counted, othersCounted, func(string) float64 { return modelScale })
	}
	portion, ok := Portion(counted[key.Application], othersCounted[key.Application], float64(h.others.Hosts), float64(h.others.HostsWithout))
	if !ok {
		portion = 1 / float64(1+h.others.Hosts)
	}
	var demands [modelTenants]float64
	for tenant := range modelTenants - 1 {
		demands[tenant] = offeredOf(ownDemand.Tenants, tenantNames[tenant]) + offeredOf(others.Tenants, tenantNames[tenant])
	}
	rest := ownDemand.RestOffered + others.RestOffered
	level := MaxMin(demands[:], rest, modelRest, modelScale)
	demands[modelTenants-1] = rest
	for tenant, total := range demands {
		mine, limit := ownDemand.RestOffered, level*modelRest
		if tenant < modelTenants-1 {
			mine, limit = offeredOf(ownDemand.Tenants, tenantNames[tenant]), level
		}
		switch {
		case mine > 0:
			admitted[tenant] = limit * mine / total / modelScale
		case rest <= level*modelRest: // it is not named, and the rest is not limited
			admitted[tenant] = math.Inf(1)
		}
	}
	return portion, admitted
}
