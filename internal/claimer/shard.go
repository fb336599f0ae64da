package claimer

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// shardCount is part of the storage format: the key alone determines its shard, and so
	// its register. If hosts used different counts, a key would have two registers.
	shardCount = 64
	// shardPrefix identifies the storage format, including the count.
	shardPrefix = "endivemast/claims/v1x64"
	// headSealBytes is the size from which the entries of a head move to a segment. It
	// bounds how much each commit writes.
	headSealBytes = 32 << 10
	// maxBatchOperations is how many operations one commit takes. With the largest
	// answers, a commit stays below provider.MaxValueBytes.
	maxBatchOperations = 256
	// segmentIDSize is the size in bytes of a segment's random id. If an id is in use
	// already, the write fails.
	segmentIDSize = 8
	// commitBurst is how many commits a shard may make without waiting for the commit
	// interval. Without it, a claim would wait for the interval after the previous call's
	// outcome was recorded.
	commitBurst = 4
	// tableIdleTimeout is how long a host keeps a shard in memory that it doesn't write.
	tableIdleTimeout = time.Minute
)

// operation is an entry to be recorded in a shard.
type operation struct {
	key    hash
	wanted entry
	done   chan outcome // of capacity 1
	ctx    context.Context
}

// outcome is a decision or an error. ErrOutcomeUnknown means that the entry may have been
// recorded or may still be; after any other error it certainly won't be.
type outcome struct {
	decision decision
	err      error
}

// shardConfig is the configuration that all shards of a host share.
type shardConfig struct {
	store          provider.Store
	health         *storeHealth
	leases         *segmentLeases
	clock          func() time.Time
	retention      time.Duration
	commitInterval time.Duration // average time between two commits
	timeout        time.Duration // of one commit
	logger         hclog.Logger
}

// shard commits operations to one shard of the key-value service. Each write includes all
// waiting operations. Correctness depends only on the compare-and-swap of the head: any
// number of hosts may write a shard at a time, and only slow each other down.
type shard struct {
	shardConfig
	prefix    string
	limiter   *rate.Limiter
	spawn     func(work func(context.Context)) bool // returns false if the claimer is closed
	startOnce sync.Once
	wake      chan struct{}
	stopped   chan struct{} // closed when run has ended

	mu    sync.Mutex
	queue []*operation

	table *shardTable // used only by run
}

func newShard(cfg shardConfig, number int, spawn func(work func(context.Context)) bool) *shard {
	return &shard{
		shardConfig: cfg,
		prefix:      fmt.Sprintf("%s/%02x", shardPrefix, number),
		limiter:     rate.NewLimiter(rate.Every(cfg.commitInterval), commitBurst),
		spawn:       spawn,
		wake:        make(chan struct{}, 1),
		stopped:     make(chan struct{}),
	}
}

func (s *shard) headKey() string { return s.prefix + "/head" }

func (s *shard) segmentKey(id string) string { return s.prefix + "/segments/" + id }

// submit records an entry and waits for the decision or the end of ctx. An operation whose
// ctx has ended before its commit starts is dropped.
func (s *shard) submit(ctx context.Context, key hash, wanted entry) (result decision, err error) {
	s.startOnce.Do(func() {
		if !s.spawn(s.run) {
			close(s.stopped)
		}
	})
	op := &operation{key: key, wanted: wanted, done: make(chan outcome, 1), ctx: ctx}
	s.mu.Lock()
	s.queue = append(s.queue, op)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case o := <-op.done:
		return o.decision, o.err
	case <-ctx.Done():
		return decision{}, ErrOutcomeUnknown
	case <-s.stopped:
		return decision{}, ErrOutcomeUnknown
	}
}

// run commits operations until ctx ends.
func (s *shard) run(ctx context.Context) {
	defer close(s.stopped)
	for {
		if !s.waitForWork(ctx) {
			s.finishAll(s.dequeue(0), outcome{err: errClosed})
			return
		}
		ops := s.dequeue(maxBatchOperations)
		if len(ops) == 0 {
			continue
		}
		s.commitBatch(ctx, ops)
	}
}

// waitForWork waits for an operation, and then until the shard may commit again, while
// further operations are queued. It returns false if ctx has ended.
func (s *shard) waitForWork(ctx context.Context) bool {
	idle := time.NewTimer(tableIdleTimeout)
	defer idle.Stop()
	for isWaiting := true; isWaiting; {
		select {
		case <-ctx.Done():
			return false
		case <-idle.C:
			s.table = nil
		case <-s.wake:
			isWaiting = false
		}
	}
	return s.limiter.Wait(ctx) == nil
}

// dequeue removes up to limit operations from the queue, skipping those whose ctx has
// ended. If limit is 0, it removes all.
func (s *shard) dequeue(limit int) []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ops []*operation
	for len(s.queue) > 0 && (limit == 0 || len(ops) < limit) {
		op := s.queue[0]
		s.queue = s.queue[1:]
		if op.ctx.Err() == nil || limit == 0 {
			ops = append(ops, op)
		}
	}
	if len(s.queue) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return ops
}

func (s *shard) finishAll(ops []*operation, o outcome) {
	for _, op := range ops {
		op.done <- o
	}
}

