package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/endivemast/endivemast/internal/responselimiter"
)

const (
	// smallBufferBytes is the size up to which an answer or an event is buffered at any time. Nearly
	// all of them are smaller.
	smallBufferBytes = 32 << 10
	// largeBufferBytes limits what all requests of the host buffer beyond that. Without it, 50
	// endless bodies filled 50 buffers of maxBufferedAnswerBytes, more than the memory of a host.
	largeBufferBytes = maxBufferedAnswerBytes
	firstBlockBytes  = 1 << 10
)

// largeBuffers is the memory for large answers and events of all requests. A request that has to
// wait for it reads no more of its answer, which makes the endpoint wait, until its own time is over.
type largeBuffers struct {
	free *semaphore.Weighted

	mu     sync.Mutex
	active int      // large answers that are read or wait
	blocks [][]byte // of ended answers, of smallBufferBytes each
}

func newLargeBuffers() *largeBuffers {
	return &largeBuffers{free: semaphore.NewWeighted(largeBufferBytes)}
}

// readAll reads a body of at most maxBufferedAnswerBytes. length is its length if known, or -1. A
// known length is reserved alone, so that several large answers can be read concurrently.
func (l *largeBuffers) readAll(ctx context.Context, body io.Reader, length int64) (data []byte, err error) {
	var blocks [][]byte // joined at the end: a buffer that grows is copied, and takes up to twice the memory
	var total int       // bytes of blocks
	isLarge := false
	block := l.newBlock(firstBlockBytes)
	for {
		if len(block) == cap(block) {
			blocks, total = append(blocks, block), total+len(block)
			block = nil
			size := min(2*cap(blocks[len(blocks)-1]), smallBufferBytes)
			if !isLarge && total+size > smallBufferBytes {
				reserved, err := l.begin(ctx, length)
				if err != nil {
					return nil, err
				}
				defer func() { l.end(append(blocks, block), reserved) }()
				isLarge = true
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

// begin waits for the memory for a large answer and returns its size.
func (l *largeBuffers) begin(ctx context.Context, length int64) (reserved int64, err error) {
	l.mu.Lock()
	l.active++
	l.mu.Unlock()
	reserved, err = l.acquire(ctx, length)
	if err != nil {
		l.end(nil, 0)
	}
	return reserved, err
}

// acquire reserves the memory for an answer or an event of a length, or of the largest one if the
// length is negative.
func (l *largeBuffers) acquire(ctx context.Context, length int64) (reserved int64, err error) {
	reserved = largeBufferBytes
	if length >= 0 {
		reserved = min(length, reserved)
	}
	if err := l.free.Acquire(ctx, reserved); err != nil {
		return 0, context.Cause(ctx)
	}
	return reserved, nil
}
