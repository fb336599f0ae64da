package peerforwarder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/peerforwarder/peerforwarderpb"
)

const (
	// maxActive bounds the requests of peers that run at this host.
	maxActive = 512
	// pieceBytes is the largest piece of a body in one message.
	pieceBytes = 128 << 10
	// windowBytes is the flow-control window of one request: what is buffered for a caller that
	// reads slowly.
	windowBytes = 64 << 10
	// idleConnTimeout is how long a connection without requests is kept.
	idleConnTimeout = 30 * time.Second
	// avoidTime is for how long a peer that does not reach an application, or was not reached
	// itself, is not chosen again.
	avoidTime = 500 * time.Millisecond
	// senderTimeout is how long a host counts as one that passes its requests on.
	senderTimeout     = 1500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	HostID string
	Zone   string
	// Run runs a request of a peer at this host.
	Run func(ctx context.Context, request dispatcher.OpaqueRequest, writer dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error)
	// Classify returns the class of a request. Its error is a *dispatcher.FailureError.
	Classify func(requestID, host, path string) (classifier.Class, error)
	// ConfigurationVersion is that of the configuration in force.
	ConfigurationVersion func() int64
	// Share returns the part of an application's endpoints that this host reaches.
	Share      func(application string) float64
	IsDraining func() bool
	// Reserve reserves memory for the body of a request until release is called; nil: there is
	// no limit.
	Reserve func(ctx context.Context, n int64) (release func(), err error)
	// NewConn returns a connection to a peer, which the Forwarder closes.
	NewConn func(hostID string, options ...grpc.DialOption) (*grpc.ClientConn, error)
	Meter   Meter
	Logger  hclog.Logger
}

// Meter counts forwarded requests.
type Meter interface {
	// CountPeerForward counts a request that this host has passed to a peer, or has received
	// from one.
	CountPeerForward(isReceived bool, outcome string)
	// CountExceededLimit counts an answer of a peer that exceeds a limit.
	CountExceededLimit(client, limit string)
}

// Outcomes for a Meter.
const (
	outcomeComplete = "whole"
	outcomeFailed   = "failed"
	outcomeNotSent  = "not_sent"
	outcomeUnknown  = "unknown"
	// Requests refused for lack of capacity that were not passed on: no peer is known to reach
	// clearly more endpoints, or those that do are short of capacity.
	outcomeNoneBetter = "none_better"
	outcomePeersShort = "peers_short"
)

// Forwarder passes requests to peers and runs those of peers. It is safe for concurrent use.
type Forwarder struct {
	cfg Config

	mu       sync.Mutex
	peers    []Peer
	conns    map[string]*conn // by host id
	avoided  map[avoidedPeer]time.Time
	senders  map[string]map[string]time.Time // by application and host id, with the time of the latest request
	passes   map[string]func() bool          // AllowRun of the requests that peers run, by pass id
	isClosed bool

	active atomic.Int64 // requests of peers that run here
}

var _ dispatcher.PeerForwarder = (*Forwarder)(nil)

// avoidedPeer is a peer that is not chosen for an application at present.
type avoidedPeer struct{ hostID, application string }

// conn is the connection to one peer.
type conn struct {
	*grpc.ClientConn
	inFlight  int
	usedAt    time.Time
	isUnheard bool // the peer sends this host no updates
}

// New returns a Forwarder without peers.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		cfg: cfg, conns: map[string]*conn{}, avoided: map[avoidedPeer]time.Time{}, senders: map[string]map[string]time.Time{},
		passes: map[string]func() bool{},
	}
}

// Register registers the service that peers pass requests to.
func (f *Forwarder) Register(registrar grpc.ServiceRegistrar) {
	peerforwarderpb.RegisterPeerForwardServer(registrar, &service{forwarder: f})
}

// Close closes the connections, which ends the requests at peers.
func (f *Forwarder) Close() (err error) {
	defer func() { err = eris.Wrap(err, "close connections for forwarded requests") }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isClosed = true
	var errs []error
	for hostID, c := range f.conns {
		errs = append(errs, c.Close())
		delete(f.conns, hostID)
	}
	return errors.Join(errs...)
}

// Drain waits until the requests of peers have ended.
func (f *Forwarder) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for f.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests of peers are running: %w", f.active.Load(), ctx.Err())
		}
	}
	return nil
}

