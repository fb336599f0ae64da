package lister

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

const (
	// reregistrationGrace is how long an entry may be missing after an outage of the
	// store: endpoints write theirs again within about two seconds.
	reregistrationGrace = 2 * time.Second
	// removalDelayShare is the share of the drain time for which an endpoint stays
	// listed after its entry is removed and it has not announced that it leaves. It
	// may be leaving, and then serves for the drain time; or its entry has expired and
	// is written again. The rest of the drain time is for receiving the change, which
	// takes up to 400 ms, and for requests in progress.
	removalDelayShare = 0.5
	// outageRemovalMargin is the part of the drain time that is left for receiving the
	// removal and for the next Tick, where an endpoint stays listed for longer after an
	// outage of the store.
	outageRemovalMargin = 180 * time.Millisecond
	// removedRetention is how long the last state of an endpoint is kept once it is
	// not listed any more. Delayed entries arrive within seconds: when a network
	// partition ends, or 6 s after they were sent if the store delays them.
	removedRetention = time.Minute
	// restoredEntryHold is how long an entry is not used that was removed and is back in a
	// later era of the store, since the copy may be older than the removal. The store
	// removes the entry of an ended process again after some seconds.
	restoredEntryHold = 5 * time.Second
	// contestedTime and contestedEntries are for how long, and how many times, an endpoint has to report
	// itself before its entries replace a known state that claims to be later than they are. Delayed
	// entries arrive over a shorter time.
	contestedTime    = 8 * time.Second
	contestedEntries = 4
	// maxInvalidLogged limits how many invalid entries are remembered as logged.
	maxInvalidLogged = 256
)

// errMissingStartTime means that an entry has no start time although an earlier
// entry of the endpoint had one.
var errMissingStartTime = errors.New("start time of the process is missing")

// removedHost is an endpoint that is not listed any more.
type removedHost struct {
	last      provider.Host // as last listed
	removedAt time.Time     // from the list
	era       int64         // of the store, when the entry was removed
}

// missingEntry is the removed entry of an endpoint that is still listed.
type missingEntry struct {
	removed     provider.Period
	isAnnounced bool  // the endpoint had announced that it was leaving
	era         int64 // of the store, when the entry was removed
}

// heldEntry is an entry that is not used yet.
type heldEntry struct {
	entry provider.Entry
	host  provider.Host // decoded
	until time.Time
}

// contestedState is a series of entries of one process that were ignored because the known state claims to be
// later.
type contestedState struct {
	since, lastAt time.Time
	entries       int
	last          provider.Host
}

// RegistrationsConfig configures Registrations.
type RegistrationsConfig struct {
	Prefix string // of the keys; followed by the endpoint's id
	Decode func(provider.Entry) (provider.Host, error)
	// DrainTime is how long an endpoint continues to serve after its entry states
	// that it is leaving, or is removed.
	DrainTime time.Duration
	// IsLeaving returns true for a process that has itself signaled that it is
	// leaving, whatever its entry states; nil: none has.
	IsLeaving func(process driver.Process) bool
	// OnChange is called with each change of the list.
	OnChange func(change ListChange, now time.Time)
	Logger   hclog.Logger
}

// ListChange is a change of the list of endpoints.
type ListChange struct {
	// Hosts are the new and changed endpoints, or all endpoints if IsSnapshot is true.
	Hosts      []provider.Host
	Removed    []string // ids; may contain endpoints that were never listed
	IsSnapshot bool
	// Held are endpoints that this host does not use yet, and others may.
	Held []provider.Host
}

// Registrations is the list of endpoints that register themselves in the platform's
// store, each under its own key. It implements follower.Sink and is safe for
// concurrent use.
type Registrations struct {
	cfg RegistrationsConfig

	publishMu sync.Mutex // keeps changes in order; locked before mu

	mu              sync.Mutex
	hosts           map[string]provider.Host
	missing         map[string]missingEntry // endpoints whose entry is removed
	removed         map[string]removedHost  // last states of endpoints that are not listed any more
	held            map[string]heldEntry    // restored entries of removed endpoints
	contested       map[string]contestedState
	era             int64           // latest one of the store
	invalid         map[string]bool // listed endpoints whose current entry is invalid
	storeRegainedAt time.Time
	isSynced        bool
	changingRole    map[string]bool       // engines whose role this host is changing
	peerReports     map[string]peerReport // peers' reports that an endpoint takes no work
	loggedInvalid   map[string]int64      // revisions of invalid entries that are logged, by id
}

