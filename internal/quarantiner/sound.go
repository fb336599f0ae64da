package quarantiner

import (
	"container/list"
	"time"
)

// successes remembers when runs of requests, or of prompts with a part, last succeeded at this host.
// It is bounded: the entry whose run was longest ago is dropped.
type successes struct {
	limit    int
	elements map[key]*list.Element
	order    *list.List // of *success, by time
}

type success struct {
	key key
	at  time.Time
}

func newSuccesses(limit int) successes {
	return successes{limit: limit, elements: map[key]*list.Element{}, order: list.New()}
}

// add records a successful run.
func (s *successes) add(k key, at time.Time) {
	if element := s.elements[k]; element != nil {
		element.Value.(*success).at = at
		s.order.MoveToBack(element)
		return
	}
	s.elements[k] = s.order.PushBack(&success{key: k, at: at})
	if s.order.Len() > s.limit {
		oldest := s.order.Remove(s.order.Front()).(*success)
		delete(s.elements, oldest.key)
	}
}

// succeededAt returns when a run last succeeded; ok is false if none is remembered.
func (s *successes) succeededAt(k key, now time.Time) (at time.Time, ok bool) {
	element := s.elements[k]
	if element == nil {
		return at, false
	}
	at = element.Value.(*success).at
	return at, now.Sub(at) < soundMemory
}
