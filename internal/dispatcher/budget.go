package dispatcher

import "sync"

// A failing fleet must not be retried to death: each request pays a share of
// a retry into a budget, and each retry takes a whole one out. The reserve is
// what a sudden loss may draw at once, such as all streams of a dead engine.
const (
	retryShare    = 0.1
	retryReserve  = 50
	resumeShare   = 0.5
	resumeReserve = 400
)

// budget is a bounded count of retries that may be made.
type budget struct {
	share   float64
	reserve float64

	mu   sync.Mutex
	left float64
}

func newBudget(share, reserve float64) *budget {
	return &budget{share: share, reserve: reserve, left: reserve}
}

// deposit pays in for one request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.share, b.reserve)
}

// withdraw takes one retry out; false when there is none.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
