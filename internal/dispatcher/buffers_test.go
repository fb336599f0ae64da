package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// stallingBody delivers a number of bytes, and then nothing until its context ends.
type stallingBody struct {
	ctx  context.Context
	data io.Reader
}

func (b *stallingBody) Read(p []byte) (int, error) {
	if n, err := b.data.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func bodyOf(size int) io.Reader { return bytes.NewReader(make([]byte, size)) }

// TestLargeAnswers guards against large answers that are delayed by the slow one of another endpoint,
// that wait for each other, or that can't have the largest size.
func TestLargeAnswers(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		slow, slowBytes int   // answers that stop after a number of bytes
		slowLength      int64 // that they state
		size            int
		limit           responselimiter.Limit
		maxWait         time.Duration
	}{
		"largest size, alone":                  {size: maxBufferedAnswerBytes},
		"more than the largest size":           {size: maxBufferedAnswerBytes + 1, limit: responselimiter.BodyBytes},
		"a slow one of unknown length":         {slow: 1, slowBytes: 64 << 10, slowLength: -1, size: 1 << 20},
		"slow ones that state a great length":  {slow: 8, slowBytes: 64 << 10, slowLength: maxBufferedAnswerBytes, size: 1 << 20},
		"slow ones that hold all of it":        {slow: 32, slowBytes: 64 << 10, slowLength: -1, size: 1 << 20, limit: responselimiter.BufferedBytes, maxWait: maxBufferWait},
		"a small one, while all of it is held": {slow: 32, slowBytes: 64 << 10, slowLength: -1, size: 16 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := newLargeBuffers()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				var slow sync.WaitGroup
				for range test.slow {
					slow.Go(func() {
						_, err := l.readAll(ctx, &stallingBody{ctx: ctx, data: bodyOf(test.slowBytes)}, test.slowLength)
						assert.Check(t, err != nil)
					})
				}
				synctest.Wait()
				started := time.Now()
				data, err := l.readAll(ctx, bodyOf(test.size), -1)
				assert.Check(t, time.Since(started) <= test.maxWait, time.Since(started))
				limit, _ := responselimiter.ExceededLimit(err)
				assert.Check(t, limit == test.limit, err)
				assert.Check(t, err != nil || len(data) == test.size)
				cancel()
				slow.Wait()
				assert.Equal(t, l.used, int64(0), "memory is still reserved")
			})
		})
	}
}

// TestLargeAnswersTogether guards against endless answers that wait for each other until their
// deadlines, and against answers that hold more than the total.
func TestLargeAnswersTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newLargeBuffers()
		started := time.Now()
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				_, err := l.readAll(t.Context(), bodyOf(64<<20), -1)
				_, ok := responselimiter.ExceededLimit(err)
				assert.Check(t, ok, err)
			})
		}
		group.Wait()
		assert.Check(t, time.Since(started) <= maxBufferWait, time.Since(started))
		assert.Equal(t, l.used, int64(0), "memory is still reserved")
	})
}

// pacedBody delivers a number of bytes at 1 MiB in 10 ms.
type pacedBody struct{ data io.Reader }

func (b *pacedBody) Read(p []byte) (int, error) {
	p = p[:min(len(p), 16<<10)]
	n, err := b.data.Read(p)
	time.Sleep(time.Duration(n) * 10 * time.Millisecond >> 20)
	return n, err
}

// TestSoundLargeAnswersTogether guards against sound answers that each hold a part of the memory, wait
// for the rest, and are refused together.
func TestSoundLargeAnswersTogether(t *testing.T) {
	t.Parallel()
	for name, slow := range map[string]int{"alone": 0, "beside a slow one": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := newLargeBuffers()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				var group, slowGroup sync.WaitGroup
				for range 20 {
					group.Go(func() {
						data, err := l.readAll(ctx, &pacedBody{bodyOf(1 << 20)}, -1)
						assert.Check(t, err == nil && len(data) == 1<<20, err)
					})
				}
				for range slow {
					slowGroup.Go(func() {
						_, err := l.readAll(ctx, &stallingBody{ctx: ctx, data: bodyOf(64 << 10)}, -1)
						assert.Check(t, err != nil)
					})
				}
				group.Wait()
				cancel()
				slowGroup.Wait()
			})
		})
	}
}

// TestSharedMemoryIsNoFaultOfEndpoint guards against sound endpoints that are taken out of use since the
// large answers of others hold the memory.
func TestSharedMemoryIsNoFaultOfEndpoint(t *testing.T) {
	t.Parallel()
	for limit, isFailure := range map[responselimiter.Limit]bool{responselimiter.BufferedBytes: false, responselimiter.BodyBytes: true} {
		t.Run(string(limit), func(t *testing.T) {
			t.Parallel()
			err := fmt.Errorf("%w: %w", driver.ErrOutcomeUnknown, &responselimiter.ExceededError{Limit: limit})
			_, isFailed := (&forwardedRequest{}).schedulerResult(t.Context(), err).(scheduler.Failed)
			assert.Equal(t, isFailed, isFailure)
		})
	}
}

// TestUnderstatedLength guards against peers that state a small length and send more, which would not be
// reserved: only HTTP bodies end at their stated length.
func TestUnderstatedLength(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newLargeBuffers()
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			_, err := l.readAll(ctx, &stallingBody{ctx: ctx, data: bodyOf(1 << 20)}, 64<<10)
			assert.Check(t, err != nil)
		})
		synctest.Wait()
		l.mu.Lock()
		used := l.used
		l.mu.Unlock()
		cancel()
		group.Wait()
		assert.Check(t, used >= 1<<20, "%d bytes are reserved", used)
	})
}

// TestLargeEventsLeaveGarbage runs alone, since it measures what the process allocates.
func TestLargeEventsLeaveGarbage(t *testing.T) {
	const count = 50
	l := newLargeBuffers()
	defer l.end(nil, l.begin()) // another answer is being read
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range count {
		r := newEventReader(bodyOf(2*maxEventBytes), l)
		_, err := r.next(t.Context())
		limit, _ := responselimiter.ExceededLimit(err)
		assert.Equal(t, limit, responselimiter.EventBytes)
		r.release()
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc - count*2*maxEventBytes // without the bodies
	assert.Assert(t, allocated < count*maxEventBytes/2, "%d bytes for %d events", allocated, count)
}
