package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// All hosts together stay within the share of all requests and the reserve,
// also when each repeats as often as it may and some have just been restarted.
func TestBudgetsOfAllHosts(t *testing.T) {
	t.Parallel()
	const hosts, share, reserve, requests = 9, 0.2, 58.0, 500
	repeats := 0.0
	for range hosts {
		b := newEmptyBudget(share, reserve/hosts)
		for n := range requests {
			if n == requests/2 {
				b = newEmptyBudget(share, reserve/hosts) // restarted
			}
			b.deposit()
			for _, cost := range []float64{2, 1} {
				if b.withdrawSome(cost) {
					repeats += cost
				}
			}
		}
	}
	assert.Assert(t, repeats <= share*hosts*requests+reserve, "%v repeats", repeats)
	assert.Assert(t, repeats > share*hosts*requests/2, "%v repeats: hardly any are let through", repeats)
}

// A repeat that has the prompt read again sends two calls, and pays for two.
func TestRepeatCost(t *testing.T) {
	t.Parallel()
	kept := &driver.KVHandle{HandleID: "abc"}
	for name, test := range map[string]struct {
		p    passage
		want float64
	}{
		"nothing read":            {p: passage{}, want: 1},
		"read and kept":           {p: passage{read: 1, handle: kept, handleAt: time.Now()}, want: 1},
		"read and taken":          {p: passage{read: 1}, want: 2},
		"read, kept for too long": {p: passage{read: 1, handle: kept, handleAt: time.Now().Add(-time.Minute)}, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, test.p.repeatCost(), test.want)
		})
	}
}
