// Package scheduler decides which endpoint runs which work, when and with which priority,
// and refuses work as soon as it cannot meet its targets. It also plans the roles of
// engines.
//
// Each host has its own Scheduler and queue. It counts its own work exactly, takes peers'
// loads and endpoints' reports as inputs, and does no I/O. The decisions are pure
// functions of the subpackages router, admitter and planner over the tables of package
// tracker.
//
// # Usage
//
//	s := scheduler.New(scheduler.Config{HostID: "entry-1", Zone: "lozenets"})
//	defer s.Close()
//	s.SetHosts(hosts, time.Now())
//	grant, err := s.Acquire(ctx, scheduler.Work{...})
//	var refusal *scheduler.RefusalError
//	if errors.As(err, &refusal) { ... refusal.RetryAfter ... }
//	... use grant.Target(), call grant.TokenReceived() for each token ...
//	grant.Done(scheduler.Completed{End: end})
//
// Tick has to be called several times a second: it refuses work that has waited too long,
// decays estimates and probes endpoints whose circuit breaker is open.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/scheduler/returner"
	"github.com/endivemast/endivemast/internal/scheduler/router"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// Scheduler schedules the work of one host. All methods are safe for concurrent use.
type Scheduler struct {
	cfg    Config
	logger hclog.Logger
	now    func() time.Time

	mu           sync.Mutex
	table        *tracker.Table
	router       *router.Router
	rand         *rand.Rand
	queues       map[string][]*queue // by application; one for each software version that work needs
	grants       []*grant
	processExits map[ProcessExit]time.Time // with the time at which this host last detected each
	plannerState planner.State
	nextID       int64
	isClosed     bool

	demandMeter    *aggregator.Meter
	othersDemand   aggregator.Snapshot
	othersDemandAt time.Time // zero: not known
	smoothedDemand smoothedDemand
	precedences    map[string]*precedence // by application
	sharesAt       time.Time              // when the shares were last computed
	returns        returner.Detector
	calendars      map[aggregator.Key]*returner.Calendar
	lastNewWorkAt  time.Time // of this host's callers, or passed on by a peer
	// publishedDemand is the demand of this host that the others know; without Hosts: none of
	// them has received any.
	publishedDemand aggregator.Snapshot
	isIsolated      bool // from all other hosts

	acquireCalls sync.WaitGroup // running calls of Acquire
}

// New returns a Scheduler without endpoints.
func New(cfg Config) *Scheduler {
	cfg.Policy, _ = cfg.Policy.Validate()
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Limiter == nil {
		cfg.Limiter = unlimited{}
	}
	if cfg.IsExitConfirmed == nil {
		cfg.IsExitConfirmed = func(driver.Process) bool { return true }
	}
	if cfg.IsPathBroken == nil {
		cfg.IsPathBroken = func(string) bool { return false }
	}
	if cfg.BackoffRemaining == nil {
		cfg.BackoffRemaining = func(driver.Process) time.Duration { return 0 }
	}
	source := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))
	s := &Scheduler{
		cfg:          cfg,
		logger:       cfg.Logger,
		now:          cfg.Now,
		table:        tracker.NewTable(cfg.Zone),
		router:       router.New(cfg.Policy.Routing, source),
		rand:         source,
		queues:       make(map[string][]*queue),
		processExits: make(map[ProcessExit]time.Time),
		demandMeter:  aggregator.NewMeter(),
		calendars:    make(map[aggregator.Key]*returner.Calendar),
		precedences:  make(map[string]*precedence),
	}
	s.table.RateLimitOf, s.table.BackoffRemaining = cfg.Limiter.Limit, cfg.BackoffRemaining
	return s
}

// Close refuses all waiting and future work, and returns after all calls of Acquire have
// returned. Grants stay valid until Done is called.
func (s *Scheduler) Close() error {
	s.mu.Lock()
	s.isClosed = true
	for _, queues := range s.queues {
		for _, q := range queues {
			s.refuseAll(q, ReasonDraining)
		}
	}
	s.mu.Unlock()
	s.acquireCalls.Wait()
	return nil
}

// SetHosts replaces the list of hosts by the platform's. Entry hosts in it are ignored.
func (s *Scheduler) SetHosts(hosts []provider.Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetHosts(hosts, now)
	s.dispatchAll(now)
}

// UpdateHosts applies changes to the list: hosts that are new or have changed, and the IDs
// of those that were removed.
func (s *Scheduler) UpdateHosts(hosts []provider.Host, removed []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.UpdateHosts(hosts, removed, now)
	s.dispatchAll(now)
}

