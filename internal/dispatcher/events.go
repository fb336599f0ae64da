package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/endivemast/endivemast/internal/responselimiter"
)

// maxEventBytes limits the size of one event of a stream. Engines put several tokens into an
// event of a few hundred bytes, so anything larger isn't a valid event.
const maxEventBytes = 256 << 10

// eventBufferBytes is the size of the buffer of a stream without large events.
const eventBufferBytes = 4 << 10

// eventReader splits an event stream (text/event-stream) into complete events. A partial event at
// the end of an interrupted answer is never returned.
type eventReader struct {
	body     io.Reader
	large    *largeBuffers
	reserved *reservation // for an event beyond smallBufferBytes; nil: none
	buffer   []byte
	start    int // of the data not returned yet
	end      int
}

func newEventReader(body io.Reader, large *largeBuffers) *eventReader {
	return &eventReader{body: body, large: large, buffer: make([]byte, eventBufferBytes)}
}

// release frees the memory for a large event. The events that next has returned are not valid any more.
func (r *eventReader) release() {
	if r.reserved != nil {
		r.large.end([][]byte{r.buffer}, r.reserved)
		r.buffer, r.reserved = nil, nil
	}
}

// next returns one or more complete events unchanged. The bytes are valid until the next call. The
// error is io.EOF after the last complete event, and io.ErrUnexpectedEOF if the stream ends within an
// event.
func (r *eventReader) next(ctx context.Context) (events []byte, err error) {
	if r.reserved != nil && r.start == r.end {
		r.release()
		r.buffer, r.start, r.end = make([]byte, eventBufferBytes), 0, 0
	}
	for {
		if n := completeEventsLength(r.buffer[r.start:r.end]); n > 0 {
			events = r.buffer[r.start : r.start+n]
			r.start += n
			return events, nil
		}
		if err := r.fill(ctx); err != nil {
			if errors.Is(err, io.EOF) && r.end > r.start {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

func (r *eventReader) fill(ctx context.Context) (err error) {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return &responselimiter.ExceededError{Limit: responselimiter.EventBytes}
		}
		if err := r.grow(ctx); err != nil {
			return err
		}
	}
	n, err := r.body.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil // an error returned with data is returned again by the next read
	}
	return err
}

// grow enlarges the buffer: to the largest size at once when it needs a reservation, which covers that size.
func (r *eventReader) grow(ctx context.Context) (err error) {
	if size := 2 * len(r.buffer); size <= smallBufferBytes {
		r.buffer = append(r.buffer, make([]byte, size-len(r.buffer))...)
		return nil
	}
	reserved := r.large.begin()
	if err := r.large.acquire(ctx, reserved, maxEventBytes); err != nil {
		r.large.end(nil, reserved)
		return err
	}
	buffer := r.large.newBlock(maxEventBytes)[:maxEventBytes]
	copy(buffer, r.buffer)
	r.buffer, r.reserved = buffer, reserved
	return nil
}

// completeEventsLength returns the length of the complete events at the beginning of data: up to
// and including the last blank line.
func completeEventsLength(data []byte) int {
	lfEnd := bytes.LastIndex(data, []byte("\n\n"))
	crlfEnd := bytes.LastIndex(data, []byte("\r\n\r\n"))
	switch {
	case lfEnd < 0 && crlfEnd < 0:
		return 0
	case lfEnd > crlfEnd:
		return lfEnd + 2
	default:
		return crlfEnd + 4
	}
}
