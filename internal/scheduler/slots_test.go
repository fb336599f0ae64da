package scheduler

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/ratelimiter"
)

// fakeLimiter limits all endpoints while rate is above 0. It has as many slots as set.
type fakeLimiter struct {
	mu        sync.Mutex
	rate      float64
	slots     int
	requested int
}

func (l *fakeLimiter) set(rate float64, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.slots, l.requested = rate, slots, 0
}

func (l *fakeLimiter) HasSlot(driver.Process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate == 0 || l.slots > 0
}

func (l *fakeLimiter) Take(driver.Process) (slot ratelimiter.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots--
	return slot
}

func (l *fakeLimiter) Renew(process driver.Process, _ *ratelimiter.Slot) bool {
	return l.HasSlot(process)
}

func (l *fakeLimiter) RequestSlots(_ driver.Process, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested = max(l.requested, count)
}

func (l *fakeLimiter) Limit(driver.Process) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate, l.rate > 0
}

func newLimitedScheduler(t *testing.T) (*Scheduler, *fakeLimiter) {
	t.Helper()
	l := &fakeLimiter{}
	s := New(Config{HostID: "entry-1", Zone: "lozenets", Seed: 7, Now: func() time.Time { return start }, Limiter: l})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	s.SetHosts(engines(2), start)
	return s, l
}

func TestWorkWaitsForASlot(t *testing.T) {
	t.Parallel()
	s, l := newLimitedScheduler(t)
	l.set(5, 0)
	granted := make(chan error, 1)
	waiting := sync.WaitGroup{}
	waiting.Go(func() {
		_, err := s.Acquire(t.Context(), newWork(start))
		granted <- err
	})
	waitForQueue(t, s, 1)
	assert.Equal(t, l.requested, 1)
	l.set(5, 1)
	s.NotifySlots(driver.Process{EndpointID: "engine-0", Incarnation: "another"}, start)
	waitForQueue(t, s, 1)
	s.NotifySlots(driver.Process{EndpointID: "engine-0", Incarnation: "1"}, start)
	waiting.Wait()
	assert.NilError(t, <-granted)
}

func TestGrantWithoutASlotIsNotAvailable(t *testing.T) {
	t.Parallel()
	s, l := newLimitedScheduler(t)
	grant, err := s.Acquire(t.Context(), newWork(start))
	assert.NilError(t, err)
	assert.Assert(t, grant.IsAvailable())
	l.set(5, 0)
	assert.Assert(t, !grant.IsAvailable())
	l.set(0, 0)
	assert.Assert(t, grant.IsAvailable())
}

// Work beyond the limits is refused immediately, not when its target has passed.
func TestWorkBeyondLimitsIsRefusedImmediately(t *testing.T) {
	t.Parallel()
	s, l := newLimitedScheduler(t)
	for range 5 {
		grant, err := s.Acquire(t.Context(), newWork(start))
		assert.NilError(t, err)
		grant.Done(Abandoned{})
	}
	l.set(2, 0) // two engines accept 4 requests per second, and the first-token target is 1 s
	s.Tick(start)
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	refused := 0
	var group sync.WaitGroup
	const count = 60
	for range count {
		group.Go(func() {
			_, err := s.Acquire(ctx, newWork(start))
			var refusal *RefusalError
			if errors.As(err, &refusal) {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		waiting := len(s.queueOf(&Work{Class: configurer.Class{Application: "drafting"}}).items)
		s.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		if waiting+refused == count && waiting <= 8 {
			return poll.Success()
		}
		return poll.Continue("%d queued, %d refused", waiting, refused)
	}, poll.WithDelay(time.Millisecond))
	cancel()
	group.Wait()
}
