package quarantiner

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// maxLoggedUpdates is how many updates are kept for peers that are behind; those that
	// are further behind receive a snapshot.
	maxLoggedUpdates = 512
	// probeTimeout bounds the probe whether a process still listens. If it has exited, its
	// host refuses the connection at once.
	probeTimeout = 2 * time.Second
	// maxSoundParts and maxSoundRequests bound the parts and requests whose successful runs are
	// remembered, at some 100 bytes each.
	maxSoundParts    = 16 << 10
	maxSoundRequests = 4 << 10
	// evaluationPeriod is for how long after the last update suspects are evaluated at
	// each tick: crashSettlingDelay and some ticks.
	evaluationPeriod = 2 * time.Second
)

// Config configures a Quarantiner.
type Config struct {
	HostID string
	// Probe connects to an endpoint without giving it work. It fails with
	// driver.ErrConnectionRefused or driver.ErrReplaced if the process has exited.
	Probe func(ctx context.Context, target driver.Target) error
	// IsLeaving is true for a process that is known to take no new work, so that its
	// connections are expected to close.
	IsLeaving func(process Process) bool
	// Endpoints returns how many endpoints are listed; nil: one.
	Endpoints func() int
	// Hosts returns the ids of the hosts that this one receives updates from, and its
	// own, without those that drain. They determine the order in which hosts may try a
	// quarantined request.
	Hosts func() []string
	// OnQuarantine is called, without a lock held, after requests have been quarantined,
	// to cancel their running attempts.
	OnQuarantine func()
	// Fetch fetches what peers know, once, and merges it; nil: nothing is fetched or waited for.
	// It is called once the channel that PeersListed returns is closed; nil: at once.
	Fetch       func(ctx context.Context) error
	PeersListed func() <-chan struct{}
	Now         func() time.Time // nil: time.Now
	Logger      hclog.Logger
}

// Quarantiner keeps track of the requests that must not be run. It is safe for
// concurrent use. A nil one quarantines nothing.
type Quarantiner struct {
	cfg Config
	// recordCount is the number of records. For nearly all requests it is 0, which is all
	// that has to be checked.
	recordCount atomic.Int64

	mu      sync.Mutex
	table   table
	pending pending
	// evaluateUntil is when all updates received so far have been evaluated: crashes count
	// only after crashSettlingDelay.
	evaluateUntil time.Time
	// isNotifyDue is true from when a request is quarantined until OnQuarantine is called.
	isNotifyDue   bool
	log           exchanger.UpdateLog[exchanger.CrashUpdate]
	soundParts    successes
	soundRequests successes

	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	group  errgroup.Group

	syncCtx context.Context // cancelled once requests need not wait for peers' quarantines
	endSync context.CancelFunc
	asking  context.Context // ends maxSyncWait after Fetch was called; nil: it was not
}

// New returns a Quarantiner without records.
func New(cfg Config) *Quarantiner {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Endpoints == nil {
		cfg.Endpoints = func() int { return 1 }
	}
	q := &Quarantiner{cfg: cfg, table: newTable(), pending: pending{}, soundParts: newSuccesses(maxSoundParts), soundRequests: newSuccesses(maxSoundRequests), log: exchanger.NewUpdateLog[exchanger.CrashUpdate](maxLoggedUpdates)}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.syncCtx, q.endSync = context.WithCancel(q.ctx)
	if cfg.Fetch == nil {
		q.endSync()
	}
	return q
}

// Close cancels running probes and waits for them.
func (q *Quarantiner) Close() error {
	q.mu.Lock()
	q.cancel()
	q.mu.Unlock()
	return q.group.Wait()
}

// Admission is the decision whether a request may be run.
type Admission struct {
	IsRefused   bool
	RetryAfter  time.Duration // when it may be tried again
	Fingerprint Fingerprint   // set if refused or a trial
	PartID      string        // of the quarantined part; empty: the request as a whole
	// IsTrial is true for the one run that tests whether a quarantined request can be run
	// by now.
	IsTrial bool
}

