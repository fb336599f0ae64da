package ratelimiter

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/endivemast/endivemast/internal/ratelimiter/ratelimiterpb"
)

// A tenant's limit, as the hosts charge it: each request asks the limit's owner before it
// is sent, and requests that come while an ask is under way go together in the next.

// TenantLimit is what a tenant may use a second, in requests or tokens: PerSecond, and
// Burst units more that accumulate while it uses less.
type TenantLimit struct {
	PerSecond float64
	Burst     float64
}

const (
	// chargeTimeout bounds an ask that charges a tenant's limit; the request waits for it.
	chargeTimeout = 200 * time.Millisecond
	// maxChargeAsked is how many hosts are asked before a charge counts as unanswered: three
	// that are down, one that names the owner, and the owner.
	maxChargeAsked = 5
	// chargeLife is for how long a request that was charged may be sent.
	chargeLife = time.Second
	// maxCharges bounds the requests of one ask.
	maxCharges = 256
	// maxUnits bounds the units of one request.
	maxUnits = 1 << 40
	// holdFor is for how long a host that no owner answers goes on as before. Longer, it
	// would add to what the owner gives out that has taken the place of the last one.
	holdFor = time.Second
	// holdEvery is the least time between two such moments: a host that loses owners again
	// and again would go on by itself all the while.
	holdEvery = 10 * time.Second
	// usageHalf is how fast the measure of what was charged fades.
	usageHalf = 1500 * time.Millisecond
	// accountKept is how long an account is kept that nobody charges.
	accountKept = time.Minute
)

// OverLimitError is the error for a request beyond its tenant's limit.
type OverLimitError struct {
	RetryAfter time.Duration // when the limit would allow it
}

// Error describes the limit.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("beyond the tenant's limit for %v", e.RetryAfter)
}

// ErrLimitUnavailable is the error for a request of which no host says whether its tenant's
// limit allows it.
var ErrLimitUnavailable = errors.New("no host gives out the tenant's limit")

// pendingCharge is a request that waits for its charge.
type pendingCharge struct {
	units int64
	done  chan chargeResult // takes one
}

type chargeResult struct {
	until time.Time // when the charge lapses
	err   error
}

// account is what a host charges of one tenant's limit.
type account struct {
	limit       TenantLimit
	pending     []pendingCharge
	due, unused int64
	isAsking    bool
	chargedAt   time.Time

	isStarved  bool // nobody has answered the latest ask
	retryAt    time.Time
	answeredAt time.Time
	asked      fadingSum // units that an owner decided on
	charged    fadingSum // of these, what it let through

	// While nobody answers: what is let through, the part of the requests, and at most.
	isHolding                bool
	heldAt                   time.Time // when that began last
	held, heldPart, heldMost float64
}

// fadingSum is a sum of which each part halves in usageHalf.
type fadingSum struct {
	units float64
	at    time.Time
}

func (s *fadingSum) add(units float64, now time.Time) { s.units, s.at = s.value(now)+units, now }

func (s *fadingSum) value(now time.Time) float64 {
	return s.units * math.Exp2(-float64(now.Sub(s.at))/float64(usageHalf))
}

// settle takes in the owner's decision on a request.
func (a *account) settle(units int64, isCharged bool, now time.Time) {
	a.asked.add(float64(units), now)
	if isCharged {
		a.charged.add(float64(units), now)
	}
}

// hold decides on a request while no owner answers: for a moment a host goes on as
// before, and lets through the part that it was given then. Draw is a random number from 0
// to 1.
func (a *account) hold(units int64, draw float64, now time.Time) chargeResult {
	if a.answeredAt.IsZero() || now.Sub(a.answeredAt) > holdFor {
		return chargeResult{err: ErrLimitUnavailable}
	}
	if !a.isHolding {
		if !a.heldAt.IsZero() && now.Sub(a.heldAt) < holdEvery {
			return chargeResult{err: ErrLimitUnavailable}
		}
		a.isHolding, a.heldAt, a.held = true, now, 0
		a.heldMost = a.charged.value(now) * math.Ln2 / usageHalf.Seconds() * holdFor.Seconds()
		a.heldPart = a.charged.value(now) / max(a.asked.value(now), 1)
	}
	if a.held >= a.heldMost || draw >= a.heldPart {
		return chargeResult{err: ErrLimitUnavailable}
	}
	a.held += float64(units)
	return chargeResult{until: now.Add(chargeLife)}
}

