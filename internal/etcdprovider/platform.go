package etcdprovider

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// RateLimitedError is a call that the platform refused for its rate. It comes
// with ErrUnavailable.
type RateLimitedError struct {
	*StatusError
	RetryAfter time.Duration // 0 when the platform does not say
}

// Unwrap returns the answer's status.
func (e *RateLimitedError) Unwrap() error { return e.StatusError }

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// hostCache is the newest list received. The platform need not send again what
// has not changed: a fleet of 12,000 engines makes a list of some megabytes.
type hostCache struct {
	mu       sync.Mutex
	tag      string
	hosts    []provider.Host
	revision int64
}

func (c *hostCache) state() (tag string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.revision
}

// get returns the list, for the caller to keep.
func (c *hostCache) get() *hostsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &hostsResponse{Hosts: slices.Clone(c.hosts), Revision: c.revision}
}

// put keeps a copy of a list, unless a newer one is there.
func (c *hostCache) put(tag string, response *hostsResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Revision >= c.revision {
		c.tag, c.hosts, c.revision = tag, slices.Clone(response.Hosts), response.Revision
	}
}

type hostsResponse struct {
	Revision int64           `json:"revision"`
	Hosts    []provider.Host `json:"hosts"`
}

type weightsResponse struct {
	Versions []string `json:"versions"`
}

// Hosts returns the platform's list. It fails with ErrUnavailable.
func (p *Provider) Hosts(ctx context.Context) (hosts []provider.Host, revision int64, err error) {
	defer annotate(&err, "list hosts")
	ctx, done, err := p.begin(ctx)
	if err != nil {
		return nil, 0, &CallError{Class: provider.ErrUnavailable, Cause: err}
	}
	defer done()
	var response *hostsResponse
	err = p.read(ctx, p.platform, func(ctx context.Context, endpoint string) (err error) {
		if response, err = p.hostsAt(ctx, endpoint); err != nil {
			return &CallError{Class: provider.ErrUnavailable, Endpoint: endpoint, Cause: err}
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return response.Hosts, response.Revision, nil
}

// hostsAt reads the list from one endpoint, or from the cache when the
// endpoint says that it is still the same.
func (p *Provider) hostsAt(ctx context.Context, endpoint string) (*hostsResponse, error) {
	tag, seen := p.hosts.state()
	response := &hostsResponse{}
	newTag, err := p.get(ctx, endpoint+"/platform/hosts", tag, response)
	switch {
	case err != nil:
		return nil, err
	case tag != "" && newTag == tag:
		return p.hosts.get(), nil
	case response.Revision < seen:
		return nil, errStale
	}
	p.hosts.put(newTag, response)
	return response, nil
}

// Weights returns the versions of a model that the weight store can serve. It
// fails with ErrNotFound, or with ErrUnavailable around a RateLimitedError
// that says when to ask again.
func (p *Provider) Weights(ctx context.Context, model string) (versions []string, err error) {
	defer annotate(&err, "list weights")
	ctx, done, err := p.begin(ctx)
	if err != nil {
		return nil, &CallError{Class: provider.ErrUnavailable, Cause: err}
	}
	defer done()
	err = p.read(ctx, p.platform, func(ctx context.Context, endpoint string) error {
		response := &weightsResponse{}
		_, err := p.get(ctx, endpoint+"/platform/weights/"+url.PathEscape(model), "", response)
		if err != nil {
			return &CallError{Class: weightsClass(err), Endpoint: endpoint, Cause: err}
		}
		versions = response.Versions
		return nil
	})
	return versions, err
}

func weightsClass(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return provider.ErrNotFound
	}
	return provider.ErrUnavailable
}

// get reads a document. It leaves response alone when the document's tag is
// still the one given, and returns the document's tag.
func (p *Provider) get(ctx context.Context, url, tag string, response any) (newTag string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	answer, err := p.do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified {
		return tag, nil
	}
	return answer.Header.Get("ETag"), decodeBody(answer.Body, response)
}
