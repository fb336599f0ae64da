package configurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/configurer/configurerpb"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	maxCatchUpPeers = 3 // compared with before loading from the store
	maxStartPeers   = 3 // compared with in parallel at the start
	// otherZonePeriod makes every third comparison go to another zone, so that a
	// zone that can't reach the store still gets changes.
	otherZonePeriod  = 3
	maxComparePeers  = 3 // tried in one interval until one answers
	maxFetchAttempts = 3 // for the full state of one peer
	// failedPeerBackoff is for how long no changes are pushed to a peer after a
	// failed call, as a call may take its full timeout and delays pushes to
	// other peers. The peer gets the changes by its own comparisons once it is
	// reachable again.
	failedPeerBackoff = 5 * time.Second
	maxPushRounds     = 3 // to one peer whose replies show that it is still behind
)

var (
	errNoPeerConfiguration = errors.New("no peer has a configuration in force")
	errNotContiguous       = errors.New("peer's changes do not follow the revision in force")
	errRecentFailure       = errors.New("recent call of the peer failed")
)

// runPush pushes new changes to this host's children in the relay tree, one
// batch at a time.
func (c *Configurer) runPush() error {
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-c.pushSignal:
		}
		c.mu.Lock()
		pending := c.pendingPush
		c.pendingPush = pendingPush{}
		c.mu.Unlock()
		if pending.isSet {
			c.pushAll(c.ctx, pending)
		}
	}
}

// pushAll pushes to this host's children in the zone's relay tree, and also to
// the root when the changes came from outside the tree. For a host that can't be
// reached it pushes to that host's children instead.
func (c *Configurer) pushAll(ctx context.Context, pending pendingPush) {
	members := c.zoneMembers()
	targets := c.children(members, c.cfg.HostID)
	if root := members[0]; pending.source == fromOutsideTree && root != c.cfg.HostID {
		targets = append(targets, root)
	}
	attempted := map[string]bool{c.cfg.HostID: true}
	for len(targets) > 0 && ctx.Err() == nil {
		var next []string
		for _, hostID := range c.pushEach(ctx, targets, pending) {
			next = append(next, c.children(members, hostID)...)
		}
		for _, hostID := range targets {
			attempted[hostID] = true
		}
		targets = slices.DeleteFunc(next, func(hostID string) bool { return attempted[hostID] })
	}
}

