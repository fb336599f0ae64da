package admitter

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivemast/endivemast/internal/configurer"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestLatestStart(t *testing.T) {
	t.Parallel()
	class := &configurer.Class{FirstTokenTargetMS: 500, CompletionTargetMS: 4000}
	tests := map[string]struct {
		estimate  Estimate
		isStarted bool
		want      time.Duration
	}{
		"first-token target is tighter": {Estimate{100 * time.Millisecond, time.Second}, false, 400 * time.Millisecond},
		"completion target is tighter":  {Estimate{100 * time.Millisecond, 3800 * time.Millisecond}, false, 200 * time.Millisecond},
		"first token was sent":          {Estimate{100 * time.Millisecond, time.Second}, true, 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, LatestStart(class, start, test.isStarted, test.estimate), at(test.want))
		})
	}
}

func TestSelectRefusals(t *testing.T) {
	t.Parallel()
	item := func(latest, cost, target time.Duration, share float64) Item {
		return Item{LatestStart: at(latest), RefuseAt: at(latest), Cost: cost, ResponseTarget: target, ServedShare: share}
	}
	const s = time.Second
	over, started := item(2*s, s, s, 0.5), item(0, 9*s, s, 1)
	over.IsOverShare, started.IsStarted = true, true
	waitedLong := item(s, 2*s, s, 0.9)
	waitedLong.Arrived = at(-600 * time.Millisecond)
	lessUrgent := item(s/2, s, s, 0.1)
	lessUrgent.Rank, lessUrgent.Arrived = 2, at(-600*time.Millisecond)
	fresh := item(0, 2*s, s, 0.2)
	fresh.Arrived = at(-400 * time.Millisecond)
	tests := map[string]struct {
		queue []Item
		want  []int
	}{
		"empty queue":         {},
		"all in time":         {queue: []Item{item(0, s, s, 1), item(s, s, s, 1)}},
		"late without others": {queue: []Item{item(-1, s, s, 1)}, want: []int{0}},
		"longer response target is refused first":   {queue: []Item{item(0, 2*s, 9*s, 1), item(s, 2*s, s, 1)}, want: []int{0}},
		"higher served share is refused first":      {queue: []Item{item(0, 2*s, s, 0.9), item(s, 2*s, s, 0.2)}, want: []int{0}},
		"costly item is kept at a low served share": {queue: []Item{item(0, 2*s, s, 0.2), item(s, s/10, s, 0.9)}, want: []int{1}},
		"tenant over its share is refused first":    {queue: []Item{item(0, s, 9*s, 1), over, item(2*s-1, s, s, 1)}, want: []int{1}},
		"least urgent rank is refused first":        {queue: []Item{over, lessUrgent}, want: []int{1}},
		"item that has waited long is refused last": {queue: []Item{fresh, waitedLong}, want: []int{0}},
		"started item is never refused":             {queue: []Item{started, item(s, s, s, 1)}, want: []int{1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, SelectRefusals(test.queue, 1, start), test.want)
		})
	}
}

func drawQueue(t *rapid.T) (queue []Item) {
	for i := range rapid.IntRange(0, 30).Draw(t, "length") {
		item := Item{
			ID:             int64(i),
			Arrived:        start,
			LatestStart:    at(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "latest")) * time.Millisecond),
			Cost:           time.Duration(rapid.IntRange(1, 900).Draw(t, "cost")) * time.Millisecond,
			ResponseTarget: time.Second,
			TenantUse:      rapid.Float64Range(0, 5).Draw(t, "used"),
			IsStarted:      rapid.IntRange(0, 9).Draw(t, "started") == 0,
			Rank:           rapid.IntRange(0, 2).Draw(t, "rank"),
		}
		item.RefuseAt = item.LatestStart.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "more")) * time.Millisecond)
		queue = slices.Insert(queue, Position(queue, &item), item)
	}
	return queue
}

// Without the selected items none is late, no started item is selected, and the queue stays
// ordered.
func TestItemsLeftAfterRefusalsAreInTime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		queue := drawQueue(t)
		capacity := rapid.Float64Range(0.1, 8).Draw(t, "capacity")
		assert.Assert(t, slices.IsSortedFunc(queue, func(a, b Item) int { return Compare(&a, &b) }))
		refused := make([]bool, len(queue))
		for _, position := range SelectRefusals(queue, capacity, start) {
			assert.Assert(t, !queue[position].IsStarted && !refused[position])
			refused[position] = true
		}
		assert.Equal(t, firstLate(queue, refused, capacity, start), -1)
		after := RetryAfter(queue, capacity, rapid.Float64Range(0, 0.99).Draw(t, "jitter"))
		assert.Assert(t, after >= minRetryAfter && after <= maxRetryAfter)
	})
}

func TestPriorityFollowsTheLatestStart(t *testing.T) {
	t.Parallel()
	assert.Assert(t, Priority(at(time.Second)) > Priority(at(2*time.Second)))
	assert.Assert(t, Priority(at(-time.Minute)) > Priority(at(0)))
}

func BenchmarkSelectRefusals(b *testing.B) {
	var queue []Item
	for i := range 500 {
		item := Item{
			LatestStart: at(time.Duration(i) * 10 * time.Millisecond), RefuseAt: at(time.Duration(i) * 10 * time.Millisecond), Cost: 10 * time.Millisecond,
			ResponseTarget: time.Second, ServedShare: 0.5,
		}
		queue = append(queue, item)
	}
	b.ReportAllocs()
	for b.Loop() {
		SelectRefusals(queue, 0.99, start)
	}
}
