package streamkeeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/streamkeeper/streamkeeperpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// This file looks streams up. A stream without a record goes on only where some host has read from
// the platform's store, after the caller's request arrived, that there is one origin: the host that
// began the stream knew of its origin from the store before.

// lookup is the state of one lookup.
type lookup struct {
	id        key
	class     string
	startedAt time.Time
	keepers   []string
	own       reply
	replies   []reply
	// needsAll is true if streams may live that are known by their record only.
	needsAll bool
}

// Find returns the origin of a stream that a caller takes up. It fails with ErrUnknown if no host
// that it reaches knows.
func (k *Keeper) Find(ctx context.Context, stream *Stream) (origin Origin, err error) {
	select {
	case k.finds <- struct{}{}:
		defer func() { <-k.finds }()
	default:
		k.cfg.Meter.CountStreamRecord(eventUnknown)
		return origin, errors.Join(ErrUnknown, errBusy)
	}
	l := &lookup{id: stream.key(), class: stream.Class, startedAt: k.cfg.Clock()}
	k.mu.Lock()
	l.own = k.replyLocked(l.id, l.class, l.startedAt)
	l.needsAll = l.own.view.kind != viewSingle || k.views.hasRecent(l.class, l.startedAt)
	l.keepers = slices.DeleteFunc(keepersOf(l.id, k.hosts, k.cfg.Zone, askedCount), func(hostID string) bool { return hostID == k.cfg.HostID })
	k.mu.Unlock()
	if !l.own.isRecorded {
		k.runLookup(ctx, l)
	}
	origin, ok := l.decide()
	isRecorded := l.own.isRecorded || slices.ContainsFunc(l.replies, func(r reply) bool { return r.isRecorded })
	event := eventSingle
	switch {
	case !ok:
		event, err = eventUnknown, ErrUnknown
	case isRecorded:
		event = eventRecorded
	}
	k.cfg.Meter.CountStreamRecord(event)
	k.logLookup("origin of a stream looked up", append([]any{"resumes", stream.RequestID, "result", event, "software_version", origin.SoftwareVersion}, k.argsOf(l)...)...)
	return origin, err
}

// runLookup asks the keepers for a record while this host synchronizes with the store. If it can't, it
// asks the keepers to do so.
func (k *Keeper) runLookup(ctx context.Context, l *lookup) {
	if l.own.view.kind != viewSingle || !k.cfg.IsStoreReachable() {
		l.replies = k.ask(ctx, l, true, nil)
		return
	}
	synchronized := make(chan struct{})
	confirmCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer close(synchronized)
		l.own = k.confirm(confirmCtx, l.id, l.class)
		return nil
	})
	l.replies = k.ask(ctx, l, false, synchronized)
	isRecorded := slices.ContainsFunc(l.replies, func(r reply) bool { return r.isRecorded })
	if isRecorded {
		cancel()
	}
	_ = group.Wait() // the function returns no error
	if _, ok := l.decide(); !ok && !isRecorded && !l.own.isConfirmed {
		l.replies = k.ask(ctx, l, true, nil)
	}
}

// decide returns the stream's origin. A host that has not replied may have the record.
func (l *lookup) decide() (origin Origin, ok bool) {
	origin, ok = decide(&l.own, l.replies)
	isRecorded := l.own.isRecorded || slices.ContainsFunc(l.replies, func(r reply) bool { return r.isRecorded })
	if l.needsAll && !isRecorded && len(l.replies) < len(l.keepers) {
		return Origin{}, false
	}
	return origin, ok
}

// confirm returns what this host knows of a stream once it knows all changes that the platform's store
// has accepted by now. The reply is not confirmed if the store does not answer.
func (k *Keeper) confirm(ctx context.Context, id key, class string) (r reply) {
	limited, cancel := timekeeper.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := k.cfg.Synchronize(limited)
	now := k.cfg.Clock()
	k.mu.Lock()
	r = k.replyLocked(id, class, now)
	if err != nil && ctx.Err() == nil {
		k.unconfirmedAt = now
		k.sendUnsentLocked(now, false)
	}
	k.mu.Unlock()
	r.isConfirmed = err == nil
	if err != nil && ctx.Err() == nil {
		k.cfg.Meter.CountStreamRecord(eventUnsynchronized)
		k.logLookup("view of streams not confirmed by the store", "class", class, "error", err)
	}
	return r
}

