package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// All hosts together stay within the share of all requests plus the reserve in any window,
// whether each repeats as often as it may all the time or only after an idle period, and while
// some have just restarted. A window's requests are those sent in it or in the one before it.
func TestRepeatBudgetsOfAllHosts(t *testing.T) {
	t.Parallel()
	const (
		hosts, share, reserve = 9, 0.2, 58.0
		window, step          = 10 * time.Second, 100 * time.Millisecond
		steps                 = 600 // one minute
	)
	for name, test := range map[string]struct {
		perStep    func(step int) int // number of requests to each host
		mayRepeat  func(step int) bool
		restarts   bool
		minRepeats float64 // minimum number of repeats that must be allowed
	}{
		"continuous repeats":   {perStep: constantRate(3), mayRepeat: func(int) bool { return true }, minRepeats: 2500},
		"after an idle period": {perStep: constantRate(3), mayRepeat: func(step int) bool { return step == 300 }, minRepeats: 400},
		"with restarts":        {perStep: constantRate(3), mayRepeat: func(int) bool { return true }, restarts: true, minRepeats: 1500},
		"after bursts":         {perStep: func(step int) int { return 1 + 19*(step/100%2) }, mayRepeat: func(step int) bool { return step%100 > 90 }, minRepeats: 2500},
		"at a very low rate":   {perStep: func(step int) int { return step / 10 % 2 }, mayRepeat: func(int) bool { return true }, minRepeats: 300},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(0, 0)
			clock := func() time.Time { return now }
			fleet := make([]*repeatBudget, hosts)
			for i := range fleet {
				fleet[i] = newRepeatBudget(share*0.85, reserve*0.85/hosts, window, clock)
			}
			requests, repeats := make([]float64, steps), make([]float64, steps)
			for n := range steps {
				now = now.Add(step)
				for i := range fleet {
					if test.restarts && n%70 == i*7 {
						fleet[i] = newRepeatBudget(share*0.85, reserve*0.85/hosts, window, clock)
					}
					for range test.perStep(n) {
						fleet[i].deposit()
						requests[n]++
					}
					for test.mayRepeat(n) && fleet[i].tryWithdraw(1) {
						repeats[n]++
					}
				}
			}
			checkWindows(t, requests, repeats, int(window/step), share, reserve)
			assert.Assert(t, sum(repeats) >= test.minRepeats, "%v repeats: too few were allowed", sum(repeats))
		})
	}
}

// A new process counts requests from its first one on, and gets its reserve only after a full
// window.
func TestRepeatBudgetOfNewProcess(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	b := newRepeatBudget(0.5, 3, 10*time.Second, func() time.Time { return now })
	b.deposit()
	b.deposit()
	assert.Equal(t, b.remaining(), 1.0)
	assert.Assert(t, b.tryWithdraw(1))
	assert.Assert(t, !b.tryWithdraw(1))
	now = now.Add(11 * time.Second)
	assert.Equal(t, b.remaining(), 3.0, "after a full window the reserve is available, and older requests don't count")
}

func constantRate(n int) func(int) int { return func(int) int { return n } }

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
		repeated := sum(repeats[begin : begin+length])
		assert.Assert(t, repeated <= share*sent+reserve, "%v repeats of %v requests from step %d on", repeated, sent, begin)
	}
}

// A repeat that prefills the prompt again sends two calls and must be charged for two.
func TestRepeatCost(t *testing.T) {
	t.Parallel()
	kept := &driver.KVHandle{HandleID: "abc"}
	for name, test := range map[string]struct {
		fr   *forwardedRequest
		want float64
	}{
		"no prefill":               {fr: &forwardedRequest{}, want: 1},
		"prefilled, cache kept":    {fr: &forwardedRequest{prefills: 1, cacheHandle: kept, cacheReadyAt: time.Now()}, want: 1},
		"prefilled, cache fetched": {fr: &forwardedRequest{prefills: 1}, want: 2},
		"prefilled, cache too old": {fr: &forwardedRequest{prefills: 1, cacheHandle: kept, cacheReadyAt: time.Now().Add(-time.Minute)}, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, test.fr.repeatCost(), test.want)
		})
	}
}

// TestRepeatAfterAPrefillThatWasNotSent guards against repeats that are charged although no endpoint has received anything.
func TestRepeatAfterAPrefillThatWasNotSent(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		err    error
		isFree bool
	}{
		"prefill, connection refused": {&prefillError{cause: driver.ErrConnectionRefused}, true},
		"prefill, refused":            {&prefillError{cause: driver.ErrBusy}, false},
		"send, connection refused":    {driver.ErrConnectionRefused, true},
		"send, refused":               {driver.ErrBusy, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fr := &forwardedRequest{request: &OpaqueRequest{}, repeatBudget: newRepeatBudget(0, 0, time.Second, time.Now)}
			assert.Equal(t, fr.mayRepeat(test.err), test.isFree)
			assert.Assert(t, !mayHaveRun(test.err))
		})
	}
}
