package scheduler

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// engines returns engines of one application in three zones.
func engines(count int) []provider.Host {
	zones := []string{"lozenets", "nadezhda", "lyulin"}
	hosts := make([]provider.Host, count)
	for i := range hosts {
		hosts[i] = provider.Host{
			ID: fmt.Sprintf("engine-%d", i), Incarnation: "1", Kind: provider.HostEngine,
			Zone: zones[i%len(zones)], Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Application: "drafting", State: provider.HostLive,
		}
	}
	return hosts
}

func newScheduler(t testing.TB, hosts []provider.Host) (*Scheduler, *time.Time) {
	t.Helper()
	now := start
	s := New(Config{HostID: "entry-1", Zone: "lozenets", Seed: 7, Now: func() time.Time { return now }})
	s.SetHosts(hosts, now)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s, &now
}

func newWork(now time.Time) Work {
	return Work{
		Class: configurer.Class{
			Tenant: "vitosha", Name: "letters", Kind: configurer.KindGenerate, Application: "drafting",
			FirstTokenTargetMS: 1000, CompletionTargetMS: 20_000,
		},
		Arrived: now, PromptTokens: 500, MaxOutputTokens: 200,
	}
}

func TestAcquire(t *testing.T) {
	t.Parallel()
	leaving := engines(2)
	leaving[0].State = provider.HostLeaving
	tests := map[string]struct {
		hosts    []provider.Host
		excluded []string
		want     string
		refused  RefusalReason
	}{
		"single endpoint":              {hosts: engines(1), want: "engine-0"},
		"leaving endpoint is skipped":  {hosts: leaving, want: "engine-1"},
		"excluded endpoint is skipped": {hosts: engines(2), excluded: []string{"engine-0"}, want: "engine-1"},
		"no endpoint":                  {refused: ReasonNoEndpoint},
		"all endpoints excluded":       {hosts: engines(1), excluded: []string{"engine-0"}, refused: ReasonNoEndpoint},
		"own zone is preferred":        {hosts: engines(3), want: "engine-0"},
		"only a leaving endpoint":      {hosts: leaving[:1], refused: ReasonNoEndpoint},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, test.hosts)
			work := newWork(*now)
			work.Excluded = test.excluded
			grant, err := s.Acquire(t.Context(), work)
			if test.refused != "" {
				var refusal *RefusalError
				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Reason, test.refused)
				assert.Assert(t, refusal.RetryAfter > 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, grant.Target().EndpointID, test.want)
			assert.Equal(t, s.OwnLoad()[test.want].Requests, 1)
			grant.Done(Completed{End: driver.End{OutputTokens: 10}})
			grant.Done(Abandoned{})
			assert.Equal(t, len(s.OwnLoad()), 0)
		})
	}
}

// fillEngine acquires as many grants as an engine is given concurrently.
func fillEngine(t *testing.T, s *Scheduler, now time.Time) (grants []Grant) {
	t.Helper()
	for range 16 {
		work := newWork(now)
		work.PromptTokens = 10
		grant, err := s.Acquire(t.Context(), work)
		assert.NilError(t, err)
		grants = append(grants, grant)
	}
	return grants
}

func waitForQueue(t *testing.T, s *Scheduler, want int) {
	t.Helper()
	waitForVersionQueue(t, s, "", want)
}

