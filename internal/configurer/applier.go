package configurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// applyTimeout bounds Apply when its context has no earlier deadline.
	applyTimeout = 10 * time.Second
	// applyRetryTime is for how long Apply retries while the store can't be
	// reached or answers with a stale read.
	applyRetryTime  = time.Second
	minApplyBackoff = 4 * time.Millisecond
	maxApplyBackoff = 250 * time.Millisecond
)

// applyCall is the state of one Apply. A write whose response was lost stays
// pending until a read shows that it took effect, or that it no longer can.
type applyCall struct {
	change       Change
	writePending bool
	// pendingRevision is the store revision of the head that the pending write
	// replaces. The write can't take effect once the head's revision is higher.
	pendingRevision int64
}

// Apply implements Operator. The change is in force on this host when Apply
// returns no error.
func (c *Configurer) Apply(ctx context.Context, change Change) (revision int64, err error) {
	defer func() { err = eris.Wrapf(err, "apply change %q", change.ChangeID) }()
	change, err = validate(change)
	if err != nil {
		return 0, err
	}
	if !c.Ready() {
		return 0, fmt.Errorf("%w: no configuration in force yet", ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if err := acquire(ctx, c.commitSemaphore); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer release(c.commitSemaphore)
	a := applyCall{change: change}
	start := time.Now()
	for backoff := minApplyBackoff; ; backoff = min(2*backoff, maxApplyBackoff) {
		revision, done, err := c.tryApply(ctx, &a)
		retryable := errors.Is(err, ErrUnavailable) && time.Since(start) < applyRetryTime
		if done && !retryable {
			return revision, err
		}
		if waitErr := wait(ctx, rand.N(backoff)+time.Millisecond); waitErr != nil {
			err = c.applyError(a, errors.Join(err, waitErr))
			if errors.Is(err, ErrOutcomeUnknown) {
				c.counters.unknownOutcomes.Add(1)
			}
			return 0, err
		}
	}
}

// tryApply reads the head, checks the change against it and commits it. It is
// done when the change is accepted, refused, or certainly not made.
func (c *Configurer) tryApply(ctx context.Context, a *applyCall) (revision int64, done bool, err error) {
	entry, h, err := c.readHead(ctx)
	if err == nil {
		err = c.syncToHead(ctx, h)
	}
	if err != nil {
		return 0, !a.writePending, c.applyError(*a, err)
	}
	st := c.state.Load()
	if revision, ok := st.outcome(a.change.ChangeID); ok {
		return revision, true, nil
	}
	if entry.Revision > a.pendingRevision {
		a.writePending = false
	}
	h, st, err = c.repairedHead(ctx, h, st)
	if err != nil {
		return 0, !a.writePending, c.applyError(*a, err)
	}
	if err := checkRevision(st, a.change); err != nil {
		c.counters.revisionMismatches.Add(1)
		return 0, !a.writePending, err
	}
	next, err := c.extend(ctx, h, st, newRecord(a.change.ChangeID, a.change.Subject, time.Now().UnixMilli()))
	if err != nil {
		return 0, !a.writePending, c.applyError(*a, err)
	}
	return c.commit(ctx, a, entry, next)
}

// commit swaps the head document, which is the only commit point of a change.
func (c *Configurer) commit(ctx context.Context, a *applyCall, entry provider.Entry, next head) (revision int64, done bool, err error) {
	err = c.swapHead(ctx, entry, next)
	switch {
	case err == nil:
		c.counters.commits.Add(1)
		c.applyHead(next, fromOutsideTree)
		return next.Revision, true, nil
	case errors.Is(err, provider.ErrConflict):
		c.counters.swapConflicts.Add(1)
		return 0, false, err
	case errors.Is(err, provider.ErrUnavailable):
		return 0, !a.writePending, c.applyError(*a, err)
	default:
		// ErrOutcomeUnknown, or an unclassified error: the write may have been sent.
		a.writePending, a.pendingRevision = true, entry.Revision
		return 0, false, err
	}
}

// applyError returns the error of an Apply that ends because of cause.
func (c *Configurer) applyError(a applyCall, cause error) error {
	if errors.Is(cause, errShardFull) {
		return fmt.Errorf("%w: %w", ErrInvalid, cause)
	}
	if a.writePending {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// Outcome implements Operator.
func (c *Configurer) Outcome(ctx context.Context, changeID string) (revision int64, err error) {
	defer func() { err = eris.Wrapf(err, "outcome of change %q", changeID) }()
	if revision, ok := c.state.Load().outcome(changeID); ok {
		return revision, nil
	}
	_, h, err := c.readHead(ctx)
	if err == nil {
		err = c.syncToHead(ctx, h)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if revision, ok := c.state.Load().outcome(changeID); ok {
		return revision, nil
	}
	return 0, ErrNotFound
}

// extend returns the head that follows h, whose state is st, with one more
// change. When h holds many changes they are compacted into the shard documents
// first, to keep the head small.
func (c *Configurer) extend(ctx context.Context, h head, st *state, rec record) (next head, err error) {
	if len(h.Changes) >= c.cfg.CompactAfter {
		h = c.compactedHead(ctx, h, st)
	}
	rec.Revision = st.revision + 1
	after := st.withChanges([]record{rec})
	if _, err := encodeShard(rec.shard(), after.shards[rec.shard()]); err != nil {
		return head{}, err
	}
	return headOf(after, append(slices.Clone(h.Changes), rec), h.BaseRevision, h.BaseChain), nil
}

// repairedHead returns the head to extend, and its state: h and st if they
// agree. After the store was restored from an older copy, h is behind the state
// in force, and the returned head holds that state again.
func (c *Configurer) repairedHead(ctx context.Context, h head, st *state) (head, *state, error) {
	if h.Revision == st.revision && h.Chain == st.chain {
		return h, st, nil
	}
	c.mu.Lock()
	changes, chain, ok := c.history.since(h.Revision)
	c.mu.Unlock()
	if n := int(st.revision - h.Revision); ok && chain == h.Chain && n <= len(changes) {
		changes = changes[:n] // drop changes applied since st was loaded
		return headOf(st, append(slices.Clone(h.Changes), changes...), h.BaseRevision, h.BaseChain), st, nil
	}
	return c.rebasedHead(ctx, h, st)
}

// rebasedHead writes st into the shard documents and returns a head on top of
// it with the changes of h that st lacks. A host that did not know st has
// accepted them on top of the restored copy, and they must not be lost either.
func (c *Configurer) rebasedHead(ctx context.Context, h head, st *state) (head, *state, error) {
	var all []int
	for i, s := range st.shards {
		if s.revision > 0 {
			all = append(all, i)
		}
	}
	if err := c.compactShards(ctx, st, all); err != nil {
		return head{}, nil, err
	}
	var missing []record
	for _, rec := range h.Changes {
		if _, ok := st.outcome(rec.ChangeID); !ok {
			rec.Revision = st.revision + int64(len(missing)) + 1
			missing = append(missing, rec)
		}
	}
	after := st.withChanges(missing)
	return headOf(after, missing, st.revision, st.chain), after, nil
}

// compactedHead writes the head's changes into the shard documents and returns
// a head without changes. If that fails it returns h, as a long head is
// harmless up to the size limit of a document.
func (c *Configurer) compactedHead(ctx context.Context, h head, st *state) head {
	var shards []int
	for _, rec := range h.Changes {
		shards = append(shards, rec.shard())
	}
	slices.Sort(shards)
	if err := c.compactShards(ctx, st, slices.Compact(shards)); err != nil {
		c.logger.Warn("compaction of the head document failed", "error", err, "changes", len(h.Changes))
		return h
	}
	return headOf(st, nil, st.revision, st.chain)
}

func (c *Configurer) swapHead(ctx context.Context, entry provider.Entry, next head) (err error) {
	defer func() { err = eris.Wrap(err, "swap head document") }()
	value, err := encodeHead(next)
	if err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	_, err = c.cfg.Store.Swap(ctx, provider.Write{Key: c.headKey(), Value: value, IfRevision: entry.Revision})
	return err
}

// repairStore writes the state in force here into a store that is behind it. If
// it only seems so because of a stale read, the swap conflicts and changes
// nothing.
func (c *Configurer) repairStore(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "repair store") }()
	if err := acquire(ctx, c.commitSemaphore); err != nil {
		return err
	}
	defer release(c.commitSemaphore)
	entry, h, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	st := c.state.Load()
	if h.Revision >= st.revision {
		return nil
	}
	repaired, _, err := c.repairedHead(ctx, h, st)
	if err != nil {
		return err
	}
	err = c.swapHead(ctx, entry, repaired)
	if errors.Is(err, provider.ErrConflict) {
		return nil
	}
	if err == nil {
		c.applyHead(repaired, fromOutsideTree)
		c.counters.storeRepairs.Add(1)
		c.logger.Warn("store was behind this host and has been repaired", "store_revision", h.Revision, "revision", st.revision)
	}
	return err
}

// acquire takes the single token of a semaphore, or fails when ctx ends first.
func acquire(ctx context.Context, semaphore chan struct{}) error {
	select {
	case semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func release(semaphore chan struct{}) { <-semaphore }

// wait waits for d, or fails when ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
