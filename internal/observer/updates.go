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
		if !r.limit.receivedAt.IsZero() {
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
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range updates {
		o.mergeLocked(&updates[i], now, origin)
	}
}

func (o *Observer) mergeLocked(update *exchanger.SignalUpdate, now time.Time, origin exchanger.Scope) {
	r := o.records[update.Process]
	if r == nil {
		if !update.Limit.IsSet {
			return
		}
		r = o.addLocked(update.Process, now)
	}
	said := reading{limit: update.Limit, sentAt: update.SentAt, receivedAt: update.ReceivedAt}
	isRelaxing := said.limit != r.limit.limit && !isStricter(said.limit, r.limit.limit)
	if isRelaxing && said.sentAt.Before(r.limit.receivedAt.Add(relaxMargin)) {
		return
	}
	r.saidAt = now
	o.takeLimitLocked(update.Process, r, said, origin)
}
