package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// UnavailableError is an ErrUnavailable that says when to come back.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error describes the refusal.
func (e *UnavailableError) Error() string {
	return ErrUnavailable.Error() + ": " + e.Cause.Error()
}

// Is makes errors.Is find ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap gives the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

var (
	errStoreDown = errors.New("key-value service does not answer")
	errGivenUp   = errors.New("no answer in time; this request will not dispatch")
	errNoVoters  = errors.New("too few of the ticket's hosts answer")
	errClosed    = errors.New("claimer is closed")
)

// health remembers whether the key-value service answers, so that callers are
// refused at once while it does not. The background probe finds out when it is
// back, not a caller.
type health struct {
	retryAfter time.Duration // what refused callers are told

	mu   sync.Mutex
	down bool
}

// check returns an UnavailableError while the service is down.
func (h *health) check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return nil
	}
	return &UnavailableError{RetryAfter: h.retryAfter, Cause: errStoreDown}
}

// report takes in how calls to the service ended.
func (h *health) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = errors.Is(err, provider.ErrUnavailable) ||
		errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded)
}
