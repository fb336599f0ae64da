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
	dutyInterval      = time.Second // between two looks at whether this host is to watch
	lastWatchBackoff  = 5 * time.Second
	firstWatchBackoff = 100 * time.Millisecond
	startInterval     = 500 * time.Millisecond // between two attempts to get a first configuration
)

// errWatchSilent says that the store has a newer head than the watch delivered.
var errWatchSilent = errors.New("watch delivers nothing although the head document changed")

// runWatch watches the store while this host is among its zone's watchers, and
// reads it now and then when nobody else seems to.
func (c *Configurer) runWatch() error {
	backoff := firstWatchBackoff
	for c.ctx.Err() == nil {
		pause := dutyInterval
		switch {
		case c.isWatcher():
			err := c.watchStore(c.ctx)
			if err == nil {
				backoff = firstWatchBackoff
				continue
			}
			c.logger.Info("watch ended", "error", err)
			pause = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, lastWatchBackoff)
		case c.isStale():
			// In an outage everybody comes to this point. The higher a host's
			// rank, the more seldom it reads, so that a zone's hosts together
			// make less than one call a second.
			pause = time.Duration(1+c.rank()) * c.cfg.ReadInterval
			if err := c.readStore(c.ctx); err != nil {
				c.logger.Debug("store not read", "error", err)
			}
		}
		_ = wait(c.ctx, pause) // the loop's condition looks at the context
	}
	return nil
}

// zoneMembers is the hosts of this zone that the pool names, this one
// included, in order of their ids.
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

// reachedMembers is the zone's members without those whose last call failed.
// Hosts that judge a member differently may watch one too many, or one too few
// until their comparisons show it; other zones' news bridges that.
func (c *Configurer) reachedMembers() []string {
	members := c.zoneMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(members, func(hostID string) bool {
		_, failed := c.failed[hostID]
		return failed
	})
}

// isWatcher says whether this host is to watch the store.
func (c *Configurer) isWatcher() bool {
	return c.rank() < c.cfg.WatchersPerZone
}

// rank is this host's place among the hosts of its zone that it reaches, from 0.
func (c *Configurer) rank() int {
	return slices.Index(c.reachedMembers(), c.cfg.HostID)
}

// isStale says whether nobody seems to read the store. Hosts of a zone come to
// that one after the other, so that the first one's reading is news to the rest.
func (c *Configurer) isStale() bool {
	age := c.storeAge()
	return age < 0 || age > c.cfg.StaleAfter+time.Duration(c.rank())*c.cfg.CompareInterval
}

// watchStore follows the head document until the watch ends, or this host is a
// watcher no more.
func (c *Configurer) watchStore(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "watch head document") }()
	seen, next, err := c.listHead(ctx)
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
			seen = max(seen, c.takeChanges(ctx, changes))
		case <-ticker.C:
			if !c.isWatcher() {
				return nil
			}
			if err := c.checkWatch(ctx, seen); err != nil {
				return err
			}
		}
	}
}

// listHead takes in the head document, and returns its store revision and the
// one to watch from.
func (c *Configurer) listHead(ctx context.Context) (seen, next int64, err error) {
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
		seen = entry.Revision
	}
	return seen, revision + 1, c.takeIn(ctx, h)
}

// takeChanges takes in what a watch delivers and returns its store revision.
func (c *Configurer) takeChanges(ctx context.Context, changes []provider.Change) (seen int64) {
	for _, change := range changes {
		seen = max(seen, change.Entry.Revision)
		if change.Deleted {
			continue // the next read of the head heals the store
		}
		h, err := decodeHead(change.Entry.Value)
		if err == nil {
			err = c.follow(ctx, h)
		}
		if err != nil {
			c.logger.Error("watched change not taken in", "error", err)
		}
	}
	return seen
}

// checkWatch reads the head, and fails when the watch should have delivered it.
func (c *Configurer) checkWatch(ctx context.Context, seen int64) error {
	entry, h, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.takeIn(ctx, h); err != nil {
		return err
	}
	if entry.Revision > seen && h.Revision > 0 {
		return errWatchSilent
	}
	return nil
}

// readStore reads the head once and takes it in.
func (c *Configurer) readStore(ctx context.Context) error {
	_, h, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	return c.takeIn(ctx, h)
}

// takeIn takes in a head that was just read from the store, and heals the store
// when that is behind.
func (c *Configurer) takeIn(ctx context.Context, h head) error {
	if err := c.follow(ctx, h); err != nil {
		return err
	}
	if h.Revision < c.Revision() {
		return c.heal(ctx)
	}
	return nil
}

// follow brings this host to the state of a head from the store, or ahead of
// it. What is missing comes from peers, as they are many, and from the store
// where they don't have it.
func (c *Configurer) follow(ctx context.Context, h head) error {
	result := c.absorb(h, fromOutside)
	if result == absorbedGap || result == absorbedDiverge {
		if err := c.catchUp(ctx, h); err != nil {
			return err
		}
	}
	c.saw(0)
	return nil
}

// catchUp reaches a head whose changes don't follow what is in force here.
func (c *Configurer) catchUp(ctx context.Context, h head) error {
	for _, peer := range c.somePeers(catchUpPeers) {
		if err := c.compareWith(ctx, peer); err != nil {
			c.logger.Debug("peer not compared", "peer", peer.HostID, "error", err)
		}
		if c.reaches(h) {
			return nil
		}
	}
	if err := take(ctx, c.fetching); err != nil {
		return err
	}
	defer release(c.fetching)
	if c.reaches(h) {
		return nil // somebody else fetched meanwhile
	}
	st, err := c.load(ctx)
	if err != nil {
		return err
	}
	c.installWhole(st)
	return nil
}

// reaches absorbs a head if possible, and says whether it is in force now.
func (c *Configurer) reaches(h head) bool {
	result := c.absorb(h, fromOutside)
	return result == absorbedOld || result == absorbedNew
}

// runStart gets a first configuration: from the store and from a few peers, so
// that a host that starts in an outage of the store takes it from them, and one
// that starts beside a restored store isn't fooled by it.
func (c *Configurer) runStart() error {
	for c.ctx.Err() == nil {
		storeErr, peersErr := c.askAll(c.ctx)
		if storeErr == nil || peersErr == nil {
			c.ready.Store(true)
			c.logger.Info("configuration in force", "revision", c.Revision())
			return nil
		}
		c.logger.Warn("no configuration yet", "store_error", storeErr, "peers_error", peersErr)
		_ = wait(c.ctx, startInterval) // the loop's condition looks at the context
	}
	return nil
}

// askAll asks the store and a few peers at the same time, as each may take a
// call's whole timeout not to answer.
func (c *Configurer) askAll(ctx context.Context) (storeErr, peersErr error) {
	peers := c.somePeers(startPeers)
	errs := make([]error, len(peers))
	var group errgroup.Group
	group.Go(func() error {
		storeErr = c.readStore(ctx)
		return nil
	})
	for i, peer := range peers {
		group.Go(func() error {
			errs[i] = c.startFrom(ctx, peer)
			return nil
		})
	}
	_ = group.Wait() // the errors are in storeErr and errs
	if slices.Contains(errs, nil) {
		return storeErr, nil
	}
	return storeErr, errors.Join(append(errs, errNoPeer)...)
}
