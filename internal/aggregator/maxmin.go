package aggregator

import (
	"cmp"
	"slices"
)

// MaxMin divides a capacity among demands by max-min fairness: each demand up to level
// is met, and the larger ones get level. restDemand is the sum of restCount further
// demands, which are taken as equal. If everything fits, level is what the largest demand
// could grow to; without any demand that is the capacity.
func MaxMin(demands []float64, restDemand float64, restCount int, capacity float64) (level float64) {
	type group struct {
		demand float64 // of each member
		count  int
	}
	groups := make([]group, 0, len(demands)+1)
	members := 0
	for _, demand := range demands {
		if demand > 0 {
			groups = append(groups, group{demand, 1})
			members++
		}
	}
	if restDemand > 0 {
		restCount = max(restCount, 1)
		groups = append(groups, group{restDemand / float64(restCount), restCount})
		members += restCount
	}
	capacity = max(capacity, 0)
	if members == 0 {
		return capacity
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.demand, b.demand) })
	for _, g := range groups {
		if level = capacity / float64(members); g.demand > level {
			return level
		}
		level = g.demand
		capacity -= g.demand * float64(g.count)
		members -= g.count
	}
	return level + capacity
}
