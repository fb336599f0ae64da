// Package attester maintains the proof that this host's configuration was
// recently the newest one.
//
// A revoked key must not be accepted for longer than the revocation bound,
// whatever keeps the host from learning of the revocation: a network partition,
// a stalled watch, a suspended machine. So a host accepts keys only while it can
// prove that the configuration in force was the newest one at most that long ago.
//
// There are two kinds of proof. If the host requests it from the platform's
// store, the age of the proof counts from the request. If it requests it from a
// peer, the age counts from the request plus the age that the peer states. An
// unrequested message proves nothing, because its time in transit is unknown.
//
// # Usage
//
//	a := attester.New(attester.Config{Bound: 5 * time.Second, Check: readStore, ...})
//	group.Go(func() error { return a.Run(ctx) })
//	a.AddProof(version, requestedAt.Add(-statedAge)) // a peer's answer
//	if !a.IsCurrent() { ... }                        // refuse: not run
package attester

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// checksPerBound is how often the proof is renewed within the bound, so that
	// there is time for further attempts if one fails.
	checksPerBound = 5
	// agePollsPerCheck is how often the proof's age is examined between two checks.
	agePollsPerCheck = 8
	// checkJitter is the maximum random delay of a check, as a fraction of the
	// check interval. The host that checks first provides the proof for its peers'
	// next requests.
	checkJitter = 0.5
	// fallbackFactor multiplies the check interval of a host that isn't configured
	// to check the store, for the case that it gets no proof from its peers.
	fallbackFactor = 2.5
	// clockMargin is the fraction of the bound that is reserved for clocks that run
	// at different rates, and messageMargin is reserved for the time that a request
	// takes until it is processed.
	clockMargin   = 0.02
	messageMargin = 100 * time.Millisecond
	// minRequestInterval is the minimum time between two checks that AwaitProof
	// requests.
	minRequestInterval = time.Second
)

// Config holds the settings of an Attester.
type Config struct {
	// Bound is for how long a proof is valid; 0: no proof is needed.
	Bound time.Duration
	// Version returns the version of the configuration in force. It never
	// decreases.
	Version func() int64
	// Check asks the store for a newer configuration and applies it. It returns an
	// error if that failed.
	Check func(ctx context.Context) error
	// ChecksStore reports whether this host is one of those that regularly check
	// the store; nil: always.
	ChecksStore func() bool
	Now         func() time.Time // advances while the host is suspended, and is never set
	Logger      hclog.Logger
}

// Attester keeps the latest proof. All methods are safe for concurrent use.
type Attester struct {
	cfg           Config
	checkRequests chan struct{}

	mu             sync.Mutex
	asOf           time.Time     // time at which the configuration in force was proven to be the newest; zero: never
	renewed        chan struct{} // closed when the next proof arrives
	checkedAt      time.Time     // time of the last check
	requestedAt    time.Time     // time at which AwaitProof last requested a check
	isExpiryLogged bool          // the loss of the proof was logged
}

// New returns an Attester without a proof.
func New(cfg Config) *Attester {
	return &Attester{cfg: cfg, checkRequests: make(chan struct{}, 1), renewed: make(chan struct{})}
}

