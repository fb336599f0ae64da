package dispatcher

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strconv"

	"github.com/endivemast/endivemast/internal/driver"
)

// This file checks, by the ids of events, that an endpoint goes on with a stream where the one before it
// broke off. The events of one endpoint pass unchanged, whatever their ids.

// errWrongContinuation means that an endpoint did not go on after the last event that the caller has.
var errWrongContinuation = errors.New("stream does not go on after its last event")

// streamEvent is one event of a stream.
type streamEvent struct {
	id      string // empty: none
	hasData bool   // false: a comment or a field without an event
}

// eventsIn returns the events of data, which are complete.
func eventsIn(data []byte) iter.Seq[streamEvent] {
	return func(yield func(streamEvent) bool) {
		current, isBlank := streamEvent{}, true
		for line := range bytes.Lines(data) {
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 {
				if !isBlank && !yield(current) {
					return
				}
				current, isBlank = streamEvent{}, true
				continue
			}
			isBlank = false
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				current.id = string(bytes.TrimPrefix(id, []byte(" ")))
			}
			current.hasData = current.hasData || bytes.HasPrefix(line, []byte("data"))
		}
	}
}

// eventIDs is what is known of the ids of a stream's events that the caller has.
type eventIDs struct {
	last string // empty: none
	// isBehind is true if the caller has an event without an id after the last one that has one.
	isBehind bool
	number   uint64 // last as a number
	isNumber bool
	steps    int  // differences between the numbers of two events
	isByOne  bool // all steps are 1
}

// add adds an event that the caller has.
func (s *eventIDs) add(e streamEvent) {
	if e.id == "" {
		s.isBehind = s.isBehind || e.hasData
		return
	}
	number, err := strconv.ParseUint(e.id, 10, 64)
	if err == nil && s.isNumber {
		s.isByOne = (s.steps == 0 || s.isByOne) && number == s.number+1
		s.steps++
	}
	s.last, s.isBehind, s.number, s.isNumber = e.id, false, number, err == nil
}

// canContinue reports whether a request can state where an endpoint has to go on with a stream that has begun.
func (s *eventIDs) canContinue() bool { return s.last != "" && !s.isBehind }

// checkNext returns an error unless e may be the first event of an endpoint that goes on with the stream:
// one that the caller has, or a gap. A gap is known only if the ids rise by one.
func (s *eventIDs) checkNext(e streamEvent) error {
	number, err := strconv.ParseUint(e.id, 10, 64)
	isNumber := err == nil && s.isNumber
	switch {
	case e.id == "", e.id == s.last, isNumber && number <= s.number,
		isNumber && s.isByOne && number != s.number+1:
		return fmt.Errorf("%w: %w: event %.*q after %.*q", driver.ErrFailed, errWrongContinuation, maxDetailBytes, e.id, maxDetailBytes, s.last)
	}
	return nil
}

// maxDetailBytes limits the ids that an error quotes.
const maxDetailBytes = 40
