// Package router chooses the endpoint for a piece of work from the tables.
//
// It estimates when the work would finish at a few endpoints and takes the
// best: those that probably cache the prompt's prefix, and some drawn at
// random. Drawing keeps hosts with the same stale view from all choosing the
// same endpoint, and the cost of a decision from growing with the fleet. An
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

// Routing is a way to choose.
type Routing string

// Ways to choose. The two last are baselines to measure against.
const (
	EstimatedFinish Routing = "estimated_finish"
	RoundRobin      Routing = "round_robin"
	FewestInFlight  Routing = "fewest_in_flight" // in this host's own view
)

const (
	localSamples  = 4
	remoteSamples = 2
	splitScanned  = 64 // endpoints looked at where roles are split
	roomPerExcess = 0.5
	maxRoom       = 0.4 // of the places
	maxScanned    = 64  // endpoints looked at when none of these will do
	// prefillWindow bounds the prompt work that waits at an engine, so that
	// more urgent work that arrives later still finds it short.
	prefillWindow = 150 * time.Millisecond

	zonePenalty      = 4 * time.Millisecond
	zonePenaltyShare = 0.05 // of the estimated finish
	latePenalty      = 4    // times the time by which the first token would be late
	gapPenalty       = 2    // times the time by which the tokens would be late
)

// Query is the work to find an endpoint for.
type Query struct {
	Kind          configurer.ClassKind
	PromptTokens  int // to be computed, delivered tokens included
	PrefixKey     string
	PrefixTokens  int
	PrefixParts   []tracker.Part // that the prefix consists of; nil: not known
	OutputTokens  int            // expected
	FirstTokenDue time.Duration  // until the first-token target; 0: none, or passed
	GapTarget     time.Duration  // 0: none
	Excluded      []string
	IsRead        bool // the KV cache of the prompt is kept; an engine that decodes is wanted
	// CalmBatch is the batch beyond which the work would slow more urgent work
	// down too much; 0: no bound.
	CalmBatch int
	// Excess keeps the work of a host ahead of its equal share from the last
	// free places of an endpoint; see tracker.Summary.
	Excess float64
	// IgnoreLimits lets the work on at full endpoints too.
	IgnoreLimits bool
	// ProbesEarly lets the work on at endpoints that are set aside and still take work.
	ProbesEarly bool
	// HasSlot is false for a process that names a limit on its requests while this host
	// may send it none; nil: none names one.
	HasSlot func(process driver.Process) bool
	// RestLeft is for how much longer a process wants nothing from this host; nil: none
	// has asked for rest.
	RestLeft func(process driver.Process) time.Duration
	Now      time.Time
}

// Course is by which way a prompt gets to the engine that decodes, for the log.
type Course string

// Courses of a Choice.
const (
	CourseWhole   Course = "whole"   // one engine reads and decodes, or serves the call
	CourseDirect  Course = "direct"  // an engine that only decodes reads the prompt too
	CourseHome    Course = "home"    // the home of the prompt's prefix reads it
	CourseSoonest Course = "soonest" // the engine that would have read it first
	CourseRead    Course = "read"    // the prompt has been read before
)

// Choice is where the work is to go.
type Choice struct {
	Course        Course
	Decode        *tracker.Endpoint // decodes, or serves the call
	Prefill       *tracker.Endpoint // computes the prompt first; nil: Decode does both
	FetchFrom     *tracker.Endpoint // where Prefill fetches the prefix first; nil: nowhere
	PrefillTokens int               // that have to be computed
	ReusedTokens  int               // expected from the prefix cache
	Ahead         int               // prompt tokens that wait before these
	First         time.Duration     // estimated time to the first token, or the answer of a call
	Finish        time.Duration     // estimated time to the end
	score         time.Duration
}

// VerdictKind says what came of a choice.
type VerdictKind int

// Kinds of verdict.
const (
	Chosen   VerdictKind = iota
	Busy                 // endpoints would serve, but all are full
	SetAside             // only endpoints that are set aside for failures
	Resting              // only endpoints that have asked for rest
	None                 // no endpoint
)

// Verdict is the outcome of Choose.
type Verdict struct {
	Kind  VerdictKind
	Until time.Time // of SetAside: when the first may be probed; of Resting: when the first rest ends
	// HasExcluded says that an endpoint takes work and is excluded for this work alone.
	HasExcluded bool
	// Limited are the endpoints that were passed over for want of a slot.
	Limited []*tracker.Endpoint
}

