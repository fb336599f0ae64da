package streamkeeper

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Stream identifies a stream.
type Stream struct {
	Class  string
	Tenant string // empty: requests carry no keys
	// RequestID is that of its caller's attempt which brought the first event.
	RequestID string
}

// key identifies a stream at all hosts. It covers the class and the tenant, so that a caller can't
// name a stream of others.
type key [16]byte

func (s *Stream) key() (k key) {
	h := sha256.New()
	for _, part := range []string{s.Class, s.Tenant, s.RequestID} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// record is a stream's origin, as kept.
type record struct {
	key    key
	origin Origin
	until  time.Time // until when a caller may take the stream up

	// class is set for a stream that this host has begun, isDue if it has to be recorded at its keepers,
	// and isSent once it is sent to one.
	class  string
	isDue  bool
	isSent bool
}

// table is a bounded set of records.
type table struct {
	limit   int
	records map[key]*list.Element
	order   *list.List // of *record, by the time of their latest change
}

func newTable(limit int) table {
	return table{limit: limit, records: map[key]*list.Element{}, order: list.New()}
}

// put adds or replaces a record. isDropped is true if the oldest one was dropped for it before its
// time was over.
func (t *table) put(r *record, now time.Time) (isDropped bool) {
	if element := t.records[r.key]; element != nil {
		t.order.Remove(element)
	}
	t.records[r.key] = t.order.PushBack(r)
	if t.order.Len() <= t.limit {
		return false
	}
	oldest := t.order.Front()
	return t.remove(oldest).until.After(now)
}

func (t *table) remove(element *list.Element) *record {
	r := t.order.Remove(element).(*record)
	delete(t.records, r.key)
	return r
}

func (t *table) find(k key, now time.Time) (r *record, ok bool) {
	element := t.records[k]
	if element == nil {
		return nil, false
	}
	r = element.Value.(*record)
	return r, now.Before(r.until)
}

// trim drops the oldest records whose time is over.
func (t *table) trim(now time.Time) {
	for element := t.order.Front(); element != nil && !now.Before(element.Value.(*record).until); element = t.order.Front() {
		t.remove(element)
	}
}
