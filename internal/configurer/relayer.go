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
	catchUpPeers = 3 // asked for missing changes before the store
	startPeers   = 3 // asked for a first configuration, all at the same time
	// otherZoneEvery makes every third comparison go to another zone: a zone
	// that is cut from the store gets changes that way.
	otherZoneEvery = 3
	compareTries   = 3 // peers tried in one interval, until one answers
	fetchTries     = 3 // of a snapshot from one peer
	// avoidFailedFor keeps calls from peers that did not answer, as each may
	// take its whole timeout, and other peers' news waits behind it. Such a
	// peer gets the news by its own comparisons once it answers again.
	avoidFailedFor = 5 * time.Second
	pushRounds     = 3 // towards one peer, as it turns out to be further behind
)

var (
	errNoPeer  = errors.New("no peer has a configuration")
	errGap     = errors.New("peer's changes do not follow")
	errAvoided = errors.New("peer did not answer a moment ago")
)

// runPush passes on what came into force to this host's children in the relay
// tree, one batch at a time.
func (c *Configurer) runPush() error {
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-c.wake:
		}
		c.mu.Lock()
		n := c.news
		c.news = news{}
		c.mu.Unlock()
		if n.pending {
			c.pushAll(c.ctx, n)
		}
	}
}

// pushAll pushes to the children of this host in the zone's tree, and first to
// the root of what came from outside of it. The children of a host that can't
// be reached are pushed to in its place.
func (c *Configurer) pushAll(ctx context.Context, n news) {
	members := c.zoneMembers()
	targets := c.children(members, c.cfg.HostID)
	if root := members[0]; n.source == fromOutside && root != c.cfg.HostID {
		targets = append(targets, root)
	}
	reached := map[string]bool{c.cfg.HostID: true}
	for len(targets) > 0 && ctx.Err() == nil {
		var next []string
		for _, hostID := range c.pushEach(ctx, targets, n) {
			next = append(next, c.children(members, hostID)...)
		}
		for _, hostID := range targets {
			reached[hostID] = true
		}
		targets = slices.DeleteFunc(next, func(hostID string) bool { return reached[hostID] })
	}
}

