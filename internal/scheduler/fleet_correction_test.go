package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Costs that are estimated wrong by a factor would leave engines idle while work is refused,
// or keep them overloaded, for as long as a shortage lasts.
func TestFleetCorrection(t *testing.T) {
	t.Parallel()
	const response = 500 * time.Millisecond
	tests := map[string]struct {
		isShort         bool
		state           engineState
		lowest, highest float64
	}{
		"engines are idle":        {true, engineState{0, 0.3, response}, maxCorrection, maxCorrection},
		"prompts wait too long":   {true, engineState{400 * time.Millisecond, 0.6, response}, minCorrection, minCorrection},
		"all slots are in use":    {true, engineState{0, 1.3, response}, minCorrection, minCorrection},
		"prompts wait as desired": {true, engineState{175 * time.Millisecond, 0.5, response}, 0.99, 1.01},
		"service without prompts": {true, engineState{0, 0.3, 0}, maxCorrection, maxCorrection},
		"no shortage":             {false, engineState{0, 0.1, response}, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var c fleetCorrection
			now := start
			for range 1000 {
				now = now.Add(20 * time.Millisecond)
				c.tick(test.isShort, test.state, now)
			}
			assert.Assert(t, c.factor() >= test.lowest && c.factor() <= test.highest, "factor %g", c.factor())
			for range 1000 {
				now = now.Add(20 * time.Millisecond)
				c.tick(false, engineState{}, now)
			}
			assert.Assert(t, c.factor() > 0.95 && c.factor() < 1.1, "factor %g after the shortage", c.factor())
		})
	}
}
