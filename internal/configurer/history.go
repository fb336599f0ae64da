package configurer

import "slices"

// maxHistoryChanges is how many changes a host keeps, at least, to update a
// peer without sending the shards. At 39,000 changes a day it covers the last
// 38 minutes.
const maxHistoryChanges = 1024

// history holds the last changes applied on this host, with the chain hash
// after each of them.
type history struct {
	baseRevision int64
	baseChain    chainHash
	changes      []record
	chains       []chainHash
}

// reset drops all changes and starts at the given revision, after a full state
// was installed.
func (hs *history) reset(revision int64, chain chainHash) {
	*hs = history{baseRevision: revision, baseChain: chain}
}

func (hs *history) add(changes []record) {
	for _, rec := range changes {
		last := hs.baseChain
		if n := len(hs.chains); n > 0 {
			last = hs.chains[n-1]
		}
		hs.changes = append(hs.changes, rec)
		hs.chains = append(hs.chains, last.next(rec))
	}
	if drop := len(hs.changes) - maxHistoryChanges; drop >= maxHistoryChanges/4 {
		hs.baseRevision, hs.baseChain = hs.changes[drop-1].Revision, hs.chains[drop-1]
		hs.changes = slices.Clone(hs.changes[drop:])
		hs.chains = slices.Clone(hs.chains[drop:])
	}
}

// since returns the changes after a revision and the chain hash at that
// revision. It is not ok when some of them are no longer kept.
func (hs *history) since(revision int64) (changes []record, chain chainHash, ok bool) {
	n := revision - hs.baseRevision
	if n < 0 || n > int64(len(hs.changes)) {
		return nil, 0, false
	}
	chain = hs.baseChain
	if n > 0 {
		chain = hs.chains[n-1]
	}
	return slices.Clone(hs.changes[n:]), chain, true
}
