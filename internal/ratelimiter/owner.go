package ratelimiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/driver"
)

// Subject is what a limit is on: a tenant, or else a process of an endpoint.
type Subject struct {
	Tenant  string
	Process driver.Process
}

// Host is a host that may own limits, as this host sees it. One that has never sent
// anything is neither reachable nor down.
type Host struct {
	HostID string
	// IsReachable says that a message of it has come within ReachableWithin. This host
	// itself always is.
	IsReachable bool
	// IsDown says that messages of it came before, and none for so long that another host
	// may take its place. That is longer than ReachableWithin, so that a host that is cut off
	// gives out less first.
	IsDown     bool
	IsDraining bool
}

func (h *Host) mayOwn() bool { return !h.IsDown && !h.IsDraining }

// ReachableWithin is how recently a message of a host has to have come for it to count as
// reachable.
const ReachableWithin = 1500 * time.Millisecond

// DownAfter is after how long without a message another host may take a host's place. An
// owner that is cut off gives out less after ReachableWithin.
const DownAfter = 2 * time.Second

// reach keeps since when hosts have been reachable without a break. One that another part
// of the fleet reached until a moment ago may still count there.
type reach struct {
	since map[string]time.Time
	// startedAt is when this host's process first looked. What it receives then is of now, and
	// counts at once; a host that was away may read what is of before.
	startedAt time.Time
}

// wokenReach is what is known of the hosts after this one was away.
func wokenReach() reach { return reach{startedAt: time.Unix(0, 0)} }

// settle takes in which hosts are reachable, and lets only those count that have been for
// ReachableWithin. It is to be called several times a second.
func (r *reach) settle(own string, hosts []Host, now time.Time) (settled []Host) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	since := make(map[string]time.Time, len(hosts))
	for _, h := range hosts {
		if h.IsReachable && h.HostID != own {
			at, isKnown := r.since[h.HostID]
			if !isKnown {
				at = now
				if now.Sub(r.startedAt) <= ReachableWithin {
					at = now.Add(-ReachableWithin)
				}
			}
			since[h.HostID] = at
			h.IsReachable = now.Sub(at) >= ReachableWithin
		}
		settled = append(settled, h)
	}
	r.since = since
	return settled
}

// rank puts hosts in the order in which they own a subject's limit. All hosts work it out
// alike, and a host that comes or goes moves its own subjects only.
func rank(subject Subject, hosts []Host) []Host {
	name := subject.Tenant + "\x00" + subject.Process.EndpointID + "\x00" + subject.Process.Incarnation + "\x00"
	weight := func(h Host) uint64 { return xxhash.Sum64String(name + h.HostID) }
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.HostID, b.HostID))
	})
	return ranked
}

// ownerOf is the host that owns a subject's limit: the first that is neither down nor
// draining. Empty: nobody does.
func ownerOf(subject Subject, hosts []Host) (hostID string) {
	for _, h := range rank(subject, hosts) {
		if h.mayOwn() {
			return h.HostID
		}
	}
	return ""
}

// shareOf is the part of a limit that its owner gives out: as much of it as it reaches
// of the hosts that may own limits. The parts of a fleet that are cut off from each other
// each have an owner then, and together give out no more than all of it. A host that is
// cut off gives out less before another takes its place. IsReachable is to be settled.
func shareOf(hosts []Host) float64 {
	reachable, all := 0, 0
	for _, h := range hosts {
		if h.IsDraining {
			continue
		}
		all++
		if h.IsReachable {
			reachable++
		}
	}
	return float64(reachable) / float64(max(all, 1))
}