// pushEach pushes to the targets in parallel and returns those that it could not
// reach.
func (c *Configurer) pushEach(ctx context.Context, targets []string, pending pendingPush) (failed []string) {
	errs := make([]error, len(targets))
	var group errgroup.Group
	for i, hostID := range targets {
		group.Go(func() error {
			if c.failedRecently(hostID) {
				errs[i] = errRecentFailure
				return nil
			}
			errs[i] = c.pushTo(ctx, hostID, pending.after)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	for i, err := range errs {
		if err != nil {
			c.counters.pushesFailed.Add(1)
			c.logger.Debug("push to peer failed", "peer", targets[i], "error", err)
			failed = append(failed, targets[i])
		}
	}
	return failed
}

// children returns the hosts that a member pushes changes to. The zone's hosts,
// sorted by id, form a tree in which the host at index p pushes to those at
// p*fanout+1 to p*fanout+fanout. A zone has a single tree rather than one rooted
// at each host that reads a change: two hosts that read the same change at the
// same time would use different trees, and a host would be skipped if its parent
// in each tree had received the change through the other tree. Hosts with
// different member lists compute different trees; comparisons deliver what is
// missed.
func (c *Configurer) children(members []string, hostID string) []string {
	first := slices.Index(members, hostID)*c.cfg.Fanout + 1
	last := min(first+c.cfg.Fanout, len(members))
	if first >= last {
		return nil
	}
	return members[first:last:last]
}

// pushTo sends a peer the changes after a revision, and further ones while its
// replies show that it lacks them. If this host no longer keeps enough changes,
// it sends nothing; the peer fetches the shards on its next comparison.
func (c *Configurer) pushTo(ctx context.Context, hostID string, after int64) (err error) {
	defer func() { err = eris.Wrapf(err, "push to %s", hostID) }()
	client, err := c.client(hostID)
	if err != nil {
		return err
	}
	for range maxPushRounds {
		h, ok := c.headSince(after)
		if !ok {
			return nil
		}
		value, err := encodeHead(h)
		if err != nil {
			return err
		}
		reply, err := c.push(ctx, client, &configurerpb.PushRequest{Position: c.position(), Head: value})
		c.recordCall(hostID, err)
		if err != nil {
			return err
		}
		c.counters.pushesSent.Add(1)
		after = reply.GetPosition().GetRevision()
		if after >= h.Revision {
			return nil
		}
	}
	return nil
}

func (c *Configurer) push(ctx context.Context, client configurerpb.ConfigurerClient, request *configurerpb.PushRequest) (*configurerpb.PushReply, error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return client.Push(ctx, request)
}

func (c *Configurer) client(hostID string) (configurerpb.ConfigurerClient, error) {
	conn, err := c.cfg.Pool.Conn(hostID)
	if err != nil {
		return nil, err
	}
	return configurerpb.NewConfigurerClient(conn), nil
}

func (c *Configurer) position() *configurerpb.Position {
	st := c.state.Load()
	age := int64(-1)
	if d := c.storeAge(); d >= 0 && c.ready.Load() {
		age = d.Milliseconds()
	}
	return &configurerpb.Position{Revision: st.revision, Chain: uint64(st.chain), StoreAgeMs: age}
}

// runCompare compares periodically with a random peer.
func (c *Configurer) runCompare() error {
	for tick := 0; c.ctx.Err() == nil; tick++ {
		pause := c.cfg.CompareInterval/2 + rand.N(c.cfg.CompareInterval)
		if err := wait(c.ctx, pause); err == nil {
			c.compareOnce(c.ctx, tick%otherZonePeriod == otherZonePeriod-1)
		}
	}
	return nil
}

// compareOnce compares with a peer, and tries others when that fails.
func (c *Configurer) compareOnce(ctx context.Context, otherZone bool) {
	peers := c.randomPeers(0)
	slices.SortStableFunc(peers, func(a, b exchanger.Peer) int {
		return c.penalty(a, otherZone) - c.penalty(b, otherZone)
	})
	for _, peer := range peers[:min(len(peers), maxComparePeers)] {
		err := c.compareWith(ctx, peer)
		if err == nil {
			return
		}
		c.logger.Debug("comparison with peer failed", "peer", peer.HostID, "error", err)
	}
}

// failedRecently reports whether the last call of a peer failed within
// failedPeerBackoff.
func (c *Configurer) failedRecently(hostID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.failedCalls[hostID]
	return ok && time.Since(at) < failedPeerBackoff
}

// recordCall records the result of a call of a peer.
func (c *Configurer) recordCall(hostID string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failedCalls, hostID)
	} else if c.ctx.Err() == nil {
		c.failedCalls[hostID] = time.Now()
	}
}

// penalty returns the sort key of peers for a comparison: peers of the wanted
// kind of zone come first, and those with a recent failure last.
func (c *Configurer) penalty(peer exchanger.Peer, otherZone bool) int {
	penalty := 0
	if (peer.Zone != c.cfg.Zone) != otherZone {
		penalty++
	}
	if c.failedRecently(peer.HostID) {
		penalty += 2
	}
	return penalty
}

// randomPeers returns up to n peers in random order; 0 means all.
func (c *Configurer) randomPeers(n int) []exchanger.Peer {
	peers := slices.Clone(c.cfg.Pool.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if n > 0 && len(peers) > n {
		peers = peers[:n]
	}
	return peers
}

// initializeFrom gets the first configuration from a peer. It fails when the
// peer has none: a peer that is itself starting reports a negative store age.
func (c *Configurer) initializeFrom(ctx context.Context, peer exchanger.Peer) error {
	position, err := c.reconcile(ctx, peer)
	if err != nil {
		return err
	}
	if position.GetStoreAgeMs() < 0 {
		return errNoPeerConfiguration
	}
	return nil
}

// compareWith compares with a peer and exchanges the missing changes.
func (c *Configurer) compareWith(ctx context.Context, peer exchanger.Peer) error {
	_, err := c.reconcile(ctx, peer)
	return err
}

// reconcile gets the changes from a peer that this host lacks, or pushes those
// that the peer lacks. It returns the peer's position.
func (c *Configurer) reconcile(ctx context.Context, peer exchanger.Peer) (peerPosition *configurerpb.Position, err error) {
	defer func() { err = eris.Wrapf(err, "compare with %s", peer.HostID) }()
	client, err := c.client(peer.HostID)
	if err != nil {
		return nil, err
	}
	reply, err := c.compare(ctx, client, &configurerpb.CompareRequest{Position: c.position()})
	c.recordCall(peer.HostID, err)
	if err != nil {
		return nil, err
	}
	peerPosition = reply.GetPosition()
	if reply.GetGap() {
		err = c.fetchFrom(ctx, client, peerPosition.GetRevision())
	} else if len(reply.GetHead()) > 0 {
		err = c.applyPeerHead(reply.GetHead())
	}
	if err != nil {
		return nil, err
	}
	c.notePeerPosition(peerPosition)
	if peerPosition.GetRevision() < c.Revision() {
		err = c.pushTo(ctx, peer.HostID, peerPosition.GetRevision())
	}
	return peerPosition, err
}

func (c *Configurer) compare(ctx context.Context, client configurerpb.ConfigurerClient, request *configurerpb.CompareRequest) (*configurerpb.CompareReply, error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return client.Compare(ctx, request)
}

func (c *Configurer) applyPeerHead(value []byte) error {
	h, err := decodeHead(value)
	if err != nil {
		return err
	}
	result := c.applyHead(h, fromOutsideTree)
	if result == headGap || result == headDiverged {
		return errNotContiguous
	}
	return nil
}

// notePeerPosition records the peer's last known store read if this host has
// reached the peer's revision.
func (c *Configurer) notePeerPosition(position *configurerpb.Position) {
	if position.GetRevision() <= c.Revision() {
		c.noteStoreRead(time.Duration(position.GetStoreAgeMs()) * time.Millisecond)
	}
}

// fetchFrom fetches a peer's full state. The shards may come from different
// revisions, as the peer goes on applying changes; a final comparison returns
// the changes since the first page.
func (c *Configurer) fetchFrom(ctx context.Context, client configurerpb.ConfigurerClient, revision int64) (err error) {
	defer func() { err = eris.Wrap(err, "fetch shards") }()
	if err := acquire(ctx, c.fetchSemaphore); err != nil {
		return err
	}
	defer release(c.fetchSemaphore)
	for range maxFetchAttempts {
		if c.Revision() >= revision {
			return nil // reached by other means meanwhile
		}
		st, ok, err := c.tryFetch(ctx, client)
		if err != nil {
			return err
		}
		if ok {
			c.installState(st)
			return nil
		}
	}
	return errInconsistentRead
}

// tryFetch fetches all shards once. It is not ok when they are inconsistent.
func (c *Configurer) tryFetch(ctx context.Context, client configurerpb.ConfigurerClient) (st *state, ok bool, err error) {
	shards := make(map[int]*shard)
	first, err := c.fetchPage(ctx, client, 0, shards)
	if err != nil {
		return nil, false, err
	}
	for next := first.GetNextShard(); next != 0; {
		page, err := c.fetchPage(ctx, client, next, shards)
		if err != nil {
			return nil, false, err
		}
		if page.GetNextShard() != 0 && page.GetNextShard() <= next {
			return nil, false, errMalformed
		}
		next = page.GetNextShard()
	}
	reply, err := c.compare(ctx, client, &configurerpb.CompareRequest{Position: first.GetPosition(), AlwaysHead: true})
	if err != nil || reply.GetGap() {
		return nil, false, err
	}
	h, err := decodeHead(reply.GetHead())
	if err != nil {
		return nil, false, err
	}
	st, ok = assemble(shards, h)
	return st, ok, nil
}

func (c *Configurer) fetchPage(ctx context.Context, client configurerpb.ConfigurerClient, first uint32, shards map[int]*shard) (page *configurerpb.FetchReply, err error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	page, err = client.Fetch(ctx, &configurerpb.FetchRequest{FirstShard: first})
	if err != nil {
		return nil, err
	}
	for _, value := range page.GetShards() {
		i, s, err := decodeShard(value)
		if err != nil {
			return nil, err
		}
		shards[i] = s
	}
	return page, nil
}
