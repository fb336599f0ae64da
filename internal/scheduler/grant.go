package scheduler

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/ratelimiter"
	"github.com/endivemast/endivemast/internal/scheduler/admitter"
	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/router"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// minIntervalTokens is the least number of tokens over which a mean token interval is
// measured: a single interval depends more on the network than on the engine.
const minIntervalTokens = 8

// grant implements Grant. Tokens arrive by the thousand, so they are counted without
// the scheduler's lock; Tick applies the counts to the load.
type grant struct {
	s          *Scheduler
	work       Work
	choice     router.Choice
	priority   int
	grantedAt  time.Time
	concurrent int // requests at choice.Decode when the grant was made
	targets    targets
	basis      Basis

	// decodeSlot and prefillSlot are slots of endpoints that announce a request limit.
	decodeSlot, prefillSlot ratelimiter.Slot

	// isProbe and isPrefillProbe are true if this use probes an endpoint whose circuit
	// breaker is open.
	isProbe, isPrefillProbe bool

	tokens      atomic.Int64
	lastTokenAt atomic.Int64 // Unix time of the last token, in nanoseconds

	// The fields below are guarded by the scheduler's lock.
	decodeLoad      tracker.Load // part of choice.Decode.Own
	prefillLoad     tracker.Load // part of choice.Prefill.Own
	prefilledAt     time.Time
	firstTokenAt    time.Time
	collectedTokens int64 // tokens up to sampledAt
	sampledAt       int64
	isDone          bool
	position        int // index in Scheduler.grants
}

// targets are copies of the targets of the choice's engines when the grant was made.
// Those in the table change with each host list, under the scheduler's lock.
type targets struct {
	decode, prefill, fetch driver.Target
}

func targetsOf(choice *router.Choice) (t targets) {
	t.decode = choice.Decode.Target
	if choice.Prefill != nil {
		t.prefill = choice.Prefill.Target
	}
	if choice.FetchSource != nil {
		t.fetch = choice.FetchSource.Target
	}
	return t
}

// removeGrant removes a grant from the list of grants by moving the last one to its index.
func (s *Scheduler) removeGrant(g *grant) {
	last := len(s.grants) - 1
	s.grants[g.position] = s.grants[last]
	s.grants[g.position].position = g.position
	s.grants[last] = nil
	s.grants = s.grants[:last]
}

func (s *Scheduler) newGrant(work *Work, choice *router.Choice, expected int, latestStart, now time.Time) *grant {
	g := &grant{
		s: s, work: *work, choice: *choice, grantedAt: now, targets: targetsOf(choice),
		concurrent: choice.Decode.Total().Requests,
		priority:   s.priority(work, latestStart),
		decodeLoad: tracker.Load{Requests: 1, DecodeTokens: expected},
	}
	g.basis = Basis{
		EndpointID: choice.Decode.Target.EndpointID, SoftwareVersion: choice.Decode.Target.SoftwareVersion, Requests: g.concurrent, PeerRequests: choice.Decode.Peers.Requests,
		TokensAhead: choice.TokensAhead, FirstToken: choice.TimeToFirstToken, RoleAge: now.Sub(choice.Decode.RoleSince),
		ListRevision: choice.Decode.ListEntry.Revision, ListAge: choice.Decode.ListEntry.Age(now),
		Path: choice.Path, PrefillTokens: choice.PrefillTokens, FetchID: g.targets.fetch.EndpointID,
	}
	g.basis.PrefillID = g.targets.prefill.EndpointID
	g.isProbe = choice.Decode.Breaker.Admit(now)
	g.decodeSlot = s.cfg.Limiter.Take(choice.Decode.Target.Process())
	if choice.Prefill != nil {
		g.prefillLoad = tracker.Load{Requests: 1, PrefillTokens: choice.PrefillTokens}
		g.isPrefillProbe = choice.Prefill.Breaker.Admit(now)
		g.prefillSlot = s.cfg.Limiter.Take(choice.Prefill.Target.Process())
		choice.Prefill.AddLoad(g.prefillLoad)
		choice.Prefill.Cache.ExpectParts(work.PrefixParts)
		s.reportSharedPrefix(work, choice)
	} else if work.Class.Kind == configurer.KindGenerate {
		g.decodeLoad.PrefillTokens = choice.PrefillTokens
	}
	choice.Decode.AddLoad(g.decodeLoad)
	g.position = len(s.grants)
	s.grants = append(s.grants, g)
	return g
}

