package relayer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/relayer/relayerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

var (
	// errFeedIdle means that a peer has sent nothing for feedIdleTimeout.
	errFeedIdle = eris.New("no message from the peer within the idle timeout")
	// errWatchStore means that this host has to watch the store itself.
	errWatchStore = eris.New("this host has to watch the store itself")
	// errPreferredPeer means that a preferred peer can be followed again. Without
	// the switch, a rolling restart would leave more and more hosts watching the
	// store.
	errPreferredPeer = eris.New("a preferred peer can be followed")
)

// peerWatch is a watch that is served by peers.
type peerWatch struct {
	relayer *Relayer
	watcher *watcher

	mu          sync.Mutex
	feedPeers   []string // peers of the current feeds
	activeFeeds int      // number of feeds that have received a message
}

// followPeers follows up to exchanger.HubsPerZone peers at a time, until none of
// them sends changes.
func (r *Relayer) followPeers(ctx context.Context) provider.Watcher {
	p := &peerWatch{relayer: r, watcher: newWatcher(ctx)}
	w := p.watcher
	var feeds sync.WaitGroup
	for range exchanger.HubsPerZone {
		feeds.Add(1)
		w.group.Go(func() error {
			defer feeds.Done()
			p.runFeed()
			return nil
		})
	}
	w.group.Go(func() error {
		feeds.Wait()
		w.err = provider.ErrWatchSourceChanged
		if err := ctx.Err(); err != nil {
			w.err = err
		}
		close(w.changes)
		return nil
	})
	return w
}

// runFeed follows one peer after another. It returns when no feed is left, and
// this host then watches the store itself.
func (p *peerWatch) runFeed() {
	defer p.watcher.cancel()
	for p.watcher.ctx.Err() == nil && !p.relayer.WatchesStore() {
		peer, ok := p.pickPeer()
		if !ok {
			if p.watchStoreIfNoFeed() || !p.watcher.pause(peerFailureBackoff) {
				return
			}
			continue
		}
		err := p.follow(peer)
		if p.watcher.ctx.Err() != nil || errors.Is(err, errWatchStore) {
			return
		}
		if errors.Is(err, errPreferredPeer) {
			continue
		}
		p.relayer.recordFailure(peer, err)
		if p.watchStoreIfNoFeed() {
			return
		}
	}
}

// pickPeer picks a peer that is not followed yet.
func (p *peerWatch) pickPeer() (peer string, ok bool) {
	candidates := p.relayer.sourcePeers(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, candidate := range candidates {
		if !slices.Contains(p.feedPeers, candidate) {
			p.feedPeers = append(p.feedPeers, candidate)
			return candidate, true
		}
	}
	return "", false
}

// isPreferred reports whether a peer is among the first exchanger.HubsPerZone
// candidates. It is also true while fewer feeds than that are active, so that at
// least one feed always stays.
func (p *peerWatch) isPreferred(peer string) bool {
	candidates := p.relayer.sourcePeers(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeFeeds < exchanger.HubsPerZone || slices.Contains(candidates[:min(len(candidates), exchanger.HubsPerZone)], peer)
}

// watchStoreIfNoFeed reports whether no feed is active, and if so makes this host watch
// the store at once: the remaining peers may all be following the one that was
// lost.
func (p *peerWatch) watchStoreIfNoFeed() bool {
	p.mu.Lock()
	hasNoFeed := p.activeFeeds == 0
	p.mu.Unlock()
	if hasNoFeed {
		p.relayer.recordFeedsLost()
	}
	return hasNoFeed
}

// follow delivers the changes from one peer until the peer fails or another source
// is to be used.
func (p *peerWatch) follow(peer string) (err error) {
	isActive, started := false, time.Now()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.feedPeers = slices.DeleteFunc(p.feedPeers, func(id string) bool { return id == peer })
		if isActive {
			p.activeFeeds--
			p.relayer.feeds.Add(-1)
		}
	}()
	conn, err := p.relayer.cfg.Pool.Conn(peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(p.watcher.ctx)
	defer cancel(nil)
	idleTimer := timekeeper.AfterFunc(feedIdleTimeout, func() { cancel(errFeedIdle) })
	defer idleTimer.Stop()
	stream, err := relayerpb.NewRelayClient(conn).Follow(ctx, &relayerpb.FollowRequest{
		HostId: p.relayer.cfg.HostID, FromRevision: p.relayer.log.latestRevision() + 1,
	})
	if err != nil {
		return err
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "follow peer: %v", context.Cause(ctx))
		}
		idleTimer.Reset(feedIdleTimeout)
		if !isActive {
			isActive = true
			p.addActiveFeed()
			p.relayer.cfg.Logger.Info("receiving changes from a peer", "peer", peer, "from_revision", p.relayer.log.latestRevision()+1)
		}
		if !p.deliver(changesFromMessage(reply.GetChanges())) {
			return p.watcher.ctx.Err()
		}
		if p.relayer.WatchesStore() {
			return errWatchStore
		}
		if time.Since(started) > peerFailureBackoff && !p.isPreferred(peer) {
			return errPreferredPeer
		}
	}
}

