package lister

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// decodeState decodes an entry whose value is the state of the host.
func decodeState(entry provider.Entry) (provider.Host, error) {
	if len(entry.Value) == 0 {
		return provider.Host{}, errors.New("empty value")
	}
	id := entry.Key[len("s/"):]
	return provider.Host{ID: id, Incarnation: id, State: provider.HostState(entry.Value)}, nil
}

func stateEntry(id string, state provider.HostState) provider.Entry {
	return provider.Entry{Key: "s/" + id, Value: []byte(state)}
}

// newRegistrations returns a list with the live endpoints e1 and e2, and the states by
// id that it publishes.
func newRegistrations(t *testing.T, now time.Time) (r *Registrations, published *map[string]provider.HostState) {
	t.Helper()
	published = &map[string]provider.HostState{}
	r = NewRegistrations(RegistrationsConfig{
		Prefix: "s/", Decode: decodeState, DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(),
		OnChange: func(change ListChange, _ time.Time) { applyChange(*published, change) },
	})
	assert.Assert(t, !r.HasSynced())
	r.Replace([]provider.Entry{stateEntry("e1", provider.HostLive), stateEntry("e2", provider.HostLive)}, period(now), now)
	assert.Assert(t, r.HasSynced())
	return r, published
}

// applyChange applies a change of the list to states by id.
func applyChange(states map[string]provider.HostState, change ListChange) {
	if change.IsSnapshot {
		clear(states)
	}
	for _, id := range change.Removed {
		delete(states, id)
	}
	for _, host := range change.Hosts {
		states[host.ID] = host.State
	}
}

// A published change holds only the endpoints that have changed, however long the
// list is.
func TestChangeHoldsOnlyChangedEndpoints(t *testing.T) {
	t.Parallel()
	var published []ListChange
	r := NewRegistrations(RegistrationsConfig{
		Prefix: "s/", Decode: decodeState, DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(),
		OnChange: func(change ListChange, _ time.Time) { published = append(published, change) },
	})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var entries []provider.Entry
	for n := range 1000 {
		entries = append(entries, stateEntry(fmt.Sprint("e", n), provider.HostLive))
	}
	r.Replace(entries, period(now), now)
	r.Apply(provider.Change{Entry: stateEntry("e7", provider.HostLeaving)}, now)
	r.Apply(provider.Change{Entry: provider.Entry{Key: "s/e8"}, Deleted: true}, now)
	r.Tick(now.Add(time.Minute))
	r.SetChangingRole([]string{"e9"})
	r.Refresh("e11")
	r.ApplyLeaving([]exchanger.LeavingEndpoint{{EndpointID: "e10", Incarnation: "e10"}}, now)
	r.Tick(now.Add(2 * time.Minute))
	assert.Assert(t, published[0].IsSnapshot && len(published[0].Hosts) == 1000)
	var ids [][]string
	for _, change := range published[1:] {
		assert.Assert(t, !change.IsSnapshot)
		var changed []string
		for _, host := range change.Hosts {
			changed = append(changed, host.ID+" "+string(host.State))
		}
		ids = append(ids, append(changed, change.Removed...))
	}
	assert.DeepEqual(t, ids, [][]string{{"e7 leaving"}, {"e8 live"}, {"e8"}, {"e9 leaving"}, {"e11 live"}, {"e10 leaving"}, {"e10 live"}})
}

func period(at time.Time) provider.Period { return provider.Period{Earliest: at, Latest: at} }

