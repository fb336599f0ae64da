package dispatcher

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/scheduler"
)

const (
	// shortageHalfLife is the half-life of the counts of a shortage. Overload begins and ends
	// within a second.
	shortageHalfLife = time.Second
	// shortShare is the share of refused requests from which a host counts as short of capacity:
	// a peer's request would be refused about as often.
	shortShare = 0.05
	// minShortRefusals is the least decayed number of refusals: one refusal at an idle host
	// counts for a second.
	minShortRefusals = 0.5
	// minShortageTime is the shortest time between two changes, so that each is worth a log line
	// and an update to peers.
	minShortageTime = time.Second
)

// shortage measures how many requests of an application the scheduler refuses for lack of capacity.
type shortage struct {
	attempts, refused float64 // decayed counts
	at, changedAt     time.Time
	isShort           bool
}

// record counts an attempt, and whether it was refused.
func (s *shortage) record(isRefused bool, now time.Time) {
	s.decay(now)
	s.attempts++
	if isRefused {
		s.refused++
	}
}

func (s *shortage) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(s.at)) / float64(shortageHalfLife))
	s.attempts, s.refused, s.at = s.attempts*factor, s.refused*factor, now
}

// update reevaluates whether the host is short of capacity, and reports whether that has changed.
func (s *shortage) update(now time.Time) (hasChanged bool) {
	s.decay(now)
	isShort := s.refused >= minShortRefusals && s.refused >= shortShare*s.attempts
	if isShort == s.isShort || now.Sub(s.changedAt) < minShortageTime {
		return false
	}
	s.isShort, s.changedAt = isShort, now
	return true
}

// shortages are the shortages of all applications. It is safe for concurrent use.
type shortages struct {
	logger hclog.Logger
	now    func() time.Time

	mu    sync.Mutex
	items map[string]*shortage // by application
}

func newShortages(logger hclog.Logger, now func() time.Time) *shortages {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	return &shortages{logger: logger, now: now, items: map[string]*shortage{}}
}

// record counts an attempt that ended with err.
func (s *shortages) record(application string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[application]
	if item == nil {
		item = &shortage{}
		s.items[application] = item
	}
	item.record(showsShortage(err), s.now())
}

// short returns the applications for which the host is short of capacity, ordered by name.
func (s *shortages) short() (applications []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for application, item := range s.items {
		since := item.changedAt
		if item.update(now) {
			s.logger.Info("shortage of capacity changed", "application", application, "is_short", item.isShort,
				"attempts", math.Round(item.attempts), "refused", math.Round(item.refused), "previous_ms", sinceMS(since, now))
		}
		if item.isShort {
			applications = append(applications, application)
		}
	}
	slices.Sort(applications)
	return applications
}

// sinceMS returns the milliseconds since a time; -1: it is not set.
func sinceMS(since, now time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// isRefusedForCapacity reports whether the scheduler refused a request since the endpoints that
// this host reaches have too much work.
func isRefusedForCapacity(err error) bool {
	refusal := refusalOf(err)
	return refusal != nil && refusal.Reason == scheduler.ReasonOverload
}

// showsShortage reports whether a refusal shows that the endpoints have too much work. Work that is
// refused by precedence is not passed to peers, which have the same shares, but a host that refuses
// it has no capacity for the requests of peers either.
func showsShortage(err error) bool {
	refusal := refusalOf(err)
	return refusal != nil && (refusal.Reason == scheduler.ReasonOverload || refusal.Reason == scheduler.ReasonPrecedence)
}

// ShortOfCapacity returns the applications of which this host has recently refused requests for
// lack of capacity, ordered by name.
func (f *Forwarder) ShortOfCapacity() []string { return f.shortages.short() }
