package loader

import (
	"time"

	"github.com/endivemast/endivemast/standins/answerer"
)

// Demand is the work of one request of a scenario for an engine.
type Demand struct {
	At           time.Duration // since the run's start
	Class        int           // index into the scenario's classes
	PromptTokens int
	PrefixTokens int // of the prompt, shared with other requests
	OutputTokens int // of the complete answer
}

// Demands lists the requests that a run of the scenario with the seed sends.
// Requests that their callers abandon are left out.
func Demands(scenario *Scenario, seed uint64) ([]Demand, error) {
	arrivals, err := plan(scenario, seed, "")
	if err != nil {
		return nil, err
	}
	demands := make([]Demand, 0, len(arrivals))
	for i := range arrivals {
		next := &arrivals[i]
		class := &scenario.Classes[next.class]
		if next.abandon {
			continue
		}
		demand := Demand{At: next.at, Class: next.class, PromptTokens: next.promptTokens}
		if next.template >= 0 {
			demand.PrefixTokens = min(class.TemplateTokens, next.promptTokens)
		}
		if class.Kind == KindGenerate {
			text := next.prompt(class)
			demand.OutputTokens = answerer.Length(answerer.Seed(class.Application, text), next.maxOutputTokens)
		}
		demands = append(demands, demand)
	}
	return demands, nil
}

// ScaleDurations multiplies the durations and periods of all phases by a
// factor. The rates are unchanged.
func (s *Scenario) ScaleDurations(factor float64) {
	for i := range s.Phases {
		phase := &s.Phases[i]
		phase.Duration = time.Duration(float64(phase.Duration) * factor)
		phase.Period = time.Duration(float64(phase.Period) * factor)
	}
}
