package kvserver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
)

// int64Text is an int64 that the gateway encodes as a string. Requests may also
// contain a plain number.
type int64Text int64

// MarshalJSON encodes the number as a string.
func (n int64Text) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON decodes a string or a number.
func (n *int64Text) UnmarshalJSON(text []byte) error {
	number, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	*n = int64Text(number)
	return err
}

type responseHeader struct {
	ClusterID int64Text `json:"cluster_id"`
	MemberID  int64Text `json:"member_id"`
	Revision  int64Text `json:"revision"`
	RaftTerm  int64Text `json:"raft_term"`
}

type wireKeyValue struct {
	Key            []byte    `json:"key,omitempty"`
	CreateRevision int64Text `json:"create_revision,omitempty"`
	ModRevision    int64Text `json:"mod_revision,omitempty"`
	Version        int64Text `json:"version,omitempty"`
	Value          []byte    `json:"value,omitempty"`
	Lease          int64Text `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte    `json:"key"`
	RangeEnd  []byte    `json:"range_end"`
	Limit     int64Text `json:"limit"`
	Revision  int64Text `json:"revision"`
	KeysOnly  bool      `json:"keys_only"`
	CountOnly bool      `json:"count_only"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	KVs    []wireKeyValue `json:"kvs,omitempty"`
	More   bool           `json:"more,omitempty"`
	Count  int64Text      `json:"count,omitempty"`
}

type putRequest struct {
	Key    []byte    `json:"key"`
	Value  []byte    `json:"value"`
	Lease  int64Text `json:"lease"`
	PrevKV bool      `json:"prev_kv"`
}

type putResponse struct {
	Header responseHeader `json:"header"`
	PrevKV *wireKeyValue  `json:"prev_kv,omitempty"`
}

type deleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	PrevKV   bool   `json:"prev_kv"`
}

type deleteRangeResponse struct {
	Header  responseHeader `json:"header"`
	Deleted int64Text      `json:"deleted,omitempty"`
	PrevKVs []wireKeyValue `json:"prev_kvs,omitempty"`
}

// Targets and results of a compare.
const (
	targetVersion = "VERSION"
	targetCreate  = "CREATE"
	targetMod     = "MOD"

	resultEqual    = "EQUAL"
	resultGreater  = "GREATER"
	resultLess     = "LESS"
	resultNotEqual = "NOT_EQUAL"
)

type compare struct {
	Key            []byte    `json:"key"`
	Target         string    `json:"target"`
	Result         string    `json:"result"`
	Version        int64Text `json:"version"`
	CreateRevision int64Text `json:"create_revision"`
	ModRevision    int64Text `json:"mod_revision"`
}

// requestOp is one operation of a transaction; exactly one field is set.
type requestOp struct {
	Range       *rangeRequest       `json:"request_range"`
	Put         *putRequest         `json:"request_put"`
	DeleteRange *deleteRangeRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

// responseOp is the response to one operation; exactly one field is set.
type responseOp struct {
	Range       *rangeResponse       `json:"response_range,omitempty"`
	Put         *putResponse         `json:"response_put,omitempty"`
	DeleteRange *deleteRangeResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []responseOp   `json:"responses,omitempty"`
}

type compactionRequest struct {
	Revision int64Text `json:"revision"`
}

type headerResponse struct {
	Header responseHeader `json:"header"`
}

type leaseRequest struct {
	ID  int64Text `json:"ID"`
	TTL int64Text `json:"TTL"` // seconds
}

type leaseResponse struct {
	Header responseHeader `json:"header"`
	ID     int64Text      `json:"ID,omitempty"`
	TTL    int64Text      `json:"TTL,omitempty"` // seconds; omitted if the lease does not exist
}

// leaseStreamResponse wraps the answer to a keepalive, because the gateway
// treats keepalive as a stream.
type leaseStreamResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create *watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key            []byte    `json:"key"`
	RangeEnd       []byte    `json:"range_end"`
	StartRevision  int64Text `json:"start_revision"`
	ProgressNotify bool      `json:"progress_notify"`
	PrevKV         bool      `json:"prev_kv"`
}

type watchFrame struct {
	Result watchResponse `json:"result"`
}

type watchResponse struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64Text      `json:"compact_revision,omitempty"`
	CancelReason    string         `json:"cancel_reason,omitempty"`
	Events          []watchEvent   `json:"events,omitempty"`
}

const eventDelete = "DELETE" // PUT is the zero value and therefore omitted

type watchEvent struct {
	Type   string        `json:"type,omitempty"`
	KV     wireKeyValue  `json:"kv"`
	PrevKV *wireKeyValue `json:"prev_kv,omitempty"`
}

// gatewayError is an error response of the gateway.
type gatewayError struct {
	Status  int    `json:"-"`
	Code    int    `json:"code"` // gRPC status code
	Message string `json:"message"`
}

// Error returns the message.
func (e *gatewayError) Error() string { return e.Message }

// Error responses of the stand-in, with etcd's texts.
var (
	errCompacted       = &gatewayError{http.StatusBadRequest, 11, "etcdserver: mvcc: required revision has been compacted"}
	errFutureRevision  = &gatewayError{http.StatusBadRequest, 11, "etcdserver: mvcc: required revision is a future revision"}
	errLeaseNotFound   = &gatewayError{http.StatusNotFound, 5, "etcdserver: requested lease not found"}
	errLeaseExists     = &gatewayError{http.StatusBadRequest, 9, "etcdserver: lease already exists"}
	errTooLarge        = &gatewayError{http.StatusBadRequest, 3, "etcdserver: request is too large"}
	errEmptyKey        = &gatewayError{http.StatusBadRequest, 3, "etcdserver: key is not provided"}
	errTooManyRequests = &gatewayError{http.StatusTooManyRequests, 8, "etcdserver: too many requests"}
	errNoLeader        = &gatewayError{http.StatusServiceUnavailable, 14, "etcdserver: no leader"}
)

func malformed(err error) *gatewayError {
	return &gatewayError{http.StatusBadRequest, 3, err.Error()}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err *gatewayError) {
	writeJSON(w, err.Status, struct {
		Error string `json:"error"`
		*gatewayError
	}{err.Message, err})
}
