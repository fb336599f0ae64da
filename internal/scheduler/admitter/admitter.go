// Package admitter orders waiting work, and selects the work to refuse if not all of it
// can meet its targets.
//
// # Order
//
// Work is ordered by its latest start: the last time at which it can get an endpoint and
// still meet the targets of its class. Within a band of latest starts, the tenant that has
// used the least goes first. While an application is short of capacity for some of its
// ranks, work of a more urgent rank goes before other work.
//
// # Refusal
//
// Waiting work is in time if, for each item, the engine time of the items before it fits
// before its latest start. If it does not fit, one of the items up to that one is refused,
// and so on until all fit. Items of the least urgent rank are refused first, then items
// of tenants beyond their fair share, then items that have not waited long. Among these, the item is refused whose class's
// served share, times the square root of its response target and of its cost, is highest.
// The response target is the first-token target, or the completion target of a class
// without one.
//
// So the operators' targets determine the effect of an overload: of two classes whose
// requests cost the same, one with four times the response target is served half the
// share, and the most urgent class is affected last. Costly work yields to cheap work,
// since many answers are worth more than one, but only by the square root of the cost: a
// rule that maximized the number of answers would refuse all consultations before the
// first availability check.
//
// # Usage
//
//	position := admitter.Position(queue, item)
//	positions := admitter.SelectRefusals(queue, capacity, now)
//	wait := admitter.RetryAfter(queue, capacity, jitter)
//
// # Admission in part
//
// Work of which only a share may be admitted passes through an account of Credits for its
// rank and tenant.
package admitter

import (
	"math"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
)

const (
	latestStartBand = 100 * time.Millisecond // latest starts within a band count as equal

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retryJitter   = 0.5 // largest random addition, as a share; spreads the retries of refused callers

	// lateRefusalDivisor: a refusal is late after the response target divided by this.
	lateRefusalDivisor = 2
)

// Item is a waiting request.
type Item struct {
	ID      int64 // assigned by the owner of the queue, unique in it
	Arrived time.Time
	// LatestStart determines the order. It is computed from an upper estimate that most
	// of the class's work meets.
	LatestStart time.Time
	// RefuseAt is the time from which the item is refused. It is computed from the mean
	// estimate, so that a class whose longest answers can't be in time keeps its short
	// ones.
	RefuseAt       time.Time
	Cost           time.Duration // engine time
	TenantUse      float64       // engine seconds that the tenant had used when the item arrived
	ResponseTarget time.Duration
	ServedShare    float64 // of the class
	IsOverShare    bool    // the tenant has used more than its fair share
	IsStarted      bool    // the caller has a part of the answer, or an endpoint may have run it; never refused
	// Rank is the rank of the work, 0 first, if some work of the application was admitted
	// only in part when the item was queued; otherwise 0.
	Rank int
}

// Estimate holds estimated durations, measured from when the work gets an endpoint.
type Estimate struct {
	FirstToken time.Duration
	Completion time.Duration
}

// LatestStart returns the last time at which work of the class can get an endpoint and
// still meet its targets. For started work only the completion target counts.
func LatestStart(class *configurer.Class, arrived time.Time, isStarted bool, estimate Estimate) time.Time {
	latest := arrived.Add(class.CompletionTarget() - estimate.Completion)
	target := class.FirstTokenTarget()
	if target == 0 || isStarted {
		return latest
	}
	latestFirstToken := arrived.Add(target - estimate.FirstToken)
	if latestFirstToken.Before(latest) {
		return latestFirstToken
	}
	return latest
}

// ResponseTarget returns the first-token target of a class, or its completion target if
// that is shorter or the only one.
func ResponseTarget(class *configurer.Class) time.Duration {
	completion := class.CompletionTarget()
	if target := class.FirstTokenTarget(); target > 0 && target < completion {
		return target
	}
	return completion
}

// Compare orders items: started ones first, then by rank, by band of latest start, by the
// tenant's use and by arrival.
func Compare(a, b *Item) int {
	if a.IsStarted != b.IsStarted {
		if a.IsStarted {
			return -1
		}
		return 1
	}
	if a.Rank != b.Rank {
		return a.Rank - b.Rank
	}
	if order := a.LatestStart.Truncate(latestStartBand).Compare(b.LatestStart.Truncate(latestStartBand)); order != 0 {
		return order
	}
	if a.TenantUse != b.TenantUse {
		if a.TenantUse < b.TenantUse {
			return -1
		}
		return 1
	}
	return a.Arrived.Compare(b.Arrived)
}

