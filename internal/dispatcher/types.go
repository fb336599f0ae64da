package dispatcher

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// Request is one caller's request, already validated by the server.
type Request struct {
	RequestID       string
	Tenant          string
	Class           string
	IdempotencyKey  string // of a call that isn't repeatable
	Prompt          string // of a generation
	PrefixKey       string // identifies the prompt's shared prefix; empty if there is none
	PrefixTokens    int
	MaxOutputTokens int
	Operation       string // of a call
	Body            []byte // of a call
}

// Answer is a complete answer.
type Answer struct {
	RequestID    string
	Text         string // of a generation
	Body         []byte // of a call
	OutputTokens int
	PromptTokens int
	ReusedTokens int
	Attempts     int
	FirstToken   time.Duration // from arrival
	Completion   time.Duration // from arrival
}

// TokenFunc receives the tokens of an answer in order, each once. An error means that the caller
// has disconnected, and ends the request.
type TokenFunc func(token driver.Token) error

// Outcome states what is known about the run of a request that has no complete answer.
type Outcome string

// Outcomes of a FailureError.
const (
	OutcomeNotRun  Outcome = "not_run" // known for certain: no endpoint has run the request or will run it
	OutcomeUnknown Outcome = "unknown" // the request may have run; the dispatcher doesn't repeat it
	OutcomeFailed  Outcome = "failed"  // the request ran, and the endpoint reported a failure
)

// FailureError is the error of a request without a complete answer.
type FailureError struct {
	RequestID  string
	Outcome    Outcome
	Reason     string        // in snake case, for programs; a constant of this package or a scheduler.RefusalReason
	Detail     string        // one human-readable line
	RetryAfter time.Duration // delay before a repeat; 0 if repeating the request doesn't help
}

// Error describes the failure.
func (f *FailureError) Error() string {
	return "request " + f.RequestID + ": " + string(f.Outcome) + ": " + f.Reason + ": " + f.Detail
}

// Reasons of a FailureError, in addition to those of a scheduler.RefusalError.
const (
	ReasonUnknownClass     = "unknown_class"
	ReasonWrongKind        = "wrong_kind"        // a call of a generate class, or a generation of a call class
	ReasonKeyMissing       = "key_missing"       // a call that isn't repeatable has no key
	ReasonKeyConflict      = "key_conflict"      // the key was used with a different body
	ReasonKeyUsed          = "key_used"          // an earlier call used this key
	ReasonClaimUnavailable = "claim_unavailable" // the claim could not be recorded; the call was not run
	ReasonEndpointFailed   = "endpoint_failed"
	ReasonEndpointLost     = "endpoint_lost" // no complete answer, and no retry left
	ReasonNotReady         = "not_ready"     // the host has no configuration yet
	ReasonCallerGone       = "caller_gone"
	ReasonUnknownKey       = "unknown_key"          // no tenant has the request's API key
	ReasonKeysNotCurrent   = "keys_not_current"     // this host can't currently determine whether the API key is valid
	ReasonTenantLimit      = "tenant_limit"         // over the tenant's limit
	ReasonLimitUnknown     = "tenant_limit_unknown" // no host can currently determine the tenant's limit
)
