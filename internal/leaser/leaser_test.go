package leaser_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/etcdprovider"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/kvserver"
)

const (
	ttl = time.Second // minimum that the service grants
	// longTTL is for tests in which the authority must not expire, even on a slow
	// machine.
	longTTL = time.Minute
)

// store counts calls and injects faults into swaps of the zone's record.
type store struct {
	provider.Store
	reads, writes atomic.Int64

	mu     sync.Mutex
	faults []swapFault // for the next swaps of the record
}

type swapFault struct {
	err     error
	applied bool
}

func (s *store) Get(ctx context.Context, key string) (provider.Entry, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

func (s *store) Renew(ctx context.Context, lease provider.LeaseID) error {
	s.writes.Add(1)
	return s.Store.Renew(ctx, lease)
}

func (s *store) Swap(ctx context.Context, write provider.Write) (provider.Entry, error) {
	s.writes.Add(1)
	s.mu.Lock()
	var next swapFault
	if write.Key == leaser.RecordKey("zone") && len(s.faults) > 0 {
		next, s.faults = s.faults[0], s.faults[1:]
	}
	s.mu.Unlock()
	if next.err == nil || next.applied {
		if entry, err := s.Store.Swap(ctx, write); next.err == nil || err != nil {
			return entry, err
		}
	}
	return provider.Entry{}, next.err
}

func (s *store) injectFaults(faults ...swapFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func newStore(t testing.TB) *store {
	t.Helper()
	server, err := kvserver.New(kvserver.Config{})
	assert.NilError(t, err)
	assert.NilError(t, server.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	kv, err := etcdprovider.New(etcdprovider.Config{Endpoints: []string{"http://" + server.Address()}})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, kv.Close()) })
	return &store{Store: kv}
}

// startLeaser starts a leaser. freeze stops its Run and changes nothing else.
func startLeaser(t testing.TB, s *store, id string, now func() time.Time) (l *leaser.Leaser, freeze func()) {
	t.Helper()
	return startLeaserWithTTL(t, s, id, ttl, now)
}

func startLeaserWithTTL(t testing.TB, s *store, id string, ttl time.Duration, now func() time.Time) (l *leaser.Leaser, freeze func()) {
	t.Helper()
	l, err := leaser.New(leaser.Config{
		Zone: "zone", HostID: id, Incarnation: id, Store: s, TTL: ttl, PollInterval: ttl / 10, Now: now,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	freeze = func() { cancel(); _ = group.Wait() }
	t.Cleanup(func() { freeze(); assert.NilError(t, l.Close()) })
	return l, freeze
}

func awaitHolder(t testing.TB, l *leaser.Leaser) (authority leaser.Authority) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var ok bool
		if authority, ok = l.Holder(); ok {
			return poll.Success()
		}
		return poll.Continue("%+v", l.Status())
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
	return authority
}

// appendName appends a name to the list in the payload.
func appendName(l *leaser.Leaser, name string) (leaser.Record, error) {
	return l.Update(context.Background(), func(draft *leaser.Draft) (err error) {
		var names []string
		if len(draft.Payload) > 0 {
			err = json.Unmarshal(draft.Payload, &names)
		}
		draft.Epoch++
		if name != "" {
			draft.Payload, _ = json.Marshal(append(names, name))
		}
		return err
	})
}

func TestUpdateWithLostAnswers(t *testing.T) {
	t.Parallel()
	appliedUnanswered := swapFault{err: provider.ErrOutcomeUnknown, applied: true}
	notApplied := swapFault{err: provider.ErrOutcomeUnknown}
	unavailable := swapFault{err: provider.ErrUnavailable}
	tests := map[string]struct {
		faults      []swapFault
		err         error
		wantPayload string // payload after another update
	}{
		"answer lost, write applied": {faults: []swapFault{appliedUnanswered}, wantPayload: `["a","b"]`},
		"write lost":                 {faults: []swapFault{notApplied}, wantPayload: `["a","b"]`},
		"store down":                 {faults: []swapFault{unavailable}, err: provider.ErrUnavailable, wantPayload: `["b"]`},
		"applied, then store down: outcome unknown": {faults: []swapFault{appliedUnanswered, unavailable, unavailable}, err: provider.ErrOutcomeUnknown, wantPayload: `["a","b"]`},
		"not applied, then store down: not written": {faults: []swapFault{notApplied, unavailable, unavailable}, err: provider.ErrOutcomeUnknown, wantPayload: `["b"]`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStore(t)
			l, _ := startLeaserWithTTL(t, s, "a", longTTL, nil)
			awaitHolder(t, l)
			s.injectFaults(test.faults...)
			_, err := appendName(l, "a")
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			awaitHolder(t, l)
			record, err := appendName(l, "b")
			assert.NilError(t, err)
			assert.Equal(t, string(record.Payload), test.wantPayload)
		})
	}
}

