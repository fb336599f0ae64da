package streamkeeper

import (
	"encoding/hex"
	"slices"

	"github.com/endivemast/endivemast/internal/ranker"
)

const (
	// keeperCount is the number of hosts at which a stream is recorded. Several may end at once.
	keeperCount = 3
	// askedCount is how many hosts are asked for a stream. It is greater, since the host that
	// began the stream may be in another zone, or may have known other hosts.
	askedCount = 5
)

// Host is a host that may be a keeper.
type Host struct {
	HostID string
	Zone   string
}

// keepersOf returns the ids of a stream's keepers as seen from a zone: the first host of that zone,
// those of other zones, and the next ones of any zone, each in the order of the key.
func keepersOf(k key, hosts []Host, zone string, count int) (ids []string) {
	ranked := ranker.Rank(hex.EncodeToString(k[:]), hosts, func(h Host) string { return h.HostID })
	isFirst := func(i int) bool {
		return !slices.ContainsFunc(ranked[:i], func(h Host) bool { return h.Zone == ranked[i].Zone })
	}
	for _, isNext := range []func(i int) bool{
		func(i int) bool { return ranked[i].Zone == zone && isFirst(i) },
		isFirst,
		func(int) bool { return true },
	} {
		for i := range ranked {
			if id := ranked[i].HostID; len(ids) < count && isNext(i) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
