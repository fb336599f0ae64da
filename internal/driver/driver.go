// Package driver defines the interface between endivemast and endpoints: model engines and
// plain services.
//
// All decisions depend on the Driver interface only. A new wire format of an endpoint
// needs one adapter package; httpdriver is the adapter for the stand-ins' HTTP protocol.
//
// # Usage
//
//	stream, err := drv.Generate(ctx, target, driver.GenerateCall{...})
//	defer stream.Close()
//	for {
//		event, err := stream.Next()
//		if err != nil { ... }
//		switch event := event.(type) {
//		case driver.Token: ...
//		case driver.End: ...
//		}
//	}
//
// Neither a Driver nor its transport ever retries a call: after an error the caller
// decides from the error's class whether the call may be sent again.
package driver

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Driver, to be tested with errors.Is.
var (
	// ErrNotSent: no byte of the call reached the endpoint; it has certainly not run.
	ErrNotSent = errors.New("call not sent")
	// ErrConnectionRefused is an ErrNotSent for which the host reports that no process
	// listens at the address: the endpoint's process has exited.
	ErrConnectionRefused = fmt.Errorf("%w: nobody listens at the address", ErrNotSent)
	// ErrNotNeeded is an ErrNotSent of a call that was no longer needed once a connection
	// was open. It says nothing about the endpoint.
	ErrNotNeeded = fmt.Errorf("%w: no longer wanted", ErrNotSent)
	// ErrNotConnected: no idle connection to the endpoint is open. It says nothing about the endpoint.
	ErrNotConnected = errors.New("no idle connection is open")
	// ErrRefused: the endpoint answered that it did not run the call (busy, draining or
	// not serving this application).
	ErrRefused = errors.New("endpoint refused the call")
	// ErrBusy is an ErrRefused of an endpoint without free capacity.
	ErrBusy = fmt.Errorf("%w: no room", ErrRefused)
	// ErrReplaced is an ErrRefused from a process other than the one addressed.
	ErrReplaced = fmt.Errorf("%w: another process has the address", ErrRefused)
	// ErrWrongRole is an ErrRefused of an engine whose current role or model does not
	// serve such calls.
	ErrWrongRole = fmt.Errorf("%w: its role or model does not serve it", ErrRefused)
	// ErrFailed: the endpoint ran the call and reported a failure.
	ErrFailed = errors.New("endpoint failed the call")
	// ErrOutcomeUnknown: the call was sent and not completely answered.
	ErrOutcomeUnknown = errors.New("outcome of the call unknown")
	// ErrMismatchedAnswer: the answer carried the id of another attempt. It was dropped
	// and its connection closed.
	ErrMismatchedAnswer = errors.New("answer belongs to another attempt")
	// ErrStaleEpoch: the endpoint refused an order because of its fencing number.
	ErrStaleEpoch = errors.New("order carries an old fencing number")
)

// Target is the endpoint of a call.
type Target struct {
	EndpointID  string
	Incarnation string // of the endpoint's process; empty: not known
	Address     string // IP and port
	// SoftwareVersion is that of the process's program, not of its weights; empty: not known.
	SoftwareVersion string
}

// GenerateCall requests a generation from an engine.
type GenerateCall struct {
	AttemptID       string `json:"attempt_id"` // echoed by each part of the answer
	Application     string `json:"application"`
	Prompt          string `json:"prompt"`
	PrefixKey       string `json:"prefix_key"` // identifies the shared template; empty: none
	PrefixTokens    int    `json:"prefix_tokens"`
	MaxOutputTokens int    `json:"max_output_tokens"`
	Priority        int    `json:"priority"` // higher runs first; derived from the slack of the class
	// ResumeTokens are the tokens that an earlier attempt already delivered to the caller;
	// the engine continues after them.
	ResumeTokens []string `json:"resume_tokens"`
	// Import identifies a KV cache that another engine exported; nil: none.
	Import *KVHandle `json:"import"`
}

// KVHandle identifies an exported KV cache on the engine that holds it.
type KVHandle struct {
	HandleID string `json:"handle_id"`
	Address  string `json:"address"` // of the exporting engine
	Tokens   int    `json:"tokens"`  // prompt tokens that it covers
	// SoftwareVersion is that of the exporting engine; empty: not known.
	SoftwareVersion string `json:"-"`
	Bytes           int64  `json:"bytes"`
}

// Event is one part of the answer to a GenerateCall: Token or End.
type Event interface{ isEvent() }

// Token is one generated token.
type Token struct {
	Sequence int // counts from 0 over the whole output, resumed tokens included
	Text     string
}

// End marks the end of a complete answer.
type End struct {
	OutputTokens int // of the whole output, resumed tokens included
	ReusedTokens int // prompt tokens that the engine took from its cache; negative: not reported
	PromptTokens int // prompt tokens as the engine counts them
}

