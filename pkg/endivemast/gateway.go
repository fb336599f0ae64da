package endivemast

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/accountant"
	"github.com/endivemast/endivemast/internal/attester"
	"github.com/endivemast/endivemast/internal/budgeter"
	"github.com/endivemast/endivemast/internal/cachesharer"
	"github.com/endivemast/endivemast/internal/cachewatcher"
	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/connector"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/exitverifier"
	"github.com/endivemast/endivemast/internal/follower"
	"github.com/endivemast/endivemast/internal/historian"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/lister"
	"github.com/endivemast/endivemast/internal/meter"
	"github.com/endivemast/endivemast/internal/observer"
	"github.com/endivemast/endivemast/internal/pathwatcher"
	"github.com/endivemast/endivemast/internal/peerforwarder"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/provisioner"
	"github.com/endivemast/endivemast/internal/quarantiner"
	"github.com/endivemast/endivemast/internal/ratelimiter"
	"github.com/endivemast/endivemast/internal/rebalancer"
	"github.com/endivemast/endivemast/internal/recorder"
	"github.com/endivemast/endivemast/internal/registrar"
	"github.com/endivemast/endivemast/internal/relayer"
	"github.com/endivemast/endivemast/internal/reporter"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/scaler"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server"
	"github.com/endivemast/endivemast/internal/shedder"
	"github.com/endivemast/endivemast/internal/streamkeeper"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// notReadyDelay is how long callers' load balancers take to notice that a host is not
	// ready: two checks a second apart, and a margin.
	notReadyDelay = 3 * time.Second
	// stopMargin is the part of the grace time that is left for closing after the last
	// request.
	stopMargin = 700 * time.Millisecond
	// lastAnswerTime is left, before that, for the answers of requests that are cancelled.
	lastAnswerTime = 200 * time.Millisecond
	// tickInterval is the interval of the periodic work of the components.
	tickInterval = 100 * time.Millisecond
	// stateLogInterval is how often the recorded state changes are logged again.
	stateLogInterval = 10 * time.Second
	// peerUpdateInterval is how often hosts send each other load changes in a small fleet.
	// It is short compared to a prefill, so that no host selects an engine that has just
	// started a long prompt.
	peerUpdateInterval = 20 * time.Millisecond
)

// GatewayConfig holds the settings of an entry host for opaque requests, and the adapters
// to its environment.
type GatewayConfig struct {
	HostID           string
	Zone             string
	CallersAddress   string // IP and port
	ReadinessAddress string // IP and port
	PeersAddress     string // IP and port
	MaxConnections   int    // of callers
	// ProcessorShare is the number of cores of the host; hosts with more cores take over
	// more of the work that a few hosts do for all.
	ProcessorShare float64
	// MemoryMB is the memory of the machine in MiB; 0: not stated. MaxDescriptors is the limit of
	// the process's file descriptors; 0: the process's own limit.
	MemoryMB       int
	MaxDescriptors int
	// Grace is the time from the start of the drain until the process is killed.
	Grace time.Duration
	// DrainTime is how long an endpoint continues to serve after it has announced that it
	// leaves.
	DrainTime time.Duration
	// RepeatShare is the fraction of an application's requests, and RepeatReserve an
	// additional number, that all hosts together may send to a second endpoint.
	RepeatShare   float64
	RepeatReserve float64
	RepeatWindow  time.Duration // window in which both are counted

	Store             provider.Store
	Driver            driver.Forwarder
	ConfigurationKey  string // key of the whole configuration
	DecodeSnapshot    func(value []byte) (*classifier.Snapshot, error)
	EndpointPrefix    string // key prefix of registered endpoints
	DecodeEndpoint    func(provider.Entry) (provider.Host, error)
	ReadinessPath     string
	NewCallersHandler func(*Gateway) http.Handler

	// Network carries the traffic with callers and peers; nil: TCP. The adapters have their own.
	Network connector.Network

	LeaseTTL time.Duration // of the authority over the engines' roles

	// RevocationBound is the longest time for which a revoked API key is accepted, even if
	// this host can't learn of the revocation; 0: no bound.
	RevocationBound time.Duration
	// UsageWindow is the length of the windows for which usage is reported, and
	// ReportUsage sends a report; nil: usage is not counted.
	UsageWindow time.Duration
	ReportUsage func(ctx context.Context, report reporter.Report) error
	// OrderEngines orders engines from the platform; nil: the number of engines is not
	// managed. Scaling is the policy; empty: scaler.SpotShare.
	OrderEngines func(ctx context.Context, order provisioner.Order) error
	Scaling      string

	Clock timekeeper.Clock // includes the time that the host is suspended; nil: the system clock
	// OnResume is called after the host was suspended, to close connections opened before;
	// nil: no call.
	OnResume func()

	Routing      string // as in Config
	Admission    string
	Roles        string
	PrefillShare float64 // share of prefill engines if Roles is fixed
	Version      string
	Logger       hclog.Logger
	// ExceededLimits counts responses that exceed a limit, for the metrics; nil: not counted.
	ExceededLimits *responselimiter.Counter
	// Recorder keeps the lines of Logger that are logged again at intervals; nil: none.
	Recorder *recorder.Recorder
}

