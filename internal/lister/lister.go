// Package lister keeps the list of hosts that are live or leaving, and polls the
// endpoints' reports.
//
// The platform's list lags, and the platform may be unreachable. So an endpoint
// counts as leaving as soon as one of three sources reports it: the platform's list,
// the endpoint's own report, or a peer that has read such a report. While the
// platform is unreachable, the last list stays in force, and a host that starts
// requests the list of its peers.
//
// # Usage
//
//	l := lister.New(cfg, sink)
//	l.Start()
//	defer l.Close()
package lister

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Defaults of a Config.
const (
	DefaultListInterval   = 500 * time.Millisecond
	DefaultReportInterval = 250 * time.Millisecond
	// DefaultReportsPerSecond limits the cost of polling reports, about 0.1 ms of
	// processor time each, regardless of the number of endpoints.
	DefaultReportsPerSecond = 100
	listTimeout             = time.Second
	reportTimeout           = time.Second
	// peerReportTTL is how long a peer's report of a leaving endpoint is valid unless
	// repeated: an endpoint that drains for a change of role takes work again
	// afterwards.
	peerReportTTL = time.Second
)

// Sink receives the list and the reports.
type Sink interface {
	// SetHosts replaces the list; leaving endpoints have provider.HostLeaving.
	SetHosts(hosts []provider.Host, now time.Time)
	// SetReport receives a report, when it was requested and when it was received.
	SetReport(endpointID string, report driver.Report, requested, now time.Time)
	// MarkUnreachable is called when a report could not be read.
	MarkUnreachable(endpointID string)
}

// PeerHostLister requests the platform's list from peers.
type PeerHostLister interface {
	FetchHosts(ctx context.Context, newerThan int64) (hosts []provider.Host, revision int64)
}

// Config configures a Lister.
type Config struct {
	Platform       provider.HostLister
	Driver         driver.Driver
	Peers          PeerHostLister
	ListInterval   time.Duration
	ReportInterval time.Duration // of one endpoint; longer if ReportsPerSecond requires it
	// ReportsPerSecond limits the reports of all endpoints together. Endpoints that
	// report that they are leaving are polled at ReportInterval regardless.
	ReportsPerSecond int
	Logger           hclog.Logger
}

// Lister polls the platform's list and the endpoints' reports.
type Lister struct {
	cfg  Config
	sink Sink

	// publishMu keeps the order of lists that are passed to the sink; it is locked
	// before mu.
	publishMu sync.Mutex

	mu          sync.Mutex
	hosts       []provider.Host
	revision    int64
	updated     time.Time
	readers     map[string]*reportReader // by endpoint id
	peerReports map[string]peerReport
	published   []provider.Host // as last passed to the sink

	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
}

// peerReport is a peer's report that an endpoint is leaving.
type peerReport struct {
	incarnation string
	receivedAt  time.Time
}

