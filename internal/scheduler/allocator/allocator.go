// Package allocator divides the engine time of an application among ranks and tenants when
// the demand of the callers of all hosts exceeds it.
//
// It handles overload: a fleet that has lost three quarters of its engines, or whose callers
// ask for six times the capacity. Without it, each host dispatches the few costly requests
// that it sees, and together they take the engine time of the urgent work.
//
// # Ranks
//
// Ranks are served in order, 0 first. A rank gets what the ranks before it leave, but at
// least its floor: the part of the engine time given by the shortest response target among
// the ranks before it, divided by its own longest time limit. So, within each of its own
// time limits, work of a rank delays more urgent work by at most one response target, and
// the last rank is throttled but not without service.
//
// # Tenants
//
// Within a rank, engine time is divided by max-min fairness: no tenant gets more than its
// demand, and what small tenants leave goes to large ones. This gives each tenant at least
// an equal part of the rank's floor.
//
// # Usage
//
//	var ranks [allocator.Ranks]allocator.Rank
//	ranks[2].Demand, ranks[2].TimeLimit = demand, 5*time.Second
//	shares := allocator.Divide(&ranks, capacity)
//	share := shares[2].Of(tenant)
package allocator

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
)

// Ranks is the number of ranks that are distinguished.
const Ranks = aggregator.MaxRank + 1

// maxFloors is the largest part of the engine time that all floors take together. Time limits
// shorter than the response targets of more urgent ranks would otherwise leave those nothing.
const maxFloors = 0.5

// minDemand is the demand, in engine seconds per second, below which a rank does not count
// as present. It is one request of 1 ms in 10 s.
const minDemand = 1e-4

// Rank is the demand of the work of one rank.
type Rank struct {
	Demand         aggregator.Demand
	ResponseTarget time.Duration // the shortest of its classes; 0: not known
	TimeLimit      time.Duration // the longest of its classes; 0: not known
}

// Share is the part of a rank's demand that may be admitted, from 0 to 1.
type Share struct {
	All     float64            // of the whole rank
	Tenants map[string]float64 // of the named tenants; nil: All applies to each
	Rest    float64            // of each other tenant
	// Returning is the factor by which the shares of callers that return after a refusal are
	// higher, and New that by which those of all others are lower, so that there is room.
	Returning, New float64
}

// Shares are the shares of all ranks.
type Shares [Ranks]Share

// Of returns the share of a tenant's demand, or that of its callers that return after a
// refusal. Those come first: they have less time left, and come only once.
func (s *Share) Of(tenant string, isReturn bool) float64 {
	share := s.New * s.of(tenant)
	if isReturn {
		share = s.of(tenant) * s.Returning
	}
	return min(share, 1)
}

func (s *Share) of(tenant string) float64 {
	if s.Tenants == nil {
		return s.All
	}
	if share, ok := s.Tenants[tenant]; ok {
		return share
	}
	return s.Rest
}

// IsShort reports whether some demand may not be admitted.
func (s *Shares) IsShort() bool {
	return slices.ContainsFunc(s[:], func(share Share) bool { return share.All < 1 })
}

// AllAdmitted returns shares that admit all work.
func AllAdmitted() (shares Shares) {
	for i := range shares {
		shares[i] = Share{All: 1, Rest: 1, Returning: 1, New: 1}
	}
	return shares
}

// Clamp returns the rank that a rank counts as.
func Clamp(rank int) int { return min(max(rank, 0), Ranks-1) }

// Divide returns the share of each rank's demand that may be admitted with an available
// engine time of capacity engine seconds per second. Work without differing ranks and with
// at most one tenant has the share 1: precedence cannot improve its service.
func Divide(ranks *[Ranks]Rank, capacity float64) (shares Shares) {
	shares = DivideAmongRanks(ranks, capacity)
	shares.DivideAmongTenants(ranks)
	return shares
}

