package exchanger

import "github.com/endivemast/endivemast/internal/exchanger/exchangerpb"

// logCursor is the position up to which a peer has been sent the updates of one kind.
// Unacknowledged updates are sent again; applying an update twice has no effect.
type logCursor[U any] struct {
	position    uint64 // in the source's updates; 0: the peer needs everything
	pending     []U
	incarnation string // of the peer, from its latest reply
}

// updateSource provides the updates of one kind.
type updateSource[U any] interface {
	Updates(after uint64, scope Scope) (updates []U, position uint64)
}

// restart makes the next message start again with the full state.
func (c *logCursor[U]) restart() { c.position, c.pending = 0, nil }

// next returns the updates for the next message. Once the updates hold maxItems items in
// total, no more are added; size returns the number of items in an update.
func (c *logCursor[U]) next(source updateSource[U], part exchangerpb.Part, maxItems int, size func(*U) int) []U {
	if part == exchangerpb.Part_PART_NONE {
		return nil
	}
	if len(c.pending) == 0 {
		c.pending, c.position = source.Updates(c.position, scopeOf(part))
	}
	count, items := 0, 0
	for count < len(c.pending) && items < maxItems {
		items += size(&c.pending[count])
		count++
	}
	return c.pending[:count]
}

// acknowledge records that the peer's process has acknowledged count updates. If the process
// is not the one that replied before, it has no state and everything is sent again.
func (c *logCursor[U]) acknowledge(count int, incarnation string) {
	isRestarted := c.incarnation != "" && c.incarnation != incarnation
	c.incarnation = incarnation
	if isRestarted {
		c.restart()
		return
	}
	c.pending = c.pending[count:]
}

// scopeOf returns whose updates go to a peer that is sent the given part of the loads.
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
