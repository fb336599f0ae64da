package meter

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// candidatesPerTop bounds the tenants that are counted: so many for each
	// tenant that can be named.
	candidatesPerTop = 8
	// promoteFactor is how much busier a tenant must be than a named one to
	// take its place. Without it two tenants of equal traffic would end each
	// other's series at every ranking.
	promoteFactor = 2
)

// ranker finds the busiest tenants in bounded memory, by the space-saving
// algorithm: where the table is full, a new tenant takes the place and the
// count of the least counted one.
type ranker struct {
	top   int
	named atomic.Pointer[map[string]bool] // replaced, never changed

	mu     sync.Mutex
	counts map[string]int64
	ranked time.Time
}

// newRanker makes a ranker for so many named tenants.
func newRanker(top int, now time.Time) *ranker {
	r := &ranker{top: top, counts: make(map[string]int64), ranked: now}
	r.named.Store(&map[string]bool{})
	return r
}

// label is the name that a tenant's series have. While fewer tenants are named
// than may be, a new one is named at once: otherwise what its first request
// observes before it is counted would go to Other.
func (r *ranker) label(tenant string) string {
	if r.isNamed(tenant) {
		return tenant
	}
	if len(*r.named.Load()) >= r.top || labelValue(tenant) == Other {
		return Other
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nameLocked(tenant)
	if r.isNamed(tenant) {
		return tenant
	}
	return Other
}

// isNamed says whether a tenant has series of its own.
func (r *ranker) isNamed(tenant string) bool { return (*r.named.Load())[tenant] }

// nameLocked names a tenant while there is room.
func (r *ranker) nameLocked(tenant string) {
	named := *r.named.Load()
	if len(named) >= r.top || named[tenant] {
		return
	}
	next := make(map[string]bool, len(named)+1)
	for name := range named {
		next[name] = true
	}
	next[tenant] = true
	r.named.Store(&next)
}

// count counts a request.
func (r *ranker) count(tenant string) {
	if labelValue(tenant) == Other {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.counts[tenant]; ok || len(r.counts) < r.top*candidatesPerTop {
		r.counts[tenant]++
	} else {
		r.replaceLeast(tenant)
	}
	r.nameLocked(tenant)
}

// replaceLeast gives a new tenant the place of the least counted of a few. The
// whole table is not searched: every request of a rare tenant comes by here.
func (r *ranker) replaceLeast(tenant string) {
	const sample = 8
	least, seen := "", 0
	for name := range r.counts { // map order is random
		if least == "" || r.counts[name] < r.counts[least] {
			least = name
		}
		if seen++; seen == sample {
			break
		}
	}
	n := r.counts[least]
	delete(r.counts, least)
	r.counts[tenant] = n + 1
}

// rank names the busiest tenants anew, and returns false when interval has not
// passed yet.
func (r *ranker) rank(now time.Time, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.ranked) < interval {
		return false
	}
	r.ranked = now
	next := r.promote(*r.named.Load())
	r.named.Store(&next)
	for name, n := range r.counts { // older traffic counts for less
		if n /= 2; n > 0 {
			r.counts[name] = n
		} else {
			delete(r.counts, name)
		}
	}
	return true
}

// promote lets the busiest unnamed tenants take the places of the quietest
// named ones.
func (r *ranker) promote(named map[string]bool) map[string]bool {
	next := make(map[string]bool, r.top)
	var quietest []string // first
	for name := range named {
		next[name] = true
		quietest = append(quietest, name)
	}
	r.sortByCount(quietest)
	var busiest []string // last
	for name := range r.counts {
		if !named[name] {
			busiest = append(busiest, name)
		}
	}
	r.sortByCount(busiest)
	slices.Reverse(busiest)
	for _, name := range busiest {
		if len(next) < r.top {
			next[name] = true
			continue
		}
		if len(quietest) == 0 || r.counts[name] <= promoteFactor*r.counts[quietest[0]] {
			break
		}
		delete(next, quietest[0])
		next[name] = true
		quietest = quietest[1:]
	}
	return next
}

// sortByCount sorts tenants by their counts, the least first.
func (r *ranker) sortByCount(tenants []string) {
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.counts[a], r.counts[b]), cmp.Compare(a, b))
	})
}
