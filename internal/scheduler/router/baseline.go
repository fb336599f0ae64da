package router

import (
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// chooseBaseline chooses without estimates. It respects what always holds:
// endpoints that leave, are excluded or set aside get nothing.
func (r *Router) chooseBaseline(application *tracker.Application, q *Query) (Choice, Verdict) {
	verdict := Verdict{Kind: NoEndpoint}
	endpoint := r.pick(application, q, &verdict, (*tracker.Endpoint).CanDecode)
	if endpoint == nil {
		return Choice{}, verdict
	}
	choice := estimate(application, q, endpoint)
	if q.Kind == configurer.KindGenerate && !endpoint.CanPrefill() {
		choice.Prefill = r.pick(application, q, &verdict, (*tracker.Endpoint).CanPrefill)
		if choice.Prefill == nil {
			return Choice{}, verdict
		}
		choice.reuse(application, q, choice.Prefill)
		choice.TokensAhead = choice.Prefill.Total().PrefillTokens
	}
	return choice, verdict.chosen()
}

func (r *Router) pick(
	application *tracker.Application, q *Query, verdict *Verdict, fits func(*tracker.Endpoint) bool,
) (chosen *tracker.Endpoint) {
	count := application.Len()
	if count == 0 {
		return nil
	}
	start := r.turn[application.Name]
	for i := range count {
		position := (start + i) % count
		endpoint := application.At(position)
		if !verdict.usable(endpoint, q) || !fits(endpoint) {
			continue
		}
		if !q.IgnoreLimits && endpoint.Own.Requests >= endpoint.Limit {
			verdict.busy()
			continue
		}
		if chosen == nil || endpoint.Own.Requests < chosen.Own.Requests {
			chosen = endpoint
			r.turn[application.Name] = position + 1
		}
		if r.routing == RoundRobin {
			break
		}
	}
	return chosen
}
