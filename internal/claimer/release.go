package claimer

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	maxPendingReleases = 4096
	releaseWorkers     = 16
	// ticketReleaseTimeout is how long a release is retried at a ticket's voters. A voter
	// that doesn't answer for that long has most likely stopped and lost its memory.
	ticketReleaseTimeout = 10 * time.Second
	// storeReleaseTimeout covers a long outage of the key-value service.
	storeReleaseTimeout = 30 * time.Minute
)

// releaseQueue holds claims that this host has given up and never dispatches, until their
// registers have recorded that. Until then a repeat gets "unknown". Losing an entry of the
// queue is safe.
type releaseQueue struct {
	mu      sync.Mutex
	pending []pendingRelease
}

type pendingRelease struct {
	target register
	entry  entry
	since  time.Time
}

// releaseLater gives up a claim. A ticket's voters are notified at once; a shard is
// notified at the next tick, when the key-value service may be available again.
func (c *KeyClaimer) releaseLater(target register, wanted entry) {
	wanted.state = StateNotRun
	wanted.answer = nil
	r := pendingRelease{target: target, entry: wanted, since: c.cfg.Clock()}
	if _, isTicket := target.(ticketRegister); isTicket {
		c.spawn(func() { c.tryRelease(r) })
		return
	}
	c.queueRelease(r)
}

func (c *KeyClaimer) queueRelease(r pendingRelease) {
	c.releases.mu.Lock()
	defer c.releases.mu.Unlock()
	if len(c.releases.pending) < maxPendingReleases {
		c.releases.pending = append(c.releases.pending, r)
	}
}

func (c *KeyClaimer) flushReleases() {
	c.releases.mu.Lock()
	pending := c.releases.pending
	c.releases.pending = nil
	c.releases.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(releaseWorkers)
	for _, r := range pending {
		group.Go(func() error {
			c.tryRelease(r)
			return nil
		})
	}
	_ = group.Wait()
}

// tryRelease records the release at the register, and queues it again if that fails.
func (c *KeyClaimer) tryRelease(r pendingRelease) {
	ctx, cancel := timekeeper.WithTimeout(c.ctx, c.cfg.StoreTimeout+c.cfg.CommitInterval)
	defer cancel()
	result, err := c.record(ctx, r.target, r.entry)
	undecided := err != nil || result.verdict == claimerpb.Verdict_VERDICT_UNAVAILABLE
	if undecided && c.cfg.Clock().Sub(r.since) < releaseTimeout(r.target) {
		c.queueRelease(r)
	}
}

func releaseTimeout(target register) time.Duration {
	switch target.(type) {
	case ticketRegister:
		return ticketReleaseTimeout
	default:
		return storeReleaseTimeout
	}
}
