package tracker

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
)

// peerTimeout is how long a peer's loads count after its last update.
const peerTimeout = 5 * time.Second

// Application is the endpoints of one application with their estimates.
type Application struct {
	Name      string
	Local     []*Endpoint // in this host's zone
	Remote    []*Endpoint // in other zones
	Model     estimator.Model
	Prefixes  Prefixes
	Demand    Demand
	EngineUse EngineUse // of engines with separate roles
	Split     planner.SplitState
	Summary   Summary
	// MeanCost is the mean cost of a request in engine seconds; 0: not observed yet.
	MeanCost float64
	// TokenRatio is the number of prompt tokens counted by engines for each token that
	// the dispatcher estimates from the bytes of the prompt; 0: not observed yet.
	TokenRatio float64
	// RoleChanges are the times of the role changes seen in reports over the last
	// hour, oldest first.
	RoleChanges []time.Time
}

const (
	tokenRatioDecay = 0.95
	costDecay       = 0.95
)

// ObserveCost records the cost of a request.
func (a *Application) ObserveCost(cost time.Duration) {
	if a.MeanCost <= 0 {
		a.MeanCost = cost.Seconds()
		return
	}
	a.MeanCost = a.MeanCost*costDecay + cost.Seconds()*(1-costDecay)
}

// CorrectTokens corrects an estimated number of prompt tokens by TokenRatio.
func (a *Application) CorrectTokens(estimated int) int {
	if a.TokenRatio <= 0 {
		return estimated
	}
	return int(float64(estimated) * a.TokenRatio)
}

// ObserveTokenCount records an engine's token count of a prompt.
func (a *Application) ObserveTokenCount(estimated, counted int) {
	if estimated <= 0 || counted <= 0 {
		return
	}
	ratio := float64(counted) / float64(estimated)
	if a.TokenRatio <= 0 {
		a.TokenRatio = ratio
		return
	}
	a.TokenRatio = a.TokenRatio*tokenRatioDecay + ratio*(1-tokenRatioDecay)
}

// noteRoleChange records a role change and removes those older than an hour.
func (a *Application) noteRoleChange(now time.Time) {
	a.RoleChanges = append(a.RoleChanges, now)
	for now.Sub(a.RoleChanges[0]) > time.Hour {
		a.RoleChanges = a.RoleChanges[1:]
	}
}

// Len returns the number of endpoints.
func (a *Application) Len() int { return len(a.Local) + len(a.Remote) }

// HasSoftwareVersion reports whether an endpoint of a software version takes new work.
func (a *Application) HasSoftwareVersion(version string) bool {
	for i := range a.Len() {
		if e := a.At(i); e.Target.SoftwareVersion == version && e.TakesNewWork() {
			return true
		}
	}
	return false
}

// At returns an endpoint by position, those of the local zone first.
func (a *Application) At(i int) *Endpoint {
	if i < len(a.Local) {
		return a.Local[i]
	}
	return a.Remote[i-len(a.Local)]
}

// Peer is the last update of another entry host, or of several.
type Peer struct {
	Hosts      int // number of hosts whose load this is
	Loads      map[string]Load
	ReceivedAt time.Time
}

// Table holds the state that decisions read.
type Table struct {
	Zone              string
	Endpoints         map[string]*Endpoint
	Applications      map[string]*Application
	Classes           map[ClassKey]*Class
	Tenants           map[TenantKey]*Tenant
	Peers             map[string]Peer
	tickedAt          time.Time
	isStale           bool // the summaries have to be recomputed
	isUnreadSinceTick bool // no summary has been read since the last tick
	// RateLimitOf returns how many requests per second a process takes from all hosts;
	// ok is false for one without a limit. Nil: no process has one.
	RateLimitOf func(process driver.Process) (rate float64, ok bool)
	// BackoffRemaining returns for how much longer a process wants no requests from
	// this host; nil: no process has requested a backoff.
	BackoffRemaining func(process driver.Process) time.Duration
	// PeersWithoutPath is the number of peers that don't reach an application's endpoints, with
	// those that reach a part of them counted in part.
	PeersWithoutPath map[string]float64
	// Demand decides which portion of the capacity is this host's.
	Demand FleetDemand
}

// NewTable returns an empty table for a host in the zone.
func NewTable(zone string) *Table {
	return &Table{
		Zone:         zone,
		Endpoints:    make(map[string]*Endpoint),
		Applications: make(map[string]*Application),
		Classes:      make(map[ClassKey]*Class),
		Tenants:      make(map[TenantKey]*Tenant),
		Peers:        make(map[string]Peer),
	}
}