// New returns a Lister that is not started. Zero intervals and rates in cfg stand
// for the defaults.
func New(cfg Config, sink Sink) *Lister {
	if cfg.ListInterval == 0 {
		cfg.ListInterval = DefaultListInterval
	}
	if cfg.ReportInterval == 0 {
		cfg.ReportInterval = DefaultReportInterval
	}
	if cfg.ReportsPerSecond == 0 {
		cfg.ReportsPerSecond = DefaultReportsPerSecond
	}
	l := &Lister{cfg: cfg, sink: sink, readers: map[string]*reportReader{}, peerReports: map[string]peerReport{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.group = &errgroup.Group{}
	return l
}

// Start starts polling.
func (l *Lister) Start() { l.group.Go(l.run) }

// Close stops polling and waits for its goroutines.
func (l *Lister) Close() error {
	l.cancel()
	return l.group.Wait()
}

// Hosts returns the platform's list as last read, and its revision.
func (l *Lister) Hosts() (hosts []provider.Host, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, l.revision
}

// HasSynced reports whether a list has been read, from the platform or a peer.
func (l *Lister) HasSynced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision > 0
}

// Leaving returns the endpoints whose own report states that they take no new work.
func (l *Lister) Leaving() (leaving []exchanger.LeavingEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpointID, reader := range l.readers {
		if reader.draining {
			leaving = append(leaving, exchanger.LeavingEndpoint{EndpointID: endpointID, Incarnation: reader.incarnation})
		}
	}
	return leaving
}

// ApplyLeaving records a peer's report of leaving endpoints.
func (l *Lister) ApplyLeaving(leaving []exchanger.LeavingEndpoint, now time.Time) {
	if len(leaving) == 0 {
		return
	}
	l.mu.Lock()
	for _, endpoint := range leaving {
		l.peerReports[endpoint.EndpointID] = peerReport{incarnation: endpoint.Incarnation, receivedAt: now}
	}
	l.mu.Unlock()
	l.publish(now)
}

func (l *Lister) run() error {
	ticker := time.NewTicker(l.cfg.ListInterval)
	defer ticker.Stop()
	for {
		l.readList()
		select {
		case <-l.ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readList reads the platform's list, or a peer's if the platform is unreachable.
func (l *Lister) readList() {
	ctx, cancel := timekeeper.WithTimeout(l.ctx, listTimeout)
	hosts, revision, err := l.cfg.Platform.Hosts(ctx)
	cancel()
	if err != nil {
		l.cfg.Logger.Debug("reading the platform's host list failed", "error", err)
		hosts, revision = l.cfg.Peers.FetchHosts(l.ctx, l.knownRevision())
	}
	l.setList(hosts, revision, time.Now())
}

func (l *Lister) knownRevision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// setList puts a list in force unless the current one is as new or newer.
func (l *Lister) setList(hosts []provider.Host, revision int64, now time.Time) {
	l.mu.Lock()
	if revision > l.revision {
		l.hosts, l.revision, l.updated = hosts, revision, now
		l.startReaders()
	}
	l.mu.Unlock()
	l.publish(now)
}

// startReaders starts a reader for each new endpoint and stops those of endpoints
// that are no longer listed. The caller holds mu.
func (l *Lister) startReaders() {
	listed := map[string]bool{}
	for _, host := range l.hosts {
		if host.Kind == provider.HostEntry {
			continue
		}
		listed[host.ID] = true
		l.startReader(host)
	}
	for endpointID, reader := range l.readers {
		if !listed[endpointID] {
			reader.cancel()
			delete(l.readers, endpointID)
		}
	}
}

func (l *Lister) startReader(host provider.Host) {
	if running, ok := l.readers[host.ID]; ok {
		if running.host.Address == host.Address && running.host.Incarnation == host.Incarnation {
			return
		}
		running.cancel()
	}
	ctx, cancel := context.WithCancel(l.ctx)
	reader := &reportReader{host: host, cancel: cancel, incarnation: host.Incarnation}
	l.readers[host.ID] = reader
	l.group.Go(func() error { return l.readReports(ctx, reader) })
}

// publish passes the list with the effective state of each host to the sink, if it
// has changed.
func (l *Lister) publish(now time.Time) {
	l.publishMu.Lock()
	defer l.publishMu.Unlock()
	l.mu.Lock()
	effective := make([]provider.Host, 0, len(l.hosts))
	for _, host := range l.hosts {
		if l.isLeaving(host, now) {
			host.State = provider.HostLeaving
		}
		effective = append(effective, host)
	}
	changed := !equalHosts(effective, l.published)
	l.published = effective
	l.mu.Unlock()
	if changed {
		l.sink.SetHosts(effective, now)
	}
}

func equalHosts(a, b []provider.Host) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// isLeaving reports whether any of the three sources states that the host is
// leaving. The caller holds mu.
func (l *Lister) isLeaving(host provider.Host, now time.Time) bool {
	if host.State == provider.HostLeaving {
		return true
	}
	reader, ok := l.readers[host.ID]
	if ok && reader.draining {
		return true
	}
	report, ok := l.peerReports[host.ID]
	if !ok || now.Sub(report.receivedAt) > peerReportTTL {
		return false
	}
	// A report on an earlier process does not apply to this one.
	return report.incarnation == host.Incarnation || (reader != nil && report.incarnation == reader.incarnation)
}
