package registrar

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// fakeStore grants and renews leases, and reports when.
type fakeStore struct {
	provider.Store
	renewals chan time.Time
	failures int // number of renewals at first that the store does not answer
}

func (s *fakeStore) Grant(context.Context, time.Duration) (provider.LeaseID, error) { return 1, nil }

func (s *fakeStore) Swap(_ context.Context, write provider.Write) (provider.Entry, error) {
	s.renewals <- time.Now()
	return provider.Entry{Key: write.Key}, nil
}

func (s *fakeStore) Renew(context.Context, provider.LeaseID) error {
	if s.failures > 0 {
		s.failures--
		return provider.ErrUnavailable
	}
	s.renewals <- time.Now()
	return nil
}
func (s *fakeStore) Revoke(context.Context, provider.LeaseID) error { return nil }

// A lease is renewed well before it expires, also if the store does not answer the first
// renewal, and not more often than twice in its TTL.
func TestLeaseIsRenewed(t *testing.T) {
	t.Parallel()
	for name, failures := range map[string]int{"answered": 0, "not answered at first": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const ttl = 3 * time.Second
			store := &fakeStore{renewals: make(chan time.Time, 16), failures: failures}
			r := New(Config{Store: store, TTL: ttl, Own: Host{HostID: "own"}, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return r.Run(ctx) })
			written := <-store.renewals
			for range 2 {
				renewed := <-store.renewals
				interval := renewed.Sub(written)
				assert.Assert(t, interval < ttl*9/10 && interval > ttl/2, "renewed after %v of %v", interval, ttl)
				written = renewed
			}
			cancel()
			assert.NilError(t, group.Wait())
			assert.NilError(t, r.Close())
		})
	}
}

// An invalid entry names no host and does not affect the others.
func TestInvalidEntries(t *testing.T) {
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
		"valid":                {value: encode(func(*Host) {}), want: 2},
		"not JSON":             {value: []byte("\xff"), want: 1},
		"wrong type":           {value: []byte(`{"host_id":7}`), want: 1},
		"empty":                {value: []byte(`{}`), want: 1},
		"another host's id":    {value: encode(func(host *Host) { host.HostID = "h9" }), want: 1},
		"no address":           {value: encode(func(host *Host) { host.Address = "" }), want: 1},
		"host name as address": {value: encode(func(host *Host) { host.Address = "h1:80" }), want: 1},
		"no zone":              {value: encode(func(host *Host) { host.Zone = "" }), want: 1},
		"no incarnation":       {value: encode(func(host *Host) { host.Incarnation = "" }), want: 1},
		"unknown field":        {value: []byte(`{"host_id":"h1","incarnation":"one","zone":"z","address":"127.0.0.1:80","x":[]}`), want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{Own: Host{HostID: "own"}, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
			second, err := json.Marshal(Host{HostID: "h2", Incarnation: "two", Zone: "z", Address: "127.0.0.1:81"})
			assert.NilError(t, err)
			r.Replace([]provider.Entry{
				{Key: Prefix + "h1", Value: encode(func(*Host) {})}, {Key: Prefix + "h2", Value: second},
			}, provider.Period{}, time.Now())
			assert.Equal(t, len(r.Peers()), 2)
			r.Apply(provider.Change{Entry: provider.Entry{Key: Prefix + "h1", Value: test.value}}, time.Now())
			assert.Equal(t, len(r.Peers()), test.want)
		})
	}
}

// The store may come back from a copy that holds the entry of this host's previous process.
func TestEntryOfPreviousProcessIsReplacedAtOnce(t *testing.T) {
	t.Parallel()
	own := Host{HostID: "own", Incarnation: "two", Zone: "z", Address: "127.0.0.1:80"}
	for name, test := range map[string]struct {
		incarnation string
		want        bool // the entry is checked at once
	}{"previous process": {"one", true}, "this process": {"two", false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{Own: own, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
			stored := own
			stored.Incarnation = test.incarnation
			value, err := json.Marshal(stored)
			assert.NilError(t, err)
			r.Replace([]provider.Entry{{Key: Prefix + "own", Value: value}}, provider.Period{}, time.Now())
			assert.Equal(t, len(r.renewNow) > 0, test.want)
		})
	}
}

