package pathwatcher

import (
	"context"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// This file decides which refused connections show that an endpoint's process has exited.

// comparison counts the other endpoints to which connections were tried after one was refused.
// Data from them shows less: it may arrive over connections that were open before.
type comparison struct{ reached, failed, untried int }

// compareLocked compares the other endpoints of the same application, or all others if it has
// no other.
func (w *Watcher) compareLocked(refused *path) (c comparison) {
	if len(refused.application.paths) > 1 {
		for p := range refused.application.paths {
			c.add(p, refused)
		}
		return c
	}
	for _, p := range w.paths {
		c.add(p, refused)
	}
	return c
}

func (c *comparison) add(p, refused *path) {
	switch {
	case p == refused || p.hasExited():
	case p.connectedAt.After(refused.refusedAt):
		c.reached++
	case p.hasFailed():
		c.failed++
	default:
		c.untried++
	}
}

// judgeRefusalLocked decides whether a refused connection shows that the process has exited.
func (w *Watcher) judgeRefusalLocked(p *path, now time.Time) (notify notifications) {
	w.startPingLocked(p, now)
	switch {
	case p.lastReceived().After(p.refusedAt):
		w.rejectExitLocked(p, "data has arrived since")
		if p.hasFailed() { // refused again after that data
			p.refusedAt, p.judged = p.connectFailedAt, make(chan struct{})
			return nil
		}
		return notifications{func() { w.notifyReached(p.process) }}
	case p.isPinging && now.Sub(p.refusedAt) < refusalGrace:
		return nil
	case p.isExitReported && (p.calls == 0 || now.Sub(p.refusedAt) >= refusalGrace || now.Sub(p.lastReceived()) >= contactTime):
		return w.confirmExitLocked(p, now, "reported by a peer and verified")
	case p.application.brokenAt.Before(p.application.lastReceived()) && !p.brokenAt.After(p.lastReceived()) && w.isConnectedLocked(p):
		if p.silence(now) >= loneSilenceTimeout {
			w.rejectExitLocked(p, "another connection is open, but nothing arrives")
			return nil // unreached, as if the connection had timed out
		}
		w.rejectExitLocked(p, "another connection is open")
		p.connectFailedAt = time.Time{}
		return notifications{func() { w.notifyReached(p.process) }}
	case p.calls > 0 && now.Sub(p.refusedAt) < refusalGrace:
		return nil
	}
	c := w.compareLocked(p)
	isCompared := c.reached+c.failed >= maxComparedEndpoints || c.untried == 0
	switch {
	case p.isAsking:
	case isCompared && c.reached > c.failed:
		return w.askElsewhereLocked(p, now)
	case isCompared && c.failed > 0 || now.Sub(p.refusedAt) >= exitJudgingTime:
		w.rejectExitLocked(p, "other endpoints are not reached either")
	}
	return nil
}

// isConnectedLocked reports whether an idle connection is open as far as the kernel knows.
func (w *Watcher) isConnectedLocked(p *path) bool {
	return p.isPinging || w.cfg.IsConnected(p.Target)
}

// startPingLocked verifies the idle connections to a process by a request: those to a machine that has
// lost power stay open until they are used. Data that arrives in a call shows as much.
func (w *Watcher) startPingLocked(p *path, now time.Time) {
	isInContact := p.calls > 0 && now.Sub(p.lastReceived()) < contactTime
	if w.cfg.Ping == nil || w.ctx.Err() != nil || p.isPinging || isInContact || now.Sub(p.pingedAt) < pingInterval || !w.cfg.IsConnected(p.Target) {
		return
	}
	p.isPinging, p.pingedAt = true, now
	w.active[p] = struct{}{}
	w.group.Go(func() error {
		ctx, cancel := timekeeper.WithTimeout(w.ctx, pingTimeout)
		defer cancel()
		w.pinged(p, w.cfg.Ping(ctx, p.Target))
		return nil
	})
}

// pinged records the result of a ping.
func (w *Watcher) pinged(p *path, err error) {
	w.mu.Lock()
	now := w.cfg.Now()
	p.isPinging = false
	if w.ctx.Err() != nil || !w.isListedLocked(p) {
		w.mu.Unlock()
		return
	}
	w.cfg.Logger.Info("idle connections verified after a refused one", "endpoint_id", p.process.EndpointID, "application", p.Application,
		"is_answered", err == nil, "is_connected", w.cfg.IsConnected(p.Target), "silent_ms", now.Sub(p.lastReceived()).Milliseconds(), "took_ms", now.Sub(p.pingedAt).Milliseconds())
	if err == nil {
		p.receive(now)
	}
	notify := w.evaluateLocked(p, now)
	w.updateReachLocked()
	w.mu.Unlock()
	notify.run()
}

// askElsewhereLocked has other hosts confirm an exit that this one has concluded from reaching other
// endpoints: a path to one endpoint may have broken.
func (w *Watcher) askElsewhereLocked(p *path, now time.Time) notifications {
	const reason = "other endpoints are reached"
	if w.cfg.IsReachedElsewhere == nil || w.ctx.Err() != nil {
		return w.confirmExitLocked(p, now, reason)
	}
	p.isAsking = true
	judged := p.judged
	w.group.Go(func() error {
		isReached := w.cfg.IsReachedElsewhere(w.ctx, p.process)
		w.mu.Lock()
		var notify notifications
		if p.judged == judged && w.ctx.Err() == nil { // nothing has decided it meanwhile
			now := w.cfg.Now()
			switch {
			case p.lastReceived().After(p.refusedAt):
				p.isAsking = false // judged by that data below
			case isReached:
				w.rejectExitLocked(p, "another host reaches it")
			default:
				notify = w.confirmExitLocked(p, now, reason)
			}
			notify = append(notify, w.evaluateLocked(p, now)...)
			w.updateReachLocked()
		}
		w.mu.Unlock()
		notify.run()
		return nil
	})
	return nil
}

func (w *Watcher) rejectExitLocked(p *path, reason string) {
	w.cfg.Logger.Info("refused connection not taken for an exit", "endpoint_id", p.process.EndpointID, "application", p.Application, "reason", reason)
	p.finishJudging()
}

func (w *Watcher) confirmExitLocked(p *path, now time.Time, reason string) notifications {
	w.cfg.Logger.Info("endpoint process exited", "endpoint_id", p.process.EndpointID, "incarnation", p.process.Incarnation, "reason", reason)
	p.exitedAt = now
	p.finishJudging()
	return notifications{func() { w.cfg.OnExit(p.process) }}
}

// ConfirmExit records the exit of a process to which this host's connections are refused, on other
// evidence than this host's own paths.
func (w *Watcher) ConfirmExit(process driver.Process, reason string) {
	w.mu.Lock()
	var notify notifications
	if p := w.findLocked(process); p != nil && !p.hasExited() && p.hasFailed() {
		notify = w.confirmExitLocked(p, w.cfg.Now(), reason)
	}
	w.mu.Unlock()
	notify.run()
}

// finishJudging ends the judgement of a refused connection.
func (p *path) finishJudging() {
	if p.judged != nil {
		close(p.judged)
	}
	p.refusedAt, p.judged, p.isExitReported, p.isAsking = time.Time{}, nil, false, false
}

// HasExited reports whether the exit of a process has been confirmed. A process that is not
// listed any more counts as exited.
func (w *Watcher) HasExited(process driver.Process) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findLocked(process)
	return p == nil || p.hasExited()
}

