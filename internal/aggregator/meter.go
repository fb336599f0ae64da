package aggregator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// halfLife is the half-life of the measured rates. Bursts in callers' traffic last a
// few seconds; admission has to follow them within one.
const halfLife = time.Second

// maxMeteredTenants bounds the tenants that a Meter counts by name for each key. The
// smallest are added to the rest.
const maxMeteredTenants = 8 * MaxTenants

// Meter measures one host's demand. It is not safe for concurrent use.
type Meter struct {
	flows     map[Key]*flow
	decayedAt time.Time
}

// flow holds decaying sums of engine seconds.
type flow struct {
	offered, returning, refused float64
	tenants                     map[string]float64
}

// NewMeter returns a Meter without demand.
func NewMeter() *Meter { return &Meter{flows: map[Key]*flow{}} }

// RecordOffered records a request that has arrived, with the engine time that it takes.
func (m *Meter) RecordOffered(key Key, tenant string, engineSeconds float64, now time.Time) {
	f := m.flow(key, now)
	f.offered += engineSeconds
	if tenant != "" {
		f.tenants[tenant] += engineSeconds
	}
}

// RecordReturning records that an offered request is one of a caller that returns.
func (m *Meter) RecordReturning(key Key, engineSeconds float64, now time.Time) {
	m.flow(key, now).returning += engineSeconds
}

// RecordRefused records that an offered request was refused for lack of capacity.
func (m *Meter) RecordRefused(key Key, engineSeconds float64, now time.Time) {
	m.flow(key, now).refused += engineSeconds
}

// Snapshot returns the present demand.
func (m *Meter) Snapshot(now time.Time) Snapshot {
	m.decay(now)
	snapshot := Snapshot{Hosts: 1, Demands: make(map[Key]Demand, len(m.flows))}
	perSecond := math.Ln2 / halfLife.Seconds()
	for key, f := range m.flows {
		snapshot.Demands[key] = f.demand(perSecond)
	}
	return snapshot
}

func (m *Meter) flow(key Key, now time.Time) *flow {
	m.decay(now)
	key.Rank = min(max(key.Rank, 0), MaxRank)
	f := m.flows[key]
	if f == nil {
		f = &flow{tenants: map[string]float64{}}
		m.flows[key] = f
	}
	return f
}

// negligible is the sum of engine seconds below which a flow or a tenant is removed.
const negligible = 1e-6

// decayInterval bounds how often all sums are visited.
const decayInterval = 50 * time.Millisecond

func (m *Meter) decay(now time.Time) {
	if m.decayedAt.IsZero() {
		m.decayedAt = now
	}
	elapsed := now.Sub(m.decayedAt)
	if elapsed < decayInterval {
		return
	}
	m.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	for key, f := range m.flows {
		f.offered, f.returning, f.refused = f.offered*factor, f.returning*factor, f.refused*factor
		for tenant, sum := range f.tenants {
			if f.tenants[tenant] = sum * factor; f.tenants[tenant] < negligible {
				delete(f.tenants, tenant)
			}
		}
		f.dropSmallest()
		if f.offered < negligible {
			delete(m.flows, key)
		}
	}
}

// dropSmallest keeps the number of tenants within maxMeteredTenants.
func (f *flow) dropSmallest() {
	if len(f.tenants) <= maxMeteredTenants {
		return
	}
	for _, tenant := range f.sortedTenants()[maxMeteredTenants/2:] {
		delete(f.tenants, tenant.Tenant)
	}
}

func (f *flow) sortedTenants() []TenantDemand {
	tenants := make([]TenantDemand, 0, len(f.tenants))
	for tenant, sum := range f.tenants {
		tenants = append(tenants, TenantDemand{Tenant: tenant, Offered: sum})
	}
	slices.SortFunc(tenants, func(a, b TenantDemand) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Tenant, b.Tenant))
	})
	return tenants
}

func (f *flow) demand(perSecond float64) Demand {
	d := Demand{Offered: f.offered * perSecond, Returning: f.returning * perSecond, Refused: f.refused * perSecond}
	if len(f.tenants) == 0 {
		return d
	}
	d.RestOffered = d.Offered
	tenants := f.sortedTenants()
	for i := range tenants {
		if i == MaxTenants {
			d.RestTenants = len(tenants) - MaxTenants
			break
		}
		tenants[i].Offered *= perSecond
		d.Tenants = append(d.Tenants, tenants[i])
		d.RestOffered -= tenants[i].Offered
	}
	d.RestOffered = max(d.RestOffered, 0)
	return d
}
