package ratelimiter

import (
	"time"
)

const (
	// minBatch and batchSpan bound the slots that a host asks for at a time: so many, or
	// those of so long where the limit is high.
	minBatch  = 8
	batchSpan = 100 * time.Millisecond
	// wantHolds is how long a count of requests that wait for a slot holds.
	wantHolds = 120 * time.Millisecond
	// staleShare of its former value is below which a limit has fallen too far for slots that
	// were given out before.
	staleShare = 0.5
	// unansweredPause follows an ask that no host has answered.
	unansweredPause = 200 * time.Millisecond
)

// Slot is the leave to send one request to a process of an endpoint within a time. The
// zero value is no leave.
type Slot struct {
	from, until time.Time
}

func (s *Slot) isValid(now time.Time) bool { return !now.Before(s.from) && now.Before(s.until) }

// demand is what a host has and wants of one limited process's slots.
type demand struct {
	perSecond   float64
	slots       []Slot // in their order
	wanted      int    // requests that wait for a slot
	wantedAt    time.Time
	isAsking    bool
	pausedUntil time.Time
	isStarved   bool // nobody has answered the latest ask
}

// drop forgets slots that have passed.
func (d *demand) drop(now time.Time) {
	for len(d.slots) > 0 && !now.Before(d.slots[0].until) {
		d.slots = d.slots[1:]
	}
}

func (d *demand) has(now time.Time) bool {
	d.drop(now)
	return len(d.slots) > 0 && d.slots[0].isValid(now)
}

func (d *demand) take(now time.Time) (slot Slot, ok bool) {
	if !d.has(now) {
		return slot, false
	}
	slot = d.slots[0]
	d.slots = d.slots[1:]
	d.wanted = max(d.wanted-1, 0)
	return slot, true
}

// want notes how many requests wait for a slot.
func (d *demand) want(count int, now time.Time) {
	if now.Sub(d.wantedAt) > wantHolds {
		d.wanted = 0
	}
	d.wanted, d.wantedAt = max(d.wanted, count), now
}

// nextAsk is how many slots to ask for now; 0: none.
func (d *demand) nextAsk(now time.Time) int {
	d.drop(now)
	if d.isAsking || now.Before(d.pausedUntil) || now.Sub(d.wantedAt) > wantHolds {
		return 0
	}
	most := max(minBatch, int(rateOf(d.perSecond)*batchSpan.Seconds()))
	return min(max(d.wanted-len(d.slots), 0), most)
}

// receive takes the answer to an ask. A slot begins as long after the answer's arrival as
// it says, and ends counted from the ask's send: it lies within the giver's own times
// whatever the answer took.
func (d *demand) receive(delays []time.Duration, pause time.Duration, sentAt, now time.Time) {
	d.isAsking, d.isStarved, d.wanted = false, false, 0
	d.pausedUntil = now.Add(pause)
	for _, delay := range delays {
		slot := Slot{from: now.Add(delay), until: sentAt.Add(delay + slotLife)}
		if slot.until.After(slot.from) {
			d.slots = append(d.slots, slot)
		}
	}
}

// miss takes in that no host has answered an ask.
func (d *demand) miss(now time.Time) {
	d.isAsking, d.isStarved = false, true
	d.pausedUntil = now.Add(unansweredPause)
}

// limit changes the limit. Slots of a much higher one are not used any more; those of a
// limit that falls little by little pass soon enough.
func (d *demand) limit(perSecond float64) {
	if perSecond < d.perSecond*staleShare {
		d.slots = nil
	}
	d.perSecond = perSecond
}
