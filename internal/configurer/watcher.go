package configurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	watcherCheckInterval = time.Second // between two checks whether this host must watch the store
	maxWatchBackoff      = 5 * time.Second
	minWatchBackoff      = 100 * time.Millisecond
	startRetryInterval   = 500 * time.Millisecond // between two attempts to get the first configuration
)

// errWatchStalled reports that the store has a newer head than the watch
// delivered.
var errWatchStalled = errors.New("watch did not deliver a change of the head document")

// runWatch watches the store while this host is one of its zone's watchers.
// Otherwise it reads the store when no other host is known to have read it
// recently.
func (c *Configurer) runWatch() error {
	backoff := minWatchBackoff
	for c.ctx.Err() == nil {
		pause := watcherCheckInterval
		switch {
		case c.isWatcher():
			err := c.watchStore(c.ctx)
			if err == nil {
				backoff = minWatchBackoff
				continue
			}
			c.logger.Info("watch of the store ended", "error", err)
			pause = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxWatchBackoff)
		case c.isStale():
			// During a store outage all hosts get here. A host's interval grows
			// with its rank, so that the hosts of a zone together make less than
			// one call a second.
			pause = time.Duration(1+c.rank()) * c.cfg.ReadInterval
			if err := c.readStore(c.ctx); err != nil {
				c.logger.Debug("reading the store failed", "error", err)
			}
		}
		_ = wait(c.ctx, pause) // the loop condition checks the context
	}
	return nil
}

// zoneMembers returns the ids of this zone's hosts in the pool, including this
// one, sorted.
func (c *Configurer) zoneMembers() []string {
	members := []string{c.cfg.HostID}
	for _, peer := range c.cfg.Pool.Peers() {
		if peer.Zone == c.cfg.Zone {
			members = append(members, peer.HostID)
		}
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// reachableMembers returns the zone's members without those whose last call
// failed. Hosts that disagree about a member may keep one watch too many, or one
// too few until their comparisons reach the member; changes from other zones
// cover that time.
func (c *Configurer) reachableMembers() []string {
	members := c.zoneMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(members, func(hostID string) bool {
		_, failed := c.failedCalls[hostID]
		return failed
	})
}

// isWatcher reports whether this host must watch the store.
func (c *Configurer) isWatcher() bool {
	return c.rank() < c.cfg.WatchersPerZone
}

// rank returns this host's index, from 0, in the sorted reachable members of its
// zone.
func (c *Configurer) rank() int {
	return slices.Index(c.reachableMembers(), c.cfg.HostID)
}

// isStale reports whether the last known read of the store is too old. The limit
// grows with the rank, so that the first host's read resets it for the others.
func (c *Configurer) isStale() bool {
	age := c.storeAge()
	return age < 0 || age > c.cfg.StaleAfter+time.Duration(c.rank())*c.cfg.CompareInterval
}

// watchStore watches the head document until the watch ends or this host is no
// longer a watcher.
func (c *Configurer) watchStore(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "watch head document") }()
	headRevision, next, err := c.listHead(ctx)
	if err != nil {
		return err
	}
	w, err := c.cfg.Store.Watch(ctx, c.headKey(), next)
	if err != nil {
		return err
	}
	c.counters.watching.Add(1)
	defer c.counters.watching.Add(-1)
	defer func() { err = errors.Join(err, w.Close()) }()
	ticker := time.NewTicker(c.cfg.ReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case changes, ok := <-w.Changes():
			if !ok {
				return w.Err()
			}
			headRevision = max(headRevision, c.handleWatchEvents(ctx, changes))
		case <-ticker.C:
			if !c.isWatcher() {
				return nil
			}
			if err := c.checkWatch(ctx, headRevision); err != nil {
				return err
			}
		}
	}
}

// listHead reads and applies the head document. It returns the document's store
// revision and the store revision from which to watch.
func (c *Configurer) listHead(ctx context.Context) (headRevision, next int64, err error) {
	listCtx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	entries, revision, err := c.cfg.Store.List(listCtx, c.headKey())
	if err != nil {
		return 0, 0, err
	}
	h := head{}
	for _, entry := range entries {
		if h, err = decodeHead(entry.Value); err != nil {
			return 0, 0, err
		}
		headRevision = entry.Revision
	}
	return headRevision, revision + 1, c.syncAndRepair(ctx, h)
}

