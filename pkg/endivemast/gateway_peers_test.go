package endivemast

import (
	"testing"

	"gotest.tools/v3/assert"
)

// What a host may spend on telling follows its cores: hubs are the strongest
// hosts of their zone, and all others' words go through them.
func TestTellsFollowTheCores(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		cores float64
		want  int
	}{
		"not told": {0, fewestUpdates},
		"small":    {0.192, fewestUpdates},
		"hub":      {0.8, 960},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, updatesPerSecond(test.cores), test.want)
		})
	}
}