// NewRegistrations returns an empty list.
func NewRegistrations(cfg RegistrationsConfig) *Registrations {
	if cfg.IsLeaving == nil {
		cfg.IsLeaving = func(driver.Process) bool { return false }
	}
	return &Registrations{
		cfg: cfg, hosts: map[string]provider.Host{}, missing: map[string]missingEntry{},
		removed: map[string]removedHost{}, held: map[string]heldEntry{}, contested: map[string]contestedState{}, invalid: map[string]bool{},
		changingRole: map[string]bool{}, peerReports: map[string]peerReport{}, loggedInvalid: map[string]int64{},
	}
}

// HasSynced reports whether the store has been read.
func (r *Registrations) HasSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSynced
}

// StoreRegained records that the store answers again after an outage.
func (r *Registrations) StoreRegained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRegainedAt = now
}

// StoreRestored records that the store has come back from an older copy, in a new era. It
// has to be called before the entries of that era are applied.
func (r *Registrations) StoreRestored(era int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era, r.storeRegainedAt = era, now
}

// Resumed is called after the host was suspended: pending removals take place
// earlier by that time.
func (r *Registrations) Resumed(suspended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.missing {
		m.removed.Earliest, m.removed.Latest = m.removed.Earliest.Add(-suspended), m.removed.Latest.Add(-suspended)
		r.missing[id] = m
	}
	r.storeRegainedAt = r.storeRegainedAt.Add(-suspended)
}

// Replace replaces all entries. made is when those that are missing were removed.
func (r *Registrations) Replace(entries []provider.Entry, made provider.Period, now time.Time) {
	r.mu.Lock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[r.applyEntry(entry, now)] = true
	}
	for id := range r.hosts {
		if !listed[id] {
			r.markMissing(id, made, now)
		}
	}
	maps.DeleteFunc(r.held, func(id string, _ heldEntry) bool { return !listed[id] })
	r.mu.Unlock()
	r.publishAll(now)
	// Set only after the list is published: a host that reported itself ready in
	// between would refuse its first requests as if there were no endpoints.
	r.mu.Lock()
	r.isSynced = true
	r.mu.Unlock()
}

// Apply applies one change.
func (r *Registrations) Apply(change provider.Change, now time.Time) {
	id := strings.TrimPrefix(change.Entry.Key, r.cfg.Prefix)
	r.mu.Lock()
	r.era = max(r.era, provider.EraOf(change.Entry.Revision))
	if change.Deleted {
		// The endpoint's drain time does not depend on when a host receives the removal.
		removed := provider.Period{Earliest: now.Add(-max(change.Age, change.MaxAge)), Latest: now.Add(-change.Age)}
		r.markMissing(id, removed, now)
		delete(r.held, id)
	} else {
		r.applyEntry(change.Entry, now)
	}
	r.mu.Unlock()
	r.publish(now, id)
}

// Tick removes endpoints whose entries have been missing for too long. It has to be
// called several times a second.
func (r *Registrations) Tick(now time.Time) {
	r.mu.Lock()
	var changed []string
	lapsed := r.lapsedApplications()
	for id, m := range r.missing {
		if !now.Before(r.listedUntil(m, lapsed[r.hosts[id].Application])) {
			r.cfg.Logger.Info("endpoint removed from the list", "endpoint_id", id)
			r.removed[id] = removedHost{last: r.hosts[id], removedAt: now, era: m.era}
			delete(r.missing, id)
			delete(r.hosts, id)
			delete(r.invalid, id)
			changed = append(changed, id)
		}
	}
	for id, host := range r.removed {
		if now.Sub(host.removedAt) > removedRetention {
			delete(r.removed, id)
		}
	}
	maps.DeleteFunc(r.contested, func(_ string, c contestedState) bool { return now.Sub(c.lastAt) > contestedTime })
	for id, h := range r.held {
		if !now.Before(h.until) {
			r.release(id)
			changed = append(changed, id)
		}
	}
	for id, report := range r.peerReports {
		if now.Sub(report.receivedAt) > peerReportTTL {
			delete(r.peerReports, id)
			changed = append(changed, id)
		}
	}
	r.mu.Unlock()
	r.publish(now, changed...)
}

