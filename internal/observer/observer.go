// Package observer keeps the signals that endpoints send in their answers: their rate
// limit, that they are leaving, and for how long they want no requests from this host.
//
// A signal belongs to one process of an endpoint and ends with it. A process that is
// leaving stays so. A limit holds until a later answer changes or omits it; see
// limitReport.mergeReport for which of two answers is the later one.
//
// # Usage
//
//	o := observer.New(observer.Config{Clock: clock.Now, ...})
//	drv.SetObserver(o.Observe)
//	ex, err := exchanger.New(exchanger.Config{Signals: o, ...}, local)
//	states := o.States()
package observer

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
)

const (
	// maxProcesses bounds the processes with a record, at some 200 bytes each.
	maxProcesses = 4096
	// processRetention is how long the record of an unlisted process is kept after its last
	// signal. A late write may list the process again meanwhile.
	processRetention = 10 * time.Minute
	// minLogInterval is the minimum time between two log lines of one kind about a process.
	// Its signals may change with each answer.
	minLogInterval = time.Second
	// maxLoggedUpdates is how many updates are kept for peers; one that is further behind is
	// sent all records.
	maxLoggedUpdates = 1024
)

// Config configures an Observer.
type Config struct {
	// Clock returns a time that advances while the host is suspended.
	Clock func() time.Time
	Meter Meter
	// OnLimitChange is called for each change of a process's limit, in order. It must not
	// block, nor call the Observer.
	OnLimitChange func(process driver.Process, limit driver.Limit)
	// OnSlowdown is called with each slowdown that a process reports, in percent; nil: not
	// called. It may call the Observer.
	OnSlowdown func(process driver.Process, percent int)
	// IsListed is true for a process that the platform lists. Its record is kept for as long
	// as it is listed.
	IsListed func(process driver.Process) bool
	// OnLeaving is called with the endpoint ids of processes that have signaled that they are
	// leaving. It may call the Observer.
	OnLeaving func(endpointIDs ...string)
	Logger    hclog.Logger
}

// Meter counts signals.
type Meter interface {
	CountSignal(signal string)
	CountMalformedSignal(signal string)
}

// State is what a process has signaled.
type State struct {
	Process      driver.Process
	Limit        driver.Limit
	IsLeaving    bool
	BackoffUntil time.Time            // for this host; zero: none was requested
	Load         *driver.EndpointLoad // nil: not reported
}

// Observer keeps the states. It is safe for concurrent use.
type Observer struct {
	cfg Config

	recordCount      atomic.Int64 // number of records
	latestBackoffEnd atomic.Int64 // Unix nanoseconds; 0: no backoff is in force

	mu      sync.Mutex
	records map[driver.Process]*record
	log     exchanger.UpdateLog[exchanger.SignalUpdate]
}

// record is a process's state with the times by which changes are ordered.
type record struct {
	limit        limitReport
	isLeaving    bool
	backoffUntil time.Time
	load         *driver.EndpointLoad
	reportedAt   time.Time // of the latest signal
	loggedAt     map[driver.Signal]time.Time
}

// New returns an Observer without records.
func New(cfg Config) *Observer {
	return &Observer{
		cfg: cfg, records: map[driver.Process]*record{}, log: exchanger.NewUpdateLog[exchanger.SignalUpdate](maxLoggedUpdates),
	}
}

// Observe records the signals of an answer.
func (o *Observer) Observe(observation driver.Observation) {
	signals := &observation.Signals
	if load := signals.Load; load != nil && load.SlowdownPercent != 0 && o.cfg.OnSlowdown != nil {
		o.cfg.OnSlowdown(observation.Process, load.SlowdownPercent)
	}
	hasSignal := signals.Limit.IsSet || signals.IsLeaving || signals.Backoff > 0
	if !hasSignal && len(signals.Malformed) == 0 && o.recordCount.Load() == 0 {
		return
	}
	o.count(signals)
	o.mu.Lock()
	startsLeaving := o.observeLocked(&observation, o.cfg.Clock())
	o.mu.Unlock()
	if startsLeaving {
		o.cfg.OnLeaving(observation.Process.EndpointID)
	}
}

// observeLocked returns true if it has become known that the process is leaving.
func (o *Observer) observeLocked(observation *driver.Observation, now time.Time) (startsLeaving bool) {
	signals := &observation.Signals
	r := o.records[observation.Process]
	if r == nil {
		if !signals.Limit.IsSet && !signals.IsLeaving && signals.Backoff == 0 {
			return false
		}
		r = o.addLocked(observation.Process, now)
	}
	r.reportedAt, r.load = now, signals.Load
	reportsLimit := signals.Limit.IsSet || !observation.IsControl && !slices.Contains(signals.Malformed, driver.SignalLimit)
	if reportsLimit {
		reported := limitReport{
			limit: signals.Limit, sentAt: now.Add(-observation.Took), receivedAt: now,
		}
		o.updateLimitLocked(observation.Process, r, reported, exchanger.ScopeOwn)
	}
	if signals.Backoff > 0 {
		o.extendBackoffLocked(observation.Process, r, now, signals.Backoff)
	}
	return signals.IsLeaving && o.setLeavingLocked(observation.Process, r, exchanger.ScopeOwn)
}

