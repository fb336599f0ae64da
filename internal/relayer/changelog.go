package relayer

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// maxLogBytes limits the total size of the keys and values in a log. A large
// configuration takes some hundred kilobytes, and hosts lag by a few changes at
// most; a host that lags further reads the store.
const maxLogBytes = 1 << 20

// changeLog keeps the latest changes of the store, in the batches in which they
// were received because keys written in one transaction share a revision. It also
// keeps the entries as they are after all changes, for a peer that is too far
// behind for the changes.
type changeLog struct {
	mu        sync.Mutex
	entries   map[string]provider.Entry // by key
	keptAfter int64                     // all changes after this revision are kept
	latest    int64                     // latest revision received
	currentAt time.Time                 // when latest was last known to be the store's latest
	batches   []batch
	bytes     int
	appended  chan struct{} // closed when the next batch is appended
}

type batch struct {
	changes    []provider.Change
	receivedAt time.Time // when the batch was received; Change.Age is as of then
	revision   int64     // highest revision of the changes
	bytes      int
}

func newChangeLog() *changeLog {
	return &changeLog{entries: map[string]provider.Entry{}, appended: make(chan struct{})}
}

// setEntries replaces all entries under a prefix with those just read.
func (l *changeLog) setEntries(prefix string, entries []provider.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.entries, func(key string, _ provider.Entry) bool { return strings.HasPrefix(key, prefix) })
	for _, entry := range entries {
		l.entries[entry.Key] = entry
	}
}

// applyUpdate records an update received from a peer.
func (l *changeLog) applyUpdate(update provider.Update) {
	if !update.IsSnapshot {
		l.appendNew(update.Changes)
		l.advance(update.Revision)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Revision <= l.latest {
		return
	}
	l.currentAt = time.Now()
	clear(l.entries)
	for _, change := range update.Changes {
		l.entries[change.Entry.Key] = change.Entry
	}
	l.keptAfter, l.latest, l.batches, l.bytes = update.Revision, update.Revision, nil, 0
}

// advance records that there are no further changes up to a revision.
func (l *changeLog) advance(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = max(l.latest, revision)
}

// updateSince returns the changes after a revision, or all entries if some of
// these changes are no longer kept.
func (l *changeLog) updateSince(after int64) provider.Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if changes, ok := l.sinceLocked(after); ok {
		return provider.Update{Changes: changes, Revision: max(l.latest, after)}
	}
	update := provider.Update{Revision: l.latest, IsSnapshot: true}
	for _, entry := range l.entries {
		update.Changes = append(update.Changes, provider.Change{Entry: entry})
	}
	return update
}

// continueFrom prepares the log for changes from a revision on. It drops its
// changes if the new ones do not follow them directly.
func (l *changeLog) continueFrom(from int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from-1 == l.latest {
		return
	}
	l.currentAt = time.Now() // all keys have been read again
	l.keptAfter, l.latest, l.batches, l.bytes = from-1, from-1, nil, 0
}

// appendNew appends a batch and returns those of its changes that are new. Two peers
// each send all changes, in the order of the revisions, so that most arrive twice.
func (l *changeLog) appendNew(changes []provider.Change) (added []provider.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := batch{revision: l.latest, receivedAt: time.Now()}
	l.currentAt = next.receivedAt
	for _, change := range changes {
		if change.Entry.Revision <= l.latest {
			continue
		}
		next.changes = append(next.changes, change)
		next.revision = max(next.revision, change.Entry.Revision)
		next.bytes += len(change.Entry.Key) + len(change.Entry.Value)
	}
	if len(next.changes) == 0 {
		return nil
	}
	l.latest = next.revision
	l.applyToEntries(next.changes)
	l.batches = append(l.batches, next)
	l.bytes += next.bytes
	for l.bytes > maxLogBytes && len(l.batches) > 1 {
		l.keptAfter = l.batches[0].revision
		l.bytes -= l.batches[0].bytes
		l.batches[0] = batch{}
		l.batches = l.batches[1:]
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return next.changes
}

// applyToEntries applies changes to the entries. An entry that was read in the
// meantime may have a later revision and stays.
func (l *changeLog) applyToEntries(changes []provider.Change) {
	for _, change := range changes {
		key := change.Entry.Key
		switch {
		case l.entries[key].Revision > change.Entry.Revision:
		case change.Deleted:
			delete(l.entries, key)
		default:
			l.entries[key] = change.Entry
		}
	}
}

// since returns the changes after a revision and a channel that closes when more
// are appended. ok is false if some of the changes are no longer kept.
func (l *changeLog) since(revision int64) (changes []provider.Change, appended <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, ok = l.sinceLocked(revision)
	return changes, l.appended, ok
}

func (l *changeLog) sinceLocked(revision int64) (changes []provider.Change, ok bool) {
	if revision < l.keptAfter {
		return nil, false
	}
	for _, b := range l.batches {
		for _, change := range b.changes {
			if change.Entry.Revision > revision {
				change.Age += time.Since(b.receivedAt)
				changes = append(changes, change)
			}
		}
	}
	return changes, true
}

// latestRevision returns the latest revision received.
func (l *changeLog) latestRevision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// missedSince returns when the log was last known to be complete.
func (l *changeLog) missedSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentAt.IsZero() {
		return time.Now() // nothing was known before
	}
	return l.currentAt
}

// resumed takes account of a suspension, during which the monotonic clock stood still.
func (l *changeLog) resumed(suspended time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAt = l.currentAt.Add(-suspended)
}
