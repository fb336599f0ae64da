package etcdprovider

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// The gateway's messages, as far as this package uses them. Byte slices are
// base64 in JSON, as encoding/json has them too; 64-bit integers are strings;
// fields at their zero value are left out.

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

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
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

// requestOp is one operation; exactly one field is set.
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
	TTL int64 `json:"TTL,string"` // seconds; absent when the lease is gone
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

// watchFrame is one frame of a watch: a result, or an error that ends it.
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

// prefixRange returns the range of keys that have a prefix, as etcd writes it.
func prefixRange(prefix string) (key, end []byte) {
	key = []byte(prefix)
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < math.MaxUint8 {
			end[i]++
			return key, end[:i+1]
		}
	}
	// Nothing sorts behind such a prefix, or it is empty: to the end of all keys.
	if len(key) == 0 {
		key = []byte{0}
	}
	return key, []byte{0}
}

// wholeSeconds rounds up: a lease that lasts longer than asked for is safe for
// a holder who counts on the shorter time.
func wholeSeconds(ttl time.Duration) int64 {
	return int64((ttl + time.Second - 1) / time.Second)
}
