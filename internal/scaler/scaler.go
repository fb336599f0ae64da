// Package scaler decides how many engines of an application each availability zone should
// have, on demand and as spot capacity.
//
// Load shifts within seconds between prefill and decode, while engines take seconds to
// boot and are billed by the second. Spot engines are much cheaper than engines on demand,
// but are reclaimed at short notice, all of a zone at once.
//
// Plan is a pure function: what has to persist between calls is passed and returned as a
// State.
//
// # Usage
//
//	orders, state = scaler.Plan(&scaler.Input{...}, state)
package scaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Policy is a scaling policy.
type Policy string

// Scaling policies.
const (
	// AsFound never orders anything.
	AsFound Policy = "as_found"
	// TargetTracking follows the utilization of the engines, all of them on demand.
	TargetTracking Policy = "target_tracking"
	// SpotShare keeps the initial number of engines, or what the load needs if that is more,
	// and replaces most of them by spot engines: so many that the number still holds when
	// one zone loses all of its spot engines.
	SpotShare Policy = "spot_share"
)

const (
	// prefillUtilization and decodeUtilization are the target utilizations of the two roles
	// at the highest load within peakWindow. A request counts as in use from its sending to
	// its first event, so they are close to 1.
	prefillUtilization = 0.85
	decodeUtilization  = 0.75
	// spareEnginesPerZone is how many engines a zone has beyond its share of the load: one
	// may fail while another one changes its role.
	spareEnginesPerZone = 2
	// minEnginesPerZone is the minimum of a zone: one prefill engine, one decode engine, and
	// a spare for each.
	minEnginesPerZone = 4
	// onDemandShare is the fraction of a zone's engines that stays on demand where the rest
	// may be spot.
	onDemandShare = 1.0 / 3
	// registrationSettlingDelay is for how long the number of engines must not have grown
	// before the fleet counts as complete: engines register one after the other, within
	// some heartbeats.
	registrationSettlingDelay = 1600 * time.Millisecond
	// spotReorderDelay is how long, beyond the boot time, spot engines have to be missing
	// before they are ordered again.
	spotReorderDelay = 4 * time.Second
	// peakWindow is the period over which the highest need is taken.
	peakWindow = 12 * time.Second
	// warmUpTime is how long after the first load no engines are removed: caches are cold at
	// first, and the load is not known.
	warmUpTime = 4 * time.Second
	// minEnginesInUse is the number of engines in use from which on there is load.
	minEnginesInUse = 0.5
	// scaleDownInterval is the minimum time between two removals of an application's engines
	// under load, so that cached prefixes and roles move to the remaining engines.
	scaleDownInterval = 2 * time.Second
	// maxScaleDownStep is how many engines one order removes from a zone under load.
	maxScaleDownStep = 2
)

// Zone is an availability zone that has, or may have, engines of the application.
type Zone struct {
	Name     string
	OnDemand Count
	Spot     Count
	Price    float64 // per engine and second, relative to other zones
}

// Count is the number of engines of one kind, on demand or spot.
type Count struct {
	Present int // take work, or will after a role change
	Ordered int // desired number of the last order; 0: none
}

// desired is the number that will be present once all orders have been carried out.
func (c Count) desired() int {
	if c.Ordered > 0 {
		return c.Ordered
	}
	return c.Present
}

// Bounds are the operator's limits for an application.
type Bounds struct {
	Min, Max  int // engines per zone, on demand and spot together
	BootTime  time.Duration
	SpotPrice float64 // fraction of the on-demand price; 0: there are no spot engines
}

// Input is the data for one decision.
type Input struct {
	Policy       Policy
	Now          time.Time
	PrefillInUse float64 // prefill engines with work
	DecodeInUse  float64 // decode engines, weighted by the fraction of their slots in use
	Zones        []Zone
	Bounds       Bounds
}

// sample is the number of engines needed at a time.
type sample struct {
	at   time.Time
	need float64
}

