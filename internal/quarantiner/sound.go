package quarantiner

import (
	"container/list"
	"time"
)

// soundParts remembers when runs with parts of prompts last succeeded at this host. It is bounded:
// the part whose run was longest ago is dropped.
type soundParts struct {
	limit    int
	elements map[key]*list.Element
	order    *list.List // of *soundPart, by time
}

type soundPart struct {
	key key
	at  time.Time
}

func newSoundParts(limit int) soundParts {
	return soundParts{limit: limit, elements: map[key]*list.Element{}, order: list.New()}
}

// add records a successful run.
func (p *soundParts) add(k key, at time.Time) {
	if element := p.elements[k]; element != nil {
		element.Value.(*soundPart).at = at
		p.order.MoveToBack(element)
		return
	}
	p.elements[k] = p.order.PushBack(&soundPart{key: k, at: at})
	if p.order.Len() > p.limit {
		oldest := p.order.Remove(p.order.Front()).(*soundPart)
		delete(p.elements, oldest.key)
	}
}

// succeededAt returns when a run last succeeded; ok is false if none is remembered.
func (p *soundParts) succeededAt(k key, now time.Time) (at time.Time, ok bool) {
	element := p.elements[k]
	if element == nil {
		return at, false
	}
	at = element.Value.(*soundPart).at
	return at, now.Sub(at) < soundMemory
}
