package design

//nolint:revive,staticcheck // goa's design language is written with dot imports
import . "goa.design/goa/v3/dsl"

// className adds the class of the path to a payload.
func className() {
	Attribute("class", String, "Class of work of the caller's tenant.", func() {
		MinLength(1)
		MaxLength(128)
	})
}

// GeneratePayload asks for a generation.
var GeneratePayload = Type("GeneratePayload", func() {
	token()
	requestID()
	className()
	Attribute("prompt", String, "The whole prompt, its shared template included.", func() {
		MinLength(1)
	})
	Attribute("prefix_key", String, "Names the shared template that the prompt begins with.", func() {
		MaxLength(256)
	})
	Attribute("prefix_tokens", Int, "Tokens of the shared template.", func() {
		Minimum(0)
	})
	Attribute("max_output_tokens", Int, "Most tokens to generate.", func() {
		Minimum(1)
	})
	Required("class", "prompt", "max_output_tokens")
})

// GenerateResult is a whole generation.
var GenerateResult = Type("GenerateResult", func() {
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("text", String, "The text, whole.")
	counts()
	Required("request_id", "text", "output_tokens", "prompt_tokens", "reused_tokens",
		"attempts", "first_token_ms", "completion_ms")
})

// StreamEvent is one server-sent event of a generation.
var StreamEvent = Type("StreamEvent", func() {
	Attribute("event", String, "Kind of the event.", func() {
		Enum("token", "end", "failure")
	})
	Attribute("data", StreamData, "What the event says.")
	Required("event", "data")
})

// StreamData is the data of a StreamEvent. The attributes of its kind are set.
var StreamData = Type("StreamData", func() {
	Attribute("sequence", Int, "Of a token: counts from 0 without a gap.")
	Attribute("text", String, "Of a token.")
	Attribute("request_id", String, "Of an end or a failure.")
	counts()
	Attribute("outcome", String, "Of a failure: what is known of the request.", func() {
		Enum("not_run", "unknown", "failed")
	})
	Attribute("reason", String, "Of a failure: snake case, for programs.")
	Attribute("detail", String, "Of a failure: one line for people.")
	Attribute("retry_after_ms", Int64, "Of a failure: when to come back, in milliseconds.")
})

// CallPayload asks for a call of a plain service.
var CallPayload = Type("CallPayload", func() {
	token()
	requestID()
	className()
	Attribute("idempotency_key", String, "The caller's own key of the call, or a ticket.", func() {
		MaxLength(1024)
	})
	Attribute("operation", String, "Operation of the service.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("body", Any, "Body of the call: any JSON, passed on byte for byte.", func() {
		rawJSON()
	})
	Required("class", "operation")
})

// CallResult is a plain service's whole answer.
var CallResult = Type("CallResult", func() {
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("body", Any, "Body of the answer, when it is JSON.", func() {
		rawJSON()
	})
	Attribute("body_base64", Bytes, "Body of the answer, when it is not JSON.")
	Attribute("attempts", Int, "Attempts that the answer took.")
	Attribute("completion_ms", Float64, "Milliseconds from arrival to the whole answer.")
	Required("request_id", "attempts", "completion_ms")
})

// rawJSON keeps a value's bytes as they came: decoded into a float64, a large
// number such as a booking id would lose digits.
func rawJSON() {
	Meta("struct:field:type", "json.RawMessage", "encoding/json")
}

// TicketResult is an issued ticket.
var TicketResult = Type("TicketResult", func() {
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("ticket", String, "To be sent as the Idempotency-Key of one call.")
	Required("request_id", "ticket")
})

// Failure is a request without a whole answer.
var Failure = Type("Failure", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("outcome", String, "What is known of the request.", func() {
		Enum("not_run", "unknown", "failed")
	})
	Attribute("reason", String, "Snake case, for programs.")
	Attribute("detail", String, "One line for people.")
	Attribute("retry_after_ms", Int64, "When to come back, in milliseconds; 0: coming back does not help.")
	Attribute("retry_after", String, "The same in whole seconds, rounded up.")
	Required("name", "request_id", "outcome", "reason", "detail", "retry_after_ms")
})
