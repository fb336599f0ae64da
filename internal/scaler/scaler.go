// Package scaler decides how many engines of an application each availability zone is
// to have.
//
// It answers load that moves within seconds between prompts and answers while engines
// take seconds to boot and are paid for by the second: it follows the highest use of
// the last while, with room for what engines that boot could not carry, orders more at
// once, and takes engines away only after a quiet while, a few at a time. Each zone
// keeps what its own part of the load needs, since it may be cut off.
//
// Plan is a pure function: what it has to remember goes in and out as a State.
//
// # Usage
//
//	orders, state = scaler.Plan(&scaler.Input{...}, state)
package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy is a way to scale.
type Policy string

// Ways to scale.
const (
	AsFound        Policy = "as_found"        // never order anything
	TargetTracking Policy = "target_tracking" // follow the use of the engines
)

const (
	// readingUse and generatingUse are the parts of the engines of the two roles that
	// are to be in use at the highest use of the last while. A prompt that comes while
	// another one is read waits for it, so that reading engines need spare time.
	readingUse    = 0.85
	generatingUse = 0.75
	// spareInZone is how many engines a zone has beyond its part of the load: one may
	// end, and one may be changing its role.
	spareInZone = 2
	// leastInZone is the fewest that a zone has: one that reads, one that generates,
	// and one of each to take over.
	leastInZone = 4
	// peakTime is for how long a use is remembered.
	peakTime = 12 * time.Second
	// warmTime is from the first use on until engines are taken away: caches are cold
	// at first, and the load is not known.
	warmTime = 4 * time.Second
	// minUse is the use, in engines, from which on there is load at all.
	minUse = 0.5
	// restTime is the time between two orders that take engines of an application
	// away, so that prefixes and roles move to those that stay.
	restTime = 2 * time.Second
	// mostAtOnce is how many engines one order takes away from a zone.
	mostAtOnce = 2
)

// Zone is an availability zone that has, or may have, engines of the application.
type Zone struct {
	Name    string
	Engines int     // that take work, or will after a change of role
	Ordered int     // desired number that was ordered last; 0: none was
	Price   float64 // of an engine and second, against other zones
}

// Bounds are what the operator allows of an application.
type Bounds struct {
	Min, Max int // engines in a zone
	Boot     time.Duration
}

// Input is what a decision is made on.
type Input struct {
	Policy     Policy
	Now        time.Time
	Reading    float64 // engines that read prompts and have something to do
	Generating float64 // engines that generate, by the part of their slots that is taken
	Zones      []Zone
	Bounds     Bounds
}

// sample is the need at a moment.
type sample struct {
	at   time.Time
	need float64
}

// State is what Plan remembers of an application.
type State struct {
	samples []sample
	loadAt  time.Time // of the first load
	takenAt time.Time // when engines were taken away last
}

// Order is a desired number of engines in a zone.
type Order struct {
	Zone    string
	Desired int
	Need    float64 // engines that the whole load needs, for the log
}

// Plan returns the orders that are due.
func Plan(in *Input, state State) ([]Order, State) {
	if in.Policy != TargetTracking || len(in.Zones) == 0 || in.Bounds.Max <= 0 {
		return nil, state
	}
	if in.Reading+in.Generating >= minUse && state.loadAt.IsZero() {
		state.loadAt = in.Now
	}
	if state.loadAt.IsZero() {
		return nil, state
	}
	need := state.peak(in.Now, in.Reading/readingUse+in.Generating/generatingUse)
	wanted := wantedInZone(in, need)
	var orders []Order
	zones := slices.Clone(in.Zones)
	// The dearest zone gives engines first.
	slices.SortStableFunc(zones, func(a, b Zone) int { return cmp.Compare(b.Price, a.Price) })
	for _, zone := range zones {
		present := zone.Ordered
		if present == 0 {
			present = zone.Engines
		}
		switch {
		case wanted > present:
			orders = append(orders, Order{Zone: zone.Name, Desired: wanted, Need: need})
		case wanted < present && state.mayTake(in.Now) && zone.Engines >= present:
			orders = append(orders, Order{Zone: zone.Name, Desired: max(wanted, present-mostAtOnce), Need: need})
			state.takenAt = in.Now
		}
	}
	return orders, state
}

// wantedInZone is how many engines each zone is to have.
func wantedInZone(in *Input, need float64) int {
	wanted := int(math.Ceil(need/float64(len(in.Zones)))) + spareInZone
	wanted = max(wanted, leastInZone, in.Bounds.Min)
	return min(wanted, in.Bounds.Max)
}

// mayTake says whether engines may be taken away now.
func (s *State) mayTake(now time.Time) bool {
	return now.Sub(s.loadAt) >= warmTime && now.Sub(s.takenAt) >= restTime
}

// peak notes a need and returns the highest one of the last while.
func (s *State) peak(now time.Time, need float64) float64 {
	s.samples = slices.DeleteFunc(slices.Clone(s.samples), func(old sample) bool { return now.Sub(old.at) > peakTime || old.need <= need })
	s.samples = append(s.samples, sample{at: now, need: need})
	return s.samples[0].need
}
