// Package ratelimiter has all hosts together keep to a limit: the one that an endpoint
// names on its requests, or the one that the operator sets on a tenant's.
//
// One host owns each limit and gives out its units; the others ask that one, and send
// nothing without what they were given. What is not used in time is lost. So no host has to
// know how many others there are or what they want, and one that is cut off, frozen or gone
// can send no more than it was given.
//
// Who owns a limit follows from a hash of its subject and the hosts. An owner gives out as
// much of the limit as it reaches of the hosts, so that the parts of a fleet that is cut
// in two together keep it.
//
// # Usage
//
//	l := ratelimiter.New(ratelimiter.Config{...})
//	l.Register(ex.Registrar())
//
//	l.SetLimit(process, driver.Limit{PerSecond: 7.6, IsSet: true})
//	if !l.HasSlot(process) { l.RequestSlots(process, waiting) } // Refill follows
//	slot := l.Take(process)
//	isLeave := l.Renew(process, &slot) // when it is sent
//
//	until, err := l.Charge(ctx, "tenant-7", ratelimiter.TenantLimit{PerSecond: 40_000, Burst: 40_000}, tokens)
package ratelimiter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/ratelimiter/ratelimiterpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// askTimeout bounds an ask for slots.
	askTimeout = 300 * time.Millisecond
	// maxAsked is how many hosts are asked, one after the other, before an ask counts as
	// unanswered.
	maxAsked = 3
	// retryHostAfter is for how long a host is not asked that has not answered, or does not
	// give out the slots.
	retryHostAfter = 500 * time.Millisecond
	// maxCount bounds the slots that an ask may want.
	maxCount = 1 << 16
)

var (
	errRefused   = errors.New("host does not own the limit")
	errMalformed = errors.New("reply does not fit what was asked")
)

// Config sets up a Limiter.
type Config struct {
	HostID string
	// Hosts are those that may own limits, this one included.
	Hosts func() []Host
	Conn  func(hostID string) (grpc.ClientConnInterface, error)
	// TenantLimit is a tenant's limit as this host knows it; ok is false where it knows none.
	// Nil: no tenant has one.
	TenantLimit func(tenant string) (limit TenantLimit, ok bool)
	// Refill is called when a slot of a process can be used from now on.
	Refill func(process driver.Process)
	// Clock counts the host's sleep.
	Clock  func() time.Time
	Meter  Meter
	Logger hclog.Logger
}

// Meter counts asks for slots and charges by their outcome.
type Meter interface {
	CountSlotRequest(outcome string)
	CountTenantCharge(outcome string)
}

// Outcomes of an ask for slots, and of a charge.
const (
	outcomeGiven      = "given"
	outcomeNone       = "none" // all are given out for now
	outcomeUnanswered = "unanswered"
)

// Limiter keeps this host's requests to limited endpoints within its slots, and gives out
// those of others. It is safe for concurrent use.
type Limiter struct {
	ratelimiterpb.UnimplementedRateLimiterServer

	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	limits atomic.Int64 // processes with a limit

	mu       sync.Mutex
	demands  map[driver.Process]*demand
	allotter allotter
	skipped  map[string]time.Time // hosts that are not asked until then
	reach    reach
	accounts map[string]*account // by tenant
	isClosed bool

	accountsSweptAt time.Time
}

