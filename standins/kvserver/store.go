package kvserver

import (
	"bytes"
	"slices"
	"sort"
	"sync"

	"github.com/endivemast/endivemast/internal/provider"
)

// keyVersion is one version of a key. It is immutable once committed.
type keyVersion struct {
	key            string
	value          []byte
	createRevision int64
	modRevision    int64
	version        int64
	lease          int64
	deleted        bool
	previous       *wireKeyValue
}

func (v *keyVersion) wire() wireKeyValue {
	return wireKeyValue{
		Key: []byte(v.key), Value: v.value, Lease: int64Text(v.lease), Version: int64Text(v.version),
		CreateRevision: int64Text(v.createRevision), ModRevision: int64Text(v.modRevision),
	}
}

// store holds the versions of all keys since the compacted revision. One mutex
// serializes all calls, which makes the store linearizable.
type store struct {
	mu           sync.Mutex
	revision     int64
	compacted    int64
	keys         []string // keys of versions, sorted
	versions     map[string][]*keyVersion
	log          []*keyVersion // versions since the compacted revision, by revision
	historyLimit int           // maximum length of log before the older half is compacted
	leases       map[int64]*lease
	nextLease    int64
	frozen       bool // leases don't expire
	watches      map[*watch]struct{}
}

func newStore(historyLimit int) *store {
	return &store{
		revision:     1, // first revision of etcd
		versions:     map[string][]*keyVersion{},
		historyLimit: historyLimit,
		leases:       map[int64]*lease{},
		nextLease:    firstLease,
		watches:      map[*watch]struct{}{},
	}
}

// keyRange is a range of keys as in etcd: the single key if end is empty, all
// keys from key on if end is a zero byte.
type keyRange struct{ key, end []byte }

func (k keyRange) contains(key string) bool {
	switch {
	case len(k.end) == 0:
		return string(k.key) == key
	case bytes.Equal(k.end, []byte{0}):
		return string(k.key) <= key
	default:
		return string(k.key) <= key && key < string(k.end)
	}
}

// keysIn returns the stored keys in a range.
func (s *store) keysIn(k keyRange) []string {
	low := sort.SearchStrings(s.keys, string(k.key))
	switch {
	case len(k.end) == 0:
		high := low
		if low < len(s.keys) && s.keys[low] == string(k.key) {
			high++
		}
		return s.keys[low:high]
	case bytes.Equal(k.end, []byte{0}):
		return s.keys[low:]
	default:
		high := sort.SearchStrings(s.keys, string(k.end))
		return s.keys[low:max(low, high)]
	}
}

// at returns a key's version at a revision, nil if the key did not exist.
func (s *store) at(key string, revision int64) *keyVersion {
	for _, version := range slices.Backward(s.versions[key]) {
		if version.modRevision > revision {
			continue
		}
		if version.deleted {
			return nil
		}
		return version
	}
	return nil
}

func (s *store) header() responseHeader {
	return headerAt(s.revision)
}

func headerAt(revision int64) responseHeader {
	return responseHeader{ClusterID: 1, MemberID: 1, RaftTerm: 2, Revision: int64Text(revision)}
}

// rangeKeys answers a range request at the newest revision minus staleness.
func (s *store) rangeKeys(request *rangeRequest, staleness int64) (*rangeResponse, *gatewayError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := max(s.revision-staleness, s.compacted, 1)
	return s.rangeLocked(request, now)
}

func (s *store) rangeLocked(request *rangeRequest, now int64) (*rangeResponse, *gatewayError) {
	if len(request.Key) == 0 {
		return nil, errEmptyKey
	}
	revision := now
	if request.Revision > 0 {
		revision = int64(request.Revision)
	}
	if revision > now {
		return nil, errFutureRevision
	}
	if revision < s.compacted {
		return nil, errCompacted
	}
	response := &rangeResponse{Header: headerAt(now)}
	for _, key := range s.keysIn(keyRange{request.Key, request.RangeEnd}) {
		version := s.at(key, revision)
		if version == nil {
			continue
		}
		response.Count++
		response.add(request, version)
	}
	return response, nil
}

func (r *rangeResponse) add(request *rangeRequest, version *keyVersion) {
	if request.CountOnly {
		return
	}
	if request.Limit > 0 && len(r.KVs) >= int(request.Limit) {
		r.More = true
		return
	}
	kv := version.wire()
	if request.KeysOnly {
		kv.Value = nil
	}
	r.KVs = append(r.KVs, kv)
}

func (s *store) txn(request *txnRequest) (*txnResponse, *gatewayError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded, ops := true, request.Success
	for _, compare := range request.Compare {
		succeeded = succeeded && s.isMet(compare)
	}
	if !succeeded {
		ops = request.Failure
	}
	// All checks are done first, so that a transaction takes effect completely
	// or not at all.
	if err := s.check(ops); err != nil {
		return nil, err
	}
	response := &txnResponse{Succeeded: succeeded, Responses: s.commit(ops)}
	response.Header = s.header()
	return response, nil
}

