package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// engineCost is the engine time that work takes from other work.
type engineCost struct{ prefill, decode time.Duration }

func (c engineCost) total() time.Duration { return c.prefill + c.decode }

// generationCost returns the cost of a generation.
func (s *Scheduler) generationCost(application *tracker.Application, w *waiter, now time.Time) (cost engineCost) {
	work, model, summary := &w.work, &application.Model, &application.Summary
	cost.decode = model.DecodeCost(w.expected, max(summary.MeanBatch, 1))
	if !summary.HasSeparateRoles {
		cost.prefill = model.PrefillCost(s.promptTokens(application, work, now))
		return engineCost{estimator.Scale(cost.prefill, summary.CostScale), estimator.Scale(cost.decode, summary.CostScale)}
	}
	if work.IsPrefilled {
		return cost
	}
	// The model of engines with both roles isn't observed here, and its prior was 2.5 times
	// the time of engines that only prefill. They run no decode steps, so nothing is counted
	// twice that CostScale would have to correct.
	tokens := application.CorrectTokens(work.PromptTokens) + work.DeliveredTokens
	cached, hasPrefillEngine := bestCached(application, work, now)
	tokens = max(tokens-min(cached, work.PrefixTokens), 0)
	if hasPrefillEngine {
		cost.prefill = model.DedicatedPrefillCost(tokens)
	} else {
		cost.prefill = model.DirectPrefillCost(tokens)
	}
	return cost
}

// bestCached returns how many tokens of the prompt's prefix are cached at the usable prefill
// engine that caches most of it.
func bestCached(application *tracker.Application, work *Work, now time.Time) (tokens int, hasPrefillEngine bool) {
	for i := range application.Len() {
		endpoint := application.At(i)
		if !endpoint.CanPrefill() || !endpoint.TakesNewWork() || endpoint.Unreached || !endpoint.Breaker.Allows(now) {
			continue
		}
		hasPrefillEngine = true
		if tokens >= work.PrefixTokens {
			break
		}
		if endpoint.Cache.IsKnown && len(work.PrefixParts) > 0 {
			tokens = max(tokens, endpoint.Cache.CachedTokens(work.PrefixParts))
		} else {
			tokens = max(tokens, application.Prefixes.ExpectedTokens(work.PrefixKey, endpoint, now))
		}
	}
	return tokens, hasPrefillEngine
}
