// Package exchanger implements the peer protocol between entry hosts: one gRPC
// server, connections to the peers, and the updates sent on every tick.
//
// Each host counts its own work exactly. On every tick it sends each peer the
// changes of its load at each endpoint, the endpoints that have announced that
// they leave, and whether the host itself is draining. A receiver that missed a
// message requests the full state. A peer that sends nothing for PeerTimeout
// counts as unreachable and its load is dropped, so that the load of a failed host
// does not count against its endpoints forever.
//
// # Usage
//
//	ex, err := exchanger.New(cfg, local)
//	configurer.Register(ex.Registrar()) // packages add their own services
//	ex.Start()
//	defer ex.Close()
package exchanger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/connector"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/responselimiter"
)

// Limits and defaults of the peer protocol.
const (
	DefaultTick        = 200 * time.Millisecond
	DefaultPeerTimeout = 3 * time.Second
	heartbeatTicks     = 5 // an idle host still sends a message every fifth tick
	// heartbeatsPerPeerTimeout is how many heartbeats a host sends within PeerTimeout to a
	// peer that it sends no load. In a large zone most peers are of this kind.
	heartbeatsPerPeerTimeout = 3
	maxMessageBytes          = 4 << 20
	// windowBytes is the fixed flow-control window. It disables the transport's bandwidth
	// estimation, which sends a ping for each message.
	windowBytes   = 1 << 20
	updateTimeout = time.Second
	// connectTimeout bounds the time to open a TCP connection, which does not depend on how
	// busy the peer is. handshakeTimeout also covers the peer's first message.
	connectTimeout   = 500 * time.Millisecond
	handshakeTimeout = time.Second
	// callerHandshakeTimeout bounds the time from accepting a connection to the end of its
	// handshake. A peer gives up after handshakeTimeout; the default is 120 s.
	callerHandshakeTimeout = 2 * time.Second
	// maxHeaderBytes limits the headers of a call or of its answer, which have some hundred bytes.
	// The default is 16 MB, and a host has down to 144 MB.
	maxHeaderBytes = responselimiter.MaxHeadBytes
	// maxReconnectDelay bounds the delay between two attempts, before jitter of a fifth.
	maxReconnectDelay = 300 * time.Millisecond
	// userTimeout is how long data to a peer may stay unacknowledged before the connection is
	// closed and opened again. A connection can stop transferring data permanently while new
	// ones work; two retransmissions fit in this time.
	userTimeout = 1200 * time.Millisecond
	// pingInterval is the time without an update after which a server pings its peer, so that
	// calls of an unreachable peer end.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	maxCount     = 1 << 31 // requests or tokens of one host at an endpoint
	maxHosts     = 1 << 16 // hosts whose load one message sums up
	// secretHeader ends in -bin, so that gRPC accepts any bytes. Otherwise a binary secret,
	// for example from /dev/urandom, would fail each call.
	secretHeader = "endivemast-peer-secret-bin"
)

// Config configures an Exchanger.
type Config struct {
	HostID      string
	Incarnation string
	Zone        string
	// ProcessorShare is how many cores this host has; see Peer.
	ProcessorShare float64
	Listener       net.Listener      // of the peer protocol; the Exchanger closes it
	Network        connector.Network // for connections to peers; nil: TCP
	Peers          []Peer            // the other entry hosts that the settings name
	// AcceptsUnknownPeers accepts messages of hosts that are not among the peers yet. Where
	// hosts discover one another through the store, a new one may send first.
	AcceptsUnknownPeers bool
	Secret              string      // shared by all entry hosts; empty only if the settings allow it explicitly
	ServerTLS           *tls.Config // nil: plain text
	ClientTLS           *tls.Config // nil: plain text
	Tick                time.Duration
	// HasHubs makes large zones use hubs. Leave it unset if other packages need to receive
	// from every peer directly.
	HasHubs bool
	// Caches is exchanged along with the loads; nil: no cache updates.
	Caches Caches
	// Crashes is exchanged along with the loads; nil: no crash updates. Clock is the clock of
	// the times in crash and signal updates; nil: time.Now.
	Crashes Crashes
	Clock   func() time.Time
	// Attestations are sent with each reply to a peer's message; nil: none.
	Attestations Attestations
	// Signals is exchanged along with the loads; nil: no signal updates.
	Signals Signals
	// Usage is sent to hubs and between hubs; nil: no usage updates.
	Usage Usage
	// Reach is sent with each message; nil: this host reaches all endpoints.
	Reach Reach
	// Demand is sent to peers; nil: no demand is sent, as by older builds.
	Demand Demand
	// Refusals is exchanged along with the loads; nil: no refusals.
	Refusals Refusals
	// UpdatesPerSecond bounds the rate of messages with load to all peers together, by making
	// the tick longer where there are many peers; 0: no limit.
	UpdatesPerSecond int
	PeerTimeout      time.Duration // without a message, after which a peer counts as unreachable; 0: DefaultPeerTimeout
	Logger           hclog.Logger
}

