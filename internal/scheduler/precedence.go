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
	// mixHalfLife is the half-life of the share of prefill in the cost of new work.
	mixHalfLife = 5 * time.Second
)

// precedence is the state of the admission of one application's work by rank and tenant.
type precedence struct {
	shares     allocator.Shares
	isShort    bool // some share is below 1
	capacity   float64
	credits    admitter.Credits
	targets    [allocator.Ranks]rankTargets
	mix        prefillMix
	correction fleetCorrection
	counts     [allocator.Ranks]admissionCount
	log        shortageLog
}

// admissionCount counts the new work of one rank.
type admissionCount struct{ admitted, refused uint64 }

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

// prefillMix holds decaying sums of the cost of new work.
type prefillMix struct {
	prefill, total float64
	updatedAt      time.Time
}

func (m *prefillMix) observe(cost engineCost, now time.Time) {
	factor := math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(mixHalfLife))
	m.prefill = m.prefill*factor + cost.prefill.Seconds()
	m.total = m.total*factor + cost.total().Seconds()
	m.updatedAt = now
}

func (m *prefillMix) prefillShare() float64 {
	if m.total <= 0 {
		return 0
	}
	return m.prefill / m.total
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
	}
	s.refreshShares(now)
	if p.isShort {
		item.Rank = rank
	}
	if !work.isNew() {
		return outcome{}, false
	}
	share := p.shares[rank].Of(work.Tenant)
	key := admitter.CreditKey{Rank: rank, Tenant: work.Tenant}
	if share >= 1 || p.credits.Admit(key, share, item.Cost.Seconds(), s.rand.Float64(), now) {
		p.counts[rank].admitted++
		p.correction.admittedSeconds += item.Cost.Seconds()
		return outcome{}, false
	}
	p.counts[rank].refused++
	p.correction.withheldSeconds += item.Cost.Seconds()
	if w.demand.seconds > 0 {
		s.demandMeter.RecordRefused(w.demand.key, w.demand.seconds, now)
	}
	after := admitter.RetryAfter(q.items, s.capacity(q), s.rand.Float64())
	return refusal(ReasonPrecedence, after), true
}

// recordDemand counts new work in the demand of this host's callers. Work that a peer has
// passed on is in the demand of that peer's callers.
func (s *Scheduler) recordDemand(p *precedence, w *waiter, item *admitter.Item, now time.Time) {
	work, rank := &w.work, allocator.Clamp(w.work.Rank)
	p.targets[rank].observe(admitter.ResponseTarget(&work.Class), work.timeLimit(), now)
	p.mix.observe(w.cost, now)
	if work.IsFromPeer {
		return
	}
	w.demand = demandShare{key: aggregator.Key{Application: work.Class.Application, Rank: rank}, seconds: item.Cost.Seconds()}
	s.demandMeter.RecordOffered(w.demand.key, work.Tenant, w.demand.seconds, now)
	s.smoothedDemand.lastAt = now
}

// recordRefused counts the refusal of queued work in the demand.
func (s *Scheduler) recordRefused(w *waiter, now time.Time) {
	if !w.work.isNew() {
		return
	}
	s.precedence(w.work.Class.Application).correction.lateSeconds += w.cost.total().Seconds()
	if w.demand.seconds > 0 {
		s.demandMeter.RecordRefused(w.demand.key, w.demand.seconds, now)
	}
}

// refreshShares computes the shares again if they are older than shareInterval.
func (s *Scheduler) refreshShares(now time.Time) {
	if now.Sub(s.sharesAt) < shareInterval || now.Sub(s.smoothedDemand.lastAt) > idleAfter {
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
	p.correction.tick(p.isShort, engineState{
		backlog: s.engineBacklog(application), slotUse: summary.SlotUse, response: shortestResponse(&ranks),
	}, now)
	p.capacity = summary.FleetCapacity.Of(p.mix.prefillShare()) * p.correction.factor()
	p.shares = allocator.AllAdmitted()
	// A host without usable endpoints refuses work as having no endpoint, so that it is
	// passed on to a peer that reaches some.
	if summary.Usable > 0 && p.capacity > 0 {
		p.shares = allocator.Divide(&ranks, p.capacity)
	}
	p.isShort = p.shares.IsShort()
	s.logShortage(application, p, &ranks, now)
}

// engineBacklog returns how long the prompts queued at an engine take on average.
func (s *Scheduler) engineBacklog(application *tracker.Application) time.Duration {
	summary := &application.Summary
	if summary.HasSeparateRoles {
		return application.Model.DedicatedPrefillCost(summary.MeanPrefillAhead)
	}
	return application.Model.PrefillCost(summary.MeanPrefillAhead)
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
