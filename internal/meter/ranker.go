package meter

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// candidatesPerNamed bounds the tenants that are counted, relative to the number of
	// tenants that can have their own series.
	candidatesPerNamed = 8
	// promoteFactor is how much busier a tenant must be than a named one to replace it.
	// Without it two tenants of equal traffic would end each other's series at every
	// ranking.
	promoteFactor = 2
)

// ranker finds the busiest tenants in bounded memory, by the space-saving algorithm: if
// the table is full, a new tenant replaces the one with the lowest count and takes over
// its count.
type ranker struct {
	maxNamed int
	named    atomic.Pointer[map[string]bool] // replaced as a whole; never modified

	mu       sync.Mutex
	counts   map[string]int64
	rankedAt time.Time
}

// newRanker creates a ranker with up to maxNamed named tenants.
func newRanker(maxNamed int, now time.Time) *ranker {
	r := &ranker{maxNamed: maxNamed, counts: make(map[string]int64), rankedAt: now}
	r.named.Store(&map[string]bool{})
	return r
}

// label returns the tenant label of a tenant's series. While there is room, a new tenant
// is named at once: otherwise the observations of its first request, made before the
// request is counted, would go to Other.
func (r *ranker) label(tenant string) string {
	if r.isNamed(tenant) {
		return tenant
	}
	if len(*r.named.Load()) >= r.maxNamed || labelValue(tenant) == Other {
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

// isNamed reports whether a tenant has its own series.
func (r *ranker) isNamed(tenant string) bool { return (*r.named.Load())[tenant] }

// nameLocked names a tenant while there is room.
func (r *ranker) nameLocked(tenant string) {
	named := *r.named.Load()
	if len(named) >= r.maxNamed || named[tenant] {
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
	if _, ok := r.counts[tenant]; ok || len(r.counts) < r.maxNamed*candidatesPerNamed {
		r.counts[tenant]++
	} else {
		r.replaceLeast(tenant)
	}
	r.nameLocked(tenant)
}

// replaceLeast replaces the least counted of a few sampled tenants by a new one. The whole
// table is not searched, since every request of a rare tenant gets here.
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

// rank determines the busiest tenants again. It returns false if interval has not passed
// yet.
func (r *ranker) rank(now time.Time, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rankedAt) < interval {
		return false
	}
	r.rankedAt = now
	next := r.promote(*r.named.Load())
	r.named.Store(&next)
	for name, n := range r.counts { // halve the counts, so that older traffic weighs less
		if n /= 2; n > 0 {
			r.counts[name] = n
		} else {
			delete(r.counts, name)
		}
	}
	return true
}

// promote replaces the least busy named tenants by the busiest unnamed ones.
func (r *ranker) promote(named map[string]bool) map[string]bool {
	next := make(map[string]bool, r.maxNamed)
	var quietest []string // least busy first
	for name := range named {
		next[name] = true
		quietest = append(quietest, name)
	}
	r.sortByCount(quietest)
	var busiest []string // busiest first once reversed
	for name := range r.counts {
		if !named[name] {
			busiest = append(busiest, name)
		}
	}
	r.sortByCount(busiest)
	slices.Reverse(busiest)
	for _, name := range busiest {
		if len(next) < r.maxNamed {
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

// sortByCount sorts tenants by ascending count.
func (r *ranker) sortByCount(tenants []string) {
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.counts[a], r.counts[b]), cmp.Compare(a, b))
	})
}
