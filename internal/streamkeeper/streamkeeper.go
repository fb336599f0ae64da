package streamkeeper

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/streamkeeper/streamkeeperpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// maxRecords bounds the records of one host, at some 200 bytes each.
	maxRecords = 32 << 10
	// maxLifetime bounds for how long a record is kept.
	maxLifetime = 2 * time.Minute
	// sendDelay is how long streams are collected before they are sent to their keepers.
	sendDelay = 5 * time.Millisecond
	// retryDelay is how long a keeper that has not answered is avoided, and the delay before streams
	// are sent to it again if there is no other one.
	retryDelay = 250 * time.Millisecond
	// maxPending bounds the streams that wait to be sent to one keeper.
	maxPending = 4096
	// recordTimeout and findTimeout bound the calls to a keeper.
	recordTimeout = 500 * time.Millisecond
	findTimeout   = 300 * time.Millisecond
	// confirmTimeout bounds the wait for the platform's store.
	confirmTimeout = 800 * time.Millisecond
	// maxFinds bounds the lookups that run at a time. Callers can cause them with made-up ids.
	maxFinds = 64
	// maxLogsPerSecond bounds the lines about lookups.
	maxLogsPerSecond = 10
)

var (
	// ErrUnknown means that the origin of a stream can't be determined.
	ErrUnknown = errors.New("origin of the stream is not known")
	errBusy    = errors.New("too many lookups of streams")
)

// Config configures a Keeper.
type Config struct {
	HostID string
	Zone   string
	Conn   func(hostID string) (grpc.ClientConnInterface, error)
	// AwaitsHistory is true if SetHistory is going to be called.
	AwaitsHistory bool
	// RemovalDelay is for how long a host may go on using an endpoint that it knows to be removed.
	RemovalDelay time.Duration
	// IsStoreReachable reports whether the platform's store answers this host, as far as it knows.
	IsStoreReachable func() bool
	// Revision returns up to which revision this host has received the platform's changes.
	Revision func() int64
	// Synchronize returns once this Keeper knows all changes of classes and endpoints that the
	// platform's store had accepted when it was called.
	Synchronize func(ctx context.Context) error
	Clock       func() time.Time // includes the time for which the host was suspended
	Meter       Meter
	Logger      hclog.Logger
}

// Meter counts what happens to records of streams.
type Meter interface {
	// CountStreamRecord counts an event of a record or a lookup.
	CountStreamRecord(event string)
}

// Events for a Meter.
const (
	eventSent     = "sent"     // to a keeper
	eventUnsent   = "unsent"   // a keeper did not answer
	eventDropped  = "dropped"  // before its time, since there were too many
	eventRecorded = "recorded" // a lookup that found a record
	eventSingle   = "single"   // a lookup without a record; there is only one origin
	eventUnknown  = "unknown"  // a lookup without a result
	// eventUnsynchronized counts lookups, of this host and of peers, for which the store did not answer in time.
	eventUnsynchronized = "unsynchronized"
)

// Keeper keeps the origins of streams. It is safe for concurrent use.
type Keeper struct {
	cfg    Config
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	group  errgroup.Group
	finds  chan struct{} // holds an element for each lookup
	logs   *rate.Limiter // of lines about lookups, which callers cause

	mu       sync.Mutex
	own      table // streams that this host has begun
	kept     table // streams of all hosts that this host keeps
	views    views
	members  members
	hosts    []Host
	pending  map[string][]*record // by keeper
	isActive map[string]bool      // keepers to which streams are being sent
	avoided  map[string]time.Time // keepers that have not answered, until when
	isClosed bool
	// hadStore is false if the store did not answer this host at the last Tick.
	hadStore bool
	// unconfirmedAt is when the store last failed to confirm this host's view in time.
	unconfirmedAt time.Time
}

// New returns a Keeper without streams.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, finds: make(chan struct{}, maxFinds), logs: rate.NewLimiter(maxLogsPerSecond, maxLogsPerSecond), own: newTable(maxRecords), kept: newTable(maxRecords), views: newViews(cfg.AwaitsHistory), members: members{}, hadStore: true,
		pending: map[string][]*record{}, isActive: map[string]bool{}, avoided: map[string]time.Time{},
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Register serves the calls of other hosts on the peer protocol's server.
func (k *Keeper) Register(registrar grpc.ServiceRegistrar) {
	streamkeeperpb.RegisterStreamKeeperServer(registrar, &service{keeper: k})
}

// Close cancels the calls to other hosts and waits for them.
func (k *Keeper) Close() error {
	k.mu.Lock()
	k.isClosed = true
	k.mu.Unlock()
	k.cancel()
	return k.group.Wait()
}

