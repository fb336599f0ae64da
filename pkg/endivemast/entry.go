// Package endivemast provides an entry host as a library. It serves callers and operators,
// routes requests to endpoints, and can hold the authority of its availability zone. All
// entry hosts run the same code.
//
// # Usage
//
//	entry, err := endivemast.New(endivemast.Config{
//		HostID: "entry-1", Zone: "lozenets",
//		CallersAddress: "10.0.0.1:8080", OperatorsAddress: "10.0.0.1:8081", PeersAddress: "10.0.0.1:8082",
//		Peers:          []endivemast.Peer{{HostID: "entry-2", Zone: "lozenets", Address: "10.0.0.2:8082"}},
//		StoreAddresses: []string{"10.0.9.1:2379"},
//		KeysFile:       "keys.json", PeerSecretFile: "peer.secret",
//		CertFile:       "host.crt", KeyFile: "host.key", CAFile: "ca.crt",
//	})
//	err = entry.Start()
//	...
//	err = entry.Drain(ctx) // starts the drain
//	<-entry.Drained()
//	err = entry.Close()
//
// Start succeeds without the key-value service: the host reports that it is not ready,
// keeps trying to connect, and then becomes ready.
package endivemast

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/claimer"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/etcdprovider"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/lister"
	"github.com/endivemast/endivemast/internal/meter"
	"github.com/endivemast/endivemast/internal/orderer"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server"
	"github.com/endivemast/endivemast/internal/summarizer"
)

// Limits of a drain.
const (
	stepDownTimeout  = 10 * time.Second
	drainLogInterval = 10 * time.Second
)

// Entry is one entry host. All methods are safe for concurrent use.
type Entry struct {
	cfg       Config
	logger    hclog.Logger
	createdAt time.Time

	store      *etcdprovider.Provider
	driver     *httpdriver.Driver
	meter      *meter.Meter
	clients    *clientLimits
	summarizer *summarizer.Summarizer
	exchanger  *exchanger.Exchanger
	lister     *lister.Lister
	configurer *configurer.Configurer
	scheduler  *scheduler.Scheduler
	claimer    *claimer.KeyClaimer
	leaser     *leaser.Leaser
	orderer    *orderer.Orderer
	dispatcher *dispatcher.Dispatcher
	server     *server.Server

	authorities *authorityReader

	demand         demandReporter // used by tick only
	timedReportsMu sync.Mutex
	timedReports   map[string]orderer.TimedReport // by endpoint id

	orderedUpgrades upgradeTimes // used by the planning goroutine only

	draining atomic.Bool
	drained  chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	group    *errgroup.Group
}