func TestRegistrations(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	removal := provider.Change{Entry: provider.Entry{Key: "s/e1"}, Deleted: true}
	set := func(state provider.HostState) provider.Change { return provider.Change{Entry: stateEntry("e1", state)} }
	for name, test := range map[string]struct {
		act  func(r *Registrations)
		at   time.Duration // when the list is checked, after act
		want provider.HostState
	}{
		"announces that it is leaving":                     {act: func(r *Registrations) { r.Apply(set(provider.HostLeaving), start) }, want: provider.HostLeaving},
		"announces that it is leaving, then entry removed": {act: func(r *Registrations) { r.Apply(set(provider.HostLeaving), start); r.Apply(removal, start) }, want: ""},
		"entry removed unannounced, still listed":          {act: func(r *Registrations) { r.Apply(removal, start) }, at: 900 * time.Millisecond, want: provider.HostLive},
		"entry removed unannounced, not listed any more":   {act: func(r *Registrations) { r.Apply(removal, start) }, at: 1100 * time.Millisecond, want: ""},
		"entry removed and written again":                  {act: func(r *Registrations) { r.Apply(removal, start); r.Apply(set(provider.HostLive), start) }, at: time.Minute, want: provider.HostLive},
		"entry missing after an outage": {
			act: func(r *Registrations) {
				r.StoreRegained(start)
				r.Replace([]provider.Entry{stateEntry("e2", provider.HostLive)}, period(start.Add(100*time.Millisecond)), start.Add(100*time.Millisecond))
			}, at: 1900 * time.Millisecond, want: provider.HostLive,
		},
		"entry missing for too long after an outage": {
			act: func(r *Registrations) {
				r.StoreRegained(start)
				r.Replace([]provider.Entry{stateEntry("e2", provider.HostLive)}, period(start.Add(100*time.Millisecond)), start.Add(100*time.Millisecond))
			}, at: 2100 * time.Millisecond, want: "",
		},
		"entry removed long before this host's return": {
			act: func(r *Registrations) {
				r.StoreRegained(start)
				r.Replace([]provider.Entry{stateEntry("e2", provider.HostLive)}, period(start.Add(-9*time.Second)), start)
			}, want: "",
		},
		"entry removed shortly before this host's return": {
			act: func(r *Registrations) {
				r.StoreRegained(start)
				r.Apply(provider.Change{Entry: removal.Entry, Deleted: true, Age: time.Second}, start)
			}, at: 800 * time.Millisecond, want: provider.HostLive,
		},
		"entry removed shortly before this host's return, drain time over": {
			act: func(r *Registrations) {
				r.StoreRegained(start)
				r.Apply(provider.Change{Entry: removal.Entry, Deleted: true, Age: time.Second}, start)
			}, at: 850 * time.Millisecond, want: "",
		},
		"entry removed as the store returns": {
			act: func(r *Registrations) { r.StoreRegained(start); r.Apply(removal, start) }, at: 1950 * time.Millisecond, want: "",
		},
		"invalid entry": {act: func(r *Registrations) { r.Apply(set(""), start) }, want: provider.HostLeaving},
		"invalid entry, then a valid one": {
			act: func(r *Registrations) { r.Apply(set(""), start); r.Apply(set(provider.HostLive), start) }, want: provider.HostLive,
		},
		"invalid entry, then removed": {
			act: func(r *Registrations) { r.Apply(set(""), start); r.Apply(removal, start) }, at: 1100 * time.Millisecond, want: "",
		},
		"this host is changing its role": {act: func(r *Registrations) { r.SetChangingRole([]string{"e1"}) }, at: time.Hour, want: provider.HostLeaving},
		"this host has changed its role": {act: func(r *Registrations) { r.SetChangingRole([]string{"e1"}); r.SetChangingRole(nil) }, want: provider.HostLive},
		"a peer is changing its role": {
			act: func(r *Registrations) {
				r.ApplyLeaving([]exchanger.LeavingEndpoint{{EndpointID: "e1", Incarnation: "e1"}}, start)
			},
			at: 500 * time.Millisecond, want: provider.HostLeaving,
		},
		"a peer's report expires": {
			act: func(r *Registrations) {
				r.ApplyLeaving([]exchanger.LeavingEndpoint{{EndpointID: "e1", Incarnation: "e1"}}, start)
			},
			at: 2 * time.Second, want: provider.HostLive,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, published := newRegistrations(t, start.Add(-time.Minute))
			test.act(r)
			r.Tick(start.Add(test.at))
			assert.Equal(t, (*published)["e1"], test.want)
			assert.Equal(t, (*published)["e2"], provider.HostLive)
		})
	}
}

