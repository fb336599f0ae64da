package ratelimiter

import (
	"math"
	"time"
)

const (
	// slotValidity is how long a slot can be used. In any window a process can get the slots
	// that begin in it and those that began up to slotValidity before it.
	slotValidity = 500 * time.Millisecond
	// slotHorizon is how far ahead slots are granted. By the time a slot begins, the request
	// that it was fetched for may have ended.
	slotHorizon = 100 * time.Millisecond
	// maxSlotBacklog is how long slots that no host has requested are kept, because hosts that
	// got none retry after a pause.
	maxSlotBacklog = 500 * time.Millisecond
	// maxDebt is the debt, as time at its rate, up to which a tenant's bucket still grants a
	// request.
	maxDebt = 100 * time.Millisecond
	// minRate is the lowest rate of a bucket, in units a second. With a limit of 0, one
	// request every five seconds checks whether the limit still applies.
	minRate = 0.2
	// maxRate is the rate, in units a second, above which a limit is ignored.
	maxRate = 1e12
	// minPause and maxPause bound the pause before a host that got no slot, or a request that
	// was refused, may try again.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// deniedHalfLife is the half-life of the count of denied slot requests.
	deniedHalfLife = 500 * time.Millisecond
	// bucketRetention is how long a bucket is kept after its last request.
	bucketRetention = time.Minute
)

// bucket is a token bucket for the units of one subject. Its level is kept as the time at
// which it would be empty; each unit moves that time by one interval.
type bucket struct {
	rate        float64   // in units a second
	emptyAt     time.Time // a time in the future is a debt
	denied      float64   // recent requests that got no slot, decaying
	deniedAt    time.Time
	requestedAt time.Time
}

// rateOf limits a rate to the supported range, in units a second.
func rateOf(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return minRate
	}
	return min(max(perSecond, minRate), maxRate)
}

// durationOf is how long a rate takes to yield a number of units.
func durationOf(units, rate float64) time.Duration {
	return time.Duration(min(units/rate*float64(time.Second), math.MaxInt64/2))
}

func (b *bucket) interval() time.Duration { return durationOf(1, b.rate) }

// allot grants up to count slots, as delays from now. Slots are one interval apart, and each
// allows one request. If there is none, it returns the pause before the next try.
func (b *bucket) allot(rate float64, count int, now time.Time) (delays []time.Duration, pause time.Duration) {
	if rate != b.rate {
		b.rate = rate
		if ahead := now.Add(b.interval()); b.emptyAt.After(ahead) || b.requestedAt.IsZero() {
			b.emptyAt = ahead
		}
	}
	b.requestedAt = now
	if oldest := now.Add(-maxSlotBacklog); b.emptyAt.Before(oldest) {
		b.emptyAt = oldest
	}
	interval := b.interval()
	for len(delays) < count && b.emptyAt.Sub(now) < slotHorizon {
		delays = append(delays, max(b.emptyAt.Sub(now), 0))
		b.emptyAt = b.emptyAt.Add(interval)
	}
	if len(delays) > 0 {
		return delays, 0
	}
	b.denied = b.denied*b.deniedDecay(now) + 1
	b.deniedAt = now
	wait := b.emptyAt.Sub(now) - slotHorizon + time.Duration((b.denied-1)/2*float64(interval))
	return nil, min(max(wait, minPause), maxPause)
}

func (b *bucket) deniedDecay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(b.deniedAt)) / float64(deniedHalfLife))
}

// fill updates the bucket to the current time, rate and burst. When the rate changes, the
// units that it holds or owes stay the same; it never holds more than burst.
func (b *bucket) fill(rate, burst float64, now time.Time) {
	if rate != b.rate && b.rate > 0 {
		units := now.Sub(b.emptyAt).Seconds() * b.rate
		b.emptyAt = now.Add(-durationOf(units, rate))
	}
	b.rate, b.requestedAt = rate, now
	if oldest := now.Add(-durationOf(burst, rate)); b.emptyAt.Before(oldest) {
		b.emptyAt = oldest
	}
}

// charge takes a request's units out of the bucket, or returns how long to wait. It considers
// only the bucket's debt and not the request's size, so that small requests do not starve
// large ones.
func (b *bucket) charge(units float64, now time.Time) (wait time.Duration) {
	if debt := b.emptyAt.Sub(now); debt > maxDebt {
		return min(max(debt-maxDebt, minPause), maxPause)
	}
	b.add(units)
	return 0
}

// add takes units out, even if the bucket holds fewer. Negative units are put back.
func (b *bucket) add(units float64) { b.emptyAt = b.emptyAt.Add(durationOf(units, b.rate)) }