// pushEach pushes to some hosts at the same time and returns those that it
// could not reach.
func (c *Configurer) pushEach(ctx context.Context, targets []string, n news) (failed []string) {
	errs := make([]error, len(targets))
	var group errgroup.Group
	for i, hostID := range targets {
		group.Go(func() error {
			if c.failedLately(hostID) {
				errs[i] = errAvoided
				return nil
			}
			errs[i] = c.pushTo(ctx, hostID, n.after)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	for i, err := range errs {
		if err != nil {
			c.counters.pushesFailed.Add(1)
			c.logger.Debug("push failed", "peer", targets[i], "error", err)
			failed = append(failed, targets[i])
		}
	}
	return failed
}

// children are the hosts that a member passes changes on to: the zone's hosts
// in order of their ids form a tree in which the host at place p passes on to
// those at p*fanout+1 to p*fanout+fanout. There is one tree for a zone, and not
// one for each host that has news: two hosts that read the same change at the
// same time would root two, and a host whose parent in either tree heard of it
// in the other one would be left out. Hosts that know other members than this
// one see another tree; comparisons make up for it.
func (c *Configurer) children(members []string, hostID string) []string {
	first := slices.Index(members, hostID)*c.cfg.Fanout + 1
	last := min(first+c.cfg.Fanout, len(members))
	if first >= last {
		return nil
	}
	return members[first:last:last]
}

// pushTo sends a peer the changes after a revision, and further ones that its
// answers show it to lack. A peer for which this host doesn't keep enough
// changes fetches the shards when it compares itself.
func (c *Configurer) pushTo(ctx context.Context, hostID string, after int64) (err error) {
	defer func() { err = eris.Wrapf(err, "push to %s", hostID) }()
	client, err := c.client(hostID)
	if err != nil {
		return err
	}
	for range pushRounds {
		h, ok := c.headSince(after)
		if !ok {
			return nil
		}
		value, err := encodeHead(h)
		if err != nil {
			return err
		}
		reply, err := c.push(ctx, client, &configurerpb.PushRequest{Position: c.position(), Head: value})
		c.noteCall(hostID, err)
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

// runCompare compares with one peer after the other.
func (c *Configurer) runCompare() error {
	for tick := 0; c.ctx.Err() == nil; tick++ {
		pause := c.cfg.CompareInterval/2 + rand.N(c.cfg.CompareInterval)
		if err := wait(c.ctx, pause); err == nil {
			c.compareOnce(c.ctx, tick%otherZoneEvery == otherZoneEvery-1)
		}
	}
	return nil
}

// compareOnce compares with a peer, or with another one when it doesn't answer.
func (c *Configurer) compareOnce(ctx context.Context, otherZone bool) {
	peers := c.somePeers(0)
	slices.SortStableFunc(peers, func(a, b exchanger.Peer) int {
		return c.distance(a, otherZone) - c.distance(b, otherZone)
	})
	for _, peer := range peers[:min(len(peers), compareTries)] {
		err := c.compareWith(ctx, peer)
		if err == nil {
			return
		}
		c.logger.Debug("comparison failed", "peer", peer.HostID, "error", err)
	}
}

// failedLately says whether a peer's last call failed a short time ago.
func (c *Configurer) failedLately(hostID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.failed[hostID]
	return ok && time.Since(at) < avoidFailedFor
}

// noteCall notes whether a peer answered the last call.
func (c *Configurer) noteCall(hostID string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failed, hostID)
	} else if c.ctx.Err() == nil {
		c.failed[hostID] = time.Now()
	}
}

// distance orders peers for a comparison: those of the kind of zone wanted come
// first, and those that did not answer lately come last.
func (c *Configurer) distance(peer exchanger.Peer, otherZone bool) int {
	distance := 0
	if (peer.Zone != c.cfg.Zone) != otherZone {
		distance++
	}
	if c.failedLately(peer.HostID) {
		distance += 2
	}
	return distance
}

// somePeers returns n peers in random order; 0 stands for all.
func (c *Configurer) somePeers(n int) []exchanger.Peer {
	peers := slices.Clone(c.cfg.Pool.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if n > 0 && len(peers) > n {
		peers = peers[:n]
	}
	return peers
}

// startFrom takes a first configuration from a peer. It fails when the peer
// has none: a host that is starting itself says that it never heard of a read.
func (c *Configurer) startFrom(ctx context.Context, peer exchanger.Peer) error {
	position, err := c.evenOut(ctx, peer)
	if err != nil {
		return err
	}
	if position.GetStoreAgeMs() < 0 {
		return errNoPeer
	}
	return nil
}

// compareWith compares with a peer and evens out the difference.
func (c *Configurer) compareWith(ctx context.Context, peer exchanger.Peer) error {
	_, err := c.evenOut(ctx, peer)
	return err
}

// evenOut takes from a peer what this host lacks, or gives it what it lacks.
func (c *Configurer) evenOut(ctx context.Context, peer exchanger.Peer) (theirs *configurerpb.Position, err error) {
	defer func() { err = eris.Wrapf(err, "compare with %s", peer.HostID) }()
	client, err := c.client(peer.HostID)
	if err != nil {
		return nil, err
	}
	reply, err := c.compare(ctx, client, &configurerpb.CompareRequest{Position: c.position()})
	c.noteCall(peer.HostID, err)
	if err != nil {
		return nil, err
	}
	theirs = reply.GetPosition()
	if reply.GetGap() {
		err = c.fetchFrom(ctx, client, theirs.GetRevision())
	} else if len(reply.GetHead()) > 0 {
		err = c.takeHead(reply.GetHead())
	}
	if err != nil {
		return nil, err
	}
	c.hear(theirs)
	if theirs.GetRevision() < c.Revision() {
		err = c.pushTo(ctx, peer.HostID, theirs.GetRevision())
	}
	return theirs, err
}

func (c *Configurer) compare(ctx context.Context, client configurerpb.ConfigurerClient, request *configurerpb.CompareRequest) (*configurerpb.CompareReply, error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return client.Compare(ctx, request)
}

func (c *Configurer) takeHead(value []byte) error {
	h, err := decodeHead(value)
	if err != nil {
		return err
	}
	result := c.absorb(h, fromOutside)
	if result == absorbedGap || result == absorbedDiverge {
		return errGap
	}
	return nil
}

// hear notes how fresh a peer's configuration is, once this host has reached it.
func (c *Configurer) hear(position *configurerpb.Position) {
	if position.GetRevision() <= c.Revision() {
		c.saw(time.Duration(position.GetStoreAgeMs()) * time.Millisecond)
	}
}

// fetchFrom takes a peer's whole state. The peer goes on changing meanwhile;
// the changes since the first shard come at the end and close the differences.
func (c *Configurer) fetchFrom(ctx context.Context, client configurerpb.ConfigurerClient, revision int64) (err error) {
	defer func() { err = eris.Wrap(err, "fetch shards") }()
	if err := take(ctx, c.fetching); err != nil {
		return err
	}
	defer release(c.fetching)
	for range fetchTries {
		if c.Revision() >= revision {
			return nil // somebody else fetched meanwhile
		}
		st, ok, err := c.tryFetch(ctx, client)
		if err != nil {
			return err
		}
		if ok {
			c.installWhole(st)
			return nil
		}
	}
	return errIncoherent
}

// tryFetch fetches all shards once; not ok means that they don't fit together.
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
