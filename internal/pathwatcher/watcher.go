package pathwatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/driver"
)

// Config configures a Watcher. The functions must not call the Watcher, except Probe.
type Config struct {
	// Probe connects to an endpoint without giving it work, and reports the outcome through
	// Begin as any call does.
	Probe func(ctx context.Context, target driver.Target) error
	// IsReachedElsewhere asks other hosts whether they reach a process that has exited as far as this one
	// can compare; nil: nobody is asked.
	IsReachedElsewhere func(ctx context.Context, process driver.Process) bool
	// Ping sends a request that runs no work over idle connections to an endpoint until one is answered, and
	// opens none; nil: endpoints answer no such request. It does not report to Begin.
	Ping func(ctx context.Context, target driver.Target) error
	// IsConnected reports whether an idle connection to an endpoint is open; nil: none is.
	IsConnected func(target driver.Target) bool
	// OnUnreached is called when a process is no longer reached, and OnReached when it is
	// reached again, or after a refused connection that was not its exit; nil: not called.
	OnUnreached, OnReached func(process driver.Process)
	// OnSetAside is called when a process is set aside since it refuses the connections of several
	// hosts, and when that ends; nil: not called.
	OnSetAside func(process driver.Process, isSetAside bool)
	// HostID and Hosts, the number of hosts that are running, determine which hosts go on probing a
	// process that is set aside; Hosts nil: this one does.
	HostID string
	Hosts  func() int
	// OnExit is called when the exit of a process is confirmed; nil: not called.
	OnExit func(process driver.Process)
	// HasBetterPeer reports whether a peer reaches more endpoints of an application than this
	// host; nil: no peer does.
	HasBetterPeer func(application string, own Reach) bool
	Now           func() time.Time // nil: time.Now
	Logger        hclog.Logger
}

// Reach is how many endpoints of an application a host reaches. It is 0 if those that are reached
// can't serve a request.
type Reach struct {
	Reached int
	Listed  int
}

// IsReduced reports whether some endpoints are not reached.
func (r Reach) IsReduced() bool { return r.Reached < r.Listed }

// IsLost reports whether no endpoint is reached.
func (r Reach) IsLost() bool { return r.Listed > 0 && r.Reached == 0 }

// Share is the part of the endpoints that is reached.
func (r Reach) Share() float64 {
	if r.Listed == 0 {
		return 1
	}
	return float64(r.Reached) / float64(r.Listed)
}

// Watcher is safe for concurrent use.
type Watcher struct {
	cfg Config

	mu           sync.Mutex
	paths        map[string]*path // by endpoint id
	applications map[string]*application
	active       map[*path]struct{}                    // paths that are not quiet
	refusals     map[string]map[driver.Process]Refusal // of peers, by source
	ownRefusals  []Refusal                             // as of the latest Tick; immutable
	notifyMu     sync.Mutex                            // keeps calls of OnReached, OnUnreached and OnSetAside in order; locked before mu
	probes       int                                   // in flight

	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	group  errgroup.Group
}

// application is the paths of one application.
type application struct {
	name       string
	paths      map[*path]struct{}
	counts     map[bool]*Reach // of auxiliary endpoints, and of all others
	unreached  int
	reach      Reach
	lostAt     time.Time    // zero: at least one endpoint is reached
	receivedAt atomic.Int64 // time of the latest data from any endpoint, Unix ns
	brokenAt   time.Time    // of the latest call to any endpoint that ended without an answer
	sampledAt  time.Time    // since when lostSample endpoints are unreached; zero: they are not
}

// notifications collects calls of the Config's functions until the mutex is released.
type notifications []func()

func (n notifications) run() {
	for _, notify := range n {
		notify()
	}
}

