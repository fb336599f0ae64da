package relayer

import (
	"sync"

	"github.com/endivemast/endivemast/internal/provider"
)

// maxLogBytes bounds the values that a log keeps. A large configuration takes
// some hundred kilobytes, and hosts fall behind by a few changes at most; one
// that is further behind reads the store.
const maxLogBytes = 1 << 20

// changeLog keeps the latest changes of the store in the batches in which they
// were told: keys that were written in one transaction share a revision.
type changeLog struct {
	mu      sync.Mutex
	after   int64 // all changes behind this revision are kept
	head    int64 // the latest revision heard of
	batches []batch
	bytes   int
	grown   chan struct{} // closed with the next batch
}

type batch struct {
	changes  []provider.Change
	revision int64 // the highest among them
	bytes    int
}

func newChangeLog() *changeLog { return &changeLog{grown: make(chan struct{})} }

// resume readies the log for changes from a revision on. What it holds is
// dropped where they do not follow.
func (l *changeLog) resume(from int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from-1 == l.head {
		return
	}
	l.after, l.head, l.batches, l.bytes = from-1, from-1, nil, 0
}

// add takes a batch and returns what of it is new. Two peers tell the same
// changes, each of them all, in the order of the revisions.
func (l *changeLog) add(changes []provider.Change) (fresh []provider.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := batch{revision: l.head}
	for _, change := range changes {
		if change.Entry.Revision <= l.head {
			continue
		}
		next.changes = append(next.changes, change)
		next.revision = max(next.revision, change.Entry.Revision)
		next.bytes += len(change.Entry.Key) + len(change.Entry.Value)
	}
	if len(next.changes) == 0 {
		return nil
	}
	l.head = next.revision
	l.batches = append(l.batches, next)
	l.bytes += next.bytes
	for l.bytes > maxLogBytes && len(l.batches) > 1 {
		l.after = l.batches[0].revision
		l.bytes -= l.batches[0].bytes
		l.batches[0] = batch{}
		l.batches = l.batches[1:]
	}
	close(l.grown)
	l.grown = make(chan struct{})
	return next.changes
}

// since returns the changes behind a revision, a channel that closes when
// there are more, and false where some of them are not kept any more.
func (l *changeLog) since(revision int64) (changes []provider.Change, grown <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.after {
		return nil, nil, false
	}
	for _, b := range l.batches {
		for _, change := range b.changes {
			if change.Entry.Revision > revision {
				changes = append(changes, change)
			}
		}
	}
	return changes, l.grown, true
}

// latest is the latest revision heard of.
func (l *changeLog) latest() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head
}
