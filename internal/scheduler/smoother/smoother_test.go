package smoother

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestUnusableValuesDoNoHarm guards against estimates that follow missing, implausible or stale values.
func TestUnusableValuesDoNoHarm(t *testing.T) {
	t.Parallel()
	type value struct {
		percent int
		at      time.Duration
	}
	for name, test := range map[string]struct {
		values          []value
		at              time.Duration
		atLeast, atMost float64
		isNoneUsed      bool
	}{
		"none":                          {atLeast: 1, atMost: 1},
		"missing":                       {values: []value{{0, 0}}, atLeast: 1, atMost: 1, isNoneUsed: true},
		"implausibly low":               {values: []value{{9, 0}}, atLeast: 1, atMost: 1, isNoneUsed: true},
		"implausibly high":              {values: []value{{3001, 0}}, atLeast: 1, atMost: 1, isNoneUsed: true},
		"negative":                      {values: []value{{-200, 0}}, atLeast: 1, atMost: 1, isNoneUsed: true},
		"usual":                         {values: []value{{100, 0}}, atLeast: 1, atMost: 1},
		"slow":                          {values: []value{{400, 0}}, atLeast: 2.5, atMost: 4},
		"fast":                          {values: []value{{50, 0}}, atLeast: 0.5, atMost: 0.7},
		"slow for some time":            {values: []value{{400, 0}, {400, 50}, {400, 100}, {400, 150}}, at: 150, atLeast: 3, atMost: 4},
		"extremes":                      {values: []value{{3000, 0}, {3000, 1}}, at: 1, atLeast: 1, atMost: 30},
		"an old value counts less":      {values: []value{{400, 0}}, at: 500, atLeast: 1.05, atMost: 1.8},
		"stale":                         {values: []value{{400, 0}}, at: 1000, atLeast: 1, atMost: 1},
		"stale values before a new one": {values: []value{{3000, 0}, {3000, 1}, {100, 1500}}, at: 1500, atLeast: 1, atMost: 1},
		"implausible after usual":       {values: []value{{100, 0}, {9000, 10}, {0, 20}}, at: 20, atLeast: 1, atMost: 1},
		"time steps back":               {values: []value{{400, 100}, {400, 0}}, atLeast: 2.5, atMost: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mean Mean
			isUsed := false
			for _, v := range test.values {
				isUsed = mean.Observe(v.percent, start.Add(v.at*time.Millisecond)) || isUsed
			}
			factor := mean.Factor(start.Add(test.at * time.Millisecond))
			assert.Assert(t, factor >= test.atLeast && factor <= test.atMost, "factor %v", factor)
			if test.isNoneUsed {
				assert.Assert(t, !isUsed)
			}
		})
	}
}

// machine is the model of a machine that an engine shares: its slowdown has a part that lasts for seconds
// and a part that changes many times a second.
type machine struct {
	rand       *rand.Rand
	slow, fast float64 // logarithms
}

const (
	modelStep   = 5 * time.Millisecond
	slowChanges = 0.5 // a second
	fastChanges = 8.0
)

func (m *machine) step() float64 {
	if m.rand.Float64() < slowChanges*modelStep.Seconds() {
		m.slow = 0.35 * m.rand.NormFloat64()
	}
	if m.rand.Float64() < fastChanges*modelStep.Seconds() {
		m.fast = 0.35 * m.rand.NormFloat64()
	}
	return math.Exp(m.slow + m.fast)
}

// estimateErrors returns the mean error of the logarithm of estimated durations: with the last value, with
// the Mean, and without any value. work is the duration at the usual speed.
func estimateErrors(seed uint64, perSecond float64, work time.Duration) (last, mean, none float64) {
	const steps = 200_000
	m := &machine{rand: rand.New(rand.NewPCG(seed, 7))}
	slowdowns := make([]float64, steps)
	for i := range slowdowns {
		slowdowns[i] = m.step()
	}
	var smoothed Mean
	lastValue, lastAt := 1.0, start
	estimates := 0
	for i := 0; i < steps-4000; i++ {
		now := start.Add(time.Duration(i) * modelStep)
		if m.rand.Float64() < perSecond*modelStep.Seconds() {
			percent := int(slowdowns[i]*100 + 0.5)
			smoothed.Observe(percent, now)
			lastValue, lastAt = float64(percent)/100, now
		}
		if i%40 != 0 {
			continue
		}
		actual := 0.0
		for left, j := work.Seconds(), i; left > 0; j++ {
			actual += modelStep.Seconds()
			left -= modelStep.Seconds() / slowdowns[j]
		}
		errorOf := func(factor float64) float64 { return math.Abs(math.Log(factor * work.Seconds() / actual)) }
		estimates++
		none += errorOf(1)
		mean += errorOf(smoothed.Factor(now))
		if now.Sub(lastAt) < MaxAge {
			last += errorOf(lastValue)
		} else {
			last += errorOf(1)
		}
	}
	n := float64(estimates)
	return last / n, mean / n, none / n
}

// TestMeanEstimatesBetterThanLastValue guards against estimates that follow the latest value, or that are
// worse than without any, for the durations of requests and the rates at which hosts receive values. Only
// of work that is shorter than the time between two changes, with many values, the last one says more.
func TestMeanEstimatesBetterThanLastValue(t *testing.T) {
	t.Parallel()
	for _, work := range []time.Duration{60 * time.Millisecond, 280 * time.Millisecond, time.Second} {
		for _, perSecond := range []float64{0.3, 3, 20} {
			last, mean, none := estimateErrors(1, perSecond, work)
			t.Logf("%s, %4.1f values a second: last value %.3f, mean %.3f, none %.3f", work, perSecond, last, mean, none)
			most := last
			if work < time.Duration(float64(time.Second)/fastChanges) && perSecond > fastChanges {
				most = 1.15 * last
			}
			assert.Check(t, mean < most, "the last value estimates better: %s, %v a second", work, perSecond)
			assert.Check(t, mean < none, "no value estimates better: %s, %v a second", work, perSecond)
		}
	}
}
