package quarantiner

import (
	"context"
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// A host that has just started knows none of the requests that its peers have quarantined. Its first
// requests wait until it has received them.

// maxSyncWait bounds that wait, from when the peers are asked. Peers that don't answer within it are
// unreachable or suspended. A request that arrives before the peers are known waits that long itself, and
// longer only if they have been asked meanwhile.
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
	if q.cfg.PeersListed != nil {
		select {
		case <-q.cfg.PeersListed():
		case <-q.syncCtx.Done():
			return
		}
	}
	started := q.cfg.Now()
	asking, cancel := timekeeper.WithTimeout(q.ctx, maxSyncWait)
	defer cancel()
	q.mu.Lock()
	q.asking = asking
	q.mu.Unlock()
	err := q.cfg.Fetch(q.syncCtx)
	if q.syncCtx.Err() == nil {
		q.cfg.Logger.Info("requests that crash endpoints fetched from peers", "requests", q.Count(), "took_ms", q.cfg.Now().Sub(started).Milliseconds(), "error", errorText(err))
	}
	q.endSync()
}

// beginWait returns the context of a request's wait.
func (q *Quarantiner) beginWait() (waiting context.Context, end context.CancelFunc) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.asking != nil {
		return q.asking, func() {}
	}
	return timekeeper.WithTimeout(q.ctx, maxSyncWait)
}

// AwaitSync waits, at a host that has just started, until it knows which requests its peers have
// quarantined, at most until maxSyncWait after they were asked.
func (q *Quarantiner) AwaitSync(ctx context.Context) {
	if q == nil || q.isSynced() {
		return
	}
	waiting, end := q.beginWait()
	defer end()
	if !q.await(ctx, waiting) {
		return
	}
	// The peers may have been asked during this wait.
	q.mu.Lock()
	asking := q.asking
	q.mu.Unlock()
	if (asking == nil || q.await(ctx, asking)) && !q.isSynced() {
		q.cfg.Logger.Warn("requests run without the quarantines of peers: not all have answered", "waited_ms", maxSyncWait.Milliseconds())
		q.endSync()
	}
}

// await reports whether a wait has ended before the caller has gone and before the sync has ended.
func (q *Quarantiner) await(ctx, waiting context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-q.syncCtx.Done():
		return false
	case <-waiting.Done():
		return true
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
