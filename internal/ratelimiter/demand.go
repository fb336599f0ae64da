package ratelimiter

import (
	"time"
)

const (
	// minBatch and batchDuration bound the slots that a host requests at a time: minBatch
	// slots, or at high limits the slots of batchDuration.
	minBatch      = 8
	batchDuration = 100 * time.Millisecond
	// waitingValidity is how long a count of waiting requests is used.
	waitingValidity = 120 * time.Millisecond
	// staleLimitRatio is the ratio of a new limit to the old one below which slots of the old
	// limit are dropped.
	staleLimitRatio = 0.5
	// unansweredPause is the pause after a call that no host answered.
	unansweredPause = 200 * time.Millisecond
)

// Slot allows one request to be sent to a process of an endpoint within a period. The zero
// value allows none.
type Slot struct {
	from, until time.Time
}

func (s *Slot) isValid(now time.Time) bool { return !now.Before(s.from) && now.Before(s.until) }

// demand holds this host's slots of one limited process, and how many more it needs.
type demand struct {
	perSecond    float64
	slots        []Slot // in order of their start
	waiting      int    // requests that wait for slots
	waitingAt    time.Time
	isRequesting bool
	pausedUntil  time.Time
	isUnanswered bool // no host has answered the latest call
}

// dropExpired drops slots that have expired.
func (d *demand) dropExpired(now time.Time) {
	for len(d.slots) > 0 && !now.Before(d.slots[0].until) {
		d.slots = d.slots[1:]
	}
}

func (d *demand) hasSlot(now time.Time) bool {
	d.dropExpired(now)
	return len(d.slots) > 0 && d.slots[0].isValid(now)
}

func (d *demand) take(now time.Time) (slot Slot, ok bool) {
	if !d.hasSlot(now) {
		return slot, false
	}
	slot = d.slots[0]
	d.slots = d.slots[1:]
	d.waiting = max(d.waiting-1, 0)
	return slot, true
}

// noteWaiting records how many requests wait for a slot.
func (d *demand) noteWaiting(count int, now time.Time) {
	if now.Sub(d.waitingAt) > waitingValidity {
		d.waiting = 0
	}
	d.waiting, d.waitingAt = max(d.waiting, count), now
}

// nextCount is how many slots to request now; 0 means none.
func (d *demand) nextCount(now time.Time) int {
	d.dropExpired(now)
	if d.isRequesting || now.Before(d.pausedUntil) || now.Sub(d.waitingAt) > waitingValidity {
		return 0
	}
	maxBatch := max(minBatch, int(rateOf(d.perSecond)*batchDuration.Seconds()))
	return min(max(d.waiting-len(d.slots), 0), maxBatch)
}

// receive adds granted slots. A slot starts its delay after the answer arrived, and its end is
// counted from when the request was sent, so it lies within the owner's slot however long the
// answer took.
func (d *demand) receive(delays []time.Duration, pause time.Duration, sentAt, now time.Time) {
	d.isRequesting, d.isUnanswered, d.waiting = false, false, 0
	d.pausedUntil = now.Add(pause)
	for _, delay := range delays {
		slot := Slot{from: now.Add(delay), until: sentAt.Add(delay + slotValidity)}
		if slot.until.After(slot.from) {
			d.slots = append(d.slots, slot)
		}
	}
}

// noteUnanswered records that no host has answered a call.
func (d *demand) noteUnanswered(now time.Time) {
	d.isRequesting, d.isUnanswered = false, true
	d.pausedUntil = now.Add(unansweredPause)
}

// setLimit changes the limit. When it drops sharply, slots of the old limit are dropped. When
// it falls gradually they are kept, because they expire soon.
func (d *demand) setLimit(perSecond float64) {
	if perSecond < d.perSecond*staleLimitRatio {
		d.slots = nil
	}
	d.perSecond = perSecond
}
