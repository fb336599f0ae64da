// Package router chooses the endpoint for a request from the tables of package
// tracker.
//
// It estimates the finish time at the endpoints that probably cache the prompt's
// prefix and at a few random ones, and takes the best. Random sampling keeps
// hosts with the same outdated state from all choosing the same endpoint, and
// keeps the cost of a decision independent of the number of endpoints. An
// endpoint of another zone has to be better by the zone penalty.
//
// # Usage
//
//	r := router.New(router.EstimatedFinish, rand.New(rand.NewPCG(1, 2)))
//	choice, verdict := r.Choose(application, &router.Query{...})
//	if verdict.Kind == router.Chosen { ... choice.Decode ... }
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// Strategy is a method of choosing an endpoint.
type Strategy string

// Strategies. The last two are baselines for comparison.
const (
	EstimatedFinish Strategy = "estimated_finish"
	RoundRobin      Strategy = "round_robin"
	FewestInFlight  Strategy = "fewest_in_flight" // counts the requests of this host only
)

const (
	localSamples       = 4
	remoteSamples      = 2
	maxScannedSeparate = 64 // endpoints considered if engines have separate prefill and decode roles
	reservePerExcess   = 0.5
	maxReserve         = 0.4 // share of the limit
	maxScanned         = 64  // endpoints considered if no sampled one will do
	// prefillWindow bounds the prefill time of the prompts queued at an engine, so
	// that more urgent prompts that arrive later find a short queue.
	prefillWindow = 150 * time.Millisecond

	// unreachedRetryDelay is when an endpoint that this host does not reach is expected to be
	// reached at the earliest: probes are sent at this interval.
	unreachedRetryDelay = 250 * time.Millisecond

	zonePenalty          = 4 * time.Millisecond
	zonePenaltyShare     = 0.05 // of the score
	latePenalty          = 4    // weight of the time by which the first token would be late
	tokenIntervalPenalty = 2    // weight of the time by which the later tokens would be late
)

// Query describes the request to find an endpoint for.
type Query struct {
	Kind                configurer.ClassKind
	PromptTokens        int // to prefill, including tokens already delivered
	PrefixKey           string
	PrefixTokens        int
	PrefixParts         []tracker.Part // parts of the prefix; nil: unknown
	OutputTokens        int            // expected number
	FirstTokenBudget    time.Duration  // time left until the first-token target; 0: no target, or it has passed
	TokenIntervalTarget time.Duration  // target for the time between tokens; 0: none
	Excluded            []string
	SoftwareVersion     string // that the endpoints must have; empty: any
	IsPrefilled         bool   // an engine keeps the KV cache of the prompt; only a decode engine is needed
	// BatchLimit is the batch size beyond which the request would slow down more
	// urgent ones too much; 0: no limit.
	BatchLimit int
	// ExcessShare is how far this host is above its equal share of the requests in
	// flight. The host then leaves the last free slots of an endpoint to others; see
	// tracker.Summary.
	ExcessShare float64
	// IgnoreLimits allows endpoints that are at their limits.
	IgnoreLimits bool
	// AllowEarlyProbe allows endpoints whose circuit breaker is open but that still
	// take work.
	AllowEarlyProbe bool
	// HasSlot reports whether this host may send a request to a process that limits
	// its requests, and is true for one without a limit; nil: no process has a limit.
	HasSlot func(process driver.Process) bool
	// BackoffRemaining returns for how much longer a process wants no requests from
	// this host; nil: no process has requested a backoff.
	BackoffRemaining func(process driver.Process) time.Duration
	Now              time.Time
}

// PromptPath states which engine prefills a prompt, and why it was chosen. It is
// logged.
type PromptPath string

// Paths of a Choice.
const (
	PathSingleEngine PromptPath = "whole"   // one engine prefills and decodes, or serves the call
	PathDirect       PromptPath = "direct"  // a decode engine prefills the prompt itself
	PathHome         PromptPath = "home"    // a home engine of the prompt's prefix, or one that caches the prefix, prefills it
	PathSoonest      PromptPath = "soonest" // the prefill engine with the earliest estimated finish
	PathPrefilled    PromptPath = "read"    // the prompt has been prefilled before
)

