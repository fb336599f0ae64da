package etcdprovider_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivemast/endivemast/internal/etcdprovider"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/kvserver"
)

// TestSwapIsLinear has writers append their marks to one value by
// compare-and-swap while answers get lost, in schedules of one writer at a
// time and with all at once. Every mark that was confirmed, or found by reading
// back, is in the value once; every mark that was refused is not.
func TestSwapIsLinear(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rt, kvserver.Config{Seed: rapid.Uint64().Draw(rt, "seed")})
		f.fault(rt, kvserver.Faults{LoseProbability: rapid.Float64Range(0, 0.7).Draw(rt, "lose")})
		writers := rapid.IntRange(1, 4).Draw(rt, "writers")
		marks := rapid.IntRange(1, 6).Draw(rt, "marks")
		group, ctx := errgroup.WithContext(rt.Context())
		if rapid.Bool().Draw(rt, "serial") {
			group.SetLimit(1)
		}
		outcomes := make([]map[string]bool, writers)
		for writer := range writers {
			outcomes[writer] = map[string]bool{}
			group.Go(func() error {
				return appendMarks(ctx, f.store, writer, marks, outcomes[writer])
			})
		}
		if err := group.Wait(); err != nil {
			rt.Fatal(err)
		}
		f.fault(rt, kvserver.Faults{})
		entry, err := f.store.Get(rt.Context(), key)
		if err != nil && !errors.Is(err, provider.ErrNotFound) {
			rt.Fatal(err)
		}
		checkMarks(rt, string(entry.Value), outcomes)
	})
}

func checkMarks(rt *rapid.T, value string, outcomes []map[string]bool) {
	for _, written := range outcomes {
		for mark, want := range written {
			if got := strings.Count(value, mark); got > 1 || (got == 1) != want {
				rt.Fatalf("%s is %d times in %q, written: %v", mark, got, value, want)
			}
		}
	}
}

// appendMarks makes one attempt for each mark and notes whether it was written.
func appendMarks(
	ctx context.Context, store *etcdprovider.Provider, writer, marks int, written map[string]bool,
) error {
	for n := range marks {
		mark := fmt.Sprintf("<%d.%d>", writer, n)
		entry, err := store.Get(ctx, key)
		if err != nil && !errors.Is(err, provider.ErrNotFound) {
			return err
		}
		write := provider.Write{Key: key, Value: append(entry.Value, mark...), IfRevision: entry.Revision}
		swapped, err := store.Swap(ctx, write)
		switch {
		case err == nil:
			written[mark] = true
			if swapped.Revision <= entry.Revision {
				return fmt.Errorf("revision went from %d to %d", entry.Revision, swapped.Revision)
			}
		case errors.Is(err, provider.ErrConflict):
			written[mark] = false
		case errors.Is(err, provider.ErrOutcomeUnknown):
			// The call has ended at the server, which cut its connection: what a
			// read finds now stays so.
			now, err := store.Get(ctx, key)
			if err != nil && !errors.Is(err, provider.ErrNotFound) {
				return err
			}
			written[mark] = strings.Contains(string(now.Value), mark)
		default:
			return err
		}
	}
	return nil
}

// TestWatchDeliversEachRevisionOnce resumes a watch at random points of a
// random history: together its parts deliver every change once and in order.
func TestWatchDeliversEachRevisionOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rt, kvserver.Config{})
		var want []int64
		for n := range rapid.IntRange(1, 12).Draw(rt, "writes") {
			entry := f.must(rt, provider.Write{Key: fmt.Sprintf("watched/%d", n)})
			want = append(want, entry.Revision)
		}
		var got []int64
		from := int64(1)
		for len(got) < len(want) {
			watcher, err := f.store.Watch(rt.Context(), "watched/", from)
			assert.NilError(rt, err)
			for _, change := range <-watcher.Changes() {
				got = append(got, change.Entry.Revision)
				from = change.Entry.Revision + 1
				if rapid.Bool().Draw(rt, "break off") {
					break
				}
			}
			assert.NilError(rt, watcher.Close())
		}
		assert.DeepEqual(rt, got, want)
	})
}
