package claimer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/provider"
)

// bucketsPerRetention is into how many leases a retention is cut. Segments of
// one host and bucket share a lease, which is never renewed, so the platform
// removes them together without any work of ours.
const bucketsPerRetention = 8

// segmentLeases grants the leases of segments.
type segmentLeases struct {
	store     provider.Store
	clock     func() time.Time
	retention time.Duration

	mu      sync.Mutex
	lease   provider.LeaseID
	granted time.Time
}

// current returns a lease that still lasts for a whole retention.
func (l *segmentLeases) current(ctx context.Context) (lease provider.LeaseID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.retention / bucketsPerRetention
	began := l.clock()
	if l.lease != provider.NoLease && began.Sub(l.granted) < bucket {
		return l.lease, nil
	}
	// Two buckets on top: one for the lease's own age at its last use, one for
	// the difference between clocks, because the head's writers drop a segment
	// by theirs.
	lease, err = l.store.Grant(ctx, l.retention+2*bucket)
	if err != nil {
		return provider.NoLease, err
	}
	l.lease, l.granted = lease, began
	return lease, nil
}

// forget drops a lease that the store no longer knows.
func (l *segmentLeases) forget(err error) {
	if !errors.Is(err, provider.ErrLeaseLost) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = provider.NoLease
}

func answerIn(value []byte, key hash) []byte {
	segment := &claimerpb.Segment{}
	if err := proto.Unmarshal(value, segment); err != nil {
		return nil
	}
	for _, wire := range segment.GetEntries() {
		if bytes.Equal(wire.GetKeyHash(), key[:]) {
			return wire.GetAnswer()
		}
	}
	return nil
}