// reportSharedPrefix calls OnSharedPrefix if the prompt's prefix is long enough to be
// assigned to home engines.
func (s *Scheduler) reportSharedPrefix(work *Work, choice *router.Choice) {
	if s.cfg.OnSharedPrefix == nil || len(work.PrefixParts) == 0 {
		return
	}
	if router.HasHomeEngines(s.table.Application(choice.Prefill.Application), work.PrefixTokens) {
		s.cfg.OnSharedPrefix(work.PrefixParts)
	}
}

// priority returns the engine priority: by deadline, or by the class's response target
// under AdmitAll. Earliest deadline first needs admission control to refuse what cannot be
// in time; without it, under overload, all work ends up late.
func (s *Scheduler) priority(work *Work, latestStart time.Time) int {
	if s.cfg.Policy.Admission == AdmitAll {
		return int(-admitter.ResponseTarget(&work.Class).Milliseconds())
	}
	return admitter.Priority(latestStart)
}

// Target implements Grant.
func (g *grant) Target() driver.Target { return g.targets.decode }

// PrefillTarget implements Grant.
func (g *grant) PrefillTarget() (target driver.Target, ok bool) {
	return g.targets.prefill, g.choice.Prefill != nil
}

// FetchSource implements Grant.
func (g *grant) FetchSource() (target driver.Target, ok bool) {
	return g.targets.fetch, g.choice.FetchSource != nil
}

// IsAvailable implements Grant.
func (g *grant) IsAvailable() bool {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	return g.s.isAvailable(g.choice.Decode, &g.decodeSlot)
}

// IsPrefillAvailable implements Grant.
func (g *grant) IsPrefillAvailable() bool {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	return g.choice.Prefill != nil && g.s.isAvailable(g.choice.Prefill, &g.prefillSlot)
}

// isAvailable reports whether an endpoint chosen earlier may still be sent the request.
func (s *Scheduler) isAvailable(endpoint *tracker.Endpoint, slot *ratelimiter.Slot) bool {
	process := endpoint.Target.Process()
	return endpoint.TakesNewWork() && s.cfg.BackoffRemaining(process) <= 0 && s.cfg.Limiter.Renew(process, slot)
}

// Basis implements Grant.
func (g *grant) Basis() Basis { return g.basis }

// Priority implements Grant.
func (g *grant) Priority() int { return g.priority }

// PrefillDone implements Grant.
func (g *grant) PrefillDone(err error) {
	now := g.s.now()
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	prefill := g.choice.Prefill
	if g.isDone || prefill == nil || !g.prefilledAt.IsZero() {
		return
	}
	g.setPrefillLoad(tracker.Load{})
	if err != nil {
		g.recordFailure(prefill, &g.isPrefillProbe, err, now)
		return
	}
	g.prefilledAt = now
	prefill.Breaker.Succeed(g.isPrefillProbe)
	g.isPrefillProbe = false
	if took, ok := prefill.AtUsualSpeed(now.Sub(g.grantedAt), now); ok {
		g.application().Model.ObserveDedicatedPrefill(g.choice.PrefillTokens, took)
	}
	g.storePrefix(prefill, now)
	g.s.dispatchWaiting(prefill.Application, now)
}

// TokenReceived implements Grant.
func (g *grant) TokenReceived() {
	now := g.s.now()
	g.lastTokenAt.Store(now.UnixNano())
	if g.tokens.Add(1) == 1 {
		g.recordFirstToken(now)
	}
}

func (g *grant) recordFirstToken(now time.Time) {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	if g.isDone {
		return
	}
	g.firstTokenAt = now
	g.sampledAt = now.UnixNano()
	g.collectedTokens = 1
	decode := g.choice.Decode
	decode.Breaker.Succeed(g.isProbe)
	g.isProbe = false
	switch {
	case g.choice.Prefill == nil && decode.CanPrefill():
		g.observeFirstToken(now)
		g.storePrefix(decode, now)
	case g.work.IsPrefilled:
		// An earlier attempt prefilled the prompt, so the time of the KV transfer
		// can't be measured here.
	case g.choice.Prefill == nil:
		if took, ok := decode.AtUsualSpeed(now.Sub(g.grantedAt), now); ok {
			g.application().Model.ObserveDirectPrefill(g.choice.PrefillTokens, took)
		}
		g.storePrefix(decode, now)
	case !g.prefilledAt.IsZero():
		g.application().Model.ObserveKVTransfer(g.work.PromptTokens, now.Sub(g.prefilledAt))
	}
	g.s.class(&g.work).ObserveFirstToken(now.Sub(g.grantedAt))
	load := g.decodeLoad
	load.PrefillTokens = 0
	g.setDecodeLoad(load)
	g.s.dispatchWaiting(decode.Application, now)
}