// Gateway is an entry host that forwards opaque requests. Its configuration and the
// endpoints come from the platform's store; the host keeps no persistent state. All
// methods are safe for concurrent use.
type Gateway struct {
	cfg         GatewayConfig
	incarnation string

	classifier    *classifier.Classifier
	registrations *lister.Registrations
	relayer       *relayer.Relayer
	follower      *follower.Follower
	scheduler     *scheduler.Scheduler
	forwarder     *dispatcher.Forwarder
	quarantiner   *quarantiner.Quarantiner
	exitVerifier  *exitverifier.Verifier
	observer      *observer.Observer
	paths         *pathwatcher.Watcher
	peerForwarder *peerforwarder.Forwarder
	streams       *streamkeeper.Keeper
	historian     *historian.Historian
	clients       *clientLimits
	shedder       *shedder.Shedder
	shedLoggedAt  time.Time // used by tick only
	limiter       *ratelimiter.Limiter
	detector      *timekeeper.Detector
	exchanger     *exchanger.Exchanger
	registrar     *registrar.Registrar
	caches        *cachesharer.Sharer
	cacheWatcher  *cachewatcher.Watcher
	leaser        *leaser.Leaser
	attester      *attester.Attester
	accountant    *accountant.Accountant
	reporter      *reporter.Reporter       // nil: usage is not reported
	provisioner   *provisioner.Provisioner // nil: no engines are ordered
	scaling       map[string]scaler.State  // by application; used by the provisioner only
	rebalancer    *rebalancer.Rebalancer
	meter         *meter.Meter
	callers       *server.Passthrough
	readiness     *server.Passthrough

	demand         demandReporter // used by tick only
	isReachReduced atomic.Bool    // a peer does not reach all endpoints
	peerCount      atomic.Int64   // peers that the store lists

	peersMu  sync.Mutex
	maxHosts int // largest number of hosts known at a time

	checkMu         sync.Mutex
	checkedRevision int64 // store revision up to which configurations have been read; 0: none

	installMu   sync.Mutex                     // keeps installed in step with the classifier
	installed   atomic.Pointer[provider.Entry] // of the configuration in force; nil: none
	restoration atomic.Value                   // time.Time at which the store was found to be restored

	resumeMu sync.Mutex // held while the state is updated after a suspension

	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group
}

