package tracker

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/scheduler/estimator"
)

const (
	classHalf  = 30 * time.Second
	tenantHalf = 10 * time.Second
	fadeStep   = time.Second
)

// ClassKey names a class.
type ClassKey struct {
	Tenant, Name string
}

// Class is what is learnt of one class of work.
type Class struct {
	Application      string
	CompletionTarget time.Duration // the target
	Length           estimator.AnswerLength
	Offered          float64 // requests that came, fading
	Served           float64 // of these, those that got an endpoint
	// FirstTokenSeconds is the seconds that its first tokens lately took at an engine;
	// 0: not seen yet. It holds what no model of one engine's queue knows: how
	// far the class's priority takes it past the others.
	FirstTokenSeconds float64
	fadedAt           time.Time
}

// MaxTokenInterval is the time between tokens with which nearly all of the class's answers
// keep the completion target; 0: not known.
func (c *Class) MaxTokenInterval() time.Duration {
	if !c.Length.IsKnown() {
		return 0
	}
	left := c.CompletionTarget - time.Duration(c.FirstTokenSeconds*float64(time.Second))
	return max(left, 0) / time.Duration(c.Length.UpperBound(0, maxAnswer))
}

const maxAnswer = 1 << 20 // tokens; more than any answer has

// ServedShare is the share of the offered requests that got an endpoint.
func (c *Class) ServedShare() float64 { return (c.Served + 1) / (c.Offered + 1) }

const firstFade = 0.9

// ObserveFirstToken takes in the time from the grant to the first token.
func (c *Class) ObserveFirstToken(took time.Duration) {
	if c.FirstTokenSeconds == 0 {
		c.FirstTokenSeconds = took.Seconds()
		return
	}
	c.FirstTokenSeconds = c.FirstTokenSeconds*firstFade + took.Seconds()*(1-firstFade)
}

const firstDoubt = 0.8

// DecayFirstToken lowers the figure after it has refused work. A refused class
// brings no new first tokens, so that one bad moment would refuse it for good.
func (c *Class) DecayFirstToken() { c.FirstTokenSeconds *= firstDoubt }

func (c *Class) fade(now time.Time) {
	factor, ok := fadeFactor(&c.fadedAt, classHalf, now)
	if ok {
		c.Offered *= factor
		c.Served *= factor
	}
}

// Class returns a class's record, and makes it on first use.
func (t *Table) Class(key ClassKey) *Class {
	class := t.Classes[key]
	if class == nil {
		class = &Class{}
		t.Classes[key] = class
	}
	return class
}

// TenantKey names a tenant's use of one application.
type TenantKey struct {
	Application, Tenant string
}

// Tenant is what one tenant uses of one application.
type Tenant struct {
	UsedSeconds float64 // engine seconds granted, fading
	Queued      int     // requests that wait
	fadedAt     time.Time
}

// fade returns true when nothing worth remembering is left.
func (t *Tenant) fade(now time.Time) bool {
	factor, ok := fadeFactor(&t.fadedAt, tenantHalf, now)
	if ok {
		t.UsedSeconds *= factor
	}
	return t.Queued == 0 && t.UsedSeconds < 1e-6 && ok
}

// Tenant returns a tenant's record, and makes it on first use.
func (t *Table) Tenant(key TenantKey) *Tenant {
	tenant := t.Tenants[key]
	if tenant == nil {
		tenant = &Tenant{}
		t.Tenants[key] = tenant
	}
	return tenant
}

// Rates are fading sums of the work that comes.
type Rates struct {
	HalfLife      time.Duration
	PrefillTokens float64
	DecodeTokens  float64
	fadedAt       time.Time
}

// PerSecond returns the rates of prompt and output tokens.
func (r *Rates) PerSecond() (prefill, decode float64) {
	if r.HalfLife <= 0 {
		return 0, 0
	}
	perSecond := math.Ln2 / r.HalfLife.Seconds()
	return r.PrefillTokens * perSecond, r.DecodeTokens * perSecond
}

func (r *Rates) add(prefillTokens, decodeTokens int) {
	r.PrefillTokens += float64(prefillTokens)
	r.DecodeTokens += float64(decodeTokens)
}

func (r *Rates) fade(now time.Time) {
	if factor, ok := fadeFactor(&r.fadedAt, r.HalfLife, now); ok {
		r.PrefillTokens *= factor
		r.DecodeTokens *= factor
	}
}

// Demand is the work that comes to this host for one application.
type Demand struct {
	Short Rates // over the last seconds
	Long  Rates // over the last minutes
	// TokenIntervalTarget is the smallest target between tokens in seconds among recent
	// classes; 0: none. It is forgotten after gapTargetHold without such work.
	TokenIntervalTarget float64
	gapTargetAt         time.Time
}

const (
	shortHalf     = 20 * time.Second
	longHalf      = 90 * time.Second
	gapTargetHold = 2 * time.Minute
)

func newDemand() Demand {
	return Demand{Short: Rates{HalfLife: shortHalf}, Long: Rates{HalfLife: longHalf}}
}

// Add notes work that came.
func (d *Demand) Add(prefillTokens, decodeTokens int, gapTarget time.Duration, now time.Time) {
	d.Short.add(prefillTokens, decodeTokens)
	d.Long.add(prefillTokens, decodeTokens)
	if gapTarget > 0 && (d.TokenIntervalTarget == 0 || gapTarget.Seconds() <= d.TokenIntervalTarget) {
		d.TokenIntervalTarget, d.gapTargetAt = gapTarget.Seconds(), now
	}
}

func (d *Demand) fade(now time.Time) {
	if now.Sub(d.gapTargetAt) > gapTargetHold {
		d.TokenIntervalTarget = 0
	}
	d.Short.fade(now)
	d.Long.fade(now)
}

// fadeFactor says by how much a sum is to be reduced, at most once a step.
func fadeFactor(at *time.Time, half time.Duration, now time.Time) (factor float64, ok bool) {
	if at.IsZero() {
		*at = now
	}
	passed := now.Sub(*at)
	if passed < fadeStep {
		return 1, false
	}
	*at = now
	return math.Exp2(-float64(passed) / float64(half)), true
}