// batch takes what is to be asked next; nil: nothing.
func (a *account) batch() (batch []pendingCharge, c *charges) {
	if len(a.pending) == 0 && a.due == 0 && a.unused == 0 {
		return nil, nil
	}
	count := min(len(a.pending), maxCharges)
	batch, a.pending = a.pending[:count:count], a.pending[count:]
	c = &charges{limit: a.limit, due: a.due, unused: a.unused}
	a.due, a.unused = 0, 0
	for _, pending := range batch {
		c.units = append(c.units, pending.units)
	}
	return batch, c
}

// Charge charges a request to its tenant's limit, and returns until when it may be sent.
// The error is an *OverLimitError, ErrUnanswered, or ctx's.
func (l *Limiter) Charge(ctx context.Context, tenant string, limit TenantLimit, units int64) (until time.Time, err error) {
	pending := pendingCharge{units: min(max(units, 0), maxUnits), done: make(chan chargeResult, 1)}
	now := l.cfg.Clock()
	l.mu.Lock()
	a := l.accountLocked(tenant, limit, now)
	if a.isStarved {
		result := a.hold(pending.units, rand.Float64(), now)
		if !now.Before(a.retryAt) {
			l.startChargesLocked(tenant, a)
		}
		l.mu.Unlock()
		return result.until, result.err
	}
	a.pending = append(a.pending, pending)
	l.startChargesLocked(tenant, a)
	l.mu.Unlock()
	select {
	case result := <-pending.done:
		return result.until, result.err
	case <-ctx.Done():
		return until, ctx.Err()
	}
}

// ChargeUnconditionally charges a request that runs already, whatever the limit. It does not block.
func (l *Limiter) ChargeUnconditionally(tenant string, limit TenantLimit, units int64) {
	l.adjust(tenant, limit, func(a *account) { a.due += min(max(units, 0), maxUnits) })
}

// Refund takes back the charge of a request that was not sent. It does not block.
func (l *Limiter) Refund(tenant string, limit TenantLimit, units int64) {
	l.adjust(tenant, limit, func(a *account) { a.unused += min(max(units, 0), maxUnits) })
}

func (l *Limiter) adjust(tenant string, limit TenantLimit, change func(a *account)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountLocked(tenant, limit, l.cfg.Clock())
	change(a)
	if !a.isStarved {
		l.startChargesLocked(tenant, a)
	}
}

func (l *Limiter) accountLocked(tenant string, limit TenantLimit, now time.Time) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{}
		l.accounts[tenant] = a
	}
	a.limit, a.chargedAt = limit, now
	return a
}

// sweepAccountsLocked drops the accounts that nobody charges.
func (l *Limiter) sweepAccountsLocked(now time.Time) {
	if now.Sub(l.accountsSweptAt) < accountKept {
		return
	}
	l.accountsSweptAt = now
	for tenant, a := range l.accounts {
		if !a.isAsking && now.Sub(a.chargedAt) > accountKept {
			delete(l.accounts, tenant)
		}
	}
}

// startChargesLocked asks for what is pending, unless that is under way.
func (l *Limiter) startChargesLocked(tenant string, a *account) {
	if a.isAsking || l.isClosed {
		return
	}
	a.isAsking = true
	l.group.Go(func() error {
		l.askCharges(tenant, a)
		return nil
	})
}

