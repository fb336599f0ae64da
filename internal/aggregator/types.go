// Package aggregator measures what a host's callers ask for, and holds the same
// figures of the other hosts. Admission needs the demand of the whole fleet: a host
// that receives one costly request a second finds its own queue empty and sends
// each of them, while all hosts together ask for several times the capacity.
//
// Demand is counted in engine seconds per second, by application and rank, with the
// largest tenants by name. The package uses neither clocks nor locks.
//
// # Usage
//
//	m := aggregator.NewMeter()
//	m.RecordOffered(aggregator.Key{Application: "drafting", Rank: 1}, "tenant-7", 0.06, now)
//	snapshot := m.Snapshot(now)
package aggregator

// MaxTenants is the number of tenants that a Demand names. The others are counted
// together, so that the size of a Snapshot does not depend on their number.
const MaxTenants = 16

// MaxRank is the least urgent rank that is distinguished: ten ranks of tenants, and ten
// of routes within each.
const MaxRank = 99

// Key identifies work of one rank of an application.
type Key struct {
	Application string
	Rank        int // from 0, the most urgent, to MaxRank
}

// Demand is what is asked for, in engine seconds per second.
type Demand struct {
	Offered     float64        // by requests that arrive
	Returning   float64        // part of Offered, by callers that return after a refusal
	Refused     float64        // part of Offered that was refused for lack of capacity
	Tenants     []TenantDemand // the largest, at most MaxTenants, in descending order
	RestOffered float64        // of all other tenants
	RestTenants int
}

// Rest returns what callers without a named tenant ask for. Where no caller has a tenant,
// RestOffered is 0, but all of them are the rest beside the tenants of other hosts.
func (d *Demand) Rest() float64 {
	if len(d.Tenants) == 0 {
		return d.Offered
	}
	return d.RestOffered
}

// TenantDemand is the part of a Demand that one tenant asks for.
type TenantDemand struct {
	Tenant  string
	Offered float64
}

// Snapshot is the demand of one host or of several.
type Snapshot struct {
	Hosts        int // hosts whose demand this is
	HostsWithout int // hosts whose builds send no demand; it is not known
	Demands      map[Key]Demand
}
