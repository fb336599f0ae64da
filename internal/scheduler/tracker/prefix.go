package tracker

import "time"

const (
	prefixHints    = 4    // endpoints remembered for a prefix
	maxPrefixes    = 4096 // of one application; the oldest go first
	hintHalf       = 60 * time.Second
	hintFloor      = 0.1 // of confidence, below which a hint is dropped
	hintAfterEvent = 0.9
	hintAfterGap   = 0.5 // factor after cache events were lost
)

// Hint says that an endpoint probably caches a prefix.
type Hint struct {
	Endpoint    *Endpoint
	Incarnation string // that the hint is about
	Tokens      int
	Confidence  float64 // at the time At
	ObservedAt  time.Time
}

// ExpectedTokens is how many prompt tokens the hint promises now.
func (h *Hint) ExpectedTokens(now time.Time) int {
	if h.Endpoint == nil || h.Incarnation != h.Endpoint.Target.Incarnation {
		return 0
	}
	confidence := h.Confidence
	for age := now.Sub(h.ObservedAt); age >= hintHalf && confidence >= hintFloor; age -= hintHalf {
		confidence /= 2
	}
	if confidence < hintFloor {
		return 0
	}
	return int(float64(h.Tokens) * confidence)
}

type prefix struct {
	hints [prefixHints]Hint
	used  time.Time
}

// Prefixes remembers which endpoints of one application cache which prompt
// prefixes. Cache events are late and have gaps, so an entry is a hint only:
// it fades, and what an engine says it really reused corrects it.
type Prefixes struct {
	table map[string]*prefix
	doubt float64 // share of promised tokens that were not reused, fading
}

const doubtFade = 0.95

// ObserveReuse takes in how many tokens an engine reused of those promised; below 0:
// it did not tell.
func (p *Prefixes) ObserveReuse(expected, reused int) {
	if expected <= 0 || reused < 0 {
		return
	}
	missing := 1 - min(float64(reused)/float64(expected), 1)
	p.doubt = p.doubt*doubtFade + missing*(1-doubtFade)
}

// Hints returns the hints for a prefix; nil when there are none.
func (p *Prefixes) Hints(key string) []Hint {
	if key == "" {
		return nil
	}
	if entry := p.table[key]; entry != nil {
		return entry.hints[:]
	}
	return nil
}

// ExpectedTokens is how many tokens of the prefix an endpoint probably holds.
func (p *Prefixes) ExpectedTokens(key string, endpoint *Endpoint, now time.Time) int {
	for i := range p.Hints(key) {
		if hint := &p.table[key].hints[i]; hint.Endpoint == endpoint {
			return int(float64(hint.ExpectedTokens(now)) * (1 - p.doubt))
		}
	}
	return 0
}

// MaxExpectedTokens is how many tokens of the prefix the endpoint that work with it would
// probably be given holds.
func (p *Prefixes) MaxExpectedTokens(key string, now time.Time) (tokens int) {
	hints := p.Hints(key)
	for i := range hints {
		tokens = max(tokens, hints[i].ExpectedTokens(now))
	}
	return int(float64(tokens) * (1 - p.doubt))
}

// Store notes that an endpoint holds a prefix.
func (p *Prefixes) Store(key string, endpoint *Endpoint, tokens int, now time.Time) {
	if key == "" || tokens <= 0 {
		return
	}
	hints := &p.entry(key, now).hints
	slot := &hints[0]
	for i := range hints {
		hint := &hints[i]
		if hint.Endpoint == endpoint {
			slot = hint
			break
		}
		if hint.ExpectedTokens(now) < slot.ExpectedTokens(now) {
			slot = hint
		}
	}
	*slot = Hint{
		Endpoint:    endpoint,
		Incarnation: endpoint.Target.Incarnation,
		Tokens:      tokens,
		Confidence:  hintAfterEvent,
		ObservedAt:  now,
	}
}

// Evict notes that an endpoint no longer holds a prefix.
func (p *Prefixes) Evict(key string, endpoint *Endpoint) {
	for i := range p.Hints(key) {
		if hint := &p.table[key].hints[i]; hint.Endpoint == endpoint {
			*hint = Hint{}
		}
	}
}

// LowerConfidence lowers the confidence in all hints about an endpoint after a gap in
// its events: an eviction may be among those that were lost.
func (p *Prefixes) LowerConfidence(endpoint *Endpoint) {
	for _, entry := range p.table {
		for i := range entry.hints {
			if entry.hints[i].Endpoint == endpoint {
				entry.hints[i].Confidence *= hintAfterGap
			}
		}
	}
}

func (p *Prefixes) entry(key string, now time.Time) *prefix {
	if p.table == nil {
		p.table = make(map[string]*prefix)
	}
	entry := p.table[key]
	if entry == nil {
		if len(p.table) >= maxPrefixes {
			p.dropOldest()
		}
		entry = &prefix{}
		p.table[key] = entry
	}
	entry.used = now
	return entry
}

// dropOldest frees one place. It looks at some entries only: maps are walked
// in random order, and the oldest of 16 is old enough.
func (p *Prefixes) dropOldest() {
	var oldestKey string
	var oldest *prefix
	seen := 0
	for key, entry := range p.table {
		if oldest == nil || entry.used.Before(oldest.used) {
			oldestKey, oldest = key, entry
		}
		if seen++; seen == 16 {
			break
		}
	}
	delete(p.table, oldestKey)
}