// hold keeps an entry unused for restoredEntryHold from when it was first seen.
func (r *Registrations) hold(id string, entry provider.Entry, host provider.Host, now time.Time) {
	if _, isHeld := r.held[id]; isHeld {
		return
	}
	r.cfg.Logger.Info("holding a restored entry of a removed endpoint", "endpoint_id", id, "revision", entry.Revision,
		"hold_ms", restoredEntryHold.Milliseconds())
	r.held[id] = heldEntry{entry: entry, host: host, until: now.Add(restoredEntryHold)}
}

// release uses a held entry. What was known of the endpoint before no longer counts.
func (r *Registrations) release(id string) {
	entry := r.held[id].entry
	delete(r.held, id)
	delete(r.removed, id)
	delete(r.missing, id)
	delete(r.hosts, id)
	r.applyEntry(entry, time.Time{})
}

// applyEntry applies one entry and returns its endpoint's id.
func (r *Registrations) applyEntry(entry provider.Entry, now time.Time) (id string) {
	id = strings.TrimPrefix(entry.Key, r.cfg.Prefix)
	host, err := r.cfg.Decode(entry)
	before, isKnown := r.hosts[id]
	isContested := err == nil && r.isContested(&host, now)
	if err == nil && host.StartedAt == 0 && before.StartedAt != 0 && !isContested {
		err = errMissingStartTime
	}
	if err != nil {
		r.markInvalid(id, &entry, err)
		return id
	}
	host.Revision = entry.Revision
	r.era = max(r.era, provider.EraOf(entry.Revision))
	if r.isRestored(&host) {
		r.hold(id, entry, host, now)
		return id
	}
	if r.isStale(&host) && !isContested {
		r.cfg.Logger.Info("ignored a stale entry of an endpoint", "endpoint_id", id, "revision", entry.Revision,
			"born", host.StartedAt, "sequence", host.Sequence, "state", host.State, "known_state", before.State, "listed", isKnown)
		return id
	}
	r.hosts[id] = host
	delete(r.missing, id)
	delete(r.removed, id)
	delete(r.held, id)
	delete(r.invalid, id)
	delete(r.contested, id)
	if isContested {
		r.cfg.Logger.Warn("entries of an endpoint replace a state that claimed to be later", "endpoint_id", id, "revision", entry.Revision,
			"born", host.StartedAt, "sequence", host.Sequence, "known_born", before.StartedAt, "known_sequence", before.Sequence)
	}
	if !isKnown || before != host {
		r.cfg.Logger.Info("endpoint registered", "endpoint_id", id, "application", host.Application, "address", host.Address,
			"zone", host.Zone, "state", host.State, "role", host.Role, "software_version", host.SoftwareVersion, "revision", entry.Revision)
	}
	return id
}

// markInvalid records an invalid entry. If its endpoint is listed, it counts as
// leaving until a valid entry arrives.
func (r *Registrations) markInvalid(id string, entry *provider.Entry, err error) {
	_, isKnown := r.hosts[id]
	if isKnown {
		r.invalid[id] = true
	}
	if r.loggedInvalid[id] == entry.Revision && entry.Revision != 0 {
		return // already logged
	}
	if len(r.loggedInvalid) >= maxInvalidLogged {
		clear(r.loggedInvalid)
	}
	r.loggedInvalid[id] = entry.Revision
	r.cfg.Logger.Error("invalid registration of an endpoint", "key", entry.Key, "revision", entry.Revision,
		"was_known", isKnown, "error", err)
}

// isStale reports whether an entry is older than the known state: from an earlier
// start of the endpoint, or earlier in the sequence of the same process. The store's
// revisions do not show this, since a write can be delayed on its way: three
// processes that had crashed behind a network partition were listed as ready again
// by their own earlier entries, 3.7 s after their entries had been removed and for
// 3.6 s, and a leaving process would be given work again. The last states of removed
// endpoints are kept for this check.
func (r *Registrations) isStale(host *provider.Host) bool {
	known, isListed := r.hosts[host.ID]
	if !isListed {
		known = r.removed[host.ID].last // zero start time and sequence if there is none
	}
	return isEarlier(host, &known)
}

