package exitverifier

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exitverifier/exitverifierpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// maxAsked bounds the peers that are asked about one process.
	maxAsked = 8
	// askTimeout bounds a call to a peer, whose probe may time out.
	askTimeout = 800 * time.Millisecond
	// vetoTimeout bounds the question whether a peer reaches a process, which delays the report of an exit.
	vetoTimeout = 300 * time.Millisecond
	// maxVerifications and maxProbes bound the processes that this host asks its peers about, and
	// those that it probes for them, at a time.
	maxVerifications = 32
	maxProbes        = 32
	// confirmDelay is how long a verdict waits for others of the same moment: if a peer reaches one
	// of the processes that refuse this host, its paths have broken.
	confirmDelay = 250 * time.Millisecond
	// distrustTime is for how long this host's refused connections show nothing after that. They
	// belong to the same break.
	distrustTime = 2 * time.Second
	// maxBrokenPathAge is for how long a path that has broken counts once.
	maxBrokenPathAge = 15 * time.Second
)

// Observation is what a host observes of a process.
type Observation int

// Observations.
const (
	ObservedNothing   Observation = iota // the process is not listed, or is not probed
	ObservedReached                      // it accepts connections
	ObservedRefused                      // nothing listens at its address
	ObservedUnreached                    // no connection in time
	ObservedAlive                        // it refuses connections, but open ones show that it runs
)

// Peer is another host.
type Peer struct{ HostID, Zone string }

// Config configures a Verifier.
type Config struct {
	HostID string
	// Peers returns the hosts that may be asked.
	Peers func() []Peer
	// Conn returns the connection to a peer.
	Conn func(hostID string) (grpc.ClientConnInterface, error)
	// Observe connects to a process over this host's own path.
	Observe func(ctx context.Context, process driver.Process) Observation
	Logger  hclog.Logger
}

// Verifier is safe for concurrent use.
type Verifier struct {
	cfg           Config
	verifications atomic.Int64 // in progress
	probes        atomic.Int64 // for peers, in progress
	inFlight      singleflight.Group

	mu           sync.Mutex
	brokenPaths  map[driver.Process]time.Time // to processes that refuse this host alone, or together with those
	pathBrokenAt time.Time                    // of the latest one
}

// New returns a Verifier.
func New(cfg Config) *Verifier {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Verifier{cfg: cfg, brokenPaths: map[driver.Process]time.Time{}}
}

// Register registers the service that peers ask.
func (v *Verifier) Register(registrar grpc.ServiceRegistrar) {
	exitverifierpb.RegisterExitVerifierServer(registrar, &service{verifier: v})
}

// HasExited reports whether peers confirm that a process has exited to which this host's connection
// was refused.
func (v *Verifier) HasExited(ctx context.Context, process driver.Process) bool {
	started := time.Now()
	observations, ok := v.askPeers(ctx, process, askTimeout)
	if !ok {
		return false
	}
	hasExited, reason := judge(observations)
	if hasExited && !v.trustsOwnPath(ctx, process, started) {
		hasExited, reason = false, "paths of this host have broken"
	}
	v.log(process, observations, hasExited, reason, started)
	return hasExited
}

// IsReached reports whether a peer reaches a process that has exited as far as this host can compare, or
// has open connections to it.
func (v *Verifier) IsReached(ctx context.Context, process driver.Process) bool {
	started := time.Now()
	observations, ok := v.askPeers(ctx, process, vetoTimeout)
	if !ok {
		return false
	}
	hasExited, reason := judge(observations)
	isReached := !hasExited && count(observations, ObservedReached)+count(observations, ObservedAlive) > 0
	if !isReached {
		reason = "no peer reaches it"
	}
	v.log(process, observations, !isReached, reason, started)
	return isReached
}

// askPeers returns what peers observe of a process; ok is false if too many are asked about already.
func (v *Verifier) askPeers(ctx context.Context, process driver.Process, timeout time.Duration) (observations []Observation, ok bool) {
	if v.verifications.Add(1) > maxVerifications {
		v.verifications.Add(-1)
		v.cfg.Logger.Info("peers not asked about the exit of a process: too many at a time", "endpoint_id", process.EndpointID, "limit", maxVerifications)
		return nil, false
	}
	defer v.verifications.Add(-1)
	observations = v.ask(ctx, choosePeers(v.cfg.Peers(), process), process, timeout)
	if count(observations, ObservedReached) > 0 {
		v.recordBrokenPath(process, time.Now())
	}
	return observations, true
}