func (o *Observer) count(signals *driver.Signals) {
	for _, signal := range signals.Malformed {
		o.cfg.Meter.CountMalformedSignal(string(signal))
	}
	if signals.Limit.IsSet {
		o.cfg.Meter.CountSignal(string(driver.SignalLimit))
	}
	if signals.IsLeaving {
		o.cfg.Meter.CountSignal(string(driver.SignalLeaving))
	}
	if signals.Backoff > 0 {
		o.cfg.Meter.CountSignal(string(driver.SignalBackoff))
	}
}

// addLocked adds a record, and removes the one without a signal for longest if there are
// too many.
func (o *Observer) addLocked(process driver.Process, now time.Time) *record {
	if len(o.records) >= maxProcesses {
		var oldest driver.Process
		at := now
		for p, r := range o.records {
			if !r.reportedAt.After(at) {
				oldest, at = p, r.reportedAt
			}
		}
		o.removeLocked(oldest)
	}
	r := &record{reportedAt: now, loggedAt: map[driver.Signal]time.Time{}}
	o.records[process] = r
	o.recordCount.Store(int64(len(o.records)))
	return r
}

func (o *Observer) updateLimitLocked(process driver.Process, r *record, reported limitReport, origin exchanger.Scope) {
	before := r.limit.limit
	if !r.limit.mergeReport(reported) || r.limit.limit == before {
		return
	}
	o.cfg.OnLimitChange(process, r.limit.limit)
	o.log.Add(r.update(process), origin)
	if o.mayLogLocked(r, driver.SignalLimit, reported.receivedAt) || !r.limit.limit.IsSet {
		o.cfg.Logger.Info("endpoint rate limit changed", "endpoint_id", process.EndpointID, "incarnation", process.Incarnation,
			"limit_per_second", r.limit.limit.PerSecond, "is_limited", r.limit.limit.IsSet,
			"limit_before", before.PerSecond, "was_limited", before.IsSet, "by_peer", origin != exchanger.ScopeOwn)
	}
}

// setLeavingLocked returns true if this was not known.
func (o *Observer) setLeavingLocked(process driver.Process, r *record, origin exchanger.Scope) bool {
	if r.isLeaving {
		return false
	}
	r.isLeaving = true
	o.log.Add(r.update(process), origin)
	o.cfg.Logger.Info("endpoint signaled that it is leaving", "endpoint_id", process.EndpointID, "incarnation", process.Incarnation,
		"by_peer", origin != exchanger.ScopeOwn)
	return true
}

// BackoffRemaining returns for how much longer a process wants no requests from this host.
func (o *Observer) BackoffRemaining(process driver.Process) time.Duration {
	if o.latestBackoffEnd.Load() == 0 {
		return 0
	}
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.records[process]; r != nil {
		return max(r.backoffUntil.Sub(now), 0)
	}
	return 0
}

// IsLeaving is true for a process that has signaled that it is leaving.
func (o *Observer) IsLeaving(process driver.Process) bool {
	if o.recordCount.Load() == 0 {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.records[process]
	return r != nil && r.isLeaving
}

func (o *Observer) extendBackoffLocked(process driver.Process, r *record, now time.Time, backoff time.Duration) {
	until := now.Add(backoff)
	if !until.After(r.backoffUntil) {
		return
	}
	r.backoffUntil = until
	o.latestBackoffEnd.Store(max(o.latestBackoffEnd.Load(), until.UnixNano()))
	if o.mayLogLocked(r, driver.SignalBackoff, now) {
		o.cfg.Logger.Info("endpoint requested a backoff", "endpoint_id", process.EndpointID, "incarnation", process.Incarnation,
			"rest_ms", backoff.Milliseconds())
	}
}

// mayLogLocked limits the log lines about signals that change with each answer.
func (o *Observer) mayLogLocked(r *record, signal driver.Signal, now time.Time) bool {
	if now.Sub(r.loggedAt[signal]) < minLogInterval {
		return false
	}
	r.loggedAt[signal] = now
	return true
}

// Tick removes expired records. It has to be called several times a minute.
func (o *Observer) Tick() {
	listed := map[driver.Process]bool{}
	for _, state := range o.States() {
		listed[state.Process] = o.cfg.IsListed(state.Process) // called without the lock: it may call IsLeaving
	}
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.UnixNano() >= o.latestBackoffEnd.Load() {
		o.latestBackoffEnd.Store(0)
	}
	for process, r := range o.records {
		switch {
		case listed[process]:
			r.reportedAt = now
		case now.Sub(r.reportedAt) > processRetention && now.After(r.backoffUntil):
			o.removeLocked(process)
		}
	}
}

func (o *Observer) removeLocked(process driver.Process) {
	if o.records[process].limit.limit.IsSet {
		o.cfg.OnLimitChange(process, driver.Limit{})
	}
	delete(o.records, process)
	o.recordCount.Store(int64(len(o.records)))
}

// States returns the states of all processes that have sent a signal, by endpoint id.
func (o *Observer) States() []State {
	o.mu.Lock()
	defer o.mu.Unlock()
	states := make([]State, 0, len(o.records))
	for process, r := range o.records {
		states = append(states, State{
			Process: process, Limit: r.limit.limit, IsLeaving: r.isLeaving, BackoffUntil: r.backoffUntil, Load: r.load,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Process.EndpointID, b.Process.EndpointID) })
	return states
}
