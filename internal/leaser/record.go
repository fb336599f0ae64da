package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
)

const (
	// maxSwapTries bounds the attempts of a write whose outcome is unknown.
	maxSwapTries = 3
	// maxTakeOverTries bounds the attempts to take over while the previous holder
	// still writes.
	maxTakeOverTries = 5
)

// Update applies edit to the record, writes the result by compare-and-swap under
// this process's authority, and returns what was written. edit may be called more
// than once. Update fails with ErrNotHolder, provider.ErrUnavailable (nothing was
// written), provider.ErrOutcomeUnknown, or edit's own error.
//
// After ErrOutcomeUnknown the write may still be applied at any later time. The
// next Update detects this: either its swap conflicts with the late write and edit
// is called again, or its swap succeeds and the late write can't be applied any
// more.
func (l *Leaser) Update(ctx context.Context, edit func(*Draft) error) (record Record, err error) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	for {
		current, revision, ok := l.current()
		if !ok {
			return Record{}, ErrNotHolder
		}
		next, err := Revise(current, newWriteID(), edit)
		if err != nil {
			return Record{}, err
		}
		written, err := l.swapRecord(ctx, next, revision)
		if err == nil {
			return next, l.setRecord(next, written)
		}
		if !errors.Is(err, provider.ErrConflict) {
			return Record{}, eris.Wrap(err, "update zone record")
		}
		if err := l.refresh(ctx); err != nil {
			return Record{}, err
		}
	}
}

func (l *Leaser) current() (Record, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record, l.revision, l.validLocked()
}

// setRecord stores a written record, unless the authority was lost in the meantime.
func (l *Leaser) setRecord(record Record, revision int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.record.Term != record.Term {
		return ErrNotHolder
	}
	l.record, l.revision = record, revision
	return nil
}

// refresh rereads the record after a conflict: either an earlier write of this
// process was applied late, or a successor has written.
func (l *Leaser) refresh(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "reread zone record") }()
	stored, err := l.readRecord(ctx)
	if err != nil {
		return err
	}
	if l.loseIfRestored() {
		return ErrNotHolder
	}
	if stored.record.Holder.Incarnation != l.cfg.Incarnation {
		l.loseAuthority("succeeded by " + stored.record.Holder.HostID)
		l.wakeRun()
		return ErrNotHolder
	}
	return l.setRecord(stored.record, stored.revision)
}

// storedRecord is a record as read in an era of the store.
type storedRecord struct {
	record   Record // the latest one, which may be of an earlier era; zero: none
	revision int64  // of the record's key in that era; 0: absent
	era      int64
}

func (l *Leaser) readRecord(ctx context.Context) (stored storedRecord, err error) {
	if _, hasEras := l.cfg.Store.(provider.EraReporter); hasEras {
		return l.readRecordOfEra(ctx)
	}
	entry, err := l.cfg.Store.Get(ctx, RecordKey(l.cfg.Zone))
	if errors.Is(err, provider.ErrNotFound) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	stored.revision = entry.Revision
	stored.record, err = decodeRecord(entry.Value)
	return stored, err
}

// readRecordOfEra reads the records of all eras.
func (l *Leaser) readRecordOfEra(ctx context.Context) (stored storedRecord, err error) {
	entries, revision, err := l.cfg.Store.List(ctx, RecordKey(l.cfg.Zone))
	if err != nil {
		return storedRecord{}, err
	}
	stored.era = provider.EraOf(revision)
	for _, entry := range entries {
		if !isRecordKey(l.cfg.Zone, entry.Key) {
			continue // of another writer
		}
		record, err := decodeRecord(entry.Value)
		if err != nil {
			return storedRecord{}, err
		}
		if entry.Key == eraRecordKey(l.cfg.Zone, stored.era) {
			stored.revision = entry.Revision
		}
		if record.Epoch > stored.record.Epoch {
			stored.record = record
		}
	}
	return stored, nil
}

// swapRecord writes a record and returns its new revision. A write without an
// answer is repeated unchanged, because reading the old revision back wouldn't
// prove that it can't still be applied; the expected revision lets only one of the
// two be applied. After a conflict, the record's write ID shows whether the earlier
// one was.
func (l *Leaser) swapRecord(ctx context.Context, record Record, ifRevision int64) (revision int64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	write := provider.Write{Key: eraRecordKey(l.cfg.Zone, record.Era), Value: value, IfRevision: ifRevision}
	for range maxSwapTries {
		entry, swapErr := l.cfg.Store.Swap(ctx, write)
		isUnknown := err != nil
		switch {
		case swapErr == nil && provider.EraOf(entry.Revision) != record.Era:
			return 0, errRestored
		case swapErr == nil:
			return entry.Revision, nil
		case errors.Is(swapErr, provider.ErrOutcomeUnknown):
			err = swapErr
		case errors.Is(swapErr, provider.ErrConflict) && isUnknown:
			return l.findOwnWrite(ctx, record.WriteID)
		case !isUnknown:
			return 0, swapErr
		}
	}
	return 0, err
}

// findOwnWrite returns the revision of the record if this process's write was
// applied, or ErrConflict if it wasn't.
func (l *Leaser) findOwnWrite(ctx context.Context, writeID string) (revision int64, err error) {
	stored, err := l.readRecord(ctx)
	if err != nil {
		return 0, errors.Join(provider.ErrOutcomeUnknown, err)
	}
	if stored.record.WriteID != writeID {
		return 0, provider.ErrConflict
	}
	if stored.era != stored.record.Era {
		return 0, errRestored
	}
	return stored.revision, nil
}

