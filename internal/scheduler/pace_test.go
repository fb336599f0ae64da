package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPace(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		window  time.Duration
		granted float64 // engine seconds, of a capacity of 1
		isAt    float64 // factor
	}{
		"as estimated":         {window: time.Second, granted: 1, isAt: 1},
		"faster":               {window: time.Second, granted: 2, isAt: 1.3},
		"slower":               {window: time.Second, granted: 0.2, isAt: 0.85},
		"the host stood still": {window: 3 * time.Second, isAt: 1},
		"no time has passed":   {window: 100 * time.Millisecond, isAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1000, 0)
			p := &pace{since: now, granted: test.granted}
			p.tick(true, 1, now.Add(test.window))
			assert.Assert(t, p.factor() > test.isAt-0.001 && p.factor() < test.isAt+0.001, "factor %f", p.factor())
		})
	}
}
