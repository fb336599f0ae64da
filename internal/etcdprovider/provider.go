// Package etcdprovider implements the interfaces of package provider over etcd's v3 JSON
// gateway for the key-value service, and over plain JSON for the list of hosts and the
// weight store.
//
// # Usage
//
//	platform, err := etcdprovider.New(etcdprovider.Config{
//		Endpoints: []string{"http://10.0.0.1:2379", "http://10.0.0.2:2379"},
//	})
//	defer platform.Close()
//	entry, err := platform.Get(ctx, "endivemast/zones/lyulin/authority")
//
// # Writes
//
// A write is sent once, to one endpoint, and never repeated by this package or its
// transport. ErrUnavailable, ErrConflict and ErrLeaseLost mean that it has not taken
// effect and never will, ErrOutcomeUnknown that it may have taken effect or still may.
// Reads are tried at each endpoint in turn. All calls start at the endpoint that
// answered last.
//
// # Revisions
//
// An answer at a revision older than one that this process had received before the read
// started is not linearizable. It counts as a failure of the endpoint, so that users of
// this package never go back to an older state. The same applies to the list of hosts.
// A service that was restored from an old backup is therefore unavailable to running
// processes until it has passed the revisions they know, or until they are restarted.
package etcdprovider

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Defaults of a Config.
const (
	DefaultCallTimeout      = time.Second
	DefaultWatchIdleTimeout = 20 * time.Second
)

// Config holds the settings of a Provider.
type Config struct {
	// Endpoints are the base URLs of the key-value service. At least one is required.
	Endpoints []string
	// PlatformEndpoints are the base URLs of the list of hosts and the weight store;
	// empty: same as Endpoints.
	PlatformEndpoints []string
	// CallTimeout limits each attempt of a call at one endpoint; 0: DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchIdleTimeout ends a watch that has received nothing for that long, because its
	// connection may have failed without being closed. It has to be longer than the
	// interval of the service's progress notifications (etcd's
	// --watch-progress-notify-interval). 0: DefaultWatchIdleTimeout; negative: no timeout.
	WatchIdleTimeout time.Duration
	// ExceededLimits counts answers that exceed a limit; nil: not counted.
	ExceededLimits *responselimiter.Counter
}

// Provider is a client of the platform. All methods are safe for concurrent use.
type Provider struct {
	cfg            Config
	client         *http.Client
	transport      *responselimiter.Transport // of client
	kv             *endpointSet
	platform       *endpointSet
	newestRevision atomic.Int64 // newest store revision received
	hostCache      hostCache

	baseCtx     context.Context // cancelled by Close
	cancel      context.CancelFunc
	mu          sync.Mutex
	closed      bool
	activeCalls sync.WaitGroup // running calls and watches
}

var (
	_ provider.Store        = (*Provider)(nil)
	_ provider.HostLister   = (*Provider)(nil)
	_ provider.WeightLister = (*Provider)(nil)
)

var (
	errNoEndpoints = errors.New("no endpoints configured")
	errClosed      = errors.New("provider is closed")
)

// New creates a Provider. It does not connect.
func New(cfg Config) (p *Provider, err error) {
	if len(cfg.Endpoints) == 0 {
		return nil, eris.Wrap(errNoEndpoints, "create etcd provider")
	}
	if len(cfg.PlatformEndpoints) == 0 {
		cfg.PlatformEndpoints = cfg.Endpoints
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.WatchIdleTimeout == 0 {
		cfg.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	transport := newTransport(cfg.CallTimeout)
	transport.Counter = cfg.ExceededLimits
	base, cancel := context.WithCancel(context.Background())
	return &Provider{
		cfg:       cfg,
		transport: transport,
		// Following a redirect would send a write a second time.
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		kv:       newEndpointSet(cfg.Endpoints),
		platform: newEndpointSet(cfg.PlatformEndpoints),
		baseCtx:  base,
		cancel:   cancel,
	}, nil
}

func newTransport(dialTimeout time.Duration) *responselimiter.Transport {
	dialer := &net.Dialer{
		// Detects hosts that became unreachable while a connection to them was idle.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // onceBody relies on HTTP/1
	return responselimiter.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := timekeeper.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dialer.DialContext(ctx, network, address)
		},
		Protocols:           protocols,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}, responselimiter.ClientStore)
}

// Close cancels all calls and watches, waits for them and closes the connections.
func (p *Provider) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.activeCalls.Wait()
	p.client.CloseIdleConnections()
	return nil
}

// begin registers a call. Its context ends with ctx, with the provider, or when done is
// called. done must be called exactly once.
func (p *Provider) begin(ctx context.Context) (callCtx context.Context, done func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	p.activeCalls.Add(1)
	callCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.baseCtx, cancel)
	return callCtx, func() {
		stop()
		cancel()
		p.activeCalls.Done()
	}, nil
}

// noteRevision records a store revision that was received, if it is the newest.
func (p *Provider) noteRevision(revision int64) {
	for {
		newest := p.newestRevision.Load()
		if revision <= newest || p.newestRevision.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// endpointSet holds the endpoints of one service and the one that calls start at.
type endpointSet struct {
	urls      []string
	preferred atomic.Int64
}

func newEndpointSet(urls []string) *endpointSet {
	set := &endpointSet{}
	for _, url := range urls {
		set.urls = append(set.urls, strings.TrimRight(url, "/"))
	}
	return set
}

// preferredIndex returns the index of the endpoint to start at.
func (s *endpointSet) preferredIndex() int { return int(s.preferred.Load()) }

// markFailed makes later calls start at the endpoint after one that has failed, unless
// another call has already changed the preferred one.
func (s *endpointSet) markFailed(index int) {
	s.preferred.CompareAndSwap(int64(index), int64((index+1)%len(s.urls)))
}