// Application returns the application's record and creates it on first use.
func (t *Table) Application(name string) *Application {
	application := t.Applications[name]
	if application == nil {
		application = &Application{Name: name, Model: estimator.NewModel(), Demand: newDemand()}
		t.Applications[name] = application
	}
	return application
}

// SetHosts replaces the list of hosts by the platform's. An endpoint that is no
// longer listed is removed; grants that still use it keep its record until they
// are done.
func (t *Table) SetHosts(hosts []provider.Host, now time.Time) {
	listed := make(map[string]struct{}, len(hosts))
	for i := range hosts {
		if hosts[i].Kind == provider.HostEntry {
			continue
		}
		listed[hosts[i].ID] = struct{}{}
		t.setHost(&hosts[i], now)
	}
	for id, endpoint := range t.Endpoints {
		if _, ok := listed[id]; !ok {
			endpoint.Listed = false
			delete(t.Endpoints, id)
		}
	}
	t.rebuildLists()
	t.summarise(now)
}

// UpdateHosts applies changes of the list: new and changed hosts, and the ids of
// removed ones. Its cost does not grow with the length of the list; Refresh
// recomputes the summaries.
func (t *Table) UpdateHosts(hosts []provider.Host, removed []string, now time.Time) {
	for _, id := range removed {
		if endpoint := t.Endpoints[id]; endpoint != nil {
			endpoint.Listed = false
			t.removeFromList(endpoint)
			delete(t.Endpoints, id)
		}
	}
	for i := range hosts {
		if hosts[i].Kind == provider.HostEntry {
			continue
		}
		if endpoint := t.Endpoints[hosts[i].ID]; endpoint != nil {
			t.removeFromList(endpoint)
		}
		t.setHost(&hosts[i], now)
		t.insertIntoList(t.Endpoints[hosts[i].ID])
	}
	t.isStale = true
}

// Refresh recomputes the summaries if the list has changed or a tick has passed
// since. It has to be called before they are read.
func (t *Table) Refresh(now time.Time) {
	t.isUnreadSinceTick = false
	if t.isStale {
		t.summarise(now)
	}
}

// listOf returns the list of its application that an endpoint is in.
func (t *Table) listOf(endpoint *Endpoint) *[]*Endpoint {
	application := t.Application(endpoint.Application)
	if endpoint.Local {
		return &application.Local
	}
	return &application.Remote
}

// removeFromList removes an endpoint from its application's list.
func (t *Table) removeFromList(endpoint *Endpoint) {
	list := t.listOf(endpoint)
	if i, ok := slices.BinarySearchFunc(*list, endpoint, byID); ok {
		*list = slices.Delete(*list, i, i+1)
	}
}

// insertIntoList inserts an endpoint into its application's list.
func (t *Table) insertIntoList(endpoint *Endpoint) {
	list := t.listOf(endpoint)
	i, _ := slices.BinarySearchFunc(*list, endpoint, byID)
	*list = slices.Insert(*list, i, endpoint)
}

func (t *Table) setHost(host *provider.Host, now time.Time) {
	endpoint := t.Endpoints[host.ID]
	isNew := endpoint == nil ||
		endpoint.Target.Incarnation != host.Incarnation && host.Incarnation != "" ||
		endpoint.Application != host.Application
	if isNew {
		// A restarted process has neither this host's work nor its marks. It gets a new
		// record, so that grants of the old process cannot change its counts.
		if endpoint != nil {
			endpoint.Listed = false
		}
		endpoint = &Endpoint{
			Role: driver.RoleMixed, Limit: initialLimit, Slowdown: 1, RoleSince: now,
			Target: driver.Target{EndpointID: host.ID, Incarnation: host.Incarnation},
		}
		t.Endpoints[host.ID] = endpoint
		endpoint.Peers = t.peerLoad(host.ID)
	}
	if isNew || endpoint.ListEntry.Revision != host.Revision {
		endpoint.ListEntry = ListEntry{Revision: host.Revision, ReceivedAt: now}
	}
	endpoint.Target.Address, endpoint.Target.SoftwareVersion = host.Address, host.SoftwareVersion
	endpoint.Zone = host.Zone
	endpoint.Application = host.Application
	endpoint.Kind = host.Kind
	endpoint.Local = host.Zone == t.Zone
	endpoint.Listed = true
	// The lister combines the platform's list with statements of peers and endpoints,
	// and an endpoint that drained for a role change returns under the same
	// incarnation. The state therefore holds only until the next list.
	endpoint.Leaving = host.State == provider.HostLeaving
	if host.Role != "" {
		endpoint.setRole(driver.Role(host.Role), now)
	}
	if host.Slots > 0 {
		endpoint.Limit = host.Slots
	}
}

