package observer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// TestSlowdownsArePassedOn guards against losing the values of endpoints that send no other signal, and
// against taking a missing value for one.
func TestSlowdownsArePassedOn(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		load *driver.EndpointLoad
		want []int
	}{
		"value":    {load: &driver.EndpointLoad{SlowdownPercent: 140}, want: []int{140}},
		"no value": {load: &driver.EndpointLoad{Running: 3}},
		"no load":  {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture()
			var got []int
			f.cfg.OnSlowdown = func(p driver.Process, percent int) {
				assert.Equal(t, p, process)
				got = append(got, percent)
			}
			f.observe(driver.Signals{Load: test.load}, time.Millisecond)
			assert.Assert(t, slices.Equal(got, test.want), "%v", got)
			assert.Equal(t, len(f.States()), 0)
		})
	}
}
