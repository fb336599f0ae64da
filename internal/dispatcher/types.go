package dispatcher

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// Request is one caller's request, checked by the server.
type Request struct {
	RequestID       string
	Tenant          string
	Class           string
	IdempotencyKey  string // of a call that may not be repeated
	Prompt          string // of a generation
	PrefixKey       string // names the shared template of the prompt; empty when none
	PrefixTokens    int
	MaxOutputTokens int
	Operation       string // of a call
	Body            []byte // of a call
}

// Answer is a whole answer.
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

// TokenFunc receives the tokens of an answer in order, each once. An error ends the
// request: its caller has gone away.
type TokenFunc func(token driver.Token) error

// Outcome says what is known of a request that has no whole answer.
type Outcome string

// Outcomes of a FailureError.
const (
	OutcomeNotRun  Outcome = "not_run" // proved: no endpoint has run it, or will
	OutcomeUnknown Outcome = "unknown" // it may have run; never repeated by us
	OutcomeFailed  Outcome = "failed"  // it ran, and the endpoint said no
)

// FailureError is the error for a request without a whole answer.
type FailureError struct {
	RequestID  string
	Outcome    Outcome
	Reason     string        // snake case, for programs; a constant of this package or a scheduler.RefusalReason
	Detail     string        // one line for people
	RetryAfter time.Duration // when to come back; 0: coming back does not help
}

// Error describes the failure.
func (f *FailureError) Error() string {
	return "request " + f.RequestID + ": " + string(f.Outcome) + ": " + f.Reason + ": " + f.Detail
}

// Reasons of a FailureError beside those of a scheduler.RefusalError.
const (
	ReasonUnknownClass     = "unknown_class"
	ReasonWrongKind        = "wrong_kind"        // a call of a generate class or the other way round
	ReasonKeyMissing       = "key_missing"       // a call that may not be repeated came without a key
	ReasonKeyConflict      = "key_conflict"      // the key was used with another body
	ReasonKeyUsed          = "key_used"          // the call with this key was made before
	ReasonClaimUnavailable = "claim_unavailable" // the claim could not be recorded; not run
	ReasonEndpointFailed   = "endpoint_failed"
	ReasonEndpointLost     = "endpoint_lost" // no answer, or not whole, and no retry left
	ReasonNotReady         = "not_ready"     // the host has no configuration yet
	ReasonCallerGone       = "caller_gone"
	ReasonUnknownKey       = "unknown_key"          // no tenant holds the request's API key
	ReasonKeysNotCurrent   = "keys_not_current"     // whether the key holds is not known at present
	ReasonTenantLimit      = "tenant_limit"         // beyond what the tenant may use
	ReasonLimitUnknown     = "tenant_limit_unknown" // no host says what the tenant may use at present
)
