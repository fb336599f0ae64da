package etcdprovider

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
)

var (
	errValueTooLarge    = errors.New("value is larger than the service holds")
	errTTLMissing       = errors.New("lease without a time to live")
	errAnswerIncomplete = errors.New("answer is not complete")
)

// Get reads a key linearizably.
func (p *Provider) Get(ctx context.Context, key string) (entry provider.Entry, err error) {
	defer annotate(&err, "get key")
	response, err := p.rangeKeys(ctx, &rangeRequest{Key: []byte(key)})
	if err != nil {
		return provider.Entry{}, err
	}
	if len(response.KVs) == 0 {
		return provider.Entry{}, provider.ErrNotFound
	}
	return response.KVs[0].entry(), nil
}

// List reads all keys with a prefix in one call.
func (p *Provider) List(
	ctx context.Context, prefix string,
) (entries []provider.Entry, revision int64, err error) {
	defer annotate(&err, "list keys")
	request := &rangeRequest{}
	request.Key, request.RangeEnd = prefixRange(prefix)
	response, err := p.rangeKeys(ctx, request)
	if err != nil {
		return nil, 0, err
	}
	entries = make([]provider.Entry, len(response.KVs))
	for i := range response.KVs {
		entries[i] = response.KVs[i].entry()
	}
	return entries, response.Header.Revision, nil
}

func (p *Provider) rangeKeys(ctx context.Context, request *rangeRequest) (*rangeResponse, error) {
	ctx, done, err := p.begin(ctx)
	if err != nil {
		return nil, &CallError{Class: provider.ErrUnavailable, Cause: err}
	}
	defer done()
	return p.readRange(ctx, request)
}

// Swap writes one key if its revision is the one named. Deleting a key that is
// absent, at revision 0, succeeds.
func (p *Provider) Swap(ctx context.Context, write provider.Write) (entry provider.Entry, err error) {
	defer annotate(&err, "swap key")
	if len(write.Value) > provider.MaxValueBytes {
		return provider.Entry{}, &CallError{Class: provider.ErrUnavailable, Cause: errValueTooLarge}
	}
	seen := p.seen.Load()
	response := &txnResponse{}
	if err = p.writeOnce(ctx, "/v3/kv/txn", swapRequest(write), response); err != nil {
		return provider.Entry{}, err
	}
	// See the package comment: such a service has lost what it once answered.
	if response.Header.Revision < seen {
		return provider.Entry{}, staleSwap(response)
	}
	p.raise(response.Header.Revision)
	if !response.Succeeded {
		return provider.Entry{}, provider.ErrConflict
	}
	if write.Delete {
		return provider.Entry{Key: write.Key}, nil
	}
	return provider.Entry{
		Key: write.Key, Value: write.Value, Lease: write.Lease, Revision: response.Header.Revision,
	}, nil
}

func swapRequest(write provider.Write) *txnRequest {
	key := []byte(write.Key)
	op := requestOp{Put: &putRequest{Key: key, Value: write.Value, Lease: int64(write.Lease)}}
	if write.Delete {
		op = requestOp{Delete: &deleteRequest{Key: key}}
	}
	return &txnRequest{
		Compare: []compare{{Key: key, Target: targetMod, Result: resultEqual, ModRevision: write.IfRevision}},
		Success: []requestOp{op},
	}
}

func staleSwap(response *txnResponse) error {
	if response.Succeeded {
		return &CallError{Class: provider.ErrOutcomeUnknown, Cause: errStale}
	}
	return &CallError{Class: provider.ErrUnavailable, Cause: errStale}
}

// Grant makes a lease; ttl is rounded up to whole seconds.
func (p *Provider) Grant(ctx context.Context, ttl time.Duration) (lease provider.LeaseID, err error) {
	defer annotate(&err, "grant lease")
	if ttl <= 0 {
		return provider.NoLease, &CallError{Class: provider.ErrUnavailable, Cause: errTTLMissing}
	}
	response := &leaseResponse{}
	if err = p.writeOnce(ctx, "/v3/lease/grant", &grantRequest{TTL: wholeSeconds(ttl)}, response); err != nil {
		return provider.NoLease, err
	}
	if response.ID == 0 {
		return provider.NoLease, &CallError{Class: provider.ErrOutcomeUnknown, Cause: errAnswerIncomplete}
	}
	return provider.LeaseID(response.ID), nil
}

// Renew renews a lease. Without an answer it fails with ErrOutcomeUnknown.
func (p *Provider) Renew(ctx context.Context, lease provider.LeaseID) (err error) {
	defer annotate(&err, "renew lease")
	response := &keepAliveResponse{}
	if err = p.writeOnce(ctx, "/v3/lease/keepalive", &leaseRequest{ID: int64(lease)}, response); err != nil {
		return err
	}
	if response.Result == nil {
		return &CallError{Class: provider.ErrOutcomeUnknown, Cause: errAnswerIncomplete}
	}
	if response.Result.TTL <= 0 {
		return provider.ErrLeaseLost
	}
	return nil
}

// Revoke ends a lease and removes its keys. It fails with ErrLeaseLost when
// the lease is gone already, and its keys with it.
func (p *Provider) Revoke(ctx context.Context, lease provider.LeaseID) (err error) {
	defer annotate(&err, "revoke lease")
	return p.writeOnce(ctx, "/v3/lease/revoke", &leaseRequest{ID: int64(lease)}, &emptyResponse{})
}

func (p *Provider) writeOnce(ctx context.Context, path string, request, response any) error {
	ctx, done, err := p.begin(ctx)
	if err != nil {
		return &CallError{Class: provider.ErrUnavailable, Cause: err}
	}
	defer done()
	return p.write(ctx, path, request, response)
}

// annotate adds to an error what was being done.
func annotate(err *error, doing string) {
	if *err != nil {
		*err = eris.Wrap(*err, doing)
	}
}
