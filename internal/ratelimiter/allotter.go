package ratelimiter

import (
	"slices"
	"strings"
	"time"
)

// allotter holds the buckets of the limits that this host owns.
type allotter struct {
	buckets map[Subject]*bucket
	sweptAt time.Time
	// eligible lists the hosts that may own limits, as this host last saw them, and
	// eligibleSince is when that list changed. What other owners granted before then is not
	// known.
	eligible      string
	eligibleSince time.Time
}

// bucketOf returns the bucket of a subject. A new bucket has accumulated units only since
// eligibleSince.
func (a *allotter) bucketOf(subject Subject) *bucket {
	b := a.buckets[subject]
	if b == nil {
		b = &bucket{emptyAt: a.eligibleSince}
		if a.buckets == nil {
			a.buckets = map[Subject]*bucket{}
		}
		a.buckets[subject] = b
	}
	return b
}

// updateEligible updates the hosts that may own limits. When they change, it drops the buckets
// of limits that another host now owns, because they miss what that host grants meanwhile.
func (a *allotter) updateEligible(own string, hosts []Host, now time.Time) {
	a.sweep(now)
	var ids []string
	for _, h := range hosts {
		if h.isEligible() {
			ids = append(ids, h.HostID)
		}
	}
	slices.Sort(ids)
	if eligible := strings.Join(ids, "\n"); eligible != a.eligible || a.eligibleSince.IsZero() {
		a.eligible, a.eligibleSince = eligible, now
		for subject := range a.buckets {
			if ownerOf(subject, hosts) != own {
				delete(a.buckets, subject)
			}
		}
	}
}

// reset drops all buckets.
func (a *allotter) reset(now time.Time) { a.buckets, a.eligibleSince = nil, now }

// sweep drops buckets without requests for bucketRetention.
func (a *allotter) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < bucketRetention {
		return
	}
	a.sweptAt = now
	for subject, b := range a.buckets {
		if now.Sub(b.requestedAt) > bucketRetention {
			delete(a.buckets, subject)
		}
	}
}

// chargeBatch holds the charges to a tenant's limit of one call, in units.
type chargeBatch struct {
	limit         TenantLimit
	units         []int64 // of requests that may be refused, in order
	unconditional int64   // of requests that are already running
	refunded      int64   // charged before, for requests that were not sent
}

// charge charges a batch to a tenant's limit, of which this host grants the given share. It
// returns a wait for each request: 0 if it was charged, else the time until it can be retried.
func (a *allotter) charge(tenant string, c *chargeBatch, share float64, now time.Time) (waits []time.Duration) {
	rate, burst := rateOf(c.limit.PerSecond*share), c.limit.Burst*share
	b := a.bucketOf(Subject{Tenant: tenant})
	b.fill(rate, burst, now)
	b.add(-float64(c.refunded))
	b.add(float64(c.unconditional))
	b.fill(rate, burst, now)
	for _, units := range c.units {
		waits = append(waits, b.charge(float64(units), now))
	}
	return waits
}