// Position returns the index at which an item is to be inserted into an ordered queue.
func Position(queue []Item, item *Item) int {
	position, _ := slices.BinarySearchFunc(queue, item, func(a Item, b *Item) int {
		if Compare(&a, b) <= 0 {
			return -1
		}
		return 1
	})
	return position
}

// SelectRefusals returns the positions of the items to refuse so that the others are in
// time, in the order of selection. capacity is the engine seconds per second that serve
// the queue.
func SelectRefusals(queue []Item, capacity float64, now time.Time) (positions []int) {
	refused := make([]bool, len(queue))
	for {
		end := firstLate(queue, refused, capacity, now)
		if end < 0 {
			return positions
		}
		position := nextRefusal(queue[:end+1], refused, now)
		if position < 0 {
			return positions // only started work is left, which is never refused
		}
		refused[position] = true
		positions = append(positions, position)
	}
}

// firstLate returns the position of the first item that cannot start in time, or -1.
// Started items never count as late: they are served in any case.
func firstLate(queue []Item, refused []bool, capacity float64, now time.Time) int {
	var ahead float64
	for i := range queue {
		if refused[i] {
			continue
		}
		item := &queue[i]
		if !item.IsStarted && queueDelay(ahead, capacity) > item.RefuseAt.Sub(now) {
			return i
		}
		ahead += item.Cost.Seconds()
	}
	return -1
}

// queueDelay returns how long the given engine seconds take. It is at most an hour, also
// without capacity.
func queueDelay(engineSeconds, capacity float64) time.Duration {
	if engineSeconds <= 0 {
		return 0
	}
	seconds := min(engineSeconds/max(capacity, 1e-3), 3600)
	return time.Duration(seconds * float64(time.Second))
}

func nextRefusal(queue []Item, refused []bool, now time.Time) int {
	position := -1
	for i := range queue {
		if refused[i] || queue[i].IsStarted {
			continue
		}
		if position < 0 || isRefusedBefore(&queue[i], &queue[position], now) {
			position = i
		}
	}
	return position
}

// isRefusedBefore reports whether a is to be refused before b. Recent work is refused
// before work that has waited long, since an early refusal leaves its caller more time.
// Among items with equal scores the costlier one is refused, since that frees most
// capacity, then the later one.
func isRefusedBefore(a, b *Item, now time.Time) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	if a.IsOverShare != b.IsOverShare {
		return a.IsOverShare
	}
	if waitedA, waitedB := hasWaitedLong(a, now), hasWaitedLong(b, now); waitedA != waitedB {
		return waitedB
	}
	if scoreA, scoreB := refusalScore(a), refusalScore(b); scoreA != scoreB {
		return scoreA > scoreB
	}
	if a.Cost != b.Cost {
		return a.Cost > b.Cost
	}
	return !a.Arrived.Before(b.Arrived)
}

// hasWaitedLong reports whether a refusal now would be late for its caller.
func hasWaitedLong(item *Item, now time.Time) bool {
	return now.Sub(item.Arrived) > item.ResponseTarget/lateRefusalDivisor
}

func refusalScore(item *Item) float64 {
	return item.ServedShare * math.Sqrt(item.ResponseTarget.Seconds()*item.Cost.Seconds())
}

// RetryAfter returns the retry delay for refused callers: the time in which the current
// backlog is served, plus jitter. jitter is a random number in [0, 1).
func RetryAfter(queue []Item, capacity, jitter float64) time.Duration {
	var backlog float64
	for i := range queue {
		backlog += queue[i].Cost.Seconds()
	}
	after := max(queueDelay(backlog, capacity), minRetryAfter)
	after += time.Duration(float64(after) * retryJitter * jitter)
	return min(after, maxRetryAfter)
}

// Priority returns the priority to send to an engine: the latest start in Unix
// milliseconds, negated, so that an earlier latest start has a higher priority.
//
// It is an absolute time and not the remaining slack, since an engine keeps the priority
// that a request arrived with. With slack, a request sent immediately with half a second
// to spare was overtaken by all requests that had waited on the host until their latest
// start, for as long as such requests kept arriving, and missed its target while requests
// with later deadlines were served. In return, hosts' clocks have to agree to within some
// milliseconds; work of a host whose clock is slow by a second runs up to a second early.
func Priority(latestStart time.Time) int { return int(-latestStart.UnixMilli()) }
