package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/scheduler/admitter"
	"github.com/endivemast/endivemast/internal/scheduler/returner"
)

// This file applies package returner: when callers that are refused in a shortage return,
// and how much of a rank's engine time is kept for them.

// maxDelayShare is the share of the remaining time up to which callers honour a delay.
const maxDelayShare = 1.0 / 3

// recordReturn counts a request of a caller that returns after a refusal.
func (s *Scheduler) recordReturn(w *waiter, now time.Time) {
	w.isReturn = s.returns.IsReturn(w.work.Class.Name, w.work.CallerTimeLeft, now)
	if w.isReturn && w.demand.seconds > 0 {
		s.demandMeter.RecordReturning(w.demand.key, w.demand.seconds, now)
	}
}

// ownDemand returns what this host's callers ask for, with the engine time that is promised
// to those that return soon.
func (s *Scheduler) ownDemand(now time.Time) aggregator.Snapshot {
	snapshot := s.demandMeter.Snapshot(now)
	for key, demand := range snapshot.Demands {
		if calendar := s.calendars[key]; calendar != nil {
			demand.Returning = min(max(demand.Returning, calendar.Due(now)), demand.Offered)
			snapshot.Demands[key] = demand
		}
	}
	return snapshot
}

// returnDelay returns when the caller of refused work returns: at a time with room for it
// while the fleet is short of capacity, else after the time of this host's backlog.
func (s *Scheduler) returnDelay(q *queue, w *waiter, cost, backlogDelay time.Duration, now time.Time) time.Duration {
	p := s.precedence(q.application)
	if !p.isShort || w.work.CallerTimeLeft <= 0 {
		return backlogDelay
	}
	key := aggregator.Key{Application: q.application, Rank: w.work.rank()}
	calendar := s.calendars[key]
	if calendar == nil {
		calendar = &returner.Calendar{}
		s.calendars[key] = calendar
	}
	left := w.work.CallerTimeLeft - now.Sub(w.work.Arrived)
	delay, isPromised := calendar.Book(cost.Seconds(), returner.Room{
		PerSecond: p.allotted[key.Rank] * s.table.Application(q.application).Summary.Portion,
		Earliest:  admitter.RetryAfter(q.items, s.capacity(q), 0),
		Latest:    time.Duration(float64(left) * maxDelayShare),
	}, s.rand.Float64(), now)
	if isPromised {
		p.counts[key.Rank].promised++
	}
	return max(delay, time.Millisecond)
}
