// Package accountant counts the requests whose run has started, by tenant and time window, over
// all entry hosts.
//
// Each host counts its own requests. Counts are running totals, kept per host and incarnation and
// merged by maximum, so updates may be lost, duplicated or reordered, and the counts of a killed
// process remain with the hosts that received them.
//
// # Usage
//
//	a := accountant.New(accountant.Config{HostID: id, Incarnation: run, Window: 5 * time.Second, Now: clock.Now})
//	a.Count("tenant")
//	a.Tick() // publishes what has been counted
//	counts := a.Totals(a.WindowAt(clock.Now()) - 1)
package accountant

import (
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
)

const (
	// retainedWindows is the number of windows on each side of the current one for which counts
	// are kept.
	retainedWindows = 12
	// publishInterval is how often new counts of this host are published.
	publishInterval = time.Second
	// updateLogLength is the number of updates kept for peers that lag behind.
	updateLogLength = 1024
	// maxNameBytes, maxHosts and maxTenants bound the memory that peers can make this host use.
	maxNameBytes = 200
	maxHosts     = 2048
	maxTenants   = 1 << 17
)

// Config configures an Accountant.
type Config struct {
	HostID      string
	Incarnation string
	Window      time.Duration // length of a window; 0 disables counting
	// Now returns the current time. It is close to true time and isn't stepped while the process
	// runs, unlike the system's wall clock, which may jump.
	Now func() time.Time
	// WantsAllCounts reports whether this host reports the usage of all hosts. Nil means that it
	// never does.
	WantsAllCounts func() bool
}

// processID identifies one process of an entry host.
type processID struct{ hostID, incarnation string }

// processCounts holds the counts of one process.
type processCounts struct {
	origin  exchanger.Scope
	windows map[int64]map[string]int64 // number of requests by window and tenant
}

// Accountant counts requests per tenant and window. It implements exchanger.Usage and is safe for
// concurrent use.
type Accountant struct {
	cfg Config
	own processID

	mu          sync.Mutex
	processes   map[processID]*processCounts
	unpublished map[exchanger.UsageCount]struct{} // keys of this process's counts that have grown since they were last published
	publishedAt time.Time
	log         exchanger.UpdateLog[exchanger.UsageUpdate]
	tenantCount int // tenant names over all processes and windows
}

var _ exchanger.Usage = (*Accountant)(nil)

// New returns an Accountant without counts.
func New(cfg Config) *Accountant {
	return &Accountant{
		cfg: cfg, own: processID{cfg.HostID, cfg.Incarnation}, processes: map[processID]*processCounts{},
		unpublished: map[exchanger.UsageCount]struct{}{},
		log:         exchanger.NewUpdateLog[exchanger.UsageUpdate](updateLogLength),
	}
}

// Enabled reports whether usage is counted.
func (a *Accountant) Enabled() bool { return a.cfg.Window > 0 }

// WindowAt returns the number of the window that contains at. Windows are numbered from the Unix
// epoch (the start of 1970).
func (a *Accountant) WindowAt(at time.Time) int64 {
	return at.UnixMilli() / a.cfg.Window.Milliseconds()
}

// WindowEnd returns when a window ends.
func (a *Accountant) WindowEnd(window int64) time.Time {
	return time.UnixMilli((window + 1) * a.cfg.Window.Milliseconds())
}

// Count records that the run of a tenant's request has started.
func (a *Accountant) Count(tenant string) {
	if !a.Enabled() {
		return
	}
	window := a.WindowAt(a.cfg.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.countsLocked(a.own, exchanger.ScopeOwn, window)
	if counts == nil {
		return
	}
	counts[tenant]++
	a.unpublished[exchanger.UsageCount{Window: window, Tenant: tenant}] = struct{}{}
}

// countsLocked returns the modifiable counts of a process in a window. It returns nil if the
// window is outside the retained range or too many processes are known.
func (a *Accountant) countsLocked(p processID, origin exchanger.Scope, window int64) map[string]int64 {
	current := a.WindowAt(a.cfg.Now())
	if window <= current-retainedWindows || window > current+retainedWindows {
		return nil
	}
	s := a.processes[p]
	if s == nil {
		if len(a.processes) >= maxHosts {
			return nil
		}
		s = &processCounts{origin: origin, windows: map[int64]map[string]int64{}}
		a.processes[p] = s
	}
	s.origin = min(s.origin, origin)
	if s.windows[window] == nil {
		s.windows[window] = map[string]int64{}
	}
	return s.windows[window]
}

// Tick publishes this process's counts that have grown, and drops old windows. Call it several
// times a second.
func (a *Accountant) Tick() {
	if !a.Enabled() {
		return
	}
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.publishedAt) < publishInterval {
		return
	}
	a.publishedAt = now
	a.publishLocked()
	a.pruneLocked(a.WindowAt(now) - retainedWindows)
}

