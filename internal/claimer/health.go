package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// UnavailableError is an ErrUnavailable with the time after which to retry.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return ErrUnavailable.Error() + ": " + e.Cause.Error()
}

// Is reports whether target is ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

var (
	errStoreDown = errors.New("key-value service does not answer")
	errGivenUp   = errors.New("no answer in time; this request will not dispatch")
	errNoVoters  = errors.New("too few of the ticket's hosts answer")
	errClosed    = errors.New("claimer is closed")
)

// storeHealth records whether the key-value service answers, so that claims fail at once
// while it does not. The background probe, and not a caller, detects when it is available
// again.
type storeHealth struct {
	retryAfter time.Duration // returned to callers that are refused

	mu   sync.Mutex
	down bool
}

// checkAvailable returns an UnavailableError while the service is down.
func (h *storeHealth) checkAvailable() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return nil
	}
	return &UnavailableError{RetryAfter: h.retryAfter, Cause: errStoreDown}
}

// report updates the state from the result of a call to the service.
func (h *storeHealth) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = errors.Is(err, provider.ErrUnavailable) ||
		errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded)
}