// NewGateway prepares an entry host for opaque requests. It fails if the host can't listen
// on the peers' address, or a setting is not usable.
func NewGateway(cfg GatewayConfig) (g *Gateway, err error) {
	defer func() { err = eris.Wrap(err, "prepare entry host") }()
	g = &Gateway{cfg: cfg, incarnation: uuid.NewString(), classifier: classifier.New(), shedder: shedder.New(cfg.Zone)}
	if g.cfg.Clock == nil {
		g.cfg.Clock = timekeeper.New()
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.meter = meter.New(meter.Config{})
	cfg.ExceededLimits.SetObserver(g.meter.CountExceededLimit)
	g.clients = newClientLimits(cfg.MemoryMB, cfg.MaxDescriptors, g.meter, cfg.Logger.Named("budgeter"))
	g.caches = cachesharer.New(cachesharer.Config{OnEvents: g.applyCacheEvents, Logger: cfg.Logger.Named("cachesharer")})
	g.cacheWatcher = cachewatcher.New(cachewatcher.Config{
		Driver: cfg.Driver, OnEvents: g.caches.ApplyEvents, BackoffRemaining: func(process driver.Process) time.Duration { return g.observer.BackoffRemaining(process) },
		Logger: cfg.Logger.Named("cachewatcher"),
	})
	g.buildSignals()
	g.buildPaths()
	g.scheduler = scheduler.New(scheduler.Config{
		HostID: cfg.HostID, Zone: cfg.Zone, Configuration: g.classifier, Logger: cfg.Logger.Named("scheduler"),
		Policy: cfg.policy(), OnSharedPrefix: g.caches.AddSharedParts, Limiter: g.limiter, BackoffRemaining: g.observer.BackoffRemaining,
		IsExitConfirmed: g.paths.HasExited,
		IsPathBroken: func(application string) bool {
			return g.peerForwarder.IsOutlier(application, g.paths.Reach(application).Share())
		},
	})
	g.registrations = lister.NewRegistrations(lister.RegistrationsConfig{
		Prefix: cfg.EndpointPrefix, Decode: cfg.DecodeEndpoint, DrainTime: cfg.DrainTime,
		IsLeaving: g.observer.IsLeaving, OnChange: g.setEndpoints, Logger: cfg.Logger.Named("lister"),
	})
	g.buildQuarantine()
	g.buildAttester()
	g.buildUsage()
	if err := g.buildPeers(); err != nil {
		return nil, err
	}
	if err := g.buildAuthority(); err != nil {
		return nil, errors.Join(err, g.exchanger.Close())
	}
	g.buildDuties()
	sink := &snapshotSink{gateway: g}
	g.follower = follower.New(follower.Config{
		Store: g.relayer, WatchesStore: g.relayer.WatchesStore, Peers: g.relayer, Now: g.cfg.Clock.Now, Logger: cfg.Logger.Named("follower"),
		Topics: []follower.Topic{
			{Prefix: cfg.ConfigurationKey, Sink: sink, OnRead: sink.onRead},
			{Prefix: cfg.EndpointPrefix, Sink: g.registrations},
			{Prefix: registrar.Prefix, Sink: g.registrar},
		},
		OnStoreRegained: func(time.Duration) {
			g.registrations.StoreRegained(time.Now())
			g.registrar.StoreRegained()
		},
		OnStoreRestored: func(era int64) {
			g.recordRestoration()
			g.registrations.StoreRestored(era, time.Now())
			g.registrar.StoreRegained()
		},
	})
	g.forwarder = dispatcher.NewForwarder(dispatcher.ForwarderConfig{
		Scheduler: g.scheduler, Driver: cfg.Driver, Meter: g.meter, Logger: cfg.Logger.Named("dispatcher"),
		StoreUnreachableFor: g.follower.StoreUnreachableFor, Quarantine: g.quarantiner, SuspendedTime: g.cfg.Clock.SuspendedTime,
		RepeatShare: cfg.RepeatShare * repeatMargin, RepeatReserve: cfg.RepeatReserve * repeatMargin / assumedHosts,
		RepeatWindow: cfg.RepeatWindow, OnRunStarted: g.accountant.Count, Limits: &tenantLimits{gateway: g}, Peers: g.peerForwarder, Streams: g.streams,
		RecordPassedOn: g.scheduler.RecordPassedOn,
	})
	g.callers = server.NewPassthrough(server.PassthroughConfig{
		Address: cfg.CallersAddress, Network: cfg.Network, Handler: cfg.NewCallersHandler(g), MaxConnections: cfg.MaxConnections, MayAccept: g.mayAccept,
		Budget: g.clients.budget, Pool: budgeter.Callers, OnRefuse: g.clients.countRefusal,
		MaxHeaderBytes: func() int { return g.classifier.Limits().MaxHeaderBytes },
		HeaderTimeout:  func() time.Duration { return g.classifier.Limits().HeaderTimeout },
		IdleTimeout:    func() time.Duration { return g.classifier.Limits().IdleTimeout }, Logger: cfg.Logger.Named("server"),
	})
	g.readiness = server.NewPassthrough(server.PassthroughConfig{
		Address: cfg.ReadinessAddress, Network: cfg.Network, Handler: g.readinessHandler(),
		Budget: g.clients.budget, Pool: budgeter.Readiness, OnRefuse: g.clients.countRefusal,
		IdleTimeout: func() time.Duration { return 0 }, Logger: cfg.Logger.Named("server"),
	})
	return g, nil
}

func (cfg *GatewayConfig) policy() scheduler.Policy {
	policy := Config{Routing: cfg.Routing, Admission: cfg.Admission, Roles: cfg.Roles}.policy()
	policy.PrefillShare = cfg.PrefillShare
	return policy
}

// Start starts serving. It fails if the host can't listen on an address.
func (g *Gateway) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start entry host") }()
	g.detector = timekeeper.NewDetector(g.cfg.Clock)
	if err := errors.Join(g.callers.Start(), g.readiness.Start()); err != nil {
		return err
	}
	g.clients.logLimits()
	g.registerGauges()
	g.group.Go(func() error { return g.follower.Run(g.ctx) })
	g.exchanger.Start()
	g.quarantiner.Start()
	g.group.Go(func() error { return g.registrar.Run(g.ctx) })
	g.group.Go(func() error { return g.leaser.Run(g.ctx) })
	g.group.Go(func() error { return g.rebalancer.Run(g.ctx) })
	g.group.Go(func() error { return g.attester.Run(g.ctx) })
	g.group.Go(func() error { return g.historian.Run(g.ctx) })
	g.startDuties()
	g.group.Go(g.tick)
	g.group.Go(g.fetchLostConfigurations)
	g.cfg.Logger.Info("entry host started", "incarnation", g.incarnation, "version", g.cfg.Version,
		"callers_address", g.cfg.CallersAddress, "readiness_address", g.cfg.ReadinessAddress)
	return nil
}

