package router

import (
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
	prefill := bestPrefill(application, q, endpoints, &verdict)
	if prefill.Prefill == nil {
		return single, verdict
	}
	pair, ok := bestDecode(application, q, endpoints, prefill, &verdict)
	if !ok {
		return single, verdict
	}
	if direct, ok := bestDirect(application, q, endpoints, &verdict); ok && direct.score <= pair.score {
		pair = direct
	}
	if single.Decode != nil && single.score <= pair.score {
		return single, verdict
	}
	return pair, Verdict{Kind: Chosen}
}

// directPenalty times the time for reading a prompt is added where the engine
// that decodes reads it too: all its streams wait meanwhile.
const directPenalty = 2

// bestDirect looks for an engine that decodes to read the prompt as well. That
// is slower than on an engine that only reads, but spares short prompts a
// second engine and the way between the two.
func bestDirect(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict) (chosen Choice, ok bool) {
	for _, endpoint := range endpoints {
		if !verdict.usable(endpoint, q) || !endpoint.CanDecode() || endpoint.CanPrefill() {
			continue
		}
		total := endpoint.Total()
		if !q.IgnoreLimits && total.Requests >= endpoint.Limit {
			verdict.note(Busy)
			continue
		}
		choice := Choice{Decode: endpoint, Ahead: total.PrefillTokens}
		choice.reuse(application, q, endpoint)
		choice.First = estimator.Scale(application.Model.Direct(choice.Ahead+choice.PrefillTokens), endpoint.Speed)
		gap := estimator.Scale(application.Model.Gap(total.Requests+1), endpoint.Speed)
		choice.finish(q, gap)
		choice.score = withZone(choice.score, endpoint) + directPenalty*application.Model.DirectCost(choice.PrefillTokens)
		if !ok || choice.score < chosen.score {
			chosen, ok = choice, true
		}
	}
	return chosen, ok
}

func bestPrefill(
	application *tracker.Application, q *Query, endpoints []*tracker.Endpoint, verdict *Verdict,
) (chosen Choice) {
	homes := homesOf(q, endpoints)
	for _, endpoint := range endpoints {
		if !verdict.usable(endpoint, q) || !endpoint.CanPrefill() {
			continue
		}
		if !q.IgnoreLimits && isBacklogged(application, q, endpoint) {
			verdict.note(Busy)
			continue
		}
		choice := Choice{Prefill: endpoint, Ahead: endpoint.Total().PrefillTokens}
		choice.reuse(application, q, endpoint)
		choice.assumeHome(q, endpoint, homes)
		took := application.Model.Reading(choice.Ahead + choice.PrefillTokens)
		choice.First = estimator.Scale(took, endpoint.Speed)
		choice.score = withZone(choice.First, endpoint) + rereadPenalty*application.Model.ReadingCost(choice.missed(q))
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

// rereadPenalty times the time for tokens that some other engine holds is added
// to an engine's estimate. Reading a prefix again takes the engine from the
// prompts behind as well as from this one: counted once, each burst spread the
// prefixes over all engines, which then read five prompts' worth for one.
const rereadPenalty = 2

// missed is how many tokens of the prefix the choice has to have read again.
func (c *Choice) missed(q *Query) int {
	return max(min(q.PrefixTokens, q.PromptTokens)-c.ReusedTokens, 0)
}

// homes is the engine that all hosts agree on for a prefix, and the one that
// takes its place.
type homes [2]*tracker.Endpoint

// homesOf orders the engines that may prefill by a hash of prefix and engine,
// so that hosts which know nothing of each other's prompts read a prefix on
// the same engine, and an engine that comes or goes moves its own part only.
func homesOf(q *Query, endpoints []*tracker.Endpoint) (h homes) {
	if q.PrefixKey == "" {
		return h
	}
	var best [2]uint64
	for _, endpoint := range endpoints {
		if !endpoint.CanPrefill() || !endpoint.TakesNewWork() {
			continue
		}
		weight := xxhash.Sum64String(q.PrefixKey + "@" + endpoint.Target.EndpointID)
		switch {
		case h[0] == nil || weight > best[0]:
			h[1], best[1] = h[0], best[0]
			h[0], best[0] = endpoint, weight
		case h[1] == nil || weight > best[1]:
			h[1], best[1] = endpoint, weight
		}
	}
	return h
}

// assumeHome counts a prefix as held at its home, where any host's work with
// it goes first. Another engine can fetch it from there, which takes a small
// part of the time for reading it.
func (c *Choice) assumeHome(q *Query, endpoint *tracker.Endpoint, h homes) {
	shared := min(q.PrefixTokens, q.PromptTokens)
	if h[0] == nil || c.ReusedTokens >= shared {
		return
	}
	missing := shared - c.ReusedTokens
	if endpoint == h[0] {
		missing = 0
	} else {
		c.FetchFrom = h[0]
		missing /= fetchPart
	}
	c.ReusedTokens = shared - missing
	c.PrefillTokens = q.PromptTokens - c.ReusedTokens
}

// fetchPart of the tokens of a prefix count as read where it is fetched from
// another engine. Links carry tokens some twenty times faster than engines read
// them; transfers also wait for one another.
const fetchPart = 10
