package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/admitter"
)

// rankedWork returns new work of a rank and tenant that costs about 11 ms of engine time.
func rankedWork(rank int, tenant string, now time.Time) Work {
	work := newWork(now)
	work.Class.Tenant, work.Rank, work.Tenant = "", rank, tenant
	work.PromptTokens, work.MaxOutputTokens = 25, 1
	return work
}

// offer admits work and ends its grant at once. It returns the reason of a refusal.
func offer(s *Scheduler, work Work, now time.Time) RefusalReason {
	s.mu.Lock()
	s.table.Refresh(now)
	w, result := s.admit(&work, now)
	if w != nil {
		s.removeWaiter(w)
	}
	s.mu.Unlock()
	if result.grant != nil {
		result.grant.Done(Abandoned{})
	}
	if result.refusal != nil {
		return result.refusal.Reason
	}
	return ""
}

// othersDemand returns the demand of rank 0 and 2 of 8 other hosts.
func othersDemand(urgent, other float64) aggregator.Snapshot {
	return aggregator.Snapshot{Hosts: 8, Demands: map[aggregator.Key]aggregator.Demand{
		{Application: "drafting", Rank: 0}: {Offered: urgent}, {Application: "drafting", Rank: 2}: {Offered: other},
	}}
}

// newSharingScheduler returns a Scheduler with 12 engines that applies shares without a
// loss of engines.
func newSharingScheduler(t testing.TB) (*Scheduler, *time.Time) {
	t.Helper()
	s, now := newScheduler(t, engines(12))
	s.cfg.Policy.MinLoss = -1
	return s, now
}

// Guards against shares that refuse callers whom the queue would serve: they apply only
// after a loss of half of the engines, and not after the engines have come back.
func TestSharesNeedLossOfEngines(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(24))
	s.cfg.Policy.MinLoss = 0.5
	othersOffered := 60.
	refused := func(count int) float64 {
		s.SetHosts(engines(count), *now)
		s.SetPeerLoad("peers", 8, loads(engines(count), busyLoad), *now)
		return refusedShares(s, now, func() { s.SetFleetDemand(othersDemand(othersOffered/3, othersOffered*2/3), *now) })[1]
	}
	assert.Equal(t, refused(24), 0.)
	assert.Equal(t, refused(16), 0.)
	assert.Assert(t, refused(12) > 0.5)
	othersOffered = 18
	assert.Equal(t, refused(12), 0., "the queue serves more")
	othersOffered = 60
	assert.Equal(t, refused(24), 0.)
	s.cfg.Policy.MinLoss = DefaultMinLoss
	assert.Equal(t, refused(12), 0., "shares are off by default")
}

// busyLoad is the number of requests at an engine from which on it counts as busy.
const busyLoad = 12

// loads returns a load of the given number of requests at each engine.
func loads(hosts []provider.Host, requests int) map[string]Load {
	result := make(map[string]Load, len(hosts))
	for i := range hosts {
		result[hosts[i].ID] = Load{Requests: requests}
	}
	return result
}

// refusedShares offers work of ranks 0 and 2 for two seconds, and returns the shares refused
// by precedence in the second one.
func refusedShares(s *Scheduler, now *time.Time, setDemand func()) (shares [2]float64) {
	const count = 100
	for i := range 2 * count {
		*now = now.Add(10 * time.Millisecond)
		setDemand()
		s.Tick(*now)
		for k, rank := range []int{0, 2} {
			if offer(s, rankedWork(rank, "", *now), *now) == ReasonPrecedence && i >= count {
				shares[k] += 1. / count
			}
		}
	}
	return shares
}

