package driver

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Payload is an opaque request from a caller, forwarded unchanged.
type Payload struct {
	Method string
	Path   string // with its query, as the caller sent it
	Host   string
	Header http.Header // end-to-end headers; not changed by a Forwarder
	Body   []byte
}

// ForwardCall is one attempt of an opaque request.
type ForwardCall struct {
	RequestID string // set by the caller; each part of the answer must repeat it
	Payload   Payload
	TimeLeft  time.Duration // until the caller gives up; 0: not known
	Urgency   int           // 0 is the most urgent; engines admit requests in this order
	Tenant    string        // tenant of the request; empty: requests carry no keys
	// Import identifies a KV cache that another engine holds for this request; nil: none.
	Import *KVHandle
	// FetchFrom is the address of an engine that probably caches a part of the prompt;
	// empty: none.
	FetchFrom string
	// ResumeAfter is the id of the last event that the caller has received; empty: none.
	ResumeAfter string
	// IsSentAgain is true if this request has been sent to the target's address before, perhaps to an
	// earlier process. A late copy of the earlier answer must not be taken for the answer to this call.
	IsSentAgain bool
	// IsStillNeeded is called once the connection is open, before anything is sent:
	// opening a connection takes a second if a packet is lost, and the endpoint may have
	// started to leave meanwhile. Nil: the call is needed.
	IsStillNeeded func() bool
}

// ForwardAnswer is the header of an endpoint's answer, and its body as a stream.
type ForwardAnswer struct {
	Status int
	Header http.Header // end-to-end headers
	Length int64       // of the body; -1: not known
	// SaysNotRun is true if the status promises callers that the request has not run, while the endpoint has not
	// stated that.
	SaysNotRun bool
	// EndsWithConnection is true if the end of the connection is the only sign that the answer is
	// complete. That of a killed process looks the same.
	EndsWithConnection bool
	// Body ends with io.EOF only if the answer is complete, as far as the answer itself says it. Closing
	// it earlier cancels the work at the endpoint.
	Body io.ReadCloser
}

// RoleOrder is an order to an engine to change its role, given by the holder of a lease.
type RoleOrder struct {
	Role   Role
	Holder string
	Epoch  int64 // fencing token
	// ExpectedOrders is the number of orders that the engine must have accepted so far, so
	// that an order that arrives after a later one is refused. -1: not checked.
	ExpectedOrders int64
}

// Forwarder forwards opaque requests to endpoints. All methods are safe for concurrent
// use, and none sends a call twice.
type Forwarder interface {
	// Forward sends a request. Its errors: ErrNotSent, ErrRefused, ErrOutcomeUnknown,
	// ErrMismatchedAnswer. An answer that reports a failure inside the endpoint is no
	// error.
	Forward(ctx context.Context, target Target, call ForwardCall) (ForwardAnswer, error)
	// ForwardPrefill has an engine prefill a request's prompt and keep the KV cache for
	// another engine. Its errors are those of Forward, and ErrFailed.
	ForwardPrefill(ctx context.Context, target Target, call ForwardCall) (KVHandle, error)
	// Release frees a KV cache that will not be imported. Unknown handles are no error.
	Release(ctx context.Context, handle KVHandle) error
	// OrderRole sends an order once, over its own connection. Its errors: ErrNotSent,
	// ErrStaleEpoch, ErrRefused, ErrOutcomeUnknown.
	OrderRole(ctx context.Context, target Target, order RoleOrder) error
	// CacheEvents waits until an engine has changes of its prompt cache after the number
	// since, but no longer than wait.
	CacheEvents(ctx context.Context, target Target, since int64, wait time.Duration) (CacheEvents, error)
	// CacheList reads the whole list of prompt parts that an engine caches. The call
	// delays the engine's other work.
	CacheList(ctx context.Context, target Target) (CacheEvents, error)
	// Probe opens a connection to an endpoint without sending a request. It fails with
	// ErrConnectionRefused if the endpoint's process has exited.
	Probe(ctx context.Context, target Target) error
	// ConfirmRunning asks an endpoint for its report, over a connection that the endpoint has not closed,
	// and returns an error unless a process answers under the target's id. The answer of a process that
	// has been killed can't follow the end of its connections, but another process may have taken its
	// place.
	ConfirmRunning(ctx context.Context, target Target) (Confirmation, error)
	// Ping sends a request that runs no work over idle connections to an endpoint, one after the
	// other, until one is answered. It opens none. A connection that ends without an answer is
	// closed. It fails with ErrNotConnected if no idle connection is left.
	Ping(ctx context.Context, target Target, kind PingKind) error
	// Inspect reads an engine's report on its current state.
	Inspect(ctx context.Context, target Target) (Inspection, error)
	// SetObserver sets the function that receives the signals in the header of each
	// answer, refusals included. It is called once, before any other method, and the
	// observer must not block.
	SetObserver(observe func(Observation))
	// SetPathObserver sets the observer of the network paths to endpoints. It is called
	// once, before any other method.
	SetPathObserver(observer PathObserver)
	// IsConnected reports whether an idle connection to an endpoint is open. The kernel may
	// not know yet that the endpoint's host is unreachable.
	IsConnected(target Target) bool
	// Close closes idle connections and waits for running calls to end.
	Close() error
}

// Confirmation is the answer of a process that was asked whether it runs.
type Confirmation struct {
	// Incarnation is that of the process that has answered, as far as its report states it: without a
	// start time, it is the incarnation of an endpoint that is listed without one. Empty: the answer is
	// no report, and leaves open which process has answered.
	Incarnation string
}

// PingKind determines which requests an endpoint answers without running work.
type PingKind struct {
	IsEngine   bool   // it has a role
	HealthPath string // of its application; empty: none is configured
}

// CacheEvents lists changes of the prompt parts that an engine caches.
type CacheEvents struct {
	Epoch string // changes when the engine restarts
	Next  int64  // where the next request starts
	// HasGap is true if earlier changes are missing.
	HasGap  bool
	Changes []CacheChange // in order; for CacheList, everything that is cached
}

// CacheChange is a prompt part that an engine has cached or dropped.
type CacheChange struct {
	PartID string
	Tokens int // cached now; 0: dropped
}

// Inspection is an engine's report on its current state.
type Inspection struct {
	Role       Role
	IsChanging bool  // an order is being applied
	Orders     int64 // accepted since the engine's start
	Running    int
	Waiting    int
}

// PathObserver observes the network paths to endpoints. It must not block.
type PathObserver interface {
	// Begin is called before a call to a process.
	Begin(process Process) PathUse
}

// PathUse observes one call.
type PathUse interface {
	// Received is called each time data has arrived from the process, or it has accepted a
	// connection.
	Received()
	// End is called once. err is the error of a call without a complete answer; nil also if
	// the caller has cancelled the call.
	End(err error)
}

// NoPathObserver observes nothing.
type NoPathObserver struct{}

// Begin implements PathObserver.
func (NoPathObserver) Begin(Process) PathUse { return noPathUse{} }

type noPathUse struct{}

func (noPathUse) Received() {}
func (noPathUse) End(error) {}