func TestTakeOverFromFrozenHolder(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	var clock atomic.Int64 // clock of the frozen holder, which doesn't advance
	a, freeze := startLeaser(t, s, "a", func() time.Time { return time.Unix(0, clock.Load()) })
	first := awaitHolder(t, a)
	record, err := appendName(a, "a")
	assert.NilError(t, err)
	action, err := a.Begin(t.Context(), record.Epoch)
	assert.NilError(t, err)
	freeze()

	b, _ := startLeaser(t, s, "b", nil)
	second := awaitHolder(t, b)
	assert.Assert(t, second.Term > record.Epoch && record.Epoch > first.Term)
	inherited, _ := b.Record()
	assert.Equal(t, string(inherited.Payload), `["a"]`, "the payload must be carried over")

	_, holds := a.Holder()
	assert.Assert(t, holds, "with its clock stopped, it assumes that it holds the authority")
	_, err = appendName(a, "late")
	assert.ErrorIs(t, err, leaser.ErrNotHolder)
	assert.ErrorIs(t, action.Context().Err(), context.Canceled)
	assert.Assert(t, !a.Fence(second.Term-1), "the action is still running")
	action.Done()
	assert.Assert(t, a.Fence(second.Term-1))
	_, err = a.Begin(t.Context(), record.Epoch)
	assert.ErrorIs(t, err, leaser.ErrFenced)
}

func TestAuthorityExpires(t *testing.T) {
	t.Parallel()
	var now atomic.Int64
	l, freeze := startLeaser(t, newStore(t), "a", func() time.Time { return time.Unix(0, now.Load()) })
	awaitHolder(t, l)
	freeze()
	now.Store(int64(ttl - ttl/4))
	_, ok := l.Holder()
	assert.Assert(t, !ok)
	assert.Equal(t, l.Status().Phase, leaser.PhaseExpired)
	_, err := appendName(l, "a")
	assert.ErrorIs(t, err, leaser.ErrNotHolder)
}

// TestLeaseExpiresWhileHostIsSuspended checks that the default clock counts
// suspended time, so that a resumed host treats its lease as expired. A time with a
// monotonic clock reading would not count it.
func TestLeaseExpiresWhileHostIsSuspended(t *testing.T) {
	t.Parallel()
	l, _ := startLeaser(t, newStore(t), "a", nil)
	awaitHolder(t, l)
	until := l.Status().ValidUntil
	assert.Assert(t, !until.IsZero())
	assert.Equal(t, until, until.Round(0), "has a monotonic clock reading")
}

func TestStepDownWaitsForActions(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	a, _ := startLeaser(t, s, "a", nil)
	action, err := a.Begin(t.Context(), awaitHolder(t, a).Epoch)
	assert.NilError(t, err)
	short, cancel := context.WithTimeout(t.Context(), ttl/100)
	defer cancel()
	assert.ErrorIs(t, a.StepDown(short), context.DeadlineExceeded)
	_, err = s.Store.Get(t.Context(), leaser.LivenessKey("zone"))
	assert.NilError(t, err, "the lease must not be released while an action is running")
	action.Done()
	assert.NilError(t, a.StepDown(t.Context()))
	b, _ := startLeaser(t, s, "b", nil)
	awaitHolder(t, b)
	assert.Equal(t, a.Status().Phase, leaser.PhaseStopped)
}

// BenchmarkUpdate counts the calls to the key-value service for one update.
func BenchmarkUpdate(b *testing.B) {
	s := newStore(b)
	l, _ := startLeaser(b, s, "a", nil)
	awaitHolder(b, l)
	reads, writes := s.reads.Load(), s.writes.Load()
	for b.Loop() {
		_, err := appendName(l, "")
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(s.reads.Load()-reads)/float64(b.N), "reads/op")
	b.ReportMetric(float64(s.writes.Load()-writes)/float64(b.N), "writes/op")
}

func TestRunAfterCloseIsNoError(t *testing.T) {
	s := newStore(t)
	l, err := leaser.New(leaser.Config{Zone: "zone", HostID: "a", Incarnation: "a", Store: s})
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	assert.NilError(t, l.Run(t.Context()))
	assert.Equal(t, s.reads.Load()+s.writes.Load(), int64(0))
}

// BenchmarkIdleZone counts the calls of a holder and two candidates. One operation
// is one lease renewal.
func BenchmarkIdleZone(b *testing.B) {
	s := newStore(b)
	for _, id := range []string{"a", "b", "c"} {
		l, err := leaser.New(leaser.Config{Zone: "zone", HostID: id, Incarnation: id, Store: s})
		assert.NilError(b, err)
		var group errgroup.Group
		group.Go(func() error { return l.Run(b.Context()) })
		b.Cleanup(func() { assert.NilError(b, l.Close()) })
	}
	awaitWrites := func(n int64) {
		poll.WaitOn(b, func(poll.LogT) poll.Result {
			if s.writes.Load() >= n {
				return poll.Success()
			}
			return poll.Continue("%d writes", s.writes.Load())
		}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
	}
	awaitWrites(3) // liveness key, record and one renewal
	reads, writes := s.reads.Load(), s.writes.Load()
	b.ResetTimer()
	for i := range b.N {
		awaitWrites(writes + int64(i) + 1)
	}
	b.ReportMetric(float64(s.reads.Load()-reads)/b.Elapsed().Seconds(), "reads/s")
	b.ReportMetric(float64(s.writes.Load()-writes)/b.Elapsed().Seconds(), "writes/s")
}