// waitForVersionQueue waits for the length of the queue of one software version.
func waitForVersionQueue(t *testing.T, s *Scheduler, version string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if got := len(s.queueOf(&Work{Class: configurer.Class{Application: "drafting"}, SoftwareVersion: version}).items); got != want {
			return poll.Continue("%d queued, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestAcquireWaitsForCapacity(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(1))
	grants := fillEngine(t, s, *now)
	type answer struct {
		grant Grant
		err   error
	}
	answers := make(chan answer, 1)
	work := newWork(*now)
	var group errgroup.Group
	group.Go(func() error {
		grant, err := s.Acquire(context.Background(), work)
		answers <- answer{grant, err}
		return nil
	})
	waitForQueue(t, s, 1)
	grants[0].Done(Abandoned{})
	got := <-answers
	assert.NilError(t, group.Wait())
	assert.NilError(t, got.err)
	got.grant.Done(Abandoned{})
	for _, grant := range grants {
		grant.Done(Abandoned{})
	}
	assert.Equal(t, len(s.OwnLoad()), 0)
}

func TestAcquireEndsWithItsContext(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(1))
	fillEngine(t, s, *now)
	ctx, cancel := context.WithCancel(t.Context())
	work := newWork(*now)
	var group errgroup.Group
	group.Go(func() error {
		_, err := s.Acquire(ctx, work)
		return err
	})
	waitForQueue(t, s, 1)
	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
	waitForQueue(t, s, 0)
}

// Waiting work is refused by the next tick after its target has passed, and by Close.
func TestWaitingWorkIsRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		end  func(s *Scheduler, now time.Time)
		want RefusalReason
	}{
		"too late": {func(s *Scheduler, now time.Time) { s.Tick(now.Add(2 * time.Second)) }, ReasonTooLate},
		"closed":   {func(s *Scheduler, _ time.Time) { _ = s.Close() }, ReasonDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, engines(1))
			fillEngine(t, s, *now)
			work := newWork(*now)
			var group errgroup.Group
			group.Go(func() error {
				_, err := s.Acquire(context.Background(), work)
				return err
			})
			waitForQueue(t, s, 1)
			test.end(s, *now)
			var refusal *RefusalError
			assert.Assert(t, errors.As(group.Wait(), &refusal))
			assert.Equal(t, refusal.Reason, test.want)
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	}
}

func TestStartedWorkIsNotRefusedForLackOfCapacity(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]func(work *Work){
		"caller has tokens":           func(work *Work) { work.DeliveredTokens = 5 },
		"an endpoint may have run it": func(work *Work) { work.RetryUntil = start.Add(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, engines(1))
			fillEngine(t, s, *now)
			work := newWork(now.Add(-time.Hour)) // long after its targets
			begin(&work)
			grant, err := s.Acquire(t.Context(), work)
			assert.NilError(t, err)
			grant.Done(Abandoned{})
		})
	}
}

// A retry waits for an endpoint whose circuit breaker is open only if it may be probed
// before the retry's deadline.
func TestRetryIsRefusedIfEndpointIsBackTooLate(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		until     time.Duration // from now
		isRefused bool          // because the breaker stays open longer than until
	}{
		"endpoint is back in time":  {until: 10 * time.Second},
		"endpoint is back too late": {until: 50 * time.Millisecond, isRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, engines(1))
			s.MarkUnreachable("engine-0") // for 125 ms at least
			work := newWork(now.Add(-time.Hour))
			work.RetryUntil = now.Add(test.until)
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error {
				_, err := s.Acquire(ctx, work)
				return err
			})
			if !test.isRefused {
				waitForQueue(t, s, 1)
				cancel()
				assert.ErrorIs(t, group.Wait(), context.Canceled)
				return
			}
			defer cancel()
			var refusal *RefusalError
			assert.Assert(t, errors.As(group.Wait(), &refusal))
			assert.Equal(t, refusal.Reason, ReasonNoEndpoint)
		})
	}
}

// If the circuit breaker of the only endpoint stays open until after the retry's deadline,
// but the endpoint is reachable, the retry is sent as an early probe while new work is
// refused. A failed early probe does not extend the time for which the breaker is open.
func TestRetryProbesEndpointThatDidNotAnswer(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(1))
	noAnswer := Failed{Err: driver.ErrOutcomeUnknown}
	for range 2 { // failures that open the circuit breaker
		grant, err := s.Acquire(t.Context(), newWork(*now))
		assert.NilError(t, err)
		grant.Done(noAnswer)
	}
	until := s.table.Endpoints["engine-0"].Breaker.OpenUntil
	retry := newWork(now.Add(-time.Hour))
	retry.RetryUntil = now.Add(50 * time.Millisecond)
	for range 3 {
		grant, err := s.Acquire(t.Context(), retry)
		assert.NilError(t, err)
		_, err = s.Acquire(t.Context(), newWork(now.Add(-time.Hour)))
		var refusal *RefusalError
		assert.Assert(t, errors.As(err, &refusal), "new work: %v", err)
		grant.Done(noAnswer)
		assert.Equal(t, s.table.Endpoints["engine-0"].Breaker.OpenUntil, until)
	}
	grant, err := s.Acquire(t.Context(), retry)
	assert.NilError(t, err)
	grant.TokenReceived()
	grant.Done(Completed{})
	assert.Assert(t, !s.table.Endpoints["engine-0"].Breaker.IsOpen(), "a successful early probe closes the circuit breaker")
}