// New checks the settings and prepares an entry host. It fails with SettingErrors, or if
// the host can't listen on the peers' address.
func New(cfg Config) (e *Entry, err error) {
	defer func() { err = eris.Wrap(err, "prepare entry host") }()
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	listed := cfg.Incarnation != ""
	if !listed {
		cfg.Incarnation = uuid.NewString()
	}
	e = &Entry{
		cfg: cfg, logger: cfg.Logger.With("host_id", cfg.HostID, "zone", cfg.Zone), createdAt: time.Now(),
		timedReports: map[string]orderer.TimedReport{}, orderedUpgrades: upgradeTimes{}, drained: make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.group = &errgroup.Group{}
	for _, build := range []func() error{
		e.buildAdapters, e.buildPeers, e.buildPolicy, func() error { return e.buildAuthority(listed) }, e.buildServer,
	} {
		if err := build(); err != nil {
			return nil, errors.Join(err, e.closeBuilt())
		}
	}
	return e, nil
}

// buildAdapters creates the clients of the platform and the endpoints.
func (e *Entry) buildAdapters() (err error) {
	e.meter = meter.New(meter.Config{TopTenants: e.cfg.MetricTenants})
	e.clients = newClientLimits(e.cfg.MemoryMB, e.cfg.MaxDescriptors, e.meter, e.logger.Named("budgeter"))
	limits := &responselimiter.Counter{}
	limits.SetObserver(e.meter.CountExceededLimit)
	e.store, err = etcdprovider.New(etcdprovider.Config{
		Endpoints: baseURLs(e.cfg.StoreAddresses...), PlatformEndpoints: baseURLs(e.cfg.PlatformAddress),
		CallTimeout: e.cfg.StoreTimeout, ExceededLimits: limits,
	})
	e.driver = httpdriver.New(httpdriver.Settings{ExceededLimits: limits})
	e.summarizer = summarizer.New(summarizer.Config{Meter: e.meter, Interval: e.cfg.SummaryInterval, Logger: e.logger})
	e.authorities = newAuthorityReader(e.store, e.cfg)
	return err
}

func baseURLs(addresses ...string) []string {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// buildPeers creates the peer protocol and the components that communicate over it.
func (e *Entry) buildPeers() (err error) {
	secret, err := e.cfg.secret()
	if err != nil {
		return err
	}
	serverTLS, clientTLS, err := e.cfg.peerTLS()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.cfg.PeersAddress)
	if err != nil {
		return fmt.Errorf("peers' address: %w", err)
	}
	e.exchanger, err = exchanger.New(exchanger.Config{
		HostID: e.cfg.HostID, Incarnation: e.cfg.Incarnation, Zone: e.cfg.Zone,
		Listener: server.NewPeerListener(listener, e.clients.budget, e.clients.countRefusal), Peers: e.cfg.peers(), Secret: string(secret),
		ServerTLS: serverTLS, ClientTLS: clientTLS, Demand: e, Logger: e.logger.Named("exchanger"),
	}, e)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	e.lister = lister.New(lister.Config{
		Platform: e.store, Driver: e.driver, Peers: e.exchanger, Logger: e.logger.Named("lister"),
	}, e)
	e.configurer, err = configurer.New(configurer.Config{
		HostID: e.cfg.HostID, Zone: e.cfg.Zone, Store: e.store, Pool: e.exchanger, Logger: e.logger,
	})
	if err != nil {
		return err
	}
	e.configurer.Register(e.exchanger.Registrar())
	e.claimer, err = claimer.New(claimer.Config{
		HostID: e.cfg.HostID, Incarnation: e.cfg.Incarnation, Zone: e.cfg.Zone,
		Store: e.store, Pool: e.exchanger, Secret: secret, Logger: e.logger.Named("claimer"),
		StoreTimeout: e.cfg.StoreTimeout,
	})
	if err != nil {
		return err
	}
	e.claimer.Register(e.exchanger.Registrar())
	return nil
}

func (e *Entry) buildPolicy() error {
	e.scheduler = scheduler.New(scheduler.Config{
		HostID: e.cfg.HostID, Zone: e.cfg.Zone, Policy: e.cfg.policy(),
		Configuration: e.configurer, Logger: e.logger.Named("scheduler"),
	})
	hedge := float64(dispatcher.DefaultHedgeDelayFraction)
	if e.cfg.NoHedge {
		hedge = -1
	}
	e.dispatcher = dispatcher.New(dispatcher.Config{
		Incarnation: e.cfg.Incarnation, Configuration: e.configurer, Scheduler: e.scheduler,
		Driver: e.driver, Claimer: e.claimer, Meter: e.summarizer, HedgeDelayFraction: hedge, Logger: e.logger.Named("dispatcher"),
	})
	return nil
}

// buildAuthority creates the leaser and the orderer. The leaser can wait until the
// platform's list shows this process only if the platform knows its incarnation.
func (e *Entry) buildAuthority(listed bool) (err error) {
	leaserCfg := leaser.Config{
		Zone: e.cfg.Zone, HostID: e.cfg.HostID, Incarnation: e.cfg.Incarnation, Address: e.cfg.PeersAddress,
		Store: e.store, TTL: e.cfg.LeaseTTL, Log: e.logger.Named("leaser"),
	}
	if listed {
		leaserCfg.ListedAt = e.listedRevision
	}
	if e.leaser, err = leaser.New(leaserCfg); err != nil {
		return err
	}
	orderer.Register(e.exchanger.Registrar(), e.cfg.Zone, e.cfg.Incarnation, e.leaser)
	e.orderer, err = orderer.New(orderer.Config{
		Leaser: e.leaser, Driver: e.driver, Hosts: e.lister.Hosts, Reports: e.report,
		Predecessor: orderer.NewPredecessorClient(e.exchanger), OnFinished: e.orderFinished, Log: e.logger.Named("orderer"),
	})
	return err
}

func (e *Entry) buildServer() (err error) {
	var keys server.Keys
	if e.cfg.KeysFile != "" {
		if keys, err = server.LoadKeys(e.cfg.KeysFile); err != nil {
			return err
		}
	}
	e.server, err = server.New(server.Config{
		CallersAddress: e.cfg.CallersAddress, OperatorsAddress: e.cfg.OperatorsAddress,
		CertFile: e.cfg.CertFile, KeyFile: e.cfg.KeyFile, PlainText: e.cfg.PlainText,
		Keys: keys, Insecure: e.cfg.Insecure, MaxBodyBytes: e.cfg.MaxBodyBytes, MaxConnections: e.cfg.MaxConnections,
		Budget: e.clients.budget, OnRefuse: e.clients.countRefusal,
	}, server.Deps{
		Dispatcher: e.dispatcher, Operator: e.configurer, Tickets: e.claimer,
		Status: e, Drainer: e, Readiness: e, Metrics: e.meter, Logger: e.logger.Named("server"),
	})
	return err
}

// Start starts serving. It fails if the host can't listen on an address.
func (e *Entry) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start entry host") }()
	e.registerGauges()
	// The server starts first, since only it can fail. Requests are refused as not run
	// until there is a configuration.
	if err := e.server.Start(); err != nil {
		return errors.Join(err, e.Close())
	}
	e.clients.logLimits()
	e.exchanger.Start()
	e.configurer.Start()
	e.lister.Start()
	e.claimer.Start()
	e.group.Go(func() error { return e.leaser.Run(e.ctx) })
	e.group.Go(func() error { return e.orderer.Run(e.ctx) })
	e.group.Go(e.tick)
	e.group.Go(e.plan)
	e.group.Go(func() error { return e.summarizer.Run(e.ctx) })
	addresses := e.server.Addresses()
	e.logger.Info("entry host started", "incarnation", e.cfg.Incarnation, "version", e.cfg.Version,
		"callers_address", addresses.Callers, "operators_address", addresses.Operators, "peers_address", e.cfg.PeersAddress)
	e.group.Go(e.logReadiness)
	return nil
}