// rebuildLists rebuilds the applications' lists of endpoints.
func (t *Table) rebuildLists() {
	for _, application := range t.Applications {
		application.Local = application.Local[:0]
		application.Remote = application.Remote[:0]
	}
	for _, endpoint := range t.Endpoints {
		application := t.Application(endpoint.Application)
		if endpoint.Local {
			application.Local = append(application.Local, endpoint)
		} else {
			application.Remote = append(application.Remote, endpoint)
		}
	}
	for _, application := range t.Applications {
		slices.SortFunc(application.Local, byID)
		slices.SortFunc(application.Remote, byID)
	}
}

func byID(a, b *Endpoint) int {
	return strings.Compare(a.Target.EndpointID, b.Target.EndpointID)
}

// SetReport applies a report of an endpoint. Reports of unknown endpoints and of
// other incarnations than the listed one are ignored.
func (t *Table) SetReport(endpointID string, report *driver.Report, now time.Time) {
	endpoint := t.Endpoints[endpointID]
	if endpoint == nil || isOtherIncarnation(endpoint, report) {
		return
	}
	application := t.Application(endpoint.Application)
	before, hadReport := endpoint.Role, !endpoint.ReportedAt.IsZero()
	endpoint.setReport(report, now)
	if hadReport && endpoint.Role != before {
		application.noteRoleChange(now)
	}
	prefixes := &application.Prefixes
	if report.CacheEventsLost {
		prefixes.LowerConfidence(endpoint)
	}
	for _, event := range report.CacheEvents {
		if event.Evicted {
			prefixes.Evict(event.PrefixKey, endpoint)
		} else {
			prefixes.Store(event.PrefixKey, endpoint, event.Tokens, now)
		}
	}
}

func isOtherIncarnation(endpoint *Endpoint, report *driver.Report) bool {
	return report.Incarnation != "" && endpoint.Target.Incarnation != "" &&
		report.Incarnation != endpoint.Target.Incarnation
}

// SetPeerLoad replaces a peer's absolute loads by endpoint; endpoints that are
// left out have none. hosts is the number of hosts whose loads these are.
func (t *Table) SetPeerLoad(peerID string, hosts int, loads map[string]Load, now time.Time) {
	before := t.Peers[peerID].Loads
	for id, load := range before {
		if endpoint := t.Endpoints[id]; endpoint != nil {
			endpoint.Peers = endpoint.Peers.Minus(load)
		}
	}
	for id, load := range loads {
		if endpoint := t.Endpoints[id]; endpoint != nil {
			endpoint.Peers = endpoint.Peers.Plus(load)
			endpoint.UsedAt = now
		}
	}
	t.Peers[peerID] = Peer{Hosts: hosts, Loads: loads, ReceivedAt: now}
}

// PeerHosts returns how many other hosts give work, according to their updates.
func (t *Table) PeerHosts() (hosts int) {
	for _, peer := range t.Peers {
		hosts += peer.Hosts
	}
	return hosts
}

// peerLoad returns the sum of the loads that peers have at an endpoint.
func (t *Table) peerLoad(endpointID string) (sum Load) {
	for _, peer := range t.Peers {
		sum = sum.Plus(peer.Loads[endpointID])
	}
	return sum
}

// Tick decays corrections, demand and usage, and removes peers without recent
// updates.
func (t *Table) Tick(now time.Time) {
	for id, peer := range t.Peers {
		if now.Sub(peer.ReceivedAt) > peerTimeout {
			t.SetPeerLoad(id, 0, nil, now)
			delete(t.Peers, id)
		}
	}
	for _, application := range t.Applications {
		application.tick(t.tickedAt, now)
	}
	t.tickedAt = now
	for _, class := range t.Classes {
		class.decay(now)
	}
	for name, tenant := range t.Tenants {
		if tenant.decay(now) {
			delete(t.Tenants, name)
		}
	}
	if t.isUnreadSinceTick {
		t.isStale = true
		return
	}
	t.summarise(now)
	t.isUnreadSinceTick = true
}

// tick updates the endpoints in one pass. Most endpoints of a large application
// are idle as far as this host knows.
func (a *Application) tick(lastTick, now time.Time) {
	inUse := EngineUse{at: now}
	for i := range a.Len() {
		endpoint := a.At(i)
		endpoint.refreshMachine(now)
		if endpoint.isIdle() {
			continue
		}
		endpoint.decay(now)
		endpoint.Recent = Load{}
		if !endpoint.Own.IsZero() || !endpoint.Peers.IsZero() {
			endpoint.UsedAt = now
		}
		endpoint.recordLoad(lastTick, now)
		inUse.add(endpoint)
	}
	a.Demand.decay(now)
	a.EngineUse.observe(inUse)
}
