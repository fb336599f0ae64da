package quarantiner

import (
	"context"
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// A host that has just started knows none of the requests that its peers have quarantined. Its first
// requests wait until it has received them.

// maxSyncWait bounds that wait. Peers that don't answer within it are unreachable or suspended.
const maxSyncWait = 300 * time.Millisecond

// Start begins to fetch what peers know.
func (q *Quarantiner) Start() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cfg.Fetch == nil || q.ctx.Err() != nil {
		return
	}
	q.group.Go(func() error {
		q.fetch()
		return nil
	})
}

// fetch ends early if a request has waited for too long.
func (q *Quarantiner) fetch() {
	started := q.cfg.Now()
	err := q.cfg.Fetch(q.syncCtx)
	if q.syncCtx.Err() == nil {
		q.cfg.Logger.Info("requests that crash endpoints fetched from peers", "requests", q.Count(), "took_ms", q.cfg.Now().Sub(started).Milliseconds(), "error", errorText(err))
	}
	q.endSync()
}

// AwaitSync waits, at a host that has just started, until it knows which requests its peers have
// quarantined, at most for maxSyncWait.
func (q *Quarantiner) AwaitSync(ctx context.Context) {
	if q == nil || q.isSynced() {
		return
	}
	waiting, cancel := timekeeper.WithTimeout(ctx, maxSyncWait)
	defer cancel()
	select {
	case <-q.syncCtx.Done():
	case <-waiting.Done():
		if ctx.Err() == nil && !q.isSynced() {
			q.cfg.Logger.Warn("requests run without the quarantines of peers: not all have answered", "waited_ms", maxSyncWait.Milliseconds())
			q.endSync()
		}
	}
}

// isSynced is true once requests need not wait any more.
func (q *Quarantiner) isSynced() bool { return q.syncCtx.Err() != nil }

// Snapshot implements exchanger.Crashes.
func (q *Quarantiner) Snapshot() (updates []exchanger.CrashUpdate, isComplete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.snapshotLocked(), q.isSynced()
}