// registerGauges registers the metrics of the host's state.
func (g *Gateway) registerGauges() {
	g.meter.GaugeReady(func() bool {
		ready, _ := g.Ready()
		return ready
	})
	g.meter.GaugeConfigRevision(func() float64 { return float64(g.classifier.Revision()) })
	g.meter.GaugeStoreUnreachable(g.follower.StoreUnreachableFor)
	g.meter.GaugeStoreEra(func() int64 { return provider.EraOf(g.relayer.LatestRevision()) })
	g.meter.GaugeAttestationAge(func() time.Duration {
		age, _ := g.attester.Age()
		return age
	})
	g.meter.GaugeInFlight(func() float64 { return float64(g.forwarder.Active()) })
	g.meter.GaugeLeaseHeld(fleetZone, func() bool {
		_, holds := g.leaser.Holder()
		return holds
	})
	g.meter.GaugePeers("known", func() float64 { return float64(len(g.registrar.Peers())) })
	g.meter.GaugePeers("heard", func() float64 { return float64(g.exchanger.CountReachable()) })
	g.meter.GaugeRequestsQuarantined(func() float64 { return float64(g.quarantiner.Count()) })
	g.meter.GaugeStreamRecords(func() float64 { return float64(g.streams.Count()) })
	g.gaugeSignals()
	g.meter.RegisterAdmissions(g.admissions)
	gaugeDemand(g.meter, g.exchanger)
	g.meter.GaugeEndpoints("listed", func() float64 { return float64(len(g.registrations.Hosts())) })
}

// Addresses returns the listen addresses for callers and readiness checks.
func (g *Gateway) Addresses() (callers, readiness string) {
	return g.callers.Address(), g.readiness.Address()
}

// tick runs the periodic work of the components.
func (g *Gateway) tick() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var watchesUpdatedAt, stateLoggedAt, peersUpdatedAt time.Time
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case now := <-ticker.C:
			g.checkSuspension()
			g.clients.tick(now)
			g.registrations.Tick(now)
			g.limiter.Tick()
			if now.Sub(peersUpdatedAt) >= g.peerReachInterval() {
				peersUpdatedAt = now
				g.updatePeerReach(now)
				g.updateKeepers()
				g.updateStreamMembers()
			}
			g.streams.Tick()
			g.updateShedder(now)
			g.paths.Tick()
			g.abandonWithoutPath()
			g.updateDemand(now)
			g.scheduler.Tick(now)
			g.quarantiner.Tick(g.cfg.Clock.Now())
			g.accountant.Tick()
			if now.Sub(watchesUpdatedAt) >= watchUpdateInterval {
				watchesUpdatedAt = now
				g.observer.Tick()
				g.updateWatches()
			}
			if now.Sub(stateLoggedAt) >= stateLogInterval {
				stateLoggedAt = now
				g.logStateChanges()
			}
		}
	}
}

