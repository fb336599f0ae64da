package ratelimiter

import (
	"slices"
	"strings"
	"time"
)

// allotter keeps the buckets of the subjects whose limits this host owns.
type allotter struct {
	buckets map[Subject]*bucket
	sweptAt time.Time
	// eligible are the hosts that may own limits, as this host saw them last, and since is
	// when they changed: what was given out before is not known.
	eligible string
	since    time.Time
}

// bucketOf returns a subject's bucket. A new one holds what has come since this host may
// own it.
func (a *allotter) bucketOf(subject Subject) *bucket {
	b := a.buckets[subject]
	if b == nil {
		b = &bucket{next: a.since}
		if a.buckets == nil {
			a.buckets = map[Subject]*bucket{}
		}
		a.buckets[subject] = b
	}
	return b
}

// review takes in who may own limits now. Of those that another host owns the buckets go:
// what that one gives out meanwhile is not in them.
func (a *allotter) review(own string, hosts []Host, now time.Time) {
	a.sweep(now)
	var ids []string
	for _, h := range hosts {
		if h.mayOwn() {
			ids = append(ids, h.HostID)
		}
	}
	slices.Sort(ids)
	if eligible := strings.Join(ids, "\n"); eligible != a.eligible || a.since.IsZero() {
		a.eligible, a.since = eligible, now
		for subject := range a.buckets {
			if ownerOf(subject, hosts) != own {
				delete(a.buckets, subject)
			}
		}
	}
}

// forget drops all buckets.
func (a *allotter) forget(now time.Time) { a.buckets, a.since = nil, now }

// sweep drops buckets that nobody asks any more.
func (a *allotter) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < bucketKept {
		return
	}
	a.sweptAt = now
	for subject, b := range a.buckets {
		if now.Sub(b.askedAt) > bucketKept {
			delete(a.buckets, subject)
		}
	}
}

// charges is what a host asks of a tenant's limit at a time, in units.
type charges struct {
	limit  TenantLimit
	units  []int64 // of requests that may be refused, in order
	due    int64   // of requests that run already
	unused int64   // charged a moment ago, for requests that were not sent
}

// charge takes charges off a tenant's limit, of which this host gives out a share. The
// waits are 0 where a charge was made.
func (a *allotter) charge(tenant string, c *charges, share float64, now time.Time) (waits []time.Duration) {
	rate, burst := rateOf(c.limit.PerSecond*share), c.limit.Burst*share
	b := a.bucketOf(Subject{Tenant: tenant})
	b.fill(rate, burst, now)
	b.add(-float64(c.unused))
	b.add(float64(c.due))
	b.fill(rate, burst, now)
	for _, units := range c.units {
		waits = append(waits, b.charge(float64(units), now))
	}
	return waits
}
