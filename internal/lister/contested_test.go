package lister

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// Guards against an endpoint that stays unlisted because another writer's entry under its key claims to be later.
func TestEndpointReplacesLaterEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		odd, own  provider.Host // the own sequence rises with each entry
		isDeleted bool
		entries   int
		interval  time.Duration
		want      bool // the endpoint's own entry is in force
	}{
		"larger sequence":                {odd: provider.Host{Sequence: 1 << 62}, entries: 12, interval: time.Second, want: true},
		"larger sequence, deleted":       {odd: provider.Host{Sequence: 1 << 62}, isDeleted: true, entries: 12, interval: time.Second, want: true},
		"later start":                    {odd: provider.Host{StartedAt: 1 << 62}, own: provider.Host{StartedAt: 9}, entries: 12, interval: time.Second, want: true},
		"later start, deleted":           {odd: provider.Host{StartedAt: 1 << 62}, own: provider.Host{StartedAt: 9}, isDeleted: true, entries: 12, interval: time.Second, want: true},
		"later start, own has none":      {odd: provider.Host{StartedAt: 1 << 62}, entries: 12, interval: time.Second, want: true},
		"slow reports":                   {odd: provider.Host{Sequence: 1 << 62}, entries: 6, interval: 3 * time.Second, want: true},
		"delayed entries":                {odd: provider.Host{Sequence: 1 << 62}, entries: 12, interval: 500 * time.Millisecond, want: false},
		"few delayed entries, far apart": {odd: provider.Host{Sequence: 1 << 62}, entries: 3, interval: 4 * time.Second, want: false},
		"entries of several outages":     {odd: provider.Host{Sequence: 1 << 62}, entries: 6, interval: 9 * time.Second, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := NewRegistrations(RegistrationsConfig{
				Prefix: "s/", DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(), OnChange: func(ListChange, time.Time) {},
				Decode: func(entry provider.Entry) (host provider.Host, err error) {
					return host, json.Unmarshal(entry.Value, &host)
				},
			})
			revision := int64(0)
			apply := func(host provider.Host, now time.Time) {
				revision++
				host.ID, host.State = "e1", provider.HostLive
				value, err := json.Marshal(host)
				assert.NilError(t, err)
				r.Apply(provider.Change{Entry: provider.Entry{Key: "s/e1", Value: value, Revision: revision}}, now)
			}
			r.Replace(nil, period(start), start)
			test.odd.Address, test.own.Address = "odd", "own"
			apply(test.odd, start)
			if test.isDeleted {
				r.Apply(provider.Change{Entry: provider.Entry{Key: "s/e1"}, Deleted: true}, start)
				r.Tick(start.Add(1500 * time.Millisecond))
			}
			now := start.Add(2 * time.Second)
			for range test.entries {
				r.Tick(now)
				test.own.Sequence++
				apply(test.own, now)
				apply(test.own, now) // read again
				now = now.Add(test.interval)
			}
			hosts := r.Hosts()
			assert.Equal(t, len(hosts) == 1 && hosts[0].Address == "own" && hosts[0].State == provider.HostLive, test.want, "%+v", hosts)
		})
	}
}
