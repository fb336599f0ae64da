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

// leasesPerRetention is how many leases cover a retention. Segments that a host writes
// within one interval share a lease, which is never renewed, so the key-value service
// removes them together without further work.
const leasesPerRetention = 8

// segmentLeases grants the leases of segments.
type segmentLeases struct {
	store     provider.Store
	clock     func() time.Time
	retention time.Duration

	mu        sync.Mutex
	lease     provider.LeaseID
	grantedAt time.Time
}

// current returns a lease with at least a whole retention left.
func (l *segmentLeases) current(ctx context.Context) (lease provider.LeaseID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := l.retention / leasesPerRetention
	now := l.clock()
	if l.lease != provider.NoLease && now.Sub(l.grantedAt) < interval {
		return l.lease, nil
	}
	// Two intervals on top: one for the age of the lease at its last use, and one for
	// clock differences, because the writers of the head drop a segment by their own
	// clocks.
	lease, err = l.store.Grant(ctx, l.retention+2*interval)
	if err != nil {
		return provider.NoLease, err
	}
	l.lease, l.grantedAt = lease, now
	return lease, nil
}

// dropIfLost drops a lease that the store no longer knows.
func (l *segmentLeases) dropIfLost(err error) {
	if !errors.Is(err, provider.ErrLeaseLost) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = provider.NoLease
}

func findAnswer(value []byte, key hash) []byte {
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
