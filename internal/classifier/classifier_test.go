package classifier

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/configurer"
)

func rule(name, host, prefix string) Rule {
	return Rule{Host: host, PathPrefix: prefix, Class: Class{Class: configurer.Class{Name: name}}}
}

func TestFind(t *testing.T) {
	t.Parallel()
	c := New()
	c.Install(&Snapshot{Version: 1, Rules: []Rule{
		rule("all", "h.example", "/"), rule("long", "h.example", "/a/b/"), rule("short", "h.example", "/a/"), rule("other", "o.example", "/a/b/c/"),
	}})
	for name, test := range map[string]struct{ host, path, want string }{
		"longest prefix":                {"h.example", "/a/b/c/d", "long"},
		"shorter prefix":                {"h.example", "/a/x", "short"},
		"prefix without trailing slash": {"h.example", "/a", "all"},
		"upper case and port":           {"H.Example:80", "/a/x", "short"},
		"another host":                  {"o.example", "/a/b/", ""},
		"unknown host":                  {"x.example", "/a/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			class, ok := c.Find(test.host, test.path)
			assert.Equal(t, class.Name, test.want)
			assert.Equal(t, ok, test.want != "")
		})
	}
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	t.Parallel()
	c := New()
	assert.Assert(t, !c.Ready())
	assert.Assert(t, c.Install(&Snapshot{Version: 5, Rules: []Rule{rule("five", "h", "/")}}))
	assert.Assert(t, !c.Install(&Snapshot{Version: 5, Rules: []Rule{rule("again", "h", "/")}}))
	assert.Assert(t, !c.Install(&Snapshot{Version: 4}))
	class, ok := c.Find("h", "/x")
	assert.Assert(t, ok)
	assert.Equal(t, class.Name, "five")
	assert.Assert(t, c.Install(&Snapshot{Version: 6}))
	_, ok = c.Find("h", "/x")
	assert.Assert(t, !ok)
	assert.Equal(t, c.Revision(), int64(6))
}

// Guards against classes of one tenant that count as equally urgent, since the tenant's
// rank hides those of its routes.
func TestPrecedence(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ rank, routeRank, want int }{
		"no ranks":               {want: 0},
		"rank of the route only": {rank: 2, routeRank: 2, want: 22},
		"rank of the tenant":     {rank: 1, routeRank: 0, want: 10},
		"its less urgent class":  {rank: 1, routeRank: 2, want: 12},
		"out of range":           {rank: -3, routeRank: 400, want: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			class := Class{Rank: test.rank, RouteRank: test.routeRank}
			assert.Equal(t, class.Precedence(), test.want)
		})
	}
}
