package claimer

import (
	"context"
	"errors"
	"time"
)

// Errors of a Claimer. Each is found with errors.Is.
var (
	// ErrUnavailable says that the claim was certainly not granted, and that
	// nobody holds it through this call: the call has not run.
	ErrUnavailable = errors.New("claim could not be recorded")
	// ErrBodyConflict says that the key was claimed with another body.
	ErrBodyConflict = errors.New("idempotency key used with another body")
	// ErrTaken says that the key is claimed by an earlier request whose
	// outcome is not recorded: it may have run, or may run yet.
	ErrTaken = errors.New("idempotency key already claimed")
	// ErrOutcomeUnknown says that it cannot be told whether this request
	// holds the claim. It must not dispatch.
	ErrOutcomeUnknown = errors.New("outcome of the claim unknown")
	// ErrKeyMalformed says that the key cannot be used.
	ErrKeyMalformed = errors.New("idempotency key malformed")
)

// Key names one non-idempotent call.
type Key struct {
	Tenant string
	Key    string // the caller's own, or a ticket that Issue gave
}

// State is what is recorded of a claimed call.
type State string

// States of a claim.
const (
	StateClaimed  State = "claimed"  // may be dispatched by the claim's owner, or was
	StateAnswered State = "answered" // ran; the answer is recorded
	StateFailed   State = "failed"   // ran; the endpoint said no
	StateNotRun   State = "not_run"  // proved not run, and will not run under this claim
)

// Record is what a repeat of a claimed call is told.
type Record struct {
	State  State
	Answer []byte // of StateAnswered, while it is kept
}

// Claim is the right to dispatch one call once. Whoever holds it dispatches at
// most once and then says how it ended.
type Claim interface {
	// Finish records how the call ended, so that a repeat hears it. It is best
	// effort: without it a repeat hears ErrTaken.
	Finish(ctx context.Context, record Record) error
}

// DeadlineClaim is a Claim that must not be dispatched after a moment: behind it the
// claim may no longer be kept, and a repeat may hold a fresh one.
type DeadlineClaim interface {
	Claim
	// Deadline is that moment by the time of day, which also passes while the host
	// sleeps; ok is false when there is none.
	Deadline() (deadline time.Time, ok bool)
}

// Claimer grants claims.
type Claimer interface {
	// Claim claims a key for a body. Exactly one of the three is set: a claim
	// (dispatch), a record (the call was made before and ended so), or an error.
	// A claim that ended as StateNotRun may be claimed again.
	Claim(ctx context.Context, key Key, body []byte) (claim Claim, record *Record, err error)
	// Issue gives a ticket that can be used as a key while the key-value service is down.
	Issue(ctx context.Context, tenant string) (ticket string, err error)
	// Close ends the background work and waits for it.
	Close() error
}
