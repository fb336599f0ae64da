// Package cachesharer shares between hosts which prompts the engines have cached: a
// few hosts watch each engine and publish its events to the others.
//
// An engine accepts a bounded number of calls that wait for events. When each host
// watched each engine, 195 hosts and 59 engines made 177,513 calls in 9 s for 14,762
// requests, nearly all refused or answered at once, and 0.28 GB crossed between
// zones in 23 s.
//
// There are two kinds of updates. The first states that a part of prompts is shared.
// The first host that dispatches a prompt that begins with the part publishes it,
// because an engine's events don't distinguish parts that prompts share from the
// rest of one prompt. The second states what an engine has cached of the shared
// parts; the hosts that watch the engine publish it. Updates take the same route as
// loads (package exchanger): from a host to its hubs, from a zone to the hubs of other
// zones, and all of them from the hubs to the hosts of their zone.
//
// Updates may arrive twice, late, or by two routes. Each states the engine's event
// number that it is based on, and for each part the highest number wins. A host
// without updates about an engine routes by the prompts that it has sent there
// itself, and by the home engines of prefixes, which all hosts compute alike.
//
// # Usage
//
//	s := cachesharer.New(cachesharer.Config{OnEvents: sch.ApplyCacheEvents})
//	s.SetTargets(engines)                   // at each change of the list
//	s.AddSharedParts(parts)                 // of a prompt that is dispatched
//	s.ApplyEvents(target, events, isSnapshot) // from package cachewatcher
//	updates, position := s.Updates(position, exchanger.ScopeOwn) // for peers
//	s.Merge(updates, isOwnZone)             // from peers
package cachesharer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

const (
	// maxShared bounds each of the two generations of shared parts that a host remembers. A
	// fleet of the size above uses some hundred long prefixes at a time.
	maxShared = 16384
	// maxLog is the number of updates kept for peers that are behind, at about 100 bytes each.
	// A peer that is further behind is sent the full state.
	maxLog = 8192
	// maxUpdateParts bounds the parts of one update, so that a message can be bounded by its
	// number of updates.
	maxUpdateParts = 64
	// maxViews bounds the engine processes that are remembered, listed or not.
	maxViews = 4096
	// fullLogInterval is the least time between two log lines about engines beyond maxViews.
	fullLogInterval = 10 * time.Second
)

// Config configures a Sharer.
type Config struct {
	// OnEvents receives changes of the parts that an engine has cached.
	OnEvents func(target driver.Target, events driver.CacheEvents, isSnapshot bool)
	Logger   hclog.Logger
}

// process identifies an engine's process.
type process struct {
	endpointID  string
	incarnation string
}

// engineView is what is known of the cache of an engine's process.
type engineView struct {
	eventNumber int64                 // highest event number of the engine received
	parts       map[string]cachedPart // shared parts, by id
	origin      exchanger.Scope       // the narrowest scope of its sources
	// allParts holds the tokens of all parts that the engine has cached, shared or not; nil if
	// this host does not watch it.
	allParts map[string]int
}

// cachedPart is how much of a part an engine has cached.
type cachedPart struct {
	tokens      int   // 0: evicted
	eventNumber int64 // of the engine's event
}

// Sharer holds what engines have cached, and the updates about it for the peers. It is safe
// for concurrent use.
type Sharer struct {
	cfg Config

	mu           sync.Mutex
	listed       map[process]driver.Target
	incarnations map[string]string // of the listed processes, by engine id
	views        map[process]*engineView
	shared       generations
	log          exchanger.UpdateLog[exchanger.CacheUpdate]
	fullLoggedAt time.Time // when logFull last logged
}

// New creates an empty Sharer.
func New(cfg Config) *Sharer {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Sharer{
		cfg: cfg, listed: map[process]driver.Target{}, incarnations: map[string]string{}, views: map[process]*engineView{},
		shared: newGenerations(maxShared), log: exchanger.NewUpdateLog[exchanger.CacheUpdate](maxLog),
	}
}