// SetHosts sets the hosts that may be keepers, this one included.
func (k *Keeper) SetHosts(hosts []Host) {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	isNew := func(h Host) bool { return !slices.Contains(k.hosts, h) }
	hasNew := slices.ContainsFunc(hosts, isNew)
	k.hosts = hosts
	if hasNew {
		k.sendUnsentLocked(now, true)
	}
}

// SetMembers sets up to which revision of the platform's changes the other hosts that are listed have
// received them; 0: not known. Call it several times a second.
func (k *Keeper) SetMembers(listed map[string]int64) {
	now, own := k.cfg.Clock(), k.cfg.Revision()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members.update(listed, now)
	least, leastKnown := k.members.leastRevisions()
	k.views.setMembers(own, least, leastKnown, now.Add(k.cfg.RemovalDelay))
}

// Tick drops records whose time is over, and sends the streams that this host has begun once the store
// no longer answers: hosts that can't synchronize with the store find only what is recorded. Call it
// several times a second.
func (k *Keeper) Tick() {
	now, hasStore := k.cfg.Clock(), k.cfg.IsStoreReachable()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own.trim(now)
	k.kept.trim(now)
	if k.hadStore && !hasStore {
		k.sendUnsentLocked(now, false)
	}
	k.hadStore = hasStore
}

// Resumed must be called after this host was suspended: its view may be old.
func (k *Keeper) Resumed() {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	markMissed(k.views.classes, now)
	markMissed(k.views.versions, now)
}

// ClassesMissed must be called after SetClasses if there may have been other classes in between.
func (k *Keeper) ClassesMissed() {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	markMissed(k.views.classes, now)
	k.sendUnsentLocked(now, true)
}

// SetClasses sets the applications that serve each class.
func (k *Keeper) SetClasses(classes map[string][]string) {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for class, applications := range classes {
		k.views.setClass(class, applications, now)
	}
	k.views.trim(classes, now)
	k.views.hasClasses = true
	k.views.useHistory()
	k.sendUnsentLocked(now, true)
}

// UpdateEndpoints applies changes of the list of endpoints: new and changed ones, and the ids of
// those that were removed. If isSnapshot is true, all others were removed, and changes may have been
// missed since the last call.
func (k *Keeper) UpdateEndpoints(endpoints map[string]Origin, removed []string, isSnapshot bool) {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if isSnapshot {
		for id := range k.views.endpoints {
			if _, ok := endpoints[id]; !ok {
				removed = append(removed, id)
			}
		}
		if k.views.hasEndpoints {
			markMissed(k.views.versions, now)
		}
	}
	for _, id := range removed {
		k.views.removeEndpoint(id, now)
	}
	for id, origin := range endpoints {
		k.views.setEndpoint(id, origin, now)
	}
	k.views.hasEndpoints = k.views.hasEndpoints || isSnapshot
	k.views.useHistory()
	k.sendUnsentLocked(now, true)
}

// History returns what hosts that start have to know if all others have ended.
func (k *Keeper) History() History {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.views.history(now)
}

// SetHistory sets what the hosts before knew; nil: there were none, or they kept nothing. What later calls add
// counts as well.
func (k *Keeper) SetHistory(history *History) {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.views.setHistory(history, now)
	k.sendUnsentLocked(now, true)
}

// Count returns the number of records that this host keeps for all hosts.
func (k *Keeper) Count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept.order.Len()
}

// Begin records the origin of a stream, whose caller may take it up for the given time; 0: not
// known. It does not block. A stream without a RequestID is not recorded: all those would be one.
func (k *Keeper) Begin(stream *Stream, origin Origin, lifetime time.Duration) {
	if stream.RequestID == "" {
		return
	}
	isLong := lifetime <= 0 || lifetime >= unrecordedLifetime
	if lifetime <= 0 || lifetime > maxLifetime {
		lifetime = maxLifetime
	}
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	r := &record{key: stream.key(), origin: origin, until: now.Add(lifetime), class: stream.Class}
	if k.own.put(r, now) {
		k.cfg.Meter.CountStreamRecord(eventDropped)
	}
	if isLong || !k.hadStore || now.Sub(k.unconfirmedAt) < streamLifetime || k.views.of(stream.Class, now) != singleOf(origin) {
		k.sendLocked(r, now)
	}
}

// sendUnsentLocked sends the streams that this host has begun. If isByView is true, it leaves out those
// whose class can have no other origin.
func (k *Keeper) sendUnsentLocked(now time.Time, isByView bool) {
	views := map[string]view{}
	for element := k.own.order.Front(); element != nil; element = element.Next() {
		r := element.Value.(*record)
		if r.isSent || !now.Before(r.until) {
			continue
		}
		known, ok := views[r.class]
		if !ok {
			known = k.views.of(r.class, now)
			views[r.class] = known
		}
		if r.isDue || !isByView || known != singleOf(r.origin) {
			k.sendLocked(r, now)
		}
	}
}

