package dispatcher

import "sync"

// The budgets keep retries from overloading a fleet that is already failing: each request
// deposits a share of a retry and each retry withdraws a whole one. The reserve covers sudden
// losses, such as all streams of a crashed engine.
const (
	retryShare    = 0.1
	retryReserve  = 50
	resumeShare   = 0.5
	resumeReserve = 400
)

// retryBudget is a token bucket of retries.
type retryBudget struct {
	share   float64
	reserve float64

	mu        sync.Mutex
	remaining float64
}

func newRetryBudget(share, reserve float64) *retryBudget {
	return &retryBudget{share: share, reserve: reserve, remaining: reserve}
}

// deposit adds one request's share.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining = min(b.remaining+b.share, b.reserve)
}

// tryWithdraw takes one retry out of the budget. It returns false if none is left.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}
