package admitter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An account that admits another part than its share of the engine time leaves engines idle
// or overloads them, also with hundreds of hosts that see few requests each.
func TestCreditsAdmitTheShare(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		hosts, arrivals int
		share           float64
		costs           []float64
	}{
		"one busy host":        {1, 10_000, 0.3, []float64{0.06}},
		"nothing":              {1, 1000, 0, []float64{0.06}},
		"everything":           {9, 1000, 1, []float64{0.06, 0.3}},
		"cheap and expensive":  {4, 10_000, 0.3, []float64{0.06, 0.3}},
		"few requests a host":  {300, 4, 0.1, []float64{0.06}},
		"one request per host": {3000, 1, 0.2, []float64{0.06}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(1, 2))
			var offered, admitted float64
			for range test.hosts {
				var credits Credits
				for i := range test.arrivals {
					cost := test.costs[random.IntN(len(test.costs))]
					offered += cost
					if credits.Admit(CreditKey{Rank: 2}, test.share, cost, random.Float64(), at(time.Duration(i)*100*time.Millisecond)) {
						admitted += cost
					}
				}
			}
			assert.Assert(t, math.Abs(admitted/offered-test.share) < 0.02, "admitted %.3f of the engine time", admitted/offered)
		})
	}
}

// A balance saved while nothing could be admitted, or an unbounded one after a pause, would
// admit a burst that delays urgent work.
func TestCreditBalanceIsCapped(t *testing.T) {
	t.Parallel()
	var credits Credits
	key := CreditKey{Rank: 1, Tenant: "vitosha"}
	for i := range 100 {
		credits.Admit(key, 0.9, 1, 0, at(time.Duration(i)*10*time.Millisecond))
	}
	burst := 0
	for credits.Admit(key, 0, 0.1, 0, at(time.Minute)) {
		burst++
	}
	assert.Assert(t, burst <= 10, "burst of %d requests of a tenth of the cost", burst)
}

// The accounts of tens of thousands of tenants must not grow without bound.
func TestCreditAccountsAreBounded(t *testing.T) {
	t.Parallel()
	var credits Credits
	for i := range 3 * MaxCreditAccounts {
		credits.Admit(CreditKey{Tenant: fmt.Sprint(i)}, 0.5, 1, 0, start)
		credits.Admit(CreditKey{Tenant: "used often"}, 0.5, 1, 0, start)
	}
	assert.Equal(t, credits.Len(), MaxCreditAccounts)
	assert.Equal(t, credits.recent.Len(), MaxCreditAccounts)
	_, isKept := credits.accounts[CreditKey{Tenant: "used often"}]
	assert.Assert(t, isKept)
}