// hasExited reports whether the exit is confirmed and nothing has arrived since.
func (p *path) hasExited() bool { return !p.exitedAt.IsZero() && !p.lastReceived().After(p.exitedAt) }

// AwaitExit waits until a refused connection to a process has been judged, and reports whether
// the process has exited.
func (w *Watcher) AwaitExit(ctx context.Context, process driver.Process) bool {
	w.mu.Lock()
	var judged chan struct{}
	if p := w.findLocked(process); p != nil {
		judged = p.judged
	}
	w.mu.Unlock()
	if judged != nil {
		select {
		case <-judged:
		case <-ctx.Done():
			return false
		}
	}
	return w.HasExited(process)
}

// ReceivedSince reports whether data has arrived from a process, or a connection to it was accepted,
// after a time.
func (w *Watcher) ReceivedSince(process driver.Process, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findLocked(process)
	return p != nil && p.lastReceived().After(at)
}

// IsAlive reports whether open connections to a process that refuses new ones show that it is alive. If
// it has exited, they end within aliveDelay.
func (w *Watcher) IsAlive(ctx context.Context, process driver.Process) bool {
	ticker := time.NewTicker(aliveDelay / 5)
	defer ticker.Stop()
	w.verifyIdle(process)
	for started := w.cfg.Now(); ; {
		isAlive, isPinging := w.looksAlive(process)
		if !isAlive && !isPinging || w.cfg.Now().Sub(started) >= aliveDelay {
			return isAlive
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		case <-w.ctx.Done():
			return false
		}
	}
}

func (w *Watcher) verifyIdle(process driver.Process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.findLocked(process); p != nil {
		w.startPingLocked(p, w.cfg.Now())
	}
}

// looksAlive reports whether data has just arrived over a connection that is still open. Connections to a
// machine that has lost power stay open, so that their state alone shows nothing.
func (w *Watcher) looksAlive(process driver.Process) (isAlive, isPinging bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findLocked(process)
	if p == nil {
		return false, false
	}
	silence := w.cfg.Now().Sub(p.lastReceived())
	return p.calls > 0 && silence < contactTime || silence < idleContactTime && w.isConnectedLocked(p), p.isPinging
}

// IsExitPlausible reports whether a peer's report of an exit, which the peer observed some time
// ago, agrees with what this host knows. If data had arrived from the process shortly before, the
// report is verified by a probe, and OnExit is called if it is confirmed.
func (w *Watcher) IsExitPlausible(process driver.Process, age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findLocked(process)
	if p == nil || p.hasExited() {
		return true
	}
	now, received := w.cfg.Now(), p.lastReceived()
	switch {
	case received.After(now.Add(-age)):
		return false
	case p.brokenAt.After(received) || p.hasFailed():
		return true // this host's own calls agree
	case now.Sub(received) < recentContact:
		p.isReported = true
		w.active[p] = struct{}{}
		return false
	default:
		return true
	}
}
