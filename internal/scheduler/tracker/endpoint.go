package tracker

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/smoother"
)

const (
	initialLimit = 16 // requests at one endpoint, until reports show a better limit
	minLimit     = 4
	maxLimit     = 512
	// markedLeavingHoldDuration is how long a report without draining cannot undo the
	// statement of a peer or an answer that the endpoint is leaving.
	markedLeavingHoldDuration = 3 * time.Second
	correctionHalfLife        = 2 * time.Second
)

// Endpoint is one engine or plain service.
type Endpoint struct {
	Target      driver.Target
	Zone        string
	Application string
	Kind        provider.HostKind
	Local       bool // in this host's zone

	ListEntry       ListEntry // version of the platform's entry for the endpoint
	Leaving         bool      // according to the platform; holds for the incarnation
	Listed          bool
	Draining        bool      // according to its report, or it changes its role or model
	MarkedLeavingAt time.Time // when an answer or a peer stated that it is leaving; zero: not stated
	ReplacedUntil   time.Time // another process has answered at its address; zero: none has
	Role            driver.Role
	Limit           int // requests in flight that it is given
	// Slowdown is the learned factor of the engine against the model of its application, at the
	// usual speed of its machine; above 1 is slower.
	Slowdown  float64
	Breaker   Breaker
	Unreached bool // this host's network path to it is broken
	SetAside  bool // it refuses the connections of several hosts
	Cache     Cache

	UsedAt      time.Time // when any host last had work there, as far as this host knows
	Own         Load
	Recent      Load // part of Own given since the last tick, which peers do not know of
	Peers       Load
	Correction  Load
	ReportedAt  time.Time // time that the last report describes; zero: no report
	CacheTokens int
	OrderState  driver.OrderState
	RoleSince   time.Time // when this host first observed the present role

	machine       smoother.Mean // of the values that it states
	machineFactor float64       // of machine at the last value or tick; 0: no value yet

	correctedAt  time.Time
	hadLongQueue bool         // many requests waited in the last report
	wasIdle      bool         // at any tick
	history      *loadHistory // nil: idle at each tick so far
}

// ListEntry is the version of the endpoint's last entry in the platform's list.
type ListEntry struct {
	Revision   int64 // of the platform's store; 0: unknown
	ReceivedAt time.Time
}

// Age returns the time since the entry was received.
func (l *ListEntry) Age(now time.Time) time.Duration { return now.Sub(l.ReceivedAt) }

// Total returns the load of the endpoint as far as this host knows it.
func (e *Endpoint) Total() Load {
	return e.Own.Plus(e.Peers).Plus(e.Correction).AtLeast(e.Own)
}

// AddLoad counts work that this host gives the endpoint.
func (e *Endpoint) AddLoad(load Load) {
	e.Own = e.Own.Plus(load)
	e.Recent = e.Recent.Plus(load)
}

// maxProjectedPeers limits the number of peers that are assumed to give as much
// work as this host: with hundreds of hosts, one request here says little about
// all others.
const maxProjectedPeers = 8

// ProjectedTotal returns the load with the work that peers have probably given
// since their last update: each as much as this host. Otherwise nine hosts that
// see the same last free slot would all take it.
func (e *Endpoint) ProjectedTotal(peers int) Load {
	load := e.Total()
	projectedPeers := min(peers, maxProjectedPeers)
	load.Requests += e.Recent.Requests * projectedPeers
	load.PrefillTokens += e.Recent.PrefillTokens * projectedPeers
	return load
}

// isIdle reports whether a tick would change nothing.
func (e *Endpoint) isIdle() bool {
	isIdle := e.history == nil && e.ReplacedUntil.IsZero() &&
		e.Own.IsZero() && e.Recent.IsZero() && e.Peers.IsZero() && e.Correction.IsZero()
	e.wasIdle = e.wasIdle || isIdle
	return isIdle
}

// recordLoad records the load, for comparison with reports that describe this
// moment. lastTick is the time of the previous tick.
func (e *Endpoint) recordLoad(lastTick, now time.Time) {
	if e.history == nil {
		e.history = &loadHistory{}
		if e.wasIdle {
			e.history.record(Load{}, lastTick)
		}
	}
	e.history.record(e.Own.Plus(e.Peers), now)
}

// TakesNewWork is false if the endpoint is not listed, is leaving or draining, or
// has been replaced.
func (e *Endpoint) TakesNewWork() bool {
	return e.Listed && !e.Leaving && !e.Draining && e.MarkedLeavingAt.IsZero() && e.ReplacedUntil.IsZero()
}

// IsCutOff reports whether this host gives the endpoint no work since connections to it fail.
func (e *Endpoint) IsCutOff() bool { return e.Unreached || e.SetAside }

// CanPrefill reports whether the role includes prefill.
func (e *Endpoint) CanPrefill() bool { return e.Role != driver.RoleDecode }

// CanDecode reports whether the role includes decode.
func (e *Endpoint) CanDecode() bool { return e.Role != driver.RolePrefill }