// Precedence that applies without a shortage would refuse work for nothing, and without it
// in a shortage, costly work takes the engine time of the urgent work.
func TestPrecedence(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		urgent, other float64 // demand of the other hosts
		age           time.Duration
		peers         int
		load          int  // requests at each engine
		isUnknown     bool // no demand of the others is known
		isIsolated    bool
		lowest        [2]float64
		highest       [2]float64
	}{
		"demand fits":                    {load: busyLoad, urgent: 2, other: 2},
		"engines are idle":               {load: busyLoad / 2, urgent: 40, other: 40},
		"less urgent work exceeds":       {load: busyLoad, urgent: 8, other: 40, lowest: [2]float64{0, 0.75}, highest: [2]float64{0, 0.95}},
		"urgent work exceeds as well":    {load: busyLoad, urgent: 40, other: 40, lowest: [2]float64{0.6, 0.9}, highest: [2]float64{0.85, 1}},
		"others' demand is too old":      {load: busyLoad, urgent: 40, other: 40, age: 3 * time.Second},
		"own demand times hosts exceeds": {load: busyLoad, age: 3 * time.Second, peers: 3599, lowest: [2]float64{0.6, 0.9}, highest: [2]float64{1, 1}},
		// The exchanger calls SetFleetDemand with a sum of no hosts behind a hub of an older build.
		"no demand known, own demand times hosts exceeds": {
			load: busyLoad, isUnknown: true, peers: 3599, lowest: [2]float64{0.6, 0.9}, highest: [2]float64{1, 1},
		},
		// The exchanger keeps the last sum for 10 s, which would apply beyond the 2 s for shares.
		"isolated, others' last demand exceeds": {load: busyLoad, isIsolated: true, urgent: 40, other: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newSharingScheduler(t)
			s.SetPeerLoad("peers", test.peers, loads(engines(12), test.load), *now)
			refused := refusedShares(s, now, func() {
				others := othersDemand(test.urgent, test.other)
				if test.isUnknown {
					others = aggregator.Snapshot{}
				}
				s.SetPublishedDemand(aggregator.Snapshot{}, test.isIsolated)
				s.SetFleetDemand(others, now.Add(-test.age))
			})
			for i := range refused {
				assert.Assert(t, refused[i] >= test.lowest[i] && refused[i] <= test.highest[i], "refused %.2f", refused)
			}
		})
	}
}

// A shortage that is noticed late, or started work that is refused in it, costs urgent and
// admitted requests their targets.
func TestPrecedenceAfterLossOfEngines(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(48))
	s.cfg.Policy.MinLoss = 0.5
	s.SetPeerLoad("peers", 8, loads(engines(48), busyLoad), *now)
	setDemand := func() { s.SetFleetDemand(othersDemand(6, 34), *now) }
	assert.Equal(t, refusedShares(s, now, setDemand), [2]float64{})
	s.SetHosts(engines(12), *now)
	*now = now.Add(300 * time.Millisecond)
	s.Tick(*now)
	assert.Assert(t, s.precedences["drafting"].shares[2].All < 0.5)
	assert.Equal(t, s.precedences["drafting"].shares[0].All, 1.)
	s.SetFleetDemand(othersDemand(100, 100), *now)
	*now = now.Add(shareInterval)
	retry, resumed, admitted := rankedWork(2, "", *now), rankedWork(2, "", *now), rankedWork(2, "", *now)
	retry.Excluded, resumed.IsResumed, admitted.IsAdmitted = []string{"engine-1"}, true, true
	for _, work := range []Work{retry, resumed, admitted} {
		for range 20 {
			assert.Assert(t, offer(s, work, *now) != ReasonPrecedence)
		}
	}
	s.SetHosts(nil, *now)
	*now = now.Add(shareInterval)
	assert.Equal(t, offer(s, rankedWork(2, "", *now), *now), ReasonNoEndpoint, "a peer may reach endpoints")
}

