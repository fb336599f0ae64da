package registrar

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// An entry that no host has written names no host, and leaves the others.
func TestEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	host := Host{HostID: "h1", Incarnation: "one", Zone: "z", Address: "127.0.0.1:80"}
	encode := func(change func(host *Host)) []byte {
		changed := host
		change(&changed)
		value, err := json.Marshal(changed)
		assert.NilError(t, err)
		return value
	}
	for name, test := range map[string]struct {
		value []byte
		want  int // peers, h2 among them
	}{
		"a host's":                {value: encode(func(*Host) {}), want: 2},
		"bytes":                   {value: []byte("\xff"), want: 1},
		"another type":            {value: []byte(`{"host_id":7}`), want: 1},
		"nothing in it":           {value: []byte(`{}`), want: 1},
		"another host's id":       {value: encode(func(host *Host) { host.HostID = "h9" }), want: 1},
		"no address":              {value: encode(func(host *Host) { host.Address = "" }), want: 1},
		"a name for an address":   {value: encode(func(host *Host) { host.Address = "h1:80" }), want: 1},
		"no zone":                 {value: encode(func(host *Host) { host.Zone = "" }), want: 1},
		"no incarnation":          {value: encode(func(host *Host) { host.Incarnation = "" }), want: 1},
		"a field that isn't ours": {value: []byte(`{"host_id":"h1","incarnation":"one","zone":"z","address":"127.0.0.1:80","x":[]}`), want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{Own: Host{HostID: "own"}, Changed: func([]Host) {}, Logger: hclog.NewNullLogger()})
			second, err := json.Marshal(Host{HostID: "h2", Incarnation: "two", Zone: "z", Address: "127.0.0.1:81"})
			assert.NilError(t, err)
			r.Replace([]provider.Entry{
				{Key: Prefix + "h1", Value: encode(func(*Host) {})}, {Key: Prefix + "h2", Value: second},
			}, time.Now())
			assert.Equal(t, len(r.Peers()), 2)
			r.Apply(provider.Change{Entry: provider.Entry{Key: Prefix + "h1", Value: test.value}}, time.Now())
			assert.Equal(t, len(r.Peers()), test.want)
		})
	}
}
