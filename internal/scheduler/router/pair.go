package router

import (
	"maps"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// bestPair returns a prefill engine and a decode engine if no single engine will
// do or the pair has the better score. The two are chosen one after the other,
// since neither's time depends on the other.
//
// A KV cache is used only by engines of the software version that has written it, so both engines
// have the same one. The best choices of the versions are compared.
func bestPair(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, single Choice, verdict Verdict,
) (Choice, Verdict) {
	if q.SoftwareVersion != "" || application.Summary.SoftwareVersions == nil {
		return bestPairOfVersion(application, q, endpoints, single, verdict)
	}
	chosen, merged := single, verdict
	for _, version := range slices.Sorted(maps.Keys(application.Summary.SoftwareVersions)) {
		ofVersion := *q
		ofVersion.SoftwareVersion = version
		choice, found := bestPairOfVersion(application, &ofVersion, endpoints, single, verdict)
		merged.WithoutSlot = append(merged.WithoutSlot, found.WithoutSlot...)
		switch {
		case found.Kind == Chosen && (merged.Kind != Chosen || choice.score < chosen.score):
			chosen, merged.Kind = choice, Chosen
		case found.Kind != Chosen && merged.Kind != Chosen:
			merged.noteUnavailable(found.Kind, found.RetryAt)
			merged.HasExcluded = merged.HasExcluded || found.HasExcluded
		}
	}
	if merged.Kind == Chosen {
		return chosen, merged.asChosen()
	}
	return chosen, merged
}

// bestPairOfVersion is bestPair for engines of one software version.
func bestPairOfVersion(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, single Choice, verdict Verdict,
) (Choice, Verdict) {
	if q.IsPrefilled {
		if decode, ok := bestDecode(application, q, endpoints, Choice{Path: PathPrefilled}, &verdict); ok {
			return decode, verdict.asChosen()
		}
		return single, verdict
	}
	pair, ok := bestPrefillAndDecode(application, q, endpoints, &verdict)
	direct, hasDirect := bestDirectPrefill(application, q, endpoints, &verdict)
	switch {
	case !hasDirect:
	case ok && direct.score <= pair.score, !ok && !hasPrefillEngine(q, endpoints):
		pair, ok = direct, true
	}
	if !ok || single.Decode != nil && single.score <= pair.score {
		return single, verdict
	}
	return pair, verdict.asChosen()
}

// hasPrefillEngine reports whether an engine that only prefills is available, even
// if it is backlogged: a prompt waits for it rather than delay the requests of a
// decode engine.
func hasPrefillEngine(q *Query, endpoints []*tracker.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e *tracker.Endpoint) bool {
		return e.CanPrefill() && !e.CanDecode() && isAvailable(e, q)
	})
}

// bestPrefillAndDecode returns the best prefill engine with the best decode engine.
func bestPrefillAndDecode(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict) (pair Choice, ok bool) {
	prefill := bestPrefill(application, q, endpoints, verdict)
	if prefill.Prefill == nil {
		return prefill, false
	}
	return bestDecode(application, q, endpoints, prefill, verdict)
}

// bestPrefill returns the engine that would finish the prefill first, with the
// costs of a copy of the prefix added.
func bestPrefill(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict,
) (chosen Choice) {
	homes := findHomes(application, q, endpoints)
	for _, endpoint := range endpoints {
		if !verdict.isUsable(endpoint, q) || !endpoint.CanPrefill() {
			continue
		}
		if !q.IgnoreLimits && isBacklogged(application, q, endpoint) {
			verdict.noteBusy()
			continue
		}
		choice := Choice{Path: PathSoonest, Prefill: endpoint, TokensAhead: endpoint.Total().PrefillTokens}
		choice.setReuse(application, q, endpoint)
		costs := homes.placePrefix(application, q, &choice)
		prefillTime := application.Model.DedicatedPrefill(choice.TokensAhead + choice.PrefillTokens)
		choice.TimeToFirstToken = estimator.Scale(prefillTime, endpoint.CurrentSlowdown()) + costs.transferTime
		choice.score = withZonePenalty(choice.TimeToFirstToken+costs.evictionCost, endpoint) + lateCost(application, q, choice.TimeToFirstToken)
		if chosen.Prefill == nil || choice.score < chosen.score {
			chosen = choice
		}
	}
	return chosen
}

// lateCost returns the penalty for a first token after its target.
func lateCost(application *tracker.Application, q *Query, prefilled time.Duration) time.Duration {
	if q.FirstTokenBudget <= 0 {
		return 0
	}
	return latePenalty * max(prefilled+kvTransfer(application, q)-q.FirstTokenBudget, 0)
}

// isBacklogged reports whether the prompts waiting at a prefill engine take longer
// than this prompt may wait. The short window of engines that also decode would
// send prompts away from the engine that caches their prefix. Projected work of
// peers is left out: long prompts come seldom from each host, and with the
// projection one sent prompt made an engine look full for the rest of the tick.
func isBacklogged(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) bool {
	total := endpoint.Total()
	if total.Requests >= endpoint.Limit {
		return true
	}
	if total.PrefillTokens == 0 {
		return false
	}
	waiting := application.Model.DedicatedPrefillCost(total.PrefillTokens)
	return estimator.Scale(waiting, endpoint.CurrentSlowdown()) > max(prefillWindow, q.FirstTokenBudget)
}

// bestDecode adds the best decode engine to the choice of a prefill engine.
func bestDecode(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, prefill Choice, verdict *Verdict,
) (chosen Choice, ok bool) {
	for _, endpoint := range endpoints {
		if !verdict.isUsable(endpoint, q) || !endpoint.CanDecode() || endpoint == prefill.Prefill {
			continue
		}
		total := endpoint.Total()
		if !q.IgnoreLimits && total.Requests >= endpoint.Limit {
			verdict.noteBusy()
			continue
		}
		choice := prefill
		choice.Decode = endpoint
		choice.TimeToFirstToken += kvTransfer(application, q)
		tokenInterval := estimator.Scale(application.Model.TokenInterval(total.Requests+1), endpoint.CurrentSlowdown())
		choice.setFinish(q, tokenInterval)
		choice.score = withZonePenalty(choice.score, endpoint)
		if !ok || choice.score < chosen.score {
			chosen, ok = choice, true
		}
	}
	return chosen, ok
}

func kvTransfer(application *tracker.Application, q *Query) time.Duration {
	return application.Model.KVTransfer(q.PromptTokens)
}

// isAvailable reports whether the engine takes work of this request now.
func isAvailable(endpoint *tracker.Endpoint, q *Query) bool {
	return endpoint.TakesNewWork() && q.accepts(endpoint) && !endpoint.IsCutOff() && q.backoffRemaining(endpoint) <= 0 && endpoint.Breaker.Allows(q.Now) && !slices.Contains(q.Excluded, endpoint.Target.EndpointID)
}
