package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
)

// TestSlownessCountsOnce guards against a machine's slowness entering the engine's learned factor too, and
// against changes at endpoints that state no values.
func TestSlownessCountsOnce(t *testing.T) {
	t.Parallel()
	const usual = 100 * time.Millisecond
	for name, test := range map[string]struct {
		engine  float64 // its factor against the model
		machine float64 // actual factor of the machine
		percent int     // stated with each observation; 0: none

		slowdown, current float64
	}{
		"no values, usual":         {engine: 1, machine: 1, slowdown: 1, current: 1},
		"no values, slow":          {engine: 1, machine: 2, slowdown: 2, current: 2},
		"slow machine":             {engine: 1, machine: 2, percent: 200, slowdown: 1, current: 2},
		"fast machine":             {engine: 1, machine: 0.5, percent: 50, slowdown: 1, current: 0.5},
		"slow engine":              {engine: 1.6, machine: 1, percent: 100, slowdown: 1.6, current: 1.6},
		"both":                     {engine: 1.6, machine: 2, percent: 200, slowdown: 1.6, current: 3.2},
		"implausible value":        {engine: 1, machine: 2, percent: 5000, slowdown: 2, current: 2},
		"value far from the truth": {engine: 1, machine: 1, percent: 400, slowdown: 0.25, current: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint, now := &Endpoint{Slowdown: 1}, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for range 200 {
				now = now.Add(20 * time.Millisecond)
				endpoint.ObserveMachine(test.percent, now)
				took, ok := endpoint.AtUsualSpeed(time.Duration(float64(usual)*test.engine*test.machine), now)
				assert.Assert(t, ok)
				endpoint.Slowdown = estimator.UpdateSlowdown(endpoint.Slowdown, took, usual)
			}
			assert.Assert(t, isClose(endpoint.CurrentSlowdown(), test.current, 0.05), "current %v", endpoint.CurrentSlowdown())
			assert.Assert(t, isClose(endpoint.Slowdown, test.slowdown, 0.15), "learned %v", endpoint.Slowdown)
		})
	}
}

func isClose(got, want, tolerance float64) bool {
	return got > want*(1-tolerance) && got < want*(1+tolerance)
}

// TestOldMachineValues guards against estimates by old values, and against learning from times whose
// machine factor is not known.
func TestOldMachineValues(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		age        time.Duration
		isSlowed   bool
		isLearning bool
	}{
		"just now":         {isSlowed: true, isLearning: true},
		"half a second":    {age: 500 * time.Millisecond, isSlowed: true, isLearning: true},
		"stale":            {age: time.Second},
		"silent for long":  {age: machineSilence + time.Millisecond, isLearning: true},
		"long out of date": {age: time.Hour, isLearning: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := NewTable("z")
			application := table.Application("a")
			endpoint := &Endpoint{Slowdown: 1}
			application.Local = append(application.Local, endpoint)
			assert.Assert(t, endpoint.ObserveMachine(300, now))
			application.tick(now, now.Add(test.age)) // also of an idle endpoint
			assert.Equal(t, endpoint.CurrentSlowdown() > 1, test.isSlowed)
			_, ok := endpoint.AtUsualSpeed(time.Second, now.Add(test.age))
			assert.Equal(t, ok, test.isLearning)
		})
	}
}
