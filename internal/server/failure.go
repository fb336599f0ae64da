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

// Names of the failures' statuses, as the design has them. The ones that the
// design does not declare for a method are written by formatFailure.
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

// statusCodes are the HTTP statuses by name.
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

// Reasons of failures that the server itself finds.
const (
	reasonInvalid     = "invalid"
	reasonTooLarge    = "too_large"
	reasonUnknownPath = "unknown_path"
	reasonWrongMethod = "method_not_allowed"
	reasonInternal    = "internal"
	reasonTicket      = "ticket_unavailable"
)

// reasonStatuses are the statuses of a caller's failures by reason. A reason
// that is not here goes by its outcome, see outcomeStatuses.
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
	dispatcher.ReasonNotReady:           statusRefused,
	dispatcher.ReasonClaimUnavailable:   statusRefused,
	reasonTicket:                        statusRefused,
	dispatcher.ReasonEndpointFailed:     statusFailed,
	reasonInternal:                      statusInternal,
}

// outcomeStatuses are the statuses by outcome, for reasons such as
// endpoint_lost that come with more than one.
var outcomeStatuses = map[dispatcher.Outcome]string{
	dispatcher.OutcomeNotRun:  statusRefused,
	dispatcher.OutcomeFailed:  statusFailed,
	dispatcher.OutcomeUnknown: statusUnknown,
}

// Failures that stand before the generated code.
var (
	errUnknownPath = &plainError{status: statusNotFound, reason: reasonUnknownPath, detail: "no such path"}
	errWrongMethod = &plainError{status: statusWrongMethod, reason: reasonWrongMethod, detail: "the path does not take this method"}
	errTooLarge    = &plainError{status: statusTooLarge, reason: reasonTooLarge, detail: "the body is too large"}
	errBodyBroken  = &plainError{status: statusInvalid, reason: reasonInvalid, detail: "the body did not arrive whole and in time"}
	errNoIdentity  = &plainError{status: statusUnauthorized, reason: statusUnauthorized, detail: "no API key was checked"}
	errRequestID   = &plainError{status: statusInvalid, reason: reasonInvalid, detail: requestIDHeader + " must be at most 128 printable ASCII characters without spaces"}
)

// plainError is a failure that the server finds before anything has run.
type plainError struct {
	status string
	reason string
	detail string
}

// Error describes the failure.
func (f *plainError) Error() string { return f.reason + ": " + f.detail }

// callerFailure turns an error of a dispatcher into the callers' failure.
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
			Reason: reasonTicket, Detail: "no ticket can be issued now", RetryAfter: time.Second,
		})
	default:
		// Nothing is known of an error that no part has classified, so it may
		// not be called "not run".
		return newCallerFailure(dispatcher.FailureError{
			RequestID: requestID, Outcome: dispatcher.OutcomeUnknown,
			Reason: reasonInternal, Detail: "internal fault",
		})
	}
}

// newCallerFailure gives a failure its status and its header.
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

// retryAfterHeader is a Retry-After header in whole seconds, rounded up; nil
// when coming back does not help.
func retryAfterHeader(d time.Duration) *string {
	if d <= 0 {
		return nil
	}
	seconds := strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
	return &seconds
}

// failureBody is the JSON of a failure that the server finds itself. The
// generated clients read the same fields.
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

// callerFailureBody is the JSON of a caller's failure.
type callerFailureBody struct {
	*callerhttp.GenerateRefusedResponseBody // the same for all methods and statuses
}

// operatorFailureBody is the JSON of an operator's failure.
type operatorFailureBody struct {
	*operatorhttp.SetClassConflictResponseBody        // the same for all methods and statuses
	RequestID                                  string `json:"request_id"`
}

// notReadyBody is the JSON of a host that is not ready.
type notReadyBody struct {
	*healthhttp.ReadyRefusedResponseBody
}

// StatusCode is the HTTP status.
func (b *failureBody) StatusCode() int { return b.code }

// StatusCode is the HTTP status.
func (b callerFailureBody) StatusCode() int { return statusCodes[b.Name] }

// StatusCode is the HTTP status.
func (b operatorFailureBody) StatusCode() int { return statusCodes[b.Name] }

// StatusCode is the HTTP status.
func (b notReadyBody) StatusCode() int { return statusCodes[b.Name] }

// formatFailure gives goa the body of any error.
func formatFailure(ctx context.Context, err error) goahttp.Statuser { //nolint:misspell // the name is goa's
	var (
		callers  *caller.Failure
		changes  *operator.OperatorFailure
		notReady *health.NotReady
		plain    *plainError
		invalid  *goa.ServiceError
	)
	id := requestIDFrom(ctx)
	switch {
	case errors.As(err, &callers):
		return callerFailureBody{callerhttp.NewGenerateRefusedResponseBody(callers)}
	case errors.As(err, &changes):
		return operatorFailureBody{operatorhttp.NewSetClassConflictResponseBody(changes), id}
	case errors.As(err, &notReady):
		return notReadyBody{healthhttp.NewReadyRefusedResponseBody(notReady)}
	case errors.As(err, &plain):
		return notRunBody(id, *plain)
	case errors.As(err, &invalid) && !invalid.Fault:
		body := notRunBody(id, plainError{status: statusInvalid, reason: reasonInvalid, detail: invalid.Message})
		body.Field, body.Accepted = deref(invalid.Field), acceptedFrom(invalid.Message)
		return body
	default:
		return &failureBody{
			code: statusCodes[statusInternal], Name: statusInternal, RequestID: id,
			Outcome: string(dispatcher.OutcomeUnknown), Reason: reasonInternal, Detail: "internal fault",
		}
	}
}

// notRunBody is the body of a failure that was found before anything has run.
func notRunBody(requestID string, f plainError) *failureBody {
	return &failureBody{
		code: statusCodes[f.status], Name: f.status, RequestID: requestID,
		Outcome: string(dispatcher.OutcomeNotRun), Reason: f.reason, Detail: f.detail,
	}
}

// deref is the value behind a pointer, or its zero.
func deref[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

// writeFailure answers with a failure outside of the generated code.
func writeFailure(ctx context.Context, w http.ResponseWriter, err error) {
	body := formatFailure(ctx, err)
	encoder := encodeBody(ctx, w)
	w.WriteHeader(body.StatusCode())
	_ = encoder.Encode(body) // the caller has gone away
}
