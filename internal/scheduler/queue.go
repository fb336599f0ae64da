package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/scheduler/admitter"
	"github.com/endivemast/endivemast/internal/scheduler/allocator"
	"github.com/endivemast/endivemast/internal/scheduler/router"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

const (
	// maxSkipped is how many waiting requests of a rank without an available endpoint are
	// skipped for those behind them, which may exclude other endpoints.
	maxSkipped = 4
	// noEndpointRetryDelay is the retry delay while no endpoint serves the application:
	// the platform's host list and engine roles change within seconds.
	noEndpointRetryDelay = time.Second
	// backoffJitter is the random addition to a retry delay, as a share of the remaining
	// backoff.
	backoffJitter = 0.25
	// waitSafetyFactor multiplies the estimated wait that has to fit before the latest
	// start. Later arrivals may be served first, and costs and capacity are estimates.
	// Without the factor, work waited for more than a second of a 3 s target before it
	// was refused, and some of the admitted work was late.
	waitSafetyFactor = 2.5
	// urgentIntervalPercent is the largest token interval, as a percentage of the
	// application's tightest one, at which a class still counts as urgent.
	urgentIntervalPercent = 120
)

// queue holds one application's waiting work in order: that for any endpoint, or that for
// endpoints of one software version. items[i] belongs to waiters[i].
type queue struct {
	application     string
	softwareVersion string // empty: any
	items           []admitter.Item
	waiters         []*waiter
	correction      capacityCorrection
}

// waiter is a waiting call of Acquire.
type waiter struct {
	work     Work
	expected int // output tokens
	cost     engineCost
	demand   demandShare
	isReturn bool // its caller was refused before
	outcome  chan outcome
}

type outcome struct {
	grant   *grant
	refusal *RefusalError
}

// Acquire returns a Grant for an endpoint. It waits in this host's queue while the work
// can still meet its targets, and fails with a *RefusalError as soon as it can't, or with
// ctx's error. Started work is never refused for lack of capacity: its caller already has
// tokens, or an endpoint may have run it.
func (s *Scheduler) Acquire(ctx context.Context, work Work) (Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.acquireCalls.Add(1)
	defer s.acquireCalls.Done()
	now := s.now()
	s.table.Refresh(now)
	w, result := s.admit(&work, now)
	s.mu.Unlock()
	if w != nil {
		var err error
		if result, err = s.await(ctx, w); err != nil {
			return nil, err
		}
	}
	if result.refusal != nil {
		return nil, result.refusal
	}
	return result.grant, nil
}

