package etcdprovider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// maxAnswerBytes bounds a whole answer, and one frame of a watch.
const maxAnswerBytes = 64 << 20

// The texts of etcd's errors that matter.
const (
	textLeaseNotFound = "etcdserver: requested lease not found"
	textNoLeader      = "etcdserver: no leader"
	textNoSpace       = "etcdserver: mvcc: database space exceeded"
)

var (
	errStale     = errors.New("answer is older than one seen before")
	errAbandoned = errors.New("request was given up before its body was sent")
	errTooLong   = errors.New("answer is too long")
)

// CallError is a call that failed. errors.Is finds its Class, which is one of
// the errors of the package provider, and what is behind its Cause.
type CallError struct {
	Class    error
	Endpoint string
	Cause    error
}

// Error describes the failure.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: %s: %v", e.Class, e.Endpoint, e.Cause)
}

// Unwrap returns the class and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Class, e.Cause} }

// StatusError is an answer that the service gave in place of a result.
type StatusError struct {
	Status  int    // of HTTP
	Message string // the service's own
}

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// onceBody is the body of a write. It is what the certainty about a failed
// write rests on, and not the transport's error, which does not tell whether
// the request had left.
//
// The service can only run a request whose body it has whole, and the
// transport can only send what it has read here. So a write whose body was not
// read has not taken effect. Abandon closes the remaining gap: after it a
// writer goroutine of the transport that is still at work reads nothing more.
//
// The request has no GetBody and no Idempotency-Key. With either, net/http
// would send it a second time when a reused connection turns out to be dead,
// although the first one may have been run: the connection can die between the
// service's write and its answer.
type onceBody struct {
	mu        sync.Mutex
	reader    *bytes.Reader
	sent      bool
	abandoned bool
}

// Read hands out the body, unless it was abandoned.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandoned {
		return 0, errAbandoned
	}
	b.sent = true
	return b.reader.Read(p)
}

// Close does nothing: the transport also closes bodies that it did not send.
func (b *onceBody) Close() error { return nil }

// abandon stops the body and says whether any of it was handed out.
func (b *onceBody) abandon() (sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = true
	return b.sent
}

// sendFunc sends one attempt of a call to an endpoint.
type sendFunc func(ctx context.Context, endpoint string) error

// read sends a call that changes nothing, to each endpoint in turn until one
// answers.
func (p *Provider) read(ctx context.Context, set *endpointSet, send sendFunc) (err error) {
	first := set.first()
	for i := range set.urls {
		index := (first + i) % len(set.urls)
		err = p.attempt(ctx, set.urls[index], send)
		if err == nil || isAnswer(err) || ctx.Err() != nil {
			return err
		}
		set.failed(index)
	}
	return err
}

// isAnswer tells whether a failure is the service's own answer, which another
// endpoint would only repeat. A refusal for the rate is one: the rate is the
// service's, and asking once more would add to it.
func isAnswer(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

func (p *Provider) attempt(ctx context.Context, endpoint string, send sendFunc) error {
	ctx, cancel := timekeeper.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	return send(ctx, endpoint)
}

// readRange sends a range call. Each attempt decodes into an answer of its own:
// what a turned down answer had must not show through in the next one.
func (p *Provider) readRange(ctx context.Context, request *rangeRequest) (response *rangeResponse, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	seen := p.seen.Load()
	err = p.read(ctx, p.kv, func(ctx context.Context, endpoint string) error {
		response = &rangeResponse{}
		err := p.post(ctx, endpoint+"/v3/kv/range", bytes.NewReader(body), response)
		if err == nil && response.Header.Revision < seen {
			err = errStale
		}
		if err != nil {
			return &CallError{Class: provider.ErrUnavailable, Endpoint: endpoint, Cause: err}
		}
		p.raise(response.Header.Revision)
		return nil
	})
	return response, err
}

// write sends a call that changes something, once.
func (p *Provider) write(ctx context.Context, path string, request, response any) error {
	content, err := json.Marshal(request)
	if err != nil {
		return err
	}
	index := p.kv.first()
	endpoint := p.kv.urls[index]
	body := &onceBody{reader: bytes.NewReader(content)}
	err = p.attempt(ctx, endpoint, func(ctx context.Context, endpoint string) error {
		return p.post(ctx, endpoint+path, body, response)
	})
	sent := body.abandon()
	if err == nil {
		return nil
	}
	if !isAnswer(err) {
		p.kv.failed(index)
	}
	return &CallError{Class: writeClass(err, sent), Endpoint: endpoint, Cause: err}
}

// writeClass says what the failure of a write means; sent tells whether any of
// its body was handed to the transport.
func writeClass(err error, sent bool) error {
	var status *StatusError
	switch {
	case errors.As(err, &status):
		return statusClass(status)
	case !sent:
		return provider.ErrUnavailable
	default:
		return provider.ErrOutcomeUnknown
	}
}

// statusClass says what an answer means for a write. Only answers that are
// known to be given before a write is proposed count as "not done". Others may
// come behind that point: etcd answers its own timeouts and changes of leader
// with 503 or 504 while the write goes on, and the write that fills its quota
// with 429 although it has applied it.
func statusClass(status *StatusError) error {
	switch status.Message {
	case textLeaseNotFound:
		return provider.ErrLeaseLost
	case textNoLeader:
		return provider.ErrUnavailable
	case textNoSpace:
		return provider.ErrOutcomeUnknown
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return provider.ErrUnavailable
	}
	return provider.ErrOutcomeUnknown
}

// post sends a request and reads its whole answer.
func (p *Provider) post(ctx context.Context, url string, body io.Reader, response any) error {
	answer, err := p.open(ctx, url, body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return decodeBody(answer.Body, response)
}

// open sends a request and returns its answer once the status says that it is
// a good one. The caller closes its body.
func (p *Provider) open(ctx context.Context, url string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	if body, ok := body.(*onceBody); ok {
		// NewRequest does not know the type: without a length the transport
		// would read ahead to look for an empty body.
		request.ContentLength = body.reader.Size()
	}
	request.Header.Set("Content-Type", "application/json")
	return p.do(request)
}

func (p *Provider) do(request *http.Request) (*http.Response, error) {
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode == http.StatusOK || answer.StatusCode == http.StatusNotModified {
		return answer, nil
	}
	defer answer.Body.Close()
	return nil, statusError(answer)
}

func statusError(answer *http.Response) error {
	var body struct {
		Message string `json:"message"` // of etcd
		Error   string `json:"error"`   // of older etcd, and of the platform
	}
	// An answer without such a body is described by its status alone.
	_ = decodeBody(answer.Body, &body)
	failure := &StatusError{Status: answer.StatusCode, Message: body.Message}
	if failure.Message == "" {
		failure.Message = body.Error
	}
	if answer.StatusCode == http.StatusTooManyRequests {
		return &RateLimitedError{StatusError: failure, RetryAfter: retryAfter(answer.Header)}
	}
	return failure
}

func decodeBody(body io.Reader, response any) error {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(content) > maxAnswerBytes {
		return errTooLong
	}
	return json.Unmarshal(content, response)
}
