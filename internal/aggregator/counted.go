package aggregator

import (
	"cmp"
	"slices"
)

// MinRankFraction is the part of the capacity that each rank counts with at least, so that
// hosts whose callers only have less urgent work keep a portion.
const MinRankFraction = 0.05

// CountedDemand returns, by application, the part of this host's and of the others' demand
// that the engines can serve: ranks in order, and the tenants of a rank up to their max-min
// level. Portions follow it, because with the whole demand a tenant that asks for many times
// the capacity at one host would leave no portion to the hosts of the others. capacity returns
// the engines of an application; 0: not known, all demand counts.
func CountedDemand(own, others Snapshot, capacity func(application string) float64) (ownCounted, othersCounted map[string]float64) {
	ownCounted, othersCounted = map[string]float64{}, map[string]float64{}
	remaining := map[string]float64{}
	for _, key := range keysByRank(own, others) {
		mine, theirs := own.Demands[key], others.Demands[key]
		if whole := capacity(key.Application); whole > 0 {
			if _, ok := remaining[key.Application]; !ok {
				remaining[key.Application] = whole
			}
			available := max(remaining[key.Application], MinRankFraction*whole)
			mine.Offered, theirs.Offered = countedOf(mine, theirs, available)
			remaining[key.Application] -= mine.Offered + theirs.Offered
		}
		ownCounted[key.Application] += mine.Offered
		othersCounted[key.Application] += theirs.Offered
	}
	return ownCounted, othersCounted
}

// keysByRank returns the keys of two snapshots, the most urgent rank first.
func keysByRank(a, b Snapshot) []Key {
	keys := make([]Key, 0, len(a.Demands)+len(b.Demands))
	for key := range a.Demands {
		keys = append(keys, key)
	}
	for key := range b.Demands {
		if _, ok := a.Demands[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Rank, b.Rank) })
	return keys
}

// AssumeSaturated raises the others' demand, as a host that is cut off from them knows it,
// to what the engines leave. The others have only reserved the demand that this host had when
// it was cut off, and may use all else.
func AssumeSaturated(own, others map[string]float64, capacity func(application string) float64) {
	for application, offered := range own {
		others[application] = max(others[application], capacity(application)-offered)
	}
}

// countedOf returns the parts of two demands of one key that fit within a capacity.
func countedOf(mine, theirs Demand, capacity float64) (mineCounted, theirsCounted float64) {
	total := mine.Offered + theirs.Offered
	if total <= capacity {
		return mine.Offered, theirs.Offered
	}
	if len(mine.Tenants)+len(theirs.Tenants) == 0 {
		return mine.Offered * capacity / total, theirs.Offered * capacity / total
	}
	tenants := mergeSums(mine.Tenants, theirs.Tenants)
	demands := make([]float64, 0, len(tenants))
	for _, offered := range tenants {
		demands = append(demands, offered)
	}
	rest, restTenants := mine.Rest()+theirs.Rest(), max(mine.RestTenants, theirs.RestTenants, 1)
	level := MaxMin(demands, rest, restTenants, capacity)
	counted := func(d Demand) (sum float64) {
		for _, tenant := range d.Tenants {
			sum += tenant.Offered * min(1, level/tenants[tenant.Tenant])
		}
		if own := d.Rest(); own > 0 {
			sum += own * min(1, level*float64(restTenants)/rest)
		}
		return sum
	}
	return counted(mine), counted(theirs)
}

func mergeSums(a, b []TenantDemand) map[string]float64 {
	sums := make(map[string]float64, len(a)+len(b))
	for _, tenant := range a {
		sums[tenant.Tenant] += tenant.Offered
	}
	for _, tenant := range b {
		sums[tenant.Tenant] += tenant.Offered
	}
	return sums
}