// AddProof records that a version was the newest one at the time asOf. It is
// ignored if the version is newer than the configuration in force, or if there is a
// later proof.
func (a *Attester) AddProof(version int64, asOf time.Time) {
	if a.cfg.Bound <= 0 || a.cfg.Version() < version {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !asOf.After(a.asOf) {
		return
	}
	a.asOf = asOf
	close(a.renewed)
	a.renewed = make(chan struct{})
	if a.isExpiryLogged && a.isCurrentLocked(a.cfg.Now()) {
		a.isExpiryLogged = false
		a.cfg.Logger.Info("configuration is proven current again", "version", a.cfg.Version(), "age_ms", a.cfg.Now().Sub(asOf).Milliseconds())
	}
}

// Attestation returns the version in force and the age of its proof, to be sent to
// a peer that requests it. ok is false without a valid proof.
func (a *Attester) Attestation() (version int64, age time.Duration, ok bool) {
	if a.cfg.Bound <= 0 {
		return 0, 0, false
	}
	a.mu.Lock()
	asOf := a.asOf
	a.mu.Unlock()
	// The version is read last: it may be newer than the one that was proven, but
	// never older.
	now := a.cfg.Now()
	if asOf.IsZero() || now.Sub(asOf) > a.cfg.Bound {
		return 0, 0, false
	}
	return a.cfg.Version(), now.Sub(asOf), true
}

// IsCurrent reports whether there is a valid proof.
func (a *Attester) IsCurrent() bool {
	if a.cfg.Bound <= 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	isCurrent := a.isCurrentLocked(now)
	if !isCurrent && !a.isExpiryLogged {
		a.isExpiryLogged = true
		a.cfg.Logger.Warn("no valid proof that the configuration is current; refusing requests with API keys", "version", a.cfg.Version(),
			"as_of", a.asOf, "bound_ms", a.cfg.Bound.Milliseconds())
	}
	return isCurrent
}

func (a *Attester) isCurrentLocked(now time.Time) bool {
	margin := time.Duration(float64(a.cfg.Bound)*clockMargin) + messageMargin
	return !a.asOf.IsZero() && now.Sub(a.asOf) <= a.cfg.Bound-margin
}

// Age returns the age of the latest proof; ok is false if there is none.
func (a *Attester) Age() (age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cfg.Now().Sub(a.asOf), !a.asOf.IsZero()
}

// AwaitProof waits for a proof of a time later than after. It requests a check of
// the store unless it has done so recently. It returns false if ctx ends first.
func (a *Attester) AwaitProof(ctx context.Context, after time.Time) bool {
	a.mu.Lock()
	if now := a.cfg.Now(); now.Sub(a.requestedAt) >= minRequestInterval {
		a.requestedAt = now
		a.requestCheck()
	}
	a.mu.Unlock()
	for {
		a.mu.Lock()
		isAfter, renewed := a.asOf.After(after), a.renewed
		a.mu.Unlock()
		if isAfter {
			return true
		}
		select {
		case <-renewed:
		case <-ctx.Done():
			return false
		}
	}
}

func (a *Attester) requestCheck() {
	select {
	case a.checkRequests <- struct{}{}:
	default:
	}
}

// Run renews the proof until ctx ends.
func (a *Attester) Run(ctx context.Context) error {
	if a.cfg.Bound <= 0 {
		return nil
	}
	interval := a.cfg.Bound / checksPerBound
	ticker := time.NewTicker(interval / agePollsPerCheck)
	defer ticker.Stop()
	dueAge := a.drawDueAge(interval)
	for {
		isRequested := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.checkRequests:
			isRequested = true
		}
		if isRequested || a.isDue(dueAge) {
			a.check(ctx, interval)
			dueAge = a.drawDueAge(interval)
		}
	}
}

// drawDueAge returns the randomized proof age at which this host checks the store.
func (a *Attester) drawDueAge(interval time.Duration) time.Duration {
	return interval + time.Duration(rand.Float64()*checkJitter*float64(interval))
}

// isDue reports whether to check the store. A host that isn't one of those that
// regularly check does so only if its peers provide no proof.
func (a *Attester) isDue(dueAge time.Duration) bool {
	if a.cfg.ChecksStore != nil && !a.cfg.ChecksStore() {
		dueAge = time.Duration(float64(dueAge) * fallbackFactor)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	return now.Sub(a.asOf) >= dueAge && now.Sub(a.checkedAt) >= dueAge
}

// check checks the store once. The age of the proof counts from the request, since
// the store may have answered at any time after it.
func (a *Attester) check(ctx context.Context, timeout time.Duration) {
	requestedAt := a.cfg.Now()
	a.mu.Lock()
	a.checkedAt = requestedAt
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := a.cfg.Check(ctx); err != nil {
		age, _ := a.Age()
		a.cfg.Logger.Debug("failed to check the store for a newer configuration", "error", err, "age_ms", age.Milliseconds())
		return
	}
	a.AddProof(a.cfg.Version(), requestedAt)
}
