package configurer

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// tenantShards is the number of shard documents for classes. At 32,000
	// tenants with two classes each, a document has about 60 KB.
	tenantShards = 256
	// applicationShard is the shard document of the applications.
	applicationShard = tenantShards
	shardCount       = tenantShards + 1
	// maxRecentPerShard is how many change ids a shard keeps. A retry of an
	// older change isn't recognized by its id, but its IfRevision no longer
	// matches.
	maxRecentPerShard = 64
)

// errShardFull reports a shard document above the size limit.
var errShardFull = errors.New("shard document is full")

// state is the configuration at one revision. It is immutable once published,
// so that the request path reads it without a lock.
type state struct {
	revision int64
	chain    chainHash // of the whole log up to revision
	sum      chainHash // XOR of the shards' chain hashes
	shards   [shardCount]*shard
}

// shard holds the classes of some tenants, or all applications.
type shard struct {
	revision     int64     // of the last change in this shard
	chain        chainHash // of the whole log at revision
	classes      map[classKey]*ClassEntry
	applications map[string]ApplicationEntry
	recent       []recentChange
}

func newState() *state {
	empty := newShard(0, 0)
	st := &state{}
	for i := range st.shards {
		st.shards[i] = empty
	}
	return st
}

func newShard(classes, applications int) *shard {
	return &shard{
		classes:      make(map[classKey]*ClassEntry, classes),
		applications: make(map[string]ApplicationEntry, applications),
	}
}

// shardOf returns the shard of a tenant's classes. The mapping must never
// change, as existing documents are placed by it.
func shardOf(tenant string) int {
	return int(xxhash.Sum64String(tenant) % tenantShards)
}

func (rec record) shard() int {
	switch s := rec.subject().(type) {
	case ClassSubject:
		return shardOf(s.Class.Tenant)
	default:
		return applicationShard
	}
}

// withChanges returns the state after changes that directly follow st's
// revision.
func (st *state) withChanges(changes []record) *state {
	next := *st
	for _, rec := range changes {
		next.revision = rec.Revision
		next.chain = next.chain.next(rec)
		i := rec.shard()
		next.setShard(i, next.shards[i].withChange(rec, next.chain))
	}
	return &next
}

func (st *state) setShard(i int, s *shard) {
	st.sum ^= st.shards[i].chain ^ s.chain
	st.shards[i] = s
}

func (s *shard) withChange(rec record, chain chainHash) *shard {
	next := &shard{
		revision:     rec.Revision,
		chain:        chain,
		classes:      s.classes,
		applications: s.applications,
		recent:       s.recent,
	}
	switch {
	case rec.SetClass != nil:
		key := classKey{rec.SetClass.Tenant, rec.SetClass.Name}
		next.classes = maps.Clone(s.classes)
		next.classes[key] = &ClassEntry{Class: *rec.SetClass, Revision: rec.Revision}
	case rec.DeleteClass != nil:
		next.classes = maps.Clone(s.classes)
		delete(next.classes, *rec.DeleteClass)
	case rec.SetApplication != nil:
		next.applications = maps.Clone(s.applications)
		next.applications[rec.SetApplication.Name] = ApplicationEntry{*rec.SetApplication, rec.Revision}
	case rec.DeleteApplication != nil:
		next.applications = maps.Clone(s.applications)
		delete(next.applications, rec.DeleteApplication.Name)
	}
	oldest := max(0, len(s.recent)+1-maxRecentPerShard)
	next.recent = append(slices.Clone(s.recent[oldest:]), recentChange{rec.ChangeID, rec.Revision, rec.AcceptedAtMS})
	return next
}

// outcome returns the revision of a change whose id a shard still keeps.
func (st *state) outcome(changeID string) (revision int64, ok bool) {
	for _, s := range st.shards {
		for _, change := range s.recent {
			if change.ChangeID == changeID {
				return change.Revision, true
			}
		}
	}
	return 0, false
}

// entry returns the current value of a subject; its revision is 0 when it does
// not exist.
func (st *state) entry(subject Subject) (current Subject, revision int64) {
	switch s := subject.(type) {
	case ClassSubject:
		entry, ok := st.shards[shardOf(s.Class.Tenant)].classes[classKey{s.Class.Tenant, s.Class.Name}]
		if !ok {
			return ClassSubject{Class: Class{Tenant: s.Class.Tenant, Name: s.Class.Name}, Delete: true}, 0
		}
		return ClassSubject{Class: entry.Class}, entry.Revision
	case ApplicationSubject:
		entry, ok := st.shards[applicationShard].applications[s.Application.Name]
		if !ok {
			return ApplicationSubject{Application: Application{Name: s.Application.Name}, Delete: true}, 0
		}
		return ApplicationSubject{Application: entry.Application}, entry.Revision
	}
	return nil, 0
}

func (s *shard) classEntries() []ClassEntry {
	entries := make([]ClassEntry, 0, len(s.classes))
	for _, entry := range s.classes {
		entries = append(entries, *entry)
	}
	sortClasses(entries)
	return entries
}

func (s *shard) applicationEntries() []ApplicationEntry {
	entries := slices.Collect(maps.Values(s.applications))
	slices.SortFunc(entries, func(a, b ApplicationEntry) int {
		return cmp.Compare(a.Application.Name, b.Application.Name)
	})
	return entries
}

func sortClasses(entries []ClassEntry) {
	slices.SortFunc(entries, func(a, b ClassEntry) int {
		return cmp.Or(cmp.Compare(a.Class.Tenant, b.Class.Tenant), cmp.Compare(a.Class.Name, b.Class.Name))
	})
}

// assemble builds the state of a head from shards that were read separately,
// each at least as new as the head's base. It is not ok when they are
// inconsistent: a shard is older than the head's base or newer than the head.
// The head's sum detects that, whatever the order of the reads.
func assemble(shards map[int]*shard, h head) (st *state, ok bool) {
	st = newState()
	for i, s := range shards {
		st.setShard(i, s)
	}
	chain := h.BaseChain
	for _, rec := range h.Changes {
		chain = chain.next(rec)
		i := rec.shard()
		if st.shards[i].revision < rec.Revision {
			st.setShard(i, st.shards[i].withChange(rec, chain))
		}
	}
	st.revision, st.chain = h.Revision, h.Chain
	return st, st.sum == h.Sum
}