// setReport applies a report. The load known at the time that the report describes
// is subtracted from it, so that work counted already is not counted twice and
// work that began since is not lost.
func (e *Endpoint) setReport(report *driver.Report, now time.Time) {
	at := now.Add(-report.Age)
	if at.Before(e.ReportedAt) {
		return // an older report, delivered late
	}
	e.ReportedAt = at
	e.Breaker.ReportReceived(now)
	e.CacheTokens = report.CacheTokens
	e.setRole(report.Role, now)
	e.OrderState = report.LastOrderState
	e.Draining = report.Draining || report.LastOrderState == driver.OrderApplying
	if !e.Draining && !e.MarkedLeavingAt.IsZero() && at.Sub(e.MarkedLeavingAt) > markedLeavingHoldDuration {
		e.MarkedLeavingAt = time.Time{}
	}
	// An engine does not know the length of an answer and reports the longest possible
	// one. Its decode backlog is left out, as it cannot be compared with the expected
	// one.
	known := e.history.at(at, e.Own.Plus(e.Peers))
	reported := Load{
		Requests:      report.RunningRequests + report.WaitingRequests,
		PrefillTokens: report.PrefillBacklog,
		DecodeTokens:  known.DecodeTokens,
	}
	// Own work is counted exactly, so a negative correction may only reduce the part
	// of the peers.
	e.Correction = reported.Minus(known).AtLeast(Load{}.Minus(e.Peers))
	e.correctedAt = now
	e.learnLimit(report)
}

func (e *Endpoint) setRole(role driver.Role, now time.Time) {
	if role == "" {
		role = driver.RoleMixed
	}
	if role != e.Role || e.RoleSince.IsZero() {
		e.RoleSince = now
	}
	e.Role = role
}

// learnLimit adapts the limit so that the engine's queue stays short. Work then
// waits at this host, where it can still be reordered or sent to another engine. A
// few waiting requests are no sign of a full engine: all requests that arrived
// since its last step wait for the next one. The limit falls only if many wait in
// two successive reports.
func (e *Endpoint) learnLimit(report *driver.Report) {
	hadLongQueueBefore := e.hadLongQueue
	e.hadLongQueue = report.WaitingRequests > max(2, report.RunningRequests/8)
	step := max(1, e.Limit/8)
	switch {
	case e.hadLongQueue && hadLongQueueBefore:
		e.Limit = max(e.Limit-step, min(e.Limit, report.RunningRequests), minLimit)
	case !e.hadLongQueue && report.RunningRequests+report.WaitingRequests >= e.Limit-1:
		e.Limit = min(e.Limit+step, maxLimit)
	}
}

// replacedHoldDuration is how long an endpoint gets no work after another process
// has answered at its address. Its list entry disappears within a few heartbeats;
// the bound matters if the answer was wrong.
const replacedHoldDuration = 8 * time.Second

// MarkReplaced records that another process uses the endpoint's address.
func (e *Endpoint) MarkReplaced(now time.Time) { e.ReplacedUntil = now.Add(replacedHoldDuration) }

// decay ends an expired replacement mark, and halves the correction as its report
// ages.
func (e *Endpoint) decay(now time.Time) {
	if now.After(e.ReplacedUntil) {
		e.ReplacedUntil = time.Time{}
	}
	if e.Correction.IsZero() {
		return
	}
	for now.Sub(e.correctedAt) >= correctionHalfLife {
		e.Correction = e.Correction.scaled(0.5)
		e.correctedAt = e.correctedAt.Add(correctionHalfLife)
		if e.Correction.IsZero() {
			return
		}
	}
}

const (
	loadHistoryLength   = 8
	loadHistoryInterval = 100 * time.Millisecond
)

// loadHistory holds the recent loads of an endpoint, to compare a delayed report
// with the load known at its time.
type loadHistory struct {
	samples [loadHistoryLength]loadSample
	next    int8
	count   int8
}

type loadSample struct {
	at                        int64 // nanoseconds
	requests, prefill, decode int32
}

func (h *loadHistory) record(load Load, now time.Time) {
	sample := loadSample{
		at:       now.UnixNano(),
		requests: int32(load.Requests),
		prefill:  int32(load.PrefillTokens),
		decode:   int32(load.DecodeTokens),
	}
	if h.count > 0 {
		last := h.samples[(h.next+loadHistoryLength-1)%loadHistoryLength]
		isSame := last.requests == sample.requests && last.prefill == sample.prefill && last.decode == sample.decode
		if isSame || sample.at-last.at < int64(loadHistoryInterval) {
			return
		}
	}
	h.samples[h.next] = sample
	h.next = (h.next + 1) % loadHistoryLength
	h.count = min(h.count+1, loadHistoryLength)
}

// at returns the load at a time: the last sample before it, otherwise the oldest
// one, or the current load if there is none.
func (h *loadHistory) at(at time.Time, current Load) Load {
	if h == nil {
		return current
	}
	for i := int8(1); i <= h.count; i++ {
		sample := h.samples[(h.next+loadHistoryLength-i)%loadHistoryLength]
		if sample.at <= at.UnixNano() || i == h.count {
			return Load{
				Requests:      int(sample.requests),
				PrefillTokens: int(sample.prefill),
				DecodeTokens:  int(sample.decode),
			}
		}
	}
	return current
}