// Router chooses. It is not safe for concurrent use.
type Router struct {
	routing Routing
	rand    *rand.Rand
	turn    map[string]int // of round robin, by application
	seen    []*tracker.Endpoint
}

// New returns a router.
func New(routing Routing, source *rand.Rand) *Router {
	return &Router{routing: routing, rand: source, turn: make(map[string]int)}
}

// Choose chooses among an application's endpoints.
func (r *Router) Choose(application *tracker.Application, q *Query) (Choice, Verdict) {
	if r.routing != EstimatedFinish {
		return r.chooseBaseline(application, q)
	}
	if application.Summary.IsSplit {
		// A few samples may hold none of one of the roles.
		r.scan(application, splitScanned)
		if choice, verdict := best(application, q, r.seen); verdict.Kind == Chosen {
			return choice, verdict
		}
	} else {
		r.sample(application, q)
		if choice, verdict := best(application, q, r.seen); verdict.Kind == Chosen {
			return choice, verdict
		}
	}
	r.scan(application, maxScanned)
	return best(application, q, r.seen)
}

// sample fills seen with the prefix's holders and some drawn at random.
func (r *Router) sample(application *tracker.Application, q *Query) {
	r.seen = r.seen[:0]
	hints := application.Prefixes.Hints(q.PrefixKey)
	for i := range hints {
		// A hint may outlive its endpoint's listing or its application.
		if e := hints[i].Endpoint; e != nil && e.Listed && e.Application == application.Name {
			r.seen = append(r.seen, e)
		}
	}
	r.draw(application.Local, localSamples)
	r.draw(application.Remote, remoteSamples)
}

func (r *Router) draw(endpoints []*tracker.Endpoint, count int) {
	if len(endpoints) <= count {
		r.seen = append(r.seen, endpoints...)
		return
	}
	// Neighbours from a random place would do as well for one host, but hosts
	// that draw overlapping runs meet at the same gaps more often.
	for range count {
		r.seen = append(r.seen, endpoints[r.rand.IntN(len(endpoints))])
	}
}

// scan fills seen with a run of the endpoints from a random place.
func (r *Router) scan(application *tracker.Application, most int) {
	r.seen = r.seen[:0]
	count := application.Len()
	if count == 0 {
		return
	}
	start := r.rand.IntN(count)
	for i := range min(count, most) {
		r.seen = append(r.seen, application.At((start+i)%count))
	}
}

// best returns the best single endpoint, or the best pair where engines'
// roles are split and a pair is better.
func best(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint) (Choice, Verdict) {
	verdict := Verdict{Kind: None}
	var chosen Choice
	for _, endpoint := range endpoints {
		if !verdict.usable(endpoint, q) || !endpoint.CanPrefill() || !endpoint.CanDecode() {
			continue
		}
		if !q.IgnoreLimits && isFull(application, q, endpoint) {
			verdict.busy()
			continue
		}
		choice := estimate(application, q, endpoint)
		if verdict.Kind != Chosen || choice.score < chosen.score {
			chosen = choice
		}
		verdict.Kind = Chosen
	}
	if application.Summary.IsSplit && q.Kind == configurer.KindGenerate {
		return bestPair(application, q, endpoints, chosen, verdict)
	}
	return chosen, verdict
}

// usable is true where the endpoint may be considered; otherwise the verdict
// learns why not.
func (v *Verdict) usable(endpoint *tracker.Endpoint, q *Query) bool {
	if !endpoint.TakesNewWork() {
		return false
	}
	if left := q.restLeft(endpoint); left > 0 {
		v.pause(Resting, q.Now.Add(left))
		return false
	}
	if slices.Contains(q.Excluded, endpoint.Target.EndpointID) {
		v.HasExcluded = true
		return false
	}
	if endpoint.Breaker.Allows(q.Now) || q.ProbesEarly && endpoint.Breaker.AllowsEarly() {
		return v.hasSlot(endpoint, q)
	}
	v.pause(SetAside, endpoint.Breaker.Until)
	return false
}

// pause notes an endpoint that takes no work until a moment.
func (v *Verdict) pause(kind VerdictKind, until time.Time) {
	switch {
	case kind < v.Kind:
		v.Kind, v.Until = kind, until
	case kind == v.Kind && until.Before(v.Until):
		v.Until = until
	}
}

