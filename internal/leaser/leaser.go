// Package leaser elects the process that holds an availability zone's authority.
//
// One record per zone in the key-value service names the holder and an epoch
// that never decreases, and carries a payload that belongs to the holder. Each
// write of the record is a compare-and-swap on its revision, so a holder that
// has been replaced can't write any more: the swap is the check of the
// authority. A second key, attached to a lease, exists only while the holder is
// running, and shows the other candidates when to try to take over. The clock
// determines when a holder stops trying; safety doesn't depend on it.
//
// # Usage
//
//	l, err := leaser.New(leaser.Config{Zone: zone, HostID: id, Store: store, ...})
//	group.Go(func() error { return l.Run(ctx) })
//	record, err := l.Update(ctx, func(draft *leaser.Draft) error {
//		draft.Epoch++
//		draft.Payload = next
//		return nil
//	})
//	action, err := l.Begin(ctx, record.Epoch) // counts until Done
//	defer action.Done()
//	send(action.Context(), ...)
//
// Code that has effects outside the record first writes its intent with Update
// and then acts between Begin and Done. StepDown releases the lease once no
// action is running. Fence guarantees a successor that no action starts any more.
package leaser

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Defaults of a Config.
const (
	DefaultTTL = 3 * time.Second
	// The default margin for clock drift is TTL / marginDivisor.
	marginDivisor = 4
	// maxEpoch exceeds any epoch that take-overs and orders can reach.
	maxEpoch = 1 << 62
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// reservePollFactor is the number of poll intervals between two polls of a
	// candidate that isn't preferred. If none of the preferred candidates can reach
	// the key-value service, the zone has no authority for that long.
	reservePollFactor = 5
)

// Config holds the settings of a Leaser.
type Config struct {
	Zone          string
	HostID        string
	Incarnation   string // unique per process start
	Address       string // IP and port of this process's peer protocol
	Store         provider.Store
	TTL           time.Duration // of the lease; 0: DefaultTTL
	Margin        time.Duration // how long before the end of the TTL a holder stops; 0: TTL/4
	RenewInterval time.Duration // between lease renewals; 0: TTL/3
	PollInterval  time.Duration // between a candidate's checks for a live holder; 0: TTL
	// ListedAt returns a revision of the platform's host list that contained this
	// incarnation. The Leaser doesn't take over until ok is true. Nil: it may take
	// over at once, but a successor can't use the host list as proof that it has
	// ended.
	ListedAt func() (revision int64, ok bool)
	// IsCandidate reports whether this process may take over now; nil: always. In a
	// large fleet a few candidates are enough, as each of them has to check whether
	// there is a live holder.
	IsCandidate func() bool
	// IsPreferred reports whether this candidate is one of the few that poll every
	// PollInterval. The others poll reservePollFactor times less often, in case the
	// preferred ones can't reach the service. Nil: always. When 20 candidates all
	// polled every 3 s, they made a quarter of all calls to the service.
	IsPreferred func() bool
	// Now is a clock that is never set and that advances while the host is
	// suspended; nil: the host's. By the monotonic clock, a resumed host could
	// still consider its lease valid after another host has taken over.
	Now func() time.Time
	Log hclog.Logger // nil: no logging
}

// Leaser acquires and keeps a zone's authority. All methods are safe for concurrent
// use.
type Leaser struct {
	cfg  Config
	wake chan struct{}

	updateMu sync.Mutex // held during an entire Update; locked before mu

	mu            sync.Mutex
	held          bool
	record        Record // last record known to be written by this holder
	revision      int64  // revision of record
	lease         provider.LeaseID
	skippedPolls  int // poll intervals skipped since the last poll
	validUntil    time.Time
	fencedThrough int64 // no action at or below this epoch may start
	actions       map[*Action]struct{}
	allDone       chan struct{} // closed when the last action of a stopped Leaser is done
	stopped       bool
	lastSeen      Record
	lastErr       error
	running       bool
	runEnded      chan struct{} // closed when Run has returned
}

// New validates the settings and returns a Leaser. It starts nothing; call Run.
func New(cfg Config) (l *Leaser, err error) {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.Margin == 0 {
		cfg.Margin = cfg.TTL / marginDivisor
	}
	if cfg.RenewInterval == 0 {
		cfg.RenewInterval = cfg.TTL / renewalsPerTTL
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = cfg.TTL
	}
	if cfg.Now == nil {
		cfg.Now = timekeeper.New().Now
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if err := cfg.check(); err != nil {
		return nil, eris.Wrap(err, "create leaser")
	}
	return &Leaser{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		actions:  make(map[*Action]struct{}),
		runEnded: make(chan struct{}),
	}, nil
}

func (cfg Config) check() error {
	switch {
	case cfg.Zone == "" || cfg.HostID == "" || cfg.Incarnation == "":
		return fmt.Errorf("%w: zone %q, host ID %q and incarnation %q must be set",
			ErrInvalid, cfg.Zone, cfg.HostID, cfg.Incarnation)
	case cfg.Store == nil:
		return fmt.Errorf("%w: store must be set", ErrInvalid)
	case cfg.TTL <= 0 || cfg.Margin < 0 || cfg.RenewInterval <= 0 || cfg.PollInterval <= 0:
		return fmt.Errorf("%w: durations must be positive", ErrInvalid)
	case cfg.RenewInterval+cfg.Margin >= cfg.TTL:
		return fmt.Errorf("%w: renewal interval %v plus margin %v must be less than TTL %v",
			ErrInvalid, cfg.RenewInterval, cfg.Margin, cfg.TTL)
	}
	return nil
}

// Run acquires and keeps the authority until ctx ends or the Leaser is stopped, and
// returns at once if it has been stopped already. It may be called only once, and
// keeps running while the store is unavailable.
func (l *Leaser) Run(ctx context.Context) (err error) {
	if !l.start() {
		return eris.New("leaser is already running")
	}
	defer close(l.runEnded)
	for ctx.Err() == nil && !l.isStopped() {
		l.wait(ctx, l.step(ctx))
	}
	return nil
}

func (l *Leaser) start() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running {
		return false
	}
	l.running = true
	return true
}

