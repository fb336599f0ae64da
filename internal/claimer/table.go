package claimer

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// change is an entry that a commit will record.
type change struct {
	key   hash
	entry entry
}

// sealedEntry is an entry of a segment. Its answer stays in the store, so that a host that
// writes a shard doesn't hold all answers of an hour in memory.
type sealedEntry struct {
	entry
	segment string
}

// shardTable is the state of a shard at a revision of its head. The head's key is the
// register: only this key is compared and swapped, it has no lease, and it is never
// deleted. Segments are immutable, and only the head refers to them.
type shardTable struct {
	revision int64
	head     map[hash]entry
	sealed   map[hash]sealedEntry
	segments []*claimerpb.SegmentRef // oldest first
}

func newShardTable() *shardTable {
	return &shardTable{head: make(map[hash]entry), sealed: make(map[hash]sealedEntry)}
}

// lookup returns the entry held for a key, or nil.
func (t *shardTable) lookup(key hash) *entry {
	if held, found := t.head[key]; found {
		return &held
	}
	if held, found := t.sealed[key]; found {
		return &held.entry
	}
	return nil
}

// plan decides operations in order, each given the results of those before it, without
// changing the table. The decisions are valid once the changes are written.
func (t *shardTable) plan(ops []*operation) (changes []change, decisions []decision) {
	planned := make(map[hash]*entry)
	decisions = make([]decision, len(ops))
	for i, op := range ops {
		held, found := planned[op.key]
		if !found {
			held = t.lookup(op.key)
		}
		next, result := decide(held, op.wanted)
		decisions[i] = result
		if next != nil {
			planned[op.key] = next
		}
	}
	for key, next := range planned {
		changes = append(changes, change{key: key, entry: *next})
	}
	return changes, decisions
}

// isFinal reports whether decisions are valid although the table may be stale. A grant
// that needs no write was found in the store under the requester's own id; any other
// verdict may have changed since.
func isFinal(changes []change, decisions []decision) bool {
	if len(changes) > 0 {
		return false
	}
	return !slices.ContainsFunc(decisions, func(d decision) bool {
		return d.verdict != claimerpb.Verdict_VERDICT_GRANTED
	})
}

// encodeHead encodes the head with the changes applied, and without its previous entries
// if they have moved to a new segment.
func (t *shardTable) encodeHead(changes []change, sealed *claimerpb.SegmentRef, expiredBefore int64) (value []byte, err error) {
	head := &claimerpb.Head{Segments: t.liveSegments(expiredBefore)}
	entries := make(map[hash]entry, len(changes))
	if sealed == nil {
		maps.Copy(entries, t.head)
	} else {
		head.Segments = append(head.Segments, sealed)
	}
	for _, c := range changes {
		entries[c.key] = c.entry
	}
	for key, held := range entries {
		head.Entries = append(head.Entries, encodeEntry(key, held))
	}
	return proto.Marshal(head)
}

// encodeSegment encodes the head's entries as a segment.
func (t *shardTable) encodeSegment() (value []byte, err error) {
	segment := &claimerpb.Segment{}
	for key, held := range t.head {
		segment.Entries = append(segment.Entries, encodeEntry(key, held))
	}
	return proto.Marshal(segment)
}

func (t *shardTable) liveSegments(expiredBefore int64) []*claimerpb.SegmentRef {
	var live []*claimerpb.SegmentRef
	for _, ref := range t.segments {
		if ref.GetSealedUnix() >= expiredBefore {
			live = append(live, ref)
		}
	}
	return live
}

// setHead replaces the head by one that was read from the store. It returns the segments
// that the table doesn't contain yet; the caller must read them and call addSegment.
func (t *shardTable) setHead(value []byte, revision int64) (missing []*claimerpb.SegmentRef, err error) {
	head := &claimerpb.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, err
	}
	entries := make(map[hash]entry, len(head.GetEntries()))
	for _, wire := range head.GetEntries() {
		key, held, err := decodeEntry(wire)
		if err != nil {
			return nil, err
		}
		entries[key] = held
	}
	known := make(map[string]bool, len(t.segments))
	for _, ref := range t.segments {
		known[ref.GetId()] = true
	}
	var current []*claimerpb.SegmentRef
	for _, ref := range head.GetSegments() {
		if known[ref.GetId()] {
			current = append(current, ref)
		} else {
			missing = append(missing, ref)
		}
	}
	t.head, t.revision = entries, revision
	t.retainSegments(current)
	return missing, nil
}

// retainSegments drops all segments except the given ones, with their entries.
func (t *shardTable) retainSegments(refs []*claimerpb.SegmentRef) {
	if len(refs) == len(t.segments) {
		return
	}
	kept := make(map[string]bool, len(refs))
	for _, ref := range refs {
		kept[ref.GetId()] = true
	}
	t.segments = refs
	maps.DeleteFunc(t.sealed, func(_ hash, held sealedEntry) bool { return !kept[held.segment] })
}

// addSegment adds a segment that was read from the store. Segments must be added oldest
// first, because the entry of a later segment replaces that of an earlier one.
func (t *shardTable) addSegment(ref *claimerpb.SegmentRef, value []byte) (err error) {
	segment := &claimerpb.Segment{}
	if err := proto.Unmarshal(value, segment); err != nil {
		return err
	}
	for _, wire := range segment.GetEntries() {
		key, held, err := decodeEntry(wire)
		if err != nil {
			return err
		}
		held.answer = nil
		t.sealed[key] = sealedEntry{entry: held, segment: ref.GetId()}
	}
	t.segments = append(t.segments, ref)
	return nil
}

// applyWrite updates the table after this host has written the head.
func (t *shardTable) applyWrite(changes []change, sealed *claimerpb.SegmentRef, expiredBefore, revision int64) {
	t.retainSegments(t.liveSegments(expiredBefore))
	if sealed != nil {
		for key, held := range t.head {
			held.answer = nil
			t.sealed[key] = sealedEntry{entry: held, segment: sealed.GetId()}
		}
		t.segments = append(t.segments, sealed)
		t.head = make(map[hash]entry, len(changes))
	}
	for _, c := range changes {
		t.head[c.key] = c.entry
	}
	t.revision = revision
}

// headSize estimates the encoded size of the head's entries in bytes.
func (t *shardTable) headSize() int {
	const perEntry = 3*(hashSize+2) + 8
	size := 0
	for _, held := range t.head {
		size += perEntry + len(held.owner) + len(held.answer)
	}
	return size
}