// restLeft is for how much longer an endpoint wants nothing from this host.
func (q *Query) restLeft(endpoint *tracker.Endpoint) time.Duration {
	if q.RestLeft == nil {
		return 0
	}
	return q.RestLeft(endpoint.Target.Process())
}

// hasSlot is true where the endpoint names no limit, or this host has a slot of it.
func (v *Verdict) hasSlot(endpoint *tracker.Endpoint, q *Query) bool {
	if q.HasSlot == nil || q.HasSlot(endpoint.Target.Process()) {
		return true
	}
	v.busy()
	if !slices.Contains(v.Limited, endpoint) {
		v.Limited = append(v.Limited, endpoint)
	}
	return false
}

// chosen is the verdict where an endpoint was found.
func (v *Verdict) chosen() Verdict { return Verdict{Kind: Chosen, Limited: v.Limited} }

// busy notes an endpoint that would serve and has no room.
func (v *Verdict) busy() { v.Kind = min(v.Kind, Busy) }

// isFull is true where more work would wait at the endpoint and not here.
func isFull(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) bool {
	total := endpoint.Crowd(application.Summary.Peers)
	if total.Requests >= limitFor(q, endpoint) {
		return true
	}
	if total.PrefillTokens == 0 {
		return false
	}
	waiting := application.Model.PrefillCost(total.PrefillTokens)
	return estimator.Scale(waiting, endpoint.Speed) > prefillWindow
}

// limitFor is how many requests the endpoint takes before work of this kind
// has to wait. Patient work leaves room where the tokens of urgent classes
// would come too slowly. It never leaves more than half, since small batches waste
// the engine.
//
// A host ahead of its equal share leaves some places to the others. Whoever ends
// work at an engine knows of the free place first, so that under overload the hosts
// with most work in flight would take nearly all places, and those with little would
// refuse nearly all their callers. The part grows with the excess.
func limitFor(q *Query, endpoint *tracker.Endpoint) int {
	limit := endpoint.Limit
	if q.CalmBatch > 0 {
		limit = min(limit, max(q.CalmBatch, endpoint.Limit/2))
	}
	return limit - int(float64(limit)*min(q.Excess*roomPerExcess, maxRoom))
}

// estimate estimates the work's course at one endpoint.
func estimate(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) Choice {
	model := &application.Model
	total := endpoint.Total()
	choice := Choice{Course: CourseWhole, Decode: endpoint}
	if q.Kind == configurer.KindCall {
		choice.First = estimator.Scale(model.Call(total.Requests), endpoint.Speed)
		choice.Finish = choice.First
		choice.score = withZone(choice.Finish, endpoint)
		return choice
	}
	choice.reuse(application, q, endpoint)
	choice.Ahead = total.PrefillTokens
	choice.First = estimator.Scale(model.FirstToken(choice.Ahead+choice.PrefillTokens), endpoint.Speed)
	gap := estimator.Scale(model.Gap(total.Requests+1), endpoint.Speed)
	choice.finish(q, gap)
	choice.score = withZone(choice.score, endpoint)
	return choice
}

// reuse splits the prompt into what the prefix cache probably gives and the rest.
func (c *Choice) reuse(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) {
	c.ReusedTokens = min(held(application, q, endpoint), q.PrefixTokens, q.PromptTokens)
	c.PrefillTokens = q.PromptTokens - c.ReusedTokens
}

// held is how many tokens of the prompt's prefix an endpoint probably keeps.
func held(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) int {
	if endpoint.Cache.IsKnown && len(q.PrefixParts) > 0 {
		return endpoint.Cache.Prefix(q.PrefixParts)
	}
	return application.Prefixes.Expected(q.PrefixKey, endpoint, q.Now)
}

// finish sets the end and the score. Time beyond a target counts more than the
// time itself, so that an endpoint within the targets goes before a faster one
// that misses one of them.
func (c *Choice) finish(q *Query, gap time.Duration) {
	rest := time.Duration(max(q.OutputTokens-1, 0))
	c.Finish = c.First + rest*gap
	c.score = c.Finish
	if q.FirstTokenDue > 0 && c.First > q.FirstTokenDue {
		c.score += latePenalty * (c.First - q.FirstTokenDue)
	}
	if q.GapTarget > 0 && gap > q.GapTarget {
		c.score += gapPenalty * rest * (gap - q.GapTarget)
	}
}

func withZone(score time.Duration, endpoint *tracker.Endpoint) time.Duration {
	if endpoint.Local {
		return score
	}
	return score + zonePenalty + estimator.Scale(score, zonePenaltyShare)
}
