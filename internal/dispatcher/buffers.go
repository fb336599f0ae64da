package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

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
	// reservationStepBytes is the step in which an answer reserves memory: 32 of them grow side by side.
	reservationStepBytes = 256 << 10
	// maxBufferWait bounds the wait for a step: answers that each hold a part and wait for more
	// would otherwise wait for each other. It is half of the shortest usual time limit of a call,
	// 600 ms, so that time for another attempt remains.
	maxBufferWait = 300 * time.Millisecond
)

// largeBuffers is the memory for large answers and events of all requests. A request that has to
// wait for it reads no more of its answer, which makes the endpoint wait, for at most maxBufferWait.
type largeBuffers struct {
	free *semaphore.Weighted

	mu     sync.Mutex
	active int      // large answers that are read or wait
	blocks [][]byte // of ended answers, of smallBufferBytes each
}

func newLargeBuffers() *largeBuffers {
	return &largeBuffers{free: semaphore.NewWeighted(largeBufferBytes)}
}

// reservation is the part of largeBuffers that one answer holds.
type reservation struct {
	large *largeBuffers
	bytes int64
}

// grow reserves one more step of an answer of a length, or of the largest one if the length is
// negative.
func (r *reservation) grow(ctx context.Context, length int64) error {
	limit := int64(largeBufferBytes)
	if length >= 0 {
		limit = min(length, limit)
	}
	step := min(reservationStepBytes, limit-r.bytes)
	if step <= 0 {
		return nil // the length is reached: only the end can follow
	}
	if err := r.large.acquire(ctx, step); err != nil {
		return err
	}
	r.bytes += step
	return nil
}

// readAll reads a body of at most maxBufferedAnswerBytes. length is its length if known, or -1.
// Memory is reserved in steps as the body arrives, so that a slow body holds only what it has sent.
func (l *largeBuffers) readAll(ctx context.Context, body io.Reader, length int64) (data []byte, err error) {
	var blocks [][]byte // joined at the end: a buffer that grows is copied, and takes up to twice the memory
	var total int       // bytes of blocks
	reserved := reservation{large: l}
	isLarge := false
	block := l.newBlock(firstBlockBytes)
	for {
		if len(block) == cap(block) {
			blocks, total = append(blocks, block), total+len(block)
			block = nil
			size := min(2*cap(blocks[len(blocks)-1]), smallBufferBytes)
			if !isLarge && total+size > smallBufferBytes {
				l.begin()
				defer func() { l.end(append(blocks, block), reserved.bytes) }()
				isLarge = true
			}
			if isLarge && int64(total+size) > reserved.bytes {
				if err := reserved.grow(ctx, length); err != nil {
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

// newBlock returns an empty block of a size.
func (l *largeBuffers) newBlock(size int) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.blocks) - 1
	if size < smallBufferBytes || last < 0 {
		return make([]byte, 0, size)
	}
	block := l.blocks[last]
	l.blocks[last], l.blocks = nil, l.blocks[:last]
	return block[:0]
}

// end frees the blocks of a large answer. They are kept while another one is read or waits.
// Otherwise the answers that are read one after the other would fill the heap until the garbage
// collector runs: 37 MB for 50 endless ones.
func (l *largeBuffers) end(blocks [][]byte, reserved int64) {
	l.mu.Lock()
	for _, block := range blocks {
		if cap(block) == smallBufferBytes {
			l.blocks = append(l.blocks, block)
		}
	}
	if l.active--; l.active == 0 {
		l.blocks = nil
	}
	l.mu.Unlock()
	l.free.Release(reserved)
}

// begin counts a large answer.
func (l *largeBuffers) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
}

// acquire reserves memory for large answers or events. It waits at most maxBufferWait.
func (l *largeBuffers) acquire(ctx context.Context, size int64) error {
	waitCtx, cancel := timekeeper.WithTimeout(ctx, maxBufferWait)
	defer cancel()
	err := l.free.Acquire(waitCtx, size)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return context.Cause(ctx)
	default:
		return &responselimiter.ExceededError{Limit: responselimiter.BufferedBytes}
	}
}