// State is what Plan keeps between calls for an application.
type State struct {
	samples          []sample
	firstLoadAt      time.Time // when load was first seen
	lastScaleDownAt  time.Time // when engines were last removed
	maxRegistered    int       // most engines registered at a time so far
	maxRegisteredAt  time.Time // when that number was reached
	hasSettled       bool
	initialEngines   map[string]int       // engines by zone before the first order
	spotMissingSince map[string]time.Time // since when a zone has had fewer spot engines than ordered
}

// Order is a desired number of engines in a zone.
type Order struct {
	Zone          string
	IsSpot        bool
	Desired       int
	NeededEngines float64 // needed for the load of all zones, for the log
}

// Plan returns the orders that are due.
func Plan(in *Input, state State) ([]Order, State) {
	if in.Policy == AsFound || len(in.Zones) == 0 || in.Bounds.Max <= 0 {
		return nil, state
	}
	if in.PrefillInUse+in.DecodeInUse >= minEnginesInUse && state.firstLoadAt.IsZero() {
		state.firstLoadAt = in.Now
	}
	if !state.hasRegistrationSettled(in) {
		return nil, state
	}
	p := &plan{in: in, state: state, need: state.recordPeak(in.Now, in.PrefillInUse/prefillUtilization+in.DecodeInUse/decodeUtilization)}
	p.state.samples = state.samples
	zones := slices.Clone(in.Zones)
	// The most expensive zone is scaled down first.
	slices.SortStableFunc(zones, func(a, b Zone) int { return cmp.Compare(b.Price, a.Price) })
	for i := range zones {
		switch {
		case in.Policy == SpotShare && in.Bounds.SpotPrice > 0:
			p.planSpotShare(&zones[i])
		case in.Policy == TargetTracking && !state.firstLoadAt.IsZero():
			p.orderOnDemand(&zones[i], p.requiredInZone())
		}
	}
	return p.orders, p.state
}

// plan is the state of one decision.
type plan struct {
	in     *Input
	state  State
	need   float64
	orders []Order
}

// requiredInZone is how many engines a zone needs for its share of the load, so that it can
// serve that share while it is cut off.
func (p *plan) requiredInZone() int {
	wanted := int(math.Ceil(p.need/float64(len(p.in.Zones)))) + spareEnginesPerZone
	return p.clampToBounds(max(wanted, minEnginesPerZone))
}

func (p *plan) clampToBounds(wanted int) int {
	return min(max(wanted, p.in.Bounds.Min), p.in.Bounds.Max)
}

// planSpotShare replaces most of a zone's engines by spot engines. The minimum stays on
// demand, and so do engines for which there is no spot engine yet, or no longer.
func (p *plan) planSpotShare(zone *Zone) {
	total := p.clampToBounds(max(p.initialEnginesIn(zone), p.requiredInZone()))
	base := minOnDemand(total)
	// Engines on demand stay until the spot engines are present, and both kinds together keep
	// to the bounds.
	spot := max(min(p.spotTarget(total), p.in.Bounds.Max-max(total, zone.OnDemand.desired())), zone.Spot.Ordered)
	if spot <= 0 {
		return
	}
	if spot > zone.Spot.Ordered || p.isSpotOverdue(zone) {
		p.orders = append(p.orders, Order{Zone: zone.Name, IsSpot: true, Desired: spot, NeededEngines: p.need})
	}
	wanted := base
	if p.isShort(total) {
		wanted = max(total-zone.Spot.Present, base)
	}
	p.orderOnDemand(zone, min(wanted, p.in.Bounds.Max-spot))
}

// spotTarget is how many spot engines a zone has, so that the fleet keeps its number when
// one zone loses all of its own. With a single zone there is no other zone to make up for it.
func (p *plan) spotTarget(total int) int {
	missing := total - minOnDemand(total)
	zones := len(p.in.Zones)
	if zones < 2 {
		return missing
	}
	return (zones*missing + zones - 2) / (zones - 1)
}

