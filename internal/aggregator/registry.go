package aggregator

import "time"

const (
	// SilenceLimit is how long the demand of a host counts after its last update, while
	// the host is listed: a host that is cut off from the others still serves its callers.
	SilenceLimit = 10 * time.Second
	// unlistedLimit is how long the demand of a host counts that is not listed. Hosts
	// send an update at least every second, and a host whose entry has expired because
	// the store refuses it serves on.
	unlistedLimit = 1500 * time.Millisecond
	// preferenceLimit is the age up to which the update of a hub that sums up more hosts
	// is preferred to a later one. A hub that has just started sums up only a few.
	preferenceLimit = unlistedLimit
)

// Scope states whose demand an update holds.
type Scope int

// Scopes.
const (
	ScopeHost Scope = iota // that of the sender
	ScopeZone              // that of all hosts of the sender's zone
	ScopeRest              // that of all hosts but the receiver
)

// Role is the position of this host in the exchange.
type Role int

// Roles.
const (
	RoleMesh   Role = iota // all hosts send their own demand to all others
	RoleHub                // it receives the demand of each host of its zone, and the sums of other zones
	RoleMember             // it receives the sum over all others
)

// Update is what a message of a peer says of demand.
type Update struct {
	HostID, Zone string
	Scope        Scope
	IsFull       bool // Demands replaces all that was known, instead of being changes
	Sends        bool // false: the sender's build sends no demand
	Draining     bool
	// Hosts is the number of hosts of which Demands is the sum, HostsWithout that of hosts
	// of the scope whose demand is not known.
	Hosts, HostsWithout int
	Demands             map[Key]Demand
}

// Registry holds the latest demand received from each peer. It is not safe for
// concurrent use.
type Registry struct {
	zone    string
	entries map[string]*entry
	listed  map[string]bool // nil: not known, all hosts count as listed
	// lastRest is the latest sum over all others that was replaced. A host that becomes a hub
	// uses it until it has received the demands of its zone's hosts and of the other zones.
	lastRest *entry
}

type entry struct {
	zone      string
	scope     Scope
	draining  bool
	snapshot  Snapshot
	updatedAt time.Time
}

// NewRegistry returns the Registry of a host in a zone.
func NewRegistry(zone string) *Registry {
	return &Registry{zone: zone, entries: map[string]*entry{}}
}

// Apply records an update. It returns the number of values left out because the update
// exceeds the bounds. ok is false if the update holds changes and what they apply to is not
// known any more; the sender has to send everything then.
func (r *Registry) Apply(update *Update, now time.Time) (rejected int, ok bool) {
	e := r.entries[update.HostID]
	isNew := e == nil || e.scope != update.Scope
	if isNew && update.Sends && !update.IsFull {
		return 0, false
	}
	if isNew || update.IsFull || !update.Sends {
		r.keepRest(e)
		e = &entry{}
		r.entries[update.HostID] = e
	}
	e.zone, e.scope, e.draining, e.updatedAt = update.Zone, update.Scope, update.Draining, now
	e.snapshot.Hosts, e.snapshot.HostsWithout = update.Hosts, update.HostsWithout
	if len(update.Demands) > 0 {
		e.snapshot.Demands, rejected = Apply(e.snapshot.Demands, update.Demands)
	}
	return rejected, true
}

// Remove removes what a peer has sent.
func (r *Registry) Remove(hostID string) {
	r.keepRest(r.entries[hostID])
	delete(r.entries, hostID)
}

func (r *Registry) keepRest(e *entry) {
	if e != nil && e.scope == ScopeRest && (r.lastRest == nil || e.updatedAt.After(r.lastRest.updatedAt)) {
		r.lastRest = e
	}
}

// SetListed sets the hosts that the platform lists.
func (r *Registry) SetListed(hostIDs []string) {
	r.listed = make(map[string]bool, len(hostIDs))
	for _, hostID := range hostIDs {
		r.listed[hostID] = true
	}
}

// Expire removes the demand of hosts that have been silent for too long.
func (r *Registry) Expire(now time.Time) {
	for hostID, e := range r.entries {
		limit := SilenceLimit
		if r.listed != nil && !r.listed[hostID] {
			limit = unlistedLimit
		}
		if now.Sub(e.updatedAt) > limit {
			delete(r.entries, hostID)
		}
	}
}