// SetReport applies an endpoint's report.
func (s *Scheduler) SetReport(endpointID string, report driver.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetReport(endpointID, &report, now)
	if endpoint := s.table.Endpoints[endpointID]; endpoint != nil {
		s.dispatchWaiting(endpoint.Application, now)
	}
}

// SetPeerLoad sets the loads that a peer counts, or the sum of several hosts' loads, by
// endpoint ID. The values are absolute; an endpoint that is missing has no load. The
// scheduler retains the map. A peer without an update for some seconds is removed.
func (s *Scheduler) SetPeerLoad(source string, hosts int, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPeerLoad(source, hosts, loads, now)
}

// UsedSince returns which of the targets' processes have had work of any host after the
// given time, as far as this host knows.
func (s *Scheduler) UsedSince(targets []driver.Target, since time.Time) map[driver.Process]bool {
	used := map[driver.Process]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range targets {
		endpoint := s.table.Endpoints[targets[i].EndpointID]
		if endpoint != nil && endpoint.UsedAt.After(since) {
			used[targets[i].Process()] = true
		}
	}
	return used
}

// MarkLeaving records that an endpoint shuts down, as stated by itself or by a peer. It
// gets no new work.
func (s *Scheduler) MarkLeaving(endpointID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if endpoint := s.table.Endpoints[endpointID]; endpoint != nil {
		endpoint.MarkedLeavingAt = s.now()
	}
}

// MarkUnreachable opens an endpoint's circuit breaker, as a failed connection does.
func (s *Scheduler) MarkUnreachable(endpointID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if endpoint := s.table.Endpoints[endpointID]; endpoint != nil {
		endpoint.Breaker.ReportMissed(s.rand.Float64(), s.now())
	}
}

// SetUnreached records whether this host can't reach a process. Such an endpoint gets no work.
// A process that is reached again after failed connections gets work at once.
func (s *Scheduler) SetUnreached(process driver.Process, isUnreached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := s.table.Endpoints[process.EndpointID]
	if endpoint == nil || endpoint.Target.Process() != process {
		return
	}
	endpoint.Unreached = isUnreached
	if !isUnreached && endpoint.Breaker.Unreachable {
		endpoint.Breaker = tracker.Breaker{}
	}
	s.dispatchWaiting(endpoint.Application, s.now())
}

// ObserveSlowdown records how long work currently takes on the machine of a process, in percent of the usual
// duration, and reports whether the value is used. Implausible values are not.
func (s *Scheduler) ObserveSlowdown(process driver.Process, percent int, now time.Time) (isUsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := s.table.Endpoints[process.EndpointID]
	if endpoint == nil || endpoint.Target.Process() != process {
		return false
	}
	return endpoint.ObserveMachine(percent, now)
}

// SetSetAside records whether a process refuses the connections of several hosts. Such an endpoint
// gets no work, and does not count for the split between the roles. When that ends it gets work at
// once.
func (s *Scheduler) SetSetAside(process driver.Process, isSetAside bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := s.table.Endpoints[process.EndpointID]
	if endpoint == nil || endpoint.Target.Process() != process {
		return
	}
	endpoint.SetAside = isSetAside
	if !isSetAside && !endpoint.Unreached && endpoint.Breaker.Unreachable {
		endpoint.Breaker = tracker.Breaker{}
	}
	s.dispatchWaiting(endpoint.Application, s.now())
}

// SetPeersWithoutPath sets, by application, how many peers pass their work to other hosts since
// they don't reach the endpoints. This host's part of the capacity is greater then.
func (s *Scheduler) SetPeersWithoutPath(peers map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.PeersWithoutPath = peers
}

// OwnLoad returns this host's work in flight by endpoint ID, to be sent to peers.
// Endpoints without load are omitted.
func (s *Scheduler) OwnLoad() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make(map[string]Load)
	add := func(endpoint *tracker.Endpoint) {
		if endpoint != nil && endpoint.Listed && !endpoint.Own.IsZero() {
			loads[endpoint.Target.EndpointID] = endpoint.Own
		}
	}
	for _, g := range s.grants {
		add(g.choice.Decode)
		add(g.choice.Prefill)
	}
	return loads
}

// Tick updates the progress of grants, decays aging estimates and processes the queues. It
// is to be called every 50 to 100 ms.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.grants {
		g.collectTokens()
	}
	s.table.Tick(now)
	for name, queues := range s.queues {
		for _, q := range queues {
			if len(q.items) > 0 {
				s.table.Refresh(now)
			}
			q.correction.tick(len(q.items) > 0, s.engineSeconds(q), now)
		}
		s.queues[name] = slices.DeleteFunc(queues, func(q *queue) bool { return q.softwareVersion != "" && len(q.items) == 0 })
	}
	s.refreshShares(now)
	s.dispatchAll(now)
}