// The demand of callers whose host reaches no endpoint would be missing from that of the fleet,
// or count twice if the host later tries the request itself.
func TestPassedOnWorkIsCountedOnce(t *testing.T) {
	t.Parallel()
	s, now := newSharingScheduler(t)
	key := aggregator.Key{Application: "drafting", Rank: 2}
	work := rankedWork(2, "", *now)
	s.RecordPassedOn(work)
	once := s.OwnDemand(*now).Demands[key].Offered
	assert.Assert(t, once > 0)
	work.IsCounted = true
	offer(s, work, *now)
	assert.Equal(t, s.OwnDemand(*now).Demands[key].Offered, once)
}

// A tenant that is among the largest at one host and not in the fleet would have a share by its
// demand at that host alone. If 40 tenants ask for the same, each host would admit all work of
// the larger part of its tenants.
func TestShareOfTenantThatOnlyThisHostNames(t *testing.T) {
	t.Parallel()
	s, now := newSharingScheduler(t)
	s.SetPeerLoad("peers", 8, loads(engines(12), busyLoad), *now)
	demand := aggregator.Demand{Offered: 40, RestOffered: 24, RestTenants: 24}
	for i := range aggregator.MaxTenants {
		demand.Tenants = append(demand.Tenants, aggregator.TenantDemand{Tenant: fmt.Sprintf("large-%d", i), Offered: 1})
	}
	offer(s, rankedWork(1, "vitosha", *now), *now)
	s.SetFleetDemand(aggregator.Snapshot{Hosts: 8, Demands: map[aggregator.Key]aggregator.Demand{
		{Application: "drafting", Rank: 1}: demand,
	}}, *now)
	*now = now.Add(shareInterval)
	s.Tick(*now)
	share := &s.precedences["drafting"].shares[1]
	assert.Assert(t, share.Of("large-3", false) < 0.4, share.Of("large-3", false))
	assert.Assert(t, share.Of("vitosha", false) < 0.4, share.Of("vitosha", false))
}

// Engines that do both are short of time for prompts long before their request limits are
// reached. Shares that wait for these would leave the shortage to the queues of the hosts.
func TestPromptsKeepEnginesWithBothRolesBusy(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		tokens  int // prompt tokens queued at each engine
		isShort bool
	}{
		"few prompt tokens":  {tokens: 100},
		"many prompt tokens": {tokens: 20_000, isShort: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newSharingScheduler(t)
			queued := map[string]Load{}
			for _, host := range engines(12) {
				queued[host.ID] = Load{Requests: 2, PrefillTokens: test.tokens}
			}
			s.SetPeerLoad("peers", 8, queued, *now)
			refused := refusedShares(s, now, func() { s.SetFleetDemand(othersDemand(8, 40), *now) })
			assert.Equal(t, refused[1] > 0.7, test.isShort, refused)
		})
	}
}

// A host that only gets requests from peers would keep the shares of a shortage that has ended,
// and refuse those requests for as long as it has no callers of its own.
func TestSharesAreComputedForForwardedWork(t *testing.T) {
	t.Parallel()
	s, now := newSharingScheduler(t)
	s.SetPeerLoad("peers", 8, loads(engines(12), busyLoad), *now)
	refused := refusedShares(s, now, func() { s.SetFleetDemand(othersDemand(40, 40), *now) })
	assert.Assert(t, refused[1] > 0.9, refused)
	for i := range 40 { // the shortage lasts for longer than the host has callers
		demand := 0.
		if i < 25 {
			demand = 40
		}
		*now = now.Add(idleAfter / 20)
		s.SetPeerLoad("peers", 8, loads(engines(12), busyLoad), *now)
		s.SetFleetDemand(othersDemand(demand, demand), *now)
		s.Tick(*now)
	}
	forwarded := rankedWork(2, "", *now)
	forwarded.IsFromPeer = true
	assert.Assert(t, offer(s, forwarded, *now) != ReasonPrecedence)
}

