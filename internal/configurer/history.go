package configurer

import "slices"

// historyLimit is how many changes a host keeps to bring a peer up to date
// without the shards: at 39,000 changes a day, those of the last 38 minutes.
const historyLimit = 1024

// history holds the last changes in force on this host and the mark after each.
type history struct {
	baseRevision int64
	baseChain    mark
	changes      []record
	chains       []mark
}

// reset forgets all changes: the state at the given position came as a whole.
func (hs *history) reset(revision int64, chain mark) {
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
	if drop := len(hs.changes) - historyLimit; drop >= historyLimit/4 {
		hs.baseRevision, hs.baseChain = hs.changes[drop-1].Revision, hs.chains[drop-1]
		hs.changes = slices.Clone(hs.changes[drop:])
		hs.chains = slices.Clone(hs.chains[drop:])
	}
}

// since returns the changes after a revision and the mark at it; ok is false
// when they are not all kept.
func (hs *history) since(revision int64) (changes []record, chain mark, ok bool) {
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