// TestStartedHosts guards against taking a host that has run for long for one that has just started, and
// may know of no quarantine.
func TestStartedHosts(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		entry    string
		isListed bool // the entry is listed; otherwise it is a change
		want     bool
	}{
		"written at the start":           {entry: `{"host_id":"h","incarnation":"2","zone":"z","address":"127.0.0.1:1","uptime_ms":40}`, want: true},
		"written again":                  {entry: `{"host_id":"h","incarnation":"2","zone":"z","address":"127.0.0.1:1","uptime_ms":90000}`},
		"older build":                    {entry: `{"host_id":"h","incarnation":"2","zone":"z","address":"127.0.0.1:1"}`},
		"listed, so written before that": {entry: `{"host_id":"h","incarnation":"2","zone":"z","address":"127.0.0.1:1","uptime_ms":40}`, isListed: true},
		"not valid":                      {entry: `{"uptime_ms":40}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{Own: Host{HostID: "own"}, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
			entry := provider.Entry{Key: Prefix + "h", Value: []byte(test.entry)}
			if test.isListed {
				r.Replace([]provider.Entry{entry}, provider.Period{}, time.Time{})
			} else {
				r.Replace(nil, provider.Period{}, time.Time{})
				r.Apply(provider.Change{Entry: entry}, time.Time{})
			}
			assert.Equal(t, r.Started("h").Err() != nil, test.want)
		})
	}
}

// Guards against a panic for an entry whose key is shorter than the prefix.
func TestEntryOfAnotherKeyIsIgnored(t *testing.T) {
	t.Parallel()
	r := New(Config{Own: Host{HostID: "own"}, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
	for name, key := range map[string]string{"none": "", "short": "endive", "of another prefix": "endivemast/stream_history"} {
		t.Run(name, func(t *testing.T) {
			r.Replace([]provider.Entry{{Key: key, Value: []byte("{}")}}, provider.Period{}, time.Now())
			assert.Equal(t, len(r.Peers()), 0)
		})
	}
}

// Guards against a host that stays unlisted because another writer has replaced its entry.
func TestReplacedEntryIsWrittenAgain(t *testing.T) {
	t.Parallel()
	own := Host{HostID: "own", Incarnation: "one", Zone: "z", Address: "127.0.0.1:80"}
	for name, test := range map[string]struct {
		value  string
		writes int
	}{
		"nothing": {"", 2}, "null": {"null", 2}, "nested": {strings.Repeat("[", 20_000), 2}, "no address": {`{"host_id":"own","incarnation":"one","zone":"z"}`, 2},
		"another host's":  {`{"host_id":"h2","incarnation":"one","zone":"z","address":"127.0.0.1:80"}`, 2},
		"its own":         {`{"host_id":"own","incarnation":"one","zone":"z","address":"127.0.0.1:80"}`, 1},
		"a later process": {`{"host_id":"own","incarnation":"two","zone":"z","address":"127.0.0.1:80"}`, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{renewals: make(chan time.Time, 1000)}
				r := New(Config{Store: store, TTL: time.Minute, Own: own, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				time.AfterFunc(time.Second, func() {
					r.Apply(provider.Change{Entry: provider.Entry{Key: Prefix + "own", Value: []byte(test.value)}}, time.Now())
				})
				assert.NilError(t, r.Run(ctx))
				assert.Equal(t, len(store.renewals), test.writes)
			})
		})
	}
}

// Guards against calls of the store at the rate at which another writer replaces the entry.
func TestEntryReplacedAllTheTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{renewals: make(chan time.Time, 1000)}
		own := Host{HostID: "own", Incarnation: "one", Zone: "z", Address: "127.0.0.1:80"}
		r := New(Config{Store: store, TTL: time.Minute, Own: own, OnChange: func([]Host) {}, Logger: hclog.NewNullLogger()})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error { return r.Run(ctx) })
		for ctx.Err() == nil {
			r.Apply(provider.Change{Entry: provider.Entry{Key: Prefix + "own"}}, time.Now())
			time.Sleep(10 * time.Millisecond) // in the bubble's time
		}
		assert.NilError(t, group.Wait())
		assert.Assert(t, len(store.renewals) > 10 && len(store.renewals) <= 41, "%d writes", len(store.renewals))
	})
}
