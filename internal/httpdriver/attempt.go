package httpdriver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/endchecker"
	"github.com/endivemast/endivemast/internal/responselimiter"
)

// classError is an error with its class, which is one of the sentinel errors of package
// driver, and its cause.
type classError struct {
	class error
	cause error
}

// Error returns the class and the cause.
func (e *classError) Error() string { return e.class.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is find the class and the cause.
func (e *classError) Unwrap() []error { return []error{e.class, e.cause} }

// attempt is one attempt to send one request. It records the connection that the transport
// chose, so that it can determine whether any byte of the request was written.
type attempt struct {
	mu          sync.Mutex
	conn        *countingConn
	startOffset int64 // bytes that earlier requests have written to the connection
}

// newRequest creates a request that the transport can't send twice.
//
// net/http repeats requests by itself in three cases. If a pooled connection turns out to
// be closed before a byte was written, it rewinds the body with GetBody. If it turns out
// to be closed after the request was written, it repeats requests that it considers
// idempotent, which includes a POST with an Idempotency-Key header. And a Client follows
// redirects 307 and 308 with the body. A booking would then run twice if an endpoint runs
// it and exits before it answers: the transport would send it again to the process that
// replaced it. Therefore GetBody is nil, the body is never empty, no such header is set,
// the transport is used without a Client, and gotConn rejects a second connection.
func newRequest(ctx context.Context, address, path string, message any) (*http.Request, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// roundTrip sends the request once. Its error is of class ErrNotSent or ErrOutcomeUnknown.
func (a *attempt) roundTrip(transport *responselimiter.Transport, r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return nil, a.fail(causeOf(r.Context(), err))
	}
	return resp, nil
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	checked, ok := info.Conn.(*endchecker.Conn)
	if !ok {
		return
	}
	conn, ok := checked.NetConn().(*countingConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		conn.seal(a, conn.setOwner(a)) // the call may have been sent over the first one
		return
	}
	a.conn, a.startOffset = conn, conn.setOwner(a)
}

// fail resets the attempt's connection and classifies the failure.
func (a *attempt) fail(cause error) error {
	if a.reset() {
		return &classError{class: driver.ErrOutcomeUnknown, cause: cause}
	}
	return &classError{class: driver.ErrNotSent, cause: cause}
}

// reset resets the attempt's connection and reports whether any byte of the request may
// have been sent.
func (a *attempt) reset() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.seal(a, a.startOffset)
}

// causeOf returns the cancellation cause of ctx if it has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// errorFromMessage converts an error message to an error. Only a message that echoes the
// call's own id and has ran: false proves that the call has not run. A 503 of a proxy in
// between proves nothing.
func errorFromMessage(message ErrorMessage, echoed, id string) error {
	detail := errors.New(string(message.Code) + " " + message.Detail)
	switch {
	case echoed == "" || message.Code == "" || message.Ran == nil:
		return &classError{class: driver.ErrOutcomeUnknown, cause: errors.New("error answer without proof")}
	case echoed != id:
		return &classError{class: driver.ErrMismatchedAnswer, cause: errors.New("error answer echoes " + echoed)}
	case message.Code == CodeStaleEpoch && !*message.Ran:
		return &classError{class: driver.ErrStaleEpoch, cause: detail}
	case !*message.Ran:
		return &classError{class: driver.ErrRefused, cause: detail}
	default:
		return &classError{class: driver.ErrFailed, cause: detail}
	}
}