// Choice is the endpoint or the pair of engines chosen for a request.
type Choice struct {
	Path             PromptPath
	Decode           *tracker.Endpoint // decodes, or serves the call
	Prefill          *tracker.Endpoint // prefills the prompt first; nil: Decode does both
	FetchSource      *tracker.Endpoint // from which Prefill fetches the prefix first; nil: none
	PrefillTokens    int               // to be computed
	ReusedTokens     int               // expected from the prefix cache
	TokensAhead      int               // prompt tokens queued before these
	TimeToFirstToken time.Duration     // estimate; for a call: of the time to its answer
	TimeToFinish     time.Duration     // estimate
	score            time.Duration
}

// VerdictKind is the kind of outcome of Choose.
type VerdictKind int

// Kinds of verdict.
const (
	Chosen      VerdictKind = iota
	Busy                    // some endpoints take this kind of work, but all are at their limits
	BreakerOpen             // all suitable endpoints have an open circuit breaker
	BackingOff              // all suitable endpoints want no requests for a while
	NoEndpoint              // no endpoint is suitable
)

// Verdict is the outcome of Choose.
type Verdict struct {
	Kind    VerdictKind
	RetryAt time.Time // of BreakerOpen: when the first may be probed; of BackingOff: when the first backoff ends
	// HasExcluded reports that some endpoint takes work but is excluded for this
	// request.
	HasExcluded bool
	// WithoutSlot lists the endpoints that were skipped because this host has no slot
	// there.
	WithoutSlot []*tracker.Endpoint
}

// Router chooses endpoints. It is not safe for concurrent use.
type Router struct {
	strategy     Strategy
	rand         *rand.Rand
	nextPosition map[string]int // start of the next search, by application; for the baselines
	candidates   []*tracker.Endpoint
}

// New returns a Router that draws random endpoints from source.
func New(strategy Strategy, source *rand.Rand) *Router {
	return &Router{strategy: strategy, rand: source, nextPosition: make(map[string]int)}
}

// Choose chooses among an application's endpoints.
func (r *Router) Choose(application *tracker.Application, q *Query) (Choice, Verdict) {
	if r.strategy != EstimatedFinish {
		return r.chooseBaseline(application, q)
	}
	if q.SoftwareVersion != "" {
		r.scanVersion(application, q.SoftwareVersion)
		return best(application, q, r.candidates)
	}
	if application.Summary.HasSeparateRoles {
		// A few samples may miss one of the roles.
		r.scan(application, maxScannedSeparate)
		if choice, verdict := best(application, q, r.candidates); verdict.Kind == Chosen {
			return choice, verdict
		}
	} else {
		r.sample(application, q)
		if choice, verdict := best(application, q, r.candidates); verdict.Kind == Chosen {
			return choice, verdict
		}
	}
	r.scan(application, maxScanned)
	return best(application, q, r.candidates)
}

// sample fills candidates with the endpoints that cache the prefix and some random
// ones.
func (r *Router) sample(application *tracker.Application, q *Query) {
	r.candidates = r.candidates[:0]
	hints := application.Prefixes.Hints(q.PrefixKey)
	for i := range hints {
		// A hint's endpoint may since have left the list or moved to another application.
		if e := hints[i].Endpoint; e != nil && e.Listed && e.Application == application.Name {
			r.candidates = append(r.candidates, e)
		}
	}
	r.draw(application.Local, localSamples)
	r.draw(application.Remote, remoteSamples)
}

func (r *Router) draw(endpoints []*tracker.Endpoint, count int) {
	if len(endpoints) <= count {
		r.candidates = append(r.candidates, endpoints...)
		return
	}
	// Consecutive endpoints from a random position would do for one host, but hosts
	// that draw overlapping ranges choose the same endpoints more often.
	for range count {
		r.candidates = append(r.candidates, endpoints[r.rand.IntN(len(endpoints))])
	}
}

// scan fills candidates with consecutive endpoints from a random position.
func (r *Router) scan(application *tracker.Application, limit int) {
	r.candidates = r.candidates[:0]
	count := application.Len()
	if count == 0 {
		return
	}
	start := r.rand.IntN(count)
	for i := range min(count, limit) {
		r.candidates = append(r.candidates, application.At((start+i)%count))
	}
}

