// Package ranker orders members of a group for a name by rendezvous hashing. All hosts compute the
// same order, and adding or removing a member moves only the names for which it comes first.
//
// # Usage
//
//	first := ranker.Rank("tenant-7", hosts, func(h Host) string { return h.HostID })[0]
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members in their order for a name.
func Rank[T any](name string, members []T, idOf func(member T) string) []T {
	type weighted struct {
		member T
		id     string
		weight uint64
	}
	ranked := make([]weighted, 0, len(members))
	for _, member := range members {
		id := idOf(member)
		ranked = append(ranked, weighted{member, id, xxhash.Sum64String(name + id)})
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ordered := make([]T, 0, len(ranked))
	for _, r := range ranked {
		ordered = append(ordered, r.member)
	}
	return ordered
}
