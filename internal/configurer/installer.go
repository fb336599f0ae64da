package configurer

import "time"

// absorption is what became of a head that came from anywhere.
type absorption int

const (
	absorbedOld     absorption = iota // not ahead of what is in force
	absorbedNew                       // now in force
	absorbedGap                       // ahead, but the changes between are missing
	absorbedDiverge                   // ahead, with another history up to here
)

// source is where changes came from.
type source int

const (
	fromParent  source = iota // pushed down the zone's relay tree
	fromOutside               // any other way: the zone's tree may not have them yet
)

// absorb puts a head's changes in force where they follow what is in force
// here. This is the only way, beside installWhole, in which the state changes,
// and both go forward only: whatever a peer, a slow read or a restored store
// says, the revision in force never falls.
func (c *Configurer) absorb(h head, from source) absorption {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state.Load()
	if h.Revision <= st.revision {
		c.noteDivergence(h, st)
		return absorbedOld
	}
	if st.revision < h.BaseRevision {
		return absorbedGap
	}
	known := int(st.revision - h.BaseRevision)
	chain := h.BaseChain
	for _, rec := range h.Changes[:known] {
		chain = chain.next(rec)
	}
	if chain != st.chain {
		c.counters.divergences.Add(1)
		return absorbedDiverge
	}
	next := st.after(h.Changes[known:])
	if next.chain != h.Chain || next.sum != h.Sum {
		c.counters.divergences.Add(1)
		return absorbedDiverge
	}
	c.history.add(h.Changes[known:])
	c.publish(next, from)
	return absorbedNew
}

// noteDivergence counts a head that gives a revision another history.
func (c *Configurer) noteDivergence(h head, st *state) {
	if h.Revision == st.revision && h.Chain != st.chain {
		c.counters.divergences.Add(1)
	}
}

// installWhole puts a whole state in force if it is ahead.
func (c *Configurer) installWhole(next *state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.revision <= c.state.Load().revision {
		return
	}
	c.history.reset(next.revision, next.chain)
	c.counters.snapshots.Add(1)
	c.publish(next, fromOutside)
}

// publish makes a state the one in force and has it passed on. c.mu is held.
func (c *Configurer) publish(next *state, from source) {
	before := c.state.Load().revision
	c.state.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	if c.news.pending {
		c.news.source = max(c.news.source, from)
	} else {
		c.news = news{pending: true, after: before, source: from}
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// headSince returns the state in force as a head with the changes after a
// revision; ok is false when this host doesn't keep them all.
func (c *Configurer) headSince(revision int64) (h head, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes, chain, ok := c.history.since(revision)
	if !ok {
		return head{}, false
	}
	st := c.state.Load()
	return headOf(st, changes, revision, chain), true
}

// headOf is the head document of a state with the changes after its base.
func headOf(st *state, changes []record, baseRevision int64, baseChain mark) head {
	return head{
		Format:       documentFormat,
		Revision:     st.revision,
		Chain:        st.chain,
		Sum:          st.sum,
		BaseRevision: baseRevision,
		BaseChain:    baseChain,
		Changes:      changes,
	}
}

// saw notes that somebody read the store age ago; an age below 0 says never.
func (c *Configurer) saw(age time.Duration) {
	if age < 0 {
		return
	}
	at := int64(max(time.Since(c.started)-age, 1))
	for {
		last := c.seen.Load()
		if at <= last || c.seen.CompareAndSwap(last, at) {
			return
		}
	}
}

// storeAge is the time since somebody that this host heard of read the store;
// -1 says never.
func (c *Configurer) storeAge() time.Duration {
	seen := c.seen.Load()
	if seen == 0 {
		return -1
	}
	return time.Since(c.started) - time.Duration(seen)
}
