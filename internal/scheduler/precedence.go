package scheduler

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/scheduler/admitter"
	"github.com/endivemast/endivemast/internal/scheduler/allocator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// This file applies the shares of package allocator to new work.

const (
	// shareInterval bounds how often the shares are computed. With Tick's interval, they
	// follow a loss of engines within 0.2 s.
	shareInterval = 100 * time.Millisecond
	// idleAfter is how long after the last new work the shares are still computed in Tick.
	// The demand has decayed to a thousandth by then.
	idleAfter = 10 * time.Second
	// targetRetention is how long the targets of a rank are kept after the last request
	// that has them.
	targetRetention = time.Minute
	// mixSteps is how often the capacity is computed for the mix of the admitted work. With
	// one step, a shortage of prefill engines left a quarter of them idle, since the work
	// that is not admitted needs more prefill.
	mixSteps = 3
	// directPrefillDivisor: a prompt counts as one that decode engines can prefill if its
	// prefill takes at most the response target divided by this. A longer one pauses the
	// running requests of a decode engine for too long.
	directPrefillDivisor = 20
	// mixHalfLife is the half-life of the share of prefill in the cost of new work.
	mixHalfLife = 5 * time.Second
	// busyShare is the share of the engines of a role with work from which on there may be a
	// shortage. While engines are idle, a request that is refused could have been served.
	busyShare = 0.7
	// busyRetention is for how long engines count as busy. Admission by shares leaves some
	// idle for moments.
	busyRetention = time.Second
)

// precedence is the state of the admission of one application's work by rank and tenant.
type precedence struct {
	shares     allocator.Shares
	allotted   [allocator.Ranks]float64 // engine seconds per second of the rank
	isShort    bool                     // some share is below 1
	capacity   float64
	busyAt     time.Time // when the engines were last busy
	peak       capacityPeak
	credits    admitter.Credits
	targets    [allocator.Ranks]rankTargets
	mixes      [allocator.Ranks]prefillMix
	correction fleetCorrection
	counts     [allocator.Ranks]admissionCount
	log        shortageLog
}

// admissionCount counts the new work of one rank.
type admissionCount struct{ admitted, refused, refusedReturns, promised uint64 }

// demandShare is what a request counts for in the demand of this host's callers.
type demandShare struct {
	key     aggregator.Key
	seconds float64 // 0: not counted
}

// rankTargets holds the targets of the classes of one rank, as far as this host has seen them.
type rankTargets struct {
	response, limit     time.Duration // the shortest response target and the longest time limit
	responseAt, limitAt time.Time     // last request with them
}

func (r *rankTargets) observe(response, limit time.Duration, now time.Time) {
	if response > 0 && (r.response == 0 || response <= r.response || now.Sub(r.responseAt) > targetRetention) {
		r.response, r.responseAt = response, now
	}
	if limit >= r.limit || now.Sub(r.limitAt) > targetRetention {
		r.limit, r.limitAt = limit, now
	}
}

// prefillMix holds decaying sums of the cost of new work of one rank.
type prefillMix struct {
	prefill, direct, total float64
	updatedAt              time.Time
}

func (m *prefillMix) observe(cost engineCost, isDirect bool, now time.Time) {
	factor := math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(mixHalfLife))
	m.prefill = m.prefill*factor + cost.prefill.Seconds()
	m.total = m.total*factor + cost.total().Seconds()
	m.direct *= factor
	if isDirect {
		m.direct += cost.prefill.Seconds()
	}
	m.updatedAt = now
}

func (s *Scheduler) precedence(application string) *precedence {
	p := s.precedences[application]
	if p == nil {
		p = &precedence{shares: allocator.AllAdmitted()}
		s.precedences[application] = p
	}
	return p
}

