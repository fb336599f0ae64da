package exchanger

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/endivemast/endivemast/internal/connector"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// This file manages the peers and the connections to them.

// link is the sending side's state of one peer. Most peers of a large fleet are never sent
// anything, so the connection is created on first use, and a publisher runs only if this host
// sends the peer something.
type link struct {
	peer Peer
	conn *grpc.ClientConn // nil before its first use
	// stop stops the publisher; nil if none runs.
	stop context.CancelFunc
	// isUnlisted is true for a peer that is no longer listed but still sends messages.
	isUnlisted bool
}

func (ex *Exchanger) addLocked(peer Peer) {
	ex.links[peer.HostID] = &link{peer: peer}
	ex.stateLocked(peer)
}

// connLocked returns the connection to a peer, and creates it on first use.
func (ex *Exchanger) connLocked(l *link) (conn *grpc.ClientConn, err error) {
	if l.conn == nil {
		l.conn, err = grpc.NewClient("passthrough:///"+l.peer.Address, ex.dialOptions()...)
	}
	return l.conn, err
}

// runPublishersLocked starts publishers for the peers that this host sends something to, and
// stops all others.
func (ex *Exchanger) runPublishersLocked() {
	if ex.group == nil || ex.ctx.Err() != nil {
		return
	}
	for hostID, l := range ex.links {
		wantsPublisher := ex.publishesTo(ex.topology, l.peer)
		switch {
		case wantsPublisher && l.stop == nil:
			conn, err := ex.connLocked(l)
			if err != nil {
				ex.cfg.Logger.Error("can't create a connection to the peer", "peer", hostID, "address", l.peer.Address, "error", err)
				continue
			}
			ctx, stop := context.WithCancel(ex.ctx)
			l.stop = stop
			ex.group.Go(func() error { return ex.publishTo(ctx, conn, l.peer) })
		case !wantsPublisher && l.stop != nil:
			l.stop()
			l.stop = nil
		}
	}
}

// publishesTo reports whether this host sends a peer load or heartbeats.
func (ex *Exchanger) publishesTo(t *topology, peer Peer) bool {
	return ex.partIfOnlyHub(t, peer) != exchangerpb.Part_PART_NONE || peer.Zone == ex.cfg.Zone && t.heartbeatSenders[ex.cfg.HostID]
}

// SetPeers replaces the peers. Connections to unchanged peers are kept.
func (ex *Exchanger) SetPeers(peers []Peer) {
	ex.mu.Lock()
	ex.setPeersLocked(peers)
	dropped := ex.updateTopologyLocked()
	ex.mu.Unlock()
	ex.setListed(peers)
	now := time.Now()
	for _, source := range dropped {
		ex.local.ApplyLoad(source, 0, nil, now)
	}
}

func (ex *Exchanger) setPeersLocked(peers []Peer) {
	listed := make(map[string]bool, len(peers))
	for _, peer := range peers {
		listed[peer.HostID] = true
		if l := ex.links[peer.HostID]; l != nil {
			if l.peer == peer {
				l.isUnlisted = false
				continue
			}
			ex.dropLocked(l)
		}
		ex.addLocked(peer)
	}
	for hostID, l := range ex.links {
		if listed[hostID] {
			continue
		}
		if l.isUnlisted = ex.isActiveLocked(hostID); !l.isUnlisted {
			ex.dropLocked(l)
		}
	}
}

// isActiveLocked reports whether a peer still sends messages and is not draining. If the store
// refuses a host, its entry expires while the host serves. Without messages it would neither
// count its peers' load nor receive their updates.
func (ex *Exchanger) isActiveLocked(hostID string) bool {
	state := ex.states[hostID]
	return state != nil && state.status.Reachable && !state.status.Draining
}

// NewConn returns a connection to a peer of the caller's own, which the caller closes. Its
// traffic does not delay the updates between hosts.
func (ex *Exchanger) NewConn(hostID string, options ...grpc.DialOption) (conn *grpc.ClientConn, err error) {
	ex.mu.Lock()
	l, ok := ex.links[hostID]
	ex.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("no peer %q", hostID)
	}
	return grpc.NewClient("passthrough:///"+l.peer.Address, append(ex.dialOptions(), options...)...)
}

func (ex *Exchanger) dropLocked(l *link) {
	delete(ex.links, l.peer.HostID)
	l.close()
}

// close stops the publisher and all calls to the peer.
func (l *link) close() {
	if l.stop != nil {
		l.stop()
	}
	if l.conn != nil {
		_ = l.conn.Close() // nothing is left to send
	}
}

func (ex *Exchanger) serverOptions() []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(callerHandshakeTimeout),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.UnaryInterceptor(ex.checkUnary),
		grpc.StreamInterceptor(ex.checkStream),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
	if ex.cfg.ServerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(ex.cfg.ServerTLS)))
	}
	return options
}

func (ex *Exchanger) dialOptions() []grpc.DialOption {
	security := insecure.NewCredentials()
	if ex.cfg.ClientTLS != nil {
		security = credentials.NewTLS(ex.cfg.ClientTLS)
	}
	network := connector.OrTCP(ex.cfg.Network)
	retry := backoff.DefaultConfig
	retry.BaseDelay = 50 * time.Millisecond
	retry.MaxDelay = maxReconnectDelay
	return []grpc.DialOption{
		grpc.WithTransportCredentials(security),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return network.Dial(ctx, address, connector.Options{Timeout: connectTimeout, UserTimeout: userTimeout})
		}),
		grpc.WithPerRPCCredentials(peerSecret{secret: ex.cfg.Secret}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: handshakeTimeout}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		// The library must not retry a call that the peer may have run.
		grpc.WithDisableRetry(),
	}
}

// Peers returns the other entry hosts, own zone first, then by host id.
func (ex *Exchanger) Peers() []Peer {
	ex.mu.Lock()
	peers := make([]Peer, 0, len(ex.links))
	for _, l := range ex.links {
		peers = append(peers, l.peer)
	}
	ex.mu.Unlock()
	sort.Slice(peers, func(i, j int) bool {
		ownI, ownJ := peers[i].Zone == ex.cfg.Zone, peers[j].Zone == ex.cfg.Zone
		if ownI != ownJ {
			return ownI
		}
		return peers[i].HostID < peers[j].HostID
	})
	return peers
}

// Conn returns the connection to a peer, or an error if there is no such peer.
func (ex *Exchanger) Conn(hostID string) (conn grpc.ClientConnInterface, err error) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	l, ok := ex.links[hostID]
	if !ok {
		return nil, eris.Errorf("no peer %q", hostID)
	}
	return ex.connLocked(l)
}
