package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refused callers that all return at once to the shortage that they were
// refused for, and are refused again beside new requests.
func TestReturnTimesInShortage(t *testing.T) {
	t.Parallel()
	s, now := newSharingScheduler(t)
	s.SetPeerLoad("peers", 8, loads(engines(12), busyLoad), *now)
	offerWith := func(left time.Duration) (refusal *RefusalError) {
		work := rankedWork(2, "", *now)
		work.CallerTimeLeft = left
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Refresh(*now)
		w, result := s.admit(&work, *now)
		if w != nil {
			s.removeWaiter(w)
		}
		return result.refusal
	}
	var promised, refusedNew, refusedReturns, news, returns int
	for i := range 400 {
		*now = now.Add(10 * time.Millisecond)
		s.SetFleetDemand(othersDemand(8, 40), *now)
		s.Tick(*now)
		left := 6 * time.Second
		if i%4 == 3 {
			left = 4 * time.Second // a caller that returns after 2 s
		}
		refusal := offerWith(left)
		if refusal != nil {
			assert.Equal(t, refusal.Reason, ReasonPrecedence)
			assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= left/3, "callers honour a third of the time left: %s", refusal.RetryAfter)
		}
		switch {
		case left < 6*time.Second:
			returns++
			if refusal != nil {
				refusedReturns++
			}
		default:
			news++
			if refusal != nil {
				refusedNew++
			}
		}
	}
	promised = int(s.precedences["drafting"].counts[2].promised)
	t.Logf("refused: %d of %d new, %d of %d returns; %d promised", refusedNew, news, refusedReturns, returns, promised)
	assert.Assert(t, refusedNew > 0 && promised > 0)
	assert.Assert(t, float64(refusedReturns)/float64(returns) < 0.8*float64(refusedNew)/float64(news))
}
