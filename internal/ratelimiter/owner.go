package ratelimiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/driver"
)

// Host is a host that may give out slots, as this host sees it. One that has never spoken
// is neither heard nor silent.
type Host struct {
	HostID string
	// IsHeard says that it has spoken to this host a moment ago, within HeardWithin. This
	// host itself always is.
	IsHeard bool
	// IsSilent says that it spoke before and has been silent for so long that another one
	// may take its place: for longer than it takes itself for heard by others.
	IsSilent   bool
	IsDraining bool
}

// HeardWithin is how recently a host has to have spoken to count as heard.
const HeardWithin = 1500 * time.Millisecond

// quorum keeps since when hosts have been heard without a break. One that was heard by a
// part of the fleet until a moment ago may still count there.
type quorum struct {
	since map[string]time.Time
}

// settle takes in who is heard, and lets only those count as heard that have been for
// HeardWithin. It is to be called several times a second.
func (q *quorum) settle(own string, hosts []Host, now time.Time) (settled []Host) {
	since := make(map[string]time.Time, len(hosts))
	for _, h := range hosts {
		if h.IsHeard && h.HostID != own {
			at, isKnown := q.since[h.HostID]
			if !isKnown {
				at = now
			}
			since[h.HostID] = at
			h.IsHeard = now.Sub(at) >= HeardWithin
		}
		settled = append(settled, h)
	}
	q.since = since
	return settled
}

// rank puts hosts in the order in which they give out a process's slots. All hosts work
// it out alike, and a host that comes or goes moves its own processes only.
func rank(process driver.Process, hosts []Host) []Host {
	weight := func(h Host) uint64 {
		return xxhash.Sum64String(process.EndpointID + "\x00" + process.Incarnation + "\x00" + h.HostID)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.HostID, b.HostID))
	})
	return ranked
}

// isOwner is true where this host gives out a process's slots: it is the first that is not
// silent, and it hears most of the hosts. Of two parts of a fleet that are cut off from
// each other one has most, or, of two halves, the first. A host that is cut off stops
// before another takes its place. IsHeard is to be settled.
func isOwner(own string, process driver.Process, hosts []Host) bool {
	ranked := rank(process, hosts)
	heard, first := 0, ""
	for _, h := range ranked {
		if h.IsHeard {
			heard++
		}
		if first == "" && !h.IsSilent && !h.IsDraining {
			first = h.HostID
		}
	}
	isQuorate := 2*heard > len(ranked) || 2*heard == len(ranked) && ranked[0].IsHeard
	return first == own && isQuorate
}
