package dispatcher

import (
	"math"
	"sync"
	"time"
)

// windowSlots is into how many slots an allowance's window is divided. The slot
// that has begun counts whole with the repeats, so that they are counted over
// a little more than the window, and the requests over a little less.
const windowSlots = 20

// slotCount is how many slots are kept: two windows and the slot that has begun.
const slotCount = 2*windowSlots + 1

// allowance is how many repeats a host may send: in any window, a share of the
// requests of that time and its part of a reserve. All hosts together then
// keep the fleet's bound, since each counts its own requests.
//
// The requests of a window are those sent in it, in the window before it, or in
// the one half a window before it, whichever are most. It is not known yet
// which windows the present moment will be judged in, so the least favourable
// of them counts: where traffic rises and falls, what came in the last window
// alone would be too much.
//
// A bucket that fills with each request and holds no more than the reserve
// keeps the same bound, and wastes most of it: with 80 hosts its size was two,
// so that when a third of the engines crashed a thousand requests that might
// have been repeated failed, while nearly nothing of the window was used.
type allowance struct {
	share  float64
	window time.Duration
	now    func() time.Time
	begun  time.Time

	mu      sync.Mutex
	reserve float64
	slots   [slotCount]allowanceSlot
}

// allowanceSlot is what was counted in one part of a window.
type allowanceSlot struct {
	number   int64 // of the slot, since the allowance was made
	requests int
	repeats  float64
}

func newAllowance(share, reserve float64, window time.Duration, now func() time.Time) *allowance {
	a := &allowance{share: share, reserve: reserve, window: window, now: now, begun: now()}
	for i := range a.slots {
		a.slots[i].number = -slotCount // before all that count
	}
	return a
}

// setReserve changes this host's part of the reserve.
func (a *allowance) setReserve(reserve float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserve = reserve
}

// deposit counts a request.
func (a *allowance) deposit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current().requests++
}

// withdraw takes several repeats out, or none and is false.
func (a *allowance) withdraw(count float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left() < count {
		return false
	}
	a.current().repeats += count
	return true
}

// remaining is how many repeats are left now.
func (a *allowance) remaining() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left()
}

func (a *allowance) number() int64 {
	return int64(a.now().Sub(a.begun) / (a.window / windowSlots))
}

func (a *allowance) current() *allowanceSlot {
	number := a.number()
	slot := &a.slots[number%slotCount]
	if slot.number != number {
		*slot = allowanceSlot{number: number}
	}
	return slot
}

// left is what the present window allows less what was repeated in it. The
// reserve is there only after a whole window: this host's last process may
// have spent it a moment ago.
func (a *allowance) left() float64 {
	since, repeats := a.counts()
	left := a.share*leastFavourable(since[:]) - repeats
	if a.number() > windowSlots {
		left += a.reserve
	}
	return left
}

// counts returns how many requests came in the latest slots, by the number of
// slots, over two windows; and the repeats of one window.
func (a *allowance) counts() (since [slotCount + 1]float64, repeats float64) {
	number := a.number()
	var ages [slotCount]*allowanceSlot
	for i := range a.slots {
		if age := number - a.slots[i].number; age >= 0 && age < int64(len(ages)) {
			ages[age] = &a.slots[i]
		}
	}
	for age, slot := range ages {
		since[age+1] = since[age]
		if slot == nil {
			continue
		}
		since[age+1] += float64(slot.requests)
		if age <= windowSlots {
			repeats += slot.repeats
		}
	}
	return since, repeats
}

// leastFavourable is how many requests are certain to be counted for each
// window that the present moment may fall in.
func leastFavourable(since []float64) float64 {
	between := func(newest, oldest int) float64 { return since[oldest] - since[max(newest, 0)] }
	least := math.Inf(1)
	for begun := 0; begun <= windowSlots; begun++ { // slots ago that the window began
		in := between(0, begun)
		before := between(begun, begun+windowSlots)
		half := between(begun-windowSlots/2, begun+windowSlots/2)
		least = min(least, max(in, before, half))
	}
	return least
}
