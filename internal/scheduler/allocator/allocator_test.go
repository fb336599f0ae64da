package allocator

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivemast/endivemast/internal/aggregator"
)

func rankOf(offered float64, response, limit time.Duration) Rank {
	return Rank{Demand: aggregator.Demand{Offered: offered}, ResponseTarget: response, TimeLimit: limit}
}

func tenantsOf(rest float64, restTenants int, named ...aggregator.TenantDemand) Rank {
	demand := aggregator.Demand{Offered: rest, Tenants: named, RestOffered: rest, RestTenants: restTenants}
	for _, tenant := range named {
		demand.Offered += tenant.Offered
	}
	return Rank{Demand: demand}
}

func TestDivide(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	small, large := rankOf(8, 500*ms, 3000*ms), rankOf(20, 1200*ms, 5000*ms)
	tests := map[string]struct {
		ranks    map[int]Rank
		capacity float64
		want     map[int]float64
	}{
		"all demand fits":               {map[int]Rank{0: small, 2: large}, 28, map[int]float64{0: 1, 2: 1}},
		"one rank":                      {map[int]Rank{2: large}, 5, map[int]float64{2: 1}},
		"last rank gets the rest":       {map[int]Rank{0: small, 2: large}, 18, map[int]float64{0: 1, 2: 0.5}},
		"last rank gets its floor":      {map[int]Rank{0: small, 2: large}, 4, map[int]float64{0: 3.6 / 8, 2: 0.4 / 20}},
		"floor is capped at the demand": {map[int]Rank{0: small, 2: rankOf(0.1, 1200*ms, 5000*ms)}, 4, map[int]float64{0: 3.9 / 8, 2: 1}},
		"floors leave half":             {map[int]Rank{0: small, 1: rankOf(20, 120*ms, 100*ms)}, 4, map[int]float64{0: 2. / 8, 1: 2. / 20}},
		// Floors of 4 × 500/5000 and 4 × 100/5000.
		"shortest target counts for floor": {map[int]Rank{0: small, 1: rankOf(9, 100*ms, 5000*ms), 2: large}, 4, map[int]float64{1: 0.4 / 9, 2: 0.08 / 20}},
		"no capacity":                      {map[int]Rank{0: small, 2: large}, 0, map[int]float64{0: 0, 2: 0}},
		// Otherwise callers of a host that has had no urgent work would get nothing while it takes all.
		"urgent target not known":   {map[int]Rank{0: rankOf(8, 0, 0), 2: large}, 4, map[int]float64{0: 3.8 / 8, 2: 0.2 / 20}},
		"unknown targets: no floor": {map[int]Rank{0: rankOf(8, 0, 0), 2: rankOf(20, 0, 0)}, 4, map[int]float64{0: 0.5, 2: 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ranks [Ranks]Rank
			for i, rank := range test.ranks {
				ranks[i] = rank
			}
			shares := Divide(&ranks, test.capacity)
			for i, want := range test.want {
				assert.Assert(t, math.Abs(shares[i].Of("", false)-want) < 1e-9, "rank %d: %g, want %g", i, shares[i].Of("", false), want)
			}
		})
	}
}

func TestDivideAmongTenants(t *testing.T) {
	t.Parallel()
	big, mid, low := aggregator.TenantDemand{Tenant: "big", Offered: 12}, aggregator.TenantDemand{Tenant: "mid", Offered: 3}, aggregator.TenantDemand{Tenant: "low", Offered: 1}
	tests := map[string]struct {
		rank     Rank
		capacity float64
		want     map[string]float64
	}{
		"a single tenant may use everything":   {tenantsOf(0, 0, big), 6, map[string]float64{"big": 1}},
		"small tenants are served in full":     {tenantsOf(0, 0, big, mid, low), 10, map[string]float64{"big": 0.5, "mid": 1, "low": 1}},
		"equal level below all demands":        {tenantsOf(0, 0, big, mid), 4, map[string]float64{"big": 2. / 12, "mid": 2. / 3}},
		"unnamed tenants count one by one":     {tenantsOf(8, 8, big), 14, map[string]float64{"big": 0.5, "any other": 1}},
		"unnamed tenants are cut at the level": {tenantsOf(8, 8, big), 4.5, map[string]float64{"big": 0.5 / 12, "any other": 0.5}},
		"callers without tenant count as one":  {tenantsOf(12, 0, mid), 9, map[string]float64{"mid": 1, "": 0.5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shares := Divide(&[Ranks]Rank{1: test.rank}, test.capacity)
			for tenant, want := range test.want {
				assert.Assert(t, math.Abs(shares[1].Of(tenant, false)-want) < 1e-9, "%q: %g, want %g", tenant, shares[1].Of(tenant, false), want)
			}
		})
	}
}

// No division admits more than the capacity, leaves capacity unused while work is refused,
// or serves a rank below its floor.
func TestDivisionUsesCapacityOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var ranks [Ranks]Rank
		var total float64
		for i := range rapid.IntRange(2, Ranks).Draw(t, "ranks") {
			offered := rapid.Float64Range(0.01, 30).Draw(t, "offered")
			ranks[i] = rankOf(offered, time.Duration(rapid.IntRange(0, 2000).Draw(t, "response"))*time.Millisecond,
				time.Duration(rapid.IntRange(0, 5000).Draw(t, "limit"))*time.Millisecond)
			total += offered
		}
		capacity := rapid.Float64Range(0, 60).Draw(t, "capacity")
		shares := Divide(&ranks, capacity)
		reserved := floors(&ranks, capacity)
		var admitted float64
		for i := range ranks {
			used := shares[i].All * ranks[i].Demand.Offered
			admitted += used
			assert.Assert(t, shares[i].All >= 0 && shares[i].All <= 1)
			assert.Assert(t, used >= reserved[i]-1e-9 || total <= capacity)
		}
		assert.Assert(t, math.Abs(admitted-min(capacity, total)) < 1e-6, "admitted %g of %g with capacity %g", admitted, total, capacity)
	})
}

// Guards against callers that return after a refusal and are refused again beside new ones
// that are admitted, and against returns that leave new callers nothing.
func TestRoomForReturns(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ returning, wantReturning, wantNew float64 }{
		"none":       {wantReturning: 0.5, wantNew: 0.5},
		"a few":      {returning: 2, wantReturning: 1, wantNew: 3. / 8},
		"half":       {returning: 5, wantReturning: 0.5, wantNew: 0.5},
		"nearly all": {returning: 9, wantReturning: 0.5, wantNew: 0.5},
		"all":        {returning: 10, wantReturning: 0.5, wantNew: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ranks [Ranks]Rank
			ranks[0] = rankOf(5, time.Second, time.Second)
			ranks[1] = rankOf(10, time.Second, 0)
			ranks[1].Demand.Returning = test.returning
			shares := Divide(&ranks, 10)
			shares.DivideAmongTenants(&ranks)
			share := shares[1]
			assert.Assert(t, math.Abs(share.Of("", true)-test.wantReturning) < 1e-9, "returning %g", share.Of("", true))
			assert.Assert(t, math.Abs(share.Of("", false)-test.wantNew) < 1e-9, "new %g", share.Of("", false))
		})
	}
}
