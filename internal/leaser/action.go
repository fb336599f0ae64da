package leaser

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
)

// Action is an operation that this process performs under its authority, such as
// sending an order.
type Action struct {
	leaser *Leaser
	epoch  int64
	ctx    context.Context
	cancel context.CancelFunc
}

// Context returns a context that ends when the authority is lost, fenced or
// expired, or when the context passed to Begin ends.
func (a *Action) Context() context.Context { return a.ctx }

// Done ends the action. It may be called more than once.
func (a *Action) Done() {
	a.cancel()
	a.leaser.removeAction(a)
}

// Begin starts an action at an epoch that this process has written. It fails with
// ErrNotHolder or ErrFenced. A process that is frozen after Begin may still act
// when it resumes, which is why its intent must be in the record first.
func (l *Leaser) Begin(ctx context.Context, epoch int64) (*Action, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case epoch <= l.fencedThrough:
		return nil, ErrFenced
	case !l.validLocked() || epoch < l.record.Term || epoch > l.record.Epoch:
		return nil, ErrNotHolder
	}
	action := &Action{leaser: l, epoch: epoch}
	action.ctx, action.cancel = context.WithCancel(ctx)
	l.actions[action] = struct{}{}
	return action, nil
}

func (l *Leaser) removeAction(action *Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.actions, action)
	l.signalAllDone()
}

func (l *Leaser) signalAllDone() {
	if l.allDone != nil && len(l.actions) == 0 {
		close(l.allDone)
		l.allDone = nil
	}
}

// Fence guarantees a successor that this process starts no action at or below epoch
// any more, and cancels the running ones. idle reports whether none of them is
// running. Once idle is true for an epoch, it stays true.
func (l *Leaser) Fence(epoch int64) (idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencedThrough = max(l.fencedThrough, epoch)
	if l.held && l.record.Epoch <= epoch {
		l.loseAuthorityLocked("succeeded")
		l.wakeRun()
	}
	idle = true
	for action := range l.actions {
		if action.epoch <= epoch {
			action.cancel()
			idle = false
		}
	}
	return idle
}

func (l *Leaser) cancelActions() {
	for action := range l.actions {
		action.cancel()
	}
}

func (l *Leaser) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// StepDown is the planned stop: it starts no more actions, waits until none is
// running and then releases the lease. If ctx ends first, the lease is left to
// expire, because something may be unsent. The Leaser doesn't try to acquire the
// authority again.
func (l *Leaser) StepDown(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "step down") }()
	select {
	case <-l.stop():
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.release(ctx)
}

// Close stops the Leaser, waits for Run, and releases the lease if no action is
// running.
func (l *Leaser) Close() (err error) {
	idle := l.stop()
	l.mu.Lock()
	running := l.running
	l.mu.Unlock()
	if running {
		<-l.runEnded
	}
	select {
	case <-idle:
	default:
		return nil // the lease expires; a successor requests proof
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.TTL)
	defer cancel()
	return eris.Wrap(l.release(ctx), "close leaser")
}

// stop prevents the Leaser from taking over and from starting actions. The returned
// channel is closed when no action is running.
func (l *Leaser) stop() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.wakeRun()
	idle := make(chan struct{})
	if len(l.actions) == 0 {
		close(idle)
		return idle
	}
	if l.allDone == nil {
		l.allDone = idle
	}
	return l.allDone
}

// release revokes the lease. A lease that can't be revoked expires.
func (l *Leaser) release(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	l.held, l.lease, l.validUntil = false, provider.NoLease, time.Time{}
	l.mu.Unlock()
	if lease == provider.NoLease {
		return nil
	}
	err := l.cfg.Store.Revoke(ctx, lease)
	if errors.Is(err, provider.ErrLeaseLost) {
		return nil
	}
	return err
}