// scanVersion fills candidates with endpoints of a software version, from a random position.
func (r *Router) scanVersion(application *tracker.Application, version string) {
	r.candidates = r.candidates[:0]
	count := application.Len()
	if count == 0 {
		return
	}
	start := r.rand.IntN(count)
	for i := 0; i < count && len(r.candidates) < maxScanned; i++ {
		if e := application.At((start + i) % count); e.Target.SoftwareVersion == version {
			r.candidates = append(r.candidates, e)
		}
	}
}

// best returns the best single endpoint, or the best pair if engines have separate
// roles and the pair has the better score.
func best(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint) (Choice, Verdict) {
	verdict := Verdict{Kind: NoEndpoint}
	var chosen Choice
	for _, endpoint := range endpoints {
		if !verdict.isUsable(endpoint, q) || !endpoint.CanPrefill() || !endpoint.CanDecode() {
			continue
		}
		if !q.IgnoreLimits && isFull(application, q, endpoint) {
			verdict.noteBusy()
			continue
		}
		choice := estimate(application, q, endpoint)
		if verdict.Kind != Chosen || choice.score < chosen.score {
			chosen = choice
		}
		verdict.Kind = Chosen
	}
	if application.Summary.HasSeparateRoles && q.Kind == configurer.KindGenerate {
		return bestPair(application, q, endpoints, chosen, verdict)
	}
	return chosen, verdict
}

// isUsable reports whether the endpoint may be considered, and records in the
// verdict why not.
func (v *Verdict) isUsable(endpoint *tracker.Endpoint, q *Query) bool {
	if !endpoint.TakesNewWork() || !q.accepts(endpoint) {
		return false
	}
	if remaining := q.backoffRemaining(endpoint); remaining > 0 {
		v.noteUnavailable(BackingOff, q.Now.Add(remaining))
		return false
	}
	if slices.Contains(q.Excluded, endpoint.Target.EndpointID) {
		v.HasExcluded = true
		return false
	}
	if endpoint.IsCutOff() {
		v.noteUnavailable(BreakerOpen, q.Now.Add(unreachedRetryDelay))
		return false
	}
	if endpoint.Breaker.Allows(q.Now) || q.AllowEarlyProbe && endpoint.Breaker.AllowsEarly() {
		return v.hasSlot(endpoint, q)
	}
	v.noteUnavailable(BreakerOpen, endpoint.Breaker.OpenUntil)
	return false
}

// accepts reports whether an endpoint has the software version that the request needs.
func (q *Query) accepts(endpoint *tracker.Endpoint) bool {
	return q.SoftwareVersion == "" || q.SoftwareVersion == endpoint.Target.SoftwareVersion
}

// noteUnavailable records an endpoint that takes no work until the given time.
func (v *Verdict) noteUnavailable(kind VerdictKind, until time.Time) {
	switch {
	case kind < v.Kind:
		v.Kind, v.RetryAt = kind, until
	case kind == v.Kind && until.Before(v.RetryAt):
		v.RetryAt = until
	}
}

// backoffRemaining returns for how much longer an endpoint wants no requests from
// this host.
func (q *Query) backoffRemaining(endpoint *tracker.Endpoint) time.Duration {
	if q.BackoffRemaining == nil {
		return 0
	}
	return q.BackoffRemaining(endpoint.Target.Process())
}

// hasSlot reports whether the endpoint has no limit of its own, or this host has a
// slot of it.
func (v *Verdict) hasSlot(endpoint *tracker.Endpoint, q *Query) bool {
	if q.HasSlot == nil || q.HasSlot(endpoint.Target.Process()) {
		return true
	}
	v.noteBusy()
	if !slices.Contains(v.WithoutSlot, endpoint) {
		v.WithoutSlot = append(v.WithoutSlot, endpoint)
	}
	return false
}

// asChosen returns the verdict for the case that an endpoint was found.
func (v *Verdict) asChosen() Verdict { return Verdict{Kind: Chosen, WithoutSlot: v.WithoutSlot} }

// noteBusy records an endpoint that is suitable but at its limit.
func (v *Verdict) noteBusy() { v.Kind = min(v.Kind, Busy) }

