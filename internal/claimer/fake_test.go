package claimer

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// memoryStore is a provider.Store in memory that answers at once.
type memoryStore struct {
	provider.Store // the methods that claims don't use

	mu       sync.Mutex
	revision int64
	entries  map[string]provider.Entry
	down     bool
	calls    map[string]int
	delay    func(ctx context.Context)
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]provider.Entry{}, calls: map[string]int{}}
}

func (m *memoryStore) begin(ctx context.Context, name string) error {
	if m.delay != nil {
		m.delay(ctx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[name]++
	if m.down {
		return provider.ErrUnavailable
	}
	return nil
}

func (m *memoryStore) Get(ctx context.Context, key string) (provider.Entry, error) {
	if err := m.begin(ctx, "get"); err != nil {
		return provider.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	held, found := m.entries[key]
	if !found {
		return provider.Entry{}, provider.ErrNotFound
	}
	return held, nil
}

func (m *memoryStore) Swap(ctx context.Context, write provider.Write) (provider.Entry, error) {
	if err := m.begin(ctx, "swap"); err != nil {
		return provider.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[write.Key].Revision != write.IfRevision {
		return provider.Entry{}, provider.ErrConflict
	}
	m.revision++
	written := provider.Entry{Key: write.Key, Value: write.Value, Revision: m.revision, Lease: write.Lease}
	m.entries[write.Key] = written
	return written, nil
}

func (m *memoryStore) Grant(context.Context, time.Duration) (provider.LeaseID, error) {
	return 1, nil
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// dropSegments does what the expiry of all leases does.
func (m *memoryStore) dropSegments() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.entries {
		if strings.Contains(key, "/segments/") {
			delete(m.entries, key)
		}
	}
}

// network joins claimers without sockets. The hook sees each call, and calls
// land for the peer to get it.
type network struct {
	mu    sync.Mutex
	hosts map[string]*KeyClaimer
	peers []exchanger.Peer
	// freeGreetings keeps greetings from the hook.
	freeGreetings bool
	hook          func(ctx context.Context, from, to string, land func(context.Context) error) error
}

// poolOf is one host's view of a network.
type poolOf struct {
	*network

	self string
}

func (p poolOf) Peers() (peers []exchanger.Peer) {
	for _, peer := range p.peers {
		if peer.HostID != p.self {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (p poolOf) Conn(hostID string) (grpc.ClientConnInterface, error) {
	return &linkTo{network: p.network, from: p.self, to: hostID}, nil
}

type linkTo struct {
	*network

	from, to string
}

func (l *linkTo) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "no streams")
}

func (l *linkTo) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	l.mu.Lock()
	peer, hook := l.hosts[l.to], l.hook
	l.mu.Unlock()
	if peer == nil {
		return status.Error(codes.Unavailable, "host is dead")
	}
	server := &service{claimer: peer}
	if _, isGreeting := args.(*claimerpb.GreetRequest); isGreeting && l.freeGreetings || hook == nil {
		return serve(ctx, server, args, reply)
	}
	return hook(ctx, l.from, l.to, func(ctx context.Context) error { return serve(ctx, server, args, reply) })
}

func serve(ctx context.Context, server *service, args, reply any) (err error) {
	switch request := args.(type) {
	case *claimerpb.CommitRequest:
		var d *claimerpb.Decision
		if d, err = server.Commit(ctx, request); err == nil {
			into := reply.(*claimerpb.Decision)
			into.Verdict, into.Entry = d.GetVerdict(), d.GetEntry()
		}
	case *claimerpb.VoteRequest:
		var d *claimerpb.Decision
		if d, err = server.Vote(ctx, request); err == nil {
			into := reply.(*claimerpb.Decision)
			into.Verdict, into.Entry = d.GetVerdict(), d.GetEntry()
		}
	case *claimerpb.GreetRequest:
		var greeted *claimerpb.GreetReply
		if greeted, err = server.Greet(ctx, request); err == nil {
			into := reply.(*claimerpb.GreetReply)
			into.Incarnation, into.TickSeconds = greeted.GetIncarnation(), greeted.GetTickSeconds()
		}
	}
	return err
}

// newNetwork starts one claimer a name, all in one availability zone.
func newNetwork(store func(host string) provider.Store, configure func(*Config), names ...string) *network {
	n := &network{hosts: map[string]*KeyClaimer{}}
	n.startAll(store, configure, names...)
	return n
}

func (n *network) startAll(store func(host string) provider.Store, configure func(*Config), names ...string) {
	for _, name := range names {
		n.peers = append(n.peers, exchanger.Peer{HostID: name, Zone: "lozenets"})
	}
	for _, name := range names {
		n.start(name, name+"#1", store(name), configure)
	}
}

func (n *network) start(name, incarnation string, store provider.Store, configure func(*Config)) {
	cfg := Config{
		HostID: name, Incarnation: incarnation, Zone: "lozenets", Store: store,
		Pool: poolOf{network: n, self: name}, Secret: []byte("0123456789abcdef"),
	}
	if configure != nil {
		configure(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.hosts[name] = c
	n.mu.Unlock()
	c.Start()
}

// kill takes a host off the network and ends it.
func (n *network) kill(name string) {
	n.mu.Lock()
	dead := n.hosts[name]
	delete(n.hosts, name)
	n.mu.Unlock()
	_ = dead.Close()
}

func (n *network) close() {
	for name := range n.hosts {
		n.kill(name)
	}
}