// SetTargets sets the listed engine processes. Updates received about a process before it was
// listed take effect now; the views of processes that are no longer listed are dropped.
func (s *Sharer) SetTargets(targets []driver.Target) {
	s.mu.Lock()
	before := s.listed
	s.listed = make(map[process]driver.Target, len(targets))
	s.incarnations = make(map[string]string, len(targets))
	var deliveries []delivery
	for _, target := range targets {
		p := process{target.EndpointID, target.Incarnation}
		s.listed[p] = target
		s.incarnations[target.EndpointID] = target.Incarnation
		_, wasListed := before[p]
		if v := s.views[p]; v != nil && !wasListed {
			deliveries = append(deliveries, delivery{target, driver.CacheEvents{Changes: v.changes()}, true})
		}
	}
	for p := range before {
		if _, isListed := s.listed[p]; !isListed {
			delete(s.views, p)
		}
	}
	s.mu.Unlock()
	s.deliver(deliveries)
}

// UpdateTargets adds new or changed engine processes, and removes engines by id.
func (s *Sharer) UpdateTargets(targets []driver.Target, removed []string) {
	s.mu.Lock()
	var deliveries []delivery
	for _, id := range removed {
		s.unlistLocked(id)
	}
	for _, target := range targets {
		p := process{target.EndpointID, target.Incarnation}
		if _, wasListed := s.listed[p]; !wasListed {
			s.unlistLocked(target.EndpointID)
			if v := s.views[p]; v != nil {
				deliveries = append(deliveries, delivery{target, driver.CacheEvents{Changes: v.changes()}, true})
			}
		}
		s.listed[p] = target
		s.incarnations[target.EndpointID] = target.Incarnation
	}
	s.mu.Unlock()
	s.deliver(deliveries)
}

// unlistLocked drops the state of an engine's listed process.
func (s *Sharer) unlistLocked(endpointID string) {
	incarnation, ok := s.incarnations[endpointID]
	if !ok {
		return
	}
	p := process{endpointID, incarnation}
	delete(s.listed, p)
	delete(s.views, p)
	delete(s.incarnations, endpointID)
}