func (s *shard) commitBatch(ctx context.Context, ops []*operation) {
	if err := s.health.checkAvailable(); err != nil {
		s.finishAll(ops, outcome{err: err})
		return
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, s.timeout)
	defer cancel()
	decisions, err := s.commit(ctx, ops)
	s.health.report(err)
	if err != nil {
		s.logger.Warn("failed to commit claims", "shard", s.prefix, "claims", len(ops), "error", err)
		s.table = nil
		s.finishAll(ops, outcome{err: err})
		return
	}
	for i, op := range ops {
		op.done <- outcome{decision: s.withAnswer(ctx, op.key, decisions[i])}
	}
}

// commit decides operations and writes the changes. It fails with ErrOutcomeUnknown if one
// of its writes may have been applied or may still be.
func (s *shard) commit(ctx context.Context, ops []*operation) (decisions []decision, err error) {
	maybeWritten := false // a write got no answer
	defer func() {
		if err != nil && maybeWritten {
			err = eris.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}()
	fresh := false
	for {
		if s.table == nil {
			if err := s.refresh(ctx); err != nil {
				return nil, err
			}
			fresh = true
		}
		changes, decisions := s.table.plan(ops)
		if isFinal(changes, decisions) || len(changes) == 0 && fresh {
			return decisions, nil
		}
		if len(changes) > 0 {
			err := s.write(ctx, changes)
			switch {
			case err == nil:
				return decisions, nil
			case errors.Is(err, provider.ErrConflict):
			case errors.Is(err, provider.ErrOutcomeUnknown):
				// Neither repeat the write blindly nor give up: the head that is read next
				// decides. A write that is still in transit is either applied before the
				// next write, which then conflicts, or never, because the revision of the
				// head has changed.
				maybeWritten = true
			default:
				return nil, err
			}
		}
		if err := s.refresh(ctx); err != nil {
			return nil, err
		}
		fresh = true
	}
}

// refresh reads the head and the segments that are not in memory yet.
func (s *shard) refresh(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "read shard "+s.prefix)
		}
	}()
	if s.table == nil {
		s.table = newShardTable()
	}
	head, err := s.store.Get(ctx, s.headKey())
	if errors.Is(err, provider.ErrNotFound) {
		head, err = provider.Entry{}, nil
	}
	if err != nil {
		return err
	}
	missing, err := s.table.setHead(head.Value, head.Revision)
	if err != nil {
		return err
	}
	for _, ref := range missing {
		if err := s.readSegment(ctx, ref); err != nil {
			return err
		}
	}
	return nil
}

func (s *shard) readSegment(ctx context.Context, ref *claimerpb.SegmentRef) (err error) {
	segment, err := s.store.Get(ctx, s.segmentKey(ref.GetId()))
	switch {
	case err == nil:
		return s.table.addSegment(ref, segment.Value)
	case !errors.Is(err, provider.ErrNotFound):
		return err
	case ref.GetSealedUnix() < s.expiredBefore():
		return nil // expired; the next write drops the reference
	default:
		// Otherwise its keys would count as unused, and their calls could run again.
		return eris.Errorf("segment %s of %s is gone before its time", ref.GetId(), s.prefix)
	}
}

// write replaces the head by compare-and-swap, after moving the entries of a large head to
// a segment.
func (s *shard) write(ctx context.Context, changes []change) (err error) {
	var sealed *claimerpb.SegmentRef
	if s.table.headSize() > headSealBytes {
		if sealed, err = s.seal(ctx); err != nil {
			return err
		}
	}
	expiredBefore := s.expiredBefore()
	value, err := s.table.encodeHead(changes, sealed, expiredBefore)
	if err != nil {
		return err
	}
	written, err := s.store.Swap(ctx, provider.Write{
		Key: s.headKey(), Value: value, IfRevision: s.table.revision,
	})
	if err != nil {
		return err
	}
	s.table.applyWrite(changes, sealed, expiredBefore, written.Revision)
	return nil
}

// seal writes the head's entries as a segment. The segment has no effect until the head
// refers to it, so any error here means that the claims were not written. A segment
// without a reference is removed with its lease.
func (s *shard) seal(ctx context.Context) (ref *claimerpb.SegmentRef, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(provider.ErrUnavailable, "seal "+s.prefix+": "+err.Error())
		}
	}()
	lease, err := s.leases.current(ctx)
	if err != nil {
		return nil, err
	}
	value, err := s.table.encodeSegment()
	if err != nil {
		return nil, err
	}
	id := uuid.New()
	ref = &claimerpb.SegmentRef{Id: hex.EncodeToString(id[:segmentIDSize]), SealedUnix: s.clock().Unix()}
	_, err = s.store.Swap(ctx, provider.Write{Key: s.segmentKey(ref.GetId()), Value: value, Lease: lease})
	s.leases.dropIfLost(err)
	return ref, err
}

func (s *shard) expiredBefore() int64 {
	return s.clock().Add(-s.retention).Unix()
}

// withAnswer adds the recorded answer of a call whose entry is in a segment. It is best
// effort: without it, a repeat only learns that the call was answered.
func (s *shard) withAnswer(ctx context.Context, key hash, d decision) decision {
	held, inSegment := s.table.sealed[key]
	_, inHead := s.table.head[key]
	if d.verdict != claimerpb.Verdict_VERDICT_RECORDED || inHead || !inSegment {
		return d
	}
	value, err := s.store.Get(ctx, s.segmentKey(held.segment))
	if err != nil {
		s.logger.Warn("failed to read a recorded answer", "shard", s.prefix, "error", err)
		return d
	}
	d.record.Answer = findAnswer(value.Value, key)
	return d
}