func (p *peerWatch) addActiveFeed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeFeeds++
	p.relayer.feeds.Add(1)
}

// HasFeed implements follower.Peers.
func (r *Relayer) HasFeed() bool { return r.feeds.Load() > 0 }

// deliver passes on the changes that are new. The lock keeps a batch of one feed
// from being overtaken by the next batch of the other.
func (p *peerWatch) deliver(changes []provider.Change) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watcher.deliver(p.relayer.log.appendNew(changes))
}

func (r *Relayer) recordFeedsLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedsLostAt = time.Now()
}

func (r *Relayer) recordFailure(peer string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[peer] = time.Now()
	r.cfg.Logger.Info("backing off from a failed peer", "peer", peer, "error", err)
}

// Follow implements relayerpb.RelayServer: it streams the changes that this host
// receives.
func (r *Relayer) Follow(request *relayerpb.FollowRequest, stream relayerpb.Relay_FollowServer) error {
	r.addFollower(1)
	defer r.addFollower(-1)
	watchEnded, err := r.awaitStoreWatch(stream.Context())
	if err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	sentRevision := request.GetFromRevision() - 1
	for {
		changes, appended, ok := r.log.since(sentRevision)
		if !ok {
			return status.Error(codes.OutOfRange, "changes that old are not kept")
		}
		if !provider.IsPlausible(sentRevision, r.log.latestRevision()) {
			// It would wait for good: no change will be after that revision.
			return status.Error(codes.OutOfRange, "the store can't have reached that revision")
		}
		if err := stream.Send(&relayerpb.FollowReply{Changes: changesToMessage(changes)}); err != nil {
			return err
		}
		for _, change := range changes {
			sentRevision = max(sentRevision, change.Entry.Revision)
		}
		select {
		case <-appended:
		case <-heartbeat.C:
		case <-watchEnded:
			return status.Error(codes.Unavailable, "the store is not heard any more")
		case <-r.done:
			return status.Error(codes.Unavailable, "the host stops")
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func (r *Relayer) addFollower(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers += n
}

// awaitStoreWatch waits until this host watches the store itself, which it starts
// to do when it is followed. watchEnded closes when that watch has ended.
func (r *Relayer) awaitStoreWatch(ctx context.Context) (watchEnded <-chan struct{}, err error) {
	ticker := time.NewTicker(heartbeatInterval / 4)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		watching, watchEnded := r.isWatching, r.watchEnded
		r.mu.Unlock()
		if watching {
			return watchEnded, nil
		}
		select {
		case <-ticker.C:
		case <-r.done:
			return nil, status.Error(codes.Unavailable, "the host stops")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func changesToMessage(changes []provider.Change) []*relayerpb.Change {
	messages := make([]*relayerpb.Change, 0, len(changes))
	for _, change := range changes {
		messages = append(messages, &relayerpb.Change{
			Key: change.Entry.Key, Value: change.Entry.Value, Revision: change.Entry.Revision, Deleted: change.Deleted,
			AgeMs: change.Age.Milliseconds(),
		})
	}
	return messages
}

func changesFromMessage(messages []*relayerpb.Change) []provider.Change {
	changes := make([]provider.Change, 0, len(messages))
	for _, message := range messages {
		changes = append(changes, provider.Change{
			Entry:   provider.Entry{Key: message.GetKey(), Value: message.GetValue(), Revision: message.GetRevision()},
			Deleted: message.GetDeleted(), Age: time.Duration(message.GetAgeMs()) * time.Millisecond,
		})
	}
	return changes
}
