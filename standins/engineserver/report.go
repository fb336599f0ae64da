package engineserver

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// snapshotsPerLag is how many load snapshots are kept for the time that reports lag.
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

// Stats are the engine's counts since its start, and its load as it is now.
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
	ResumeMismatches int64          `json:"resume_mismatches"` // resumed behind tokens that are not the answer's
	RoleChanges      int64          `json:"role_changes"`
	ModelLoads       int64          `json:"model_loads"`
	OrderConflicts   int64          `json:"order_conflicts"`
	Attempts         map[string]int `json:"attempts"` // how often each attempt id came
}

// changed notes the load after a change, for the reports that lag behind it.
// Changes that follow closely share one snapshot.
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

// load is the load as it is now. The engine does not know how long an answer
// will be, so that the decode backlog counts each as long as it may get.
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

// reported is the load that a report at a moment shows.
func (s *Server) reported(now time.Time) load {
	shown := s.loads[0]
	for _, l := range s.loads {
		if now.Sub(l.at) >= s.cfg.ReportLag {
			shown = l
		}
	}
	return shown
}

// Report is the engine's report with the cache events behind a sequence. Its
// load and cache figures lag; what the engine is, and its orders, do not.
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

// Stats returns the engine's counts.
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
