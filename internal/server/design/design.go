// Package design describes endivemast's HTTP in goa's design language: the
// callers' API, the operators' API and the health endpoints.
//
// # Usage
//
// The package is read by goa's generator only; nothing imports it. After a
// change, run
//
//	go generate ./internal/server/...
//
// and commit what changes below internal/server/gen.
package design

import (
	//nolint:revive,staticcheck // goa's design language is written with dot imports
	. "goa.design/goa/v3/dsl"
	"goa.design/goa/v3/expr"
)

var _ = API("endivemast", func() {
	Title("endivemast")
	Description("Serving of language models and plain services on a fixed fleet.")
	Version("1")
	// The examples in the generated code stay the same from run to run.
	Randomizer(expr.NewDeterministicRandomizer())
})

// BearerAuth is the API key in the Authorization header. It names the tenant
// of a caller, or the role of an operator.
var BearerAuth = JWTSecurity("bearer", func() {
	Description("API key, sent as \"Authorization: Bearer KEY\".")
})

// token adds the API key to a payload.
func token() {
	Token("token", String, "API key. Absent on a server that was started insecure.")
}

// requestID adds the request id to a payload.
func requestID() {
	Attribute("request_id", String, "Identifier of the request; made by the server when absent.", func() {
		MaxLength(128)
	})
}

// counts adds the figures of a whole answer.
func counts() {
	Attribute("output_tokens", Int, "Tokens generated.")
	Attribute("prompt_tokens", Int, "Tokens of the prompt.")
	Attribute("reused_tokens", Int, "Prompt tokens taken from an engine's prefix cache.")
	Attribute("attempts", Int, "Attempts that the answer took.")
	Attribute("first_token_ms", Float64, "Milliseconds from arrival to the first token.")
	Attribute("completion_ms", Float64, "Milliseconds from arrival to the whole answer.")
}

// The statuses of failures. The reasons that lead to each are in failure.go of
// the package server.
const (
	errInvalid       = "invalid"
	errUnauthorized  = "unauthorized"
	errForbidden     = "forbidden"
	errNotFound      = "not_found"
	errConflict      = "conflict"
	errUnprocessable = "unprocessable"
	errShareUsed     = "share_used"
	errFailed        = "failed"
	errRefused       = "refused"
	errUnknown       = "unknown"
)

var _ = Service("caller", func() {
	Description("Runs callers' requests. Every request is answered once: whole, or with a failure that says what is known of it.")
	Security(BearerAuth)

	Error(errInvalid, Failure, "The request is malformed.")
	Error(errUnauthorized, Failure, "The API key is missing or unknown.")
	Error(errForbidden, Failure, "The API key is not a caller's.")
	Error(errNotFound, Failure, "The tenant has no such class.")
	Error(errConflict, Failure, "The idempotency key was used before.")
	Error(errUnprocessable, Failure, "The idempotency key was used with another body.")
	Error(errShareUsed, Failure, "The tenant has used up its share; not run.")
	Error(errFailed, Failure, "The endpoint ran the request and failed it.")
	Error(errRefused, Failure, "Refused; not run.")
	Error(errUnknown, Failure, "It is not known whether the request ran.")

	HTTP(func() {
		Path("/v1")
		failureResponse(errInvalid, StatusBadRequest)
		failureResponse(errUnauthorized, StatusUnauthorized)
		failureResponse(errForbidden, StatusForbidden)
		failureResponse(errNotFound, StatusNotFound)
		failureResponse(errConflict, StatusConflict)
		failureResponse(errUnprocessable, StatusUnprocessableEntity)
		failureResponse(errShareUsed, StatusTooManyRequests)
		failureResponse(errFailed, StatusBadGateway)
		failureResponse(errRefused, StatusServiceUnavailable)
		failureResponse(errUnknown, StatusGatewayTimeout)
	})

	Method("generate", func() {
		Description("Generates text, and answers when it is whole.")
		Payload(GeneratePayload)
		Result(GenerateResult)
		HTTP(func() {
			POST("/classes/{class}/generate")
			Header("request_id:X-Request-Id")
			Response(StatusOK)
		})
	})

	Method("stream", func() {
		Description("Generates text as server-sent events: token events, then one end event, or one failure event when the answer cannot be made whole.")
		Payload(GeneratePayload)
		StreamingResult(StreamEvent)
		HTTP(func() {
			POST("/classes/{class}/stream")
			Header("request_id:X-Request-Id")
			ServerSentEvents(func() {
				SSEEventType("event")
				SSEEventData("data")
			})
			Response(StatusOK)
		})
	})

	Method("call", func() {
		Description("Calls a plain service. A class that may not be repeated needs an idempotency key, and runs at most once for it.")
		Payload(CallPayload)
		Result(CallResult)
		HTTP(func() {
			POST("/classes/{class}/call")
			Header("request_id:X-Request-Id")
			Header("idempotency_key:Idempotency-Key")
			Response(StatusOK)
		})
	})

	Method("ticket", func() {
		Description("Issues a ticket: an idempotency key that can be used while the key-value service is down.")
		Payload(func() {
			token()
			requestID()
		})
		Result(TicketResult)
		HTTP(func() {
			POST("/tickets")
			Header("request_id:X-Request-Id")
			Response(StatusOK)
		})
	})
})

// failureResponse gives a failure its status.
func failureResponse(name string, status int) {
	Response(name, status, func() {
		Header("retry_after:Retry-After")
	})
}
