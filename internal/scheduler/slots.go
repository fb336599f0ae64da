package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/ratelimiter"
	"github.com/endivemast/endivemast/internal/scheduler/router"
)

// An endpoint that announces a request limit gets a request only while this host has a
// slot for it. Work without another endpoint waits in the queue for requested slots.

// Limiter provides the slots of limited endpoints; see package ratelimiter. It must not
// call the Scheduler.
type Limiter interface {
	// HasSlot reports whether a request may be sent to a process now.
	HasSlot(process driver.Process) bool
	Take(process driver.Process) ratelimiter.Slot
	// Renew reports whether a request may still be sent with a slot taken earlier.
	Renew(process driver.Process, slot *ratelimiter.Slot) bool
	// RequestSlots states how many requests wait for a process's slots.
	RequestSlots(process driver.Process, count int)
	// Limit returns how many requests per second a process accepts from all hosts; ok is
	// false if it announces no limit.
	Limit(process driver.Process) (rate float64, ok bool)
}

// unlimited is a Limiter for endpoints without limits.
type unlimited struct{}

func (unlimited) HasSlot(driver.Process) bool                  { return true }
func (unlimited) Take(driver.Process) (slot ratelimiter.Slot)  { return slot }
func (unlimited) Renew(driver.Process, *ratelimiter.Slot) bool { return true }
func (unlimited) RequestSlots(driver.Process, int)             {}
func (unlimited) Limit(driver.Process) (float64, bool)         { return 0, false }

// NotifySlots assigns new slots of a process to waiting work.
func (s *Scheduler) NotifySlots(process driver.Process, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := s.table.Endpoints[process.EndpointID]
	if endpoint != nil && endpoint.Target.Process() == process {
		s.dispatchWaiting(endpoint.Application, now)
	}
}

// requestSlots requests slots of the endpoints that were skipped for lack of one. If work
// waits, it requests as many as there are waiters. Otherwise it requests one now and then,
// so that a limited endpoint gets about its share of the requests and hosts detect the end
// of the limit.
func (s *Scheduler) requestSlots(q *queue, verdict *router.Verdict) {
	withoutSlot := verdict.WithoutSlot
	if len(withoutSlot) == 0 {
		return
	}
	if verdict.Kind == router.Chosen {
		if n := s.rand.IntN(s.table.Application(q.application).Len()); n < len(withoutSlot) {
			s.cfg.Limiter.RequestSlots(withoutSlot[n].Target.Process(), 1)
		}
		return
	}
	waiting := len(q.items) + 1
	perEndpoint := (waiting + len(withoutSlot) - 1) / len(withoutSlot)
	for _, endpoint := range withoutSlot {
		s.cfg.Limiter.RequestSlots(endpoint.Target.Process(), perEndpoint)
	}
}
