package claimer

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// change is an entry that a commit is going to record.
type change struct {
	key   hash
	entry entry
}

// sealedEntry is an entry of a segment. Its answer is left in the store, so
// that a host which writes a shard doesn't hold every answer of an hour.
type sealedEntry struct {
	entry
	segment string
}

// shardTable is a shard as it was at a revision of its head. The head's key is
// the register: it alone is compared and swapped, it has no lease, and it is
// never deleted. Segments are immutable and are found only through the head.
type shardTable struct {
	revision int64
	head     map[hash]entry
	sealed   map[hash]sealedEntry
	segments []*claimerpb.SegmentRef // the oldest first
}

func newShardTable() *shardTable {
	return &shardTable{head: make(map[hash]entry), sealed: make(map[hash]sealedEntry)}
}

// lookup returns what the shard holds for a key, or nil.
func (t *shardTable) lookup(key hash) *entry {
	if held, found := t.head[key]; found {
		return &held
	}
	if held, found := t.sealed[key]; found {
		return &held.entry
	}
	return nil
}

// plan decides operations in their order, each on top of those before it, and
// changes nothing. The decisions hold once the changes are written.
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

// settled says whether decisions hold although the table may be stale. A grant
// that needs no write was found in the store under the asker's own id; any
// other answer may have changed since.
func settled(changes []change, decisions []decision) bool {
	if len(changes) > 0 {
		return false
	}
	return !slices.ContainsFunc(decisions, func(d decision) bool {
		return d.verdict != claimerpb.Verdict_VERDICT_GRANTED
	})
}

// encodeHead writes the head with changes made, and with its entries left out
// when they have moved to a new segment.
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

// encodeSegment writes the head's entries as a segment.
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

// setHead takes over a head that was read. It returns the segments that the
// table doesn't know yet; the caller reads them and calls addSegment.
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
	t.keepSegments(current)
	return missing, nil
}

// keepSegments forgets all segments but some, and their entries.
func (t *shardTable) keepSegments(refs []*claimerpb.SegmentRef) {
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

// addSegment takes over a segment that was read, the oldest first: a later
// segment's entry replaces an earlier one's.
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

// applied takes over a head that this host has written.
func (t *shardTable) applied(changes []change, sealed *claimerpb.SegmentRef, expiredBefore, revision int64) {
	t.keepSegments(t.liveSegments(expiredBefore))
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