func (Token) isEvent() {}
func (End) isEvent()   {}

// GenerateStream is the answer to a GenerateCall.
type GenerateStream interface {
	// Next returns the next event. After End it returns io.EOF; a stream that is
	// interrupted before End returns ErrOutcomeUnknown, never io.EOF.
	Next() (Event, error)
	// Close cancels the generation at the engine if it has not ended, and waits for the
	// transport.
	Close() error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	AttemptID   string `json:"attempt_id"`
	Application string `json:"application"`
	Operation   string `json:"operation"`
	// CallKey is the caller's idempotency key with its tenant; empty if the call may be
	// repeated. Services are not expected to check it.
	CallKey string `json:"call_key"`
	Body    []byte `json:"body"`
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Body []byte
}

// Role is the part of inference that an engine runs: prefill, decode or both.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order is a command that reconfigures an engine: SetRole or LoadModel.
type Order interface{ isOrder() }

// SetRole changes an engine's role.
type SetRole struct {
	Role Role `json:"role"`
}

// LoadModel makes an engine serve a version of a model, with or without an adapter.
type LoadModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"` // empty: none
}

func (SetRole) isOrder()   {}
func (LoadModel) isOrder() {}

// OrderCall sends one order.
type OrderCall struct {
	OrderID string // unique; an order that is sent again keeps its id
	Zone    string // availability zone whose authority gives the order
	Epoch   int64  // fencing number
	Holder  string // incarnation of the host that holds the zone's authority
	Order   Order
}

// OrderState is an engine's progress with an order.
type OrderState string

// States of an order at its engine.
const (
	OrderApplying OrderState = "applying" // draining, loading or switching
	OrderApplied  OrderState = "applied"
	OrderFailed   OrderState = "failed" // the engine kept or restored its earlier state
)

// Report is an engine's report on its own state, which may be out of date.
type Report struct {
	EndpointID      string        `json:"endpoint_id"`
	Incarnation     string        `json:"incarnation"`
	Application     string        `json:"application"`
	Role            Role          `json:"role"`
	Model           string        `json:"model"`
	Version         string        `json:"version"`
	Adapter         string        `json:"adapter"`
	Draining        bool          `json:"draining"` // takes no new work
	Age             time.Duration `json:"age_ns"`   // age of the load figures below
	RunningRequests int           `json:"running_requests"`
	WaitingRequests int           `json:"waiting_requests"`
	PrefillBacklog  int           `json:"prefill_backlog_tokens"`
	DecodeBacklog   int           `json:"decode_backlog_tokens"`
	CacheTokens     int           `json:"cache_tokens"`
	CacheCapacity   int           `json:"cache_capacity_tokens"`
	Epoch           int64         `json:"epoch"` // highest fencing number seen; 0 when the engine does not check
	LastOrderID     string        `json:"last_order_id"`
	LastOrderState  OrderState    `json:"last_order_state"`
	CacheEvents     []CacheEvent  `json:"cache_events"`      // after the requested sequence; delayed, and may have gaps
	CacheSequence   int64         `json:"cache_sequence"`    // where the next request starts
	CacheEventsLost bool          `json:"cache_events_lost"` // a gap: events before these are missing
}

// CacheEvent reports that an engine has stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence  int64  `json:"sequence"`
	PrefixKey string `json:"prefix_key"`
	Tokens    int    `json:"tokens"`
	Evicted   bool   `json:"evicted"`
}

// Driver sends calls to endpoints. All methods are safe for concurrent use.
type Driver interface {
	// Generate starts a generation. Its errors: ErrNotSent, ErrRefused, ErrFailed,
	// ErrOutcomeUnknown, ErrMismatchedAnswer.
	Generate(ctx context.Context, target Target, call GenerateCall) (GenerateStream, error)
	// Prefill computes a prompt's KV cache and exports it for another engine.
	Prefill(ctx context.Context, target Target, call GenerateCall) (KVHandle, error)
	// Cancel ends an attempt at an engine. It is no error if the engine does not know the
	// attempt.
	Cancel(ctx context.Context, target Target, attemptID string) error
	// Call calls a plain service. Its errors are those of Generate.
	Call(ctx context.Context, target Target, call ServiceCall) (ServiceAnswer, error)
	// Send sends an order once, over its own connection. It fails with ErrNotSent,
	// ErrStaleEpoch, ErrRefused or ErrOutcomeUnknown; nil means that the engine has
	// accepted the order, and reports show its result. If target.Incarnation is set, the
	// order must reach exactly that process: an adapter whose protocol can't state the
	// process reads the report on the order's own connection first. The safety of orders
	// depends on this.
	Send(ctx context.Context, target Target, order OrderCall) error
	// Report reads an engine's report with the cache events after a sequence.
	Report(ctx context.Context, target Target, cacheSequence int64) (Report, error)
	// Close closes idle connections and waits for running calls to end.
	Close() error
}
