package lister

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// decodeHost decodes an entry whose value is a host as JSON.
func decodeHost(entry provider.Entry) (host provider.Host, err error) {
	err = json.Unmarshal(entry.Value, &host)
	return host, err
}

// entryChange returns the change that writes an entry of endpoint e1.
func entryChange(t *testing.T, started, sequence int64, state provider.HostState) provider.Change {
	t.Helper()
	incarnation := time.UnixMilli(started).UTC().Format(time.RFC3339Nano)
	value, err := json.Marshal(provider.Host{ID: "e1", Incarnation: incarnation, StartedAt: started, Sequence: sequence, State: state})
	assert.NilError(t, err)
	return provider.Change{Entry: provider.Entry{Key: "s/e1", Value: value}}
}

// Entries are ordered by the start time of their process, and by their sequence
// number within one process, not by when they are received.
func TestEntriesAreOrdered(t *testing.T) {
	t.Parallel()
	const live, leaving = provider.HostLive, provider.HostLeaving
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		known, late provider.Change
		isRemoved   bool // the endpoint's entry is removed before the late one is received
		want        provider.HostState
	}{
		"earlier start":                                    {known: entryChange(t, 2000, 3, leaving), late: entryChange(t, 1000, 9, live), want: leaving},
		"later start":                                      {known: entryChange(t, 1000, 9, leaving), late: entryChange(t, 2000, 1, live), want: live},
		"later start, leaving":                             {known: entryChange(t, 1000, 9, live), late: entryChange(t, 2000, 1, leaving), want: leaving},
		"same start, lower sequence":                       {known: entryChange(t, 1000, 9, leaving), late: entryChange(t, 1000, 8, live), want: leaving},
		"same start, same sequence":                        {known: entryChange(t, 1000, 9, leaving), late: entryChange(t, 1000, 9, leaving), want: leaving},
		"same start, higher sequence":                      {known: entryChange(t, 1000, 9, leaving), late: entryChange(t, 1000, 10, live), want: live},
		"same start, lower sequence, leaving":              {known: entryChange(t, 1000, 9, live), late: entryChange(t, 1000, 8, leaving), want: live},
		"removed, earlier start":                           {known: entryChange(t, 2000, 3, leaving), late: entryChange(t, 1000, 9, live), isRemoved: true, want: ""},
		"removed, later start":                             {known: entryChange(t, 1000, 9, leaving), late: entryChange(t, 2000, 1, live), isRemoved: true, want: live},
		"removed, same start, lower sequence":              {known: entryChange(t, 1000, 9, leaving), late: entryChange(t, 1000, 8, live), isRemoved: true, want: ""},
		"removed, same start, higher sequence":             {known: entryChange(t, 1000, 9, live), late: entryChange(t, 1000, 10, live), isRemoved: true, want: live},
		"start time missing":                               {known: entryChange(t, 1000, 9, live), late: entryChange(t, 0, 10, live), want: leaving},
		"start time never stated, lower sequence":          {known: entryChange(t, 0, 9, leaving), late: entryChange(t, 0, 8, live), want: leaving},
		"start time never stated, removed, lower sequence": {known: entryChange(t, 0, 9, leaving), late: entryChange(t, 0, 8, live), isRemoved: true, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var state provider.HostState
			r := NewRegistrations(RegistrationsConfig{
				Prefix: "s/", Decode: decodeHost, DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(),
				OnChange: func(change ListChange, _ time.Time) {
					state = ""
					for _, host := range change.Hosts {
						state = host.State
					}
				},
			})
			r.Apply(test.known, start)
			now := start
			if test.isRemoved {
				r.Apply(provider.Change{Entry: provider.Entry{Key: "s/e1"}, Deleted: true}, now)
				now = now.Add(10 * time.Second)
				r.Tick(now)
				assert.Equal(t, state, provider.HostState(""))
			}
			r.Apply(test.late, now)
			assert.Equal(t, state, test.want)
			r.Replace([]provider.Entry{test.late.Entry}, period(now), now)
			assert.Equal(t, state, test.want, "after a read of the same entry")
		})
	}
}

// A peer's report applies to one process and not to the next one of the endpoint.
func TestPeerReportAppliesToOneProcess(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r, published := newRegistrations(t, start)
	r.ApplyLeaving([]exchanger.LeavingEndpoint{{EndpointID: "e1", Incarnation: "e1 earlier"}}, start)
	assert.Equal(t, (*published)["e1"], provider.HostLive)
	r.ApplyLeaving([]exchanger.LeavingEndpoint{{EndpointID: "e1", Incarnation: "e1"}}, start)
	assert.Equal(t, (*published)["e1"], provider.HostLeaving)
}
