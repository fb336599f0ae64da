// Package trier runs a small deployment in one process on loopback and checks
// that it serves a mixed workload.
//
// The platform, the engines and the services are simulated; the entry hosts run
// the product's code. Everything stops when the command ends.
//
// # Usage
//
//	endivemast try
//	endivemast try --entries-per-zone 1 --json
//
// The command fails when a request was lost, duplicated or answered wrongly, when
// a non-idempotent call ran twice, or when an engine received conflicting orders.
package trier

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/pkg/endivemast"
	"github.com/endivemast/endivemast/standins/engineserver"
	"github.com/endivemast/endivemast/standins/kvserver"
	"github.com/endivemast/endivemast/standins/placer"
	"github.com/endivemast/endivemast/standins/serviceserver"
)

//go:embed workload.yaml
var workload []byte

const (
	freeAddress  = "127.0.0.1:0"
	drainGrace   = 200 * time.Millisecond
	drainTimeout = 20 * time.Second

	configureTimeout = 20 * time.Second
	pollInterval     = 10 * time.Millisecond
)

// deployment returns a small deployment with the applications of both example
// deployments.
func deployment(entriesPerZone int) placer.Deployment {
	return placer.Deployment{
		Name: "try", Zones: placer.Vitosha().Zones, EntriesPerZone: entriesPerZone,
		Engines: []placer.Group{
			{Application: "letters", Count: 3, ChecksFencing: true},
			{Application: "dispatch", Count: 2},
			{Application: "assistant", Count: 3, ChecksFencing: true},
		},
		Services: []placer.Group{{Application: "proofing", Count: 2}, {Application: "bookings", Count: 2}},
	}
}

// fleet is a deployment that runs in this process.
type fleet struct {
	logger   hclog.Logger
	platform *kvserver.Server
	engines  []*engineserver.Server
	services []*serviceserver.Server
	entries  []*endivemast.Entry
}

// startFleet starts a deployment. When a part fails to start, it closes the others.
func startFleet(ctx context.Context, d placer.Deployment, logger hclog.Logger) (f *fleet, err error) {
	defer func() { err = eris.Wrap(err, "start the deployment") }()
	f = &fleet{logger: logger}
	if err := f.start(ctx, d); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, d placer.Deployment) (err error) {
	if f.platform, err = kvserver.New(kvserver.Config{Address: freeAddress}); err != nil {
		return err
	}
	if err := f.platform.Start(ctx); err != nil {
		return err
	}
	hosts := d.Hosts()
	peers, err := peerAddresses(hosts)
	if err != nil {
		return err
	}
	for _, host := range hosts {
		switch host.Kind {
		case provider.HostEngine:
			err = f.startEngine(host)
		case provider.HostService:
			err = f.startService(host)
		case provider.HostEntry:
			err = f.startEntry(host, peers)
		}
		if err != nil {
			return eris.Wrapf(err, "host %s", host.ID)
		}
	}
	return nil
}

func (f *fleet) startEngine(host provider.Host) error {
	cfg := engineserver.DefaultConfig()
	cfg.EndpointID, cfg.Zone, cfg.Application = host.ID, host.Zone, host.Application
	cfg.Model, cfg.Version = host.Application, placer.ModelVersion
	cfg.ChecksFencing, cfg.TimeModel = host.ChecksFencing, placer.TimeModel()
	engine, err := engineserver.New(cfg)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, engine)
	host.Address, host.Incarnation = engine.Address(), engine.Incarnation()
	f.platform.PutHost(host)
	return nil
}

func (f *fleet) startService(host provider.Host) error {
	cfg := serviceserver.DefaultConfig()
	cfg.EndpointID, cfg.Zone, cfg.Application = host.ID, host.Zone, host.Application
	service, err := serviceserver.New(cfg)
	if err != nil {
		return err
	}
	f.services = append(f.services, service)
	host.Address, host.Incarnation = service.Address(), service.Incarnation()
	f.platform.PutHost(host)
	return nil
}

// peerAddresses finds a free address for each entry host's peer protocol. All
// listeners stay open until the last address is found, so that no address is
// assigned twice.
func peerAddresses(hosts []provider.Host) (peers []endivemast.Peer, err error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			err = errors.Join(err, listener.Close())
		}
	}()
	for _, host := range hosts {
		if host.Kind != provider.HostEntry {
			continue
		}
		listener, err := net.Listen("tcp", freeAddress)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		peers = append(peers, endivemast.Peer{HostID: host.ID, Zone: host.Zone, Address: listener.Addr().String()})
	}
	return peers, nil
}