// New returns a Watcher without endpoints.
func New(cfg Config) *Watcher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	for _, function := range []*func(driver.Process){&cfg.OnUnreached, &cfg.OnReached, &cfg.OnExit} {
		if *function == nil {
			*function = func(driver.Process) {}
		}
	}
	if cfg.OnSetAside == nil {
		cfg.OnSetAside = func(driver.Process, bool) {}
	}
	if cfg.IsConnected == nil {
		cfg.IsConnected = func(driver.Target) bool { return false }
	}
	if cfg.HasBetterPeer == nil {
		cfg.HasBetterPeer = func(string, Reach) bool { return false }
	}
	w := &Watcher{cfg: cfg, paths: map[string]*path{}, applications: map[string]*application{}, active: map[*path]struct{}{}, refusals: map[string]map[driver.Process]Refusal{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close cancels the probes and waits for them.
func (w *Watcher) Close() error {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	return w.group.Wait()
}

// SetEndpoints replaces the list of endpoints.
func (w *Watcher) SetEndpoints(endpoints []Endpoint) {
	w.mu.Lock()
	var notify notifications
	isListed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		isListed[endpoints[i].Target.EndpointID] = true
		notify = append(notify, w.setLocked(&endpoints[i])...)
	}
	for id := range w.paths {
		if !isListed[id] {
			notify = append(notify, w.removeLocked(id)...)
		}
	}
	w.updateReachLocked()
	w.mu.Unlock()
	notify.run()
}

// UpdateEndpoints applies changes to the list: endpoints that are new or have changed, and the
// ids of those that are removed.
func (w *Watcher) UpdateEndpoints(changed []Endpoint, removed []string) {
	w.mu.Lock()
	var notify notifications
	for i := range changed {
		notify = append(notify, w.setLocked(&changed[i])...)
	}
	for _, id := range removed {
		notify = append(notify, w.removeLocked(id)...)
	}
	w.updateReachLocked()
	w.mu.Unlock()
	notify.run()
}

// setLocked lists an endpoint. A new process is taken to be reached.
func (w *Watcher) setLocked(endpoint *Endpoint) (notify notifications) {
	id := endpoint.Target.EndpointID
	if p := w.paths[id]; p != nil {
		if p.Target == endpoint.Target && p.Application == endpoint.Application {
			p.setAuxiliary(endpoint.IsAuxiliary)
			return nil
		}
		notify = w.removeLocked(id)
	}
	a := w.applications[endpoint.Application]
	if a == nil {
		a = &application{name: endpoint.Application, paths: map[*path]struct{}{}, counts: map[bool]*Reach{true: {}, false: {}}}
		w.applications[endpoint.Application] = a
	}
	p := &path{Endpoint: *endpoint, process: endpoint.Target.Process(), application: a}
	p.receivedAt.Store(w.cfg.Now().UnixNano())
	w.paths[id] = p
	a.paths[p] = struct{}{}
	p.count(1)
	return notify
}

// removeLocked removes a path. An endpoint that is listed again is taken to be reached.
func (w *Watcher) removeLocked(id string) (notify notifications) {
	p := w.paths[id]
	if p == nil {
		return nil
	}
	p.finishJudging()
	p.count(-1)
	if p.isUnreached {
		p.application.unreached--
		notify = append(notify, func() { w.notifyReached(p.process) })
	}
	if p.isSetAside {
		notify = append(notify, func() { w.notifySetAside(p.process) })
	}
	delete(w.paths, id)
	delete(w.active, p)
	delete(p.application.paths, p)
	if len(p.application.paths) == 0 {
		delete(w.applications, p.Application)
	}
	return notify
}

// isListedLocked reports whether a path still belongs to a listed process.
func (w *Watcher) isListedLocked(p *path) bool { return w.paths[p.process.EndpointID] == p }

func (w *Watcher) findLocked(process driver.Process) *path {
	if p := w.paths[process.EndpointID]; p != nil && p.process == process {
		return p
	}
	return nil
}

// Begin implements driver.PathObserver. A process that is not listed is not watched.
func (w *Watcher) Begin(process driver.Process) driver.PathUse {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findLocked(process)
	if p == nil {
		return unwatched{}
	}
	if p.calls == 0 {
		p.waitingAt = w.cfg.Now()
	}
	p.calls++
	w.active[p] = struct{}{}
	return &use{watcher: w, path: p}
}

// end records how a call ended.
func (w *Watcher) end(p *path, err error) {
	w.mu.Lock()
	p.calls--
	if err == nil || !w.isListedLocked(p) {
		w.mu.Unlock()
		return
	}
	now := w.cfg.Now()
	switch {
	case isRefused(err):
		p.connectFailedAt, p.wasRefused = now, true
		if p.refusedAt.IsZero() && !p.hasExited() {
			p.refusedAt, p.judged = now, make(chan struct{})
		}
	case errors.Is(err, driver.ErrOutcomeUnknown) || errors.Is(err, driver.ErrNotSent):
		p.brokenAt, p.application.brokenAt = now, now
	}
	notify := w.evaluateLocked(p, now)
	w.updateReachLocked()
	w.mu.Unlock()
	notify.run()
}

// Tick evaluates the paths and starts the probes that are due.
func (w *Watcher) Tick() {
	w.mu.Lock()
	now := w.cfg.Now()
	w.updateRefusalsLocked(now)
	var notify notifications
	for p := range w.active {
		notify = append(notify, w.evaluateLocked(p, now)...)
		if p.isQuiet() {
			delete(w.active, p)
		}
	}
	w.updateReachLocked()
	for _, p := range w.dueProbesLocked(now) {
		w.startProbeLocked(p, now)
	}
	w.mu.Unlock()
	notify.run()
}

// Reach returns this host's reach of an application.
func (w *Watcher) Reach(name string) (reach Reach) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.applications[name]; a != nil {
		reach = a.reach
	}
	return reach
}