// logStateChanges logs the recorded lines again.
func (g *Gateway) logStateChanges() {
	if changes := g.recordedChanges(); len(changes) > 0 {
		g.cfg.Logger.Named("recorder").Info("recent state changes", "changes", changes)
	}
}

func (g *Gateway) recordedChanges() []string {
	if g.cfg.Recorder == nil {
		return nil
	}
	return g.cfg.Recorder.Entries()
}

// Classify returns the class of a request. The error is a *dispatcher.FailureError.
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

// retryNotReady is the retry delay for a request to a host without a configuration. It is
// short because another host can serve the retry.
const retryNotReady = 100 * time.Millisecond

// HoldsAuthority reports whether this host may currently change the engines' roles.
func (g *Gateway) HoldsAuthority() bool {
	_, holds := g.leaser.Holder()
	return holds
}

// Endpoints returns the endpoints as this host lists them, in no particular order.
func (g *Gateway) Endpoints() []provider.Host { return g.registrations.Hosts() }

// Limits returns the bounds on callers' requests.
func (g *Gateway) Limits() classifier.Limits { return g.classifier.Limits() }

// Forward runs a request until it ends. See dispatcher.Forwarder.
func (g *Gateway) Forward(ctx context.Context, request dispatcher.OpaqueRequest, answerer dispatcher.AnswerWriter) error {
	g.checkSuspension()
	return g.forwarder.Forward(ctx, request, answerer)
}

// Ready reports whether the host should get new connections.
func (g *Gateway) Ready() (ready bool, reason string) {
	switch {
	case g.draining.Load():
		return false, server.ReasonDraining
	case !g.classifier.Ready():
		return false, server.ReasonNoConfiguration
	case !g.registrations.HasSynced():
		return false, reasonNoHostList
	case !g.mayAcceptKeys():
		return false, reasonNoProof
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
	mux.HandleFunc("GET /status", g.serveStatus)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.meter.WritePrometheus(w) })
	return mux
}

// Drain runs the planned stop. The host first reports that it is not ready and keeps
// serving until load balancers have noticed; then running requests end. Those that the grace
// time does not suffice for are cancelled, and their callers answered.
func (g *Gateway) Drain() {
	startedAt := time.Now()
	g.draining.Store(true)
	g.callers.BeginDrain()
	g.cfg.Logger.Info("drain begun", "running_requests", g.forwarder.Active())
	closeAt := startedAt.Add(g.cfg.Grace - stopMargin)
	g.forwarder.StopAt(closeAt.Add(-lastAnswerTime))
	lastAnswers := timekeeper.AtDeadline(closeAt.Add(-lastAnswerTime), g.forwarder.CancelAll)
	defer lastAnswers.Stop()
	notReadySeen := time.NewTimer(min(notReadyDelay, g.cfg.Grace/2))
	defer notReadySeen.Stop()
	<-notReadySeen.C
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	if err := errors.Join(g.callers.Close(ctx), g.peerForwarder.Drain(ctx)); err != nil {
		g.cfg.Logger.Error("requests interrupted at the end of the drain", "error", err, "running_requests", g.forwarder.Active())
	}
	g.cfg.Logger.Info("entry host stops", "took_ms", time.Since(startedAt).Milliseconds())
}

// Close stops all components without a drain and waits until they have ended.
func (g *Gateway) Close() (err error) {
	defer func() { err = eris.Wrap(err, "close entry host") }()
	now, cancel := context.WithCancel(context.Background())
	cancel()
	g.cancel()
	return errors.Join(ignoreCanceled(g.callers.Close(now)), ignoreCanceled(g.readiness.Close(now)),
		g.scheduler.Close(), g.forwarder.Close(), g.quarantiner.Close(), g.paths.Close(), g.limiter.Close(), g.streams.Close(), g.leaser.Close(), g.group.Wait(), g.registrar.Close(), g.cacheWatcher.Close(),
		g.relayer.Close(), g.peerForwarder.Close(), g.exchanger.Close(), g.cfg.Driver.Close())
}

// ignoreCanceled drops the error of a Close whose context was canceled beforehand, so as
// not to wait.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
