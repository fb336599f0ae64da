package cachesharer

import "github.com/endivemast/endivemast/internal/exchanger"

// generations is a bounded set of recently added ids: when the current generation is full, the
// previous one is dropped.
type generations struct {
	limit             int
	current, previous map[string]exchanger.Scope
}

func newGenerations(limit int) generations {
	return generations{limit: limit, current: map[string]exchanger.Scope{}, previous: map[string]exchanger.Scope{}}
}

func (g *generations) has(id string) bool {
	if _, ok := g.current[id]; ok {
		return true
	}
	_, ok := g.previous[id]
	return ok
}

// add adds an id and reports whether it is new.
func (g *generations) add(id string, origin exchanger.Scope) (isNew bool) {
	if _, ok := g.current[id]; ok {
		return false
	}
	known, isKnown := g.previous[id]
	if isKnown {
		origin = min(origin, known)
	}
	if len(g.current) >= g.limit {
		g.current, g.previous = make(map[string]exchanger.Scope, g.limit), g.current
	}
	g.current[id] = origin
	return !isKnown
}

// parts returns the ids whose origin is within a scope.
func (g *generations) parts(scope exchanger.Scope) (parts []exchanger.CachePart) {
	for _, generation := range []map[string]exchanger.Scope{g.previous, g.current} {
		for id, origin := range generation {
			if origin <= scope {
				parts = append(parts, exchanger.CachePart{ID: id})
			}
		}
	}
	return parts
}