func (s *Scheduler) await(ctx context.Context, w *waiter) (outcome, error) {
	select {
	case result := <-w.outcome:
		return result, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	wasWaiting := s.removeWaiter(w)
	s.mu.Unlock()
	if !wasWaiting {
		// The outcome arrived between the cancellation and the lock; release the unused grant.
		if result := <-w.outcome; result.grant != nil {
			result.grant.Done(Abandoned{})
		}
	}
	return outcome{}, ctx.Err()
}

// admit returns an immediate outcome for new work, or the waiter that it has queued.
func (s *Scheduler) admit(work *Work, now time.Time) (*waiter, outcome) {
	if s.isClosed {
		return nil, refusal(ReasonDraining, noEndpointRetryDelay)
	}
	application := s.table.Application(work.Class.Application)
	w := &waiter{work: *work, outcome: make(chan outcome, 1)}
	w.expected = s.expectedTokens(work)
	s.recordOffered(application, w, now)
	item := s.newItem(application, w, now)
	q := s.queueOf(work)
	if refused, ok := s.applyPrecedence(q, w, &item, now); ok {
		s.logRefusal(q, w, refused.refusal)
		return nil, refused
	}
	position := admitter.Position(q.items, &item)
	verdict := router.Verdict{Kind: router.Busy}
	if position == 0 || item.IsStarted || isFirstOfRank(q.items, position, &item) {
		var g *grant
		if g, verdict = s.tryGrant(application, w, &item, now); g != nil {
			return nil, outcome{grant: g}
		}
	}
	if refused, ok := s.refuseUnservable(work, &verdict, &item, now); ok {
		s.logRefusal(q, w, refused.refusal)
		return nil, refused
	}
	q.insert(position, item, w)
	s.table.Tenant(tenantKey(work)).Queued++
	s.refuseLate(q, now)
	return w, outcome{}
}

// isFirstOfRank reports whether only work of more urgent ranks waits before a position.
func isFirstOfRank(items []admitter.Item, position int, item *admitter.Item) bool {
	before := &items[position-1]
	return !before.IsStarted && before.Rank < item.Rank
}

// recordOffered counts new work in the application's demand and the class's statistics.
// Retries and resumed work were counted at the first attempt.
func (s *Scheduler) recordOffered(application *tracker.Application, w *waiter, now time.Time) {
	work := &w.work
	if work.DeliveredTokens > 0 || len(work.Excluded) > 0 {
		return
	}
	class := s.class(work)
	class.Offered++
	class.Application, class.CompletionTarget = application.Name, work.Class.CompletionTarget()
	application.Demand.Add(s.promptTokens(application, work, now), w.expected, work.Class.BetweenTokensTarget(), now)
}

// refuseUnservable returns a refusal if no endpoint will be available in time for the work.
func (s *Scheduler) refuseUnservable(work *Work, verdict *router.Verdict, item *admitter.Item, now time.Time) (outcome, bool) {
	switch verdict.Kind {
	case router.NoEndpoint:
		if work.SoftwareVersion != "" && !s.table.Application(work.Class.Application).HasSoftwareVersion(work.SoftwareVersion) {
			return refusal(ReasonNoVersion, noEndpointRetryDelay), true
		}
		return refusal(ReasonNoEndpoint, noEndpointRetryDelay), true
	case router.BreakerOpen:
		if work.DeliveredTokens > 0 || verdict.RetryAt.Before(item.RefuseAt) {
			return outcome{}, false
		}
		return refusal(ReasonNoEndpoint, max(verdict.RetryAt.Sub(now), time.Millisecond)), true
	case router.BackingOff:
		if item.IsStarted && (work.DeliveredTokens > 0 || verdict.RetryAt.Before(item.RefuseAt)) {
			return outcome{}, false
		}
		return refusal(ReasonBackoff, s.retryAfterBackoff(verdict, now)), true
	default:
		return outcome{}, false
	}
}

// retryAfterBackoff returns the retry delay while all endpoints are in backoff. Jitter
// spreads the callers' retries.
func (s *Scheduler) retryAfterBackoff(verdict *router.Verdict, now time.Time) time.Duration {
	left := max(verdict.RetryAt.Sub(now), time.Millisecond)
	left += time.Duration(float64(left) * backoffJitter * s.rand.Float64())
	if verdict.HasExcluded {
		return min(left, noEndpointRetryDelay)
	}
	return left
}

// tryGrant returns a grant if an endpoint is available now. If the circuit breakers of all
// endpoints stay open until after a retry's deadline, the retry probes one of them early:
// otherwise its caller gets a failure which says that the request may have run.
func (s *Scheduler) tryGrant(
	application *tracker.Application, w *waiter, item *admitter.Item, now time.Time,
) (*grant, router.Verdict) {
	work := &w.work
	query := router.Query{
		Kind:                work.Class.Kind,
		PromptTokens:        application.CorrectTokens(work.PromptTokens) + work.DeliveredTokens,
		PrefixKey:           work.PrefixKey,
		PrefixTokens:        work.PrefixTokens,
		PrefixParts:         work.PrefixParts,
		OutputTokens:        w.expected,
		TokenIntervalTarget: work.Class.BetweenTokensTarget(),
		Excluded:            work.Excluded,
		SoftwareVersion:     work.SoftwareVersion,
		IsPrefilled:         work.IsPrefilled,
		IgnoreLimits:        item.IsStarted || s.cfg.Policy.Admission == AdmitAll,
		HasSlot:             s.cfg.Limiter.HasSlot,
		BackoffRemaining:    s.cfg.BackoffRemaining,
		Now:                 now,
	}
	if target := work.Class.FirstTokenTarget(); target > 0 && !item.IsStarted {
		query.FirstTokenBudget = max(work.Arrived.Add(target).Sub(now), 1)
	}
	if interval := s.class(work).MaxTokenInterval(); interval > urgentIntervalPercent*application.Summary.MaxTokenInterval/100 {
		query.BatchLimit = application.Summary.BatchLimit
		query.ExcessShare = application.Summary.ExcessShare
	}
	choice, verdict := s.router.Choose(application, &query)
	if verdict.Kind == router.BreakerOpen && work.isRetry() && !verdict.RetryAt.Before(item.RefuseAt) {
		query.AllowEarlyProbe = true
		choice, verdict = s.router.Choose(application, &query)
	}
	q := s.queueOf(work)
	s.requestSlots(q, &verdict)
	if verdict.Kind != router.Chosen {
		return nil, verdict
	}
	application.ObserveCost(item.Cost)
	g := s.newGrant(work, &choice, w.expected, item.LatestStart, now)
	if len(work.Excluded) == 0 && (!item.IsStarted || work.IsResumed) {
		s.class(work).Served++
	}
	s.table.Tenant(tenantKey(work)).UsedSeconds += item.Cost.Seconds()
	q.correction.grantedSeconds += item.Cost.Seconds()
	return g, verdict
}

// newItem returns the admitter's item for work. It estimates for an endpoint with the mean
// batch and the mean prefill backlog, since queued work waits for such an endpoint.
func (s *Scheduler) newItem(application *tracker.Application, w *waiter, now time.Time) admitter.Item {
	work, model := &w.work, &application.Model
	batch := max(application.Summary.MeanBatch, 1)
	prompt := s.promptTokens(application, work, now)
	var mean, conservative admitter.Estimate // for the work itself, and an upper estimate for its class
	var cost time.Duration
	if work.Class.Kind == configurer.KindCall {
		mean.FirstToken = model.Call(batch)
		mean.Completion = mean.FirstToken
		conservative = mean
		cost = mean.FirstToken / time.Duration(batch)
		w.cost = engineCost{decode: cost}
	} else {
		upper := s.class(work).Length.UpperBound(work.DeliveredTokens, work.MaxOutputTokens)
		mean.FirstToken = model.FirstToken(application.Summary.MeanTokensAhead + prompt)
		if recent := s.class(work).FirstTokenSeconds; recent > 0 {
			mean.FirstToken = time.Duration(recent * float64(time.Second))
		}
		mean.Completion = mean.FirstToken + model.Decode(w.expected, batch)
		conservative.FirstToken = mean.FirstToken
		conservative.Completion = conservative.FirstToken + model.Decode(upper, batch)
		w.cost = s.generationCost(application, w, now)
		cost = w.cost.total()
	}
	s.nextID++
	isStarted := work.DeliveredTokens > 0 || work.isRetry() || work.IsResumed
	refuseAt := admitter.LatestStart(&work.Class, work.Arrived, isStarted, mean)
	if work.isRetry() {
		refuseAt = work.RetryUntil
	}
	tenant := s.table.Tenant(tenantKey(work))
	fairShare := application.Summary.FairShare
	return admitter.Item{
		ID:             s.nextID,
		Arrived:        work.Arrived,
		LatestStart:    admitter.LatestStart(&work.Class, work.Arrived, isStarted, conservative),
		RefuseAt:       refuseAt,
		Cost:           cost,
		TenantUse:      tenant.UsedSeconds + float64(tenant.Queued)*cost.Seconds(),
		ResponseTarget: admitter.ResponseTarget(&work.Class),
		ServedShare:    s.class(work).ServedShare(),
		IsOverShare:    fairShare > 0 && tenant.UsedSeconds > fairShare,
		IsStarted:      isStarted,
	}
}

// capacity returns the engine seconds per second that serve the queue.
func (s *Scheduler) capacity(q *queue) float64 {
	return s.engineSeconds(q) * q.correction.factor()
}

// engineSeconds is capacity without the queue's correction.
func (s *Scheduler) engineSeconds(q *queue) float64 {
	return s.table.Application(q.application).Summary.CapacityOf(q.softwareVersion)
}

// promptTokens estimates how many prompt tokens have to be prefilled.
func (s *Scheduler) promptTokens(application *tracker.Application, work *Work, now time.Time) int {
	prompt := application.CorrectTokens(work.PromptTokens) + work.DeliveredTokens
	reused := min(application.Prefixes.MaxExpectedTokens(work.PrefixKey, now), work.PrefixTokens)
	return max(prompt-reused, 0)
}

// refuseLate refuses work that can no longer meet its targets.
func (s *Scheduler) refuseLate(q *queue, now time.Time) {
	capacity := s.capacity(q)
	positions := admitter.SelectRefusals(q.items, capacity/waitSafetyFactor, now)
	if len(positions) == 0 {
		return
	}
	slices.Sort(positions)
	backlogDelay := admitter.RetryAfter(q.items, capacity, s.rand.Float64())
	for _, position := range slices.Backward(positions) {
		after := s.returnDelay(q, q.waiters[position], q.items[position].Cost, backlogDelay, now)
		s.refuse(q, position, s.reason(&q.items[position], now), after, now)
	}
}

func (s *Scheduler) reason(item *admitter.Item, now time.Time) RefusalReason {
	switch {
	case !item.RefuseAt.After(now):
		return ReasonTooLate
	case item.IsOverShare:
		return ReasonTenantShare
	default:
		return ReasonOverload
	}
}

func (s *Scheduler) refuse(q *queue, position int, reason RefusalReason, after time.Duration, now time.Time) {
	w := q.waiters[position]
	s.removeAt(q, position)
	if reason == ReasonTooLate {
		s.class(&w.work).DecayFirstToken()
	}
	s.recordRefused(w, now)
	refused := refusal(reason, after)
	s.logRefusal(q, w, refused.refusal)
	w.outcome <- refused
}

// logRefusal logs the state on which a refusal was based.
func (s *Scheduler) logRefusal(q *queue, w *waiter, refused *RefusalError) {
	if !s.logger.IsDebug() {
		return
	}
	application := s.table.Application(q.application)
	s.logger.Debug("work refused", "request_id", w.work.RequestID, "class", w.work.Class.Name, "reason", refused.Reason,
		"retry_after_ms", refused.RetryAfter.Milliseconds(), "age_ms", s.now().Sub(w.work.Arrived).Milliseconds(),
		"endpoints", application.Len(), "usable", application.Summary.Usable, "capacity", application.Summary.Capacity,
		"pace", q.correction.factor(), "queued", len(q.items), "excluded", len(w.work.Excluded), "software_version", w.work.SoftwareVersion,
		"rank", w.work.Rank, "tenant", w.work.Tenant, "cost_ms", w.cost.total().Milliseconds(),
		"share", s.precedence(q.application).shares[allocator.Clamp(w.work.Rank)].Of(w.work.Tenant, w.isReturn))
}

func (s *Scheduler) refuseAll(q *queue, reason RefusalReason) {
	for len(q.items) > 0 {
		s.refuse(q, 0, reason, noEndpointRetryDelay, s.now())
	}
}

func (s *Scheduler) dispatchAll(now time.Time) {
	for name := range s.queues {
		s.dispatchWaiting(name, now)
	}
}

// dispatchWaiting assigns an application's waiting work to endpoints with free capacity, and
// refuses work that can no longer meet its targets.
func (s *Scheduler) dispatchWaiting(name string, now time.Time) {
	// Work for one software version has fewer endpoints to choose from.
	for _, q := range slices.Backward(s.queues[name]) {
		if len(q.items) > 0 {
			s.dispatchQueue(q, now)
		}
	}
}

func (s *Scheduler) dispatchQueue(q *queue, now time.Time) {
	s.table.Refresh(now)
	application := s.table.Application(q.application)
	var skipped [allocator.Ranks]int
	for position := 0; position < len(q.items); {
		rank := q.items[position].Rank
		if skipped[rank] >= maxSkipped {
			if position = nextRank(q.items, position); position < 0 {
				break
			}
			continue
		}
		w := q.waiters[position]
		g, verdict := s.tryGrant(application, w, &q.items[position], now)
		if g != nil {
			s.removeAt(q, position)
			w.outcome <- outcome{grant: g}
			continue
		}
		if refused, ok := s.refuseUnservable(&w.work, &verdict, &q.items[position], now); ok {
			s.removeAt(q, position)
			s.logRefusal(q, w, refused.refusal)
			w.outcome <- refused
			continue
		}
		position++
		skipped[rank]++
	}
	s.refuseLate(q, now)
}

// nextRank returns the position of the first item of another rank after a position, or -1.
func nextRank(items []admitter.Item, position int) int {
	if !items[position].IsStarted && items[len(items)-1].Rank == items[position].Rank {
		return -1 // items that aren't started are in the order of their ranks
	}
	for i := position + 1; i < len(items); i++ {
		if items[i].Rank != items[position].Rank {
			return i
		}
	}
	return -1
}

// queueOf returns the queue for work, and creates it on first use. An application's first queue
// is the one for work that any endpoint may run.
func (s *Scheduler) queueOf(work *Work) *queue {
	name := work.Class.Application
	if len(s.queues[name]) == 0 {
		s.queues[name] = []*queue{{application: name}}
	}
	for _, q := range s.queues[name] {
		if q.softwareVersion == work.SoftwareVersion {
			return q
		}
	}
	q := &queue{application: name, softwareVersion: work.SoftwareVersion}
	s.queues[name] = append(s.queues[name], q)
	return q
}

func (q *queue) insert(position int, item admitter.Item, w *waiter) {
	q.items = slices.Insert(q.items, position, item)
	q.waiters = slices.Insert(q.waiters, position, w)
}

// removeAt removes the work at a position of the queue, also from its tenant's count.
func (s *Scheduler) removeAt(q *queue, position int) {
	s.table.Tenant(tenantKey(&q.waiters[position].work)).Queued--
	q.items = slices.Delete(q.items, position, position+1)
	q.waiters = slices.Delete(q.waiters, position, position+1)
}

// removeWaiter removes a waiter from its queue; false if it already has an outcome.
func (s *Scheduler) removeWaiter(w *waiter) bool {
	q := s.queueOf(&w.work)
	position := slices.Index(q.waiters, w)
	if position < 0 {
		return false
	}
	s.removeAt(q, position)
	return true
}

func (s *Scheduler) class(work *Work) *tracker.Class {
	return s.table.Class(tracker.ClassKey{Tenant: work.Class.Tenant, Name: work.Class.Name})
}

func (s *Scheduler) expectedTokens(work *Work) int {
	if work.Class.Kind == configurer.KindCall {
		return 0
	}
	return s.class(work).Length.Remaining(work.DeliveredTokens, work.MaxOutputTokens)
}

func tenantKey(work *Work) tracker.TenantKey {
	return tracker.TenantKey{Application: work.Class.Application, Tenant: work.Class.Tenant}
}

func refusal(reason RefusalReason, after time.Duration) outcome {
	return outcome{refusal: &RefusalError{Reason: reason, RetryAfter: after}}
}
