package relayer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
)

// watcher is an open watch of the store or of peers. It implements
// provider.Watcher.
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

// Changes returns a channel that is closed when the watch has ended.
func (w *watcher) Changes() <-chan []provider.Change { return w.changes }

// Err returns why the watch ended. It is valid once Changes is closed.
func (w *watcher) Err() error { return w.err }

// Close ends the watch and waits for its goroutines.
func (w *watcher) Close() error {
	w.cancel()
	return w.group.Wait()
}

// deliver passes changes on; an empty batch means that the store is reachable. It
// returns false if the watch has been closed.
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
