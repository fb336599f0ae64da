package cachesharer

import "github.com/endivemast/endivemast/internal/exchanger"

// logged is a word with where it comes from.
type logged struct {
	word   exchanger.CacheWord
	origin exchanger.Scope
}

// wordLog keeps the latest words, for peers that each are told up to another
// position of it.
type wordLog struct {
	limit int
	head  uint64 // position of the latest word; 0: none yet
	words []logged
}

func (l *wordLog) add(word exchanger.CacheWord, origin exchanger.Scope) {
	l.head++
	l.words = append(l.words, logged{word, origin})
	if len(l.words) > 2*l.limit { // cut seldom: the rest is copied
		l.words = append([]logged(nil), l.words[len(l.words)-l.limit:]...)
	}
}

// since returns the words behind a position; ok is false where they are not all
// kept, or the position is of another log.
func (l *wordLog) since(after uint64, scope exchanger.Scope) (words []exchanger.CacheWord, ok bool) {
	missing := l.head - after
	if after > l.head || after == 0 || missing > uint64(len(l.words)) {
		return nil, false
	}
	for _, entry := range l.words[uint64(len(l.words))-missing:] {
		if entry.origin <= scope {
			words = append(words, entry.word)
		}
	}
	return words, true
}

// generations remember what was added lately: when the younger one is full, the
// older one is forgotten.
type generations struct {
	limit      int
	young, old map[string]exchanger.Scope
}

func newGenerations(limit int) generations {
	return generations{limit: limit, young: map[string]exchanger.Scope{}, old: map[string]exchanger.Scope{}}
}

func (g *generations) has(id string) bool {
	if _, ok := g.young[id]; ok {
		return true
	}
	_, ok := g.old[id]
	return ok
}

// add is true for an id that was not remembered.
func (g *generations) add(id string, origin exchanger.Scope) (isNew bool) {
	if _, ok := g.young[id]; ok {
		return false
	}
	known, isOld := g.old[id]
	if isOld {
		origin = min(origin, known)
	}
	if len(g.young) >= g.limit {
		g.young, g.old = make(map[string]exchanger.Scope, g.limit), g.young
	}
	g.young[id] = origin
	return !isOld
}

// parts are those that a scope takes in.
func (g *generations) parts(scope exchanger.Scope) (parts []exchanger.CachePart) {
	for _, generation := range []map[string]exchanger.Scope{g.old, g.young} {
		for id, origin := range generation {
			if origin <= scope {
				parts = append(parts, exchanger.CachePart{ID: id})
			}
		}
	}
	return parts
}