// SetWatched sets the engine processes that this host watches. For all others it drops the
// state that only a watcher needs.
func (s *Sharer) SetWatched(targets []driver.Target) {
	watched := make(map[process]bool, len(targets))
	for _, target := range targets {
		watched[process{target.EndpointID, target.Incarnation}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, v := range s.views {
		if !watched[p] {
			v.allParts = nil
		}
	}
}

// delivery holds the arguments of one call of Config.OnEvents.
type delivery struct {
	target     driver.Target
	events     driver.CacheEvents
	isSnapshot bool
}

// deliver calls Config.OnEvents. s.mu must not be held, because the scheduler calls
// AddSharedParts with its own lock held.
func (s *Sharer) deliver(deliveries []delivery) {
	for _, d := range deliveries {
		s.cfg.OnEvents(d.target, d.events, d.isSnapshot)
	}
}

// changes returns all shared parts that the engine has cached.
func (v *engineView) changes() (changes []driver.CacheChange) {
	for id, k := range v.parts {
		if k.tokens > 0 {
			changes = append(changes, driver.CacheChange{PartID: id, Tokens: k.tokens})
		}
	}
	return changes
}

// viewLocked returns a process's view, and creates it on first use; nil if there are too many.
func (s *Sharer) viewLocked(p process) *engineView {
	v := s.views[p]
	if v == nil {
		if len(s.views) >= maxViews {
			s.dropUnlistedLocked()
		}
		if len(s.views) >= maxViews {
			s.logFull(p)
			return nil
		}
		v = &engineView{parts: map[string]cachedPart{}, origin: exchanger.ScopeAll}
		s.views[p] = v
	}
	return v
}

// logFull logs, at most once per fullLogInterval, that updates about engines are ignored.
func (s *Sharer) logFull(p process) {
	now := time.Now()
	if now.Sub(s.fullLoggedAt) < fullLogInterval {
		return
	}
	s.fullLoggedAt = now
	s.cfg.Logger.Warn("cache updates ignored: too many engine processes", "engines", len(s.views), "endpoint_id", p.endpointID)
}

func (s *Sharer) dropUnlistedLocked() {
	for p := range s.views {
		if _, isListed := s.listed[p]; !isListed {
			delete(s.views, p)
		}
	}
}

// AddSharedParts records the parts that a dispatched prompt shares with others.
func (s *Sharer) AddSharedParts(parts []tracker.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []exchanger.CachePart
	for _, part := range parts {
		if s.shared.add(part.ID, exchanger.ScopeOwn) {
			added = append(added, exchanger.CachePart{ID: part.ID})
		}
	}
	if len(added) > 0 {
		s.logLocked(exchanger.CacheUpdate{Parts: added}, exchanger.ScopeOwn)
		s.logSharedLocked(added)
	}
}

// logSharedLocked logs updates with what the watched engines have cached of parts that have
// just become known as shared.
func (s *Sharer) logSharedLocked(added []exchanger.CachePart) {
	for p, v := range s.views {
		var parts []exchanger.CachePart
		for _, part := range added {
			if tokens := v.allParts[part.ID]; tokens > 0 {
				parts = append(parts, exchanger.CachePart{ID: part.ID, Tokens: tokens})
				v.parts[part.ID] = cachedPart{tokens, v.eventNumber}
			}
		}
		if len(parts) > 0 {
			s.logLocked(updateFor(p, v, parts), exchanger.ScopeOwn)
		}
	}
}

func updateFor(p process, v *engineView, parts []exchanger.CachePart) exchanger.CacheUpdate {
	return exchanger.CacheUpdate{EndpointID: p.endpointID, Incarnation: p.incarnation, EventNumber: v.eventNumber, Parts: parts}
}

// ApplyEvents applies the events of an engine that this host watches. isSnapshot means that
// they list everything that the engine has cached.
func (s *Sharer) ApplyEvents(target driver.Target, events driver.CacheEvents, isSnapshot bool) {
	p := process{target.EndpointID, target.Incarnation}
	s.mu.Lock()
	v := s.viewLocked(p)
	if v == nil {
		s.mu.Unlock()
		return
	}
	if v.allParts == nil || isSnapshot {
		v.allParts = make(map[string]int, len(events.Changes))
	}
	v.eventNumber, v.origin = max(v.eventNumber, events.Next), exchanger.ScopeOwn
	if isSnapshot {
		clear(v.parts)
	}
	var parts []exchanger.CachePart
	for _, change := range events.Changes {
		if change.Tokens > 0 {
			v.allParts[change.PartID] = change.Tokens
		} else {
			delete(v.allParts, change.PartID)
		}
		if s.shared.has(change.PartID) {
			v.parts[change.PartID] = cachedPart{change.Tokens, events.Next}
			parts = append(parts, exchanger.CachePart{ID: change.PartID, Tokens: change.Tokens})
		}
	}
	if len(parts) > 0 || isSnapshot {
		update := updateFor(p, v, parts)
		update.IsSnapshot = isSnapshot
		s.logLocked(update, exchanger.ScopeOwn)
	}
	s.mu.Unlock()
	s.deliver([]delivery{{target, events, isSnapshot}})
}

// Merge merges updates of a peer. New ones are relayed to the peers that do not receive them
// from their sender.
func (s *Sharer) Merge(updates []exchanger.CacheUpdate, isOwnZone bool) {
	origin := exchanger.ScopeAll
	if isOwnZone {
		origin = exchanger.ScopeZone
	}
	s.mu.Lock()
	var deliveries []delivery
	for _, update := range updates {
		if update.EndpointID == "" {
			s.applySharedLocked(update, origin)
		} else if d, ok := s.applyViewLocked(update, origin); ok {
			deliveries = append(deliveries, d)
		}
	}
	s.mu.Unlock()
	s.deliver(deliveries)
}

func (s *Sharer) applySharedLocked(update exchanger.CacheUpdate, origin exchanger.Scope) {
	var added []exchanger.CachePart
	for _, part := range update.Parts {
		if s.shared.add(part.ID, origin) {
			added = append(added, part)
		}
	}
	if len(added) > 0 {
		s.logLocked(exchanger.CacheUpdate{Parts: added}, origin)
		s.logSharedLocked(added)
	}
}

// applyViewLocked applies an update about an engine. ok is false if it has nothing new about a
// listed process.
func (s *Sharer) applyViewLocked(update exchanger.CacheUpdate, origin exchanger.Scope) (d delivery, ok bool) {
	p := process{update.EndpointID, update.Incarnation}
	v := s.viewLocked(p)
	if v == nil || v.allParts != nil {
		return d, false // this host watches the engine itself
	}
	isSnapshot := update.IsSnapshot && update.EventNumber > v.eventNumber
	if isSnapshot {
		clear(v.parts)
	}
	var changed []exchanger.CachePart
	for _, part := range update.Parts {
		if s.isNewLocked(v, part, update.EventNumber) {
			v.parts[part.ID] = cachedPart{part.Tokens, update.EventNumber}
			changed = append(changed, part)
		}
	}
	v.eventNumber, v.origin = max(v.eventNumber, update.EventNumber), min(v.origin, origin)
	if len(changed) == 0 && !isSnapshot {
		return d, false
	}
	update.Parts, update.IsSnapshot = changed, isSnapshot
	s.logLocked(update, origin)
	target, ok := s.listed[p]
	events := driver.CacheEvents{Next: update.EventNumber}
	for _, part := range changed {
		events.Changes = append(events.Changes, driver.CacheChange{PartID: part.ID, Tokens: part.Tokens})
	}
	return delivery{target, events, isSnapshot}, ok
}

// isNewLocked returns false for what is known already, or known from a higher event number.
func (s *Sharer) isNewLocked(v *engineView, part exchanger.CachePart, number int64) bool {
	known, isKnown := v.parts[part.ID]
	if !isKnown {
		return part.Tokens > 0
	}
	return number >= known.eventNumber && part.Tokens != known.tokens
}

func (s *Sharer) logLocked(update exchanger.CacheUpdate, origin exchanger.Scope) {
	for _, piece := range split(update) {
		s.log.Add(piece, origin)
	}
}

// split splits an update with many parts; only the first piece is marked as a snapshot.
func split(update exchanger.CacheUpdate) (updates []exchanger.CacheUpdate) {
	for len(update.Parts) > maxUpdateParts {
		head := update
		head.Parts = update.Parts[:maxUpdateParts]
		updates = append(updates, head)
		update.Parts, update.IsSnapshot = update.Parts[maxUpdateParts:], false
	}
	return append(updates, update)
}

// Updates implements exchanger.Caches.
func (s *Sharer) Updates(after uint64, scope exchanger.Scope) (updates []exchanger.CacheUpdate, position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if updates, ok := s.log.Since(after, scope); ok {
		return updates, s.log.Head()
	}
	return s.snapshotLocked(scope), s.log.Head()
}

// snapshotLocked returns the full state for a peer that has none or is far behind. It includes
// evicted parts, which such a peer may still count as cached. The updates are not marked as
// snapshots, because a host that has just started knows less than the peers that it sends them
// to.
func (s *Sharer) snapshotLocked(scope exchanger.Scope) (updates []exchanger.CacheUpdate) {
	if parts := s.shared.parts(scope); len(parts) > 0 {
		updates = append(updates, split(exchanger.CacheUpdate{Parts: parts})...)
	}
	for p, v := range s.views {
		if v.origin > scope {
			continue
		}
		var parts []exchanger.CachePart
		for id, k := range v.parts {
			parts = append(parts, exchanger.CachePart{ID: id, Tokens: k.tokens})
		}
		if len(parts) > 0 {
			updates = append(updates, split(updateFor(p, v, parts))...)
		}
	}
	return updates
}
