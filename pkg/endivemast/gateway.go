package endivemast

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/follower"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/lister"
	"github.com/endivemast/endivemast/internal/meter"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/rebalancer"
	"github.com/endivemast/endivemast/internal/registrar"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server"
)

const (
	// hearNotReady is how long callers' balancers take to hear that a host is
	// not ready: two questions a second apart, and a margin.
	hearNotReady = 3 * time.Second
	// stopMargin of the grace is left for closing after the last request.
	stopMargin = 700 * time.Millisecond
	// gatewayTick is how often the systems over the tables run.
	gatewayTick = 100 * time.Millisecond
)

// GatewayConfig is what an entry host for opaque requests is told at start, and
// the adapters to its surroundings.
type GatewayConfig struct {
	HostID           string
	Zone             string
	CallersAddress   string // IP and port
	ReadinessAddress string // IP and port
	PeersAddress     string // IP and port
	MaxConnections   int    // of callers
	// Grace is the time from the planned stop's beginning until the process is killed.
	Grace time.Duration
	// DrainTime is how long an endpoint serves on after it has said that it leaves.
	DrainTime time.Duration
	// RepeatShare of an application's requests, and RepeatReserve more, may be
	// sent to a second endpoint by all hosts together.
	RepeatShare   float64
	RepeatReserve float64

	Store             provider.Store
	Driver            driver.Forwarder
	ConfigurationKey  string // holds the whole configuration
	DecodeSnapshot    func(value []byte) (*classifier.Snapshot, error)
	EndpointPrefix    string // of the keys of registered endpoints
	DecodeEndpoint    func(provider.Entry) (provider.Host, error)
	ReadinessPath     string
	NewCallersHandler func(*Gateway) http.Handler

	LeaseTTL time.Duration // of the authority over the engines' roles

	Routing      string // as in Config
	Admission    string
	Roles        string
	PrefillShare float64 // of the engines, where Roles is fixed
	Version      string
	Logger       hclog.Logger
}

// Gateway is an entry host that passes opaque requests on. Its configuration,
// and the endpoints, come from the platform's store; nothing that has to last
// is kept on the host. All methods are safe for concurrent use.
type Gateway struct {
	cfg         GatewayConfig
	incarnation string

	classifier    *classifier.Classifier
	registrations *lister.Registrations
	follower      *follower.Follower
	scheduler     *scheduler.Scheduler
	forwarder     *dispatcher.Forwarder
	exchanger     *exchanger.Exchanger
	registrar     *registrar.Registrar
	leaser        *leaser.Leaser
	rebalancer    *rebalancer.Rebalancer
	meter         *meter.Meter
	callers       *server.Plain
	readiness     *server.Plain

	peersMu   sync.Mutex
	mostHosts int // most hosts known at a time

	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group
}