// isShort is true if the fleet would have too few engines with the minimum on demand.
func (p *plan) isShort(total int) bool {
	engines := 0
	for i := range p.in.Zones {
		engines += p.in.Zones[i].Spot.Present + minOnDemand(total)
	}
	return engines < total*len(p.in.Zones)
}

// minOnDemand is the minimum number of a zone's engines on demand.
func minOnDemand(total int) int {
	return min(max(int(math.Ceil(float64(total)*onDemandShare)), minEnginesPerZone), total)
}

// initialEnginesIn is how many engines a zone had before the first order. A new lease holder
// derives it from its predecessor's orders.
func (p *plan) initialEnginesIn(zone *Zone) int {
	if zone.Spot.Ordered > 0 {
		total := 0
		for p.spotTarget(total) < zone.Spot.Ordered && total < p.in.Bounds.Max {
			total++
		}
		return total
	}
	initial := maps.Clone(p.state.initialEngines)
	if initial == nil {
		initial = map[string]int{}
	}
	initial[zone.Name] = max(initial[zone.Name], zone.OnDemand.Present+zone.Spot.Present)
	p.state.initialEngines = initial
	return initial[zone.Name]
}

// isSpotOverdue is true if a zone has had fewer spot engines than ordered for so long that
// they have to be ordered again.
func (p *plan) isSpotOverdue(zone *Zone) bool {
	missingSince := maps.Clone(p.state.spotMissingSince)
	if missingSince == nil {
		missingSince = map[string]time.Time{}
	}
	p.state.spotMissingSince = missingSince
	since, ok := missingSince[zone.Name]
	switch {
	case zone.Spot.Present >= zone.Spot.Ordered:
		delete(missingSince, zone.Name)
		return false
	case !ok:
		missingSince[zone.Name] = p.in.Now
		return false
	case p.in.Now.Sub(since) < p.in.Bounds.BootTime+spotReorderDelay:
		return false
	}
	missingSince[zone.Name] = p.in.Now
	return true
}

// orderOnDemand orders a changed number of engines on demand: an increase at once, a
// decrease in steps under load, and no decrease while an ordered engine is missing.
func (p *plan) orderOnDemand(zone *Zone, wanted int) {
	count := zone.OnDemand
	desired := count.desired()
	switch {
	case wanted > desired:
		p.orders = append(p.orders, Order{Zone: zone.Name, Desired: wanted, NeededEngines: p.need})
	case wanted < desired && p.mayScaleDown() && count.Present >= desired:
		if !p.state.firstLoadAt.IsZero() {
			wanted = max(wanted, desired-maxScaleDownStep)
			p.state.lastScaleDownAt = p.in.Now
		}
		p.orders = append(p.orders, Order{Zone: zone.Name, Desired: wanted, NeededEngines: p.need})
	}
}

// mayScaleDown is true if engines may be removed now.
func (p *plan) mayScaleDown() bool {
	if p.state.firstLoadAt.IsZero() {
		return true
	}
	return p.in.Now.Sub(p.state.firstLoadAt) >= warmUpTime && p.in.Now.Sub(p.state.lastScaleDownAt) >= scaleDownInterval
}

// hasRegistrationSettled is true once the running engines have registered.
func (s *State) hasRegistrationSettled(in *Input) bool {
	engines := 0
	for i := range in.Zones {
		engines += in.Zones[i].OnDemand.Present + in.Zones[i].Spot.Present
	}
	if engines > s.maxRegistered {
		s.maxRegistered, s.maxRegisteredAt = engines, in.Now
	}
	s.hasSettled = s.hasSettled || s.maxRegistered > 0 && in.Now.Sub(s.maxRegisteredAt) >= registrationSettlingDelay
	return s.hasSettled
}

// recordPeak records a need and returns the highest one within peakWindow.
func (s *State) recordPeak(now time.Time, need float64) float64 {
	s.samples = slices.DeleteFunc(slices.Clone(s.samples), func(old sample) bool { return now.Sub(old.at) > peakWindow || old.need <= need })
	s.samples = append(s.samples, sample{at: now, need: need})
	return s.samples[0].need
}
