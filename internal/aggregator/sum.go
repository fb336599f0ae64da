package aggregator

// Sum adds up the demand of several hosts.
type Sum struct {
	hosts, without int
	totals         map[Key]*total
}

type total struct {
	demand  Demand
	tenants map[string]float64
	// maxTenants is the largest number of tenants in one of the snapshots.
	maxTenants int
}

// NewSum returns a Sum of no hosts.
func NewSum() *Sum { return &Sum{totals: map[Key]*total{}} }

// Add adds a snapshot.
func (s *Sum) Add(snapshot Snapshot) {
	s.hosts += snapshot.Hosts
	s.without += snapshot.HostsWithout
	for key, demand := range snapshot.Demands {
		t := s.totals[key]
		if t == nil {
			t = &total{tenants: map[string]float64{}}
			s.totals[key] = t
		}
		t.demand.Offered += demand.Offered
		t.demand.Returning += demand.Returning
		t.demand.Refused += demand.Refused
		t.demand.RestOffered += demand.Rest()
		for _, tenant := range demand.Tenants {
			t.tenants[tenant.Tenant] += tenant.Offered
		}
		t.maxTenants = max(t.maxTenants, len(demand.Tenants)+demand.RestTenants)
	}
}

// Snapshot returns the sum.
func (s *Sum) Snapshot() Snapshot { return s.Total().Minus(Snapshot{}) }

// Total is an immutable sum from which the part of one host can be subtracted. It
// names twice MaxTenants tenants, so that the largest ones of any remainder are among
// them.
type Total struct{ snapshot Snapshot }

// Total returns the sum so far.
func (s *Sum) Total() *Total {
	snapshot := Snapshot{Hosts: s.hosts, HostsWithout: s.without, Demands: make(map[Key]Demand, len(s.totals))}
	for key, t := range s.totals {
		demand := t.demand
		demand.Tenants = make([]TenantDemand, 0, len(t.tenants))
		for tenant, offered := range t.tenants {
			demand.Tenants = append(demand.Tenants, TenantDemand{Tenant: tenant, Offered: offered})
		}
		sortTenants(demand.Tenants)
		// Each host counts its unnamed tenants, and mostly they are the same ones at all
		// hosts. Their number is therefore at least the largest count, not the sum.
		tenants := max(t.maxTenants, len(demand.Tenants))
		demand = demand.named(2*MaxTenants, 0)
		demand.RestTenants = tenants - len(demand.Tenants)
		snapshot.Demands[key] = demand
	}
	return &Total{snapshot}
}

// Minus returns the total without a part that it includes.
func (t *Total) Minus(part Snapshot) Snapshot {
	result := Snapshot{
		Hosts:        max(t.snapshot.Hosts-part.Hosts, 0),
		HostsWithout: max(t.snapshot.HostsWithout-part.HostsWithout, 0),
		Demands:      make(map[Key]Demand, len(t.snapshot.Demands)),
	}
	for key, demand := range t.snapshot.Demands {
		if demand = demand.minus(part.Demands[key]); demand.Offered > negligible {
			result.Demands[key] = demand
		}
	}
	return result
}

func (d Demand) minus(part Demand) Demand {
	if part.Offered == 0 {
		return d.named(MaxTenants, 0)
	}
	d.Offered -= part.Offered
	d.Returning = max(d.Returning-part.Returning, 0)
	d.Refused = max(d.Refused-part.Refused, 0)
	d.RestOffered -= part.Rest()
	remaining := make([]TenantDemand, 0, len(d.Tenants))
	for _, tenant := range d.Tenants {
		if tenant.Offered -= offeredOf(part.Tenants, tenant.Tenant); tenant.Offered > negligible {
			remaining = append(remaining, tenant)
		}
	}
	for _, tenant := range part.Tenants {
		if offeredOf(d.Tenants, tenant.Tenant) == 0 { // it is counted in the rest
			d.RestOffered -= tenant.Offered
		}
	}
	if d.RestOffered = max(d.RestOffered, 0); d.RestOffered < negligible {
		d.RestTenants = 0
	}
	sortTenants(remaining)
	d.Tenants = remaining
	return d.named(MaxTenants, 0)
}

// Mean returns the demand of a mean host of the snapshot.
func (s Snapshot) Mean() Snapshot {
	mean := Snapshot{Hosts: 1, Demands: map[Key]Demand{}}
	if s.Hosts == 0 {
		return mean
	}
	mean.Demands = s.Scaled(1 / float64(s.Hosts)).Demands
	return mean
}

// Scaled returns the snapshot with its demands times a factor. The number of hosts stays.
func (s Snapshot) Scaled(factor float64) Snapshot {
	demands := make(map[Key]Demand, len(s.Demands))
	for key, demand := range s.Demands {
		demands[key] = demand.Scaled(factor)
	}
	s.Demands = demands
	return s
}

// Scaled returns the demand times a factor, by the same tenants.
func (d Demand) Scaled(factor float64) Demand {
	d.Offered *= factor
	d.Returning *= factor
	d.Refused *= factor
	d.RestOffered *= factor
	tenants := make([]TenantDemand, 0, len(d.Tenants))
	for _, tenant := range d.Tenants {
		tenants = append(tenants, TenantDemand{Tenant: tenant.Tenant, Offered: tenant.Offered * factor})
	}
	d.Tenants = tenants
	return d
}