// NewGateway prepares an entry host for opaque requests. It fails when the
// peers' address can't be listened on, or a setting is not usable.
func NewGateway(cfg GatewayConfig) (g *Gateway, err error) {
	defer func() { err = eris.Wrap(err, "prepare entry host") }()
	g = &Gateway{cfg: cfg, incarnation: uuid.NewString(), classifier: classifier.New()}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.meter = meter.New(meter.Config{})
	g.scheduler = scheduler.New(scheduler.Config{
		HostID: cfg.HostID, Zone: cfg.Zone, Configuration: g.classifier, Logger: cfg.Logger.Named("scheduler"),
		Policy: cfg.policy(),
	})
	g.registrations = lister.NewRegistrations(lister.RegistrationsConfig{
		Prefix: cfg.EndpointPrefix, Decode: cfg.DecodeEndpoint, DrainTime: cfg.DrainTime,
		Changed: g.scheduler.SetHosts, Logger: cfg.Logger.Named("lister"),
	})
	if err := g.buildPeers(); err != nil {
		return nil, err
	}
	if err := g.buildAuthority(); err != nil {
		return nil, errors.Join(err, g.exchanger.Close())
	}
	g.follower = follower.New(follower.Config{
		Store: cfg.Store, Logger: cfg.Logger.Named("follower"),
		Topics: []follower.Topic{
			{Prefix: cfg.ConfigurationKey, Sink: &snapshotSink{gateway: g}},
			{Prefix: cfg.EndpointPrefix, Sink: g.registrations},
			{Prefix: registrar.Prefix, Sink: g.registrar},
		},
		Regained: func(time.Duration) {
			g.registrations.StoreRegained(time.Now())
			g.registrar.StoreRegained()
		},
	})
	g.forwarder = dispatcher.NewForwarder(dispatcher.ForwarderConfig{
		Scheduler: g.scheduler, Driver: cfg.Driver, Meter: g.meter, Logger: cfg.Logger.Named("dispatcher"),
		RepeatShare: cfg.RepeatShare * repeatSafety, RepeatReserve: cfg.RepeatReserve * repeatSafety / unknownHosts,
	})
	g.callers = server.NewPlain(server.PlainConfig{
		Address: cfg.CallersAddress, Handler: cfg.NewCallersHandler(g), MaxConnections: cfg.MaxConnections,
		IdleTimeout: func() time.Duration { return g.classifier.Limits().IdleTimeout }, Logger: cfg.Logger.Named("server"),
	})
	g.readiness = server.NewPlain(server.PlainConfig{
		Address: cfg.ReadinessAddress, Handler: g.readinessHandler(),
		IdleTimeout: func() time.Duration { return 0 }, Logger: cfg.Logger.Named("server"),
	})
	return g, nil
}

func (cfg *GatewayConfig) policy() scheduler.Policy {
	policy := Config{Routing: cfg.Routing, Admission: cfg.Admission, Roles: cfg.Roles}.policy()
	policy.PrefillShare = cfg.PrefillShare
	return policy
}

// buildPeers makes the own entry in the store and the peer protocol.
func (g *Gateway) buildPeers() (err error) {
	listener, err := net.Listen("tcp", g.cfg.PeersAddress)
	if err != nil {
		return fmt.Errorf("peers' address: %w", err)
	}
	g.exchanger, err = exchanger.New(exchanger.Config{
		HostID: g.cfg.HostID, Incarnation: g.incarnation, Zone: g.cfg.Zone, IsOpen: true,
		Listener: listener, Tick: gatewayTick, TellsPerSecond: tellsPerSecond,
		Logger: g.cfg.Logger.Named("exchanger"),
	}, g)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	g.registrar = registrar.New(registrar.Config{
		Store: g.cfg.Store, Changed: g.setPeers, Logger: g.cfg.Logger.Named("registrar"),
		Own: registrar.Host{HostID: g.cfg.HostID, Incarnation: g.incarnation, Zone: g.cfg.Zone, Address: g.cfg.PeersAddress},
	})
	return nil
}

func (g *Gateway) setPeers(hosts []registrar.Host) {
	peers := make([]exchanger.Peer, 0, len(hosts))
	for _, host := range hosts {
		peers = append(peers, exchanger.Peer{HostID: host.HostID, Zone: host.Zone, Address: host.Address})
	}
	if err := g.exchanger.SetPeers(peers); err != nil {
		g.cfg.Logger.Error("peer not usable", "error", err)
	}
	g.shareRepeats(len(peers) + 1)
}

const (
	// unknownHosts is how many hosts a host counts on that knows no other: its
	// part of what all share is then too small rather than too large.
	unknownHosts = 32
	// repeatSafety is the part of the fleet's repeats that hosts give
	// themselves. Requests are counted by the windows in which they are sent,
	// and repeats by those in which they arrive.
	repeatSafety = 0.85
)

// shareRepeats gives this host its part of the fleet's reserve of repeats. The
// most hosts ever seen count: one that is not listed may still be serving.
func (g *Gateway) shareRepeats(hosts int) {
	g.peersMu.Lock()
	g.mostHosts = max(g.mostHosts, hosts)
	hosts = g.mostHosts
	g.peersMu.Unlock()
	g.forwarder.SetRepeatReserve(g.cfg.RepeatReserve * repeatSafety / float64(hosts))
}

