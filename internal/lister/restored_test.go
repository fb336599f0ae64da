package lister

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// at returns a change at a revision.
func at(change provider.Change, revision int64) provider.Change {
	change.Entry.Revision = revision
	return change
}

// An entry that was removed before the store came back from an older copy with it is not
// used as if its endpoint had registered again.
func TestRestoredEntryOfRemovedEndpointIsHeld(t *testing.T) {
	t.Parallel()
	const live, leaving = provider.HostLive, provider.HostLeaving
	tombstone := provider.Change{Entry: provider.Entry{Key: "s/e1"}, Deleted: true}
	for name, test := range map[string]struct {
		last     provider.Change
		isGone   bool // the entry is removed in the first era
		restored []provider.Change
		then     []provider.Change // later changes
		want     provider.HostState
		wantHeld provider.HostState // after restoredEntryHold
	}{
		"removed, same report": {
			last: entryChange(t, 1000, 9, live), isGone: true, restored: []provider.Change{entryChange(t, 1000, 9, live)}, wantHeld: live,
		},
		"removed, earlier report": {
			last: entryChange(t, 1000, 9, live), isGone: true, restored: []provider.Change{entryChange(t, 1000, 8, live)}, wantHeld: live,
		},
		"removed, same report, removed again": {
			last: entryChange(t, 1000, 9, live), isGone: true, restored: []provider.Change{entryChange(t, 1000, 9, live)},
			then: []provider.Change{tombstone},
		},
		"removed, same report, then a later one": {
			last: entryChange(t, 1000, 9, live), isGone: true, restored: []provider.Change{entryChange(t, 1000, 9, live)},
			then: []provider.Change{entryChange(t, 1000, 10, live)}, want: live, wantHeld: live,
		},
		"removed, later start": {
			last: entryChange(t, 1000, 9, live), isGone: true, restored: []provider.Change{entryChange(t, 2000, 1, live)}, want: live, wantHeld: live,
		},
		"removed while leaving, earlier report": {
			last: entryChange(t, 1000, 9, leaving), isGone: true, restored: []provider.Change{entryChange(t, 1000, 8, live)},
		},
		"leaving, earlier report": {
			last: entryChange(t, 1000, 9, leaving), restored: []provider.Change{entryChange(t, 1000, 8, live)}, want: leaving, wantHeld: leaving,
		},
		"not in the copy, written again": {
			last: entryChange(t, 1000, 9, live), then: []provider.Change{entryChange(t, 1000, 9, live)}, want: live, wantHeld: live,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states := map[string]provider.HostState{}
			r := NewRegistrations(RegistrationsConfig{
				Prefix: "s/", Decode: decodeHost, DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(),
				OnChange: func(change ListChange, _ time.Time) { applyChange(states, change) },
			})
			now := time.Now()
			r.Replace([]provider.Entry{at(test.last, provider.Revision(1, 10)).Entry}, period(now), now)
			if test.isGone {
				r.Apply(at(tombstone, provider.Revision(1, 20)), now)
				now = now.Add(10 * time.Second)
				r.Tick(now)
				assert.Equal(t, len(states), 0)
			}
			r.StoreRestored(2, now)
			var entries []provider.Entry
			for _, change := range test.restored {
				entries = append(entries, at(change, provider.Revision(2, 10)).Entry)
			}
			r.Replace(entries, period(now), now)
			for _, change := range test.then {
				r.Apply(at(change, provider.Revision(2, 20)), now)
			}
			r.Tick(now.Add(time.Millisecond))
			assert.Equal(t, states["e1"], test.want)
			r.Tick(now.Add(restoredEntryHold + time.Millisecond))
			assert.Equal(t, states["e1"], test.wantHeld)
		})
	}
}

// TestHeldEntryIsReported guards against software versions that other hosts use and this one does not know of while it holds an entry.
func TestHeldEntryIsReported(t *testing.T) {
	t.Parallel()
	var last ListChange
	r := NewRegistrations(RegistrationsConfig{
		Prefix: "s/", Decode: decodeHost, DrainTime: 2 * time.Second, Logger: hclog.NewNullLogger(),
		OnChange: func(change ListChange, _ time.Time) { last = change },
	})
	now, tombstone := time.Now(), provider.Change{Entry: provider.Entry{Key: "s/e1"}, Deleted: true}
	entry := func(revision int64) provider.Change { return at(entryChange(t, 1000, 9, provider.HostLive), revision) }
	r.Replace([]provider.Entry{entry(provider.Revision(1, 10)).Entry}, period(now), now)
	r.Apply(at(tombstone, provider.Revision(1, 20)), now)
	now = now.Add(10 * time.Second)
	r.Tick(now)
	r.StoreRestored(2, now)
	r.Replace([]provider.Entry{entry(provider.Revision(2, 10)).Entry}, period(now), now)
	assert.Equal(t, len(last.Hosts), 0)
	assert.Equal(t, len(last.Held), 1)
	r.Apply(entry(provider.Revision(2, 11)), now)
	assert.Equal(t, len(last.Held), 1)
	r.Apply(at(tombstone, provider.Revision(2, 20)), now)
	assert.Equal(t, len(last.Held), 0)
	r.Replace([]provider.Entry{entry(provider.Revision(2, 30)).Entry}, period(now), now)
	assert.Equal(t, len(last.Held), 1)
	r.Tick(now.Add(restoredEntryHold))
	assert.Equal(t, len(last.Held), 0)
	assert.Equal(t, len(last.Hosts), 1)
}
