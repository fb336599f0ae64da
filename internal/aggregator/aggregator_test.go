package aggregator

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var key = Key{Application: "drafting", Rank: 1}

func snapshotOf(offered float64, tenants ...TenantDemand) Snapshot {
	demand := Demand{Offered: offered, RestOffered: offered, Tenants: tenants}
	for _, tenant := range tenants {
		demand.RestOffered -= tenant.Offered
	}
	return Snapshot{Hosts: 1, Demands: map[Key]Demand{key: demand}}
}

func updateOf(hostID, zone string, scope Scope, hosts int, offered float64) *Update {
	snapshot := snapshotOf(offered)
	return &Update{HostID: hostID, Zone: zone, Scope: scope, IsFull: true, Sends: true, Hosts: hosts, Demands: snapshot.Demands}
}

// Guards against demand of callers without a tenant that is missing among the tenants of other
// hosts: their level would be too high, and what is admitted would exceed the capacity.
func TestSumWithCallersWithoutTenant(t *testing.T) {
	t.Parallel()
	without := Snapshot{Hosts: 1, Demands: map[Key]Demand{key: {Offered: 3}}}
	with := snapshotOf(5, TenantDemand{"a", 4})
	s := NewSum()
	s.Add(without)
	s.Add(with)
	s.Add(without)
	total := s.Total()
	assert.Equal(t, total.Minus(Snapshot{}).Demands[key].RestOffered, 7.)
	assert.Equal(t, total.Minus(without).Demands[key].RestOffered, 4.)
	assert.Equal(t, total.Minus(with).Demands[key].RestOffered, 6.)
}

// Guards against demand that is lost while a host is cut off, that stays after a host is
// gone, or that is counted twice when two hubs send the same sum.
func TestRegistryOthers(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		role     Role
		updates  []*Update // one second apart
		listed   []string
		after    time.Duration // since the last update
		want     float64
		hosts    int
		unknowns int
	}{
		"silent and listed": {updates: []*Update{updateOf("a", "z", ScopeHost, 1, 2)}, listed: []string{"a"}, after: 9 * time.Second, want: 2, hosts: 1},
		"silent for long":   {updates: []*Update{updateOf("a", "z", ScopeHost, 1, 2)}, listed: []string{"a"}, after: 11 * time.Second},
		"not listed":        {updates: []*Update{updateOf("a", "z", ScopeHost, 1, 2)}, after: 2 * time.Second},
		"not listed, sends": {updates: []*Update{updateOf("a", "z", ScopeHost, 1, 2)}, after: time.Second, want: 2, hosts: 1},
		"draining": {updates: []*Update{
			updateOf("a", "z", ScopeHost, 1, 2), {HostID: "a", Zone: "z", Sends: true, Draining: true, Hosts: 1},
		}},
		"older build": {updates: []*Update{updateOf("a", "z", ScopeHost, 1, 2), {HostID: "b", Zone: "z", HostsWithout: 1}}, want: 2, hosts: 1, unknowns: 1},
		"two hubs of a zone": {role: RoleHub, updates: []*Update{
			updateOf("a", "z", ScopeHost, 1, 2), updateOf("h1", "y", ScopeZone, 5, 10), updateOf("h2", "y", ScopeZone, 5, 11),
		}, listed: []string{"a", "h1", "h2"}, want: 13, hosts: 6},
		"a hub that has just started": {role: RoleHub, updates: []*Update{
			updateOf("h1", "y", ScopeZone, 5, 10), updateOf("h2", "y", ScopeZone, 1, 2),
		}, listed: []string{"h1", "h2"}, want: 10, hosts: 5},
		"a hub ignores sums of all": {role: RoleHub, updates: []*Update{
			updateOf("h1", "z", ScopeRest, 5, 10), updateOf("h2", "y", ScopeZone, 5, 12),
		}, listed: []string{"h1", "h2"}, want: 12, hosts: 5},
		"a new hub uses the sum of all until it knows the hosts": {role: RoleHub, updates: []*Update{
			updateOf("h1", "z", ScopeRest, 5, 10), updateOf("h1", "z", ScopeHost, 1, 2),
		}, listed: []string{"h1"}, want: 10, hosts: 5},
		"a member uses one sum": {role: RoleMember, updates: []*Update{
			updateOf("a", "z", ScopeHost, 1, 2), updateOf("h1", "z", ScopeRest, 8, 20), updateOf("h2", "z", ScopeRest, 8, 21),
		}, listed: []string{"h1", "h2"}, want: 21, hosts: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, now := NewRegistry("z"), start
			r.SetListed(test.listed)
			for _, update := range test.updates {
				now = now.Add(time.Second)
				rejected, ok := r.Apply(update, now)
				assert.Assert(t, ok && rejected == 0)
			}
			now = now.Add(test.after)
			r.Expire(now)
			others := r.Others(test.role, now)
			assert.Equal(t, others.Demands[key].Offered, test.want)
			assert.Equal(t, others.Hosts, test.hosts)
			assert.Equal(t, others.HostsWithout, test.unknowns)
		})
	}
}

