package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
)

// TestSlowMachineGetsLessWork guards against engines whose machines are slow at the moment getting as much work
// as others, against values of another process, and against the capacity of slow engines counting in full.
func TestSlowMachineGetsLessWork(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		percent     int
		incarnation string
		age         time.Duration
		want        string
		capacity    float64 // of three engines
	}{
		"usual":           {percent: 100, incarnation: "1", want: "engine-0", capacity: 3},
		"slow":            {percent: 800, incarnation: "1", want: "engine-1", capacity: 2.2},
		"no value":        {incarnation: "1", want: "engine-0", capacity: 3},
		"implausible":     {percent: 5000, incarnation: "1", want: "engine-0", capacity: 3},
		"stale":           {percent: 800, incarnation: "1", age: time.Second, want: "engine-0", capacity: 3},
		"another process": {percent: 800, incarnation: "2", want: "engine-0", capacity: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, engines(3))
			s.ObserveSlowdown(driver.Process{EndpointID: "engine-0", Incarnation: test.incarnation}, test.percent, *now)
			*now = now.Add(test.age)
			s.Tick(*now)
			s.mu.Lock()
			s.table.Refresh(*now)
			capacity := s.table.Application("drafting").Summary.Capacity
			s.mu.Unlock()
			assert.Assert(t, capacity > test.capacity-0.05 && capacity < test.capacity+0.05, "capacity %v", capacity)
			grant, err := s.Acquire(t.Context(), newWork(*now))
			assert.NilError(t, err)
			assert.Equal(t, grant.Target().EndpointID, test.want)
			grant.Done(Abandoned{})
		})
	}
}

// TestTimesAreLearnedAtUsualSpeed guards against a slow moment of a machine entering the application's model and
// the engine's learned slowdown, where it would count twice.
func TestTimesAreLearnedAtUsualSpeed(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(1))
	process := driver.Process{EndpointID: "engine-0", Incarnation: "1"}
	work := newWork(*now)
	work.Class.Kind = configurer.KindCall
	call := func(took time.Duration) {
		work.Arrived = *now
		grant, err := s.Acquire(t.Context(), work)
		assert.NilError(t, err)
		*now = now.Add(took)
		grant.Done(Completed{})
	}
	for range 100 {
		call(20 * time.Millisecond)
	}
	before := s.Endpoints()[0]
	for range 100 {
		s.ObserveSlowdown(process, 300, *now)
		call(60 * time.Millisecond)
	}
	after := s.Endpoints()[0]
	assert.Assert(t, before.Machine == 1 && after.Machine > 2.2, "machine %v", after.Machine)
	current := after.Slowdown * after.Machine
	assert.Assert(t, after.Slowdown < 1.3 && current > 2.4 && current < 3.6, "learned %v, current %v", after.Slowdown, current)
}
