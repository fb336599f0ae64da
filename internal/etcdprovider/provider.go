// Package etcdprovider is the adapter between the interfaces of the package
// provider and the platform: etcd's v3 JSON gateway for the key-value service,
// and plain JSON for the list of hosts and the weight store.
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
// A write is sent once, to one endpoint, and never again by this package or
// its transport. Its error says what is known: ErrUnavailable, ErrConflict and
// ErrLeaseLost mean that it has certainly not taken effect,
// ErrOutcomeUnknown that it may have, or may still. Reads are tried at each
// endpoint in turn; calls of either kind begin at the endpoint that answered
// last.
//
// # Revisions
//
// A read that is answered from a revision older than one that this process had
// seen before the read began is not a linearizable answer. It is taken for a
// failure of its endpoint, so that nothing built on this package goes back in
// time. The same holds for the list of hosts. A service that was restored from
// an old backup is therefore unavailable to running processes until it has
// passed the revisions they know, or they are restarted.
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
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Defaults of a Config.
const (
	DefaultCallTimeout      = time.Second
	DefaultWatchIdleTimeout = 20 * time.Second
)

// Config sets a Provider up.
type Config struct {
	// Endpoints are the base URLs of the key-value service, one at least.
	Endpoints []string
	// PlatformEndpoints are the base URLs of the list of hosts and the weight
	// store; empty: those of Endpoints.
	PlatformEndpoints []string
	// CallTimeout bounds each attempt of a call at one endpoint; 0:
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchIdleTimeout ends a watch that has received nothing for so long, as
	// its connection may be dead without a sign. It has to be longer than the
	// interval of the service's progress notices (etcd's
	// --watch-progress-notify-interval). 0: DefaultWatchIdleTimeout;
	// negative: watches never end for this reason.
	WatchIdleTimeout time.Duration
}

// Provider speaks to the platform. All methods are safe for concurrent use.
type Provider struct {
	cfg      Config
	client   *http.Client
	kv       *endpointSet
	platform *endpointSet
	seen     atomic.Int64 // newest store revision that an answer carried
	hosts    hostCache

	base   context.Context // ends with Close
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup // running calls and watches
}

var (
	_ provider.Store        = (*Provider)(nil)
	_ provider.HostLister   = (*Provider)(nil)
	_ provider.WeightLister = (*Provider)(nil)
)

var (
	errNoEndpoints = errors.New("no endpoints configured")
	errClosed      = errors.New("provider closed")
)

// New makes a provider. It does not connect.
func New(cfg Config) (p *Provider, err error) {
	if len(cfg.Endpoints) == 0 {
		return nil, eris.Wrap(errNoEndpoints, "make etcdprovider")
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
	base, cancel := context.WithCancel(context.Background())
	return &Provider{
		cfg:      cfg,
		client:   newClient(cfg.CallTimeout),
		kv:       newEndpointSet(cfg.Endpoints),
		platform: newEndpointSet(cfg.PlatformEndpoints),
		base:     base,
		cancel:   cancel,
	}, nil
}

func newClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{
		// Finds hosts that were cut off while a connection to them was idle.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // the reasoning at onceBody is about HTTP/1
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := timekeeper.WithTimeout(ctx, dialTimeout)
				defer cancel()
				return dialer.DialContext(ctx, network, address)
			},
			Protocols:           protocols,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     30 * time.Second,
		},
		// A redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close ends all calls and watches, waits for them, and closes the connections.
func (p *Provider) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.calls.Wait()
	p.client.CloseIdleConnections()
	return nil
}

// begin enters a call. Its context ends with ctx, with the provider, or when
// done is called, which has to happen once.
func (p *Provider) begin(ctx context.Context) (callCtx context.Context, done func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	p.calls.Add(1)
	callCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.base, cancel)
	return callCtx, func() {
		stop()
		cancel()
		p.calls.Done()
	}, nil
}

// raise notes a store revision that an answer carried.
func (p *Provider) raise(revision int64) {
	for {
		seen := p.seen.Load()
		if revision <= seen || p.seen.CompareAndSwap(seen, revision) {
			return
		}
	}
}

// endpointSet is the endpoints of one service, and the one that answered last.
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

// first returns the endpoint to begin at.
func (s *endpointSet) first() int { return int(s.preferred.Load()) }

// failed makes later calls begin behind an endpoint that has failed. It leaves
// alone what another call has moved already.
func (s *endpointSet) failed(index int) {
	s.preferred.CompareAndSwap(int64(index), int64((index+1)%len(s.urls)))
}
