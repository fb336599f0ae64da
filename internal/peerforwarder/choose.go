package peerforwarder

import "slices"

const (
	// ownZoneWeight is how much more of the requests a peer in this host's zone gets: traffic
	// between zones costs more and takes longer.
	ownZoneWeight = 3
	// idleRequests is added to the number of requests that a peer serves, so that the first few
	// make little difference.
	idleRequests = 4
	// minAdvantage is how much more of an application's endpoints a peer reaches than this host
	// for requests to be passed to it, as a share of all.
	minAdvantage = 0.2
)

// Peer is another host as a receiver of requests.
type Peer struct {
	HostID               string
	Zone                 string
	ConfigurationVersion int64
	ActiveRequests       int64              // that it serves, by its latest update
	IsDraining           bool               // it takes no new requests
	IsUnheard            bool               // it sends this host no updates, so that nothing is known of it
	Shares               map[string]float64 // of the endpoints that it reaches, by application; 1 if missing
	Short                []string           // applications of which it refuses requests for lack of capacity
}

// Share returns the part of an application's endpoints that the peer reaches.
func (p *Peer) Share(application string) float64 {
	if share, ok := p.Shares[application]; ok {
		return share
	}
	return 1
}

// query describes a request to find a peer for.
type query struct {
	zone                 string
	application          string
	configurationVersion int64
	ownShare             float64
	acceptsEqual         bool // a peer need not reach more endpoints than this host
	isRefused            bool // this host has refused the request for lack of capacity
	ignoresShortage      bool // peers that are short of capacity count as suitable
	excluded             []string
	inFlight             map[string]int // requests passed to each peer
	random               float64        // in [0, 1)
}

// choose picks a peer at random. The probability grows with what the peer reaches, and falls with
// the requests that it serves, so that not all hosts pass theirs to the same peer.
// Peers of which nothing is known are chosen only if no other one is suitable.
func choose(peers []Peer, q *query) (hostID string, ok bool) {
	if hostID, ok = chooseAmong(peers, q, false); ok {
		return hostID, true
	}
	return chooseAmong(peers, q, true)
}

func chooseAmong(peers []Peer, q *query, isUnheard bool) (hostID string, ok bool) {
	weights := make([]float64, len(peers))
	total := 0.0
	for i := range peers {
		if peers[i].IsUnheard == isUnheard {
			weights[i] = weight(&peers[i], q)
		}
		total += weights[i]
	}
	if total == 0 {
		return "", false
	}
	left := q.random * total
	for i, w := range weights {
		if w == 0 {
			continue
		}
		hostID = peers[i].HostID
		if left -= w; left < 0 {
			break
		}
	}
	return hostID, true
}

// isBetter reports whether a peer's share of the endpoints is clearly greater than this host's.
func isBetter(share, own float64) bool { return share >= own+minAdvantage || own == 0 && share > 0 }

// isOutlier reports whether a peer reaches clearly more than this host, or most peers reach more.
func isOutlier(peers []Peer, application string, own float64) bool {
	known, better := 0, 0
	for i := range peers {
		if peers[i].IsUnheard {
			continue
		}
		known++
		share := peers[i].Share(application)
		if isBetter(share, own) {
			return true
		}
		if share > own {
			better++
		}
	}
	return 2*better > known
}

// isSuitable reports whether a peer reaches enough endpoints for a request. A host that reaches some
// endpoints itself gains nothing from a peer that is short of capacity. After a refusal for lack of
// capacity, a peer has to be known to reach more: all hosts refuse after a loss of endpoints.
func (q *query) isSuitable(peer *Peer) bool {
	share := peer.Share(q.application)
	isShort := slices.Contains(peer.Short, q.application) && !q.ignoresShortage
	switch {
	case q.isRefused:
		return isBetter(share, q.ownShare) && !isShort && !peer.IsUnheard
	case isBetter(share, q.ownShare):
		return !isShort || q.ownShare == 0
	default:
		return q.acceptsEqual && share >= q.ownShare && share > 0 && !isShort
	}
}

func weight(peer *Peer, q *query) float64 {
	share := peer.Share(q.application)
	isStale := !peer.IsUnheard && peer.ConfigurationVersion < q.configurationVersion
	if !q.isSuitable(peer) || peer.IsDraining || isStale || slices.Contains(q.excluded, peer.HostID) {
		return 0
	}
	load := float64(idleRequests + peer.ActiveRequests + int64(q.inFlight[peer.HostID]))
	w := share * share / load
	if peer.Zone == q.zone && !peer.IsUnheard {
		w *= ownZoneWeight
	}
	return w
}
