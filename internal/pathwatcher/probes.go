package pathwatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/timekeeper"
)

// This file chooses the paths to probe and records the results.

// dueProbesLocked returns the paths to probe now, those whose last probe is longest ago first.
func (w *Watcher) dueProbesLocked(now time.Time) (due []*path) {
	suspicious := map[*application]time.Time{} // with the time of the latest failure
	for p := range w.active {
		isNew := !p.isUnreached || !p.refusedAt.IsZero() || p.application.silence(now) >= silenceTimeout
		if p.hasFailed() && isNew && p.connectFailedAt.After(suspicious[p.application]) {
			suspicious[p.application] = p.connectFailedAt
		}
		if !p.isProbing && now.Sub(p.probedAt) >= w.probeIntervalLocked(p) && (p.isUnreached || p.isReported || p.isVerifying || p.isSetAside || p.isSuspect(now)) {
			due = append(due, p)
		}
	}
	for a, failedAt := range suspicious {
		due = append(due, a.toCompare(failedAt, now)...)
	}
	slices.SortFunc(due, func(a, b *path) int {
		return cmp.Or(a.probedAt.Compare(b.probedAt), cmp.Compare(a.process.EndpointID, b.process.EndpointID))
	})
	return due[:min(len(due), max(maxProbes-w.probes, 0))]
}

// toCompare returns endpoints to probe because another one has failed: up to
// maxComparedEndpoints, or all while none is reached.
func (a *application) toCompare(failedAt, now time.Time) (due []*path) {
	reached := 0
	for p := range a.paths {
		switch {
		case p.connectedAt.After(failedAt):
			reached++
		case !p.hasFailed() && !p.isProbing && now.Sub(p.probedAt) >= probeInterval && !p.isSuspect(now):
			due = append(due, p)
		}
	}
	if reached > 0 {
		due = due[:min(len(due), max(maxComparedEndpoints-reached, 0))]
	}
	return due
}

func (w *Watcher) startProbeLocked(p *path, now time.Time) {
	if w.ctx.Err() != nil {
		return
	}
	p.isProbing, p.probedAt = true, now
	w.active[p] = struct{}{}
	w.probes++
	w.group.Go(func() error {
		ctx, cancel := timekeeper.WithTimeout(w.ctx, probeTimeout)
		defer cancel()
		w.probed(p, w.cfg.Probe(ctx, p.Target))
		return nil
	})
}

// probed records the result of a probe.
func (w *Watcher) probed(p *path, err error) {
	w.mu.Lock()
	now := w.cfg.Now()
	w.probes--
	wasReported, wasVerifying := p.isReported, p.isVerifying
	p.isProbing, p.isReported, p.isVerifying = false, false, false
	if w.ctx.Err() != nil || !w.isListedLocked(p) {
		w.mu.Unlock()
		return
	}
	var notify notifications
	switch {
	case err == nil:
		p.connectedAt = now
		if wasVerifying {
			p.contradictedUntil = now.Add(contradictedTime)
		}
	case !isRefused(err): // end has recorded a refused connection
		p.connectFailedAt, p.wasRefused = now, false
	case wasReported:
		p.isExitReported = true
	}
	notify = append(notify, w.evaluateLocked(p, now)...)
	w.updateReachLocked()
	w.startVerificationsLocked(now) // those of many endpoints would take several ticks otherwise
	w.mu.Unlock()
	notify.run()
}