func (f *fleet) startEntry(host provider.Host, peers []endivemast.Peer) error {
	host.Incarnation = uuid.NewString()
	cfg := endivemast.Config{
		HostID: host.ID, Zone: host.Zone, Incarnation: host.Incarnation,
		CallersAddress: freeAddress, OperatorsAddress: freeAddress,
		StoreAddresses: []string{f.platform.Address()},
		Insecure:       true, PlainText: true,
		DrainGrace: drainGrace, DrainTimeout: drainTimeout, Logger: f.logger,
	}
	for _, peer := range peers {
		if peer.HostID == host.ID {
			cfg.PeersAddress = peer.Address
		} else {
			cfg.Peers = append(cfg.Peers, peer)
		}
	}
	entry, err := endivemast.New(cfg)
	if err != nil {
		return err
	}
	if err := entry.Start(); err != nil {
		return err
	}
	f.entries = append(f.entries, entry)
	host.Address, _ = entry.Addresses()
	f.platform.PutHost(host)
	return nil
}

// loadOptions returns loader options with the addresses of the deployment.
func (f *fleet) loadOptions() loader.Options {
	var options loader.Options
	for _, entry := range f.entries {
		callers, operators := entry.Addresses()
		options.Entries = append(options.Entries, callers)
		options.Operators = append(options.Operators, operators)
	}
	for _, service := range f.services {
		options.Services = append(options.Services, service.Address())
	}
	return options
}

// awaitConfigured waits until each entry host knows the endpoints and has the
// configuration of the first one in force. Earlier requests would be refused,
// which is correct but not part of the workload.
func (f *fleet) awaitConfigured(ctx context.Context, endpoints int) error {
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	revision := f.entries[0].Status().ConfigRevision
	for _, entry := range f.entries {
		for status := entry.Status(); !status.Ready || status.ConfigRevision < revision || len(status.Endpoints) < endpoints; status = entry.Status() {
			select {
			case <-ctx.Done():
				return eris.Errorf("host %s did not receive the configuration and the list of endpoints within %v", status.HostID, configureTimeout)
			case <-ticker.C:
			}
		}
	}
	return nil
}

// checkOrders returns an error when an engine received conflicting orders.
func (f *fleet) checkOrders() error {
	for _, engine := range f.engines {
		for _, order := range engine.Orders() {
			if len(order.ConflictsWith) > 0 {
				return eris.Errorf("order %s conflicts with %v", order.OrderID, order.ConflictsWith)
			}
		}
	}
	return nil
}

// drain drains the entry hosts and waits until they are drained.
func (f *fleet) drain(ctx context.Context) error {
	var errs []error
	for _, entry := range f.entries {
		errs = append(errs, entry.Drain(ctx))
	}
	for _, entry := range f.entries {
		<-entry.Drained()
	}
	return errors.Join(errs...)
}

// Close stops all parts of the deployment and waits for them.
func (f *fleet) Close() error {
	var errs []error
	for _, entry := range f.entries {
		errs = append(errs, entry.Close())
	}
	for _, engine := range f.engines {
		errs = append(errs, engine.Close())
	}
	for _, service := range f.services {
		errs = append(errs, service.Close())
	}
	if f.platform != nil {
		errs = append(errs, f.platform.Close())
	}
	return errors.Join(errs...)
}

// Settings are the settings of Try.
type Settings struct {
	EntriesPerZone int
	Seed           uint64
	RateScale      float64
	Logger         hclog.Logger // nil: no logs
	Progress       func(loader.Progress)
}

// Try runs the workload and returns its report. When a check of the outcomes or
// the orders fails, it returns both the report and an error.
func Try(ctx context.Context, settings Settings) (report *loader.Report, err error) {
	defer func() { err = eris.Wrap(err, "try") }()
	scenario, err := loader.ParseScenario(workload)
	if err != nil {
		return nil, err
	}
	scenario.RateScale *= settings.RateScale
	if settings.Logger == nil {
		settings.Logger = hclog.NewNullLogger()
	}
	f, err := startFleet(ctx, deployment(settings.EntriesPerZone), settings.Logger)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	options := f.loadOptions()
	options.Scenario, options.Seed, options.Progress = scenario, settings.Seed, settings.Progress
	if err := loader.Configure(ctx, options.Operators, "", &scenario); err != nil {
		return nil, err
	}
	if err := f.awaitConfigured(ctx, len(f.engines)+len(f.services)); err != nil {
		return nil, err
	}
	run, err := loader.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	if report, err = run.Wait(); err != nil {
		return nil, err
	}
	return report, errors.Join(report.CheckOutcomes(), f.checkOrders(), f.drain(ctx))
}

// describe returns a summary of a deployment.
func describe(d placer.Deployment) string {
	counts := make(map[provider.HostKind]int)
	for _, host := range d.Hosts() {
		counts[host.Kind]++
	}
	return fmt.Sprintf("%d entry hosts in %d zones; %d engines and %d services, all simulated",
		counts[provider.HostEntry], len(d.Zones), counts[provider.HostEngine], counts[provider.HostService])
}
