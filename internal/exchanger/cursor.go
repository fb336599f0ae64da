package exchanger

import "github.com/endivemast/endivemast/internal/exchanger/exchangerpb"

// logCursor is how far a peer has been sent of the updates of one kind. Updates that
// were not acknowledged are sent again: receiving them twice changes nothing.
type logCursor[W any] struct {
	position    uint64 // in the updates of the source; 0: the peer is to be sent everything
	pending     []W
	incarnation string // of the peer, as it answered last
}

// updateSource is what knows the updates of one kind.
type updateSource[W any] interface {
	Updates(after uint64, scope Scope) (updates []W, position uint64)
}

// restart has everything sent anew.
func (t *logCursor[W]) restart() { t.position, t.pending = 0, nil }

// next are the updates of the next message, of at most so many items together;
// size counts those of an update.
func (t *logCursor[W]) next(source updateSource[W], part exchangerpb.Part, most int, size func(*W) int) []W {
	if part == exchangerpb.Part_PART_NONE {
		return nil
	}
	if len(t.pending) == 0 {
		t.pending, t.position = source.Updates(t.position, scopeOf(part))
	}
	count, items := 0, 0
	for count < len(t.pending) && items < most {
		items += size(&t.pending[count])
		count++
	}
	return t.pending[:count]
}

// settle takes in that a peer's process has acknowledged updates. Another process
// than before knows nothing.
func (t *logCursor[W]) settle(told int, incarnation string) {
	isOther := t.incarnation != "" && t.incarnation != incarnation
	t.incarnation = incarnation
	if isOther {
		t.restart()
		return
	}
	t.pending = t.pending[told:]
}

// scopeOf says whose updates a part of the peers is sent, as with loads.
func scopeOf(part exchangerpb.Part) Scope {
	switch part {
	case exchangerpb.Part_PART_ZONE:
		return ScopeZone
	case exchangerpb.Part_PART_REST:
		return ScopeAll
	default:
		return ScopeOwn
	}
}