// step renews the lease or tries to take over, and returns how long to wait before
// the next step.
func (l *Leaser) step(ctx context.Context) time.Duration {
	l.loseIfRestored()
	switch {
	case l.isHeld():
		l.renew(ctx)
	case (l.cfg.IsCandidate == nil || l.cfg.IsCandidate()) && l.shouldPoll():
		l.recordError(l.tryTakeOver(ctx))
	}
	if l.isHeld() {
		return l.cfg.RenewInterval
	}
	return l.cfg.PollInterval
}

// shouldPoll reports whether the candidate checks for a live holder in this step.
func (l *Leaser) shouldPoll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skippedPolls++
	if l.cfg.IsPreferred != nil && !l.cfg.IsPreferred() && l.skippedPolls < reservePollFactor {
		return false
	}
	l.skippedPolls = 0
	return true
}

func (l *Leaser) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.wake:
	}
}

// renew renews the lease. The new validity starts when the call was sent: if it
// started at the answer, a slow answer would extend it past the time at which the
// service lets the lease expire.
func (l *Leaser) renew(ctx context.Context) {
	sentAt := l.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.TTL)
	defer cancel()
	err := l.cfg.Store.Renew(ctx, l.leaseID())
	l.recordError(err)
	switch {
	case err == nil:
		l.extendValidity(sentAt)
	case isLeaseLost(err):
		l.loseAuthority("lease lost")
	default:
		l.cancelIfExpired()
	}
}

func (l *Leaser) extendValidity(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = sentAt.Add(l.cfg.TTL - l.cfg.Margin)
}

// cancelIfExpired cancels the running actions if the validity has ended. The lease
// may still exist, so the authority is lost only when the service reports it.
func (l *Leaser) cancelIfExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && !l.cfg.Now().Before(l.validUntil) {
		l.cancelActions()
	}
}

// loseAuthority gives up the authority after the service or a successor has
// reported its loss.
func (l *Leaser) loseAuthority(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAuthorityLocked(reason)
}

func (l *Leaser) loseAuthorityLocked(reason string) {
	if !l.held {
		return
	}
	l.held = false
	l.validUntil = time.Time{}
	l.lease = provider.NoLease
	l.cancelActions()
	l.cfg.Log.Info("zone authority lost", "zone", l.cfg.Zone, "epoch", l.record.Epoch, "why", reason)
}

// Holder returns the authority of this process. ok is true if the lease was valid
// at the time of the call; only an Update proves that the authority is still held.
func (l *Leaser) Holder() (authority Authority, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.authority(), l.validLocked()
}

// Record returns the record as this process last wrote it. ok is the same as for
// Holder.
func (l *Leaser) Record() (record Record, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record, l.validLocked()
}

func (l *Leaser) authority() Authority {
	return Authority{Zone: l.cfg.Zone, Term: l.record.Term, Epoch: l.record.Epoch, Holder: l.record.Holder}
}

func (l *Leaser) validLocked() bool {
	return l.held && !l.stopped && l.record.Era == l.era() && l.cfg.Now().Before(l.validUntil)
}

// Status returns the current state, for display.
func (l *Leaser) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := Status{Zone: l.cfg.Zone, Phase: l.phase(), Epoch: l.lastSeen.Epoch, Holder: l.lastSeen.Holder}
	if l.held {
		status.Epoch, status.Holder, status.ValidUntil = l.record.Epoch, l.record.Holder, l.validUntil
	}
	if l.lastErr != nil {
		status.LastError = l.lastErr.Error()
	}
	return status
}

func (l *Leaser) phase() Phase {
	switch {
	case l.stopped:
		return PhaseStopped
	case l.validLocked():
		return PhaseHolder
	case l.held:
		return PhaseExpired
	}
	return PhaseCandidate
}

func (l *Leaser) recordError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.cfg.Log.Debug("zone authority call failed", "zone", l.cfg.Zone, "error", err)
	}
	l.lastErr = err
}

func (l *Leaser) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Leaser) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

func (l *Leaser) leaseID() provider.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease
}

func newWriteID() string { return uuid.NewString() }

func decodeRecord(value []byte) (record Record, err error) {
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	// With the epoch of a damaged record, the counter could overflow and go
	// backwards. No host takes over the zone until an operator has inspected the
	// record.
	if record.Epoch < 0 || record.Epoch > maxEpoch {
		return Record{}, fmt.Errorf("%w: epoch %d is out of range", ErrInvalid, record.Epoch)
	}
	return record, nil
}
