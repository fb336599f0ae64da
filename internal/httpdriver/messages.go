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

// QueryCacheSequence is the query parameter of a report request. Its value is a cache
// event sequence number; later events are returned.
const QueryCacheSequence = "cache_sequence"

// LineKind is the type of a line of a streamed answer.
type LineKind string

// Kinds of lines in answers to generate and prefill calls.
const (
	LineAlive  LineKind = "alive"  // heartbeat: the engine is running and has nothing new
	LineToken  LineKind = "token"  // sets Sequence and Text
	LineEnd    LineKind = "end"    // sets the token counts; the last line of a generation
	LineHandle LineKind = "handle" // sets Handle; the last line of a prefill
	LineError  LineKind = "error"  // sets Error; the last line of a call that failed
)

// Line is one line of a streamed answer: a JSON object followed by a newline. Every line
// echoes the attempt id of its call.
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

// ErrorCode is the reason for which an endpoint did not perform a request.
type ErrorCode string

// Codes of an ErrorMessage.
const (
	CodeBusy             ErrorCode = "busy"              // the queue is full
	CodeDraining         ErrorCode = "draining"          // no new work is accepted, or an order is being applied
	CodeNotServing       ErrorCode = "not_serving"       // the endpoint serves another application
	CodeWrongRole        ErrorCode = "wrong_role"        // the engine's role does not accept this kind of work
	CodeTooLarge         ErrorCode = "too_large"         // exceeds the engine's memory
	CodeImportFailed     ErrorCode = "import_failed"     // the exported KV cache could not be fetched
	CodeCancelled        ErrorCode = "cancelled"         // ended by a cancel request
	CodeFailed           ErrorCode = "failed"            // the call ran and failed
	CodeStaleEpoch       ErrorCode = "stale_epoch"       // the order's epoch is older than the current one
	CodeOtherIncarnation ErrorCode = "other_incarnation" // the order is for an earlier process at this address
	CodeMalformed        ErrorCode = "malformed"
)

// ErrorMessage is an endpoint's answer to a request that it did not perform. It is the
// body of every status other than 200.
type ErrorMessage struct {
	AttemptID string    `json:"attempt_id,omitempty"` // echoed for calls
	OrderID   string    `json:"order_id,omitempty"`   // echoed for orders
	Code      ErrorCode `json:"code"`
	// Ran is false if the call has not run and never will. It is a pointer, so that a body
	// without the field, such as that of a proxy, proves nothing.
	Ran    *bool  `json:"ran"`
	Detail string `json:"detail,omitempty"`
}

// CallAnswer is a plain service's answer.
type CallAnswer struct {
	AttemptID string `json:"attempt_id"`
	Body      []byte `json:"body"`
}

// CancelMessage is the request and the answer of a cancellation.
type CancelMessage struct {
	AttemptID string `json:"attempt_id"`
}

// OrderMessage is an order in its wire format. Exactly one of SetRole and LoadModel is
// set.
type OrderMessage struct {
	OrderID string `json:"order_id"`
	Zone    string `json:"zone"`
	Epoch   int64  `json:"epoch"`
	Holder  string `json:"holder"`
	// Incarnation identifies the engine process that the order is for; empty for any
	// process.
	Incarnation string            `json:"incarnation,omitempty"`
	SetRole     *driver.SetRole   `json:"set_role,omitempty"`
	LoadModel   *driver.LoadModel `json:"load_model,omitempty"`
}

// OrderAnswer confirms that an order was accepted.
type OrderAnswer struct {
	OrderID string `json:"order_id"`
}
