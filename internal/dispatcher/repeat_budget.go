package dispatcher

import (
	"math"
	"sync"
	"time"
)

// slotsPerWindow is the number of slots in a budget's window. The current slot counts in full
// toward the repeats, so repeats are counted over slightly more than the window and requests over
// slightly less.
const slotsPerWindow = 20

// slotCount is the number of slots kept: two windows and the current slot.
const slotCount = 2*slotsPerWindow + 1

// repeatBudget bounds the repeats that a host may send: in any window, a share of the requests of
// that time plus the host's part of a reserve. Because each host counts its own requests, all
// hosts together stay within the fleet's bound.
//
// The requests of a window are those sent in it, in the window before it, or in the window that
// starts half a window earlier, whichever are most. It isn't known yet which windows the current
// moment will be judged in, so the least favourable of them counts: under fluctuating traffic,
// counting the requests of the last window alone would allow too many repeats.
//
// A token bucket that is filled by each request and holds no more than the reserve keeps the same
// bound but wastes most of it: with 80 hosts its size was two, so when a third of the engines
// crashed, a thousand requests that could have been repeated failed while almost none of the
// window's budget was used.
type repeatBudget struct {
	share     float64
	window    time.Duration
	now       func() time.Time
	startedAt time.Time

	mu      sync.Mutex
	reserve float64
	slots   [slotCount]budgetSlot
}

// budgetSlot holds the counts of one part of a window.
type budgetSlot struct {
	number   int64 // sequence number of the slot since the budget was created
	requests int
	repeats  float64
}

func newRepeatBudget(share, reserve float64, window time.Duration, now func() time.Time) *repeatBudget {
	b := &repeatBudget{share: share, reserve: reserve, window: window, now: now, startedAt: now()}
	for i := range b.slots {
		b.slots[i].number = -slotCount // older than any slot that counts
	}
	return b
}

// setReserve changes this host's part of the reserve.
func (b *repeatBudget) setReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
}

// deposit records a request.
func (b *repeatBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot().requests++
}

// tryWithdraw takes count repeats out of the budget. It takes none and returns false if fewer are
// left.
func (b *repeatBudget) tryWithdraw(count float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remainingLocked() < count {
		return false
	}
	b.currentSlot().repeats += count
	return true
}

// remaining returns the number of repeats that may be sent now.
func (b *repeatBudget) remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remainingLocked()
}

func (b *repeatBudget) slotNumber() int64 {
	return int64(b.now().Sub(b.startedAt) / (b.window / slotsPerWindow))
}

func (b *repeatBudget) currentSlot() *budgetSlot {
	number := b.slotNumber()
	slot := &b.slots[number%slotCount]
	if slot.number != number {
		*slot = budgetSlot{number: number}
	}
	return slot
}

// remainingLocked returns what the current window allows minus the repeats sent in it. The
// reserve becomes available only after a full window, because this host's previous process may
// have spent it just before it exited.
func (b *repeatBudget) remainingLocked() float64 {
	cumulativeRequests, repeats := b.countsLocked()
	left := b.share*fewestCountedRequests(cumulativeRequests[:]) - repeats
	if b.slotNumber() > slotsPerWindow {
		left += b.reserve
	}
	return left
}

// countsLocked returns the cumulative number of requests over the latest slots, indexed by the
// number of slots, up to two windows, and the number of repeats of one window.
func (b *repeatBudget) countsLocked() (cumulativeRequests [slotCount + 1]float64, repeats float64) {
	number := b.slotNumber()
	var ages [slotCount]*budgetSlot
	for i := range b.slots {
		if age := number - b.slots[i].number; age >= 0 && age < int64(len(ages)) {
			ages[age] = &b.slots[i]
		}
	}
	for age, slot := range ages {
		cumulativeRequests[age+1] = cumulativeRequests[age]
		if slot == nil {
			continue
		}
		cumulativeRequests[age+1] += float64(slot.requests)
		if age <= slotsPerWindow {
			repeats += slot.repeats
		}
	}
	return cumulativeRequests, repeats
}

// fewestCountedRequests returns the number of requests that certainly count, whichever window the
// current moment is judged in.
func fewestCountedRequests(cumulativeRequests []float64) float64 {
	between := func(newest, oldest int) float64 {
		return cumulativeRequests[oldest] - cumulativeRequests[max(newest, 0)]
	}
	least := math.Inf(1)
	for startAge := 0; startAge <= slotsPerWindow; startAge++ { // number of slots since the start of the window
		inWindow := between(0, startAge)
		windowBefore := between(startAge, startAge+slotsPerWindow)
		halfWindowBefore := between(startAge-slotsPerWindow/2, startAge+slotsPerWindow/2)
		least = min(least, max(inWindow, windowBefore, halfWindowBefore))
	}
	return least
}
