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
)

const (
	catchUpPeers = 3 // asked for missing changes before the store
	startPeers   = 3 // asked for a first configuration, all at the same time
	// otherZoneEvery makes every third comparison go to another zone: a zone
	// that is cut from the store gets changes that way.
	otherZoneEvery = 3
	compareTries   = 3 // peers tried in one interval, until one answers
	fetchTries     = 3 // of a snapshot from one peer
	pushRounds     = 3 // towards one peer, as it turns out to be further behind
)

var (
	errNoPeer = errors.New("no peer has a configuration")
	errGap    = errors.New("peer's changes do not follow")
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

// pushAll pushes to the children of this host in the tree. The children of one
// that can't be reached are pushed to in its place.
func (c *Configurer) pushAll(ctx context.Context, n news) {
	members := c.zoneMembers()
	targets := c.children(members, n.origin, c.cfg.HostID)
	for len(targets) > 0 && ctx.Err() == nil {
		var next []string
		for _, hostID := range c.pushEach(ctx, targets, n) {
			next = append(next, c.children(members, n.origin, hostID)...)
		}
		targets = next
	}
}

// pushEach pushes to some hosts at the same time and returns those that it
// could not reach.
func (c *Configurer) pushEach(ctx context.Context, targets []string, n news) (failed []string) {
	errs := make([]error, len(targets))
	var group errgroup.Group
	for i, hostID := range targets {
		group.Go(func() error {
			errs[i] = c.pushTo(ctx, hostID, n.after, n.origin)
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
// in order of their ids, from the origin on, form a tree in which the host at
// place p passes on to those at p*fanout+1 to p*fanout+fanout. Hosts that know
// other members than this one build other trees; comparisons make up for it.
func (c *Configurer) children(members []string, origin, hostID string) []string {
	root := slices.Index(members, origin)
	if root < 0 {
		root = slices.Index(members, c.cfg.HostID)
	}
	n := len(members)
	place := (slices.Index(members, hostID) - root + n) % n
	var found []string
	for p := place*c.cfg.Fanout + 1; p <= (place+1)*c.cfg.Fanout && p < n; p++ {
		found = append(found, members[(root+p)%n])
	}
	return found
}

// pushTo sends a peer the changes after a revision, and further ones that its
// answers show it to lack. A peer for which this host doesn't keep enough
// changes fetches the shards when it compares itself.
func (c *Configurer) pushTo(ctx context.Context, hostID string, after int64, origin string) (err error) {
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
		reply, err := c.push(ctx, client, &configurerpb.PushRequest{
			Position: c.position(), OriginHostId: origin, Head: value,
		})
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
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
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

// distance is 0 for a peer of the kind of zone wanted, else 1.
func (c *Configurer) distance(peer exchanger.Peer, otherZone bool) int {
	if (peer.Zone != c.cfg.Zone) == otherZone {
		return 0
	}
	return 1
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
		err = c.pushTo(ctx, peer.HostID, theirs.GetRevision(), c.cfg.HostID)
	}
	return theirs, err
}

func (c *Configurer) compare(ctx context.Context, client configurerpb.ConfigurerClient, request *configurerpb.CompareRequest) (*configurerpb.CompareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return client.Compare(ctx, request)
}

func (c *Configurer) takeHead(value []byte) error {
	h, err := decodeHead(value)
	if err != nil {
		return err
	}
	result := c.absorb(h, c.cfg.HostID)
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
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
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