// askCharges asks until nothing is pending. A first ask without charges finds out
// whether an owner answers again.
func (l *Limiter) askCharges(tenant string, a *account) {
	for {
		l.mu.Lock()
		batch, c := a.batch()
		if c == nil && a.isStarved {
			c = &charges{limit: a.limit}
		}
		if c == nil || l.ctx.Err() != nil {
			a.isAsking = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if !l.settleCharges(tenant, a, batch, c) {
			return
		}
	}
}

// settleCharges asks for one batch and hands out what became of it; false where no owner
// answered.
func (l *Limiter) settleCharges(tenant string, a *account, batch []pendingCharge, c *charges) bool {
	subject := Subject{Tenant: tenant}
	request := &ratelimiterpb.AllotRequest{
		Tenant: tenant, PerSecond: c.limit.PerSecond, Burst: c.limit.Burst, Charges: c.units, Due: c.due, Unused: c.unused,
	}
	sentAt, reply, err := l.askHosts(subject, request, chargeTimeout, maxChargeAsked)
	if err == nil && len(reply.GetWaitsUs()) != len(batch) {
		err = errMalformed
	}
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !a.isStarved {
			l.cfg.Logger.Warn("no host gives out a tenant's limit", "tenant", tenant, "limit_per_second", c.limit.PerSecond,
				"charged", a.charged.value(now), "answered_ms_ago", now.Sub(a.answeredAt).Milliseconds(), "error", err)
		}
		a.isStarved, a.retryAt = true, now.Add(unansweredPause)
		a.due += c.due
		// What waits behind this ask is decided as this is.
		batch = append(batch, a.pending...)
		a.pending = nil
		for _, pending := range batch {
			pending.done <- a.hold(pending.units, rand.Float64(), now)
		}
		a.isAsking = false
		l.cfg.Meter.CountTenantCharge(outcomeUnanswered)
		return false
	}
	if a.isStarved {
		l.cfg.Logger.Info("a tenant's limit is given out again", "tenant", tenant, "limit_per_second", c.limit.PerSecond)
	}
	a.isStarved, a.isHolding, a.answeredAt = false, false, now
	for i, pending := range batch {
		l.settleChargeLocked(tenant, a, pending, time.Duration(reply.GetWaitsUs()[i])*time.Microsecond, sentAt)
	}
	return true
}

func (l *Limiter) settleChargeLocked(tenant string, a *account, pending pendingCharge, wait time.Duration, sentAt time.Time) {
	a.settle(pending.units, wait <= 0, a.answeredAt)
	if wait <= 0 {
		l.cfg.Meter.CountTenantCharge(outcomeGiven)
		pending.done <- chargeResult{until: sentAt.Add(chargeLife)}
		return
	}
	wait = min(wait, maxPause)
	l.cfg.Meter.CountTenantCharge(outcomeNone)
	l.cfg.Logger.Debug("request beyond its tenant's limit", "tenant", tenant, "limit_per_second", a.limit.PerSecond,
		"burst", a.limit.Burst, "units", pending.units, "wait_ms", wait.Milliseconds(), "charged", a.charged.value(a.answeredAt))
	pending.done <- chargeResult{err: &OverLimitError{RetryAfter: wait}}
}

// allotCharges answers an ask that charges a tenant's limit, as its owner.
func (l *Limiter) allotCharges(request *ratelimiterpb.AllotRequest, share float64, now time.Time) *ratelimiterpb.AllotReply {
	c := &charges{
		limit: TenantLimit{PerSecond: request.GetPerSecond(), Burst: request.GetBurst()},
		due:   min(max(request.GetDue(), 0), maxUnits), unused: min(max(request.GetUnused(), 0), maxUnits),
	}
	if limit, ok := l.cfg.TenantLimit(request.GetTenant()); ok {
		c.limit = limit
	}
	for _, units := range request.GetCharges()[:min(len(request.GetCharges()), maxCharges)] {
		c.units = append(c.units, min(max(units, 0), maxUnits))
	}
	reply := &ratelimiterpb.AllotReply{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, wait := range l.allotter.charge(request.GetTenant(), c, share, now) {
		reply.WaitsUs = append(reply.WaitsUs, wait.Microseconds())
	}
	return reply
}
