package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/endivemast/endivemast/internal/claimer"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server/gen/caller"
	"github.com/endivemast/endivemast/internal/server/gen/health"
	callerhttp "github.com/endivemast/endivemast/internal/server/gen/http/caller/server"
	healthhttp "github.com/endivemast/endivemast/internal/server/gen/http/health/server"
	operatorhttp "github.com/endivemast/endivemast/internal/server/gen/http/operator/server"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Names of failures as in the design. formatFailure writes those that the design does not
// declare for a method.
const (
	statusInvalid       = "invalid"
	statusUnauthorized  = "unauthorized"
	statusForbidden     = "forbidden"
	statusNotFound      = "not_found"
	statusWrongMethod   = "method_not_allowed"
	statusConflict      = "conflict"
	statusTooLarge      = "too_large"
	statusUnprocessable = "unprocessable"
	statusShareUsed     = "share_used"
	statusInternal      = "internal"
	statusFailed        = "failed"
	statusRefused       = "refused"
	statusUnknown       = "unknown"
)

// statusCodes maps the names of failures to HTTP status codes.
var statusCodes = map[string]int{
	statusInvalid:       http.StatusBadRequest,
	statusUnauthorized:  http.StatusUnauthorized,
	statusForbidden:     http.StatusForbidden,
	statusNotFound:      http.StatusNotFound,
	statusWrongMethod:   http.StatusMethodNotAllowed,
	statusConflict:      http.StatusConflict,
	statusTooLarge:      http.StatusRequestEntityTooLarge,
	statusUnprocessable: http.StatusUnprocessableEntity,
	statusShareUsed:     http.StatusTooManyRequests,
	statusInternal:      http.StatusInternalServerError,
	statusFailed:        http.StatusBadGateway,
	statusRefused:       http.StatusServiceUnavailable,
	statusUnknown:       http.StatusGatewayTimeout,
}

// Reasons of failures that the server itself detects.
const (
	reasonInvalid           = "invalid"
	reasonTooLarge          = "too_large"
	reasonShortage          = "memory_shortage"
	reasonUnknownPath       = "unknown_path"
	reasonWrongMethod       = "method_not_allowed"
	reasonInternal          = "internal"
	reasonTicketUnavailable = "ticket_unavailable"
)

// reasonStatuses maps reasons of callers' failures to names of failures. For other reasons,
// outcomeStatuses applies.
var reasonStatuses = map[string]string{
	reasonInvalid:                       statusInvalid,
	dispatcher.ReasonWrongKind:          statusInvalid,
	dispatcher.ReasonKeyMissing:         statusInvalid,
	dispatcher.ReasonUnknownClass:       statusNotFound,
	dispatcher.ReasonKeyUsed:            statusConflict,
	dispatcher.ReasonKeyConflict:        statusUnprocessable,
	string(scheduler.ReasonTenantShare): statusShareUsed,
	string(scheduler.ReasonOverload):    statusRefused,
	string(scheduler.ReasonNoEndpoint):  statusRefused,
	string(scheduler.ReasonDraining):    statusRefused,
	string(scheduler.ReasonTooLate):     statusRefused,
	string(scheduler.ReasonPrecedence):  statusRefused,
	dispatcher.ReasonNotReady:           statusRefused,
	dispatcher.ReasonClaimUnavailable:   statusRefused,
	reasonTicketUnavailable:             statusRefused,
	dispatcher.ReasonEndpointFailed:     statusFailed,
	reasonInternal:                      statusInternal,
}

// outcomeStatuses maps outcomes to names of failures, for reasons such as endpoint_lost that
// occur with several outcomes.
var outcomeStatuses = map[dispatcher.Outcome]string{
	dispatcher.OutcomeNotRun:  statusRefused,
	dispatcher.OutcomeFailed:  statusFailed,
	dispatcher.OutcomeUnknown: statusUnknown,
}

// Failures that are detected before the generated code runs.
var (
	errUnknownPath      = &requestError{status: statusNotFound, reason: reasonUnknownPath, detail: "no such path"}
	errWrongMethod      = &requestError{status: statusWrongMethod, reason: reasonWrongMethod, detail: "the path does not take this method"}
	errTooLarge         = &requestError{status: statusTooLarge, reason: reasonTooLarge, detail: "the body is too large"}
	errShortage         = &requestError{status: statusRefused, reason: reasonShortage, detail: "no memory for the request now; it has not run"}
	errBodyIncomplete   = &requestError{status: statusInvalid, reason: reasonInvalid, detail: "the body did not arrive whole and in time"}
	errNotAuthenticated = &requestError{status: statusUnauthorized, reason: statusUnauthorized, detail: "no API key was checked"}
	errInvalidRequestID = &requestError{status: statusInvalid, reason: reasonInvalid, detail: requestIDHeader + " must be at most 128 printable ASCII characters without spaces"}
)

// requestError is a failure that the server detects before a request runs.
type requestError struct {
	status string
	reason string
	detail string
}

// Error implements error.
func (f *requestError) Error() string { return f.reason + ": " + f.detail }