// Reduced returns the reach of each application of which this host does not reach all
// endpoints.
func (w *Watcher) Reduced() (reduced map[string]Reach) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, a := range w.applications {
		if a.reach.IsReduced() {
			if reduced == nil {
				reduced = map[string]Reach{}
			}
			reduced[name] = a.reach
		}
	}
	return reduced
}

// evaluateLocked updates whether an endpoint is reached and whether it is set aside, and judges a refused
// connection.
func (w *Watcher) evaluateLocked(p *path, now time.Time) (notify notifications) {
	if !p.refusedAt.IsZero() {
		notify = w.judgeRefusalLocked(p, now)
	}
	notify = append(notify, w.evaluateRefusalsLocked(p, now)...)
	isUnreached := w.isUnreachedLocked(p, now)
	if isUnreached == p.isUnreached {
		return notify
	}
	p.count(-1)
	p.isUnreached = isUnreached
	p.count(1)
	w.cfg.Logger.Info("reachability of endpoint changed", "endpoint_id", p.process.EndpointID, "application", p.Application,
		"is_reached", !isUnreached, "calls", p.calls, "silent_ms", now.Sub(p.lastReceived()).Milliseconds())
	if isUnreached {
		p.application.unreached++
	} else {
		p.application.unreached--
	}
	return append(notify, func() { w.notifyReached(p.process) })
}

// notifyReached calls OnReached or OnUnreached by the present state: another evaluation may have
// changed it, and its notification come first.
func (w *Watcher) notifyReached(process driver.Process) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.mu.Lock()
	p := w.findLocked(process)
	isUnreached := p != nil && p.isUnreached
	w.mu.Unlock()
	if isUnreached {
		w.cfg.OnUnreached(process)
	} else {
		w.cfg.OnReached(process)
	}
}

// isUnreachedLocked reports whether connections to an endpoint fail while nothing arrives from
// it. A connection that times out is not enough while the application's other endpoints are
// reached: its first packet may have been lost.
func (w *Watcher) isUnreachedLocked(p *path, now time.Time) bool {
	switch {
	case !p.hasFailed():
		return false
	case p.isUnreached || p.hasExited():
		return true
	case p.wasRefused:
		return p.calls == 0 || p.refusedAt.IsZero() || now.Sub(p.refusedAt) >= refusalGrace
	default:
		return now.Sub(p.lastReceived()) >= loneSilenceTimeout || p.application.isSilent(now)
	}
}

func (a *application) lastReceived() time.Time { return time.Unix(0, a.receivedAt.Load()) }

// silence returns how long nothing has arrived from any endpoint.
func (a *application) silence(now time.Time) time.Duration { return now.Sub(a.lastReceived()) }

// isSilent reports whether nothing has arrived from any endpoint for silenceTimeout, and at
// least two of several endpoints have failed.
func (a *application) isSilent(now time.Time) bool {
	if a.silence(now) < silenceTimeout {
		return false
	}
	failed := 0
	for p := range a.paths {
		if p.hasFailed() {
			if failed++; failed >= 2 {
				return true
			}
		}
	}
	return false
}

// count adds the path to the counts of its application, or removes it.
func (p *path) count(n int) {
	reach := p.application.counts[p.IsAuxiliary]
	reach.Listed += n
	if !p.isUnreached {
		reach.Reached += n
	}
}

func (p *path) setAuxiliary(isAuxiliary bool) {
	p.count(-1)
	p.IsAuxiliary = isAuxiliary
	p.count(1)
}

func (a *application) countReach() Reach {
	auxiliary, others := a.counts[true], a.counts[false]
	reach := Reach{Reached: auxiliary.Reached + others.Reached, Listed: auxiliary.Listed + others.Listed}
	if others.Reached == 0 && others.Listed > 0 {
		reach.Reached = 0
	}
	return reach
}

// updateReachLocked recounts the endpoints that are reached.
func (w *Watcher) updateReachLocked() {
	now := w.cfg.Now()
	for _, a := range w.applications {
		reach := a.countReach()
		switch {
		case a.unreached < lostSample:
			a.sampledAt = time.Time{}
		case a.sampledAt.IsZero():
			a.sampledAt = now
		}
		if !a.sampledAt.IsZero() && a.silence(now) >= now.Sub(a.sampledAt) && a.silence(now) >= silenceTimeout {
			reach.Reached = 0
		}
		wasLost := a.reach.IsLost()
		a.reach = reach
		switch {
		case reach.IsLost() && !wasLost:
			a.lostAt = now
			w.cfg.Logger.Warn("no endpoint of the application is reached", "application", a.name, "endpoints", reach.Listed)
		case !reach.IsLost() && wasLost:
			w.cfg.Logger.Info("endpoints of the application are reached again", "application", a.name, "reached", reach.Reached,
				"endpoints", reach.Listed, "lost_for_ms", now.Sub(a.lostAt).Milliseconds())
		}
	}
}
