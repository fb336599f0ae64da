package follower

import (
	"context"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// peerPollInterval is how often a host checks whether peers are ahead. A host
	// that the store rejects queries them that often: 5 calls a second of some
	// 100 µs, or half a thousandth of a core.
	peerPollInterval = 200 * time.Millisecond
	// behindGracePeriod is how long peers have to be ahead before they are queried.
	// The host's own watch delivers changes as early as peers receive them, and in
	// large zones up to 600 ms later, since watches pause after changes. Together
	// with the poll interval, the 100 ms between two updates of a peer and the query,
	// it takes some 1.2 s of the two seconds in which a change has to be in force on
	// all hosts. Without queries, a hanging watch is detected only after 2.6 s.
	behindGracePeriod = 800 * time.Millisecond
	// feedGracePeriod replaces behindGracePeriod on a host with a feed from a peer. In a
	// large zone all hosts would request a large configuration while it is on its way to
	// them, and delay it.
	feedGracePeriod = 1500 * time.Millisecond
	// peerQueryTimeout limits a query. Peers answer in milliseconds; a configuration
	// of 430 KB takes 0.35 s on a link of 10 Mbit/s.
	peerQueryTimeout = time.Second
	// returnQueryTimeout limits the query of a host that has the store back, and could read
	// the changes from there.
	returnQueryTimeout = 300 * time.Millisecond
)

// observePeers checks several times a second whether this host is behind its peers, or has lost
// them. Queries run elsewhere: one that hangs must not delay the next check.
func (f *Follower) observePeers(ctx context.Context, queryDue chan<- struct{}) error {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	var behindSince time.Time
	isLogged := false // that this host is behind its peers
	wasIsolated := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			behindSince = f.behindSince(behindSince, now)
			isLogged = f.logIfBehind(behindSince, now, isLogged)
			isIsolated := f.cfg.Peers.IsIsolated()
			if isIsolated && !wasIsolated {
				f.cfg.Logger.Warn("no updates from peers", "revision", f.knownRevision(), "store_away_ms", f.StoreUnreachableFor().Milliseconds())
				f.restartWatch(errIsolated)
			}
			wasIsolated = isIsolated
			if f.HasSynced() && f.isQueryDue(behindSince, now) {
				select {
				case queryDue <- struct{}{}:
				default: // a query is running
				}
			}
		}
	}
}

func (f *Follower) runQueries(ctx context.Context, queryDue <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-queryDue:
			f.queryPeers(ctx, peerQueryTimeout)
		}
	}
}

// isQueryDue reports whether this host has been behind for so long that it queries a peer.
func (f *Follower) isQueryDue(behindSince, now time.Time) bool {
	if behindSince.IsZero() {
		return false
	}
	switch behind := now.Sub(behindSince); {
	case f.cfg.Peers.HasFeed():
		return behind >= feedGracePeriod
	case f.isStoreLost() && f.watchesStore():
		return true
	default:
		return behind >= behindGracePeriod
	}
}

// behindSince returns since when peers have been ahead of this host; zero: they are
// not ahead.
func (f *Follower) behindSince(since, now time.Time) time.Time {
	switch {
	case !f.cfg.Peers.IsPeerAhead(f.knownRevision()):
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}

// logIfBehind logs that peers have been ahead for behindGracePeriod, and that they no longer are.
func (f *Follower) logIfBehind(since, now time.Time, isLogged bool) bool {
	isBehind := !since.IsZero() && now.Sub(since) >= behindGracePeriod
	switch {
	case isBehind && !isLogged:
		f.cfg.Logger.Warn("behind peers", "revision", f.knownRevision(), "behind_ms", now.Sub(since).Milliseconds(),
			"has_synced", f.HasSynced(), "has_feed", f.cfg.Peers.HasFeed(), "store_away_ms", f.StoreUnreachableFor().Milliseconds())
	case isLogged && since.IsZero():
		f.cfg.Logger.Info("caught up with peers", "revision", f.knownRevision())
	}
	return isBehind || isLogged && !since.IsZero()
}

// fetchMissedChanges queries a peer that is ahead before changes are read from the store. Only
// peers know how old the changes are.
func (f *Follower) fetchMissedChanges(ctx context.Context) {
	if f.cfg.Peers != nil && f.cfg.Peers.IsPeerAhead(f.knownRevision()) {
		f.queryPeers(ctx, returnQueryTimeout)
	}
}

func (f *Follower) queryPeers(ctx context.Context, timeout time.Duration) {
	ctx, cancel := timekeeper.WithTimeout(ctx, timeout)
	defer cancel()
	update, err := f.cfg.Peers.FetchFromPeers(ctx, f.knownRevision())
	if err != nil {
		f.cfg.Logger.Debug("querying peers for changes failed", "error", err, "revision", f.knownRevision())
		return
	}
	if f.applyUpdate(update) {
		f.cfg.Logger.Info("received changes from a peer", "changes", len(update.Changes), "revision", update.Revision,
			"is_whole", update.IsSnapshot, "store_away_ms", f.StoreUnreachableFor().Milliseconds())
	}
}

// applyUpdate passes an update from a peer or a poll to the sinks. It returns false if the
// update holds nothing new.
func (f *Follower) applyUpdate(update provider.Update) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if !f.HasSynced() || update.Revision <= f.knownRevision() {
		return false
	}
	f.detectRestoration(update.Revision)
	if update.IsSnapshot {
		f.replaceAll(update)
	} else {
		f.applyLocked(update.Changes, f.missedPeriod().Earliest)
	}
	f.mu.Lock()
	f.revision = update.Revision
	f.mu.Unlock()
	if f.cfg.Peers != nil {
		// Recorded only after it was applied, since the relayer drops changes from its
		// watches that it has recorded.
		f.cfg.Peers.RecordUpdate(update)
	}
	return true
}

// replaceAll passes to each topic its part of the update's entries, unless the topic
// was read from the store at a later revision.
func (f *Follower) replaceAll(update provider.Update) {
	missed, now := f.missedPeriod(), time.Now()
	for _, topic := range f.cfg.Topics {
		if f.readRevision(topic.Prefix) > update.Revision {
			continue
		}
		var entries []provider.Entry
		for _, change := range update.Changes {
			if strings.HasPrefix(change.Entry.Key, topic.Prefix) {
				entries = append(entries, change.Entry)
			}
		}
		topic.Sink.Replace(entries, missed, now)
	}
}
