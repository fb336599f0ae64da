package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// All hosts together stay within the share of all requests and the reserve in
// any window, also when each repeats as often as it may, after a calm time or
// all the time, and some have just been restarted. A window's requests are
// those sent in it, or in the one before it.
func TestAllowancesOfAllHosts(t *testing.T) {
	t.Parallel()
	const (
		hosts, share, reserve = 9, 0.2, 58.0
		window, step          = 10 * time.Second, 100 * time.Millisecond
		steps                 = 600 // a minute
	)
	for name, test := range map[string]struct {
		perStep   func(step int) int // requests to each host
		repeating func(step int) bool
		restarts  bool
		atLeast   float64 // repeats that have to be let through
	}{
		"all the time":       {perStep: always(3), repeating: func(int) bool { return true }, atLeast: 2500},
		"after a calm time":  {perStep: always(3), repeating: func(step int) bool { return step == 300 }, atLeast: 400},
		"with restarts":      {perStep: always(3), repeating: func(int) bool { return true }, restarts: true, atLeast: 1500},
		"after a burst":      {perStep: func(step int) int { return 1 + 19*(step/100%2) }, repeating: func(step int) bool { return step%100 > 90 }, atLeast: 2500},
		"at a very low rate": {perStep: func(step int) int { return step / 10 % 2 }, repeating: func(int) bool { return true }, atLeast: 300},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(0, 0)
			clock := func() time.Time { return now }
			fleet := make([]*allowance, hosts)
			for i := range fleet {
				fleet[i] = newAllowance(share*0.85, reserve*0.85/hosts, window, clock)
			}
			requests, repeats := make([]float64, steps), make([]float64, steps)
			for n := range steps {
				now = now.Add(step)
				for i := range fleet {
					if test.restarts && n%70 == i*7 {
						fleet[i] = newAllowance(share*0.85, reserve*0.85/hosts, window, clock)
					}
					for range test.perStep(n) {
						fleet[i].deposit()
						requests[n]++
					}
					for test.repeating(n) && fleet[i].withdraw(1) {
						repeats[n]++
					}
				}
			}
			checkWindows(t, requests, repeats, int(window/step), share, reserve)
			assert.Assert(t, sum(repeats) >= test.atLeast, "%v repeats: hardly any are let through", sum(repeats))
		})
	}
}

// The first request of a new process counts at once.
func TestAllowanceBegins(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	a := newAllowance(0.5, 3, 10*time.Second, func() time.Time { return now })
	a.deposit()
	a.deposit()
	assert.Equal(t, a.remaining(), 1.0)
	assert.Assert(t, a.withdraw(1))
	assert.Assert(t, !a.withdraw(1))
	now = now.Add(11 * time.Second)
	assert.Equal(t, a.remaining(), 3.0, "the reserve, after a whole window; what is older does not count")
}

func always(n int) func(int) int { return func(int) int { return n } }

func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}

func checkWindows(t *testing.T, requests, repeats []float64, length int, share, reserve float64) {
	t.Helper()
	for begin := length; begin+length <= len(requests); begin++ {
		sent := max(sum(requests[begin:begin+length]), sum(requests[begin-length:begin]), sum(requests[begin-length/2:begin+length/2]))
		made := sum(repeats[begin : begin+length])
		assert.Assert(t, made <= share*sent+reserve, "%v repeats of %v requests from step %d on", made, sent, begin)
	}
}

// A repeat that has the prompt read again sends two calls, and pays for two.
func TestRepeatCost(t *testing.T) {
	t.Parallel()
	kept := &driver.KVHandle{HandleID: "abc"}
	for name, test := range map[string]struct {
		p    *forwarding
		want float64
	}{
		"nothing read":            {p: &forwarding{}, want: 1},
		"read and kept":           {p: &forwarding{read: 1, handle: kept, handleAt: time.Now()}, want: 1},
		"read and taken":          {p: &forwarding{read: 1}, want: 2},
		"read, kept for too long": {p: &forwarding{read: 1, handle: kept, handleAt: time.Now().Add(-time.Minute)}, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, test.p.repeatCost(), test.want)
		})
	}
}
