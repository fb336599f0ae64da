package aggregator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxKeys bounds the keys of a snapshot that is sent or received.
	MaxKeys = 64
	// MaxEngineSeconds is the largest value that is accepted from another host. It is
	// far above the capacity of any fleet, and a sum of such values does not overflow.
	MaxEngineSeconds = 1e6
	// changeFraction and changeAbsolute are the relative and the absolute change, in
	// engine seconds per second, from which on a value is sent again.
	changeFraction = 0.1
	changeAbsolute = 0.02
	// settledFraction replaces changeFraction settleTime after the last change was sent. With
	// changes of a tenth alone, the demand of zones that rises and that of others that falls
	// stay off in opposite directions, and their service differed by 0.057 at 985 hosts.
	settledFraction = 0.02
	settleTime      = time.Second
	// changeResolution is the change that is never sent on its own, however large
	// relative to the value: 985 hosts that are each wrong by it amount to a tenth of an
	// engine. With 0.001, their tenants' demands stayed at half of the true ones.
	changeResolution = 0.0001
	// minTenantFraction is the part of a key's demand, without the larger tenants, from which
	// on a tenant is named in messages. Which of many equal tenants are the largest changes
	// with each request, and they do not decide about shares.
	minTenantFraction = 1.0 / 64
)

// Changes returns what has to be sent to a host that holds the demands base, so that
// it holds current: for each key that has changed, the new sums and the tenants that
// have changed, with 0 for those that are no longer named. A key without demand any
// more has a zero Demand. It returns at most MaxKeys changes, removals first, so that
// the receiver has room for the others. sinceLast is the time since the last change was sent.
func Changes(base, current map[Key]Demand, sinceLast time.Duration) map[Key]Demand {
	t := changeThreshold(changeFraction)
	if sinceLast >= settleTime {
		t = settledFraction
	}
	changes := map[Key]Demand{}
	for key := range base {
		if _, ok := current[key]; !ok {
			changes[key] = Demand{}
		}
	}
	for key, demand := range current {
		if len(changes) >= MaxKeys {
			break
		}
		if change, ok := t.changeOf(base[key], demand); ok {
			changes[key] = change
		}
	}
	return changes
}

// changeThreshold is the relative change from which on a value is sent again.
type changeThreshold float64

// changeOf returns the change between two demands of a key; ok is false if it is too
// small to be sent.
func (t changeThreshold) changeOf(base, current Demand) (change Demand, ok bool) {
	change = current
	change.Tenants = t.changedTenants(base.Tenants, current.Tenants)
	ok = len(change.Tenants) > 0 || t.hasChanged(base.Offered, current.Offered) || t.hasChanged(base.Returning, current.Returning) ||
		t.hasChanged(base.Refused, current.Refused) || t.hasChanged(base.RestOffered, current.RestOffered)
	return change, ok
}

func (t changeThreshold) changedTenants(base, current []TenantDemand) (changed []TenantDemand) {
	for _, tenant := range current {
		if t.hasChanged(offeredOf(base, tenant.Tenant), tenant.Offered) {
			changed = append(changed, tenant)
		}
	}
	for _, tenant := range base {
		if offeredOf(current, tenant.Tenant) == 0 {
			changed = append(changed, TenantDemand{Tenant: tenant.Tenant})
		}
	}
	return changed
}

func offeredOf(tenants []TenantDemand, name string) float64 {
	for _, tenant := range tenants {
		if tenant.Tenant == name {
			return tenant.Offered
		}
	}
	return 0
}

func (t changeThreshold) hasChanged(before, now float64) bool {
	change := math.Abs(now - before)
	return change > changeAbsolute || change > float64(t)*max(before, now) && change >= changeResolution || now == 0 && before != 0
}

// Apply returns the demands base with changes applied, and how many changes exceeded
// MaxKeys or MaxTenants and were left out. It does not modify base.
func Apply(base, changes map[Key]Demand) (result map[Key]Demand, rejected int) {
	result = maps.Clone(base)
	if result == nil {
		result = make(map[Key]Demand, len(changes))
	}
	for key, change := range changes {
		if change.Offered == 0 {
			delete(result, key)
		}
	}
	for key, change := range changes {
		if change.Offered == 0 {
			continue
		}
		if _, ok := result[key]; !ok && len(result) >= MaxKeys {
			rejected++
			continue
		}
		tenants := mergeTenants(result[key].Tenants, change.Tenants)
		if excess := len(tenants) - MaxTenants; excess > 0 {
			rejected += excess
			tenants = tenants[:MaxTenants]
		}
		change.Tenants = tenants
		result[key] = change
	}
	return result, rejected
}

func mergeTenants(base, changes []TenantDemand) (merged []TenantDemand) {
	for _, tenant := range base {
		if !slices.ContainsFunc(changes, func(c TenantDemand) bool { return c.Tenant == tenant.Tenant }) {
			merged = append(merged, tenant)
		}
	}
	for _, tenant := range changes {
		if tenant.Offered > 0 {
			merged = append(merged, tenant)
		}
	}
	sortTenants(merged)
	return merged
}

func sortTenants(tenants []TenantDemand) {
	slices.SortFunc(tenants, func(a, b TenantDemand) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Tenant, b.Tenant))
	})
}

// Compact returns the demands as they are sent: the MaxKeys largest, without tenants
// that are too small to matter.
func Compact(demands map[Key]Demand) map[Key]Demand {
	compact := make(map[Key]Demand, len(demands))
	for key, demand := range demands {
		if demand.Offered > 0 {
			compact[key] = demand.named(MaxTenants, minTenantFraction)
		}
	}
	if len(compact) <= MaxKeys {
		return compact
	}
	keys := slices.SortedFunc(maps.Keys(compact), func(a, b Key) int {
		return cmp.Or(cmp.Compare(compact[b].Offered, compact[a].Offered), cmp.Compare(a.Application, b.Application), cmp.Compare(a.Rank, b.Rank))
	})
	for _, key := range keys[MaxKeys:] {
		delete(compact, key)
	}
	return compact
}

// named returns the demand with at most limit tenants by name, each of at least minFraction
// of the demand without the larger ones.
func (d Demand) named(limit int, minFraction float64) Demand {
	n, remaining := 0, d.Offered
	for n < min(limit, len(d.Tenants)) && d.Tenants[n].Offered >= minFraction*remaining {
		remaining -= d.Tenants[n].Offered
		n++
	}
	for _, tenant := range d.Tenants[n:] {
		d.RestOffered += tenant.Offered
		d.RestTenants++
	}
	d.Tenants = d.Tenants[:n:n]
	return d
}
