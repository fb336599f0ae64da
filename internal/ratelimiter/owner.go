package ratelimiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/driver"
)

// Host is a host that may give out slots, as this host sees it. One that has never sent
// anything is neither reachable nor down.
type Host struct {
	HostID string
	// IsReachable says that a message of it has come within ReachableWithin. This host
	// itself always is.
	IsReachable bool
	// IsDown says that messages of it came before, and none for so long that another host
	// may take its place. That is longer than ReachableWithin, so that a host that is cut off
	// stops first.
	IsDown     bool
	IsDraining bool
}

// ReachableWithin is how recently a message of a host has to have come for it to count as
// reachable.
const ReachableWithin = 1500 * time.Millisecond

// quorum keeps since when hosts have been reachable without a break. One that another part
// of the fleet reached until a moment ago may still count there.
type quorum struct {
	since map[string]time.Time
}

// settle takes in which hosts are reachable, and lets only those count that have been for
// ReachableWithin. It is to be called several times a second.
func (q *quorum) settle(own string, hosts []Host, now time.Time) (settled []Host) {
	since := make(map[string]time.Time, len(hosts))
	for _, h := range hosts {
		if h.IsReachable && h.HostID != own {
			at, isKnown := q.since[h.HostID]
			if !isKnown {
				at = now
			}
			since[h.HostID] = at
			h.IsReachable = now.Sub(at) >= ReachableWithin
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
// down, and it reaches most of the hosts. Of two parts of a fleet that are cut off from
// each other one has most, or, of two halves, the first. A host that is cut off stops
// before another takes its place. IsReachable is to be settled.
func isOwner(own string, process driver.Process, hosts []Host) bool {
	ranked := rank(process, hosts)
	reachable, first := 0, ""
	for _, h := range ranked {
		if h.IsReachable {
			reachable++
		}
		if first == "" && !h.IsDown && !h.IsDraining {
			first = h.HostID
		}
	}
	isQuorate := 2*reachable > len(ranked) || 2*reachable == len(ranked) && ranked[0].IsReachable
	return first == own && isQuorate
}
