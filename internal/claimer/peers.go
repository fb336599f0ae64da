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
	// ticketVoters is how many hosts a ticket names. Three is the least number
	// of which one may be lost.
	ticketVoters = 3
	// greetedPeers is how many peers a host keeps greetings of, so that the
	// background traffic doesn't grow with the fleet.
	greetedPeers = 4
	// suspectTime is how long a writer that didn't answer is passed over.
	suspectTime = 10 * time.Second
	// greetInterval is the time between two greetings of a peer.
	greetInterval = 5 * time.Second
	// greetingAge is how old a greeting may be for the issue of a ticket.
	greetingAge = 3 * greetInterval
)

// greeting is what a peer said of itself. Its clock has only moved on since, so
// a ticket that carries it counts as a little older than it is, and never as
// younger.
type greeting struct {
	voter *claimerpb.Voter
	heard time.Time
}

// peerTable holds what a host knows of the others.
type peerTable struct {
	cfg Config

	mu        sync.Mutex
	greetings map[string]greeting
	suspects  map[string]time.Time // until when
	greeted   time.Time
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

// preferredWriter picks the host whose commits of a shard go before others'.
// It may differ between hosts whose lists differ; that costs conflicts and
// nothing else.
func (t *peerTable) preferredWriter(shard int) (hostID string) {
	now := t.cfg.Clock()
	hostID = t.cfg.HostID
	best := rendezvous(hostID, shard)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range t.cfg.Pool.Peers() {
		rank := rendezvous(peer.HostID, shard)
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
		t.suspects[hostID] = t.cfg.Clock().Add(suspectTime)
		return
	}
	delete(t.suspects, hostID)
}

// greetAll greets the peers that this host issues tickets with, when it is
// time to.
func (t *peerTable) greetAll(ctx context.Context) {
	now := t.cfg.Clock()
	t.mu.Lock()
	due := now.Sub(t.greeted) >= greetInterval || len(t.greetings) < ticketVoters-1
	if due {
		t.greeted = now
	}
	t.mu.Unlock()
	if !due {
		return
	}
	var group errgroup.Group
	for _, hostID := range t.neighbours() {
		group.Go(func() error {
			t.greet(ctx, hostID)
			return nil
		})
	}
	_ = group.Wait()
}

// neighbours returns the peers to greet, those of the own availability zone
// first, in an order that differs from host to host.
func (t *peerTable) neighbours() (hostIDs []string) {
	own := rendezvousSeed(t.cfg.HostID)
	peers := slices.Clone(t.cfg.Pool.Peers())
	sort.SliceStable(peers, func(i, k int) bool {
		if near := peers[i].Zone == t.cfg.Zone; near != (peers[k].Zone == t.cfg.Zone) {
			return near
		}
		return rendezvous(peers[i].HostID, own) > rendezvous(peers[k].HostID, own)
	})
	for _, peer := range peers[:min(greetedPeers, len(peers))] {
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
		heard: t.cfg.Clock(),
	}
}

// forget drops the greeting of a peer that didn't answer, so that the next
// ticket doesn't name it.
func (t *peerTable) forget(hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.greetings, hostID)
}

// voters returns up to limit peers that were heard lately, the nearest first.
func (t *peerTable) voters(limit int) (voters []*claimerpb.Voter) {
	since := t.cfg.Clock().Add(-greetingAge)
	near := t.neighbours()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hostID := range near {
		known, found := t.greetings[hostID]
		if found && known.heard.After(since) && len(voters) < limit {
			voters = append(voters, known.voter)
		}
	}
	return voters
}