// applyPrecedence counts new work in the demand, and refuses it if its rank or tenant has
// used up its share. It sets the rank by which the item is ordered.
func (s *Scheduler) applyPrecedence(q *queue, w *waiter, item *admitter.Item, now time.Time) (outcome, bool) {
	if s.cfg.Policy.Admission == AdmitAll {
		return outcome{}, false
	}
	work, rank := &w.work, allocator.Clamp(w.work.Rank)
	p := s.precedence(q.application)
	if work.isNew() {
		s.recordDemand(p, w, item, now)
		s.recordReturn(w, now)
	}
	s.refreshShares(now)
	if p.isShort {
		item.Rank = rank
	}
	if !work.isNew() {
		return outcome{}, false
	}
	share := p.shares[rank].Of(work.Tenant, w.isReturn)
	key := admitter.CreditKey{Rank: rank, Tenant: work.Tenant, IsReturn: w.isReturn}
	if share >= 1 || p.credits.Admit(key, share, item.Cost.Seconds(), s.rand.Float64(), now) {
		p.counts[rank].admitted++
		return outcome{}, false
	}
	p.counts[rank].refused++
	if w.isReturn {
		p.counts[rank].refusedReturns++
	}
	if w.demand.seconds > 0 {
		s.demandMeter.RecordRefused(w.demand.key, w.demand.seconds, now)
	}
	backlogDelay := admitter.RetryAfter(q.items, s.capacity(q), s.rand.Float64())
	return refusal(ReasonPrecedence, s.returnDelay(q, w, item.Cost, backlogDelay, now)), true
}

// recordDemand counts new work in the demand of this host's callers. Work that a peer has
// passed on is in the demand of that peer's callers.
func (s *Scheduler) recordDemand(p *precedence, w *waiter, item *admitter.Item, now time.Time) {
	work, rank := &w.work, allocator.Clamp(w.work.Rank)
	p.targets[rank].observe(admitter.ResponseTarget(&work.Class), work.timeLimit(), now)
	p.mixes[rank].observe(w.cost, w.cost.prefill*directPrefillDivisor <= admitter.ResponseTarget(&work.Class), now)
	s.lastNewWorkAt = now
	if work.IsFromPeer || work.IsCounted {
		return
	}
	w.demand = demandShare{key: aggregator.Key{Application: work.Class.Application, Rank: rank}, seconds: item.Cost.Seconds()}
	s.demandMeter.RecordOffered(w.demand.key, work.Tenant, w.demand.seconds, now)
}

// recordRefused counts the refusal of queued work in the demand.
func (s *Scheduler) recordRefused(w *waiter, now time.Time) {
	if w.demand.seconds > 0 {
		s.demandMeter.RecordRefused(w.demand.key, w.demand.seconds, now)
	}
}

// refreshShares computes the shares again if they are older than shareInterval.
func (s *Scheduler) refreshShares(now time.Time) {
	if now.Sub(s.sharesAt) < shareInterval || now.Sub(s.lastNewWorkAt) > idleAfter {
		return
	}
	s.sharesAt = now
	s.table.Refresh(now)
	demands := s.demandOfAllHosts(now)
	for name, p := range s.precedences {
		application := s.table.Applications[name]
		if application == nil {
			continue
		}
		s.refreshSharesOf(application, p, demands, now)
	}
}

func (s *Scheduler) refreshSharesOf(
	application *tracker.Application, p *precedence, demands map[aggregator.Key]aggregator.Demand, now time.Time,
) {
	var ranks [allocator.Ranks]allocator.Rank
	for i := range ranks {
		ranks[i] = allocator.Rank{
			Demand:         demands[aggregator.Key{Application: application.Name, Rank: i}],
			ResponseTarget: p.targets[i].response, TimeLimit: p.targets[i].limit,
		}
	}
	summary := &application.Summary
	state := engineState{
		backlog: s.engineBacklog(application), slotUse: summary.SlotUse, response: shortestResponse(&ranks),
	}
	p.correction.tick(p.isShort, state, now)
	p.peak.observe(summary.FleetCapacity.Total(), now)
	p.shares = allocator.AllAdmitted()
	if isBusy(summary, &state) {
		p.busyAt = now
	}
	// The capacity depends on the mix of the admitted work, and this on the capacity.
	for range mixSteps {
		p.capacity = summary.FleetCapacity.Of(p.mix(&ranks)) * p.correction.factor()
		// A host without usable endpoints refuses work as having no endpoint, so that it is
		// passed on to a peer that reaches some.
		if summary.Usable == 0 || p.capacity <= 0 || now.Sub(p.busyAt) >= busyRetention {
			p.shares = allocator.AllAdmitted()
			break
		}
		if p.shares = allocator.DivideAmongRanks(&ranks, p.capacity); !p.shares.IsShort() {
			break
		}
	}
	if s.cfg.Policy.MinLoss > 0 && !p.isSevere(&ranks, p.peak.lost(summary.FleetCapacity.Total()), s.cfg.Policy.MinLoss) {
		p.shares = allocator.AllAdmitted()
	}
	p.shares.DivideAmongTenants(&ranks)
	p.isShort = p.shares.IsShort()
	for i := range ranks {
		p.allotted[i] = ranks[i].Demand.Offered * p.shares[i].All
	}
	s.logShortage(application, p, &ranks, now)
}