// SetPeers sets the peers that this host has recently received updates from, and closes the
// connections that are not used any more.
func (f *Forwarder) SetPeers(peers []Peer, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
	maps.DeleteFunc(f.avoided, func(_ avoidedPeer, until time.Time) bool { return !now.Before(until) })
	for hostID, c := range f.conns {
		isKnown := slices.ContainsFunc(peers, func(p Peer) bool { return p.HostID == hostID })
		if c.inFlight == 0 && (!isKnown && !c.isUnheard || now.Sub(c.usedAt) >= idleConnTimeout) {
			_ = c.Close() // no request is in flight
			delete(f.conns, hostID)
		}
	}
}

// Silent returns the peers with requests in flight that are not among those that this host has
// recently received updates from.
func (f *Forwarder) Silent() (hostIDs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for hostID, c := range f.conns {
		if c.inFlight > 0 && !c.isUnheard && !slices.ContainsFunc(f.peers, func(p Peer) bool { return p.HostID == hostID }) {
			hostIDs = append(hostIDs, hostID)
		}
	}
	return hostIDs
}

// IsPreferred implements dispatcher.PeerForwarder.
func (f *Forwarder) IsPreferred(application string) bool {
	return f.cfg.Share(application) == 0 && f.HasBetterPeer(application, 0)
}

// HasBetterPeer reports whether a peer reaches clearly more of an application's endpoints.
func (f *Forwarder) HasBetterPeer(application string, share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.peers, func(p Peer) bool {
		return !p.IsDraining && isBetter(p.Share(application), share) && !f.isAvoidedLocked(p.HostID, application)
	})
}

// IsOutlier reports whether a peer reaches clearly more of an application's endpoints than this host, or
// most peers reach more, which shows a broken path to a few endpoints.
func (f *Forwarder) IsOutlier(application string, share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return isOutlier(f.peers, application, share)
}

func (f *Forwarder) isAvoidedLocked(hostID, application string) bool {
	return time.Now().Before(f.avoided[avoidedPeer{hostID, application}])
}

// avoid has a peer not chosen for an application for some time.
func (f *Forwarder) avoid(hostID, application string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[avoidedPeer{hostID, application}] = time.Now().Add(avoidTime)
}

// Senders returns, by application, how many hosts have recently passed requests to this one.
func (f *Forwarder) Senders(now time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for application, senders := range f.senders {
		maps.DeleteFunc(senders, func(_ string, at time.Time) bool { return now.Sub(at) >= senderTimeout })
		counts[application] = len(senders)
		if len(senders) == 0 {
			delete(f.senders, application)
		}
	}
	return counts
}

func (f *Forwarder) recordSender(hostID, application string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.senders[application] == nil {
		f.senders[application] = map[string]time.Time{}
	}
	f.senders[application][hostID] = now
}

// Choose implements dispatcher.PeerForwarder.
func (f *Forwarder) Choose(request *dispatcher.PeerRequest) (hostID string, ok bool) {
	q := query{
		zone: f.cfg.Zone, application: request.Origin.Application, configurationVersion: f.cfg.ConfigurationVersion(),
		ownShare: f.cfg.Share(request.Origin.Application), acceptsEqual: request.AcceptsEqual, isRefused: request.IsRefused, excluded: request.Excluded,
		inFlight: map[string]int{}, random: rand.Float64(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.conns {
		q.inFlight[id] = c.inFlight
	}
	for i := range f.peers {
		if hostID := f.peers[i].HostID; f.isAvoidedLocked(hostID, q.application) {
			q.excluded = append(slices.Clone(q.excluded), hostID)
		}
	}
	hostID, ok = choose(f.peers, &q)
	if !ok && request.IsRefused && len(request.Excluded) == 0 {
		f.countKept(&q)
	}
	return hostID, ok
}

// countKept counts a refused request for which no peer is suitable.
func (f *Forwarder) countKept(q *query) {
	outcome := outcomeNoneBetter
	q.ignoresShortage = true
	if _, ok := choose(f.peers, q); ok {
		outcome = outcomePeersShort
	}
	f.cfg.Meter.CountPeerForward(false, outcome)
}

var errClosed = errors.New("connections to peers are closed")

// acquire returns a connection to a peer, and opens one on first use.
func (f *Forwarder) acquire(hostID string) (c *conn, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed {
		return nil, errClosed
	}
	c = f.conns[hostID]
	if c == nil {
		client, err := f.cfg.NewConn(hostID, grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes))
		if err != nil {
			return nil, err
		}
		isUnheard := slices.ContainsFunc(f.peers, func(p Peer) bool { return p.HostID == hostID && p.IsUnheard })
		c = &conn{ClientConn: client, isUnheard: isUnheard}
		f.conns[hostID] = c
	}
	c.inFlight++
	return c, nil
}

func (f *Forwarder) release(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.inFlight--
	c.usedAt = time.Now()
}
