// Package planner decides which engines should change their role.
//
// A change takes an engine away for seconds. It is proposed only when the
// share of the demand that can be served grows so much that, over the time the
// role will probably be kept, it pays several times for the share lost
// meanwhile; when that has been so for a while without a break, in the short
// and in the long view of the demand; and when the operator's tolerated rate
// of changes leaves room. One engine of an application changes at a time, and
// each zone keeps engines that can prefill and engines that can decode.
//
// The tolerated rate also says how long a role is expected to be kept: an
// operator who tolerates two changes an hour expects a role to last half an
// hour. Plan is a pure function: what it has to remember goes in and out as a
// State.
//
// # Usage
//
//	proposals, state = planner.Plan(&planner.Input{...}, state)
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// Strategy is a way to plan roles.
type Strategy string

// Ways to plan. All but the first are baselines to measure against.
const (
	Planned      Strategy = "planned"
	Never        Strategy = "never"
	FollowDemand Strategy = "every_swing" // follow each swing of the mix at once
	Fixed        Strategy = "fixed"       // a fixed share prefills, where engines have separate roles
)

const (
	payFactor   = 2    // how many times the gain has to pay for the loss
	minimumGain = 0.02 // of the demand; below it, forecasts are noise
	minSustain  = 10 * time.Second
	maxSustain  = 2 * time.Minute
	maxKeep     = time.Hour
	sustainPart = 20 // the gain has to last for this part of the expected keeping time
	floorAll    = 2  // engines of an application that can prefill, and that can decode
	floorZone   = 1  // the same in each zone, which may be cut off
)

// Turns of the zones. An engine that changes is seen in its reports within
// seconds. The baseline follows each swing as soon as reports can show it.
var (
	roleTurn  = ZoneRotation{SlotLength: 15 * time.Second, ActiveTime: 12 * time.Second}
	swingTurn = ZoneRotation{SlotLength: time.Second, ActiveTime: time.Second}
)

// Engine is one engine of an application.
type Engine struct {
	EndpointID string
	Zone       string
	Role       driver.Role
	IsUsable   bool // takes new work
	IsChanging bool // drains, or carries out an order
	DrainTime  time.Duration
}

// Application is what is known of one application.
type Application struct {
	Name              string
	MaxChangesPerHour int // role changes an hour
	Changes           []time.Time
	Engines           []Engine
	Costs             Costs
	ShortDemand       Demand // over the last seconds
	LongDemand        Demand // over the last minutes
}

// Input is what Plan decides on.
type Input struct {
	Strategy       Strategy
	Zone           string // whose engines may be changed
	Now            time.Time
	RoleChangeTime time.Duration // that a change takes after the drain
	Applications   []Application
}

// State is what Plan remembers from one call to the next, by application.
type State map[string]PendingChange

// PendingChange is a change that would pay, since when without a break.
type PendingChange struct {
	From, To driver.Role
	Since    time.Time
}

// Proposal is a role change that would pay.
type Proposal struct {
	EndpointID string
	Role       driver.Role
	Reason     string
}

// Plan returns the changes to make now and what to remember.
func Plan(input *Input, state State) (proposals []Proposal, next State) {
	next = make(State)
	if input.Strategy == Never {
		return nil, next
	}
	for i := range input.Applications {
		application := &input.Applications[i]
		if input.Strategy == FollowDemand {
			if proposal, ok := swing(input, application); ok {
				proposals = append(proposals, proposal)
			}
			continue
		}
		wish, gain, ok := wanted(input, application)
		if !ok {
			continue
		}
		if before := state[application.Name]; before.From == wish.From && before.To == wish.To {
			wish.Since = before.Since
		}
		next[application.Name] = wish
		if proposal, ok := propose(input, application, wish, gain); ok {
			proposals = append(proposals, proposal)
			delete(next, application.Name)
		}
	}
	return proposals, next
}

// keep is how long a role is expected to be kept.
func (a *Application) keep() time.Duration {
	return min(time.Hour/time.Duration(max(a.MaxChangesPerHour, 1)), maxKeep)
}

func (a *Application) sustain() time.Duration {
	return min(max(a.keep()/sustainPart, minSustain), maxSustain)
}

// hasRoom is true where the tolerated rate leaves room for a change: in the
// last hour, and in the last part of it, so that they are not all made at once.
func (a *Application) hasRoom(now time.Time) bool {
	recent := 0
	for _, at := range a.Changes {
		if now.Sub(at) < time.Hour {
			recent++
		}
	}
	if recent >= a.MaxChangesPerHour {
		return false
	}
	return len(a.Changes) == 0 || now.Sub(a.Changes[len(a.Changes)-1]) >= a.keep()/4
}

