// Package exchanger provides the connections between the processes that coordinate.
// claimer and configurer each serve a gRPC service, and call those of the other processes
// through a Pool.
//
// # Usage
//
//	pool, err := exchanger.NewPool(zone, peers, grpc.WithTransportCredentials(credentials))
//	defer pool.Close()
//
// Access control is up to the program: its gRPC server has to authenticate its peers, by
// mutual TLS or otherwise.
package exchanger

import (
	"cmp"
	"errors"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger"
)

// Peer is another process that coordinates with this one.
type Peer = exchanger.Peer

// Pool lists the other processes and provides connections to them.
type Pool = exchanger.Pool

// StaticPool is a Pool with a fixed list of processes.
type StaticPool struct {
	peers []Peer
	conns map[string]*grpc.ClientConn
}

var _ Pool = (*StaticPool)(nil)

// NewPool creates a pool that lists the peers of its own zone first, then sorts by host
// id. Connections are opened when they are first used.
func NewPool(zone string, peers []Peer, options ...grpc.DialOption) (p *StaticPool, err error) {
	defer func() { err = eris.Wrap(err, "create peer pool") }()
	p = &StaticPool{peers: slices.Clone(peers), conns: make(map[string]*grpc.ClientConn, len(peers))}
	slices.SortFunc(p.peers, func(a, b Peer) int {
		if ownA, ownB := a.Zone == zone, b.Zone == zone; ownA != ownB {
			return cmp.Compare(boolToInt(ownB), boolToInt(ownA))
		}
		return cmp.Compare(a.HostID, b.HostID)
	})
	for _, peer := range p.peers {
		conn, err := grpc.NewClient("passthrough:///"+peer.Address, options...)
		if err != nil {
			return nil, errors.Join(err, p.Close())
		}
		p.conns[peer.HostID] = conn
	}
	return p, nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Peers returns the other processes, those of this zone first.
func (p *StaticPool) Peers() []Peer { return slices.Clone(p.peers) }

// Conn returns the connection to a peer.
func (p *StaticPool) Conn(hostID string) (conn grpc.ClientConnInterface, err error) {
	client, ok := p.conns[hostID]
	if !ok {
		return nil, eris.Errorf("unknown peer %q", hostID)
	}
	return client, nil
}

// Close closes the connections.
func (p *StaticPool) Close() error {
	var errs []error
	for _, conn := range p.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}