// callerFailure converts an error of the dispatcher or claimer into a failure of the callers'
// API.
func callerFailure(requestID string, err error) *caller.Failure {
	var failure *dispatcher.FailureError
	var refusal *scheduler.RefusalError
	switch {
	case errors.As(err, &failure):
		f := *failure
		f.RequestID = requestID
		return newCallerFailure(f)
	case errors.As(err, &refusal):
		return newCallerFailure(dispatcher.FailureError{
			RequestID: requestID, Outcome: dispatcher.OutcomeNotRun,
			Reason: string(refusal.Reason), Detail: "refused", RetryAfter: refusal.RetryAfter,
		})
	case errors.Is(err, claimer.ErrUnavailable):
		return newCallerFailure(dispatcher.FailureError{
			RequestID: requestID, Outcome: dispatcher.OutcomeNotRun,
			Reason: reasonTicketUnavailable, Detail: "no ticket can be issued now", RetryAfter: time.Second,
		})
	default:
		// The request may have run when no component has classified the error, so the outcome
		// can't be "not run".
		return newCallerFailure(dispatcher.FailureError{
			RequestID: requestID, Outcome: dispatcher.OutcomeUnknown,
			Reason: reasonInternal, Detail: "internal fault",
		})
	}
}

// newCallerFailure adds the name of the failure and the Retry-After header.
func newCallerFailure(f dispatcher.FailureError) *caller.Failure {
	status, ok := reasonStatuses[f.Reason]
	if !ok {
		status, ok = outcomeStatuses[f.Outcome]
	}
	if !ok {
		status = statusInternal
	}
	return &caller.Failure{
		Name:         status,
		RequestID:    f.RequestID,
		Outcome:      string(f.Outcome),
		Reason:       f.Reason,
		Detail:       f.Detail,
		RetryAfterMs: f.RetryAfter.Milliseconds(),
		RetryAfter:   retryAfterHeader(f.RetryAfter),
	}
}

// retryAfterHeader returns the value of a Retry-After header in whole seconds, rounded up, or
// nil if retrying does not help.
func retryAfterHeader(d time.Duration) *string {
	if d <= 0 {
		return nil
	}
	seconds := strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
	return &seconds
}

// failureBody is the JSON body of a failure that the server itself detects. The generated
// clients read the same fields.
type failureBody struct {
	code int

	Name         string `json:"name"`
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Field        string `json:"field,omitempty"`
	Accepted     string `json:"accepted,omitempty"`
}

// callerFailureBody is the JSON body of a failure of the callers' API.
type callerFailureBody struct {
	*callerhttp.GenerateRefusedResponseBody // the same for all methods and statuses
}

// operatorFailureBody is the JSON body of a failure of the operators' API.
type operatorFailureBody struct {
	*operatorhttp.SetClassConflictResponseBody        // the same for all methods and statuses
	RequestID                                  string `json:"request_id"`
}

// notReadyBody is the JSON body of the answer of a host that is not ready.
type notReadyBody struct {
	*healthhttp.ReadyRefusedResponseBody
}

// StatusCode returns the HTTP status code.
func (b *failureBody) StatusCode() int { return b.code }

// StatusCode returns the HTTP status code.
func (b callerFailureBody) StatusCode() int { return statusCodes[b.Name] }

// StatusCode returns the HTTP status code.
func (b operatorFailureBody) StatusCode() int { return statusCodes[b.Name] }

// StatusCode returns the HTTP status code.
func (b notReadyBody) StatusCode() int { return statusCodes[b.Name] }

// formatFailure returns the response body of any error for goa.
func formatFailure(ctx context.Context, err error) goahttp.Statuser { //nolint:misspell // the name is goa's
	var (
		callerFailed   *caller.Failure
		operatorFailed *operator.OperatorFailure
		notReady       *health.NotReady
		requestFailed  *requestError
		invalid        *goa.ServiceError
	)
	id := requestIDFrom(ctx)
	switch {
	case errors.As(err, &callerFailed):
		return callerFailureBody{callerhttp.NewGenerateRefusedResponseBody(callerFailed)}
	case errors.As(err, &operatorFailed):
		return operatorFailureBody{operatorhttp.NewSetClassConflictResponseBody(operatorFailed), id}
	case errors.As(err, &notReady):
		return notReadyBody{healthhttp.NewReadyRefusedResponseBody(notReady)}
	case errors.As(err, &requestFailed):
		return newNotRunBody(id, *requestFailed)
	case errors.As(err, &invalid) && !invalid.Fault:
		body := newNotRunBody(id, requestError{status: statusInvalid, reason: reasonInvalid, detail: invalid.Message})
		body.Field, body.Accepted = valueOf(invalid.Field), acceptedValues(invalid.Message)
		return body
	default:
		return &failureBody{
			code: statusCodes[statusInternal], Name: statusInternal, RequestID: id,
			Outcome: string(dispatcher.OutcomeUnknown), Reason: reasonInternal, Detail: "internal fault",
		}
	}
}

// newNotRunBody returns the body of a failure that was detected before the request ran.
func newNotRunBody(requestID string, f requestError) *failureBody {
	return &failureBody{
		code: statusCodes[f.status], Name: f.status, RequestID: requestID,
		Outcome: string(dispatcher.OutcomeNotRun), Reason: f.reason, Detail: f.detail,
	}
}

// valueOf returns the value behind a pointer, or the zero value for nil.
func valueOf[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

// writeFailure sends a failure outside the generated code.
func writeFailure(ctx context.Context, w http.ResponseWriter, err error) {
	body := formatFailure(ctx, err)
	encoder := encodeBody(ctx, w)
	w.WriteHeader(body.StatusCode())
	_ = encoder.Encode(body) // fails if the caller has disconnected
}
