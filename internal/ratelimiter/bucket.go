package ratelimiter

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
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
	// minRate is the least rate of a bucket, in requests a second. Of a process that names
	// 0, a request each five seconds finds out whether that still holds.
	minRate = 0.2
	// maxRate is the rate above which a limit binds nobody.
	maxRate = 1e6
	// minPause and maxPause bound for how long a host that got no slot does not ask again.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// deniedHalf is how fast the count of hosts that got no slot fades.
	deniedHalf = 500 * time.Millisecond
	// bucketKept is how long a bucket is kept that nobody asks.
	bucketKept = time.Minute
)

// bucket gives out the slots of one process: moments, an interval apart, at each of
// which one request may be sent to it. It starts empty.
type bucket struct {
	rate     float64   // slots a second
	next     time.Time // the first slot that has not been given out
	denied   float64   // asks lately that got no slot
	deniedAt time.Time
	askedAt  time.Time
}

// rateOf is the rate at which the slots of a limit are given out.
func rateOf(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return minRate
	}
	return min(max(perSecond, minRate), maxRate)
}

func (b *bucket) interval() time.Duration { return time.Duration(float64(time.Second) / b.rate) }

// allot gives out up to count slots, as delays from now, or says when to ask again.
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

// allotter keeps the buckets of the processes whose slots this host gives out.
type allotter struct {
	buckets map[driver.Process]*bucket
	sweptAt time.Time
}

func (a *allotter) allot(process driver.Process, perSecond float64, count int, now time.Time) ([]time.Duration, time.Duration) {
	a.sweep(now)
	b := a.buckets[process]
	if b == nil {
		b = &bucket{}
		a.buckets[process] = b
	}
	return b.allot(rateOf(perSecond), count, now)
}

// sweep drops buckets that nobody asks any more.
func (a *allotter) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < bucketKept {
		return
	}
	a.sweptAt = now
	for process, b := range a.buckets {
		if now.Sub(b.askedAt) > bucketKept {
			delete(a.buckets, process)
		}
	}
}