// sendLocked has a stream sent to its keepers.
func (k *Keeper) sendLocked(r *record, now time.Time) {
	if k.isClosed {
		return
	}
	r.isDue = true
	for _, hostID := range keepersOf(r.key, k.availableLocked(now), k.cfg.Zone, keeperCount) {
		if hostID == k.cfg.HostID {
			k.keepLocked(&record{key: r.key, origin: r.origin, until: r.until}, now)
			continue
		}
		r.isSent = true
		k.enqueueLocked(hostID, r)
	}
}

// availableLocked returns the hosts that are not avoided.
func (k *Keeper) availableLocked(now time.Time) []Host {
	maps.DeleteFunc(k.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(k.avoided) == 0 {
		return k.hosts
	}
	return slices.DeleteFunc(slices.Clone(k.hosts), func(h Host) bool {
		_, isAvoided := k.avoided[h.HostID]
		return isAvoided
	})
}

func (k *Keeper) enqueueLocked(hostID string, r *record) {
	if len(k.pending[hostID]) >= maxPending {
		k.cfg.Meter.CountStreamRecord(eventDropped)
		return
	}
	k.pending[hostID] = append(k.pending[hostID], r)
	if !k.isActive[hostID] {
		k.isActive[hostID] = true
		k.group.Go(func() error {
			k.send(hostID)
			return nil
		})
	}
}

// requeueLocked has streams that a keeper did not accept sent to other ones, or to the same one
// again if this host reaches no other.
func (k *Keeper) requeueLocked(hostID string, streams []*record, now time.Time) {
	k.avoided[hostID] = now.Add(retryDelay)
	hasOther := slices.ContainsFunc(k.availableLocked(now), func(h Host) bool { return h.HostID != k.cfg.HostID })
	for _, r := range streams {
		switch {
		case !now.Before(r.until):
		case hasOther:
			k.sendLocked(r, now)
		default:
			k.retryLocked(r)
		}
	}
}

// retryLocked has a stream sent to all its keepers once they are reached again, since the host that
// looks it up asks those.
func (k *Keeper) retryLocked(r *record) {
	for _, hostID := range keepersOf(r.key, k.hosts, k.cfg.Zone, keeperCount) {
		if hostID != k.cfg.HostID && !slices.Contains(k.pending[hostID], r) {
			k.enqueueLocked(hostID, r)
		}
	}
}

func (k *Keeper) keepLocked(r *record, now time.Time) {
	if k.kept.put(r, now) {
		k.cfg.Meter.CountStreamRecord(eventDropped)
	}
}

// send sends streams to a keeper until none is pending.
func (k *Keeper) send(hostID string) {
	delay := time.NewTimer(sendDelay)
	defer delay.Stop()
	for {
		select {
		case <-delay.C:
		case <-k.ctx.Done():
			return
		}
		k.mu.Lock()
		streams := k.pending[hostID]
		delete(k.pending, hostID)
		if len(streams) == 0 {
			delete(k.isActive, hostID)
		}
		k.mu.Unlock()
		if len(streams) == 0 {
			return
		}
		event, next := eventSent, sendDelay
		if err := k.record(hostID, streams); err != nil {
			event, next = eventUnsent, retryDelay
			k.cfg.Logger.Info("origins of streams not recorded at a keeper", "keeper", hostID, "streams", len(streams), "error", err)
			k.mu.Lock()
			k.requeueLocked(hostID, streams, k.cfg.Clock())
			k.mu.Unlock()
		}
		for range streams {
			k.cfg.Meter.CountStreamRecord(event)
		}
		delay.Reset(next)
	}
}

func (k *Keeper) record(hostID string, records []*record) error {
	now := k.cfg.Clock()
	streams := make([]*streamkeeperpb.Stream, 0, len(records))
	for _, r := range records {
		streams = append(streams, &streamkeeperpb.Stream{
			Key: r.key[:], Application: r.origin.Application, SoftwareVersion: r.origin.SoftwareVersion, LeftMs: r.until.Sub(now).Milliseconds(),
		})
	}
	conn, err := k.cfg.Conn(hostID)
	if err != nil {
		return err
	}
	ctx, cancel := timekeeper.WithTimeout(k.ctx, recordTimeout)
	defer cancel()
	_, err = streamkeeperpb.NewStreamKeeperClient(conn).Record(ctx, &streamkeeperpb.RecordRequest{Streams: streams})
	return err
}