// isEarlier reports whether a state of an endpoint is from an earlier start than another one, or earlier in
// the sequence of the same process.
func isEarlier(host, other *provider.Host) bool {
	if host.StartedAt != other.StartedAt {
		return host.StartedAt < other.StartedAt
	}
	return host.Sequence < other.Sequence
}

// isContested records an entry that is older than the known state. It returns true once a process has reported
// itself for so long that the known state can't be its own, or that of a later process.
func (r *Registrations) isContested(host *provider.Host, now time.Time) bool {
	if !r.isStale(host) {
		return false
	}
	c, ok := r.contested[host.ID]
	if !ok || host.StartedAt != c.last.StartedAt || host.Sequence < c.last.Sequence {
		c = contestedState{since: now}
	}
	if c.entries == 0 || host.Sequence > c.last.Sequence { // the same entry may be read again
		c.lastAt, c.last = now, *host
		c.entries++
		r.contested[host.ID] = c
	}
	return c.entries >= contestedEntries && now.Sub(c.since) >= contestedTime
}

// isRestored reports whether an entry was removed in an earlier era of the store, and
// nothing in it is newer than the removed one. A process that had announced that it was
// leaving does not count: its entry is stale.
func (r *Registrations) isRestored(host *provider.Host) bool {
	last, era := r.removed[host.ID].last, r.removed[host.ID].era
	if m, isMissing := r.missing[host.ID]; isMissing {
		last, era = r.hosts[host.ID], m.era
	} else if _, isListed := r.hosts[host.ID]; isListed || last.ID == "" {
		return false
	}
	return era < provider.EraOf(host.Revision) && host.StartedAt == last.StartedAt && host.Sequence <= last.Sequence &&
		last.State == provider.HostLive
}

// markMissing records that an endpoint's entry was removed. An endpoint that has
// announced that it is leaving is removed from the list at once.
func (r *Registrations) markMissing(id string, removed provider.Period, now time.Time) {
	host, ok := r.hosts[id]
	if !ok {
		return
	}
	if _, isMissing := r.missing[id]; isMissing {
		return
	}
	m := missingEntry{removed: removed, isAnnounced: host.State != provider.HostLive || r.isLeaving(&host), era: r.era}
	r.missing[id] = m
	r.cfg.Logger.Info("endpoint's entry is missing from the store", "endpoint_id", id, "state", host.State,
		"removed_ago_ms", now.Sub(removed.Latest).Milliseconds(), "removed_ago_max_ms", now.Sub(removed.Earliest).Milliseconds(),
		"listed_for_ms", max(r.listedUntil(m, false).Sub(now), 0).Milliseconds())
}

// lapsedApplications returns the applications of whose endpoints at least half have no entry. After
// an outage of the store their entries have lapsed rather than been removed.
func (r *Registrations) lapsedApplications() map[string]bool {
	if len(r.missing) == 0 {
		return nil
	}
	listed, missing, lapsed := map[string]int{}, map[string]int{}, map[string]bool{}
	for id := range r.hosts {
		application := r.hosts[id].Application
		listed[application]++
		if _, isMissing := r.missing[id]; isMissing {
			missing[application]++
		}
		lapsed[application] = 2*missing[application] >= listed[application]
	}
	return lapsed
}

// listedUntil returns until when an endpoint without an entry stays listed. isLapsed says whether
// its entry would have lapsed in an outage of the store.
func (r *Registrations) listedUntil(m missingEntry, isLapsed bool) time.Time {
	if m.isAnnounced {
		return m.removed.Earliest
	}
	until := m.removed.Earliest.Add(time.Duration(float64(r.cfg.DrainTime) * removalDelayShare))
	if !isLapsed {
		return until
	}
	latest, graceEnd := m.removed.Latest.Add(r.cfg.DrainTime-outageRemovalMargin), r.storeRegainedAt.Add(reregistrationGrace)
	if graceEnd.After(latest) {
		graceEnd = latest
	}
	if graceEnd.After(until) {
		return graceEnd
	}
	return until
}

// Hosts returns the endpoints with their effective states, in no particular order.
func (r *Registrations) Hosts() (hosts []provider.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts = make([]provider.Host, 0, len(r.hosts))
	for _, host := range r.hosts {
		hosts = append(hosts, r.effective(host))
	}
	return hosts
}

