package comparer

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/standins/engineserver"
	"github.com/endivemast/endivemast/standins/placer"
)

// The upper bound of the weighted goodput follows from the engines' time model
// and the requests of a run. The capacity of an application's engines is their
// total time from the first arrival to the last possible answer in time. Serving
// a set of requests takes at least
//
//	steps × base + output tokens × per sequence + prompt tokens × per prompt token
//
// of it. The batch size, the chunk size and the KV memory each give a lower bound
// for the number of steps. For each of the three, a fractional knapsack gives the
// largest weight that fits. A fourth bound follows from the prefill, which has to
// be done by the first-token target. The smallest of the four is the bound. It is
// computed per phase and for the whole run, and the tighter of the two counts.
// Prefixes count as always cached. Plain services are not bounded.

// item is the weight and the cost of a request.
type item struct {
	weight float64
	cost   float64 // engine seconds
}

// constraint gives the minimum engine seconds of a request, and the target by
// which they have to be spent.
type constraint struct {
	cost     func(*loader.Demand) float64
	deadline func(*loader.Class) time.Duration
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

// bound returns an upper bound, from 0 to 1, for the weighted share of a
// scenario's requests that can be in time.
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
		weight := totalWeight(scenario, own)
		all += weight
		if count := engines[application.Name]; count > 0 {
			good += min(boundWindow(scenario, own, count, scenario.Duration()), boundByPhase(scenario, own, count))
		} else {
			good += weight
		}
	}
	if all == 0 {
		return 0
	}
	return good / all
}

func totalWeight(scenario *loader.Scenario, demands []loader.Demand) (sum float64) {
	for i := range demands {
		sum += scenario.Classes[demands[i].Class].Weight
	}
	return sum
}

func boundByPhase(scenario *loader.Scenario, demands []loader.Demand, engines int) (sum float64) {
	var start time.Duration
	for i := range scenario.Phases {
		duration := scenario.Phases[i].Duration
		inPhase := slices.DeleteFunc(slices.Clone(demands), func(demand loader.Demand) bool {
			return demand.At < start || demand.At >= start+duration
		})
		sum += boundWindow(scenario, inPhase, engines, duration)
		start += duration
	}
	return sum
}

// boundWindow returns an upper bound for the weight of the requests that can be
// in time. All of them arrive within a window of the given duration.
func boundWindow(scenario *loader.Scenario, demands []loader.Demand, engines int, duration time.Duration) float64 {
	bounded := totalWeight(scenario, demands)
	for _, c := range constraints(placer.TimeModel()) {
		var longest time.Duration
		items := make([]item, len(demands))
		for i := range demands {
			class := &scenario.Classes[demands[i].Class]
			longest = max(longest, c.deadline(class))
			items[i] = item{weight: class.Weight, cost: c.cost(&demands[i])}
		}
		bounded = min(bounded, knapsack(items, float64(engines)*(duration+longest).Seconds()))
	}
	return bounded
}

// knapsack solves the fractional knapsack problem: it returns the largest weight
// that fits into a capacity. Parts of an item count.
func knapsack(items []item, capacity float64) (weight float64) {
	slices.SortFunc(items, func(a, b item) int {
		switch worthA, worthB := a.weight*b.cost, b.weight*a.cost; {
		case worthA > worthB:
			return -1
		case worthA < worthB:
			return 1
		}
		return 0
	})
	for _, n := range items {
		if n.cost > capacity {
			return weight + n.weight*capacity/n.cost
		}
		capacity -= n.cost
		weight += n.weight
	}
	return weight
}

// utilisation returns, for each application with engines, the minimum engine
// seconds of its requests as a share of the engine seconds of the scenario's
// duration.
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