func (s *store) isMet(c compare) bool {
	var have, want int64
	version := s.at(string(c.Key), s.revision)
	if version == nil {
		version = &keyVersion{}
	}
	switch c.Target {
	case targetCreate:
		have, want = version.createRevision, int64(c.CreateRevision)
	case targetMod:
		have, want = version.modRevision, int64(c.ModRevision)
	case targetVersion, "": // zero value of the enumeration
		have, want = version.version, int64(c.Version)
	}
	switch c.Result {
	case resultGreater:
		return have > want
	case resultLess:
		return have < want
	case resultNotEqual:
		return have != want
	default: // EQUAL is the zero value of the enumeration
		return have == want
	}
}

func (s *store) check(ops []requestOp) *gatewayError {
	for _, op := range ops {
		if err := s.checkOp(op); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) checkOp(op requestOp) *gatewayError {
	switch {
	case op.Put != nil:
		if len(op.Put.Key) == 0 {
			return errEmptyKey
		}
		if len(op.Put.Value) > provider.MaxValueBytes {
			return errTooLarge
		}
		if op.Put.Lease != 0 && s.leases[int64(op.Put.Lease)] == nil {
			return errLeaseNotFound
		}
	case op.DeleteRange != nil:
		if len(op.DeleteRange.Key) == 0 {
			return errEmptyKey
		}
	case op.Range != nil:
		_, err := s.rangeLocked(op.Range, s.revision)
		return err
	}
	return nil
}

// commit runs checked operations at one new revision, or at the current one if
// they change nothing.
func (s *store) commit(ops []requestOp) []responseOp {
	responses := make([]responseOp, 0, len(ops))
	next := s.revision + 1
	for _, op := range ops {
		switch {
		case op.Put != nil:
			responses = append(responses, responseOp{Put: s.put(op.Put, next)})
		case op.DeleteRange != nil:
			responses = append(responses, responseOp{DeleteRange: s.deleteRange(op.DeleteRange, next)})
		case op.Range != nil:
			response, _ := s.rangeLocked(op.Range, s.revision) // checked by check
			responses = append(responses, responseOp{Range: response})
		}
	}
	s.seal(next)
	for _, response := range responses {
		switch {
		case response.Put != nil:
			response.Put.Header = s.header()
		case response.DeleteRange != nil:
			response.DeleteRange.Header = s.header()
		}
	}
	return responses
}

// seal makes the versions added at a revision visible and notifies the watches.
func (s *store) seal(revision int64) {
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].modRevision >= revision })
	added := s.log[first:]
	if len(added) == 0 {
		return
	}
	s.revision = revision
	for watch := range s.watches {
		if slices.ContainsFunc(added, func(v *keyVersion) bool { return watch.keys.contains(v.key) }) {
			watch.signal()
		}
	}
	if len(s.log) > s.historyLimit {
		s.compactLocked(s.log[len(s.log)/2].modRevision)
	}
}

func (s *store) put(request *putRequest, revision int64) *putResponse {
	version := &keyVersion{
		key: string(request.Key), value: request.Value, lease: int64(request.Lease),
		createRevision: revision, modRevision: revision, version: 1,
	}
	if last := s.at(version.key, revision); last != nil {
		version.createRevision, version.version = last.createRevision, last.version+1
		version.previous = last.previousOf()
		s.detach(last)
	}
	s.attach(version)
	s.add(version)
	response := &putResponse{}
	if request.PrevKV {
		response.PrevKV = version.previous
	}
	return response
}

func (v *keyVersion) previousOf() *wireKeyValue {
	kv := v.wire()
	return &kv
}

func (s *store) deleteRange(request *deleteRangeRequest, revision int64) *deleteRangeResponse {
	response := &deleteRangeResponse{}
	for _, key := range s.keysIn(keyRange{request.Key, request.RangeEnd}) {
		last := s.at(key, revision)
		if last == nil {
			continue
		}
		response.Deleted++
		if request.PrevKV {
			response.PrevKVs = append(response.PrevKVs, last.wire())
		}
		s.remove(last, revision)
	}
	return response
}

func (s *store) remove(last *keyVersion, revision int64) {
	s.detach(last)
	s.add(&keyVersion{key: last.key, modRevision: revision, deleted: true, previous: last.previousOf()})
}

func (s *store) add(version *keyVersion) {
	if _, ok := s.versions[version.key]; !ok {
		index := sort.SearchStrings(s.keys, version.key)
		s.keys = slices.Insert(s.keys, index, version.key)
	}
	s.versions[version.key] = append(s.versions[version.key], version)
	s.log = append(s.log, version)
}

// compact drops the versions that reads at the revision or later, and watches
// from it on, don't need.
func (s *store) compact(revision int64) *gatewayError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision {
		return errFutureRevision
	}
	if revision <= s.compacted {
		return errCompacted
	}
	s.compactLocked(revision)
	return nil
}

func (s *store) compactLocked(revision int64) {
	s.compacted = revision
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].modRevision >= revision })
	s.log = slices.Clone(s.log[first:])
	s.keys = slices.DeleteFunc(s.keys, func(key string) bool {
		remaining := heldVersions(s.versions[key], revision)
		if len(remaining) == 0 {
			delete(s.versions, key)
			return true
		}
		s.versions[key] = remaining
		return false
	})
}

// heldVersions returns the versions newer than the revision, and the current
// one at the revision.
func heldVersions(versions []*keyVersion, revision int64) []*keyVersion {
	first := sort.Search(len(versions), func(i int) bool { return versions[i].modRevision > revision })
	if first > 0 && !versions[first-1].deleted {
		first--
	}
	return slices.Clone(versions[first:])
}