func (a *Application) fleet() (fleet Fleet) {
	for i := range a.Engines {
		if a.Engines[i].IsUsable {
			fleet = fleet.with(a.Engines[i].Role, 1)
		}
	}
	return fleet
}

func (a *Application) isChanging() bool {
	return slices.ContainsFunc(a.Engines, func(e Engine) bool { return e.IsChanging })
}

var roles = []driver.Role{driver.RoleMixed, driver.RolePrefill, driver.RoleDecode}

// wanted returns the change that gains most, if it pays.
func wanted(input *Input, a *Application) (wish PendingChange, gain float64, ok bool) {
	if a.MaxChangesPerHour <= 0 || a.isChanging() {
		return wish, 0, false
	}
	fleet := a.fleet()
	short, long := ServedShare(&a.Costs, a.ShortDemand, fleet), ServedShare(&a.Costs, a.LongDemand, fleet)
	for _, from := range roles {
		for _, to := range roles {
			if from == to || candidate(input, a, from, to) < 0 {
				continue
			}
			after := fleet.with(from, -1).with(to, 1)
			// The smaller of both views: a swing shows in the short one only,
			// and what has passed in the long one only.
			change := min(ServedShare(&a.Costs, a.ShortDemand, after)-short, ServedShare(&a.Costs, a.LongDemand, after)-long)
			if change > gain && pays(input, a, fleet, from, change) {
				wish, gain, ok = PendingChange{From: from, To: to, Since: input.Now}, change, true
			}
		}
	}
	return wish, gain, ok
}

// pays compares the gain over the time a role is kept with what is lost while
// the engine is away.
func pays(input *Input, a *Application, fleet Fleet, from driver.Role, gain float64) bool {
	if gain < minimumGain {
		return false
	}
	away := input.RoleChangeTime
	if i := candidate(input, a, from, ""); i >= 0 {
		away += a.Engines[i].DrainTime
	}
	loss := ServedShare(&a.Costs, a.ShortDemand, fleet) - ServedShare(&a.Costs, a.ShortDemand, fleet.with(from, -1))
	return gain*a.keep().Seconds() >= payFactor*loss*away.Seconds()
}

func propose(input *Input, a *Application, wish PendingChange, gain float64) (Proposal, bool) {
	if input.Now.Sub(wish.Since) < a.sustain() || !a.hasRoom(input.Now) || !a.isTurn(roleTurn, input) {
		return Proposal{}, false
	}
	engine := &a.Engines[candidate(input, a, wish.From, wish.To)]
	return Proposal{
		EndpointID: engine.EndpointID,
		Role:       wish.To,
		Reason: fmt.Sprintf("serves %.0f%% more of the demand, wanted for %s", gain*100,
			input.Now.Sub(wish.Since).Round(time.Second)),
	}, true
}

// candidate is the position of the engine of a role in this zone that drains
// fastest and whose change to another role keeps the floors; -1: none.
func candidate(input *Input, a *Application, from, to driver.Role) int {
	chosen := -1
	for i := range a.Engines {
		engine := &a.Engines[i]
		if engine.Zone != input.Zone || engine.Role != from || !engine.IsUsable {
			continue
		}
		if to != "" && !keepsFloors(a, i, to) {
			continue
		}
		if chosen < 0 || engine.DrainTime < a.Engines[chosen].DrainTime {
			chosen = i
		}
	}
	return chosen
}

// keepsFloors is true where, once engine i has its new role, the application
// and the zone have enough engines that can prefill and that can decode; and
// where others can do both while it is away.
func keepsFloors(a *Application, i int, to driver.Role) bool {
	zone := a.Engines[i].Zone
	all, local := abilities{}, abilities{}
	others := abilities{}
	for j := range a.Engines {
		engine := &a.Engines[j]
		role := engine.Role
		if j == i {
			role = to
		}
		if !engine.IsUsable {
			continue
		}
		all.count(role)
		if engine.Zone == zone {
			local.count(role)
		}
		if j != i {
			others.count(role)
		}
	}
	return all.reach(floorAll) && local.reach(floorZone) && others.reach(1)
}

type abilities struct{ prefill, decode int }

func (b *abilities) count(role driver.Role) {
	if role != driver.RoleDecode {
		b.prefill++
	}
	if role != driver.RolePrefill {
		b.decode++
	}
}

func (b abilities) reach(floor int) bool { return b.prefill >= floor && b.decode >= floor }

// isTurn says whether it is the turn of the zone whose engines may be changed.
func (a *Application) isTurn(turn ZoneRotation, input *Input) bool {
	zones := make([]string, len(a.Engines))
	for i := range a.Engines {
		zones[i] = a.Engines[i].Zone
	}
	return turn.IsActive(input.Zone, zones, input.Now)
}