// HasSynced is true only after the list is published, so that a host that checks it
// finds the endpoints.
func TestHasSyncedIsSetAfterPublishing(t *testing.T) {
	t.Parallel()
	var r *Registrations
	published := 0
	r = NewRegistrations(RegistrationsConfig{
		Prefix: "s/", Decode: decodeState, DrainTime: time.Second, Logger: hclog.NewNullLogger(),
		OnChange: func(ListChange, time.Time) {
			published++
			assert.Assert(t, !r.HasSynced())
		},
	})
	r.Replace([]provider.Entry{stateEntry("e1", provider.HostLive)}, provider.Period{}, time.Now())
	assert.Equal(t, published, 1)
	assert.Assert(t, r.HasSynced())
}

// An endpoint stays listed for part of its drain time after its entry is removed, and
// a suspension of the host counts towards that time.
func TestSuspensionCountsTowardsRemoval(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		suspended time.Duration
		isListed  bool
	}{"not suspended": {isListed: true}, "suspended": {suspended: time.Second}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := NewRegistrations(RegistrationsConfig{
				Prefix: "servers/", DrainTime: time.Second, OnChange: func(ListChange, time.Time) {}, Logger: hclog.NewNullLogger(),
				Decode: func(entry provider.Entry) (provider.Host, error) {
					return provider.Host{ID: "e1", Incarnation: "e1@1", State: provider.HostLive}, nil
				},
			})
			now := time.Now()
			r.Replace([]provider.Entry{{Key: "servers/e1", Revision: 1}}, period(now), now)
			r.Apply(provider.Change{Entry: provider.Entry{Key: "servers/e1", Revision: 2}, Deleted: true}, now)
			r.Resumed(test.suspended)
			r.Tick(now.Add(100 * time.Millisecond))
			assert.Equal(t, len(r.Hosts()) == 1, test.isListed)
		})
	}
}

// A process that has signaled in an answer that it is leaving keeps that state,
// whatever later entries state.
func TestLateEntryDoesNotReviveLeavingProcess(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	leaving := map[string]bool{}
	var state provider.HostState
	r := NewRegistrations(RegistrationsConfig{
		Prefix: "s/", Decode: decodeHost, DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(),
		IsLeaving: func(process driver.Process) bool { return leaving[process.Incarnation] },
		OnChange:  func(change ListChange, _ time.Time) { state = change.Hosts[0].State },
	})
	first := entryChange(t, 1000, 1, provider.HostLive)
	r.Apply(first, start)
	host, _ := r.Find("e1")
	leaving[host.Incarnation] = true
	r.Refresh("e1")
	assert.Equal(t, state, provider.HostLeaving)
	r.Apply(entryChange(t, 1000, 9, provider.HostLive), start)
	assert.Equal(t, state, provider.HostLeaving)
	assert.Equal(t, len(r.Registered()), 0)
	r.Apply(entryChange(t, 2000, 1, provider.HostLive), start)
	assert.Equal(t, state, provider.HostLive, "another process has taken over the id")
}

func TestRemovalAfterOutageIsNotTakenForLapse(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		removed     []string
		age, maxAge time.Duration
		at          time.Duration      // when the list is checked
		want        provider.HostState // of e1
	}{
		"one of four":                        {removed: []string{"e1"}, at: 1100 * time.Millisecond, want: ""},
		"one of four, perhaps long ago":      {removed: []string{"e1"}, maxAge: 5 * time.Second, want: ""},
		"two of four":                        {removed: []string{"e1", "e2"}, at: 1100 * time.Millisecond, want: provider.HostLive},
		"two of four, perhaps long ago":      {removed: []string{"e1", "e2"}, maxAge: 5 * time.Second, at: 1100 * time.Millisecond, want: provider.HostLive},
		"two of four, received by peers ago": {removed: []string{"e1", "e2"}, age: 3 * time.Second, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, published := newRegistrations(t, start.Add(-time.Minute))
			for _, id := range []string{"e3", "e4"} {
				r.Apply(provider.Change{Entry: stateEntry(id, provider.HostLive)}, start.Add(-time.Minute))
			}
			r.StoreRegained(start)
			for _, id := range test.removed {
				r.Apply(provider.Change{Entry: provider.Entry{Key: "s/" + id}, Deleted: true, Age: test.age, MaxAge: test.maxAge}, start)
			}
			r.Tick(start.Add(test.at))
			assert.Equal(t, (*published)["e1"], test.want)
		})
	}
}
