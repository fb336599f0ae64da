package scheduler

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// engines returns hosts of one application over three zones.
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

func letter(now time.Time) Work {
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
		"only endpoint":        {hosts: engines(1), want: "engine-0"},
		"leaving is avoided":   {hosts: leaving, want: "engine-1"},
		"excluded is avoided":  {hosts: engines(2), excluded: []string{"engine-0"}, want: "engine-1"},
		"no endpoint":          {refused: ReasonNoEndpoint},
		"all excluded":         {hosts: engines(1), excluded: []string{"engine-0"}, refused: ReasonNoEndpoint},
		"own zone goes first":  {hosts: engines(3), want: "engine-0"},
		"only leaving is left": {hosts: leaving[:1], refused: ReasonNoEndpoint},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, test.hosts)
			work := letter(*now)
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

// fill takes all that an engine is given at once.
func fill(t *testing.T, s *Scheduler, now time.Time) (grants []Grant) {
	t.Helper()
	for range 16 {
		work := letter(now)
		work.PromptTokens = 10
		grant, err := s.Acquire(t.Context(), work)
		assert.NilError(t, err)
		grants = append(grants, grant)
	}
	return grants
}

func waitForQueue(t *testing.T, s *Scheduler, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if got := len(s.queue("drafting").items); got != want {
			return poll.Continue("%d wait, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestAcquireWaitsForRoom(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, engines(1))
	grants := fill(t, s, *now)
	type answer struct {
		grant Grant
		err   error
	}
	answers := make(chan answer, 1)
	work := letter(*now)
	go func() {
		grant, err := s.Acquire(context.Background(), work)
		answers <- answer{grant, err}
	}()
	waitForQueue(t, s, 1)
	grants[0].Done(Abandoned{})
	got := <-answers
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
	fill(t, s, *now)
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 1)
	work := letter(*now)
	go func() {
		_, err := s.Acquire(ctx, work)
		errs <- err
	}()
	waitForQueue(t, s, 1)
	cancel()
	assert.ErrorIs(t, <-errs, context.Canceled)
	waitForQueue(t, s, 0)
}
