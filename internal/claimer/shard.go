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
	// shardCount is part of the format: the shard of a key, and with it the
	// register that decides, follows from the key alone. With another count on
	// some hosts a key would have two registers.
	shardCount = 64
	// shardPrefix names the format, the count included.
	shardPrefix = "endivemast/claims/v1x64"
	// headLimit is the size in bytes from which a head's entries move to a
	// segment. It bounds what each commit writes.
	headLimit = 32 << 10
	// batchLimit is how many operations one commit takes. With the largest
	// answers it stays below provider.MaxValueBytes.
	batchLimit = 256
	// segmentIDSize is the size of a segment's random name in bytes. A name that
	// is in use already makes the write fail.
	segmentIDSize = 8
	// commitBurst is how many commits a shard may make without a gap. Without
	// it a claim would wait for the gap after the record of the call before.
	commitBurst = 4
	// tableIdle is how long a host keeps a shard in memory that it doesn't write.
	tableIdle = time.Minute
)

// operation is an entry on its way to a shard.
type operation struct {
	key    hash
	wanted entry
	done   chan outcome // of capacity 1
	ctx    context.Context
}

// outcome is a decision, or an error: ErrOutcomeUnknown when the entry may
// have been recorded or may yet be, anything else when it certainly will not.
type outcome struct {
	decision decision
	err      error
}

// shardConfig is what all shards of a host share.
type shardConfig struct {
	store     provider.Store
	health    *health
	leases    *segmentLeases
	clock     func() time.Time
	retention time.Duration
	gap       time.Duration // between two commits in the long run
	timeout   time.Duration // of one commit
	logger    hclog.Logger
}

// shard commits operations to one shard of the key-value service, all that
// wait in one write. Soundness rests on the swap of the head alone: any
// number of hosts may write a shard at a time, they only slow each other down.
type shard struct {
	shardConfig
	prefix  string
	pace    *rate.Limiter
	spawn   func(work func(context.Context)) bool // false: closed
	begin   sync.Once
	wake    chan struct{}
	stopped chan struct{} // closed when run has ended

	mu    sync.Mutex
	queue []*operation

	table *shardTable // of the run loop only
}

func newShard(cfg shardConfig, number int, spawn func(work func(context.Context)) bool) *shard {
	return &shard{
		shardConfig: cfg,
		prefix:      fmt.Sprintf("%s/%02x", shardPrefix, number),
		pace:        rate.NewLimiter(rate.Every(cfg.gap), commitBurst),
		spawn:       spawn,
		wake:        make(chan struct{}, 1),
		stopped:     make(chan struct{}),
	}
}

func (s *shard) headKey() string { return s.prefix + "/head" }

func (s *shard) segmentKey(id string) string { return s.prefix + "/segments/" + id }

// submit records an entry and waits for the decision, or until ctx ends. An
// operation whose ctx has ended before its commit began is dropped.
func (s *shard) submit(ctx context.Context, key hash, wanted entry) (result decision, err error) {
	s.begin.Do(func() {
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

// run commits until ctx ends.
func (s *shard) run(ctx context.Context) {
	defer close(s.stopped)
	for {
		if !s.awaitWork(ctx) {
			s.deliverAll(s.take(0), outcome{err: errClosed})
			return
		}
		ops := s.take(batchLimit)
		if len(ops) == 0 {
			continue
		}
		s.commitBatch(ctx, ops)
	}
}

// awaitWork waits for an operation, and then until the shard may commit again,
// while further operations gather. It returns false when ctx has ended.
func (s *shard) awaitWork(ctx context.Context) bool {
	idle := time.NewTimer(tableIdle)
	defer idle.Stop()
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			return false
		case <-idle.C:
			s.table = nil
		case <-s.wake:
			waiting = false
		}
	}
	return s.pace.Wait(ctx) == nil
}

// take removes up to limit operations that are still waited for from the
// queue, or all when limit is 0.
func (s *shard) take(limit int) []*operation {
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

func (s *shard) deliverAll(ops []*operation, o outcome) {
	for _, op := range ops {
		op.done <- o
	}
}

func (s *shard) commitBatch(ctx context.Context, ops []*operation) {
	if err := s.health.check(); err != nil {
		s.deliverAll(ops, outcome{err: err})
		return
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, s.timeout)
	defer cancel()
	decisions, err := s.commit(ctx, ops)
	s.health.report(err)
	if err != nil {
		s.logger.Warn("commit of claims failed", "shard", s.prefix, "claims", len(ops), "error", err)
		s.table = nil
		s.deliverAll(ops, outcome{err: err})
		return
	}
	for i, op := range ops {
		op.done <- outcome{decision: s.withAnswer(ctx, op.key, decisions[i])}
	}
}

// commit decides operations and writes what changes. It fails with
// ErrOutcomeUnknown when a write of it may have landed or may land yet.
func (s *shard) commit(ctx context.Context, ops []*operation) (decisions []decision, err error) {
	sent := false // a write without an answer
	defer func() {
		if err != nil && sent {
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
		if settled(changes, decisions) || len(changes) == 0 && fresh {
			return decisions, nil
		}
		if len(changes) > 0 {
			err := s.write(ctx, changes)
			switch {
			case err == nil:
				return decisions, nil
			case errors.Is(err, provider.ErrConflict):
			case errors.Is(err, provider.ErrOutcomeUnknown):
				// Not repeated blindly and not given up: what the head holds
				// after the next read decides. A write that is still under way
				// then either lands before the next one, which conflicts, or
				// never, because the head's revision has moved on.
				sent = true
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

// refresh reads the head and the segments that are not known yet.
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
		return nil // expired, and the next write drops its name
	default:
		// Its keys would count as fresh, and their calls could run again.
		return eris.Errorf("segment %s of %s is gone before its time", ref.GetId(), s.prefix)
	}
}

// write swaps the head, after it has moved a large head's entries to a segment.
func (s *shard) write(ctx context.Context, changes []change) (err error) {
	var sealed *claimerpb.SegmentRef
	if s.table.headSize() > headLimit {
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
	s.table.applied(changes, sealed, expiredBefore, written.Revision)
	return nil
}

// seal writes the head's entries as a segment. Until the head names it, the
// segment means nothing, so every error of it is one of a write that has
// not happened; a segment that is never named goes with its lease.
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
	s.leases.forget(err)
	return ref, err
}

func (s *shard) expiredBefore() int64 {
	return s.clock().Add(-s.retention).Unix()
}

// withAnswer adds the answer of a call whose entry is in a segment. It is best
// effort: without it the repeat hears that the call was answered.
func (s *shard) withAnswer(ctx context.Context, key hash, d decision) decision {
	held, inSegment := s.table.sealed[key]
	_, inHead := s.table.head[key]
	if d.verdict != claimerpb.Verdict_VERDICT_RECORDED || inHead || !inSegment {
		return d
	}
	value, err := s.store.Get(ctx, s.segmentKey(held.segment))
	if err != nil {
		s.logger.Warn("recorded answer not read", "shard", s.prefix, "error", err)
		return d
	}
	d.record.Answer = answerIn(value.Value, key)
	return d
}
