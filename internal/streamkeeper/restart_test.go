package streamkeeper

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// restartAll ends all hosts at once, and starts them again with a list of endpoints.
func (g *group) restartAll(t *testing.T, endpoints map[string]Origin) {
	for id, k := range g.keepers {
		assert.NilError(t, k.Close())
		delete(g.keepers, id)
	}
	g.listed = endpoints
	for _, h := range g.hosts {
		g.start(h)
	}
}

// TestStreamsAfterAllHostsRestart guards against streams that go on at another software version once all records of
// where they began are lost.
func TestStreamsAfterAllHostsRestart(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		listed   map[string]Origin // after the restart
		lifetime time.Duration     // of the stream
		after    time.Duration     // since the restart
	}{
		"the old version has just left":    {listed: map[string]Origin{"e2": v2}, lifetime: 10 * time.Second, after: 5 * time.Second},
		"it has left, a caller that waits": {listed: map[string]Origin{"e2": v2}, lifetime: time.Minute, after: 20 * time.Second},
		"it has left, unknown time limit":  {listed: map[string]Origin{"e2": v2}, after: time.Minute},
		"two versions serve":               {listed: map[string]Origin{"e1": v1, "e2": v2}, lifetime: time.Minute, after: 20 * time.Second},
		"no endpoint has returned":         {listed: map[string]Origin{}, lifetime: time.Minute, after: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, sixHosts...)
				time.Sleep(streamLifetime)
				g.keepers["a1"].Begin(stream("s"), v1, test.lifetime)
				time.Sleep(2 * sendDelay)
				g.restartAll(t, test.listed)
				time.Sleep(test.after)
				got, err := g.keepers["c2"].Find(t.Context(), stream("s"))
				assert.Assert(t, got == v1 || errors.Is(err, ErrUnknown), "goes on at %+v", got)
			})
		})
	}
}