// minExcess is the ratio of demand to capacity from which on shares apply after a loss. From
// one and a half to two and a half, shares refused callers whom the queue would have served.
const minExcess = 3

// isSevere reports whether so many engines are lost, and the demand exceeds the rest by so
// much, that shares serve more callers than the queue does.
func (p *precedence) isSevere(ranks *[allocator.Ranks]allocator.Rank, lost, minLoss float64) bool {
	var demand float64
	for i := range ranks {
		demand += ranks[i].Demand.Offered
	}
	return lost >= minLoss && demand >= minExcess*p.capacity
}

// lossWindow is how long engine time that is lost is remembered: one to two windows. Lost
// engines are replaced within some seconds, or the operator knows that they are gone.
const lossWindow = 30 * time.Second

// capacityPeak is the largest recent engine time.
type capacityPeak struct {
	previous, current float64
	since             time.Time
}

func (c *capacityPeak) observe(capacity float64, now time.Time) {
	if now.Sub(c.since) >= lossWindow {
		c.previous, c.current, c.since = c.current, 0, now
	}
	c.current = max(c.current, capacity)
}

// lost returns the part of the engine time that is lost.
func (c *capacityPeak) lost(capacity float64) float64 {
	peak := max(c.current, c.previous)
	if peak <= 0 {
		return 0
	}
	return 1 - capacity/peak
}

// mix returns the mix of the work that the shares admit.
func (p *precedence) mix(ranks *[allocator.Ranks]allocator.Rank) (mix tracker.WorkMix) {
	var total float64
	for i := range ranks {
		if m := &p.mixes[i]; m.total > 0 {
			admitted := ranks[i].Demand.Offered * p.shares[i].All
			mix.Prefill += admitted * m.prefill / m.total
			mix.Direct += admitted * m.direct / m.total
			total += admitted
		}
	}
	if total > 0 {
		mix.Prefill, mix.Direct = mix.Prefill/total, mix.Direct/total
	}
	return mix
}

// engineBacklog returns how long the prompts queued at an engine take on average.
func (s *Scheduler) engineBacklog(application *tracker.Application) time.Duration {
	summary := &application.Summary
	if summary.HasSeparateRoles {
		return max(application.Model.DedicatedPrefillCost(summary.MedianPrefillAhead), application.Model.DirectPrefillCost(summary.MedianDirectAhead))
	}
	return application.Model.PrefillCost(summary.MedianPrefillAhead)
}

// isBusy reports whether nearly all engines of a role have work, or as many prompts as they can
// take. Engines with both roles may lack time for prompts while few of their slots are in use.
func isBusy(summary *tracker.Summary, state *engineState) bool {
	return summary.PrefillUse >= busyShare || summary.SlotUse >= busyShare || state.room() <= 0
}

func shortestResponse(ranks *[allocator.Ranks]allocator.Rank) (shortest time.Duration) {
	for i := range ranks {
		target := ranks[i].ResponseTarget
		if ranks[i].Demand.Offered > 0 && target > 0 && (shortest == 0 || target < shortest) {
			shortest = target
		}
	}
	return shortest
}
