package etcdprovider

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// Messages of etcd's JSON gateway, limited to the fields that this package uses. Byte
// slices are base64, as in encoding/json, 64-bit integers are strings, and fields with
// their zero value are omitted.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

func (kv *keyValue) entry() provider.Entry {
	return provider.Entry{
		Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: provider.LeaseID(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// includes reports whether a key is in the requested range.
func (r *rangeRequest) includes(key []byte) bool {
	if len(r.RangeEnd) == 0 {
		return bytes.Equal(key, r.Key)
	}
	isBelowEnd := bytes.Equal(r.RangeEnd, []byte{0}) || bytes.Compare(key, r.RangeEnd) < 0
	return bytes.Compare(key, r.Key) >= 0 && isBelowEnd
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

// check returns an error for a response with revisions or keys that the service can't have given to the request.
// Later responses would be refused as older ones, or keys be taken for others.
func (r *rangeResponse) check(request *rangeRequest) error {
	if err := checkRevision(r.Header.Revision); err != nil {
		return err
	}
	for i := range r.KVs {
		if !request.includes(r.KVs[i].Key) {
			return fmt.Errorf("%w: %.200q", errUnexpectedKey, r.KVs[i].Key)
		}
		if number := r.KVs[i].ModRevision; number < 0 || number > r.Header.Revision {
			return fmt.Errorf("%w: %d, of an item at %d", errInvalidRevision, number, r.Header.Revision)
		}
	}
	return nil
}

// checkRevision returns an error for a number that is no revision of the service.
func checkRevision(number int64) error {
	if number < 0 || number > provider.MaxRevisionNumber {
		return fmt.Errorf("%w: %d", errInvalidRevision, number)
	}
	return nil
}

const (
	targetMod   = "MOD"
	resultEqual = "EQUAL"
)

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

// requestOp is one operation. Exactly one field is set.
type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type grantRequest struct {
	TTL int64 `json:"TTL,string"` // seconds
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"` // seconds; absent if the lease has ended
}

type keepAliveResponse struct {
	Result *leaseResponse `json:"result"`
}

type emptyResponse struct{}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end"`
	StartRevision  int64  `json:"start_revision,string"`
	ProgressNotify bool   `json:"progress_notify"`
}

// watchFrame is one frame of a watch: a result, or an error that ends the watch.
type watchFrame struct {
	Result *watchResult `json:"result"`
	Error  *watchError  `json:"error"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

const eventDelete = "DELETE"

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchError struct {
	Message  string `json:"message"`
	HTTPCode int    `json:"http_code"`
}

// prefixRange returns the range of the keys with a prefix in etcd's form.
func prefixRange(prefix string) (key, end []byte) {
	key = []byte(prefix)
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < math.MaxUint8 {
			end[i]++
			return key, end[:i+1]
		}
	}
	// The prefix is empty or consists of 0xff bytes: the range has no end.
	if len(key) == 0 {
		key = []byte{0}
	}
	return key, []byte{0}
}

// wholeSeconds converts a TTL to seconds, rounded up. A lease that lasts longer than
// requested is safe, because its holder relies on the shorter time.
func wholeSeconds(ttl time.Duration) int64 {
	return int64((ttl + time.Second - 1) / time.Second)
}
