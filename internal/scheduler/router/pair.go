package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// bestPair looks for an engine that prefills and another that decodes, and
// returns them where no single engine would do or they finish earlier. The
// two are chosen one after the other: neither's time depends on the other.
func bestPair(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, single Choice, verdict Verdict,
) (Choice, Verdict) {
	if q.IsRead {
		if decode, ok := bestDecode(application, q, endpoints, Choice{Course: CourseRead}, &verdict); ok {
			return decode, Verdict{Kind: Chosen}
		}
		return single, verdict
	}
	pair, ok := bestSplit(application, q, endpoints, &verdict)
	direct, isDirect := bestDirect(application, q, endpoints, &verdict)
	switch {
	case !isDirect:
	case ok && direct.score <= pair.score, !ok && !hasReader(q, endpoints):
		pair, ok = direct, true
	}
	if !ok || single.Decode != nil && single.score <= pair.score {
		return single, verdict
	}
	return pair, Verdict{Kind: Chosen}
}

// hasReader is true where some engine that only prefills takes work, though it
// may be backlogged: a prompt waits for it rather than hold up the streams of
// an engine that decodes.
func hasReader(q *Query, endpoints []*tracker.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e *tracker.Endpoint) bool {
		return e.CanPrefill() && !e.CanDecode() && isReachable(e, q)
	})
}

func bestSplit(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict) (pair Choice, ok bool) {
	prefill := bestPrefill(application, q, endpoints, verdict)
	if prefill.Prefill == nil {
		return prefill, false
	}
	return bestDecode(application, q, endpoints, prefill, verdict)
}

func bestPrefill(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict,
) (chosen Choice) {
	home, before := homeOf(application, q, endpoints)
	for _, endpoint := range endpoints {
		if home != nil && endpoint != home {
			continue
		}
		if !verdict.usable(endpoint, q) || !endpoint.CanPrefill() {
			continue
		}
		if !q.IgnoreLimits && isBacklogged(application, q, endpoint) {
			verdict.note(Busy)
			continue
		}
		choice := Choice{Course: CourseSoonest, Prefill: endpoint, Ahead: endpoint.Total().PrefillTokens}
		choice.reuse(application, q, endpoint)
		if home != nil {
			choice.Course = CourseHome
			choice.assumeHome(q, before)
		}
		took := application.Model.Reading(choice.Ahead + choice.PrefillTokens)
		choice.First = estimator.Scale(took, endpoint.Speed)
		choice.score = withZone(choice.First, endpoint)
		if chosen.Prefill == nil || choice.score < chosen.score {
			chosen = choice
		}
	}
	return chosen
}

// isBacklogged is true where an engine that only prefills has more prompts
// waiting than it reads while this one may wait. A window as short as that of
// engines that also decode would send prompts away from the engine that holds
// their prefix; and what hosts may have given since their last word is left
// out, since prompts are long and come seldom from each of them: with it, one
// prompt sent made an engine look full for the rest of the tick.
func isBacklogged(application *tracker.Application, q *Query, endpoint *tracker.Endpoint) bool {
	total := endpoint.Total()
	if total.Requests >= endpoint.Limit {
		return true
	}
	if total.PrefillTokens == 0 {
		return false
	}
	waiting := application.Model.ReadingCost(total.PrefillTokens)
	return estimator.Scale(waiting, endpoint.Speed) > max(prefillWindow, q.FirstTokenDue)
}

func bestDecode(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, prefill Choice, verdict *Verdict,
) (chosen Choice, ok bool) {
	for _, endpoint := range endpoints {
		if !verdict.usable(endpoint, q) || !endpoint.CanDecode() || endpoint == prefill.Prefill {
			continue
		}
		total := endpoint.Total()
		if !q.IgnoreLimits && total.Requests >= endpoint.Limit {
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

// homeWorth is from how long a prefix takes to be read on that it is kept to its
// home. Shorter ones are read again wherever the prompt goes.
const homeWorth = 10 * time.Millisecond

// homeOf is the engine that reads all prompts with a prefix; nil: any may. All
// hosts choose it alike, by a hash of prefix and engine: they know little of
// each other's prompts, and an engine that comes or goes moves its own part of
// the prefixes only.
//
// Work waits for its home rather than go elsewhere. Spread over engines with
// less to do, prefixes drove each other out of all caches, each prompt was read
// whole, and the engines were full with half of the work: with it, 2.5 million
// of 9.4 million tokens read were prefixes read again, without it 0.4 of 7.6.
//
// Where a role has changed a moment ago, before is the engine that was the home
// until then and still has the prefix in its cache.
func homeOf(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint) (home, before *tracker.Endpoint) {
	if q.PrefixKey == "" || application.Model.ReadingCost(q.PrefixTokens) < homeWorth {
		return nil, nil
	}
	var best, next, gone uint64 // hashes: of home, of the one behind it, of the best that no longer prefills
	var second, former *tracker.Endpoint
	for _, endpoint := range endpoints {
		weight := xxhash.Sum64String(q.PrefixKey + "@" + endpoint.Target.EndpointID)
		isNew := q.Now.Sub(endpoint.RoleSince) < cacheOutlasts
		switch {
		case !endpoint.CanPrefill():
			if isNew && weight > gone {
				former, gone = endpoint, weight
			}
		case !isReachable(endpoint, q):
		case home == nil || weight > best:
			second, next = home, best
			home, best = endpoint, weight
		case second == nil || weight > next:
			second, next = endpoint, weight
		}
	}
	switch {
	case home == nil:
		return nil, nil
	case former != nil && gone > best:
		return home, former
	case q.Now.Sub(home.RoleSince) < cacheOutlasts:
		return home, second
	}
	return home, nil
}

// cacheOutlasts is for how long after a change of role the caches of before it
// are worth a fetch: prefixes in use move to their new homes within seconds.
const cacheOutlasts = 10 * time.Second

// isReachable is true where the engine takes work of this request now.
func isReachable(endpoint *tracker.Endpoint, q *Query) bool {
	return endpoint.TakesNewWork() && endpoint.Breaker.Allows(q.Now) && !slices.Contains(q.Excluded, endpoint.Target.EndpointID)
}

// assumeHome counts a prefix as held at its home, where any host's work with it
// goes, or as fetched from where its home was before.
func (c *Choice) assumeHome(q *Query, before *tracker.Endpoint) {
	shared := min(q.PrefixTokens, q.PromptTokens)
	if c.ReusedTokens < shared {
		c.FetchFrom = before
	}
	c.ReusedTokens = shared
	c.PrefillTokens = q.PromptTokens - shared
}
