package follower

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// pollingStore answers polls while its watches deliver nothing.
type pollingStore struct {
	*fakeStore

	polls chan pollAnswer
}

type pollAnswer struct {
	changes  []provider.Change
	revision int64
	err      error
}

func (s *pollingStore) Poll(ctx context.Context, _ string, _ int64) ([]provider.Change, int64, error) {
	select {
	case answer := <-s.polls:
		return answer.changes, answer.revision, answer.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// TestSynchronizeWhileTheWatchIsBehind guards against a host that takes its state for current before the changes it missed are applied.
func TestSynchronizeWhileTheWatchIsBehind(t *testing.T) {
	t.Parallel()
	errPoll := errors.New("no answer")
	for name, test := range map[string]struct {
		answer  pollAnswer
		wantErr error
		has     bool // the change is applied
	}{
		"a change":          {answer: pollAnswer{changes: []provider.Change{{Entry: provider.Entry{Key: "b/1", Revision: 7}}}, revision: 9}, has: true},
		"no change":         {answer: pollAnswer{revision: 9}},
		"known already":     {answer: pollAnswer{revision: 5}},
		"the store fails":   {answer: pollAnswer{err: errPoll}, wantErr: errPoll},
		"history compacted": {answer: pollAnswer{err: provider.ErrCompacted}, wantErr: provider.ErrCompacted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &pollingStore{fakeStore: &fakeStore{revision: 5, watchSteps: make(chan watchStep)}, polls: make(chan pollAnswer, 1)}
			first, second := &recorder{}, &recorder{}
			f := New(Config{Store: store, Topics: []Topic{{Prefix: "a/", Sink: first}, {Prefix: "b/", Sink: second}}})
			keepRunning(t, f)
			await(t, "read", f.HasSynced)
			store.polls <- test.answer
			err := f.Synchronize(t.Context())
			assert.Assert(t, errors.Is(err, test.wantErr), "%v", err)
			assert.Equal(t, second.has("b/1", 7), test.has)
			if test.wantErr == nil {
				assert.Assert(t, f.knownRevision() >= test.answer.revision)
			}
		})
	}
}

// TestSynchronizeSharesPolls guards against a call that is answered by a poll of before it.
func TestSynchronizeSharesPolls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := &pollingStore{fakeStore: &fakeStore{revision: 5, watchSteps: make(chan watchStep)}, polls: make(chan pollAnswer)}
		f := New(Config{Store: store, Topics: []Topic{{Prefix: "a/", Sink: &recorder{}}, {Prefix: "b/", Sink: &recorder{}}}})
		keepRunning(t, f)
		synctest.Wait()
		results := make(chan error, 3)
		var group errgroup.Group
		call := func() error {
			results <- f.Synchronize(t.Context())
			return nil
		}
		group.Go(call)
		synctest.Wait() // its poll has begun
		group.Go(call)
		group.Go(call)
		synctest.Wait()
		store.polls <- pollAnswer{revision: 6}
		synctest.Wait()
		assert.NilError(t, <-results)
		assert.Equal(t, len(results), 0, "a poll of before the calls has answered them")
		store.polls <- pollAnswer{revision: 7}
		assert.NilError(t, group.Wait())
		assert.NilError(t, <-results)
		assert.NilError(t, <-results)
	})
}
