package design

//nolint:revive,staticcheck // goa's design language is written with dot imports
import . "goa.design/goa/v3/dsl"

// classNameAttribute adds the class, which is part of the path, to a payload.
func classNameAttribute() {
	Attribute("class", String, "Name of a class of the caller's tenant.", func() {
		MinLength(1)
		MaxLength(128)
	})
}

// GeneratePayload is a request to generate text.
var GeneratePayload = Type("GeneratePayload", func() {
	tokenAttribute()
	requestIDAttribute()
	classNameAttribute()
	Attribute("prompt", String, "The complete prompt, including the shared template.", func() {
		MinLength(1)
	})
	Attribute("prefix_key", String, "Identifier of the shared template that the prompt starts with.", func() {
		MaxLength(256)
	})
	Attribute("prefix_tokens", Int, "Number of tokens of the shared template.", func() {
		Minimum(0)
	})
	Attribute("max_output_tokens", Int, "Maximum number of tokens to generate.", func() {
		Minimum(1)
	})
	Required("class", "prompt", "max_output_tokens")
})

// GenerateResult is a complete generated text.
var GenerateResult = Type("GenerateResult", func() {
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("text", String, "The complete text.")
	answerMetricsAttributes()
	Required("request_id", "text", "output_tokens", "prompt_tokens", "reused_tokens",
		"attempts", "first_token_ms", "completion_ms")
})

// StreamEvent is one server-sent event of a generation.
var StreamEvent = Type("StreamEvent", func() {
	Attribute("event", String, "Kind of the event.", func() {
		Enum("token", "end", "failure")
	})
	Attribute("data", StreamData, "Data of the event.")
	Required("event", "data")
})

// StreamData is the data of a StreamEvent. Only the attributes of the kind of event are set.
var StreamData = Type("StreamData", func() {
	Attribute("sequence", Int, "For a token: its sequence number, counted from 0 without gaps.")
	Attribute("text", String, "For a token: its text.")
	Attribute("request_id", String, "For an end or a failure: identifier of the request.")
	answerMetricsAttributes()
	Attribute("outcome", String, "For a failure: outcome of the request, as far as it is known.", func() {
		Enum("not_run", "unknown", "failed")
	})
	Attribute("reason", String, "For a failure: machine-readable reason in snake case.")
	Attribute("detail", String, "For a failure: human-readable description in one line.")
	Attribute("retry_after_ms", Int64, "For a failure: milliseconds after which to retry.")
})

// CallPayload is a request to a plain service.
var CallPayload = Type("CallPayload", func() {
	tokenAttribute()
	requestIDAttribute()
	classNameAttribute()
	Attribute("idempotency_key", String, "Key of the call that the caller chose, or a ticket.", func() {
		MaxLength(1024)
	})
	Attribute("operation", String, "Operation of the service.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("body", Any, "Body of the call: any JSON value, forwarded unchanged.", func() {
		keepRawJSON()
	})
	Required("class", "operation")
})

// CallResult is the complete answer of a plain service.
var CallResult = Type("CallResult", func() {
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("body", Any, "Body of the answer if it is JSON.", func() {
		keepRawJSON()
	})
	Attribute("body_base64", Bytes, "Body of the answer if it is not JSON.")
	Attribute("attempts", Int, "Number of attempts made for the answer.")
	Attribute("completion_ms", Float64, "Milliseconds from arrival to the complete answer.")
	Required("request_id", "attempts", "completion_ms")
})

// keepRawJSON keeps the bytes of a value unchanged. Decoded into a float64, a large number
// such as a booking id would lose digits.
func keepRawJSON() {
	Meta("struct:field:type", "json.RawMessage", "encoding/json")
}

// TicketResult is an issued ticket.
var TicketResult = Type("TicketResult", func() {
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("ticket", String, "Value for the Idempotency-Key header of one call.")
	Required("request_id", "ticket")
})

// Failure reports a request without a complete answer.
var Failure = Type("Failure", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("request_id", String, "Identifier of the request.")
	Attribute("outcome", String, "Outcome of the request, as far as it is known.", func() {
		Enum("not_run", "unknown", "failed")
	})
	Attribute("reason", String, "Machine-readable reason in snake case.")
	Attribute("detail", String, "Human-readable description in one line.")
	Attribute("retry_after_ms", Int64, "Milliseconds after which to retry; 0: retrying does not help.")
	Attribute("retry_after", String, "Seconds after which to retry, rounded up.")
	Required("name", "request_id", "outcome", "reason", "detail", "retry_after_ms")
})