// DivideAmongRanks is Divide without the shares of tenants: each gets that of its rank. It
// serves callers that compute several capacities, at a fraction of the cost.
func DivideAmongRanks(ranks *[Ranks]Rank, capacity float64) (shares Shares) {
	shares = AllAdmitted()
	var total float64
	present, tenants := 0, 0
	for i := range ranks {
		demand := &ranks[i].Demand
		total += demand.Offered
		if demand.Offered >= minDemand {
			present++
			tenants = max(tenants, tenantCount(demand))
		}
	}
	if total <= capacity || present <= 1 && tenants <= 1 {
		return shares
	}
	reserved := floors(ranks, capacity)
	left := max(capacity, 0)
	for i := range reserved {
		left = max(left-reserved[i], 0)
	}
	for i := range ranks {
		demand := &ranks[i].Demand
		if demand.Offered <= 0 {
			continue
		}
		allotted := min(reserved[i]+left, demand.Offered)
		left = max(left-(allotted-reserved[i]), 0) // rounding may leave less than nothing
		share := min(allotted/demand.Offered, 1)
		shares[i] = Share{All: share, Rest: share, Returning: 1, New: 1}
	}
	return shares
}

// DivideAmongTenants sets the shares of the tenants of each rank that is not admitted in full.
func (s *Shares) DivideAmongTenants(ranks *[Ranks]Rank) {
	for i := range s {
		if s[i].All < 1 {
			s[i] = divideAmongTenants(&ranks[i].Demand, s[i].All)
			s[i].keepRoom(&ranks[i].Demand)
		}
	}
}

// floors returns the engine time reserved for each rank.
func floors(ranks *[Ranks]Rank, capacity float64) (reserved [Ranks]float64) {
	var response time.Duration // the shortest response target of the ranks before
	var sum float64
	hasBefore := false
	for i := range ranks {
		rank := &ranks[i]
		if rank.Demand.Offered < minDemand {
			continue
		}
		if hasBefore && rank.TimeLimit > 0 {
			// A host that has had no more urgent work does not know its target, but the other
			// hosts' demand may take the whole capacity.
			part := aggregator.MinRankFraction
			if response > 0 {
				part = min(response.Seconds()/rank.TimeLimit.Seconds(), maxFloors)
			}
			reserved[i] = min(max(capacity, 0)*part, rank.Demand.Offered)
			sum += reserved[i]
		}
		hasBefore = true
		if target := rank.ResponseTarget; target > 0 && (response == 0 || target < response) {
			response = target
		}
	}
	if limit := max(capacity, 0) * maxFloors; sum > limit {
		for i := range reserved {
			reserved[i] *= limit / sum
		}
	}
	return reserved
}

// tenantCount returns the number of tenants; callers without one count as one.
func tenantCount(demand *aggregator.Demand) int {
	count := len(demand.Tenants) + demand.RestTenants
	if demand.RestTenants == 0 && demand.RestOffered >= minDemand {
		count++
	}
	return count
}

// divideAmongTenants divides a rank's engine time by max-min fairness. The tenants that are
// not named count as equal.
func divideAmongTenants(demand *aggregator.Demand, all float64) Share {
	share := Share{All: all, Rest: all}
	if len(demand.Tenants) == 0 || tenantCount(demand) <= 1 {
		return share
	}
	offered := make([]float64, 0, len(demand.Tenants))
	for _, tenant := range demand.Tenants {
		offered = append(offered, tenant.Offered)
	}
	level := aggregator.MaxMin(offered, demand.RestOffered, demand.RestTenants, all*demand.Offered)
	share.Tenants = make(map[string]float64, len(demand.Tenants))
	for _, tenant := range demand.Tenants {
		share.Tenants[tenant.Tenant] = partOf(level, tenant.Offered)
	}
	rest := max(demand.RestTenants, 1)
	share.Rest = partOf(level, demand.RestOffered/float64(rest))
	return share
}

func partOf(level, offered float64) float64 {
	if offered <= level {
		return 1
	}
	return level / offered
}

// maxReturning is the largest part of a rank's engine time that is kept for callers that
// return. In a long shortage they would otherwise take all of it, and each caller would be
// refused once before it is served.
const maxReturning = 0.5

// keepRoom keeps a part of the rank's engine time for callers that return.
func (s *Share) keepRoom(demand *aggregator.Demand) {
	s.Returning, s.New = 1, 1
	returning := min(demand.Returning, demand.Offered)
	if returning <= 0 || s.All <= 0 || s.All >= 1 {
		return
	}
	allotted := s.All * demand.Offered
	room := min(returning, max(allotted*maxReturning, s.All*returning))
	s.Returning = room / (returning * s.All)
	if others := demand.Offered - returning; others > 0 {
		s.New = min((allotted-room)/(others*s.All), 1)
	}
}
