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

// maxResponseBytes limits a whole answer, and one frame of a watch.
const maxResponseBytes = 64 << 20

// Error messages of etcd that determine the class of an error.
const (
	messageLeaseNotFound = "etcdserver: requested lease not found"
	messageNoLeader      = "etcdserver: no leader"
	messageNoSpace       = "etcdserver: mvcc: database space exceeded"
)

var (
	errStaleRevision   = errors.New("response revision is older than one received before")
	errInvalidRevision = errors.New("revision out of range")
	errUnexpectedKey   = errors.New("unexpected key")
	errAbandoned       = errors.New("request was abandoned before its body was sent")
)

// CallError is the error of a failed call. errors.Is finds its Class, which is one of the
// errors of package provider, and the chain of its Cause.
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

// StatusError is an error answer of the service.
type StatusError struct {
	Status  int    // HTTP status code
	Message string // sent by the service
}

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// onceBody is the body of a write, which is sent at most once. It determines whether a
// failed write may have taken effect, because the transport's error does not show whether
// the request was sent.
//
// The service can only run a request whose whole body it has received, and the transport
// can only send what it has read here. So a write whose body was not read has not taken
// effect. After abandon, a goroutine of the transport that is still writing can't read any
// more.
//
// The request has no GetBody and no Idempotency-Key. With either, net/http would repeat it
// after a reused connection has failed, although the service may have run the first one:
// the connection can fail between the service's write and its answer.
type onceBody struct {
	mu        sync.Mutex
	reader    *bytes.Reader
	sent      bool
	abandoned bool
}

// Read reads the body. It fails once the body is abandoned.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandoned {
		return 0, errAbandoned
	}
	b.sent = true
	return b.reader.Read(p)
}

// Close does nothing, because the transport also closes bodies that it has not sent.
func (b *onceBody) Close() error { return nil }

// abandon makes further reads fail, and reports whether any of the body has been read.
func (b *onceBody) abandon() (sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = true
	return b.sent
}

// sendFunc makes one attempt of a call at an endpoint.
type sendFunc func(ctx context.Context, endpoint string) error

// read makes a call that changes nothing. It tries each endpoint in turn until one
// answers.
func (p *Provider) read(ctx context.Context, set *endpointSet, send sendFunc) (err error) {
	first := set.preferredIndex()
	for i := range set.urls {
		index := (first + i) % len(set.urls)
		err = p.callEndpoint(ctx, set.urls[index], send)
		if err == nil || isServiceError(err) || ctx.Err() != nil {
			return err
		}
		set.markFailed(index)
	}
	return err
}

// isServiceError reports whether an error is an answer of the service, which another
// endpoint would repeat. This includes rate limiting: the limit applies to the whole
// service, and another attempt would count against it.
func isServiceError(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

func (p *Provider) callEndpoint(ctx context.Context, endpoint string, send sendFunc) error {
	ctx, cancel := timekeeper.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	return send(ctx, endpoint)
}

// readRange makes a range call. Each attempt decodes into a new response, so that no data
// of a rejected one is left in the next.
func (p *Provider) readRange(ctx context.Context, request *rangeRequest) (response *rangeResponse, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	newestRevision := p.newestRevision.Load()
	err = p.read(ctx, p.kv, func(ctx context.Context, endpoint string) error {
		response = &rangeResponse{}
		err := p.post(ctx, endpoint+"/v3/kv/range", bytes.NewReader(body), response)
		if err == nil && response.Header.Revision < newestRevision {
			err = errStaleRevision
		}
		if err == nil {
			err = response.check(request)
		}
		if err != nil {
			return &CallError{Class: provider.ErrUnavailable, Endpoint: endpoint, Cause: err}
		}
		p.noteRevision(response.Header.Revision)
		return nil
	})
	return response, err
}

// write makes a call that changes something, once.
func (p *Provider) write(ctx context.Context, path string, request, response any) error {
	content, err := json.Marshal(request)
	if err != nil {
		return err
	}
	index := p.kv.preferredIndex()
	endpoint := p.kv.urls[index]
	body := &onceBody{reader: bytes.NewReader(content)}
	err = p.callEndpoint(ctx, endpoint, func(ctx context.Context, endpoint string) error {
		return p.post(ctx, endpoint+path, body, response)
	})
	sent := body.abandon()
	if err == nil {
		return nil
	}
	if !isServiceError(err) {
		p.kv.markFailed(index)
	}
	return &CallError{Class: classifyWriteError(err, sent), Endpoint: endpoint, Cause: err}
}

// classifyWriteError returns the class of a failed write. sent reports whether the
// transport has read any of its body.
func classifyWriteError(err error, sent bool) error {
	var status *StatusError
	switch {
	case errors.As(err, &status):
		return classifyStatus(status)
	case !sent:
		return provider.ErrUnavailable
	default:
		return provider.ErrOutcomeUnknown
	}
}

// classifyStatus returns the class of an error answer to a write. Only answers that are
// given before a write is proposed mean that it was not performed. Others may be sent
// after that: etcd answers its own timeouts and leader changes with 503 or 504 while the
// write goes on, and answers the write that reaches its quota with 429 although it has
// applied it.
func classifyStatus(status *StatusError) error {
	switch status.Message {
	case messageLeaseNotFound:
		return provider.ErrLeaseLost
	case messageNoLeader:
		return provider.ErrUnavailable
	case messageNoSpace:
		return provider.ErrOutcomeUnknown
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return provider.ErrUnavailable
	}
	return provider.ErrOutcomeUnknown
}

// post sends a POST request and decodes its answer.
func (p *Provider) post(ctx context.Context, url string, body io.Reader, response any) error {
	answer, err := p.open(ctx, url, body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return p.decodeBody(answer.Body, response)
}

// open sends a request and returns its answer if the status is a success. The caller
// closes the body.
func (p *Provider) open(ctx context.Context, url string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	if body, ok := body.(*onceBody); ok {
		// NewRequest does not know this type. Without a length the transport would read
		// from the body to find out whether it is empty.
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
	return nil, p.statusError(answer)
}

func (p *Provider) statusError(answer *http.Response) error {
	var body struct {
		Message string `json:"message"` // field of etcd
		Error   string `json:"error"`   // field of older etcd versions and of the platform
	}
	// Without a valid body the error consists of the status alone.
	_ = p.decodeBody(answer.Body, &body)
	failure := &StatusError{Status: answer.StatusCode, Message: body.Message}
	if failure.Message == "" {
		failure.Message = body.Error
	}
	if answer.StatusCode == http.StatusTooManyRequests {
		return &RateLimitedError{StatusError: failure, RetryAfter: retryAfter(answer.Header)}
	}
	return failure
}

func (p *Provider) decodeBody(body io.Reader, response any) error {
	content, err := p.transport.ReadAll(body, maxResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, response)
}
