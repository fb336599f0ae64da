package observer

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
)

// relaxMargin is by how much later than the known reading a peer's has to be to raise or
// end a limit. A peer's times count from the arrival of its message, which may have been
// held up on the way.
const relaxMargin = time.Second

// update is what peers are sent of a process.
func (r *record) update(process driver.Process) exchanger.SignalUpdate {
	return exchanger.SignalUpdate{
		Process: process, Limit: r.limit.limit, SentAt: r.limit.sentAt, ReceivedAt: r.limit.receivedAt,
		IsLeaving: r.isLeaving,
	}
}

// Updates implements exchanger.Signals.
func (o *Observer) Updates(after uint64, scope exchanger.Scope) (updates []exchanger.SignalUpdate, position uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if updates, ok := o.log.Since(after, scope); ok {
		return updates, o.log.Head()
	}
	// All that is known, of whichever host: who has sent it first may be gone by now.
	for process, r := range o.records {
		if r.isLeaving || !r.limit.receivedAt.IsZero() {
			updates = append(updates, r.update(process))
		}
	}
	return updates, o.log.Head()
}

// Merge implements exchanger.Signals.
func (o *Observer) Merge(updates []exchanger.SignalUpdate, isOwnZone bool) {
	origin := exchanger.ScopeAll
	if isOwnZone {
		origin = exchanger.ScopeZone
	}
	var leaving []string
	o.mu.Lock()
	now := o.cfg.Clock()
	for i := range updates {
		if o.mergeLocked(&updates[i], now, origin) {
			leaving = append(leaving, updates[i].Process.EndpointID)
		}
	}
	o.mu.Unlock()
	if len(leaving) > 0 {
		o.cfg.OnLeaving(leaving...)
	}
}

// mergeLocked is true where the process leaves, which was not known.
func (o *Observer) mergeLocked(update *exchanger.SignalUpdate, now time.Time, origin exchanger.Scope) (leaves bool) {
	r := o.records[update.Process]
	if r == nil {
		if !update.Limit.IsSet && !update.IsLeaving {
			return false
		}
		r = o.addLocked(update.Process, now)
	}
	leaves = update.IsLeaving && o.takeLeavingLocked(update.Process, r, origin)
	said := reading{limit: update.Limit, sentAt: update.SentAt, receivedAt: update.ReceivedAt}
	isRelaxing := said.limit != r.limit.limit && !isStricter(said.limit, r.limit.limit)
	if isRelaxing && said.sentAt.Before(r.limit.receivedAt.Add(relaxMargin)) {
		return leaves
	}
	r.saidAt = now
	o.takeLimitLocked(update.Process, r, said, origin)
	return leaves
}
