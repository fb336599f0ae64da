package ratelimiter

import (
	"math"
	"time"
)

const (
	// slotLife is for how long a slot can be used. In any window a process gets the
	// slots that begin in it, and those that began up to slotLife before it.
	slotLife = 500 * time.Millisecond
	// horizon is how far ahead slots are given out. The request for which a host asked may
	// be gone by then.
	horizon = 100 * time.Millisecond
	// credit is for how long slots are kept that nobody has asked for: hosts that got none
	// come back after a pause.
	credit = 500 * time.Millisecond
	// maxOwed is how much a tenant's bucket may owe for a request to be let through, in time at
	// its rate.
	maxOwed = 100 * time.Millisecond
	// minRate is the least rate of a bucket, in units a second. Of a process that names
	// 0, a request each five seconds finds out whether that still holds.
	minRate = 0.2
	// maxRate is the rate above which a limit binds nobody.
	maxRate = 1e12
	// minPause and maxPause bound when a host that got no slot asks again, and a request
	// that was refused may come again.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// deniedHalf is how fast the count of hosts that got no slot fades.
	deniedHalf = 500 * time.Millisecond
	// bucketKept is how long a bucket is kept that nobody asks.
	bucketKept = time.Minute
)

// bucket gives out the units of one subject. It fills at its rate and is kept as the
// moment at which it would be empty: a unit moves that moment by one interval.
type bucket struct {
	rate     float64   // units a second
	next     time.Time // when it would be empty; later than now: it owes units
	denied   float64   // asks lately that got no slot
	deniedAt time.Time
	askedAt  time.Time
}

// rateOf is the rate at which a limit is given out.
func rateOf(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return minRate
	}
	return min(max(perSecond, minRate), maxRate)
}

// span is how long a rate takes for so many units.
func span(units, rate float64) time.Duration {
	return time.Duration(min(units/rate*float64(time.Second), math.MaxInt64/2))
}

func (b *bucket) interval() time.Duration { return span(1, b.rate) }

// allot gives out up to count slots, moments an interval apart at each of which one
// request may be sent, as delays from now. Else it says when to ask again.
func (b *bucket) allot(rate float64, count int, now time.Time) (delays []time.Duration, pause time.Duration) {
	if rate != b.rate {
		b.rate = rate
		if ahead := now.Add(b.interval()); b.next.After(ahead) || b.askedAt.IsZero() {
			b.next = ahead
		}
	}
	b.askedAt = now
	if oldest := now.Add(-credit); b.next.Before(oldest) {
		b.next = oldest
	}
	interval := b.interval()
	for len(delays) < count && b.next.Sub(now) < horizon {
		delays = append(delays, max(b.next.Sub(now), 0))
		b.next = b.next.Add(interval)
	}
	if len(delays) > 0 {
		return delays, 0
	}
	b.denied = b.denied*b.fade(now) + 1
	b.deniedAt = now
	wait := b.next.Sub(now) - horizon + time.Duration((b.denied-1)/2*float64(interval))
	return nil, min(max(wait, minPause), maxPause)
}

func (b *bucket) fade(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(b.deniedAt)) / float64(deniedHalf))
}

// fill brings the bucket up to a moment. Of a rate that has changed it keeps the units
// that it holds or owes; it never holds more than burst.
func (b *bucket) fill(rate, burst float64, now time.Time) {
	if rate != b.rate && b.rate > 0 {
		units := now.Sub(b.next).Seconds() * b.rate
		b.next = now.Add(-span(units, rate))
	}
	b.rate, b.askedAt = rate, now
	if oldest := now.Add(-span(burst, rate)); b.next.Before(oldest) {
		b.next = oldest
	}
}

// charge takes a request's units out, or says in how long it could. It goes by what the
// bucket owes and not by the request's size, so that small requests do not keep large ones
// from their part.
func (b *bucket) charge(units float64, now time.Time) (wait time.Duration) {
	if owed := b.next.Sub(now); owed > maxOwed {
		return min(max(owed-maxOwed, minPause), maxPause)
	}
	b.add(units)
	return 0
}

// add takes units out whatever the bucket holds, or puts back those below 0.
func (b *bucket) add(units float64) { b.next = b.next.Add(span(units, b.rate)) }
