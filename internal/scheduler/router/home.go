package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// Home engines of a prefix: the engines that prefill the prompts which begin with
// it.

// minHomePrefillTime is the prefill time from which on a prefix is assigned to
// home engines, and fetched from another engine. Shorter prefixes are computed
// again on any engine.
const minHomePrefillTime = 10 * time.Millisecond

// homes are the engines that prefill the prompts with a prefix, the first home
// first. All hosts derive the same homes by rendezvous hashing of prefix and
// engine, as they know little of each other's prompts; an engine that is added or
// removed moves only its own share of the prefixes. The zero value is for prompts
// without home engines.
type homes struct {
	engines []*tracker.Endpoint
	// holders are the two engines that cache most of the prefix; nil: none.
	holders [2]holder
}

// holder is an engine with the number of prefix tokens that it caches.
type holder struct {
	endpoint *tracker.Endpoint
	tokens   int
}

// rankedEngine is an engine with its rendezvous hash.
type rankedEngine struct {
	endpoint *tracker.Endpoint
	weight   uint64
}

// findHomes returns a prefix's homes among the available engines, and the engines
// that cache it.
func findHomes(application *tracker.Application, q *Query, endpoints []*tracker.Endpoint) (h homes) {
	if q.PrefixKey == "" || !HasHomeEngines(application, q.PrefixTokens) {
		return h
	}
	var candidates []rankedEngine
	for _, endpoint := range endpoints {
		if endpoint.Listed && q.accepts(endpoint) {
			h.addHolder(holder{endpoint, cachedTokens(application, q, endpoint)})
		}
		if endpoint.CanPrefill() && isAvailable(endpoint, q) {
			candidates = append(candidates, rankedEngine{endpoint, xxhash.Sum64String(q.PrefixKey + "@" + endpoint.Target.EndpointID)})
		}
	}
	slices.SortFunc(candidates, func(a, b rankedEngine) int { return cmp.Compare(b.weight, a.weight) })
	for _, candidate := range candidates[:min(homesPerPrefix, len(candidates))] {
		h.engines = append(h.engines, candidate.endpoint)
	}
	return h
}

// HasHomeEngines reports whether a prefix takes long enough to prefill to be
// assigned to home engines.
func HasHomeEngines(application *tracker.Application, prefixTokens int) bool {
	return application.Model.DedicatedPrefillCost(prefixTokens) >= minHomePrefillTime
}

// addHolder records an engine if it is among the two that cache most.
func (h *homes) addHolder(candidate holder) {
	switch {
	case candidate.tokens > h.holders[0].tokens:
		h.holders = [2]holder{candidate, h.holders[0]}
	case candidate.tokens > h.holders[1].tokens:
		h.holders[1] = candidate
	}
}

// homesPerPrefix is the number of home engines of a prefix.
const homesPerPrefix = 1

// copyCosts are the costs of a copy of a prefix at an engine that does not cache
// it.
type copyCosts struct {
	transferTime time.Duration // added to the time of this prompt
	evictionCost time.Duration // to other prompts, whose prefixes the copy evicts
}

// evictionCostFactor is the part of the prefill time of a prefix that a copy of it
// counts as cost to other prompts.
const evictionCostFactor = 1.0

// placePrefix sets how the chosen engine gets the prompt's prefix: from its own
// cache, from another engine's cache, or by prefill.
func (h *homes) placePrefix(application *tracker.Application, q *Query, c *Choice) (costs copyCosts) {
	if len(h.engines) == 0 {
		return costs
	}
	shared := min(q.PrefixTokens, q.PromptTokens)
	if c.ReusedTokens >= shared {
		c.Path = PathHome
		return costs
	}
	isHome := slices.Contains(h.engines, c.Prefill)
	if isHome {
		c.Path = PathHome
	}
	if !isHome {
		costs.evictionCost = estimator.Scale(application.Model.DedicatedPrefillCost(shared-c.ReusedTokens), evictionCostFactor)
	}
	source := h.holders[0]
	if source.endpoint == c.Prefill {
		source = h.holders[1]
	}
	if missing := source.tokens - c.ReusedTokens; source.endpoint != nil && application.Model.DedicatedPrefillCost(missing) >= minHomePrefillTime {
		c.FetchSource = source.endpoint
		costs.transferTime = application.Model.KVTransfer(missing)
		c.ReusedTokens = min(source.tokens, shared)
		c.PrefillTokens = q.PromptTokens - c.ReusedTokens
	}
	return costs
}
