package comparer

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/standins/engineserver"
	"github.com/endivemast/endivemast/standins/placer"
)

// The upper bound of the weighted goodput follows from the engines' time model
// and the requests that a run sends. Engines of an application have, from the
// first arrival until the last answer that is still in time, so many seconds.
// Serving a set of requests takes them at least
//
//	steps × base + output tokens × per sequence + prompt tokens × per prompt token
//
// and at least as many steps as the batch, the chunk or the memory asks for.
// With each of the three alone, the largest weight that fits is that of a
// fractional knapsack; the least of the three bounds the whole. Prompts have to
// be computed until the first-token target already, which gives a fourth. It is
// taken for each phase and for the whole run, and the tighter one counts.
// Prefixes count as always cached. Plain services are not bounded.

// need is what a request takes of its engines.
type need struct {
	weight float64
	cost   float64 // engine seconds
}

// constraint gives the least engine seconds of a request, and by when they
// have to be spent.
type constraint struct {
	cost  func(*loader.Demand) float64
	until func(*loader.Class) time.Duration
}

func constraints(model engineserver.TimeModel) []constraint {
	base, perSequence, perPrompt := model.StepBase.Seconds(), model.PerSequence.Seconds(), model.PerPrefillToken.Seconds()
	completion := func(class *loader.Class) time.Duration { return class.CompletionTarget }
	linear := func(d *loader.Demand) float64 {
		return float64(d.OutputTokens)*perSequence + float64(d.PromptTokens-d.PrefixTokens)*perPrompt
	}
	byBatch := func(d *loader.Demand) float64 {
		return linear(d) + base*float64(d.OutputTokens)/float64(model.MaxBatch)
	}
	byChunk := func(d *loader.Demand) float64 {
		return linear(d) + base*float64(d.PromptTokens-d.PrefixTokens)/float64(model.ChunkTokens)
	}
	byMemory := func(d *loader.Demand) float64 {
		tokens := float64(d.OutputTokens) * float64(d.PromptTokens+d.OutputTokens)
		return linear(d) + base*tokens/float64(model.KVTokens)
	}
	prompt := func(d *loader.Demand) float64 {
		return float64(d.PromptTokens-d.PrefixTokens) * (perPrompt + base/float64(model.ChunkTokens))
	}
	first := func(class *loader.Class) time.Duration {
		if class.FirstTokenTarget > 0 {
			return class.FirstTokenTarget
		}
		return class.CompletionTarget
	}
	return []constraint{{byBatch, completion}, {byChunk, completion}, {byMemory, completion}, {prompt, first}}
}

// bound returns the weighted share of a scenario's requests that could be in time.
func bound(d placer.Deployment, scenario *loader.Scenario, demands []loader.Demand) float64 {
	engines := make(map[string]int)
	for _, group := range d.Engines {
		engines[group.Application] = group.Count
	}
	var good, all float64
	for _, application := range scenario.Applications {
		own := slices.DeleteFunc(slices.Clone(demands), func(demand loader.Demand) bool {
			return scenario.Classes[demand.Class].Application != application.Name
		})
		weight := weightOf(scenario, own)
		all += weight
		if count := engines[application.Name]; count > 0 {
			good += min(boundOf(scenario, own, count, scenario.Duration()), boundByPhase(scenario, own, count))
		} else {
			good += weight
		}
	}
	if all == 0 {
		return 0
	}
	return good / all
}

func weightOf(scenario *loader.Scenario, demands []loader.Demand) (sum float64) {
	for i := range demands {
		sum += scenario.Classes[demands[i].Class].Weight
	}
	return sum
}

func boundByPhase(scenario *loader.Scenario, demands []loader.Demand, engines int) (sum float64) {
	var begin time.Duration
	for i := range scenario.Phases {
		lasts := scenario.Phases[i].Duration
		own := slices.DeleteFunc(slices.Clone(demands), func(demand loader.Demand) bool {
			return demand.At < begin || demand.At >= begin+lasts
		})
		sum += boundOf(scenario, own, engines, lasts)
		begin += lasts
	}
	return sum
}

// boundOf bounds the weight of the requests of a stretch of time that can be in time.
func boundOf(scenario *loader.Scenario, demands []loader.Demand, engines int, lasts time.Duration) float64 {
	least := weightOf(scenario, demands)
	for _, c := range constraints(placer.TimeModel()) {
		var longest time.Duration
		needs := make([]need, len(demands))
		for i := range demands {
			class := &scenario.Classes[demands[i].Class]
			longest = max(longest, c.until(class))
			needs[i] = need{weight: class.Weight, cost: c.cost(&demands[i])}
		}
		least = min(least, knapsack(needs, float64(engines)*(lasts+longest).Seconds()))
	}
	return least
}

// knapsack returns the largest weight that fits into a capacity when parts of
// a need count.
func knapsack(needs []need, capacity float64) (weight float64) {
	slices.SortFunc(needs, func(a, b need) int {
		switch worthA, worthB := a.weight*b.cost, b.weight*a.cost; {
		case worthA > worthB:
			return -1
		case worthA < worthB:
			return 1
		}
		return 0
	})
	for _, n := range needs {
		if n.cost > capacity {
			return weight + n.weight*capacity/n.cost
		}
		capacity -= n.cost
		weight += n.weight
	}
	return weight
}

// utilisation is, for each application with engines, the engine seconds that
// its requests take at least as a share of those until the last arrival.
func utilisation(d placer.Deployment, scenario *loader.Scenario, demands []loader.Demand) map[string]float64 {
	shares := make(map[string]float64)
	for _, group := range d.Engines {
		for _, c := range constraints(placer.TimeModel()) {
			var sum float64
			for i := range demands {
				if scenario.Classes[demands[i].Class].Application == group.Application {
					sum += c.cost(&demands[i])
				}
			}
			share := sum / (float64(group.Count) * scenario.Duration().Seconds())
			shares[group.Application] = max(shares[group.Application], share)
		}
	}
	return shares
}
