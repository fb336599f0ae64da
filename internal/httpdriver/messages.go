package httpdriver

import "github.com/endivemast/endivemast/internal/driver"

// Paths of the endpoints' HTTP protocol.
const (
	PathGenerate = "/generate"
	PathPrefill  = "/prefill"
	PathCancel   = "/cancel"
	PathCall     = "/call"
	PathOrders   = "/orders"
	PathReport   = "/report"
)

// QueryCacheSequence is the query parameter of a report: the cache events
// behind this sequence are wanted.
const QueryCacheSequence = "cache_sequence"

// LineKind says what a line of a streamed answer holds.
type LineKind string

// Kinds of lines of the answers to generate and prefill calls.
const (
	LineAlive  LineKind = "alive"  // nothing new, but the engine is there
	LineToken  LineKind = "token"  // Sequence and Text
	LineEnd    LineKind = "end"    // the counts; the last line of a generation
	LineHandle LineKind = "handle" // Handle; the last line of a prefill
	LineError  LineKind = "error"  // Error; the last line of a call that gave up
)

// Line is one line of a streamed answer: JSON objects, each followed by a
// newline. Every line echoes the attempt id of its call.
type Line struct {
	AttemptID    string           `json:"attempt_id"`
	Kind         LineKind         `json:"kind"`
	Sequence     int              `json:"sequence,omitempty"`
	Text         string           `json:"text,omitempty"`
	OutputTokens int              `json:"output_tokens,omitempty"`
	ReusedTokens int              `json:"reused_tokens,omitempty"`
	PromptTokens int              `json:"prompt_tokens,omitempty"`
	Handle       *driver.KVHandle `json:"handle,omitempty"`
	Error        *ErrorMessage    `json:"error,omitempty"`
}

// ErrorCode says why an endpoint did not do what it was asked.
type ErrorCode string

// Codes of an ErrorMessage.
const (
	CodeBusy             ErrorCode = "busy"              // its queue is full
	CodeDraining         ErrorCode = "draining"          // it takes no new work, or an order is being applied
	CodeNotServing       ErrorCode = "not_serving"       // another application's endpoint
	CodeWrongRole        ErrorCode = "wrong_role"        // the engine's role does not take this work
	CodeTooLarge         ErrorCode = "too_large"         // never fits into the engine's memory
	CodeImportFailed     ErrorCode = "import_failed"     // the exported KV cache could not be had
	CodeCancelled        ErrorCode = "cancelled"         // ended by a cancel call
	CodeFailed           ErrorCode = "failed"            // it ran and said no
	CodeStaleEpoch       ErrorCode = "stale_epoch"       // an order's fencing number is old
	CodeOtherIncarnation ErrorCode = "other_incarnation" // an order for an earlier process at this address
	CodeMalformed        ErrorCode = "malformed"
)

// ErrorMessage is an endpoint's answer to a call that it did not do. It is
// the body of every status other than 200.
type ErrorMessage struct {
	AttemptID string    `json:"attempt_id,omitempty"` // echoed; of a call
	OrderID   string    `json:"order_id,omitempty"`   // echoed; of an order
	Code      ErrorCode `json:"code"`
	// Ran is false when the call certainly has not run and will not. It is a
	// pointer so that a body from somebody else, without the field, proves nothing.
	Ran    *bool  `json:"ran"`
	Detail string `json:"detail,omitempty"`
}

// CallAnswer is a plain service's answer.
type CallAnswer struct {
	AttemptID string `json:"attempt_id"`
	Body      []byte `json:"body"`
}

// CancelMessage asks an engine to end an attempt.
type CancelMessage struct {
	AttemptID string `json:"attempt_id"`
}

// OrderMessage is an order on the wire. Exactly one of SetRole and LoadModel is set.
type OrderMessage struct {
	OrderID string `json:"order_id"`
	Zone    string `json:"zone"`
	Epoch   int64  `json:"epoch"`
	Holder  string `json:"holder"`
	// Incarnation is the engine's process that the order is meant for; empty when any.
	Incarnation string            `json:"incarnation,omitempty"`
	SetRole     *driver.SetRole   `json:"set_role,omitempty"`
	LoadModel   *driver.LoadModel `json:"load_model,omitempty"`
}

// OrderAnswer says that an order was accepted.
type OrderAnswer struct {
	OrderID string `json:"order_id"`
}
