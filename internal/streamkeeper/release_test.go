package streamkeeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// findAll looks up streams that began at v1, and returns how many go on there, go on elsewhere and are refused.
func (g *group) findAll(t *testing.T, hostID string, streams int) (right, wrong, refused int) {
	for n := range streams {
		switch got, err := g.keepers[hostID].Find(t.Context(), stream(fmt.Sprint("s", n))); {
		case err != nil:
			refused++
		case got == v1:
			right++
		default:
			wrong++
		}
	}
	return right, wrong, refused
}

// TestRecordsAreNotOverruled guards against streams whose record is not heard before other hosts confirm that there is another origin only.
func TestRecordsAreNotOverruled(t *testing.T) {
	t.Parallel()
	const streams = 60
	for name, test := range map[string]struct {
		isCut  func(from, to string) bool // when the streams are taken up
		isHost bool                       // their first host was cut off alone as they began
		right  int                        // at least
	}{
		"in touch":                         {right: streams},
		"cut off from some keepers":        {isCut: func(from, to string) bool { return from == "c2" && to[0] == 'a' }},
		"began at a host that was cut off": {isHost: true, right: streams},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, sixHosts...)
				time.Sleep(streamLifetime)
				first := g.keepers["a1"]
				if test.isHost {
					g.isStale["a1"] = true
					g.setCut(func(from, to string) bool { return from == "a1" || to == "a1" })
					first.SetHosts(sixHosts[:1])
				}
				for n := range streams {
					first.Begin(stream(fmt.Sprint("s", n)), v1, time.Minute)
				}
				time.Sleep(2 * sendDelay)
				g.isStale["a1"] = false
				g.setCut(func(string, string) bool { return false })
				first.SetHosts(sixHosts)
				g.all(func(k *Keeper) { k.UpdateEndpoints(map[string]Origin{"e2": v2}, []string{"e1"}, false) })
				g.confirm()
				time.Sleep(streamLifetime + 5*time.Second)
				if test.isCut != nil {
					g.setCut(test.isCut)
				}
				right, wrong, refused := g.findAll(t, "c2", streams)
				assert.Check(t, wrong == 0 && right >= test.right, "%d go on, %d of them at another version; %d are refused", right+wrong, wrong, refused)
			})
		})
	}
}

// TestClassIsAwayForOneConfiguration guards against applications that are forgotten with a class that comes back.
func TestClassIsAwayForOneConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, sixHosts...)
		time.Sleep(streamLifetime)
		first := g.keepers["a1"]
		g.isStale["a1"] = true
		g.setCut(func(from, to string) bool { return from == "a1" || to == "a1" })
		for _, h := range sixHosts[1:] {
			k := g.keepers[h.HostID]
			k.SetMembers(map[string]int64{"a1": 0})
			k.UpdateEndpoints(map[string]Origin{"f1": {"llm2", "v1"}}, nil, false)
			k.SetClasses(map[string][]string{})
			k.SetClasses(map[string][]string{"letters": {"llm2"}})
			k.SetMembers(map[string]int64{"a1": 0})
		}
		time.Sleep(streamLifetime + time.Second)
		const streams = 60
		for n := range streams {
			first.Begin(stream(fmt.Sprint("s", n)), v1, 5*time.Second)
		}
		_, wrong, _ := g.findAll(t, "c2", streams)
		assert.Check(t, wrong == 0, "%d of %d go on at another application", wrong, streams)
	})
}

// TestHostStartsAgainWithAnOlderList guards against removals that count as known to all hosts although one has started again with a list of before.
func TestHostStartsAgainWithAnOlderList(t *testing.T) {
	t.Parallel()
	now := time.Now()
	v := recentValue{removedAt: now}
	for range 2 {
		v = v.setMembers(7, 7, 7, now)
	}
	assert.Assert(t, !v.isPossible(now.Add(streamLifetime)))
	v = v.setMembers(8, 5, 5, now.Add(streamLifetime))
	assert.Assert(t, v.isPossible(now.Add(streamLifetime)))
	v = v.setMembers(9, 9, 9, now.Add(2*streamLifetime))
	assert.Assert(t, v.isPossible(now.Add(2*streamLifetime)) && !v.isPossible(now.Add(3*streamLifetime)))
}
