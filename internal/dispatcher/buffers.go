package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// smallBufferBytes is the size up to which an answer or an event is buffered at any time. Nearly
	// all of them are smaller.
	smallBufferBytes = 32 << 10
	// largeBufferBytes limits what all requests of the host buffer beyond that. Without it, 50
	// endless bodies filled 50 buffers of maxBufferedAnswerBytes, more than the memory of a host.
	largeBufferBytes = maxBufferedAnswerBytes
	firstBlockBytes  = 1 << 10
	// reservationStepBytes is the step in which an answer reserves memory, so that 16 of them grow
	// side by side in the shared part.
	reservationStepBytes = 256 << 10
	// sharedBufferBytes is the part that all answers share. The rest lets the first one go on.
	sharedBufferBytes = largeBufferBytes / 2
	// stalledAnswerTime is after how long without growth the first answer loses its precedence. A
	// third of maxBufferWait leaves the others time to follow.
	stalledAnswerTime = maxBufferWait / 3
	// maxBufferWait bounds the waits of one answer for its steps. It is half of the shortest time limit of calls that
	// callers are known to set, 600 ms, so that time for another attempt remains.
	maxBufferWait = 300 * time.Millisecond
)

// largeBuffers is the memory for large answers and events of all requests. A request that has to
// wait for it reads no more of its answer, which makes the endpoint wait, for at most maxBufferWait.
//
// All answers share sharedBufferBytes. Only one at a time, the first, may use the rest as well:
// answers that each hold a part and wait for more would otherwise wait for each other.
type largeBuffers struct {
	mu      sync.Mutex
	used    int64
	first   *reservation // nil: none needs more than the shared part
	active  int          // large answers that are read or wait
	waiting []*bufferWaiter
	free    map[int][][]byte // buffers of ended answers and events, by size
}

// reservation is what one answer or event holds of largeBuffers, whose mutex guards it.
type reservation struct {
	bytes     int64
	askedAt   time.Time // when it last needed more
	isWaiting bool
	waited    time.Duration // so far, for all steps
}

type bufferWaiter struct {
	reservation *reservation
	size        int64
	granted     chan struct{} // closed when it is granted
}

func newLargeBuffers() *largeBuffers { return &largeBuffers{free: map[int][][]byte{}} }

// readAll reads a body of at most maxBufferedAnswerBytes. length is its length if known, or -1.
// Memory is reserved in steps as the body arrives, so that a slow body holds only what it has sent.
func (l *largeBuffers) readAll(ctx context.Context, body io.Reader, length int64) (data []byte, err error) {
	var blocks [][]byte       // joined at the end: a buffer that grows is copied, and takes up to twice the memory
	var total int             // bytes of blocks
	var reserved *reservation // nil: the answer is small so far
	block := l.newBlock(firstBlockBytes)
	for {
		if len(block) == cap(block) {
			blocks, total = append(blocks, block), total+len(block)
			block = nil
			size := min(2*cap(blocks[len(blocks)-1]), smallBufferBytes)
			if reserved == nil && total+size > smallBufferBytes {
				reserved = l.begin()
				defer func() { l.end(append(blocks, block), reserved) }()
			}
			if int64(total) > length {
				length = -1 // a peer has stated too little
			}
			if reserved != nil && int64(total+size) > reserved.bytes {
				if err := l.acquire(ctx, reserved, stepBytes(reserved.bytes, length)); err != nil {
					return nil, err
				}
			}
			block = l.newBlock(size)
		}
		n, err := body.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		switch {
		case total+len(block) > maxBufferedAnswerBytes:
			return nil, &responselimiter.ExceededError{Limit: responselimiter.BodyBytes}
		case errors.Is(err, io.EOF) && len(blocks) == 0:
			return block, nil
		case errors.Is(err, io.EOF):
			return bytes.Join(append(blocks, block), nil), nil
		case err != nil:
			return nil, responselimiter.BodyError(err)
		}
	}
}