func (v *Verifier) log(process driver.Process, observations []Observation, hasExited bool, reason string, started time.Time) {
	v.cfg.Logger.Info("peers asked about the exit of a process", "endpoint_id", process.EndpointID, "incarnation", process.Incarnation, "is_exited", hasExited,
		"reason", reason, "asked", len(observations), "reached", count(observations, ObservedReached), "alive", count(observations, ObservedAlive), "refused", count(observations, ObservedRefused),
		"unreached", count(observations, ObservedUnreached), "took_ms", time.Since(started).Milliseconds())
}

// recordBrokenPath records that a peer reaches a process that refuses this host.
func (v *Verifier) recordBrokenPath(process driver.Process, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.brokenPaths, func(_ driver.Process, at time.Time) bool { return now.Sub(at) >= maxBrokenPathAge })
	if _, isKnown := v.brokenPaths[process]; !isKnown {
		v.brokenPaths[process], v.pathBrokenAt = now, now
	}
}

// trustsOwnPath waits for confirmDelay, and reports whether this host's path to a process has not
// broken together with others. A path that has stays so for maxBrokenPathAge.
func (v *Verifier) trustsOwnPath(ctx context.Context, process driver.Process, at time.Time) bool {
	timer := time.NewTimer(confirmDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pathBrokenAt.After(at.Add(-distrustTime)) {
		v.brokenPaths[process] = at
	}
	_, isBroken := v.brokenPaths[process]
	return !isBroken
}

// choosePeers returns up to maxAsked peers of as many availability zones as possible, since the paths
// of one zone may break together. Different processes have different peers.
func choosePeers(peers []Peer, process driver.Process) (chosen []Peer) {
	rank := func(p Peer) uint64 {
		return xxhash.Sum64String(p.HostID + "\x00" + process.EndpointID)
	}
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.HostID, b.HostID)) })
	ofZone := map[string]int{}
	round := make(map[Peer]int, len(peers)) // position of the peer among those of its zone
	for _, p := range peers {
		round[p] = ofZone[p.Zone]
		ofZone[p.Zone]++
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(round[a], round[b]) })
	return peers[:min(len(peers), maxAsked)]
}

// ask returns the observation of each peer.
func (v *Verifier) ask(ctx context.Context, peers []Peer, process driver.Process, timeout time.Duration) []Observation {
	ctx, cancel := timekeeper.WithTimeout(ctx, timeout)
	defer cancel()
	observations := make([]Observation, len(peers))
	var group errgroup.Group
	for i, peer := range peers {
		group.Go(func() (err error) {
			observations[i], err = v.askPeer(ctx, peer, process)
			if err != nil {
				v.cfg.Logger.Info("peer did not say whether it reaches a process", "host_id", peer.HostID, "endpoint_id", process.EndpointID, "error", err.Error())
			}
			return nil
		})
	}
	_ = group.Wait() // errors are logged, and leave an ObservedNothing
	return observations
}

func (v *Verifier) askPeer(ctx context.Context, peer Peer, process driver.Process) (Observation, error) {
	conn, err := v.cfg.Conn(peer.HostID)
	if err != nil {
		return ObservedNothing, err
	}
	reply, err := exitverifierpb.NewExitVerifierClient(conn).Probe(ctx, &exitverifierpb.ProbeRequest{
		HostId: v.cfg.HostID, EndpointId: process.EndpointID, Incarnation: process.Incarnation,
	})
	if err != nil {
		return ObservedNothing, err
	}
	return observationFromMessage(reply.GetObservation()), nil
}

func count(observations []Observation, kind Observation) (n int) {
	for _, o := range observations {
		if o == kind {
			n++
		}
	}
	return n
}

// judge reports whether a process has exited to which this host's connection was refused. Peers whose
// own connections time out don't reach it either, but leave open why.
func judge(observations []Observation) (hasExited bool, reason string) {
	failed := count(observations, ObservedRefused) + count(observations, ObservedUnreached)
	switch {
	case count(observations, ObservedReached) > 0:
		return false, "a peer reaches it"
	case count(observations, ObservedAlive) > 0:
		return false, "a peer has open connections to it"
	case failed == 0 || 2*failed <= len(observations):
		return false, "too few peers have tried"
	default:
		return true, "no peer reaches it"
	}
}