// effective returns an endpoint with its state by all sources, not only its entry.
func (r *Registrations) effective(host provider.Host) provider.Host {
	if r.changingRole[host.ID] || r.invalid[host.ID] || r.isLeavingByPeer(&host) || r.isLeaving(&host) {
		host.State = provider.HostLeaving
	}
	return host
}

// isLeavingByPeer reports whether a peer has reported that this very process takes
// no work.
func (r *Registrations) isLeavingByPeer(host *provider.Host) bool {
	report, ok := r.peerReports[host.ID]
	return ok && report.incarnation == host.Incarnation
}

// isLeaving reports whether the process has signaled in its answers that it is
// leaving.
func (r *Registrations) isLeaving(host *provider.Host) bool {
	return r.cfg.IsLeaving(driver.Process{EndpointID: host.ID, Incarnation: host.Incarnation})
}

// Refresh publishes some endpoints again, after their processes have signaled that
// they are leaving.
func (r *Registrations) Refresh(ids ...string) { r.publish(time.Now(), ids...) }

// Find returns an endpoint as registered, or as leaving if its process has signaled
// so. Changes of role, reports of peers and invalid entries do not count.
func (r *Registrations) Find(id string) (host provider.Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	host, ok = r.hosts[id]
	if ok && r.isLeaving(&host) {
		host.State = provider.HostLeaving
	}
	return host, ok
}

// Registered returns the live endpoints as registered. An endpoint that changes its
// role is included; one that has announced that it is leaving, or whose entry is
// removed, is not.
func (r *Registrations) Registered() (hosts []provider.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, host := range r.hosts {
		if _, isMissing := r.missing[id]; !isMissing && host.State == provider.HostLive && !r.isLeaving(&host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// SetChangingRole sets the engines whose role this host is changing.
func (r *Registrations) SetChangingRole(ids []string) {
	r.mu.Lock()
	changed := slices.Collect(maps.Keys(r.changingRole))
	clear(r.changingRole)
	for _, id := range ids {
		r.changingRole[id] = true
	}
	r.mu.Unlock()
	r.publish(time.Now(), append(changed, ids...)...)
}

// Leaving returns the endpoints that take no work because this host changes their
// role, to be sent to peers.
func (r *Registrations) Leaving() (leaving []exchanger.LeavingEndpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.changingRole {
		if host, ok := r.hosts[id]; ok {
			leaving = append(leaving, exchanger.LeavingEndpoint{EndpointID: id, Incarnation: host.Incarnation})
		}
	}
	return leaving
}

// ApplyLeaving records a peer's report. It is valid for peerReportTTL unless repeated.
func (r *Registrations) ApplyLeaving(leaving []exchanger.LeavingEndpoint, now time.Time) {
	if len(leaving) == 0 {
		return
	}
	r.mu.Lock()
	var changed []string
	for _, endpoint := range leaving {
		if r.peerReports[endpoint.EndpointID].incarnation != endpoint.Incarnation {
			changed = append(changed, endpoint.EndpointID)
		}
		r.peerReports[endpoint.EndpointID] = peerReport{incarnation: endpoint.Incarnation, receivedAt: now}
	}
	r.mu.Unlock()
	r.publish(now, changed...)
}

// publish passes the current state of some endpoints to OnChange.
func (r *Registrations) publish(now time.Time, ids ...string) {
	if len(ids) == 0 {
		return
	}
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	var change ListChange
	r.mu.Lock()
	for _, id := range ids {
		if h, isHeld := r.held[id]; isHeld {
			change.Held = append(change.Held, h.host)
		}
		if host, ok := r.hosts[id]; ok {
			change.Hosts = append(change.Hosts, r.effective(host))
		} else {
			change.Removed = append(change.Removed, id)
		}
	}
	r.mu.Unlock()
	r.cfg.OnChange(change, now)
}

// publishAll passes the whole list to OnChange.
func (r *Registrations) publishAll(now time.Time) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	change := ListChange{Hosts: r.Hosts(), IsSnapshot: true}
	r.mu.Lock()
	for _, h := range r.held {
		change.Held = append(change.Held, h.host)
	}
	r.mu.Unlock()
	r.cfg.OnChange(change, now)
}