// New makes a Limiter that knows no limit.
func New(cfg Config) *Limiter {
	if cfg.TenantLimit == nil {
		cfg.TenantLimit = func(string) (limit TenantLimit, ok bool) { return limit, false }
	}
	l := &Limiter{
		cfg: cfg, demands: map[driver.Process]*demand{}, skipped: map[string]time.Time{}, accounts: map[string]*account{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Register serves the other hosts on the peer protocol's server.
func (l *Limiter) Register(registrar grpc.ServiceRegistrar) {
	ratelimiterpb.RegisterRateLimiterServer(registrar, l)
}

// Close ends all asks and waits for them.
func (l *Limiter) Close() error {
	l.mu.Lock()
	l.isClosed = true
	l.mu.Unlock()
	l.cancel()
	return l.group.Wait()
}

// Tick looks which hosts are reachable. It is to be called several times a second.
func (l *Limiter) Tick() { l.settled() }

// settled are the hosts, of which those count as reachable that have been for a while.
func (l *Limiter) settled() []Host {
	hosts, now := l.cfg.Hosts(), l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts = l.reach.settle(l.cfg.HostID, hosts, now)
	l.allotter.review(l.cfg.HostID, hosts, now)
	l.sweepAccountsLocked(now)
	return hosts
}

// Resumed takes in that this host was away for so long. What it then reads from others may be
// of before, and another host may have taken its place meanwhile.
func (l *Limiter) Resumed(away time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reach = wokenReach()
	if away > ReachableWithin {
		l.allotter.forget(l.cfg.Clock())
	}
}

// SetLimit takes in what a process says of its limit.
func (l *Limiter) SetLimit(process driver.Process, limit driver.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demands[process]
	switch {
	case !limit.IsSet || limit.PerSecond >= maxRate:
		delete(l.demands, process)
	case d == nil:
		l.demands[process] = &demand{perSecond: limit.PerSecond}
	default:
		d.limit(limit.PerSecond)
	}
	l.limits.Store(int64(len(l.demands)))
}

// Limit is the limit of a process; ok is false where it has none. Rate is 0 while no
// host answers that gives out its slots.
func (l *Limiter) Limit(process driver.Process) (rate float64, ok bool) {
	if l.limits.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demands[process]
	if d == nil {
		return 0, false
	}
	if d.isStarved {
		return 0, true
	}
	return rateOf(d.perSecond), true
}

// HasSlot is true where a request may be sent to a process now.
func (l *Limiter) HasSlot(process driver.Process) bool {
	if l.limits.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demands[process]
	return d == nil || d.has(l.cfg.Clock())
}

// Take uses up a slot. It is the zero Slot where there is none.
func (l *Limiter) Take(process driver.Process) (slot Slot) {
	if l.limits.Load() == 0 {
		return slot
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.demands[process]; d != nil {
		slot, _ = d.take(l.cfg.Clock())
	}
	return slot
}

// Renew says whether a request may be sent with a slot that was taken before. One that
// has passed is replaced where there is another.
func (l *Limiter) Renew(process driver.Process, slot *Slot) bool {
	if l.limits.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d, now := l.demands[process], l.cfg.Clock()
	if d == nil || slot.isValid(now) {
		return true
	}
	taken, ok := d.take(now)
	if ok {
		*slot = taken
	}
	return ok
}

// RequestSlots says how many requests wait for slots of a process. It does not block; Refill is
// called for each slot.
func (l *Limiter) RequestSlots(process driver.Process, count int) {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demands[process]
	if d == nil || l.isClosed {
		return
	}
	d.want(count, now)
	l.startLocked(process, d, now)
}

// startLocked asks for what is wanted, unless that is under way.
func (l *Limiter) startLocked(process driver.Process, d *demand, now time.Time) {
	count := d.nextAsk(now)
	if count == 0 {
		return
	}
	d.isAsking = true
	perSecond := d.perSecond
	l.group.Go(func() error {
		l.ask(process, perSecond, count)
		return nil
	})
}

// ask gets slots and has them used as they begin.
func (l *Limiter) ask(process driver.Process, perSecond float64, count int) {
	sentAt, reply, err := l.askHosts(Subject{Process: process}, &ratelimiterpb.AllotRequest{
		EndpointId: process.EndpointID, Incarnation: process.Incarnation, PerSecond: perSecond, Count: int64(count),
	}, askTimeout, maxAsked)
	now := l.cfg.Clock()
	l.mu.Lock()
	d := l.demands[process]
	if d == nil {
		l.mu.Unlock()
		return
	}
	if err != nil {
		if !d.isStarved {
			l.cfg.Logger.Warn("no host gives out an endpoint's slots", "endpoint_id", process.EndpointID,
				"incarnation", process.Incarnation, "limit_per_second", perSecond, "error", err)
		}
		d.miss(now)
		l.mu.Unlock()
		l.cfg.Meter.CountSlotRequest(outcomeUnanswered)
		return
	}
	if d.isStarved {
		l.cfg.Logger.Info("an endpoint's slots are given out again", "endpoint_id", process.EndpointID, "incarnation", process.Incarnation)
	}
	delays, pause := decode(reply, count)
	d.receive(delays, pause, sentAt, now)
	l.mu.Unlock()
	outcome := outcomeGiven
	if len(delays) == 0 {
		outcome = outcomeNone
	}
	l.cfg.Meter.CountSlotRequest(outcome)
	l.cfg.Logger.Debug("slots of a limited endpoint", "endpoint_id", process.EndpointID, "limit_per_second", perSecond,
		"wanted", count, "given", len(delays), "pause_ms", pause.Milliseconds(), "took_ms", now.Sub(sentAt).Milliseconds())
	l.refill(process, delays)
}

// decode reads a reply. A peer's figures are bounded: a slot begins within the horizon.
func decode(reply *ratelimiterpb.AllotReply, count int) (delays []time.Duration, pause time.Duration) {
	duration := func(us int64, most time.Duration) time.Duration {
		return time.Duration(min(max(us, 0), most.Microseconds())) * time.Microsecond
	}
	for _, us := range reply.GetDelaysUs()[:min(len(reply.GetDelaysUs()), count)] {
		delays = append(delays, duration(us, horizon))
	}
	return delays, duration(reply.GetPauseUs(), maxPause)
}

// refill has slots used as they begin, and asks for more where more is wanted by then.
func (l *Limiter) refill(process driver.Process, delays []time.Duration) {
	begun := time.Now()
	for _, delay := range delays {
		if !sleep(l.ctx, delay-time.Since(begun)) {
			return
		}
		l.cfg.Refill(process)
	}
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.demands[process]; d != nil && !l.isClosed {
		l.startLocked(process, d, now)
	}
}

// sleep waits; false where ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askHosts asks the owner of a subject's limit, and up to most hosts in all that would
// be next where it does not answer. A host that refuses names the owner: hosts that are no
// hubs do not know which hubs of other zones are down.
func (l *Limiter) askHosts(subject Subject, request *ratelimiterpb.AllotRequest, timeout time.Duration, most int) (sentAt time.Time, reply *ratelimiterpb.AllotReply, err error) {
	err = errRefused
	candidates, asked := l.candidates(subject), map[string]bool{}
	for len(candidates) > 0 && len(asked) < most {
		hostID := candidates[0]
		candidates = candidates[1:]
		if asked[hostID] {
			continue
		}
		asked[hostID] = true
		sentAt = l.cfg.Clock()
		if reply, err = l.askHost(hostID, request, timeout); err == nil && reply.GetIsRefused() {
			err = errRefused
			if reply.GetOwner() != "" {
				candidates = slices.Insert(candidates, 0, reply.GetOwner())
			}
			continue
		}
		if err == nil || l.ctx.Err() != nil {
			break
		}
		l.mu.Lock()
		l.skipped[hostID] = l.cfg.Clock().Add(retryHostAfter)
		l.mu.Unlock()
	}
	return sentAt, reply, err
}

// candidates are the hosts to ask, in order.
func (l *Limiter) candidates(subject Subject) (ids []string) {
	ranked := rank(subject, l.cfg.Hosts())
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for hostID, until := range l.skipped {
		if !now.Before(until) {
			delete(l.skipped, hostID)
		}
	}
	for _, h := range ranked {
		if _, isSkipped := l.skipped[h.HostID]; !isSkipped && h.mayOwn() {
			ids = append(ids, h.HostID)
		}
	}
	return ids
}

func (l *Limiter) askHost(hostID string, request *ratelimiterpb.AllotRequest, timeout time.Duration) (*ratelimiterpb.AllotReply, error) {
	if hostID == l.cfg.HostID {
		return l.Allot(l.ctx, request)
	}
	ctx, cancel := timekeeper.WithTimeout(l.ctx, timeout)
	defer cancel()
	conn, err := l.cfg.Conn(hostID)
	if err != nil {
		return nil, err
	}
	return ratelimiterpb.NewRateLimiterClient(conn).Allot(ctx, request)
}

// Allot implements ratelimiterpb.RateLimiterServer.
func (l *Limiter) Allot(_ context.Context, request *ratelimiterpb.AllotRequest) (*ratelimiterpb.AllotReply, error) {
	subject := Subject{
		Tenant: request.GetTenant(), Process: driver.Process{EndpointID: request.GetEndpointId(), Incarnation: request.GetIncarnation()},
	}
	hosts := l.settled()
	if owner := ownerOf(subject, hosts); owner != l.cfg.HostID {
		return &ratelimiterpb.AllotReply{IsRefused: true, Owner: owner}, nil
	}
	share := shareOf(hosts)
	if subject.Tenant != "" {
		return l.allotCharges(request, share, l.cfg.Clock()), nil
	}
	perSecond, now := request.GetPerSecond(), l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.demands[subject.Process]; d != nil {
		perSecond = d.perSecond
	}
	delays, pause := l.allotter.bucketOf(subject).allot(rateOf(perSecond*share), int(min(max(request.GetCount(), 1), maxCount)), now)
	reply := &ratelimiterpb.AllotReply{PauseUs: pause.Microseconds()}
	for _, delay := range delays {
		reply.DelaysUs = append(reply.DelaysUs, delay.Microseconds())
	}
	return reply, nil
}
