package configurer

import "time"

// applyResult is the result of applyHead.
type applyResult int

const (
	headNotNewer applyResult = iota // not newer than the state in force
	headApplied                     // in force now
	headGap                         // newer, but changes in between are missing
	headDiverged                    // newer, with a different history up to the revision in force
)

// source is how changes reached this host.
type source int

const (
	fromParent      source = iota // pushed by the parent in the zone's relay tree
	fromOutsideTree               // any other way; the hosts of the relay tree may not have them yet
)

// applyHead applies a head's changes if they directly follow the state in
// force. Only applyHead and installState change the state, and both only
// increase the revision: stale data from a peer, a slow read or a restored
// store never reverts it.
func (c *Configurer) applyHead(h head, from source) applyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state.Load()
	if h.Revision <= st.revision {
		c.countDivergence(h, st)
		return headNotNewer
	}
	if st.revision < h.BaseRevision {
		return headGap
	}
	applied := int(st.revision - h.BaseRevision)
	chain := h.BaseChain
	for _, rec := range h.Changes[:applied] {
		chain = chain.next(rec)
	}
	if chain != st.chain {
		c.counters.divergences.Add(1)
		return headDiverged
	}
	next := st.withChanges(h.Changes[applied:])
	if next.chain != h.Chain || next.sum != h.Sum {
		c.counters.divergences.Add(1)
		return headDiverged
	}
	c.history.add(h.Changes[applied:])
	c.publish(next, from)
	return headApplied
}

// countDivergence counts a head whose history differs at the revision in force.
func (c *Configurer) countDivergence(h head, st *state) {
	if h.Revision == st.revision && h.Chain != st.chain {
		c.counters.divergences.Add(1)
	}
}

// installState puts a full state in force if it is newer.
func (c *Configurer) installState(next *state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.revision <= c.state.Load().revision {
		return
	}
	c.history.reset(next.revision, next.chain)
	c.counters.fullStates.Add(1)
	c.publish(next, fromOutsideTree)
}

// publish puts a state in force and signals the push loop. c.mu is held.
func (c *Configurer) publish(next *state, from source) {
	before := c.state.Load().revision
	c.state.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	if c.pendingPush.isSet {
		c.pendingPush.source = max(c.pendingPush.source, from)
	} else {
		c.pendingPush = pendingPush{isSet: true, after: before, source: from}
	}
	select {
	case c.pushSignal <- struct{}{}:
	default:
	}
}

// headSince returns a head of the state in force with the changes after a
// revision. It is not ok when this host no longer keeps all of them.
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

// headOf returns the head document of a state, with the changes after the base.
func headOf(st *state, changes []record, baseRevision int64, baseChain chainHash) head {
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

// noteStoreRead records that a host read the store age ago; a negative age means
// that no read is known.
func (c *Configurer) noteStoreRead(age time.Duration) {
	if age < 0 {
		return
	}
	readAt := int64(max(time.Since(c.started)-age, 1))
	for {
		last := c.lastStoreRead.Load()
		if readAt <= last || c.lastStoreRead.CompareAndSwap(last, readAt) {
			return
		}
	}
}

// storeAge returns the time since the last known read of the store by any host;
// -1 means that none is known.
func (c *Configurer) storeAge() time.Duration {
	readAt := c.lastStoreRead.Load()
	if readAt == 0 {
		return -1
	}
	return time.Since(c.started) - time.Duration(readAt)
}