func (a *Accountant) publishLocked() {
	if len(a.unpublished) == 0 {
		return
	}
	update := exchanger.UsageUpdate{HostID: a.own.hostID, Incarnation: a.own.incarnation}
	for count := range a.unpublished {
		count.Requests = a.processes[a.own].windows[count.Window][count.Tenant]
		if count.Requests > 0 {
			update.Counts = append(update.Counts, count)
		}
	}
	clear(a.unpublished)
	a.log.Add(update, exchanger.ScopeOwn)
}

// pruneLocked drops all windows up to and including last.
func (a *Accountant) pruneLocked(last int64) {
	a.tenantCount = 0
	for p, s := range a.processes {
		for window, counts := range s.windows {
			if window <= last {
				delete(s.windows, window)
				continue
			}
			a.tenantCount += len(counts)
		}
		if len(s.windows) == 0 {
			delete(a.processes, p)
		}
	}
}

// WantsAllCounts implements exchanger.Usage.
func (a *Accountant) WantsAllCounts() bool {
	return a.cfg.WantsAllCounts != nil && a.cfg.WantsAllCounts()
}

// Merge implements exchanger.Usage.
func (a *Accountant) Merge(updates []exchanger.UsageUpdate, isOwnZone bool) {
	if !a.Enabled() {
		return
	}
	origin := exchanger.ScopeAll
	if isOwnZone {
		origin = exchanger.ScopeZone
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, update := range updates {
		p := processID{update.HostID, update.Incarnation}
		if p == a.own || len(update.HostID) > maxNameBytes || len(update.Incarnation) > maxNameBytes {
			continue
		}
		changed := exchanger.UsageUpdate{HostID: update.HostID, Incarnation: update.Incarnation}
		for _, count := range update.Counts {
			if a.mergeCountLocked(p, origin, count) {
				changed.Counts = append(changed.Counts, count)
			}
		}
		if len(changed.Counts) > 0 {
			a.log.Add(changed, origin)
		}
	}
}

// mergeCountLocked merges one count. It returns false if the count was ignored or isn't higher
// than the known one.
func (a *Accountant) mergeCountLocked(p processID, origin exchanger.Scope, count exchanger.UsageCount) bool {
	if count.Requests <= 0 || len(count.Tenant) > maxNameBytes || a.tenantCount >= maxTenants {
		return false
	}
	counts := a.countsLocked(p, origin, count.Window)
	if counts == nil || counts[count.Tenant] >= count.Requests {
		return false
	}
	if counts[count.Tenant] == 0 {
		a.tenantCount++
	}
	counts[count.Tenant] = count.Requests
	return true
}

// Updates implements exchanger.Usage.
func (a *Accountant) Updates(after uint64, scope exchanger.Scope) (updates []exchanger.UsageUpdate, position uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if updates, ok := a.log.Since(after, scope); ok {
		return updates, a.log.Head()
	}
	for p, s := range a.processes {
		if s.origin > scope {
			continue
		}
		update := exchanger.UsageUpdate{HostID: p.hostID, Incarnation: p.incarnation}
		for window, counts := range s.windows {
			for tenant, requests := range counts {
				update.Counts = append(update.Counts, exchanger.UsageCount{Window: window, Tenant: tenant, Requests: requests})
			}
		}
		updates = append(updates, update)
	}
	return updates, a.log.Head()
}

// Totals returns the number of requests per tenant whose run started in a window, as far as this
// host knows.
func (a *Accountant) Totals(window int64) map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := map[string]int64{}
	for _, s := range a.processes {
		for tenant, requests := range s.windows[window] {
			totals[tenant] += requests
		}
	}
	return totals
}