// handleWatchEvents applies the changes that a watch delivered and returns the
// highest store revision among them.
func (c *Configurer) handleWatchEvents(ctx context.Context, changes []provider.Change) (headRevision int64) {
	for _, change := range changes {
		headRevision = max(headRevision, change.Entry.Revision)
		if change.Deleted {
			continue // the next read of the head repairs the store
		}
		h, err := decodeHead(change.Entry.Value)
		if err == nil {
			err = c.syncToHead(ctx, h)
		}
		if err != nil {
			c.logger.Error("applying a change from the watch failed", "error", err)
		}
	}
	return headRevision
}

// checkWatch reads the head, and fails when it is newer than what the watch
// delivered.
func (c *Configurer) checkWatch(ctx context.Context, headRevision int64) error {
	entry, h, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.syncAndRepair(ctx, h); err != nil {
		return err
	}
	if entry.Revision > headRevision && h.Revision > 0 {
		return errWatchStalled
	}
	return nil
}

// readStore reads the head document once and applies it.
func (c *Configurer) readStore(ctx context.Context) error {
	_, h, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	return c.syncAndRepair(ctx, h)
}

// syncAndRepair applies a head that was just read from the store, and repairs
// the store when it is behind.
func (c *Configurer) syncAndRepair(ctx context.Context, h head) error {
	if err := c.syncToHead(ctx, h); err != nil {
		return err
	}
	if h.Revision < c.Revision() {
		return c.repairStore(ctx)
	}
	return nil
}

// syncToHead brings this host at least to the state of a head from the store.
// Missing changes come from peers first, as there are many of them, and from the
// store if the peers don't have them.
func (c *Configurer) syncToHead(ctx context.Context, h head) error {
	result := c.applyHead(h, fromOutsideTree)
	if result == headGap || result == headDiverged {
		if err := c.fetchMissing(ctx, h); err != nil {
			return err
		}
	}
	c.noteStoreRead(0)
	return nil
}

// fetchMissing reaches a head whose changes don't follow the state in force.
func (c *Configurer) fetchMissing(ctx context.Context, h head) error {
	for _, peer := range c.randomPeers(maxCatchUpPeers) {
		if err := c.compareWith(ctx, peer); err != nil {
			c.logger.Debug("fetching changes from peer failed", "peer", peer.HostID, "error", err)
		}
		if c.tryApplyHead(h) {
			return nil
		}
	}
	if err := acquire(ctx, c.fetchSemaphore); err != nil {
		return err
	}
	defer release(c.fetchSemaphore)
	if c.tryApplyHead(h) {
		return nil // reached by other means meanwhile
	}
	st, err := c.load(ctx)
	if err != nil {
		return err
	}
	c.installState(st)
	return nil
}

// tryApplyHead applies a head if possible, and reports whether its revision is
// in force now.
func (c *Configurer) tryApplyHead(h head) bool {
	result := c.applyHead(h, fromOutsideTree)
	return result == headNotNewer || result == headApplied
}

// runStart gets the first configuration from both the store and a few peers. A
// host that starts during a store outage gets it from the peers, and one that
// starts after the store was restored from an older copy still gets the newer
// state.
func (c *Configurer) runStart() error {
	for c.ctx.Err() == nil {
		storeErr, peersErr := c.fetchInitialState(c.ctx)
		if storeErr == nil || peersErr == nil {
			c.ready.Store(true)
			c.logger.Info("configuration in force", "revision", c.Revision())
			return nil
		}
		c.logger.Warn("no configuration yet", "store_error", storeErr, "peers_error", peersErr)
		_ = wait(c.ctx, startRetryInterval) // the loop condition checks the context
	}
	return nil
}

// fetchInitialState reads the store and compares with a few peers in parallel,
// as each failed call may take its full timeout.
func (c *Configurer) fetchInitialState(ctx context.Context) (storeErr, peersErr error) {
	peers := c.randomPeers(maxStartPeers)
	errs := make([]error, len(peers))
	var group errgroup.Group
	group.Go(func() error {
		storeErr = c.readStore(ctx)
		return nil
	})
	for i, peer := range peers {
		group.Go(func() error {
			errs[i] = c.initializeFrom(ctx, peer)
			return nil
		})
	}
	_ = group.Wait() // the errors are in storeErr and errs
	if slices.Contains(errs, nil) {
		return storeErr, nil
	}
	return storeErr, errors.Join(append(errs, errNoPeerConfiguration)...)
}
