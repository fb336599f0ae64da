package pathwatcher

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/driver"
)

// This file combines the refused connections of several hosts. They show that further attempts at
// a process are useless, not that it has exited: the paths of a zone may break together.

const (
	// minRefusedHosts is the number of hosts whose connections a process has refused from which it
	// is set aside. One host's path may be broken.
	minRefusedHosts = 2
	// ownRefusalTime is how long after its refused connection a host reports it to its peers. Probers
	// renew it with each probe, every idleProbeInterval.
	ownRefusalTime = idleProbeInterval + probeTimeout + 100*time.Millisecond
	// refusalLifetime is how long a peer's refused connection counts; see exchanger.RefusalLifetime.
	refusalLifetime = 2500 * time.Millisecond
	// wantedProbers is how many hosts go on probing a process that is set aside. With five expected
	// ones, it has at least two in 0.96 of all cases. With fewer, the refusals expire and all hosts
	// probe again.
	wantedProbers = 5
	// setAsideProbeInterval is the time between two probes of a process that is set aside by a host
	// that is not one of its probers. It bounds how long an outdated refusal has an effect.
	setAsideProbeInterval = 5 * time.Second
	// contradictedTime is for how long peers' refused connections are ignored after this host has
	// reached the process nevertheless: their paths are broken, and stay so for some time.
	contradictedTime = 10 * time.Second
)

// Refusal is a process that has refused connections of one or several hosts.
type Refusal struct {
	Process driver.Process
	Hosts   int
	At      time.Time // of the latest refused connection
}

// Refusals returns the processes that have recently refused connections of this host, as of the
// latest Tick, ordered by endpoint id.
func (w *Watcher) Refusals() []Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ownRefusals
}

// SetRefusals replaces what a source, which is a peer or a sum over several, states of refused
// connections.
func (w *Watcher) SetRefusals(source string, refusals []Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(refusals) == 0 {
		delete(w.refusals, source)
		return
	}
	byProcess := make(map[driver.Process]Refusal, len(refusals))
	for _, r := range refusals {
		byProcess[r.Process] = r
		if p := w.findLocked(r.Process); p != nil {
			w.active[p] = struct{}{} // evaluated by the next Tick
		}
	}
	w.refusals[source] = byProcess
}

// CountSetAside returns the number of processes that are set aside.
func (w *Watcher) CountSetAside() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.active {
		if p.isSetAside {
			n++
		}
	}
	return n
}

// refusedHostsLocked returns how many hosts a process has refused since data last arrived from it here.
func (w *Watcher) refusedHostsLocked(p *path, now time.Time) (hosts int) {
	received := p.lastReceived()
	for _, refusals := range w.refusals {
		if r, ok := refusals[p.process]; ok && now.Sub(r.At) < refusalLifetime && r.At.After(received) {
			hosts += r.Hosts
		}
	}
	if p.isRefusedRecently(now) {
		hosts++
	}
	return hosts
}

// isRefusedRecently reports whether this host reports to its peers that the process refuses connections.
func (p *path) isRefusedRecently(now time.Time) bool {
	return p.wasRefused && p.hasFailed() && now.Sub(p.connectFailedAt) < ownRefusalTime
}

// evaluateRefusalsLocked updates whether a process is set aside. The refusals of peers are first
// verified by a probe: their paths may be broken, and a host that shares many endpoints with many
// hosts has had data from most of them more than a few seconds ago.
func (w *Watcher) evaluateRefusalsLocked(p *path, now time.Time) (notify notifications) {
	hosts := w.refusedHostsLocked(p, now)
	isSetAside := hosts >= minRefusedHosts && (p.hasFailed() || now.After(p.contradictedUntil))
	switch {
	case p.isSetAside && !p.hasFailed() && p.lastReceived().After(p.setAsideAt):
		p.contradictedUntil = now.Add(contradictedTime)
		isSetAside = false
	case isSetAside && !p.isSetAside && !p.hasFailed():
		p.isVerifying, isSetAside = true, false
	}
	if isSetAside == p.isSetAside {
		return nil
	}
	p.isSetAside = isSetAside
	if isSetAside {
		p.setAsideAt = now
	}
	w.cfg.Logger.Info("endpoint that refuses several hosts", "endpoint_id", p.process.EndpointID, "incarnation", p.process.Incarnation,
		"application", p.Application, "is_set_aside", isSetAside, "hosts", hosts, "is_refused_here", p.hasFailed(),
		"silent_ms", now.Sub(p.lastReceived()).Milliseconds())
	process := p.process
	return notifications{func() { w.notifySetAside(process) }}
}

// notifySetAside calls OnSetAside with the present state. A probe may end, and its notification come
// first, before that of the Tick that has started it.
func (w *Watcher) notifySetAside(process driver.Process) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.mu.Lock()
	p := w.findLocked(process)
	isSetAside := p != nil && p.isSetAside
	w.mu.Unlock()
	w.cfg.OnSetAside(process, isSetAside)
}

// startVerificationsLocked starts the probes that verify refusals of peers, as far as maxProbes allows.
func (w *Watcher) startVerificationsLocked(now time.Time) {
	for p := range w.active {
		if w.probes >= maxProbes {
			return
		}
		if p.isVerifying && !p.isProbing && now.Sub(p.probedAt) >= probeInterval {
			w.startProbeLocked(p, now)
		}
	}
}

// updateRefusalsLocked removes the refusals of peers that have expired, and collects those of this host.
func (w *Watcher) updateRefusalsLocked(now time.Time) {
	for source, refusals := range w.refusals {
		for process, r := range refusals {
			if now.Sub(r.At) >= refusalLifetime {
				delete(refusals, process)
			}
		}
		if len(refusals) == 0 {
			delete(w.refusals, source)
		}
	}
	w.ownRefusals = nil
	for p := range w.active {
		if p.isRefusedRecently(now) {
			w.ownRefusals = append(w.ownRefusals, Refusal{Process: p.process, Hosts: 1, At: p.connectFailedAt})
		}
	}
	slices.SortFunc(w.ownRefusals, func(a, b Refusal) int { return strings.Compare(a.Process.EndpointID, b.Process.EndpointID) })
}

// probeIntervalLocked returns the least time between two probes of an endpoint.
func (w *Watcher) probeIntervalLocked(p *path) time.Duration {
	switch {
	case !p.isUnreached && !p.isSetAside:
		return probeInterval
	case p.isSetAside && !p.hasFailed() && !p.probedAt.After(p.setAsideAt):
		return probeInterval // only peers have been refused so far
	case !p.hasExited() && w.cfg.HasBetterPeer(p.Application, p.application.reach):
		return probeInterval // this host's own path is probably broken
	case p.isSetAside && !w.isProberLocked(p):
		return setAsideProbeInterval
	default:
		return idleProbeInterval
	}
}

// isProberLocked reports whether this host is one of those that go on probing a process that is set
// aside: each host decides by a hash, without knowing the decisions of others.
func (w *Watcher) isProberLocked(p *path) bool {
	if w.cfg.Hosts == nil {
		return true
	}
	hosts := uint64(max(w.cfg.Hosts(), 1))
	return xxhash.Sum64String(w.cfg.HostID+"\x00"+p.process.EndpointID+"\x00"+p.process.Incarnation)%hosts < wantedProbers
}