// Others returns the demand of all other hosts.
func (r *Registry) Others(role Role, now time.Time) Snapshot {
	if role == RoleMember {
		if rest := r.best(func(e *entry) bool { return e.scope == ScopeRest }, now); rest != nil {
			return rest.snapshot
		}
		return Snapshot{}
	}
	others := r.total(role, Snapshot{}, now).Snapshot()
	for _, rest := range []*entry{r.lastRest, r.best(func(e *entry) bool { return e.scope == ScopeRest }, now)} {
		if rest != nil && now.Sub(rest.updatedAt) <= preferenceLimit && rest.hosts() > others.Hosts+others.HostsWithout {
			others = rest.snapshot
		}
	}
	return others
}

// ZoneTotal returns the demand of all hosts of this zone; own is that of this host.
func (r *Registry) ZoneTotal(own Snapshot) Snapshot {
	s := NewSum()
	s.Add(own)
	r.addHosts(s, r.zone)
	return s.Snapshot()
}

// FleetTotal returns the demand of all hosts, as a hub knows it.
func (r *Registry) FleetTotal(own Snapshot, now time.Time) *Total {
	return r.total(RoleHub, own, now).Total()
}

// HostDemand returns what FleetTotal includes of a host of this zone.
func (r *Registry) HostDemand(hostID string) Snapshot {
	if e := r.entries[hostID]; e != nil && e.scope == ScopeHost && e.zone == r.zone && !e.draining {
		return e.snapshot
	}
	return Snapshot{}
}

func (r *Registry) total(role Role, own Snapshot, now time.Time) *Sum {
	s := NewSum()
	s.Add(own)
	if role == RoleMesh {
		r.addHosts(s, "")
		return s
	}
	r.addHosts(s, r.zone)
	zones := map[string]bool{r.zone: true}
	for _, e := range r.entries {
		if e.scope != ScopeZone || zones[e.zone] {
			continue
		}
		zones[e.zone] = true
		s.Add(r.best(func(other *entry) bool { return other.scope == ScopeZone && other.zone == e.zone }, now).snapshot)
	}
	return s
}

// addHosts adds the hosts of a zone; an empty name stands for all zones.
func (r *Registry) addHosts(s *Sum, zone string) {
	for _, e := range r.entries {
		if e.scope == ScopeHost && !e.draining && (zone == "" || e.zone == zone) {
			s.Add(e.snapshot)
		}
	}
}

// best returns the entry to use among several for the same hosts: of those updated
// recently the one that sums up the most hosts, otherwise the latest one.
func (r *Registry) best(isCandidate func(*entry) bool, now time.Time) (best *entry) {
	for _, e := range r.entries {
		if isCandidate(e) && (best == nil || e.isBetter(best, now)) {
			best = e
		}
	}
	return best
}

func (e *entry) isBetter(other *entry, now time.Time) bool {
	isRecent, isOtherRecent := now.Sub(e.updatedAt) <= preferenceLimit, now.Sub(other.updatedAt) <= preferenceLimit
	if isRecent && isOtherRecent && e.hosts() != other.hosts() {
		return e.hosts() > other.hosts()
	}
	return e.updatedAt.After(other.updatedAt)
}

func (e *entry) hosts() int { return e.snapshot.Hosts + e.snapshot.HostsWithout }

// IsIsolated reports whether no peer that is known has sent an update recently.
func (r *Registry) IsIsolated(now time.Time) bool {
	for _, e := range r.entries {
		if now.Sub(e.updatedAt) <= unlistedLimit {
			return false
		}
	}
	return len(r.entries) > 0
}

// Counts is how many hosts' demand this host knows.
type Counts struct {
	Known   int // hosts whose demand is part of what Others returns
	Kept    int // peers without an update in the last seconds whose last demand counts
	Missing int // hosts of builds that send no demand
}

// Counts returns the numbers of hosts behind a snapshot of the others.
func (r *Registry) Counts(others Snapshot, now time.Time) Counts {
	c := Counts{Known: others.Hosts, Missing: others.HostsWithout}
	for _, e := range r.entries {
		if now.Sub(e.updatedAt) > unlistedLimit {
			c.Kept++
		}
	}
	return c
}
