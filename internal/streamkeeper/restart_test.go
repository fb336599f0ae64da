package streamkeeper

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// restartAll ends all hosts at once, and starts them again with a list of endpoints. They wait for
// their history.
func (g *group) restartAll(t *testing.T, endpoints map[string]Origin) {
	for id, k := range g.keepers {
		assert.NilError(t, k.Close())
		delete(g.keepers, id)
	}
	g.listed, g.awaitsHistory = endpoints, true
	for _, h := range g.hosts {
		g.start(h)
	}
}

// TestStreamsAfterAllHostsRestart guards against streams that go on at another software version once all their records are lost.
func TestStreamsAfterAllHostsRestart(t *testing.T) {
	t.Parallel()
	onlyV1 := &History{Classes: map[string][]string{"letters": {"llm"}}, Versions: map[string][]string{"llm": {"v1"}}}
	for name, test := range map[string]struct {
		listed       map[string]Origin // after the restart
		lifetime     time.Duration     // of the stream
		after        time.Duration     // since the restart
		isUnreadable bool              // the history
		history      *History          // nil: none is kept
		isServed     bool
	}{
		"the old version has just left":    {listed: map[string]Origin{"e2": v2}, lifetime: 10 * time.Second, after: 5 * time.Second, history: onlyV1},
		"without a history":                {listed: map[string]Origin{"e2": v2}, lifetime: 10 * time.Second, after: 5 * time.Second},
		"a caller that waits":              {listed: map[string]Origin{"e2": v2}, lifetime: time.Minute, after: 20 * time.Second, history: onlyV1},
		"a caller with no time limit":      {listed: map[string]Origin{"e2": v2}, after: time.Minute, history: onlyV1},
		"the history can't be read":        {listed: map[string]Origin{"e2": v2}, after: time.Minute, isUnreadable: true},
		"two versions serve":               {listed: map[string]Origin{"e1": v1, "e2": v2}, lifetime: time.Minute, after: 20 * time.Second, history: onlyV1},
		"no endpoint has returned":         {lifetime: time.Minute, after: 20 * time.Second, isUnreadable: true},
		"the route was moved":              {listed: map[string]Origin{"e1": v1}, lifetime: time.Minute, after: 20 * time.Second, history: &History{Classes: map[string][]string{"letters": {"llm0"}}, Versions: map[string][]string{"llm": {"v1"}}}},
		"only one version has served":      {listed: map[string]Origin{"e1": v1}, lifetime: 10 * time.Second, after: time.Second, history: onlyV1, isServed: true},
		"its endpoints are not listed yet": {listed: map[string]Origin{}, lifetime: 10 * time.Second, after: time.Second, history: onlyV1, isServed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, sixHosts...)
				time.Sleep(streamLifetime)
				g.keepers["a1"].Begin(stream("s"), v1, test.lifetime)
				time.Sleep(2 * sendDelay)
				g.restartAll(t, test.listed)
				if !test.isUnreadable {
					g.all(func(k *Keeper) { k.SetHistory(test.history) })
				}
				time.Sleep(test.after)
				got, err := g.keepers["c2"].Find(t.Context(), stream("s"))
				assert.Assert(t, got == v1 || errors.Is(err, ErrUnknown), "goes on at %+v", got)
				assert.Equal(t, got == v1, test.isServed, "%v", err)
			})
		})
	}
}

// TestHistory shows what hosts leave for those that start: what streams may have, and nothing else.
func TestHistory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, sixHosts...)
		k := g.keepers["a1"]
		k.UpdateEndpoints(map[string]Origin{"e2": v2}, []string{"e1"}, false)
		both := History{Classes: map[string][]string{"letters": {"llm"}}, Versions: map[string][]string{"llm": {"v1", "v2"}}}
		assert.DeepEqual(t, k.History(), both)
		g.confirm()
		time.Sleep(maxLifetime - time.Second)
		assert.DeepEqual(t, k.History(), both)
		k.SetHistory(&both)
		time.Sleep(time.Second)
		assert.DeepEqual(t, k.History().Versions, map[string][]string{"llm": {"v2"}})
		k.UpdateEndpoints(nil, []string{"e2"}, false)
		time.Sleep(maxLifetime / 2)
		k.SetHistory(&both) // of another host that has written it
		g.confirm()
		time.Sleep(2 * maxLifetime)
		assert.DeepEqual(t, k.History().Versions, map[string][]string{"llm": {"v2"}}) // streams have no other
	})
}

// TestUnnamedStreams guards against streams whose callers don't name them and that are taken for one another.
func TestUnnamedStreams(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, sixHosts...)
		time.Sleep(streamLifetime)
		got, err := g.keepers["a1"].Find(t.Context(), stream(""))
		assert.NilError(t, err)
		assert.Equal(t, got, v1) // there is no other
		g.keepers["a1"].Begin(stream(""), v1, time.Minute)
		g.all(func(k *Keeper) { k.UpdateEndpoints(map[string]Origin{"e2": v2}, nil, false) })
		time.Sleep(2 * sendDelay)
		for _, id := range []string{"a1", "c2"} {
			_, err = g.keepers[id].Find(t.Context(), stream(""))
			assert.ErrorIs(t, err, ErrUnknown)
		}
	})
}

// TestHostRestartsAfterARelease guards against streams that are refused since a new host inherits a version that no longer matters.
func TestHostRestartsAfterARelease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, sixHosts...)
		time.Sleep(streamLifetime)
		g.all(func(k *Keeper) { k.UpdateEndpoints(map[string]Origin{"e2": v2}, []string{"e1"}, false) })
		g.confirm()
		time.Sleep(2 * streamLifetime)
		history := g.keepers["a1"].History()
		assert.DeepEqual(t, history.Versions["llm"], []string{"v1", "v2"})
		g.listed, g.awaitsHistory = map[string]Origin{"e2": v2}, true
		g.start(Host{"c2", "c"})
		g.keepers["c2"].SetHistory(&history)
		for _, id := range []string{"c2", "b1"} {
			got, err := g.keepers[id].Find(t.Context(), stream("not recorded, since there is one version"))
			assert.NilError(t, err)
			assert.Equal(t, got, v2)
		}
	})
}