// newBlock returns an empty block of a size. If there is no free one, the free ones of other sizes
// are given up once they and the reservations together exceed the memory.
func (l *largeBuffers) newBlock(size int) []byte {
	if !isReused(size) {
		return make([]byte, 0, size)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	free := l.free[size]
	last := len(free) - 1
	if last < 0 {
		if l.used+l.freeBytesLocked() > largeBufferBytes {
			clear(l.free)
		}
		return make([]byte, 0, size)
	}
	block := free[last]
	free[last], l.free[size] = nil, free[:last]
	return block[:0]
}

func (l *largeBuffers) freeBytesLocked() (bytes int64) {
	for size, blocks := range l.free {
		bytes += int64(size) * int64(len(blocks))
	}
	return bytes
}

// isReused reports whether blocks of a size are kept for other answers.
func isReused(size int) bool { return size == smallBufferBytes || size == maxEventBytes }

// stepBytes returns how much an answer of a length, or -1, that holds some memory reserves next.
func stepBytes(held, length int64) int64 {
	if length < 0 || length > largeBufferBytes {
		length = largeBufferBytes
	}
	return max(min(reservationStepBytes, length-held), 0) // 0: only the end can follow
}

// begin returns an empty reservation, which end has to be called for.
func (l *largeBuffers) begin() *reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
	return &reservation{}
}

// end frees a reservation and the blocks of its answer. They are kept while another one is read or
// waits. Otherwise the answers that are read one after the other would fill the heap until the
// garbage collector runs: 37 MB for 50 endless ones.
func (l *largeBuffers) end(blocks [][]byte, r *reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, block := range blocks {
		if size := cap(block); isReused(size) {
			l.free[size] = append(l.free[size], block)
		}
	}
	if l.active--; l.active == 0 {
		clear(l.free)
	}
	l.used -= r.bytes
	if l.first == r {
		l.first = nil
	}
	l.grantLocked(time.Now())
}

// acquire adds to a reservation. The waits for one reservation last at most maxBufferWait together.
func (l *largeBuffers) acquire(ctx context.Context, r *reservation, size int64) error {
	if size == 0 {
		return nil
	}
	l.mu.Lock()
	since := time.Now()
	r.askedAt = since
	if l.takeLocked(r, size, since) {
		l.mu.Unlock()
		return nil
	}
	w := &bufferWaiter{reservation: r, size: size, granted: make(chan struct{})}
	r.isWaiting = true
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	waitCtx, cancel := timekeeper.WithTimeout(ctx, maxBufferWait-r.waited)
	defer cancel()
	defer func() { r.waited += time.Since(since) }()
	stalled := time.NewTicker(stalledAnswerTime)
	defer stalled.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case now := <-stalled.C:
			l.mu.Lock()
			l.grantLocked(now)
			l.mu.Unlock()
		case <-waitCtx.Done():
			return l.giveUp(ctx, w)
		}
	}
}

// giveUp ends a wait, and returns nil if the memory has just been granted.
func (l *largeBuffers) giveUp(ctx context.Context, w *bufferWaiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !w.reservation.isWaiting {
		return nil
	}
	w.reservation.isWaiting = false
	l.waiting = slices.DeleteFunc(l.waiting, func(other *bufferWaiter) bool { return other == w })
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return &responselimiter.ExceededError{Limit: responselimiter.BufferedBytes}
}

// takeLocked adds to a reservation if the memory is free for it.
func (l *largeBuffers) takeLocked(r *reservation, size int64, now time.Time) bool {
	if l.used+size > largeBufferBytes {
		return false
	}
	shared := l.used
	if l.first != nil {
		shared -= l.first.bytes
	}
	if l.first != r && shared+size > sharedBufferBytes {
		if l.first != nil && (l.first.isWaiting || now.Sub(l.first.askedAt) < stalledAnswerTime) {
			return false
		}
		l.first = r
	}
	l.used += size
	r.bytes += size
	return true
}

// grantLocked grants what is free to the first answer, then to the others in the order of their waits.
func (l *largeBuffers) grantLocked(now time.Time) {
	for _, isFirst := range []bool{true, false} {
		l.waiting = slices.DeleteFunc(l.waiting, func(w *bufferWaiter) bool {
			if isFirst && w.reservation != l.first || !l.takeLocked(w.reservation, w.size, now) {
				return false
			}
			w.reservation.isWaiting, w.reservation.askedAt = false, now
			close(w.granted)
			return true
		})
	}
}
