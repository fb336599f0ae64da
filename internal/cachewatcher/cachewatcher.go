// Package cachewatcher receives the cache events of some engines with a long poll to
// each of them. Package cachesharer selects the engines and publishes the events to
// the other hosts.
//
// # Usage
//
//	w := cachewatcher.New(cachewatcher.Config{Driver: drv, OnEvents: sharer.ApplyEvents, ...})
//	w.SetTargets(engines, isIdle) // those that this host watches
//	defer w.Close()
package cachewatcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/driver"
)

const (
	// longPollTimeout is how long an engine may hold a call until there are events; engines
	// allow one second.
	longPollTimeout = time.Second
	// pollPause is the pause between two calls to an engine, so that a busy engine returns
	// many changes per call.
	pollPause = 100 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = time.Second
	// maxIdlePolled is how many idle engines are polled at most.
	maxIdlePolled = 32
)

// Config configures a Watcher.
type Config struct {
	Driver driver.Forwarder
	// OnEvents receives the events of one engine process. isSnapshot means that they list
	// everything that the engine has cached, not the changes.
	OnEvents func(target driver.Target, events driver.CacheEvents, isSnapshot bool)
	// BackoffRemaining returns for how much longer a process wants no requests from this host;
	// nil: always 0.
	BackoffRemaining func(process driver.Process) time.Duration
	Logger           hclog.Logger
}

// Watcher watches the caches of engines. It is safe for concurrent use.
type Watcher struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu      sync.Mutex
	watched map[driver.Target]context.CancelFunc
	// paused holds the progress of targets that are not polled at present.
	paused map[driver.Target]progress
	closed bool
}

// New creates a Watcher without targets.
func New(cfg Config) *Watcher {
	if cfg.BackoffRemaining == nil {
		cfg.BackoffRemaining = func(driver.Process) time.Duration { return 0 }
	}
	w := &Watcher{cfg: cfg, watched: map[driver.Target]context.CancelFunc{}, paused: map[driver.Target]progress{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close cancels all calls and waits for them.
func (w *Watcher) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	return w.group.Wait()
}

// SetTargets sets the engine processes that this host watches. isIdle is true for those whose
// caches change little at present; these are not polled, except for a few, so that a small
// fleet learns of their first use at once.
func (w *Watcher) SetTargets(targets []driver.Target, isIdle func(process driver.Process) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	kept, wanted := make(map[driver.Target]bool, len(targets)), make(map[driver.Target]bool, len(targets))
	started, stopped, idle := 0, 0, 0
	for _, target := range targets {
		kept[target] = true
		if isIdle(target.Process()) {
			if idle++; idle > maxIdlePolled {
				continue
			}
		}
		wanted[target] = true
		if w.watched[target] == nil {
			started++
			ctx, cancel := context.WithCancel(w.ctx)
			w.watched[target] = cancel
			state := w.paused[target]
			delete(w.paused, target)
			w.group.Go(func() error { return w.watch(ctx, target, state) })
		}
	}
	maps.DeleteFunc(w.paused, func(target driver.Target, _ progress) bool { return !kept[target] })
	for target, cancel := range w.watched {
		if !wanted[target] {
			stopped++
			cancel()
			delete(w.watched, target)
			if kept[target] {
				w.paused[target] = progress{}
			}
		}
	}
	if started+stopped > 0 {
		w.cfg.Logger.Info("engines polled for cache events changed", "engines", len(w.watched), "begun", started, "ended", stopped, "kept", len(kept))
	}
}

// watch polls one engine until ctx ends.
func (w *Watcher) watch(ctx context.Context, target driver.Target, state progress) error {
	defer w.pause(target, &state)
	for ctx.Err() == nil {
		if left := w.cfg.BackoffRemaining(target.Process()); left > 0 {
			sleep(ctx, left)
			continue
		}
		pause := pollPause
		if err := w.poll(ctx, target, &state); err != nil && ctx.Err() == nil {
			w.cfg.Logger.Debug("can't get cache events of an engine", "endpoint_id", target.EndpointID, "error", err)
			pause = retryDelay
		}
		sleep(ctx, pause)
	}
	return nil
}

// pause stores the progress of a target that may be watched again.
func (w *Watcher) pause(target driver.Target, state *progress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, isPaused := w.paused[target]; isPaused {
		w.paused[target] = *state
	}
}

// progress is the position up to which an engine's events have been received.
type progress struct {
	epoch string
	next  int64
}

// poll waits for events and passes them on. After a gap, or a restart of the engine, it reads
// everything again.
func (w *Watcher) poll(ctx context.Context, target driver.Target, p *progress) error {
	events, err := w.cfg.Driver.CacheEvents(ctx, target, p.next, longPollTimeout)
	if err != nil {
		return err
	}
	isSnapshot := events.HasGap || p.epoch != "" && events.Epoch != p.epoch
	if isSnapshot {
		if events, err = w.cfg.Driver.CacheList(ctx, target); err != nil {
			return err
		}
	}
	p.epoch, p.next = events.Epoch, events.Next
	w.cfg.OnEvents(target, events, isSnapshot)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
