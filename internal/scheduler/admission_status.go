package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/allocator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// AdmissionStatus is the admission of the work of one rank of an application.
type AdmissionStatus struct {
	Application string
	Rank        int
	Share       float64 // of the demand of all hosts' callers that may be admitted
	Admitted    uint64  // new requests of this host's callers, since its start
	Refused     uint64  // with ReasonPrecedence
	// RefusedReturns is the part of Refused whose callers had returned after a refusal, and
	// Promised the number of refused callers with a promised time of return.
	RefusedReturns, Promised uint64
}

// Admissions returns the admission by application and rank, for ranks that have had work.
func (s *Scheduler) Admissions() (statuses []AdmissionStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.precedences {
		for rank, count := range p.counts {
			if count == (admissionCount{}) {
				continue
			}
			statuses = append(statuses, AdmissionStatus{
				Application: name, Rank: rank, Share: p.shares[rank].All, Admitted: count.admitted, Refused: count.refused,
				RefusedReturns: count.refusedReturns, Promised: count.promised,
			})
		}
	}
	slices.SortFunc(statuses, func(a, b AdmissionStatus) int {
		if order := strings.Compare(a.Application, b.Application); order != 0 {
			return order
		}
		return a.Rank - b.Rank
	})
	return statuses
}

const (
	// shortageLogInterval bounds how often the begin of a shortage is logged for an
	// application.
	shortageLogInterval = 10 * time.Second
	// shortageEndDelay is how long all work has to be admitted before a shortage counts as
	// over.
	shortageEndDelay = time.Second
)

// shortageLog holds what was logged of an application's shortage.
type shortageLog struct {
	isLogged           bool // a begin without an end
	beganAt, lastShort time.Time
}

// logShortage logs when a shortage begins and ends.
func (s *Scheduler) logShortage(application *tracker.Application, p *precedence, ranks *[allocator.Ranks]allocator.Rank, now time.Time) {
	l := &p.log
	if p.isShort {
		l.lastShort = now
	}
	switch {
	case p.isShort && !l.isLogged && (l.beganAt.IsZero() || now.Sub(l.beganAt) >= shortageLogInterval):
		l.isLogged, l.beganAt = true, now
		args := []any{
			"application", application.Name, "capacity", p.capacity, "usable", application.Summary.Usable,
			"correction", p.correction.factor(), "knows_others", now.Sub(s.othersDemandAt) <= othersDemandTimeout,
		}
		s.logger.Info("capacity shortage begins", append(args, rankArgs(p, ranks)...)...)
	case l.isLogged && now.Sub(l.lastShort) >= shortageEndDelay:
		l.isLogged = false
		s.logger.Info("capacity shortage ends", "application", application.Name,
			"lasted_ms", l.lastShort.Sub(l.beganAt).Milliseconds(), "capacity", p.capacity, "usable", application.Summary.Usable)
	}
}

// rankArgs returns the demand and the share of each rank with demand, for the log.
func rankArgs(p *precedence, ranks *[allocator.Ranks]allocator.Rank) []any {
	demands, shares := map[int]float64{}, map[int]float64{}
	for rank := range ranks {
		if offered := ranks[rank].Demand.Offered; offered > 0 {
			demands[rank], shares[rank] = offered, p.shares[rank].All
		}
	}
	return []any{"demand", demands, "shares", shares}
}
