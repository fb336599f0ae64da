package etcdprovider

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
)

var (
	errValueTooLarge      = errors.New("value exceeds the maximum size")
	errInvalidTTL         = errors.New("lease TTL must be positive")
	errIncompleteResponse = errors.New("response is incomplete")
)

// Get reads a key linearizably. It fails with ErrNotFound if the key is absent.
func (p *Provider) Get(ctx context.Context, key string) (entry provider.Entry, err error) {
	defer wrapError(&err, "get key")
	response, err := p.rangeKeys(ctx, &rangeRequest{Key: []byte(key)})
	if err != nil {
		return provider.Entry{}, err
	}
	if len(response.KVs) == 0 {
		return provider.Entry{}, provider.ErrNotFound
	}
	return response.KVs[0].entry(), nil
}

// List reads all keys with a prefix in one call. It also returns the store revision.
func (p *Provider) List(
	ctx context.Context, prefix string,
) (entries []provider.Entry, revision int64, err error) {
	defer wrapError(&err, "list keys")
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

// Swap writes or deletes one key if it is at revision write.IfRevision. Deleting an absent
// key at revision 0 succeeds.
func (p *Provider) Swap(ctx context.Context, write provider.Write) (entry provider.Entry, err error) {
	defer wrapError(&err, "swap key")
	if len(write.Value) > provider.MaxValueBytes {
		return provider.Entry{}, &CallError{Class: provider.ErrUnavailable, Cause: errValueTooLarge}
	}
	newestRevision := p.newestRevision.Load()
	response := &txnResponse{}
	if err = p.writeOnce(ctx, "/v3/kv/txn", swapRequest(write), response); err != nil {
		return provider.Entry{}, err
	}
	// The service has lost writes that it once confirmed: see the package comment.
	if response.Header.Revision < newestRevision {
		return provider.Entry{}, staleSwapError(response)
	}
	if err := checkRevision(response.Header.Revision); err != nil {
		return provider.Entry{}, &CallError{Class: provider.ErrOutcomeUnknown, Cause: err}
	}
	p.noteRevision(response.Header.Revision)
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

func staleSwapError(response *txnResponse) error {
	if response.Succeeded {
		return &CallError{Class: provider.ErrOutcomeUnknown, Cause: errStaleRevision}
	}
	return &CallError{Class: provider.ErrUnavailable, Cause: errStaleRevision}
}

// Grant creates a lease. The TTL is rounded up to whole seconds.
func (p *Provider) Grant(ctx context.Context, ttl time.Duration) (lease provider.LeaseID, err error) {
	defer wrapError(&err, "grant lease")
	if ttl <= 0 {
		return provider.NoLease, &CallError{Class: provider.ErrUnavailable, Cause: errInvalidTTL}
	}
	response := &leaseResponse{}
	if err = p.writeOnce(ctx, "/v3/lease/grant", &grantRequest{TTL: wholeSeconds(ttl)}, response); err != nil {
		return provider.NoLease, err
	}
	if response.ID == 0 {
		return provider.NoLease, &CallError{Class: provider.ErrOutcomeUnknown, Cause: errIncompleteResponse}
	}
	return provider.LeaseID(response.ID), nil
}

// Renew renews a lease. It fails with ErrLeaseLost if the lease has ended, and with
// ErrOutcomeUnknown without an answer.
func (p *Provider) Renew(ctx context.Context, lease provider.LeaseID) (err error) {
	defer wrapError(&err, "renew lease")
	response := &keepAliveResponse{}
	if err = p.writeOnce(ctx, "/v3/lease/keepalive", &leaseRequest{ID: int64(lease)}, response); err != nil {
		return err
	}
	if response.Result == nil {
		return &CallError{Class: provider.ErrOutcomeUnknown, Cause: errIncompleteResponse}
	}
	if response.Result.TTL <= 0 {
		return provider.ErrLeaseLost
	}
	return nil
}

// Revoke ends a lease and removes its keys. It fails with ErrLeaseLost if the lease has
// already ended, which also removed its keys.
func (p *Provider) Revoke(ctx context.Context, lease provider.LeaseID) (err error) {
	defer wrapError(&err, "revoke lease")
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

// wrapError wraps a non-nil error with the operation that failed.
func wrapError(err *error, operation string) {
	if *err != nil {
		*err = eris.Wrap(*err, operation)
	}
}