// replyLocked returns what this host knows of a stream.
func (k *Keeper) replyLocked(id key, class string, now time.Time) (r reply) {
	r.view = k.views.of(class, now)
	found, ok := k.own.find(id, now)
	if !ok {
		found, ok = k.kept.find(id, now)
	}
	if ok {
		r.isRecorded, r.origin = true, found.origin
	}
	return r
}

// ask asks the keepers at once, and returns their replies up to the first that decides. If isConfirming
// is true, the keepers synchronize with the store. synchronized is closed once this host has tried to.
func (k *Keeper) ask(ctx context.Context, l *lookup, isConfirming bool, synchronized <-chan struct{}) (replies []reply) {
	timeout := findTimeout
	if isConfirming {
		timeout += confirmTimeout
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan *reply, len(l.keepers))
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait() // the functions return no error
	}()
	for _, hostID := range l.keepers {
		group.Go(func() error {
			answers <- k.askKeeper(ctx, hostID, l, isConfirming)
			return nil
		})
	}
	for pending := len(l.keepers); pending > 0; {
		select {
		case answer := <-answers:
			pending--
			if answer == nil {
				continue
			}
			replies = append(replies, *answer)
			if answer.isRecorded {
				return replies
			}
		case <-synchronized:
			synchronized = nil
		}
		if synchronized != nil || len(replies) == 0 {
			continue
		}
		l.replies = replies
		if _, ok := l.decide(); ok {
			return replies
		}
	}
	return replies
}

// askKeeper returns nil if the keeper does not answer.
func (k *Keeper) askKeeper(ctx context.Context, hostID string, l *lookup, isConfirming bool) *reply {
	conn, err := k.cfg.Conn(hostID)
	if err != nil {
		return nil
	}
	answer, err := streamkeeperpb.NewStreamKeeperClient(conn).Find(ctx, &streamkeeperpb.FindRequest{Key: l.id[:], Class: l.class, Confirm: isConfirming})
	if err != nil {
		if ctx.Err() == nil {
			k.logLookup("keeper of a stream does not answer", "keeper", hostID, "error", err)
		}
		return nil
	}
	origin := Origin{Application: answer.GetApplication(), SoftwareVersion: answer.GetSoftwareVersion()}
	r := &reply{origin: origin, isRecorded: answer.GetIsRecorded(), isConfirmed: answer.GetIsConfirmed()}
	switch answer.GetView() {
	case streamkeeperpb.View_VIEW_SINGLE:
		r.view = singleOf(origin)
	case streamkeeperpb.View_VIEW_SEVERAL:
		r.view = view{kind: viewSeveral}
	}
	return r
}

func (k *Keeper) logLookup(message string, args ...any) {
	if k.logs.Allow() {
		k.cfg.Logger.Info(message, args...)
	}
}

// argsOf states what a lookup was decided by.
func (k *Keeper) argsOf(l *lookup) []any {
	confirmed, several := 0, 0
	for _, r := range l.replies {
		if r.isConfirmed {
			confirmed++
		}
		if r.view.kind == viewSeveral {
			several++
		}
	}
	return []any{
		"class", l.class, "took_ms", k.cfg.Clock().Sub(l.startedAt).Milliseconds(), "own_view", l.own.view.kind.String(), "own_version", l.own.view.origin.SoftwareVersion,
		"revision", k.cfg.Revision(), "own_is_recorded", l.own.isRecorded, "own_is_confirmed", l.own.isConfirmed, "has_store", k.cfg.IsStoreReachable(),
		"keepers", l.keepers, "replies", len(l.replies), "replies_confirmed", confirmed, "replies_several", several,
	}
}