// tellsPerSecond is how many messages a second a host sends to its peers at
// most: about a tenth of a percent of a core each.
const tellsPerSecond = 90

// fleet is the one zone of the authority over all engines' roles: engines of
// any zone serve all.
const fleet = "fleet"

// buildAuthority makes what gives the engines their roles.
func (g *Gateway) buildAuthority() (err error) {
	g.leaser, err = leaser.New(leaser.Config{
		Zone: fleet, HostID: g.cfg.HostID, Incarnation: g.incarnation, Address: g.cfg.PeersAddress,
		Store: g.cfg.Store, TTL: g.cfg.LeaseTTL, Log: g.cfg.Logger.Named("leaser"),
	})
	if err != nil {
		return err
	}
	g.rebalancer = rebalancer.New(rebalancer.Config{
		Leaser: g.leaser, Driver: g.cfg.Driver, HostID: g.cfg.HostID, Guard: g.cfg.LeaseTTL,
		Plan: g.scheduler.PlanSplit, Target: g.engine, SetChanging: g.registrations.SetChanging,
		Ordered: func(string, driver.Role) { g.meter.CountRoleChange(g.cfg.Zone, "") },
		Logger:  g.cfg.Logger.Named("rebalancer"),
	})
	return nil
}

// engine finds an engine's process and its role.
func (g *Gateway) engine(endpointID string) (target driver.Target, role driver.Role, ok bool) {
	host, ok := g.registrations.Find(endpointID)
	return driver.Target{EndpointID: host.ID, Incarnation: host.Incarnation, Address: host.Address}, driver.Role(host.Role), ok
}

// Start serves. It fails when an address can't be listened on.
func (g *Gateway) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start entry host") }()
	if err := errors.Join(g.callers.Start(), g.readiness.Start()); err != nil {
		return err
	}
	g.group.Go(func() error { return g.follower.Run(g.ctx) })
	g.exchanger.Start()
	g.group.Go(func() error { return g.registrar.Run(g.ctx) })
	g.group.Go(func() error { return g.leaser.Run(g.ctx) })
	g.group.Go(func() error { return g.rebalancer.Run(g.ctx) })
	g.group.Go(g.tick)
	g.cfg.Logger.Info("entry host started", "incarnation", g.incarnation, "version", g.cfg.Version,
		"callers_address", g.cfg.CallersAddress, "readiness_address", g.cfg.ReadinessAddress)
	return nil
}

// Addresses are where callers and balancers are served.
func (g *Gateway) Addresses() (callers, readiness string) {
	return g.callers.Address(), g.readiness.Address()
}

// tick runs the systems over the tables.
func (g *Gateway) tick() error {
	ticker := time.NewTicker(gatewayTick)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case now := <-ticker.C:
			g.registrations.Tick(now)
			g.scheduler.Tick(now)
		}
	}
}

// Classify finds the class of a request. The error is a
// *dispatcher.FailureError.
func (g *Gateway) Classify(requestID, host, path string) (class classifier.Class, err error) {
	if !g.classifier.Ready() {
		return class, &dispatcher.FailureError{
			RequestID: requestID, Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonNotReady,
			Detail: "this host has no configuration yet", RetryAfter: retryNotReady,
		}
	}
	class, ok := g.classifier.Find(host, path)
	if !ok {
		return class, &dispatcher.FailureError{
			RequestID: requestID, Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonUnknownClass,
			Detail: "no class for this host and path",
		}
	}
	return class, nil
}

// retryNotReady is when to come back to a host that knows no configuration;
// another host will serve sooner.
const retryNotReady = 100 * time.Millisecond

// Limits bound what callers may send.
func (g *Gateway) Limits() classifier.Limits { return g.classifier.Limits() }

// Forward runs a request to its end. See dispatcher.Forwarder.
func (g *Gateway) Forward(ctx context.Context, request dispatcher.OpaqueRequest, answerer dispatcher.Answerer) error {
	return g.forwarder.Forward(ctx, request, answerer)
}

