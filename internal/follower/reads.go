package follower

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
)

// topicRead is the result of reading one topic.
type topicRead struct {
	entries        []provider.Entry
	revision       int64
	requested      time.Time
	isLinearizable bool
	err            error
}

// errEarlierEra means that the store came back from an older copy after a topic was read, and
// another topic was already applied as it was read later.
var errEarlierEra = errors.New("topic read in an earlier era of the store")

// readTopics reads all topics at once, and applies them in their order. The watch starts at
// the lowest revision of these reads, so that a change between two reads is received twice
// rather than missed.
func (f *Follower) readTopics(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	defer func() {
		cancel()
		err = errors.Join(err, group.Wait())
	}()
	reads := make([]chan topicRead, len(f.cfg.Topics))
	for i, topic := range f.cfg.Topics {
		reads[i] = make(chan topicRead, 1)
		group.Go(func() error {
			reads[i] <- f.list(ctx, topic.Prefix, i > 0)
			return nil
		})
	}
	var oldest, latest int64
	for i, topic := range f.cfg.Topics {
		read := <-reads[i]
		if read.err != nil {
			return read.err
		}
		if provider.EraOf(read.revision) < provider.EraOf(latest) {
			return errEarlierEra
		}
		latest = max(latest, read.revision)
		f.markStoreRegained()
		f.applyRead(topic, read)
		if i == 0 || read.revision < oldest {
			// Revision 0, of an empty store, counts too.
			oldest = read.revision
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.isSynced, f.hasHistoryGap = max(f.revision, oldest), true, false
	return nil
}

// list reads one topic. A stale read is enough where the watch delivers the later
// changes at once, and costs a tenth: a fleet of 195 hosts that starts reads 64
// endpoints and each other's entries in up to 1,200 pages of 50. After a gap in the
// history a stale read might be older than the gap.
func (f *Follower) list(ctx context.Context, prefix string, mayBeStale bool) (read topicRead) {
	f.mu.Lock()
	hasGap := f.hasHistoryGap
	f.mu.Unlock()
	read.requested = f.cfg.Now()
	if stale, ok := f.cfg.Store.(provider.StaleLister); ok && mayBeStale && !hasGap {
		read.entries, read.revision, read.err = stale.ListStale(ctx, prefix)
		return read
	}
	read.isLinearizable = true
	read.entries, read.revision, read.err = f.cfg.Store.List(ctx, prefix)
	return read
}

// applyRead passes a read to the topic, unless later changes are known: peers may have sent
// them during the read, or an earlier round may have read the topic from a server of the store
// that was ahead.
func (f *Follower) applyRead(topic Topic, read topicRead) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if read.revision < max(f.knownRevision(), f.readRevision(topic.Prefix)) {
		return
	}
	f.detectRestoration(read.revision)
	f.setReadRevision(topic.Prefix, read.revision)
	topic.Sink.Replace(read.entries, f.missedPeriod(), time.Now())
	if read.isLinearizable && topic.OnRead != nil {
		topic.OnRead(read.revision, read.requested)
	}
}

// probe reads the first topic after a loss of the store. A watch alone would take
// up to its longest wait to show that the store is still unreachable, and a host
// would receive a change seconds late after the store's return.
func (f *Follower) probe(ctx context.Context) error {
	topic := f.cfg.Topics[0]
	read := f.list(ctx, topic.Prefix, false)
	if read.err != nil {
		return read.err
	}
	f.markStoreRegained()
	f.applyRead(topic, read)
	return nil
}
