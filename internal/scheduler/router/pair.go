package router

import (
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// bestPair looks for an engine that prefills and another that decodes, and
// returns them where no single engine would do or they finish earlier. The
// two are chosen one after the other: neither's time depends on the other.
func bestPair(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, single Choice, verdict Verdict,
) (Choice, Verdict) {
	prefill := bestPrefill(application, q, endpoints, &verdict)
	if prefill.Prefill == nil {
		return single, verdict
	}
	pair, ok := bestDecode(application, q, endpoints, prefill, &verdict)
	if !ok {
		return single, verdict
	}
	if single.Decode != nil && single.score <= pair.score {
		return single, verdict
	}
	return pair, Verdict{Kind: Chosen}
}

func bestPrefill(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict,
) (chosen Choice) {
	for _, endpoint := range endpoints {
		if !verdict.usable(endpoint, q) || !endpoint.CanPrefill() {
			continue
		}
		if !q.IgnoreLimits && isFull(application, q, endpoint) {
			verdict.note(Busy)
			continue
		}
		choice := Choice{Prefill: endpoint, Ahead: endpoint.Total().PrefillTokens}
		choice.reuse(application, q, endpoint)
		took := application.Model.FirstToken(choice.Ahead + choice.PrefillTokens)
		choice.First = estimator.Scale(took, endpoint.Speed)
		choice.score = withZone(choice.First, endpoint)
		if chosen.Prefill == nil || choice.score < chosen.score {
			chosen = choice
		}
	}
	return chosen
}

func bestDecode(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, prefill Choice, verdict *Verdict,
) (chosen Choice, ok bool) {
	for _, endpoint := range endpoints {
		if !verdict.usable(endpoint, q) || !endpoint.CanDecode() || endpoint == prefill.Prefill {
			continue
		}
		total := endpoint.Total()
		if !q.IgnoreLimits && endpoint.Crowd(application.Summary.Peers).Requests >= limitFor(q, endpoint) {
			verdict.note(Busy)
			continue
		}
		choice := prefill
		choice.Decode = endpoint
		choice.First += handover(application, q)
		gap := estimator.Scale(application.Model.Gap(total.Requests+1), endpoint.Speed)
		choice.finish(q, gap)
		choice.score = withZone(choice.score, endpoint)
		if !ok || choice.score < chosen.score {
			chosen, ok = choice, true
		}
	}
	return chosen, ok
}

func handover(application *tracker.Application, q *Query) time.Duration {
	return application.Model.Handover(q.PromptTokens)
}
