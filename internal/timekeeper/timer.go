package timekeeper

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// segmentCount is the number of segments of a timeout. A stop shorter than a segment
	// can't be distinguished from a busy process, and each segment costs a wake-up.
	segmentCount = 8
	// lateThreshold is the minimum delay of a timer that indicates a stopped process.
	// In a busy process, timers are a few milliseconds late.
	lateThreshold = 50 * time.Millisecond
)

// Timer is a timeout that counts only the time in which this process runs.
//
// In a process that was stopped (by a signal, for lack of processor time, or because
// the machine stalled), all timeouts of package time expire as soon as it runs again.
// Answers that arrived meanwhile are still unread in its sockets, so these waits end
// without an answer, and endpoints and the store count as unresponsive although they
// have answered. With a Timer, the time left when the process stops is still left when
// it runs again, so that answers that have arrived are read first.
//
// Use it for timeouts that judge others, which had time to answer and did not. A guarantee
// to others that ends at a point in time (a lease, the sending of an order) ends whether
// the process runs or not, and must not use a Timer.
//
// The timeout is divided into segments. A segment that ends late is repeated, since the
// process was stopped within it. At most segmentCount segments are repeated, so that the
// timeout of a permanently starved process is longer but still bounded.
type Timer struct {
	expired func()

	mu             sync.Mutex
	timer          *time.Timer
	due            time.Time // end of the current segment
	segment        time.Duration
	segmentsLeft   int // includes the current segment
	extensionsLeft int // segments that may still be repeated
}

// AfterFunc calls expired in its own goroutine once the process has run for d.
func AfterFunc(d time.Duration, expired func()) *Timer {
	t := &Timer{expired: expired}
	t.Reset(d)
	return t
}

// Reset restarts the timer with another timeout.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop()
	t.segment, t.segmentsLeft, t.extensionsLeft = max(d/segmentCount, 0), segmentCount, segmentCount
	t.startSegment()
}

// Stop stops the timer. It returns false if the timer has expired or was stopped before.
func (t *Timer) Stop() (stopped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stopped = t.segmentsLeft > 0
	t.stop()
	return stopped
}

func (t *Timer) stop() {
	t.segmentsLeft = 0
	if t.timer != nil {
		t.timer.Stop()
	}
}

// startSegment starts the timer of the next segment.
func (t *Timer) startSegment() {
	t.due = time.Now().Add(t.segment)
	if t.timer == nil {
		t.timer = time.AfterFunc(t.segment, t.segmentEnded)
		return
	}
	t.timer.Reset(t.segment)
}

// segmentEnded handles the end of a segment. An end before the due time belongs to a
// segment from before a Stop or Reset and is ignored.
func (t *Timer) segmentEnded() {
	t.mu.Lock()
	late := time.Since(t.due)
	if t.segmentsLeft == 0 || late < 0 {
		t.mu.Unlock()
		return
	}
	if late > max(t.segment, lateThreshold) && t.extensionsLeft > 0 {
		t.extensionsLeft--
	} else {
		t.segmentsLeft--
	}
	if t.segmentsLeft > 0 {
		t.startSegment()
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.expired()
}

// NewTimer returns a Timer that sends on a channel when it expires.
func NewTimer(d time.Duration) (t *Timer, expired <-chan struct{}) {
	expirations := make(chan struct{}, 1)
	t = AfterFunc(d, func() {
		select {
		case expirations <- struct{}{}:
		default:
		}
	})
	return t, expirations
}

// WithTimeout is context.WithTimeout with a Timer. The context has no deadline, since its
// end depends on when the process runs.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	cancellable, cancel := context.WithCancelCause(ctx)
	timer := AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return timeoutContext{cancellable}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// timeoutContext is the context of WithTimeout.
type timeoutContext struct{ context.Context }

// Err implements context.Context. It returns context.DeadlineExceeded after the timeout,
// while the underlying context returns context.Canceled.
func (c timeoutContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}