// isFull reports whether further work would have to queue at the endpoint. Such
// work is queued at this host instead.
func isFull(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) bool {
	total := endpoint.ProjectedTotal(application.Summary.Peers)
	if total.Requests >= requestLimit(q, endpoint) {
		return true
	}
	if total.PrefillTokens == 0 {
		return false
	}
	waiting := application.Model.PrefillCost(total.PrefillTokens)
	return estimator.Scale(waiting, endpoint.CurrentSlowdown()) > prefillWindow
}

// requestLimit returns how many requests an endpoint takes before work of this
// kind has to wait. Less urgent work leaves slots free where the tokens of urgent
// classes would come too slowly, but never more than half, as small batches waste
// the engine.
//
// A host above its equal share leaves some slots to the others. The host whose
// request ends learns of the free slot first; under overload, the hosts with most
// requests in flight would otherwise take nearly all slots, and the others would
// refuse nearly all their callers. The reserved part grows with the excess.
func requestLimit(q *Query, endpoint *tracker.Endpoint) int {
	limit := endpoint.Limit
	if q.BatchLimit > 0 {
		limit = min(limit, max(q.BatchLimit, endpoint.Limit/2))
	}
	return limit - int(float64(limit)*min(q.ExcessShare*reservePerExcess, maxReserve))
}

// estimate returns the choice of a single endpoint with its estimated times.
func estimate(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) Choice {
	model := &application.Model
	total := endpoint.Total()
	choice := Choice{Path: PathSingleEngine, Decode: endpoint}
	if q.Kind == configurer.KindCall {
		choice.TimeToFirstToken = estimator.Scale(model.Call(total.Requests), endpoint.CurrentSlowdown())
		choice.TimeToFinish = choice.TimeToFirstToken
		choice.score = withZonePenalty(choice.TimeToFinish, endpoint)
		return choice
	}
	choice.setReuse(application, q, endpoint)
	choice.TokensAhead = total.PrefillTokens
	choice.TimeToFirstToken = estimator.Scale(model.FirstToken(choice.TokensAhead+choice.PrefillTokens), endpoint.CurrentSlowdown())
	tokenInterval := estimator.Scale(model.TokenInterval(total.Requests+1), endpoint.CurrentSlowdown())
	choice.setFinish(q, tokenInterval)
	choice.score = withZonePenalty(choice.score, endpoint)
	return choice
}

// setReuse splits the prompt into the tokens that the prefix cache probably
// provides and those to prefill.
func (c *Choice) setReuse(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) {
	c.ReusedTokens = min(cachedTokens(application, q, endpoint), q.PrefixTokens, q.PromptTokens)
	c.PrefillTokens = q.PromptTokens - c.ReusedTokens
}

// cachedTokens returns how many tokens of the prompt's prefix an endpoint probably
// caches.
func cachedTokens(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) int {
	if endpoint.Cache.IsKnown && len(q.PrefixParts) > 0 {
		return endpoint.Cache.CachedTokens(q.PrefixParts)
	}
	return application.Prefixes.ExpectedTokens(q.PrefixKey, endpoint, q.Now)
}

// setFinish sets the finish time and the score. Time beyond a target is weighted
// more, so that an endpoint within the targets is preferred to a faster one that
// misses one of them.
func (c *Choice) setFinish(q *Query, tokenInterval time.Duration) {
	remaining := time.Duration(max(q.OutputTokens-1, 0))
	c.TimeToFinish = c.TimeToFirstToken + remaining*tokenInterval
	c.score = c.TimeToFinish
	if q.FirstTokenBudget > 0 && c.TimeToFirstToken > q.FirstTokenBudget {
		c.score += latePenalty * (c.TimeToFirstToken - q.FirstTokenBudget)
	}
	if q.TokenIntervalTarget > 0 && tokenInterval > q.TokenIntervalTarget {
		c.score += tokenIntervalPenalty * remaining * (tokenInterval - q.TokenIntervalTarget)
	}
}

func withZonePenalty(score time.Duration, endpoint *tracker.Endpoint) time.Duration {
	if endpoint.Local {
		return score
	}
	return score + zonePenalty + estimator.Scale(score, zonePenaltyShare)
}
