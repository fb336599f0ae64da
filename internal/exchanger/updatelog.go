package exchanger

// UpdateLog keeps the latest updates of one kind with their origin, for peers that have each
// been sent updates up to a different position. It does no locking.
type UpdateLog[U any] struct {
	limit   int
	head    uint64 // position of the latest update; 0: none yet
	updates []logEntry[U]
}

// logEntry is an update and the narrowest scope that its source belongs to.
type logEntry[U any] struct {
	update U
	origin Scope
}

// NewUpdateLog returns a log that keeps at least limit updates.
func NewUpdateLog[U any](limit int) UpdateLog[U] { return UpdateLog[U]{limit: limit} }

// Head returns the position of the latest update.
func (l *UpdateLog[U]) Head() uint64 { return l.head }

// Len returns the number of updates kept.
func (l *UpdateLog[U]) Len() int { return len(l.updates) }

// Add appends an update.
func (l *UpdateLog[U]) Add(update U, origin Scope) {
	l.head++
	l.updates = append(l.updates, logEntry[U]{update, origin})
	if len(l.updates) > 2*l.limit { // trimmed rarely, because it copies the rest
		l.updates = append([]logEntry[U](nil), l.updates[len(l.updates)-l.limit:]...)
	}
}

// Since returns the updates after a position that the scope includes. ok is false if some of
// them are no longer kept, or the position is 0 or is not a position of this log.
func (l *UpdateLog[U]) Since(after uint64, scope Scope) (updates []U, ok bool) {
	missing := l.head - after
	if after > l.head || after == 0 || missing > uint64(len(l.updates)) {
		return nil, false
	}
	for _, entry := range l.updates[uint64(len(l.updates))-missing:] {
		if entry.origin <= scope {
			updates = append(updates, entry.update)
		}
	}
	return updates, true
}
