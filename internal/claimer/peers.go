package claimer

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// ticketVoters is how many hosts a ticket names. Three is the smallest number that
	// tolerates the loss of one.
	ticketVoters = 3
	// maxGreetedPeers is how many peers a host greets, so that the background traffic
	// doesn't grow with the fleet.
	maxGreetedPeers = 4
	// suspectDuration is how long a writer that didn't answer is not preferred.
	suspectDuration = 10 * time.Second
	// greetInterval is the time between two greetings of a peer.
	greetInterval = 5 * time.Second
	// maxGreetingAge is the greatest age of a greeting that is used for a ticket.
	maxGreetingAge = 3 * greetInterval
)

// greeting is a peer's reply to a Greet call. The peer's clock has advanced since, so a
// ticket with this reading counts as slightly older than it is and never as newer.
type greeting struct {
	voter      *claimerpb.Voter
	receivedAt time.Time
}

// peerTable holds what a host knows about its peers.
type peerTable struct {
	cfg Config

	mu        sync.Mutex
	greetings map[string]greeting
	suspects  map[string]time.Time // end of the suspicion
	greetedAt time.Time
}

func newPeerTable(cfg Config) *peerTable {
	return &peerTable{cfg: cfg, greetings: make(map[string]greeting), suspects: make(map[string]time.Time)}
}

func (t *peerTable) client(hostID string) (client claimerpb.ClaimsClient, err error) {
	conn, err := t.cfg.Pool.Conn(hostID)
	if err != nil {
		return nil, err
	}
	return claimerpb.NewClaimsClient(conn), nil
}

// preferredWriter returns the host that should commit claims of a shard. Hosts with
// different lists of peers may choose different writers, which only causes more write
// conflicts.
func (t *peerTable) preferredWriter(shard int) (hostID string) {
	now := t.cfg.Clock()
	hostID = t.cfg.HostID
	best := rendezvousWeight(hostID, shard)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range t.cfg.Pool.Peers() {
		rank := rendezvousWeight(peer.HostID, shard)
		if rank > best && !t.suspects[peer.HostID].After(now) {
			hostID, best = peer.HostID, rank
		}
	}
	return hostID
}

func (t *peerTable) reportWriter(hostID string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.suspects[hostID] = t.cfg.Clock().Add(suspectDuration)
		return
	}
	delete(t.suspects, hostID)
}

// greetAll greets the peers with which this host issues tickets, if a greeting is due.
func (t *peerTable) greetAll(ctx context.Context) {
	now := t.cfg.Clock()
	t.mu.Lock()
	due := now.Sub(t.greetedAt) >= greetInterval || len(t.greetings) < ticketVoters-1
	if due {
		t.greetedAt = now
	}
	t.mu.Unlock()
	if !due {
		return
	}
	var group errgroup.Group
	for _, hostID := range t.nearestPeers() {
		group.Go(func() error {
			t.greet(ctx, hostID)
			return nil
		})
	}
	_ = group.Wait()
}

// nearestPeers returns the peers to greet, first those of the same availability zone, in
// an order that differs between hosts.
func (t *peerTable) nearestPeers() (hostIDs []string) {
	own := rendezvousKey(t.cfg.HostID)
	peers := slices.Clone(t.cfg.Pool.Peers())
	sort.SliceStable(peers, func(i, k int) bool {
		if near := peers[i].Zone == t.cfg.Zone; near != (peers[k].Zone == t.cfg.Zone) {
			return near
		}
		return rendezvousWeight(peers[i].HostID, own) > rendezvousWeight(peers[k].HostID, own)
	})
	for _, peer := range peers[:min(maxGreetedPeers, len(peers))] {
		hostIDs = append(hostIDs, peer.HostID)
	}
	return hostIDs
}

func (t *peerTable) greet(ctx context.Context, hostID string) {
	ctx, cancel := timekeeper.WithTimeout(ctx, t.cfg.PeerTimeout)
	defer cancel()
	client, err := t.client(hostID)
	if err != nil {
		return
	}
	reply, err := client.Greet(ctx, &claimerpb.GreetRequest{})
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		delete(t.greetings, hostID)
		return
	}
	t.greetings[hostID] = greeting{
		voter: &claimerpb.Voter{
			HostId: hostID, Incarnation: reply.GetIncarnation(), TickSeconds: reply.GetTickSeconds(),
		},
		receivedAt: t.cfg.Clock(),
	}
}

// dropGreeting drops the greeting of a peer that didn't answer, so that the next ticket
// doesn't name it.
func (t *peerTable) dropGreeting(hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.greetings, hostID)
}

// voters returns up to limit peers with a recent greeting, the nearest first.
func (t *peerTable) voters(limit int) (voters []*claimerpb.Voter) {
	since := t.cfg.Clock().Add(-maxGreetingAge)
	near := t.nearestPeers()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hostID := range near {
		known, found := t.greetings[hostID]
		if found && known.receivedAt.After(since) && len(voters) < limit {
			voters = append(voters, known.voter)
		}
	}
	return voters
}
