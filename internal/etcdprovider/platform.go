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

// RateLimitedError is the error of a call that exceeded the platform's rate limit. Its
// CallError has the class ErrUnavailable.
type RateLimitedError struct {
	*StatusError
	RetryAfter time.Duration // 0 if the platform does not send it
}

// Unwrap returns the StatusError.
func (e *RateLimitedError) Unwrap() error { return e.StatusError }

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// hostCache holds the newest list of hosts. With its ETag the platform need not send an
// unchanged list again: the list of 12,000 engines takes some megabytes.
type hostCache struct {
	mu       sync.Mutex
	etag     string
	hosts    []provider.Host
	revision int64
}

func (c *hostCache) tagAndRevision() (etag string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.revision
}

// snapshot returns a copy of the list.
func (c *hostCache) snapshot() *hostsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &hostsResponse{Hosts: slices.Clone(c.hosts), Revision: c.revision}
}

// store keeps a copy of a list unless it is older than the current one.
func (c *hostCache) store(etag string, response *hostsResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Revision >= c.revision {
		c.etag, c.hosts, c.revision = etag, slices.Clone(response.Hosts), response.Revision
	}
}

type hostsResponse struct {
	Revision int64           `json:"revision"`
	Hosts    []provider.Host `json:"hosts"`
}

type weightsResponse struct {
	Versions []string `json:"versions"`
}

// Hosts returns the platform's list of hosts and its revision. It fails with
// ErrUnavailable.
func (p *Provider) Hosts(ctx context.Context) (hosts []provider.Host, revision int64, err error) {
	defer wrapError(&err, "list hosts")
	ctx, done, err := p.begin(ctx)
	if err != nil {
		return nil, 0, &CallError{Class: provider.ErrUnavailable, Cause: err}
	}
	defer done()
	var response *hostsResponse
	err = p.read(ctx, p.platform, func(ctx context.Context, endpoint string) (err error) {
		if response, err = p.fetchHosts(ctx, endpoint); err != nil {
			return &CallError{Class: provider.ErrUnavailable, Endpoint: endpoint, Cause: err}
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return response.Hosts, response.Revision, nil
}

// fetchHosts fetches the list from one endpoint, and returns the cached list if it has not
// changed.
func (p *Provider) fetchHosts(ctx context.Context, endpoint string) (*hostsResponse, error) {
	etag, newestRevision := p.hostCache.tagAndRevision()
	response := &hostsResponse{}
	newETag, err := p.fetchDocument(ctx, endpoint+"/platform/hosts", etag, response)
	switch {
	case err != nil:
		return nil, err
	case etag != "" && newETag == etag:
		return p.hostCache.snapshot(), nil
	case response.Revision < newestRevision:
		return nil, errStaleRevision
	}
	p.hostCache.store(newETag, response)
	return response, nil
}

// Weights returns the versions of a model that the weight store can serve. It fails with
// ErrNotFound or ErrUnavailable. If the cause is a RateLimitedError, it holds the delay
// until the next attempt.
func (p *Provider) Weights(ctx context.Context, model string) (versions []string, err error) {
	defer wrapError(&err, "list weights")
	ctx, done, err := p.begin(ctx)
	if err != nil {
		return nil, &CallError{Class: provider.ErrUnavailable, Cause: err}
	}
	defer done()
	err = p.read(ctx, p.platform, func(ctx context.Context, endpoint string) error {
		response := &weightsResponse{}
		_, err := p.fetchDocument(ctx, endpoint+"/platform/weights/"+url.PathEscape(model), "", response)
		if err != nil {
			return &CallError{Class: classifyWeightsError(err), Endpoint: endpoint, Cause: err}
		}
		versions = response.Versions
		return nil
	})
	return versions, err
}

func classifyWeightsError(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return provider.ErrNotFound
	}
	return provider.ErrUnavailable
}

// fetchDocument fetches a document and returns its ETag. It leaves response unchanged if
// the ETag is still the given one.
func (p *Provider) fetchDocument(ctx context.Context, url, etag string, response any) (newETag string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	answer, err := p.do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified {
		return etag, nil
	}
	return answer.Header.Get("ETag"), p.decodeBody(answer.Body, response)
}