func (g *grant) observeFirstToken(now time.Time) {
	if took, ok := g.choice.Decode.AtUsualSpeed(now.Sub(g.grantedAt), now); ok {
		g.application().Model.ObserveFirstToken(g.choice.TokensAhead, g.choice.PrefillTokens, took)
	}
}

func (g *grant) storePrefix(endpoint *tracker.Endpoint, now time.Time) {
	g.application().Prefixes.Store(g.work.PrefixKey, endpoint, g.work.PrefixTokens, now)
}

// Done implements Grant.
func (g *grant) Done(result Result) {
	now := g.s.now()
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	if g.isDone {
		return
	}
	g.collectTokens()
	g.isDone = true
	g.s.removeGrant(g)
	g.setDecodeLoad(tracker.Load{})
	g.setPrefillLoad(tracker.Load{})
	switch result := result.(type) {
	case Completed:
		g.recordCompletion(result.End, now)
	case Failed:
		g.recordFailure(g.choice.Decode, &g.isProbe, result.Err, now)
	case Abandoned:
	}
	g.releaseProbes()
	g.s.dispatchWaiting(g.choice.Decode.Application, now)
}

func (g *grant) recordCompletion(end driver.End, now time.Time) {
	endpoint := g.choice.Decode
	endpoint.Breaker.Succeed(g.isProbe)
	g.isProbe = false
	if g.work.Class.Kind == configurer.KindCall {
		model := &g.application().Model
		took, ok := endpoint.AtUsualSpeed(now.Sub(g.grantedAt), now)
		if !ok {
			return
		}
		expected := model.Call(g.concurrent)
		model.ObserveCall(g.concurrent, took)
		endpoint.Slowdown = estimator.UpdateSlowdown(endpoint.Slowdown, took, expected)
		return
	}
	g.s.class(&g.work).Length.Observe(end.OutputTokens)
	application := g.application()
	application.Prefixes.ObserveReuse(g.choice.ReusedTokens, end.ReusedTokens)
	application.ObserveTokenCount(g.work.PromptTokens, end.PromptTokens)
}

func (g *grant) recordFailure(endpoint *tracker.Endpoint, isProbe *bool, err error, now time.Time) {
	isNotAccepted := errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused)
	endpoint.Breaker.Fail(*isProbe, isNotAccepted, g.s.rand.Float64(), now)
	g.s.recordProcessExit(endpoint, err, now)
	*isProbe = false
}

// releaseProbes ends probes that had no result.
func (g *grant) releaseProbes() {
	g.choice.Decode.Breaker.AbandonProbe(g.isProbe)
	if g.choice.Prefill != nil {
		g.choice.Prefill.Breaker.AbandonProbe(g.isPrefillProbe)
	}
}

// collectTokens applies the tokens received since the last call to the load and the
// model of token intervals.
func (g *grant) collectTokens() {
	tokens, at := g.tokens.Load(), g.lastTokenAt.Load()
	if g.isDone || g.firstTokenAt.IsZero() || tokens == g.collectedTokens {
		return
	}
	if count := tokens - g.collectedTokens; count >= minIntervalTokens && at > g.sampledAt {
		g.observeTokenInterval(time.Duration((at - g.sampledAt) / count))
		g.collectedTokens, g.sampledAt = tokens, at
	}
	delivered := g.work.DeliveredTokens + int(tokens)
	load := g.decodeLoad
	load.DecodeTokens = g.s.class(&g.work).Length.Remaining(delivered, g.work.MaxOutputTokens)
	g.setDecodeLoad(load)
}

func (g *grant) observeTokenInterval(interval time.Duration) {
	endpoint := g.choice.Decode
	interval, ok := endpoint.AtUsualSpeed(interval, g.s.now())
	if !ok {
		return
	}
	batch := max(endpoint.Total().Requests, 1)
	model := &g.application().Model
	expected := model.TokenInterval(batch)
	model.ObserveTokenInterval(batch, interval)
	endpoint.Slowdown = estimator.UpdateSlowdown(endpoint.Slowdown, interval, expected)
}

func (g *grant) setDecodeLoad(load tracker.Load) {
	endpoint := g.choice.Decode
	endpoint.Own = endpoint.Own.Minus(g.decodeLoad).Plus(load)
	g.decodeLoad = load
}

func (g *grant) setPrefillLoad(load tracker.Load) {
	if endpoint := g.choice.Prefill; endpoint != nil {
		endpoint.Own = endpoint.Own.Minus(g.prefillLoad).Plus(load)
		g.prefillLoad = load
	}
}

func (g *grant) application() *tracker.Application {
	return g.s.table.Application(g.choice.Decode.Application)
}
