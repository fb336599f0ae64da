package historian

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/streamkeeper"
)

// memoryStore holds one key.
type memoryStore struct {
	provider.Store

	entry    provider.Entry
	getErr   error
	swapErr  error // after the write
	reads    int
	writes   int
	conflict *streamkeeper.History // another host writes it before the next write
}

func (s *memoryStore) Get(context.Context, string) (provider.Entry, error) {
	s.reads++
	if s.getErr == nil && s.entry.Revision == 0 {
		return provider.Entry{}, provider.ErrNotFound
	}
	return s.entry, s.getErr
}

func (s *memoryStore) Swap(_ context.Context, write provider.Write) (entry provider.Entry, err error) {
	s.writes++
	if s.conflict != nil {
		s.put(s.conflict)
		s.conflict = nil
	}
	if write.IfRevision != s.entry.Revision {
		return entry, provider.ErrConflict
	}
	if len(write.Value) > provider.MaxValueBytes {
		return entry, provider.ErrUnavailable
	}
	s.entry.Value = write.Value
	s.entry.Revision++
	entry, err = s.entry, s.swapErr
	s.swapErr = nil
	return entry, err
}

func (s *memoryStore) put(history *streamkeeper.History) {
	s.entry.Value, _ = json.Marshal(history) // maps of strings
	s.entry.Revision++
}

// listKeeper merges each history into one.
type listKeeper struct {
	known streamkeeper.History
	set   int
}

func (k *listKeeper) History() streamkeeper.History { return k.known }

func (k *listKeeper) SetHistory(history *streamkeeper.History) {
	k.set++
	if history != nil {
		k.known = merged(k.known, *history)
	}
}

// merged returns both histories of one class and one application, without order or repetitions in tests.
func merged(first, second streamkeeper.History) streamkeeper.History {
	versions := first.Versions["llm"]
	for _, version := range second.Versions["llm"] {
		isKnown := false
		for _, known := range versions {
			isKnown = isKnown || known == version
		}
		if !isKnown {
			versions = append(versions, version)
		}
	}
	return historyOf(versions...)
}

func historyOf(versions ...string) streamkeeper.History {
	return streamkeeper.History{Classes: map[string][]string{"letters": {"llm"}}, Versions: map[string][]string{"llm": versions}}
}

func TestHistorian(t *testing.T) {
	t.Parallel()
	v1, v12, v2 := historyOf("v1"), historyOf("v1", "v2"), historyOf("v2")
	for name, test := range map[string]struct {
		stored  *streamkeeper.History // nil: no entry
		known   streamkeeper.History
		isOther bool // another host writes
		arrange func(s *memoryStore)
		want    *streamkeeper.History // in the store
		writes  int
		set     int // histories that the keeper got
	}{
		"nothing is kept":             {known: v1, want: &v1, writes: 1, set: 1},
		"nothing has changed":         {stored: &v1, known: v1, want: &v1, set: 1},
		"a version is new":            {stored: &v1, known: v2, want: &v12, writes: 1, set: 1},
		"another host writes":         {stored: &v1, known: v2, isOther: true, want: &v1, set: 1},
		"endpoints are not known yet": {stored: nil, known: streamkeeper.History{Classes: v1.Classes}, set: 1},
		"another host was first":      {known: v1, arrange: func(s *memoryStore) { s.conflict = &v2 }, want: &v12, writes: 2, set: 2},
		"outcome unknown":             {known: v1, arrange: func(s *memoryStore) { s.swapErr = provider.ErrOutcomeUnknown }, want: &v1, writes: 1, set: 2},
		"store is down":               {stored: &v1, known: v2, arrange: func(s *memoryStore) { s.getErr = provider.ErrUnavailable }, want: &v1},
		"entry is null":               {stored: &v1, known: v2, arrange: func(s *memoryStore) { s.entry.Value = []byte("null") }, want: &v2, writes: 1},
		"entry is empty":              {stored: &v1, known: v2, arrange: func(s *memoryStore) { s.entry.Value = []byte("{}") }, want: &v2, writes: 1},
		"entry has no versions":       {stored: &v1, known: v2, arrange: func(s *memoryStore) { s.entry.Value = []byte(`{"classes":{"letters":["llm"]}}`) }, want: &v2, writes: 1},
		"entry can't be decoded":      {stored: &v1, known: v2, arrange: func(s *memoryStore) { s.entry.Value = []byte("{") }, want: &v2, writes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store, keeper := &memoryStore{}, &listKeeper{known: test.known}
				if test.stored != nil {
					store.put(test.stored)
				}
				if test.arrange != nil {
					test.arrange(store)
				}
				ctx, cancel := context.WithTimeout(t.Context(), reloadInterval/2)
				defer cancel()
				h := New(Config{Store: store, Keeper: keeper, IsWriter: func() bool { return !test.isOther }, Logger: hclog.NewNullLogger()})
				assert.NilError(t, h.Run(ctx))
				assert.Equal(t, store.writes, test.writes)
				assert.Equal(t, keeper.set, test.set)
				if test.want == nil {
					assert.Equal(t, store.entry.Revision, int64(0))
					return
				}
				var got streamkeeper.History
				assert.NilError(t, json.Unmarshal(store.entry.Value, &got))
				assert.DeepEqual(t, merged(*test.want, got), *test.want)
				assert.Equal(t, len(got.Versions["llm"]), len(test.want.Versions["llm"]))
			})
		})
	}
}

// A store that comes back from an older copy has lost what was written since.
func TestEntryIsWrittenAgainAfterItIsLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store, keeper := &memoryStore{}, &listKeeper{known: historyOf("v1", "v2")}
		ctx, cancel := context.WithTimeout(t.Context(), 3*reloadInterval)
		defer cancel()
		time.AfterFunc(reloadInterval/2, func() { store.entry = provider.Entry{} })
		h := New(Config{Store: store, Keeper: keeper, IsWriter: func() bool { return true }, Logger: hclog.NewNullLogger()})
		assert.NilError(t, h.Run(ctx))
		assert.Equal(t, store.writes, 2)
		assert.Equal(t, store.entry.Revision, int64(1))
	})
}

// Guards against hosts that start with an earlier history because the store refuses a longer one.
func TestHistoryThatExceedsTheStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var versions []string
		for n := range 5000 {
			versions = append(versions, fmt.Sprintf("v%0256d", n))
		}
		earlier := historyOf("v1")
		store, keeper := &memoryStore{}, &listKeeper{known: historyOf(versions...)}
		store.put(&earlier)
		ctx, cancel := context.WithTimeout(t.Context(), 3*reloadInterval)
		defer cancel()
		h := New(Config{Store: store, Keeper: keeper, IsWriter: func() bool { return true }, Logger: hclog.NewNullLogger()})
		assert.NilError(t, h.Run(ctx))
		assert.Assert(t, store.writes <= 4, "%d writes", store.writes)
		started := &listKeeper{}
		next := New(Config{Store: store, Keeper: started, IsWriter: func() bool { return false }, Logger: hclog.NewNullLogger()})
		assert.Assert(t, next.load(t.Context()) != nil)
		assert.Equal(t, started.set, 0)
	})
}