// errRestored means that the store has come back from an older copy, in a new era.
var errRestored = eris.New("store restored from an older copy")

// era returns the era that the store has stated; 0: none.
func (l *Leaser) era() int64 {
	if reporter, ok := l.cfg.Store.(provider.EraReporter); ok {
		return reporter.Era()
	}
	return 0
}

// loseIfRestored gives up an authority of an earlier era, whose lease and record are
// gone, and reports whether it did.
func (l *Leaser) loseIfRestored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.record.Era == l.era() {
		return false
	}
	l.loseAuthorityLocked(errRestored.Error())
	l.wakeRun()
	return true
}

// tryTakeOver takes over if the zone has no live holder.
func (l *Leaser) tryTakeOver(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "take over zone authority") }()
	self, ok := l.self()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.TTL)
	defer cancel()
	hasHolder, err := l.hasHolder(ctx)
	if err != nil || hasHolder {
		return err
	}
	sentAt := l.cfg.Now()
	lease, err := l.cfg.Store.Grant(ctx, l.cfg.TTL)
	if err != nil {
		return err
	}
	result, err := l.takeOver(ctx, self, lease)
	if err != nil || !l.startHolding(result, lease, sentAt) {
		l.revokeUnused(ctx, lease)
	}
	return err
}

func (l *Leaser) self() (Holder, bool) {
	self := Holder{HostID: l.cfg.HostID, Incarnation: l.cfg.Incarnation, Address: l.cfg.Address}
	if l.cfg.ListedAt == nil {
		return self, true
	}
	revision, ok := l.cfg.ListedAt()
	self.ListedAt = revision
	return self, ok
}

func (l *Leaser) hasHolder(ctx context.Context) (live bool, err error) {
	entry, err := l.cfg.Store.Get(ctx, LivenessKey(l.cfg.Zone))
	if errors.Is(err, provider.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	record, err := decodeRecord(entry.Value)
	if err != nil {
		return false, err
	}
	l.recordSeen(record)
	return true, nil
}

func (l *Leaser) recordSeen(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeen = record
}

// takeOverResult is a record that this process has written by taking over, and its
// revision.
type takeOverResult struct {
	record   Record
	revision int64
}

// takeOver creates the liveness key, so that at most one candidate at a time
// proceeds, and then replaces the holder in the record.
func (l *Leaser) takeOver(ctx context.Context, self Holder, lease provider.LeaseID) (result takeOverResult, err error) {
	stored, err := l.readRecord(ctx)
	if err != nil {
		return takeOverResult{}, err
	}
	era, next := stored.era, l.nextRecord(&stored, self)
	if err := l.createLiveness(ctx, next, lease); err != nil {
		return takeOverResult{}, err
	}
	for range maxTakeOverTries {
		revision, err := l.swapRecord(ctx, next, stored.revision)
		if err == nil {
			return takeOverResult{record: next, revision: revision}, nil
		}
		if !errors.Is(err, provider.ErrConflict) {
			return takeOverResult{}, err
		}
		if stored, err = l.readRecord(ctx); err != nil {
			return takeOverResult{}, err
		}
		if stored.era != era {
			return takeOverResult{}, errRestored // the liveness key is gone
		}
		next = l.nextRecord(&stored, self)
	}
	return takeOverResult{}, provider.ErrConflict
}

// nextRecord returns the record with which this process takes over.
func (l *Leaser) nextRecord(stored *storedRecord, self Holder) Record {
	record := stored.record
	if record.Era < stored.era {
		record = CarryOver(record, stored.era, l.cfg.Now())
	}
	return TakeOver(record, l.cfg.Zone, self, newWriteID())
}

func (l *Leaser) createLiveness(ctx context.Context, next Record, lease provider.LeaseID) error {
	next.Payload = nil
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = l.cfg.Store.Swap(ctx, provider.Write{
		Key: LivenessKey(l.cfg.Zone), Value: value, Lease: lease,
	})
	return err
}

// startHolding stores the acquired authority, unless the Leaser was stopped or
// fenced in the meantime.
func (l *Leaser) startHolding(result takeOverResult, lease provider.LeaseID, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || result.record.Epoch <= l.fencedThrough {
		return false
	}
	l.held, l.lease = true, lease
	l.record, l.revision = result.record, result.revision
	l.validUntil = sentAt.Add(l.cfg.TTL - l.cfg.Margin)
	l.cfg.Log.Info("zone authority acquired", "zone", l.cfg.Zone, "epoch", result.record.Epoch)
	return true
}

// revokeUnused revokes an unused lease and thereby deletes the liveness key
// attached to it, so that the zone doesn't have to wait for the TTL.
func (l *Leaser) revokeUnused(ctx context.Context, lease provider.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.cfg.TTL)
	defer cancel()
	if err := l.cfg.Store.Revoke(ctx, lease); err != nil {
		l.cfg.Log.Debug("failed to revoke unused lease", "zone", l.cfg.Zone, "error", err)
	}
}

func isLeaseLost(err error) bool { return errors.Is(err, provider.ErrLeaseLost) }