// Guards against changes that are applied to a state which the receiver no longer has.
func TestRegistryRequestsFullState(t *testing.T) {
	t.Parallel()
	r, now := NewRegistry("z"), time.Unix(1000, 0)
	update := updateOf("a", "z", ScopeHost, 1, 2)
	update.IsFull = false
	_, ok := r.Apply(update, now)
	assert.Assert(t, !ok)
}

// Guards against a receiver that does not hold what the sender holds after a series of
// changes, and against messages for changes too small to matter.
func TestChangesReproduceDemands(t *testing.T) {
	t.Parallel()
	var held map[Key]Demand
	messages := 0
	for i := range 200 {
		current := map[Key]Demand{}
		for rank := range 3 {
			tenants := []TenantDemand{{fmt.Sprintf("t%d", i/7%5), 0.5}, {"u", 0.2 + float64(i%11)/100}}
			current[Key{Application: "drafting", Rank: rank}] = snapshotOf(1+0.01*float64(i/20), tenants...).Demands[key]
		}
		if i%50 > 40 {
			delete(current, key)
		}
		changes := Changes(held, Compact(current), 0)
		if len(changes) > 0 {
			messages++
		}
		held, _ = Apply(held, changes)
		assert.Equal(t, len(held), len(current))
		for key, demand := range current {
			assert.Assert(t, math.Abs(held[key].Offered-demand.Offered) <= changeAbsolute)
			assert.Equal(t, len(held[key].Tenants), len(demand.Tenants))
			for _, tenant := range demand.Tenants {
				assert.Assert(t, math.Abs(offeredOf(held[key].Tenants, tenant.Tenant)-tenant.Offered) <= changeAbsolute)
			}
		}
	}
	assert.Assert(t, messages < 150, "%d messages", messages)
}

// Guards against the tenants of many hosts growing a sum, and against a remainder that still
// holds the part subtracted from it.
func TestSumIsBounded(t *testing.T) {
	t.Parallel()
	s, parts := NewSum(), []Snapshot{}
	for host := range 300 {
		var tenants []TenantDemand
		for i := range MaxTenants {
			tenants = append(tenants, TenantDemand{fmt.Sprintf("t%d", (host*7+i)%500), 0.01})
		}
		tenants[0] = TenantDemand{"large", 0.1}
		parts = append(parts, snapshotOf(1, tenants...))
		s.Add(parts[host])
	}
	total := s.Snapshot()
	assert.Equal(t, total.Hosts, 300)
	demand := total.Demands[key]
	assert.Equal(t, len(demand.Tenants), MaxTenants)
	assert.Equal(t, demand.Tenants[0].Tenant, "large")
	assert.Assert(t, math.Abs(demand.Tenants[0].Offered-30) < 1e-9)
	assert.Equal(t, demand.RestTenants, 501-MaxTenants)
	sum := demand.RestOffered
	for _, tenant := range demand.Tenants {
		sum += tenant.Offered
	}
	assert.Assert(t, math.Abs(sum-300) < 1e-9)
	remainder := s.Total().Minus(parts[0]).Demands[key]
	assert.Assert(t, math.Abs(remainder.Offered-299) < 1e-9)
	assert.Assert(t, math.Abs(remainder.Tenants[0].Offered-29.9) < 1e-9)
}

// Guards against a new host that counts as one without demand, and one without callers that
// keeps a part of the capacity.
func TestOwnDemandOfNewHost(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	others := Snapshot{Hosts: 4, Demands: snapshotOf(8).Demands}
	var o Own
	assert.Equal(t, o.Demand(Snapshot{Hosts: 1}, others, start).Demands[key].Offered, 2.0)
	assert.Equal(t, o.Demand(snapshotOf(0.1), others, start.Add(time.Second)).Demands[key].Offered, 2.0)
	assert.Equal(t, o.Demand(snapshotOf(3), others, start.Add(2*time.Second)).Demands[key].Offered, 3.0)
	var idle Own
	idle.Demand(Snapshot{Hosts: 1}, others, start)
	assert.Equal(t, len(idle.Demand(Snapshot{Hosts: 1}, others, start.Add(startLimit)).Demands), 0)
}

// Guards against a tenant that gets more than its demand, and capacity that is left over
// while a demand is not met.
func TestMaxMin(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		demands    []float64
		restDemand float64
		restCount  int
		capacity   float64
		want       float64
	}{
		"nothing asked":            {capacity: 4, want: 4},
		"a single tenant":          {demands: []float64{9}, capacity: 4, want: 4},
		"all fits":                 {demands: []float64{1, 2}, restDemand: 1, restCount: 4, capacity: 5, want: 3},
		"a large one is limited":   {demands: []float64{12, 1, 1}, capacity: 6, want: 4},
		"the rest is small":        {demands: []float64{12, 1}, restDemand: 2, restCount: 20, capacity: 6, want: 3},
		"the rest is limited":      {demands: []float64{1}, restDemand: 8, restCount: 4, capacity: 3, want: 0.6},
		"a rest without its count": {restDemand: 8, capacity: 3, want: 3},
		"no capacity":              {demands: []float64{1}, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := MaxMin(test.demands, test.restDemand, test.restCount, test.capacity)
			assert.Assert(t, math.Abs(got-test.want) < 1e-9, "%v", got)
		})
	}
}
