package loader

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/standins/answerer"
)

// arrival is one request to be sent.
type arrival struct {
	at              time.Duration // since the run's start
	class           int           // index into the scenario's classes
	number          int           // within its class
	key             string        // idempotency key; empty when the call may be repeated
	promptTokens    int
	maxOutputTokens int
	template        int // -1: none
	abandon         bool
	resend          bool
}

// plan draws all arrivals of a scenario in the order of their times. Equal
// seeds give equal plans, whatever the system does.
func plan(scenario *Scenario, seed uint64, runID string) (arrivals []arrival, err error) {
	for i := range scenario.Classes {
		class := &scenario.Classes[i]
		// A generator for each class: a change of one class's settings leaves
		// the other classes' requests as they were.
		rng := rand.New(rand.NewPCG(seed, hashName(class.Tenant+"/"+class.Name)))
		arrivals = append(arrivals, planClass(scenario, i, rng, runID)...)
		if len(arrivals) > maxScenarioRequests {
			return nil, eris.Errorf("scenario %s has more than %d requests", scenario.Name, maxScenarioRequests)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals, nil
}

// planClass draws a class's arrivals by thinning: candidates come at each
// phase's peak rate, and one is kept with the probability of its level.
func planClass(scenario *Scenario, index int, rng *rand.Rand, runID string) []arrival {
	class := &scenario.Classes[index]
	var arrivals []arrival
	var begin time.Duration
	for i := range scenario.Phases {
		phase := &scenario.Phases[i]
		peak := phase.peak(class.Name)
		rate := class.Rate * scenario.RateScale * peak
		for at := nextGap(rng, rate); rate > 0 && at < phase.Duration; at += nextGap(rng, rate) {
			if rng.Float64()*peak >= phase.level(class.Name, at) {
				continue
			}
			next := drawArrival(class, rng)
			next.at, next.class, next.number = begin+at, index, len(arrivals)
			if !class.Repeatable {
				next.key = fmt.Sprintf("%s-%s-%d", runID, class.Name, next.number)
			}
			arrivals = append(arrivals, next)
		}
		begin += phase.Duration
	}
	return arrivals
}

// nextGap is the time to the next arrival of a Poisson process.
func nextGap(rng *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func drawArrival(class *Class, rng *rand.Rand) arrival {
	next := arrival{template: -1}
	if class.Kind == KindGenerate {
		next.promptTokens = class.PromptTokens.Sample(rng)
		next.maxOutputTokens = class.OutputTokens.Sample(rng)
		if class.Templates > 0 {
			next.template = rng.IntN(class.Templates)
		}
	}
	next.abandon = rng.Float64() < class.AbandonShare
	next.resend = !next.abandon && rng.Float64() < class.ResendShare
	return next
}

// prompt builds an arrival's prompt: its template first, then a part of its
// own, so that no two requests have the same answer.
func (a *arrival) prompt(class *Class) string {
	bytes := a.promptTokens * answerer.BytesPerToken
	var b strings.Builder
	if a.template >= 0 {
		fill(&b, fmt.Sprintf("template %d of %s: ", a.template, class.Name), class.TemplateTokens*answerer.BytesPerToken)
	}
	fill(&b, fmt.Sprintf("%s number %d: ", class.Name, a.number), bytes-b.Len())
	return b.String()
}

// fill writes a heading whole and then filler up to a number of bytes.
func fill(b *strings.Builder, heading string, bytes int) {
	const filler = "and so on "
	b.WriteString(heading)
	rest := bytes - len(heading)
	if rest <= 0 {
		return
	}
	b.WriteString(strings.Repeat(filler, rest/len(filler)+1)[:rest])
}

// prefixKey names the arrival's template; it is empty when it has none.
func (a *arrival) prefixKey(class *Class) string {
	if a.template < 0 {
		return ""
	}
	return fmt.Sprintf("%s-%s-%d", class.Tenant, class.Name, a.template)
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