// Ready says whether the host is to be given new connections.
func (g *Gateway) Ready() (ready bool, reason string) {
	switch {
	case g.draining.Load():
		return false, server.ReasonDraining
	case !g.classifier.Ready():
		return false, server.ReasonNoConfiguration
	case !g.registrations.Known():
		return false, reasonNoHosts
	}
	return true, ""
}

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.cfg.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if ready, reason := g.Ready(); !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.meter.WritePrometheus(w) })
	return mux
}

// Drain is the planned stop. The host first says that it is not ready and goes
// on serving until balancers have heard it; then running requests end, as far
// as the grace allows.
func (g *Gateway) Drain() {
	begun := time.Now()
	g.draining.Store(true)
	g.callers.BeginDrain()
	g.cfg.Logger.Info("drain begun", "running_requests", g.forwarder.Active())
	heard := time.NewTimer(min(hearNotReady, g.cfg.Grace/2))
	defer heard.Stop()
	<-heard.C
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(g.cfg.Grace-stopMargin))
	defer cancel()
	if err := g.callers.Close(ctx); err != nil {
		g.cfg.Logger.Error("requests cut at the end of the drain", "error", err, "running_requests", g.forwarder.Active())
	}
	g.cfg.Logger.Info("entry host stops", "took_ms", time.Since(begun).Milliseconds())
}

// Close ends everything at once and waits.
func (g *Gateway) Close() (err error) {
	defer func() { err = eris.Wrap(err, "close entry host") }()
	now, cancel := context.WithCancel(context.Background())
	cancel()
	g.cancel()
	return errors.Join(ignoreCanceled(g.callers.Close(now)), ignoreCanceled(g.readiness.Close(now)),
		g.scheduler.Close(), g.forwarder.Close(), g.leaser.Close(), g.group.Wait(), g.registrar.Close(),
		g.exchanger.Close(), g.cfg.Driver.Close())
}

// ignoreCanceled drops the error of a stop that was asked to wait for nothing.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// snapshotSink puts each configuration in force that the store tells.
type snapshotSink struct{ gateway *Gateway }

// Replace implements follower.Sink.
func (s *snapshotSink) Replace(entries []provider.Entry, _ time.Time) {
	for _, entry := range entries {
		s.install(entry)
	}
}

// Apply implements follower.Sink. A configuration that is removed stays in force.
func (s *snapshotSink) Apply(change provider.Change, _ time.Time) {
	if !change.Deleted {
		s.install(change.Entry)
	}
}

func (s *snapshotSink) install(entry provider.Entry) {
	g := s.gateway
	if entry.Key != g.cfg.ConfigurationKey {
		return
	}
	snapshot, err := g.cfg.DecodeSnapshot(entry.Value)
	if err != nil {
		g.cfg.Logger.Error("configuration not understood; the one before stays in force", "error", err,
			"revision", entry.Revision, "version", g.classifier.Revision())
		return
	}
	if g.classifier.Install(snapshot) {
		g.cfg.Logger.Info("configuration in force", "version", snapshot.Version, "revision", entry.Revision,
			"rules", len(snapshot.Rules), "applications", len(snapshot.Applications))
	}
}

// OwnLoad implements exchanger.Local.
func (g *Gateway) OwnLoad() map[string]exchanger.Load { return ownLoad(g.scheduler) }

// Leaving implements exchanger.Local.
func (g *Gateway) Leaving() []exchanger.LeavingEndpoint { return g.registrations.Leaving() }

// Draining implements exchanger.Local.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// ConfigurationRevision implements exchanger.Local.
func (g *Gateway) ConfigurationRevision() int64 { return g.classifier.Revision() }

// Hosts implements exchanger.Local.
func (g *Gateway) Hosts() (hosts []provider.Host, revision int64) { return nil, 0 }

// HearLoad implements exchanger.Local.
func (g *Gateway) HearLoad(hostID string, loads map[string]exchanger.Load, now time.Time) {
	hearLoad(g.scheduler, hostID, loads, now)
}

// HearLeaving implements exchanger.Local.
func (g *Gateway) HearLeaving(leaving []exchanger.LeavingEndpoint, now time.Time) {
	g.registrations.HearLeaving(leaving, now)
}
