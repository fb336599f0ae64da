package scheduler

import (
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler/allocator"
	"github.com/endivemast/endivemast/internal/scheduler/router"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// Work is a request, or the remainder of one, that needs an endpoint.
type Work struct {
	RequestID string
	Class     configurer.Class
	Rank      int    // 0 is the most urgent; ranks above 99 count as 99
	Tenant    string // the caller's; empty: none. Class.Tenant is empty for opaque requests
	// TimeLimit is the longest time until the request is answered; 0: the class's
	// completion target.
	TimeLimit time.Duration
	// CallerTimeLeft is how long the caller waited for its answer from Arrived on; 0: unknown.
	CallerTimeLeft  time.Duration
	Arrived         time.Time // at this host; targets are measured from this time
	PromptTokens    int
	PrefixKey       string
	PrefixTokens    int
	PrefixParts     []Part // of the prefix, in order; nil: unknown
	MaxOutputTokens int
	DeliveredTokens int      // already sent to the caller, when resuming
	Excluded        []string // IDs of endpoints that have failed this request
	// SoftwareVersion is the one that the endpoint must have, since the request's stream began
	// at it, or its KV cache was written by it; empty: any.
	SoftwareVersion string
	// IsResumed is true for a stream that its caller takes up with a new request.
	IsResumed bool
	// RetryUntil is the deadline for the start of a retry. It is set if the request is
	// repeatable and an endpoint may have run an earlier attempt. Until then the retry is
	// not refused for lack of capacity: it was admitted before, and its caller could only
	// get the answer that it may have run. A later attempt is useless.
	RetryUntil time.Time
	// IsPrefilled is true if an engine holds the prompt's KV cache for this request, so
	// that only an engine for decoding is needed.
	IsPrefilled bool
	// IsAdmitted is true if an earlier attempt of the request was given an endpoint.
	IsAdmitted bool
	// IsFromPeer is true for a request that another host has passed on. That host has
	// counted it in its demand.
	IsFromPeer bool
	// IsCounted is true if the request is already in the demand of this host's callers.
	IsCounted bool
}

// rank returns Rank within the ranks that are distinguished.
func (w *Work) rank() int { return allocator.Clamp(w.Rank) }

// isNew reports whether this is the first attempt of a new request.
func (w *Work) isNew() bool {
	return w.DeliveredTokens == 0 && len(w.Excluded) == 0 && w.RetryUntil.IsZero() &&
		!w.IsResumed && !w.IsPrefilled && !w.IsAdmitted
}

// timeLimit returns TimeLimit or its default.
func (w *Work) timeLimit() time.Duration {
	if w.TimeLimit > 0 {
		return w.TimeLimit
	}
	return w.Class.CompletionTarget()
}

// isRetry reports whether an endpoint may have run an earlier attempt from which the
// caller has received nothing.
func (w *Work) isRetry() bool { return w.DeliveredTokens == 0 && !w.RetryUntil.IsZero() }

// Grant is the permission to use an endpoint for one request. Its holder reports progress
// and calls Done once; further calls of Done do nothing.
type Grant interface {
	// Target returns the endpoint that decodes, or that serves the call.
	Target() driver.Target
	// PrefillTarget returns the engine that first computes and exports the KV cache; ok
	// is false if Target does both.
	PrefillTarget() (target driver.Target, ok bool)
	// FetchSource returns the engine from which the prefill engine fetches the missing
	// part of the prompt's prefix; ok is false if no engine is known to hold it.
	FetchSource() (target driver.Target, ok bool)
	// Priority returns the priority to send to the engine; higher runs first.
	Priority() int
	// IsAvailable is false if Target no longer takes this work, although it did when the
	// grant was made: it shuts down, is in backoff, or announces a limit for which this
	// host has no slot. A second may have passed since, for the prefill of the prompt.
	IsAvailable() bool
	// IsPrefillAvailable is IsAvailable for PrefillTarget.
	IsPrefillAvailable() bool
	// Basis returns the data on which Target was chosen, for the log.
	Basis() Basis
	// PrefillDone reports that the separate prefill has ended; err is nil if it produced
	// a KV cache.
	PrefillDone(err error)
	// TokenReceived reports the arrival of a token.
	TokenReceived()
	// Done releases the endpoint.
	Done(result Result)
}

// Basis is this host's view of an endpoint when it was chosen.
type Basis struct {
	EndpointID string
	// SoftwareVersion is that of EndpointID's program; empty: not known.
	SoftwareVersion string
	PrefillID       string            // of the engine that prefills the prompt; empty: EndpointID, or none
	Path            router.PromptPath // how the prompt gets to EndpointID
	PrefillTokens   int               // prompt tokens expected to be prefilled
	FetchID         string            // of the engine from which a part of the prefix is fetched; empty: none
	Requests        int               // in flight there, of all hosts
	PeerRequests    int               // of these, those reported by peers
	TokensAhead     int               // prompt tokens queued at the prefilling engine
	FirstToken      time.Duration     // estimated time to the first token, or to the answer of a call
	RoleAge         time.Duration     // since its current role, or the endpoint itself, was first seen
	ListRevision    int64             // store revision of the endpoint's latest platform list entry
	ListAge         time.Duration     // since this host received that entry
}

// Result is how a Grant's use ended: Completed, Abandoned or Failed.
type Result interface{ isResult() }

// Completed is a use that ended with a complete answer.
type Completed struct{ End driver.End }

// Abandoned is a use that ended because the caller cancelled or another attempt of a hedge
// won. It does not count for or against the endpoint.
type Abandoned struct{}

// Failed is a use in which the endpoint failed, refused the request or did not answer.
type Failed struct{ Err error }

func (Completed) isResult() {}
func (Abandoned) isResult() {}
func (Failed) isResult()    {}

// RefusalReason is the reason of a refusal.
type RefusalReason string

// Reasons of a RefusalError.
const (
	ReasonOverload    RefusalReason = "overload"     // the backlog is too long to meet the targets
	ReasonNoEndpoint  RefusalReason = "no_endpoint"  // no endpoint of the application can be reached
	ReasonNoVersion   RefusalReason = "no_version"   // no endpoint has the software version that the stream needs
	ReasonBackoff     RefusalReason = "resting"      // all endpoints of the application are in backoff
	ReasonTenantShare RefusalReason = "tenant_share" // the tenant has used up its fair share
	ReasonDraining    RefusalReason = "draining"     // this host accepts no new work
	ReasonTooLate     RefusalReason = "too_late"     // the target passed while the work waited
	ReasonPrecedence  RefusalReason = "precedence"   // the capacity goes to more urgent work, or to other tenants
)

// RefusalError is the error for work that has not been run and will not be run.
type RefusalError struct {
	Reason     RefusalReason
	RetryAfter time.Duration // estimated from the backlog; always above 0
}

// Error describes the refusal.
func (r *RefusalError) Error() string {
	return "refused: " + string(r.Reason) + ", retry after " + r.RetryAfter.String()
}

// Part is a part of a prompt that other prompts may share.
type Part = tracker.Part

// Load is the work in flight at one endpoint, as counted by one host.
type Load = tracker.Load
