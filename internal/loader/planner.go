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

// arrival is one planned request.
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

// plan generates all arrivals of a scenario, ordered by time. Equal seeds give
// equal plans.
func plan(scenario *Scenario, seed uint64, runID string) (arrivals []arrival, err error) {
	for i := range scenario.Classes {
		class := &scenario.Classes[i]
		// Each class has its own generator, so that changing the settings of one
		// class doesn't change the requests of the others.
		rng := rand.New(rand.NewPCG(seed, hashName(class.Tenant+"/"+class.Name)))
		arrivals = append(arrivals, planClass(scenario, i, rng, runID)...)
		if len(arrivals) > maxScenarioRequests {
			return nil, eris.Errorf("scenario %s has more than %d requests", scenario.Name, maxScenarioRequests)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals, nil
}

// planClass generates a class's arrivals by thinning: candidates arrive at each
// phase's peak rate and are kept with probability level / peak.
func planClass(scenario *Scenario, index int, rng *rand.Rand, runID string) []arrival {
	class := &scenario.Classes[index]
	var arrivals []arrival
	var begin time.Duration
	for i := range scenario.Phases {
		phase := &scenario.Phases[i]
		peak := phase.peak(class.Name)
		rate := class.Rate * scenario.RateScale * peak
		for at := nextInterval(rng, rate); rate > 0 && at < phase.Duration; at += nextInterval(rng, rate) {
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

// nextInterval draws the time to the next arrival of a Poisson process.
func nextInterval(rng *rand.Rand, rate float64) time.Duration {
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

// prompt builds an arrival's prompt: its template, if any, followed by a unique
// part, so that no two requests have the same answer.
func (a *arrival) prompt(class *Class) string {
	bytes := a.promptTokens * answerer.BytesPerToken
	var b strings.Builder
	if a.template >= 0 {
		appendFiller(&b, fmt.Sprintf("template %d of %s: ", a.template, class.Name), class.TemplateTokens*answerer.BytesPerToken)
	}
	appendFiller(&b, fmt.Sprintf("%s number %d: ", class.Name, a.number), bytes-b.Len())
	return b.String()
}

// appendFiller writes the whole heading, then filler up to a total of bytes.
func appendFiller(b *strings.Builder, heading string, bytes int) {
	const filler = "and so on "
	b.WriteString(heading)
	rest := bytes - len(heading)
	if rest <= 0 {
		return
	}
	b.WriteString(strings.Repeat(filler, rest/len(filler)+1)[:rest])
}

// prefixKey identifies the arrival's template. It is empty without a template.
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
