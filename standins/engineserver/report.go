package engineserver

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// snapshotsPerLag is the number of load snapshots kept per ReportLag.
const snapshotsPerLag = 8

// load is the load at one moment.
type load struct {
	at             time.Time
	running        int
	waiting        int
	prefillBacklog int
	decodeBacklog  int
	cacheTokens    int
}

// Stats are the engine's counters since its start, and its current load.
type Stats struct {
	EndpointID       string         `json:"endpoint_id"`
	Incarnation      string         `json:"incarnation"`
	PrefillTokens    int64          `json:"prefill_tokens"` // computed
	DecodeTokens     int64          `json:"decode_tokens"`
	ReusedTokens     int64          `json:"reused_tokens"` // prompt tokens from the prefix cache
	ImportedTokens   int64          `json:"imported_tokens"`
	Running          int            `json:"running"`
	Waiting          int            `json:"waiting"`
	KVTokens         int            `json:"kv_tokens"` // in use
	Completed        int64          `json:"completed"`
	Cancelled        int64          `json:"cancelled"`
	Refused          int64          `json:"refused"`
	Exported         int64          `json:"exported"`
	Imported         int64          `json:"imported"`
	ImportsFailed    int64          `json:"imports_failed"`
	ResumeMismatches int64          `json:"resume_mismatches"` // resume tokens that are not the start of the answer
	RoleChanges      int64          `json:"role_changes"`
	ModelLoads       int64          `json:"model_loads"`
	OrderConflicts   int64          `json:"order_conflicts"`
	Attempts         map[string]int `json:"attempts"` // calls by attempt id
}

// changed records the load after a change for the delayed reports. Changes in
// quick succession share one snapshot.
func (s *Server) changed(now time.Time) {
	current := s.load(now)
	last := len(s.loads) - 1
	if last >= 0 && now.Sub(s.loads[last].at) < s.cfg.ReportLag/snapshotsPerLag {
		current.at = s.loads[last].at
		s.loads[last] = current
		return
	}
	s.loads = append(s.loads, current)
	for len(s.loads) > 1 && now.Sub(s.loads[1].at) >= s.cfg.ReportLag {
		s.loads = s.loads[1:]
	}
}

// load returns the current load. An engine does not know the length of an
// answer in advance, so the decode backlog counts the allowed maximum of each.
func (s *Server) load(now time.Time) load {
	l := load{at: now, running: len(s.running), waiting: len(s.waiting), cacheTokens: s.cache.used}
	for _, q := range s.running {
		l.prefillBacklog += q.prefillLeft
		l.decodeBacklog += q.decodeLeft()
	}
	for _, q := range s.waiting {
		l.prefillBacklog += q.prefillTokens(s.cache.peek(q.call.PrefixKey, q.prefix()))
		l.decodeBacklog += q.decodeLeft()
	}
	return l
}

func (q *sequence) decodeLeft() int {
	if q.work == workExport {
		return 0
	}
	return max(0, q.call.MaxOutputTokens-q.next)
}

// reported returns the load that a report at a given time states.
func (s *Server) reported(now time.Time) load {
	latest := s.loads[0]
	for _, l := range s.loads {
		if now.Sub(l.at) >= s.cfg.ReportLag {
			latest = l
		}
	}
	return latest
}

// Report returns the engine's report with the cache events after a sequence
// number. Load and cache events are delayed; state and orders are current.
func (s *Server) Report(cacheSequence int64) driver.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l := s.reported(now)
	events, next, lost := s.events.since(now, cacheSequence)
	report := driver.Report{
		EndpointID:      s.cfg.EndpointID,
		Incarnation:     s.incarnation,
		Application:     s.cfg.Application,
		Role:            s.role,
		Model:           s.model.Model,
		Version:         s.model.Version,
		Adapter:         s.model.Adapter,
		Draining:        s.draining || s.switching,
		Age:             s.cfg.ReportLag,
		RunningRequests: l.running,
		WaitingRequests: l.waiting,
		PrefillBacklog:  l.prefillBacklog,
		DecodeBacklog:   l.decodeBacklog,
		CacheTokens:     l.cacheTokens,
		CacheCapacity:   s.cfg.TimeModel.PrefixCacheTokens,
		CacheEvents:     events,
		CacheSequence:   next,
		CacheEventsLost: lost,
	}
	if s.cfg.ChecksFencing {
		report.Epoch = s.orders.highestEpoch
	}
	report.LastOrderID, report.LastOrderState = s.orders.last()
	return report
}

// Stats returns the engine's counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.EndpointID, stats.Incarnation = s.cfg.EndpointID, s.incarnation
	stats.Running, stats.Waiting, stats.KVTokens = len(s.running), len(s.waiting), s.kvUsed
	stats.OrderConflicts = s.orders.conflicts
	stats.Attempts = make(map[string]int, len(s.attempts))
	for id, n := range s.attempts {
		stats.Attempts[id] = n
	}
	return stats
}
