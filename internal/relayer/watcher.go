package relayer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
)

// watcher is one open watch, of the store or of peers.
type watcher struct {
	ctx     context.Context
	cancel  context.CancelFunc
	changes chan []provider.Change
	group   errgroup.Group
	err     error // written before changes is closed
}

func newWatcher(ctx context.Context) *watcher {
	w := &watcher{changes: make(chan []provider.Change)}
	w.ctx, w.cancel = context.WithCancel(ctx)
	return w
}

// Changes closes when the watch has ended.
func (w *watcher) Changes() <-chan []provider.Change { return w.changes }

// Err says why the watch ended.
func (w *watcher) Err() error { return w.err }

// Close ends the watch and waits.
func (w *watcher) Close() error {
	w.cancel()
	return w.group.Wait()
}

// deliver hands changes over; none of them say that the store is heard. It is
// false when the watch has been closed.
func (w *watcher) deliver(changes []provider.Change) bool {
	select {
	case w.changes <- changes:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *watcher) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}