// One failure to reach an endpoint opens its circuit breaker; a single probe follows, and
// its first token closes the breaker.
func TestFailedEndpointIsProbedOnce(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(1))
	acquire := func() (Grant, error) { return s.Acquire(t.Context(), newWork(*now)) }
	first, err := acquire()
	assert.NilError(t, err)
	second, err := acquire()
	assert.NilError(t, err)
	first.Done(Failed{Err: driver.ErrNotSent})
	second.Done(Failed{Err: driver.ErrNotSent})
	work := newWork(now.Add(-time.Hour))
	_, err = s.Acquire(t.Context(), work)
	var refusal *RefusalError
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, ReasonNoEndpoint)
	*now = now.Add(400 * time.Millisecond) // one backoff with maximum jitter, not two
	probe, err := acquire()
	assert.NilError(t, err)
	_, err = s.Acquire(t.Context(), work)
	assert.Assert(t, errors.As(err, &refusal))
	probe.TokenReceived()
	other, err := acquire()
	assert.NilError(t, err)
	probe.Done(Completed{End: driver.End{OutputTokens: 1}})
	other.Done(Abandoned{})
}

// Whatever the use of grants, the order of their ends and the number of calls of Done, no
// load remains and none is ever negative.
func TestDoneRestoresTheLoad(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		s := New(Config{Zone: "lozenets", Seed: 1, Policy: Policy{Admission: AdmitAll}, Now: func() time.Time { return now }})
		s.SetHosts(engines(4), now)
		roles := []driver.Role{driver.RoleMixed, driver.RolePrefill, driver.RoleDecode, driver.RoleMixed}
		for i, role := range roles {
			s.SetReport(fmt.Sprintf("engine-%d", i), driver.Report{Role: role}, now)
		}
		s.Tick(now)
		var grants []Grant
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			// The work is late, so that it is refused instead of waiting for the probe
			// of an endpoint: nothing in this test could end the wait.
			if grant, err := s.Acquire(t.Context(), newWork(now.Add(-time.Hour))); err == nil {
				grants = append(grants, grant)
			}
			if len(grants) == 0 {
				continue
			}
			grant := grants[rapid.IntRange(0, len(grants)-1).Draw(rt, "grant")]
			switch rapid.IntRange(0, 6).Draw(rt, "use") {
			case 0:
				grant.Done(Completed{End: driver.End{OutputTokens: 20, PromptTokens: 400}})
			case 1:
				grant.Done(Abandoned{})
			case 2:
				grant.Done(Failed{Err: driver.ErrOutcomeUnknown})
			case 3:
				grant.PrefillDone(nil)
			case 4:
				grant.PrefillDone(driver.ErrFailed)
			case 5:
				grant.TokenReceived()
			default:
				s.Tick(now)
			}
			for _, load := range s.OwnLoad() {
				assert.Assert(rt, load.Requests >= 0 && load.PrefillTokens >= 0 && load.DecodeTokens >= 0)
			}
		}
		for _, grant := range grants {
			grant.Done(Abandoned{})
		}
		assert.Equal(rt, len(s.OwnLoad()), 0)
		assert.Equal(rt, len(s.grants), 0)
	})
}

func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			s, now := newScheduler(b, engines(count))
			work := newWork(*now)
			b.ReportAllocs()
			for b.Loop() {
				grant, err := s.Acquire(b.Context(), work)
				assert.NilError(b, err)
				grant.TokenReceived()
				grant.Done(Completed{End: driver.End{OutputTokens: 50, PromptTokens: 500}})
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, count := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, now := newScheduler(b, engines(count))
			for i := range count {
				s.SetReport(fmt.Sprintf("engine-%d", i), driver.Report{RunningRequests: 3}, *now)
			}
			s.Tick(*now)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				*now = now.Add(100 * time.Millisecond)
				s.Tick(*now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/endpoint")
		})
	}
}

func BenchmarkOwnLoad(b *testing.B) {
	for _, count := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			s, now := newScheduler(b, engines(count))
			_, err := s.Acquire(b.Context(), newWork(*now))
			assert.NilError(b, err)
			for b.Loop() {
				assert.Equal(b, len(s.OwnLoad()), 1)
			}
		})
	}
}
