package ratelimiter

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/ranker"
)

// Subject identifies what a limit applies to: a tenant, or a process of an endpoint.
type Subject struct {
	Tenant  string
	Process driver.Process
}

// Host is a host that may own limits, as this host sees it. A host from which no message has
// arrived yet is neither reachable nor down.
type Host struct {
	HostID string
	// IsReachable is true if a message from the host has arrived within ReachableWithin. This
	// host itself is always reachable.
	IsReachable bool
	// IsDown is true if messages from the host arrived before, and none for so long (see
	// DownAfter) that another host may take over from it. That is longer than ReachableWithin,
	// so that a host that is cut off first reduces what it grants.
	IsDown     bool
	IsDraining bool
}

func (h *Host) isEligible() bool { return !h.IsDown && !h.IsDraining }

// ReachableWithin is how recently a message from a host must have arrived for the host to
// count as reachable.
const ReachableWithin = 1500 * time.Millisecond

// DownAfter is the time without a message from a host after which another host may take over
// from it. It is longer than ReachableWithin, after which an owner that is cut off grants
// less.
const DownAfter = 2 * time.Second

// reachability tracks since when hosts have been continuously reachable. A host that was
// reachable from another partition a moment ago may still count there.
type reachability struct {
	reachableSince map[string]time.Time
	// startedAt is when this process first checked the hosts. Messages that arrive then are
	// current, so their senders count as reachable at once. After a suspension, messages may
	// be old ones.
	startedAt time.Time
}

// reachabilityAfterResume is the state after this host was suspended: no host counts as
// reachable yet.
func reachabilityAfterResume() reachability { return reachability{startedAt: time.Unix(0, 0)} }

// stableHosts updates which hosts are reachable, and returns the hosts with IsReachable set
// only for those that have been reachable for ReachableWithin. Call it several times a second.
func (r *reachability) stableHosts(own string, hosts []Host, now time.Time) (stable []Host) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	since := make(map[string]time.Time, len(hosts))
	for _, h := range hosts {
		if h.IsReachable && h.HostID != own {
			at, isKnown := r.reachableSince[h.HostID]
			if !isKnown {
				at = now
				if now.Sub(r.startedAt) <= ReachableWithin {
					at = now.Add(-ReachableWithin)
				}
			}
			since[h.HostID] = at
			h.IsReachable = now.Sub(at) >= ReachableWithin
		}
		stable = append(stable, h)
	}
	r.reachableSince = since
	return stable
}

// rank sorts hosts by the order in which they own a subject's limit.
func rank(subject Subject, hosts []Host) []Host {
	name := subject.Tenant + "\x00" + subject.Process.EndpointID + "\x00" + subject.Process.Incarnation + "\x00"
	return ranker.Rank(name, hosts, func(h Host) string { return h.HostID })
}

// ownerOf returns the owner of a subject's limit: the first host that is neither down nor
// draining, or "" if there is none.
func ownerOf(subject Subject, hosts []Host) (hostID string) {
	for _, h := range rank(subject, hosts) {
		if h.isEligible() {
			return h.HostID
		}
	}
	return ""
}

// shareOf is the fraction of a limit that its owner grants: the fraction of the hosts that may
// own limits which it reaches. In a network partition each side has an owner, and the sides
// together grant no more than the whole limit. A host that is cut off reduces its grants
// before another host takes over. The hosts must come from stableHosts.
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