// LeavingEndpoint identifies a process of an endpoint that takes no new work.
type LeavingEndpoint struct {
	EndpointID  string
	Incarnation string
	Reason      Reason
	Age         time.Duration // since the sender last detected it; 0 for ReasonLeaving
}

// Reason is why an endpoint process takes no new work.
type Reason int

// Values of Reason.
const (
	ReasonLeaving     Reason = iota // it shuts down or changes its role
	ReasonReplaced                  // another process has taken over its address
	ReasonUnreachable               // no process listens at its address
)

// Local gives the Exchanger access to this host's state.
type Local interface {
	// OwnLoad returns the load of this host by endpoint id. The map must not be modified
	// afterwards.
	OwnLoad() map[string]Load
	Leaving() []LeavingEndpoint
	Draining() bool
	ConfigurationRevision() int64
	// StoreRevision returns the store revision up to which this host knows the changes.
	StoreRevision() int64
	// Hosts returns the platform's host list as last read, and its revision.
	Hosts() (hosts []provider.Host, revision int64)
	// ApplyLoad replaces the load of a source, which is a peer or a sum over several hosts.
	// Empty loads remove the source.
	ApplyLoad(source string, hosts int, loads map[string]Load, now time.Time)
	ApplyLeaving(leaving []LeavingEndpoint, now time.Time)
}

// Exchanger runs the peer protocol. It implements Pool.
type Exchanger struct {
	exchangerpb.UnimplementedExchangeServer

	cfg    Config
	local  Local
	server *grpc.Server

	mu     sync.Mutex
	links  map[string]*link // by host id
	states map[string]*peerState
	// topology is replaced at each change of the peers. loadPeers is the number of peers to
	// which this host sends load.
	topology  *topology
	loadPeers int

	own  ownLoad
	sums map[exchangerpb.Part]*sum // by part; guarded by mu

	demand demandState

	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	group  *errgroup.Group // nil before Start
}

// New creates an Exchanger without starting it.
func New(cfg Config, local Local) (ex *Exchanger, err error) {
	defer func() { err = eris.Wrap(err, "set up peer protocol") }()
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.PeerTimeout == 0 {
		cfg.PeerTimeout = DefaultPeerTimeout
	}
	ex = &Exchanger{cfg: cfg, local: local, links: map[string]*link{}, states: map[string]*peerState{}, sums: map[exchangerpb.Part]*sum{}}
	ex.demand.registry = aggregator.NewRegistry(cfg.Zone)
	ex.ctx, ex.cancel = context.WithCancel(context.Background())
	ex.server = grpc.NewServer(ex.serverOptions()...)
	exchangerpb.RegisterExchangeServer(ex.server, ex)
	for _, peer := range cfg.Peers {
		ex.addLocked(peer)
	}
	ex.updateTopologyLocked()
	return ex, nil
}

// stateLocked returns the receiving side's state of a peer, and creates it on first use.
func (ex *Exchanger) stateLocked(peer Peer) *peerState {
	state := ex.states[peer.HostID]
	if state == nil {
		state = &peerState{loads: map[string]Load{}}
		ex.states[peer.HostID] = state
	}
	state.status.Peer = peer
	return state
}

// Registrar returns where other packages register their gRPC services before Start.
func (ex *Exchanger) Registrar() grpc.ServiceRegistrar { return ex.server }

// Start starts the server and the publishers.
func (ex *Exchanger) Start() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.group = &errgroup.Group{}
	ex.group.Go(ex.serve)
	ex.runPublishersLocked()
	ex.group.Go(func() error { return ex.expirePeers(ex.ctx) })
}

// serve serves peers until Close.
func (ex *Exchanger) serve() error {
	err := ex.server.Serve(ex.cfg.Listener)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil // Close was called before Serve
	}
	return err
}

// Close stops the server, closes the connections and waits for all goroutines.
func (ex *Exchanger) Close() (err error) {
	defer func() { err = eris.Wrap(err, "close peer protocol") }()
	ex.cancel()
	ex.server.Stop()
	_ = ex.cfg.Listener.Close() // Stop has closed it, unless Start was never called
	ex.mu.Lock()
	for _, l := range ex.links {
		l.close()
	}
	group := ex.group
	ex.mu.Unlock()
	if group == nil {
		return nil
	}
	return group.Wait()
}

// Hosts implements exchangerpb.ExchangeServer: it returns the platform's host list as
// this host last read it.
func (ex *Exchanger) Hosts(_ context.Context, request *exchangerpb.HostsRequest) (*exchangerpb.HostsReply, error) {
	hosts, revision := ex.local.Hosts()
	if revision <= request.GetNewerThan() {
		return &exchangerpb.HostsReply{Revision: revision}, nil
	}
	return &exchangerpb.HostsReply{Revision: revision, Hosts: hostsToMessage(hosts)}, nil
}