// Admit decides whether a request may be run, before any other work on it.
func (q *Quarantiner) Admit(request *Request) (a Admission) {
	suspects := q.lookUp(request)
	if len(suspects) == 0 {
		return a
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var trials []suspect
	for _, s := range suspects {
		r := q.table.records[s.fingerprint]
		if r == nil || !r.isQuarantined() {
			continue
		}
		if !q.mayStartTrialLocked(s.fingerprint, r, now) {
			return Admission{IsRefused: true, Fingerprint: s.fingerprint, RetryAfter: max(r.until.Sub(now), maxStagger), PartID: partIDOf(request, &s)}
		}
		trials = append(trials, s)
	}
	for _, s := range trials {
		q.startTrialLocked(s.fingerprint, q.table.records[s.fingerprint], now)
		a = Admission{IsTrial: true, Fingerprint: s.fingerprint, PartID: partIDOf(request, &s)}
	}
	return a
}

func partIDOf(request *Request, s *suspect) string {
	if s.isPart() {
		return request.Parts[s.depth]
	}
	return ""
}

// IsQuarantined is true for a request whose running attempts are to be cancelled.
func (q *Quarantiner) IsQuarantined(request *Request) bool {
	return q.anyRecord(request, (*record).isBlamed)
}

// MayRepeat is false for a request that must not be sent to a second endpoint after the first one
// has crashed under it: a part of its prompt has been in other crashes and in no successful run.
func (q *Quarantiner) MayRepeat(request *Request) bool {
	return !q.anyRecord(request, func(r *record) bool {
		return r.isPart() && !r.wasSound() && r.crashCount(q.cfg.Now()) > 0
	})
}

// anyRecord reports whether a record of the request or one of its parts matches.
func (q *Quarantiner) anyRecord(request *Request, match func(r *record) bool) bool {
	suspects := q.lookUp(request)
	if len(suspects) == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(suspects, func(s suspect) bool {
		r := q.table.records[s.fingerprint]
		return r != nil && match(r)
	})
}

// lookUp returns those of the request and its parts of which there may be a record.
func (q *Quarantiner) lookUp(request *Request) (suspects []suspect) {
	if q == nil || q.recordCount.Load() == 0 {
		return nil
	}
	k := request.key()
	q.mu.Lock()
	_, isKnown := q.table.keyCounts[k]
	for depth, id := range request.Parts {
		partKey := partKey(request.Application, id)
		if _, ok := q.table.keyCounts[partKey]; ok {
			suspects = append(suspects, suspect{partFingerprint(request.Application, id), partKey, depth})
		}
	}
	q.mu.Unlock()
	if isKnown {
		suspects = append(suspects, suspect{request.Fingerprint(), k, wholeRequest})
	}
	return suspects
}

// mayStartTrialLocked is true where this host may start a trial now. Hosts may do so one
// after the other, in an order that depends on the request, so that they don't all start
// one when the pause ends. A host that drains comes last.
func (q *Quarantiner) mayStartTrialLocked(fingerprint Fingerprint, r *record, now time.Time) bool {
	waited := now.Sub(r.until)
	if waited < 0 || waited >= maxStagger {
		return waited >= 0
	}
	hosts := q.cfg.Hosts()
	if !slices.Contains(hosts, q.cfg.HostID) {
		return false
	}
	own, before := trialOrderHash(q.cfg.HostID, fingerprint), 0
	for _, host := range hosts {
		if trialOrderHash(host, fingerprint) < own {
			before++
		}
	}
	return waited >= time.Duration(before)*trialStagger
}

// startTrialLocked starts a trial at this host; the other hosts wait for the outcome.
func (q *Quarantiner) startTrialLocked(fingerprint Fingerprint, r *record, now time.Time) {
	q.cfg.Logger.Info("trial of quarantined request started", "request_name", fingerprint.String(), "pause_ms", r.pause.Milliseconds())
	r.beginTrial(now)
	q.log.Add(exchanger.CrashUpdate{At: now, Quarantines: []exchanger.Quarantine{quarantineOf(fingerprint, r)}}, exchanger.ScopeOwn)
}

func trialOrderHash(hostID string, fingerprint Fingerprint) uint64 {
	return xxhash.Sum64String(hostID + fingerprint.String())
}

// InterruptedRun is a run that ended without an answer or an error from the endpoint.
type InterruptedRun struct {
	Request         *Request
	Target          driver.Target
	SinceSend       time.Duration // from the send to the interruption
	SinceFirstEvent time.Duration // from the first event to the interruption; 0: there was none
}

// RunInterrupted records a run that was interrupted without an answer or an error from the
// endpoint, and probes whether the endpoint's process has exited.
func (q *Quarantiner) RunInterrupted(attempt InterruptedRun) {
	if q == nil {
		return
	}
	now, suspects := q.cfg.Now(), attempt.Request.suspects()
	if attempt.SinceFirstEvent > SoundRunTime {
		q.partsSucceeded(attempt.Request, now)
		suspects = suspects[:1] // the request
	}
	process := attempt.Target.Process()
	if q.cfg.IsLeaving(process) {
		return
	}
	var interrupted []run
	for _, s := range suspects {
		interrupted = append(interrupted, run{suspect: s, sentAt: now.Add(-attempt.SinceSend)})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	entry := q.pending.add(attempt.Target, now, interrupted...)
	switch {
	case entry == nil:
		q.cfg.Logger.Info("interrupted run not considered: too many endpoints have interrupted runs", "endpoint_id", process.EndpointID, "limit", maxPending)
	case q.table.crashes[process] != nil:
		q.processExitedLocked(process)
	case !entry.isProbing:
		q.startProbeLocked(entry, now)
	}
}

// startProbeLocked probes the process of interrupted runs. The context is checked under the lock, so
// that Close waits for the probe.
func (q *Quarantiner) startProbeLocked(entry *interruption, now time.Time) {
	if q.ctx.Err() != nil {
		return
	}
	entry.beginProbe(now)
	q.group.Go(func() error {
		q.probe(entry)
		return nil
	})
}

// probe checks whether a process still listens. If the outcome is not clear, the interrupted runs
// wait for another probe or for information from another source.
func (q *Quarantiner) probe(entry *interruption) {
	ctx, cancel := timekeeper.WithTimeout(q.ctx, probeTimeout)
	defer cancel()
	err := q.cfg.Probe(ctx, entry.target)
	process := entry.target.Process()
	hasExited := errors.Is(err, driver.ErrConnectionRefused) || errors.Is(err, driver.ErrReplaced)
	q.cfg.Logger.Info("runs interrupted; probed whether the endpoint still listens", "endpoint_id", process.EndpointID, "is_ended", hasExited, "error", errorText(err))
	q.mu.Lock()
	defer q.mu.Unlock()
	entry.endProbe(q.cfg.Now(), err == nil)
	if hasExited {
		q.processExitedLocked(process)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ProcessExited records that a process has exited, from any source of that information.
func (q *Quarantiner) ProcessExited(process Process) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.processExitedLocked(process)
}

func (q *Quarantiner) processExitedLocked(process Process) {
	interrupted, at, ok := q.pending.take(process)
	if !ok {
		return
	}
	q.addCrashLocked(process, at, interrupted, exchanger.ScopeOwn)
}

// addCrashLocked records a crash, and sends peers the runs that were not known.
func (q *Quarantiner) addCrashLocked(process Process, at time.Time, runs []run, origin exchanger.Scope) {
	added := q.table.add(process, at, q.cfg.Now(), runs)
	if len(added) == 0 {
		return
	}
	q.recordCount.Store(int64(len(q.table.records)))
	q.evaluateUntil = q.cfg.Now().Add(evaluationPeriod)
	if origin == exchanger.ScopeOwn {
		q.cfg.Logger.Info("endpoint crashed under requests", "endpoint_id", process.EndpointID, "incarnation", process.Incarnation,
			"requests", len(added), "request_names", fingerprintStrings(added))
	}
	q.log.Add(crashUpdate(process, at, added), origin)
	q.reportSoundLocked(added)
	for _, run := range added {
		if r := q.table.records[run.fingerprint]; r.isQuarantined() {
			q.extendLocked(run.fingerprint, r)
		}
	}
}

// extendLocked prolongs the quarantine of a request that caused more crashes. If one of
// them was this host's trial, peers are sent the new pause.
func (q *Quarantiner) extendLocked(fingerprint Fingerprint, r *record) {
	wasInTrial := r.isInTrial
	for _, c := range q.table.attributedCrashes(fingerprint, q.cfg.Now()) {
		r.extend(c.at)
	}
	if wasInTrial && !r.isInTrial {
		q.cfg.Logger.Info("trial of quarantined request crashed an endpoint", "request_name", fingerprint.String(), "pause_ms", r.pause.Milliseconds())
		q.log.Add(exchanger.CrashUpdate{At: q.cfg.Now(), Quarantines: []exchanger.Quarantine{quarantineOf(fingerprint, r)}}, exchanger.ScopeOwn)
	}
}

// SetProcesses compares pending processes with the listed ones: a process that is listed
// with another incarnation has exited.
func (q *Quarantiner) SetProcesses(incarnationOf func(endpointID string) (incarnation string, ok bool)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for process := range q.pending {
		if incarnation, ok := incarnationOf(process.EndpointID); ok && incarnation != process.Incarnation {
			q.processExitedLocked(process)
		}
	}
}

// RunSucceeded records that a request has been run without crashing its endpoint. wroteAnswer is
// false if the endpoint has written no answer on the prompt, which shows nothing of its parts.
func (q *Quarantiner) RunSucceeded(request *Request, wroteAnswer bool) {
	if q == nil {
		return
	}
	now := q.cfg.Now()
	q.mu.Lock()
	q.soundRequests.add(request.key(), now)
	q.mu.Unlock()
	if wroteAnswer {
		q.partsSucceeded(request, now)
	}
	q.clearWhere(request, now, func(s *suspect, _ *record) bool { return !s.isPart() })
}

// RunContinues records that a run goes on, at least SoundRunTime after its first event.
func (q *Quarantiner) RunContinues(request *Request, sinceSend time.Duration) {
	if q == nil {
		return
	}
	now := q.cfg.Now()
	q.partsSucceeded(request, now)
	q.clearWhere(request, now, func(s *suspect, r *record) bool {
		return !s.isPart() && r != nil && r.outlivesCrashes(s.fingerprint, sinceSend, now)
	})
}

// partsSucceeded records a run that has written an answer on the parts of a prompt.
func (q *Quarantiner) partsSucceeded(request *Request, now time.Time) {
	if len(request.Parts) == 0 {
		return
	}
	q.mu.Lock()
	for _, id := range request.Parts {
		q.soundParts.add(partKey(request.Application, id), now)
	}
	q.mu.Unlock()
	q.clearWhere(request, now, func(s *suspect, _ *record) bool { return s.isPart() })
}

// clearWhere clears those of the request and its parts that match. Their record may be missing.
func (q *Quarantiner) clearWhere(request *Request, now time.Time, match func(s *suspect, r *record) bool) {
	suspects := q.lookUp(request)
	if len(suspects) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range suspects {
		s := &suspects[i]
		if match(s, q.table.records[s.fingerprint]) {
			q.clearLocked(s.fingerprint, now, exchanger.ScopeOwn)
		}
	}
}

// reportSoundLocked applies and reports the successful runs of requests and parts that are in a
// crash.
func (q *Quarantiner) reportSoundLocked(runs []run) {
	now := q.cfg.Now()
	for i := range runs {
		s := &runs[i].suspect
		known := &q.soundRequests
		if s.isPart() {
			known = &q.soundParts
		}
		if at, ok := known.succeededAt(s.key, now); ok {
			q.clearLocked(s.fingerprint, at, exchanger.ScopeOwn)
		}
	}
}

func (q *Quarantiner) clearLocked(fingerprint Fingerprint, at time.Time, origin exchanger.Scope) {
	r := q.table.records[fingerprint]
	if r == nil && at.After(q.table.clearedAt[fingerprint]) {
		q.table.clearedAt[fingerprint] = at
	}
	if r == nil || !at.After(r.succeededAt) {
		return
	}
	isFirst := r.succeededAt.IsZero() // shows that it was sound before its crashes
	if r.crashCount(at) == 0 && !r.isQuarantined() && !isFirst {
		return // no crash counts against it
	}
	r.succeededAt, r.cachedCountAt = at, time.Time{}
	lastCrash := r.until.Add(-r.pause)
	if r.isQuarantined() && at.After(lastCrash) {
		q.cfg.Logger.Info("quarantine lifted: request was run without a crash", "request_name", fingerprint.String())
		q.table.releasedAt[fingerprint] = at
		q.table.release(fingerprint, r)
	}
	q.log.Add(exchanger.CrashUpdate{At: at, Cleared: [][16]byte{fingerprint}}, origin)
}

// Tick evaluates suspects, and drops expired records.
func (q *Quarantiner) Tick(now time.Time) {
	if q.evaluate(now) && q.cfg.OnQuarantine != nil {
		q.cfg.OnQuarantine()
	}
}

func (q *Quarantiner) evaluate(now time.Time) (notify bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, dropped := range q.pending.trim(now) {
		process := dropped.target.Process()
		q.cfg.Logger.Info("interrupted runs dropped: exit of the endpoint's process not confirmed", "endpoint_id", process.EndpointID,
			"incarnation", process.Incarnation, "runs", len(dropped.runs), "interrupted_ago_ms", now.Sub(dropped.at).Milliseconds())
	}
	for _, entry := range q.pending.dueProbes(now) {
		q.startProbeLocked(entry, now)
	}
	if now.Before(q.evaluateUntil) {
		q.evaluateLocked(now)
	}
	q.table.trim(now)
	q.recordCount.Store(int64(len(q.table.records)))
	notify, q.isNotifyDue = q.isNotifyDue, false
	return notify
}

func (q *Quarantiner) evaluateLocked(now time.Time) {
	for fingerprint, r := range q.table.quarantined {
		q.table.shortenContestedPause(fingerprint, r, now)
	}
	// The deepest part first: once it is quarantined, it explains the crashes of the others.
	fingerprints := slices.SortedFunc(maps.Keys(q.table.suspects), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(q.table.suspects[b].depth, q.table.suspects[a].depth), bytes.Compare(a[:], b[:]))
	})
	for _, fingerprint := range fingerprints {
		r := q.table.suspects[fingerprint]
		if r.isBlamed() || r.crashCount(now) < r.crashesNeeded() {
			continue
		}
		attributed := q.table.attributedCrashes(fingerprint, now)
		independent, concurrent := r.independentCrashes(fingerprint, attributed), r.concurrentCrashes(fingerprint, attributed)
		switch {
		case len(independent) >= r.crashesNeeded() && q.isImprobableLocked(fingerprint, r, independent, now):
			q.quarantineLocked(fingerprint, r, independent, r.initialPause(), now)
		case len(concurrent) >= crashesOfConcurrentRuns && q.isImprobableLocked(fingerprint, r, concurrent, now):
			q.quarantineLocked(fingerprint, r, concurrent, concurrentPause, now)
		case len(concurrent) >= crashesForProbation && !r.isQuarantined():
			q.beginProbationLocked(fingerprint, r, now)
		}
	}
	q.releaseExplainedLocked(now)
}

// isImprobableLocked reports whether other causes hardly explain the crashes. Parts crash endpoints
// early.
func (q *Quarantiner) isImprobableLocked(fingerprint Fingerprint, r *record, crashes []*crash, now time.Time) bool {
	return r.isPart() || q.table.isImprobable(fingerprint, crashes, q.cfg.Endpoints(), now)
}

// releaseExplainedLocked ends the quarantine of parts and requests whose crashes are explained by
// another part that has been quarantined since. Before any run has succeeded, a part of some
// requests with a bad part, or a request that many send, may be quarantined first.
func (q *Quarantiner) releaseExplainedLocked(now time.Time) {
	for fingerprint, r := range q.table.quarantined {
		if r.isInTrial || !q.table.isExplainedByOthers(fingerprint, now) {
			continue
		}
		q.cfg.Logger.Info("quarantine lifted: another part explains the crashes", "request_name", fingerprint.String())
		q.table.releasedAt[fingerprint] = now
		q.table.release(fingerprint, r)
	}
}

// quarantineLocked quarantines a request and informs the peers: each host evaluates by the
// updates that it has received, and one that lacks a crash would go on sending.
func (q *Quarantiner) quarantineLocked(fingerprint Fingerprint, r *record, crashes []*crash, pause time.Duration, now time.Time) {
	q.table.quarantine(fingerprint, r, crashes, pause)
	q.isNotifyDue = true
	q.log.Add(exchanger.CrashUpdate{At: now, Quarantines: []exchanger.Quarantine{quarantineOf(fingerprint, r)}}, exchanger.ScopeOwn)
	var endpointIDs []string
	for _, c := range crashes {
		endpointIDs = append(endpointIDs, c.process.EndpointID)
	}
	q.cfg.Logger.Warn("request quarantined: endpoints crash that run it", "request_name", fingerprint.String(), "is_part", r.isPart(), "endpoint_ids", endpointIDs,
		"first_crash_ago_ms", now.Sub(crashes[0].at).Milliseconds(), "retry_in_ms", r.until.Sub(now).Milliseconds())
}

// beginProbationLocked has hosts run a request once at a time.
func (q *Quarantiner) beginProbationLocked(fingerprint Fingerprint, r *record, now time.Time) {
	r.until, r.pause = now, probationPause
	q.table.quarantined[fingerprint] = r
	q.log.Add(exchanger.CrashUpdate{At: now, Quarantines: []exchanger.Quarantine{quarantineOf(fingerprint, r)}}, exchanger.ScopeOwn)
	q.cfg.Logger.Warn("request on probation: endpoints crashed that ran it at the same time", "request_name", fingerprint.String(), "crashes", r.crashCount(now))
}

// Count returns the number of quarantined requests.
func (q *Quarantiner) Count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.table.quarantined)
}