// Without ranks and tenants, a shortage is left to the queue as before.
func TestNoPrecedenceWithoutRanks(t *testing.T) {
	t.Parallel()
	s, now := newSharingScheduler(t)
	for range 500 {
		*now = now.Add(2 * time.Millisecond)
		assert.Assert(t, offer(s, rankedWork(1, "vitosha", *now), *now) != ReasonPrecedence)
		s.SetFleetDemand(aggregator.Snapshot{Hosts: 8, Demands: map[aggregator.Key]aggregator.Demand{
			{Application: "drafting", Rank: 1}: {Offered: 500, Tenants: []aggregator.TenantDemand{{Tenant: "vitosha", Offered: 500}}},
		}}, *now)
	}
	assert.Assert(t, !s.precedences["drafting"].isShort)
	assert.Equal(t, s.precedences["drafting"].credits.Len(), 0)
}

// Waiting work whose endpoints are all excluded or busy must not keep work of another rank
// from the endpoints that are free.
func TestWaitingWorkDoesNotBlockOtherRanks(t *testing.T) {
	t.Parallel()
	hosts := engines(2)
	hosts[1].SoftwareVersion = "v2"
	for i := range hosts {
		hosts[i].Slots = 1
	}
	s, now := newScheduler(t, hosts)
	q := s.queueOf(&Work{Class: newWork(*now).Class})
	add := func(rank int, excluded string) *waiter {
		w := &waiter{work: rankedWork(rank, "", *now), outcome: make(chan outcome, 1)}
		w.work.Excluded = []string{excluded}
		item := s.newItem(s.table.Application("drafting"), w, *now)
		item.Rank = rank
		q.insert(admitter.Position(q.items, &item), item, w)
		return w
	}
	busy := rankedWork(0, "", *now)
	busy.Excluded = []string{"engine-1"}
	s.mu.Lock()
	_, result := s.admit(&busy, *now)
	assert.Assert(t, result.grant != nil)
	for range maxSkipped + 2 {
		add(0, "engine-1")
	}
	other := add(2, "engine-0")
	s.dispatchQueue(q, *now)
	s.mu.Unlock()
	assert.Equal(t, (<-other.outcome).grant.Target().EndpointID, "engine-1")
}

// The model of engines with both roles states 2.5 times the engine time of a prompt at an
// engine that only prefills, and too much work is refused.
func TestCostWithSeparateRoles(t *testing.T) {
	t.Parallel()
	hosts := engines(4)
	for i := range hosts {
		hosts[i].Role = string(driver.RoleDecode)
	}
	hosts[0].Role = string(driver.RolePrefill)
	s, now := newScheduler(t, hosts)
	parts := []Part{{ID: "shared", Tokens: 13_300}}
	prefillCost := func(isPrefilled bool) time.Duration {
		work := newWork(*now)
		work.PromptTokens, work.PrefixTokens, work.PrefixParts, work.IsPrefilled = 17_020, 13_300, parts, isPrefilled
		return s.generationCost(s.table.Application("drafting"), &waiter{work: work, expected: 20}, *now).prefill
	}
	model := &s.table.Application("drafting").Model
	for range 200 {
		model.ObserveDedicatedPrefill(17_020, 298*time.Millisecond)
	}
	whole := prefillCost(false)
	assert.Assert(t, whole > 250*time.Millisecond && whole < 300*time.Millisecond, whole)
	target := s.table.Endpoints["engine-0"].Target
	s.ApplyCacheEvents(target, driver.CacheEvents{Changes: []driver.CacheChange{{PartID: "shared", Tokens: 13_300}}}, true)
	unshared := prefillCost(false)
	assert.Assert(t, unshared > 55*time.Millisecond && unshared < 65*time.Millisecond, unshared)
	assert.Equal(t, prefillCost(true), time.Duration(0))
	s.UpdateHosts([]provider.Host{}, []string{"engine-0"}, *now)
	assert.Equal(t, prefillCost(false), model.DirectPrefillCost(17_020), "decode engines prefill if no other engine does")
}