// Addresses returns the listen addresses for callers and operators.
func (e *Entry) Addresses() (callers, operators string) {
	addresses := e.server.Addresses()
	return addresses.Callers, addresses.Operators
}

// Drain starts the planned stop and returns. Drained reports its end; a second call has no
// effect.
func (e *Entry) Drain(context.Context) error {
	if e.draining.CompareAndSwap(false, true) {
		e.group.Go(e.drain)
	}
	return nil
}

// Drained returns a channel that is closed at the end of the drain: the host serves no
// requests any more, and Close is to be called.
func (e *Entry) Drained() <-chan struct{} { return e.drained }

// drain runs the planned stop. The host first reports that it is not ready, and keeps
// serving until the load balancer has had time to notice; it gives up the zone's authority
// after sending all its orders; then the running requests end.
func (e *Entry) drain() error {
	defer close(e.drained)
	e.logger.Info("drain begun", "running_requests", e.dispatcher.Active())
	grace := time.NewTimer(e.cfg.DrainGrace)
	defer grace.Stop()
	ctx, cancel := context.WithTimeout(e.ctx, stepDownTimeout)
	if err := e.orderer.StepDown(ctx); err != nil {
		e.logger.Warn("zone authority not released in time; its next holder must verify that this host has stopped", "error", err)
	}
	cancel()
	select {
	case <-grace.C:
	case <-e.ctx.Done():
	}
	ctx, cancel = context.WithTimeout(e.ctx, e.cfg.DrainTimeout)
	defer cancel()
	waiting, stop := context.WithCancel(ctx)
	logged := &errgroup.Group{}
	logged.Go(func() error { return e.logDrain(waiting) })
	err := e.server.Close(ctx)
	stop()
	err = errors.Join(err, logged.Wait())
	if err != nil {
		e.logger.Error("requests interrupted at the end of the drain", "error", err)
	}
	e.logger.Info("drain ended", "running_requests", e.dispatcher.Active())
	return nil
}

// logDrain logs how many requests the drain is waiting for.
func (e *Entry) logDrain(ctx context.Context) error {
	ticker := time.NewTicker(drainLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.logger.Info("drain is waiting for running requests", "running_requests", e.dispatcher.Active())
		}
	}
}

// Close stops everything at once and waits for it. Requests still running are interrupted
// unless Drain was called before.
func (e *Entry) Close() (err error) {
	defer func() { err = eris.Wrap(err, "close entry host") }()
	now, cancel := context.WithCancel(context.Background())
	cancel()
	serverErr := e.server.Close(now)
	if errors.Is(serverErr, context.Canceled) {
		serverErr = nil
	}
	e.cancel()
	return errors.Join(
		serverErr,
		e.dispatcher.Close(),
		e.scheduler.Close(),
		e.leaser.Close(),
		e.group.Wait(),
		e.claimer.Close(),
		e.lister.Close(),
		e.configurer.Close(),
		e.exchanger.Close(),
		e.driver.Close(),
		e.store.Close(),
	)
}

// closeBuilt closes the components that New created before it failed.
func (e *Entry) closeBuilt() error {
	e.cancel()
	var errs []error
	if e.claimer != nil {
		errs = append(errs, e.claimer.Close())
	}
	if e.configurer != nil {
		errs = append(errs, e.configurer.Close())
	}
	if e.exchanger != nil {
		errs = append(errs, e.exchanger.Close())
	}
	if e.store != nil {
		errs = append(errs, e.store.Close())
	}
	return errors.Join(append(errs, e.driver.Close())...)
}

// Ready implements server.Readiness.
func (e *Entry) Ready() (ready bool, reason string) {
	switch {
	case e.draining.Load():
		return false, server.ReasonDraining
	case !e.configurer.Ready():
		return false, server.ReasonNoConfiguration
	case !e.lister.HasSynced():
		return false, reasonNoHostList
	}
	return true, ""
}
