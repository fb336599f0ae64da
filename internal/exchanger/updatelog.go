package exchanger

// UpdateLog keeps the latest updates of one kind, each with where it comes from, for
// peers that each are sent up to another position of it. Its user locks it.
type UpdateLog[W any] struct {
	limit   int
	head    uint64 // position of the latest update; 0: none yet
	updates []logEntry[W]
}

// logEntry is an update with the nearest host that sent it.
type logEntry[W any] struct {
	update W
	origin Scope
}

// NewUpdateLog makes a log that keeps so many updates at least.
func NewUpdateLog[W any](limit int) UpdateLog[W] { return UpdateLog[W]{limit: limit} }

// Head is the position of the latest update.
func (l *UpdateLog[W]) Head() uint64 { return l.head }

// Len is how many updates are kept.
func (l *UpdateLog[W]) Len() int { return len(l.updates) }

// Add adds an update.
func (l *UpdateLog[W]) Add(update W, origin Scope) {
	l.head++
	l.updates = append(l.updates, logEntry[W]{update, origin})
	if len(l.updates) > 2*l.limit { // cut seldom: the rest is copied
		l.updates = append([]logEntry[W](nil), l.updates[len(l.updates)-l.limit:]...)
	}
}

// Since returns the updates behind a position; ok is false where they are not all
// kept, or the position is of another log.
func (l *UpdateLog[W]) Since(after uint64, scope Scope) (updates []W, ok bool) {
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
