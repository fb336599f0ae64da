package router

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// Direct prefill: an engine with the decode role prefills the prompt itself,
// alongside the requests that it decodes.

// directPrefillPenalty weights the prefill time that is added to the score of a
// decode engine, as all its requests wait during the prefill. The weight grows
// with the share of its slots in use. With a constant weight, a burst of short
// prompts kept the decode engines prefilling for nearly all of their time, while
// the prefill engines were nearly idle.
const (
	directPrefillPenalty = 2
	// maxSlotShare is the share of slots in use at which the weight becomes infinite.
	// It is a little above 1 because slots in use are known with a delay.
	maxSlotShare = 1.1
)

// directPrefillCost returns the weighted time for which the prefill of the tokens
// delays the requests that the endpoint decodes.
func directPrefillCost(application *tracker.Application, endpoint *tracker.Endpoint, tokens int) time.Duration {
	slotShare := float64(endpoint.Total().Requests) / float64(max(endpoint.Limit, 1))
	freeShare := max(maxSlotShare-slotShare, maxSlotShare-1)
	return estimator.Scale(application.Model.DirectPrefillCost(tokens), directPrefillPenalty/freeShare)
}

// bestDirectPrefill returns the decode engine that would serve the prompt best
// without a prefill engine. Its prefill is slower than that of a prefill engine,
// but short prompts need no second engine and no KV cache transfer.
func bestDirectPrefill(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict) (chosen Choice, ok bool) {
	hasPrefillEngines := hasPrefillEngine(q, endpoints)
	for _, endpoint := range endpoints {
		if !verdict.isUsable(endpoint, q) || !endpoint.CanDecode() || endpoint.CanPrefill() {
			continue
		}
		total := endpoint.Total()
		choice := Choice{Path: PathDirect, Decode: endpoint, TokensAhead: total.PrefillTokens}
		choice.setReuse(application, q, endpoint)
		isFull := total.Requests >= endpoint.Limit || hasPrefillEngines && choice.TokensAhead+choice.PrefillTokens > prefillBudget(application, endpoint)
		if !q.IgnoreLimits && isFull {
			verdict.noteBusy()
			continue
		}
		choice.TimeToFirstToken = estimator.Scale(application.Model.DirectPrefill(choice.TokensAhead+choice.PrefillTokens), endpoint.CurrentSlowdown())
		tokenInterval := estimator.Scale(application.Model.TokenInterval(total.Requests+1), endpoint.CurrentSlowdown())
		choice.setFinish(q, tokenInterval)
		choice.score = withZonePenalty(choice.score, endpoint) + directPrefillCost(application, endpoint, choice.PrefillTokens)
		if !ok || choice.score < chosen.score {
			chosen, ok = choice, true
		}
	}
	return chosen, ok
}

// pauseBudgetShare of the time by which an engine may still delay its running
// requests is given to prefill. The rest is left for prompts that other hosts send
// before the hosts have received each other's loads.
const pauseBudgetShare = 0.5

// prefillBudget returns how many prompt tokens a decode engine may have queued for
// prefill. Its running requests pause during the prefill, so the time for these
// tokens plus a regular step has to stay within the target between tokens.
func prefillBudget(application *tracker.Application, endpoint *tracker.Endpoint) int {
	target, tokenTime := application.Demand.TokenIntervalTarget, application.Model.DirectPrefillCost(1).Seconds()
	if target <= 0 || tokenTime <= 0 {
		return math.MaxInt
	}
	tokenInterval := application.Model.TokenInterval(endpoint.Total().Requests + 1).Seconds()
	return int(max(target-tokenInterval*endpoint.CurrentSlowdown(), 0) * pauseBudgetShare / (tokenTime * endpoint.CurrentSlowdown()))
}
