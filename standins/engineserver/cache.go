package engineserver

import (
	"container/list"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// prefixCache is an LRU cache of prompt prefixes with a limited number of
// tokens.
type prefixCache struct {
	capacity int // tokens
	used     int
	order    *list.List // of *prefix, most recently used first
	byKey    map[string]*list.Element
}

type prefix struct {
	key    string
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byKey: make(map[string]*list.Element)}
}

// hit returns how many tokens of a prefix are cached, and marks it as used.
func (c *prefixCache) hit(key string, tokens int) int {
	element, ok := c.byKey[key]
	if !ok || key == "" {
		return 0
	}
	c.order.MoveToFront(element)
	return min(tokens, element.Value.(*prefix).tokens)
}

// peek returns how many tokens of a prefix are cached without marking it as
// used.
func (c *prefixCache) peek(key string, tokens int) int {
	element, ok := c.byKey[key]
	if !ok || key == "" {
		return 0
	}
	return min(tokens, element.Value.(*prefix).tokens)
}

// store caches a prefix and returns the prefixes evicted for it; stored is
// false when it is cached already or exceeds the capacity.
func (c *prefixCache) store(key string, tokens int) (evicted []prefix, stored bool) {
	if key == "" || tokens <= 0 || tokens > c.capacity || c.peek(key, tokens) == tokens {
		return nil, false
	}
	if element, ok := c.byKey[key]; ok {
		c.remove(element) // replaced by another length
	}
	for c.used+tokens > c.capacity {
		evicted = append(evicted, c.remove(c.order.Back()))
	}
	c.byKey[key] = c.order.PushFront(&prefix{key: key, tokens: tokens})
	c.used += tokens
	return evicted, true
}

// clear evicts all prefixes and returns them.
func (c *prefixCache) clear() (evicted []prefix) {
	for c.order.Len() > 0 {
		evicted = append(evicted, c.remove(c.order.Back()))
	}
	return evicted
}

func (c *prefixCache) remove(element *list.Element) prefix {
	p := c.order.Remove(element).(*prefix)
	delete(c.byKey, p.key)
	c.used -= p.tokens
	return *p
}

// eventLog publishes cache events with a delay and drops some of them.
type eventLog struct {
	delay        time.Duration
	dropInterval int // every dropInterval-th event is dropped; 0: none
	maxEvents    int
	last         int64 // sequence of the last event, published or not
	events       []datedEvent
}

type datedEvent struct {
	event driver.CacheEvent
	due   time.Time
}

func (l *eventLog) add(now time.Time, key string, tokens int, evicted bool) {
	l.last++
	if l.dropInterval > 0 && l.last%int64(l.dropInterval) == 0 {
		return // readers detect the gap in the sequence numbers
	}
	event := driver.CacheEvent{Sequence: l.last, PrefixKey: key, Tokens: tokens, Evicted: evicted}
	l.events = append(l.events, datedEvent{event: event, due: now.Add(l.delay)})
	if len(l.events) > l.maxEvents {
		l.events = l.events[len(l.events)-l.maxEvents:]
	}
}

// since returns the published events after a sequence number, the sequence
// number for the next call, and whether events in between are missing.
func (l *eventLog) since(now time.Time, sequence int64) (events []driver.CacheEvent, next int64, lost bool) {
	if sequence > l.last {
		sequence, lost = 0, true // the sequence number was issued by an earlier process
	}
	next = sequence
	for _, e := range l.events {
		if e.due.After(now) {
			break
		}
		if e.event.Sequence <= sequence {
			continue
		}
		lost = lost || e.event.Sequence != next+1
		next = e.event.Sequence
		events = append(events, e.event)
	}
	return events, next, lost
}
