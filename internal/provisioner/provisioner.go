// Package provisioner orders engines from the platform. Only the holder of the authority
// sends orders.
//
// Each order is written into the authority's record before it is sent, with its own
// fencing number: an order that is executed late is refused once a later one has arrived.
// An order is sent again until it is confirmed.
//
// # Usage
//
//	p := provisioner.New(provisioner.Config{Authority: leaser, Plan: plan, Send: platform.Order, ...})
//	group.Go(func() error { return p.Run(ctx) })
package provisioner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/leaser"
)

const (
	// stepInterval is how often the holder plans orders from the use of the engines.
	stepInterval = 250 * time.Millisecond
	sendTimeout  = 1500 * time.Millisecond
	// retryPause is the delay after a call that was not confirmed.
	retryPause = time.Second

	section = "scale"
)

// Errors of a call.
var (
	// ErrStaleEpoch is the platform's answer if it has seen a higher fencing number, or
	// has no such engines at present: the answer is the same in both cases.
	ErrStaleEpoch = errors.New("platform refused the order: it has seen a higher fencing number, or has no engines available")
)

// Order is a desired number of engines of an application in a zone.
type Order struct {
	Application string
	Zone        string
	IsSpot      bool // engines that may be withdrawn at short notice
	Desired     int
	Holder      string // id of this host
	Epoch       int64  // the fencing number
}

// Target identifies the engines that an order is about.
type Target struct {
	Application string
	Zone        string
	IsSpot      bool
}

// PlannedOrder is an order that is due, and the reason for it.
type PlannedOrder struct {
	Target
	Desired int
	// Inputs of the decision, in engines, for the log.
	NeededEngines, PrefillInUse, DecodeInUse float64
}

// recordedOrder is one order in the authority's record.
type recordedOrder struct {
	Application string `json:"application"`
	Zone        string `json:"zone"`
	IsSpot      bool   `json:"is_spot,omitempty"`
	Desired     int    `json:"desired"`
	Epoch       int64  `json:"epoch"`
}

// Authority is the part of leaser.Leaser that a Provisioner uses.
type Authority interface {
	Record() (leaser.Record, bool)
	Update(ctx context.Context, edit func(*leaser.Draft) error) (leaser.Record, error)
}

// Config holds the settings of a Provisioner.
type Config struct {
	Authority Authority
	HostID    string
	// TakeoverDelay is how long a new holder waits before its first call.
	TakeoverDelay time.Duration
	// Plan returns the orders that are due, given the desired numbers of the last orders.
	Plan   func(ordered map[Target]int, now time.Time) []PlannedOrder
	Send   func(ctx context.Context, order Order) error
	Now    func() time.Time
	Logger hclog.Logger
}

// Provisioner orders engines while this host holds the authority.
type Provisioner struct {
	cfg Config

	term      int64
	actAfter  time.Time
	retryAt   map[Target]time.Time
	confirmed map[Target]int64 // fencing numbers of confirmed orders

	mu      sync.Mutex
	ordered map[Target]int // for display
}

// New creates a Provisioner.
func New(cfg Config) *Provisioner { return &Provisioner{cfg: cfg} }

// Ordered returns the desired numbers of the last orders, as this host knows them.
func (p *Provisioner) Ordered() map[Target]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.ordered)
}

// Run orders engines until ctx ends.
func (p *Provisioner) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.step(ctx)
		}
	}
}

// step makes the orders that are due, and sends unconfirmed ones again.
func (p *Provisioner) step(ctx context.Context) {
	now := p.cfg.Now()
	record, ok := p.cfg.Authority.Record()
	if !ok || !p.mayAct(&record, now) {
		return
	}
	recorded, err := recordedOrders(&record)
	if err != nil {
		p.cfg.Logger.Error("recorded engine orders unreadable", "error", err)
		return
	}
	ordered := map[Target]int{}
	for target, e := range recorded {
		ordered[target] = e.Desired
	}
	p.mu.Lock()
	p.ordered = ordered
	p.mu.Unlock()
	planned := p.cfg.Plan(maps.Clone(ordered), now)
	for _, plan := range planned {
		if now.Before(p.retryAt[plan.Target]) {
			continue
		}
		p.order(ctx, plan, now)
	}
	for target, e := range recorded {
		isReplaced := slices.ContainsFunc(planned, func(plan PlannedOrder) bool { return plan.Target == target })
		if !isReplaced && p.confirmed[target] < e.Epoch && !now.Before(p.retryAt[target]) {
			p.order(ctx, PlannedOrder{Target: target, Desired: e.Desired}, now)
		}
	}
}

func (p *Provisioner) mayAct(record *leaser.Record, now time.Time) bool {
	if record.Term != p.term {
		p.term, p.actAfter = record.Term, now
		p.retryAt, p.confirmed = map[Target]time.Time{}, map[Target]int64{}
		if record.Term > 1 {
			p.actAfter = now.Add(p.cfg.TakeoverDelay)
		}
	}
	return !now.Before(p.actAfter)
}

// order records an order with its own fencing number, and sends it.
func (p *Provisioner) order(ctx context.Context, plan PlannedOrder, now time.Time) {
	p.retryAt[plan.Target] = now.Add(retryPause)
	record, err := p.cfg.Authority.Update(ctx, func(draft *leaser.Draft) error {
		var list []recordedOrder
		if _, err := draft.Section(section, &list); err != nil {
			return err
		}
		draft.Epoch++
		list = slices.DeleteFunc(list, func(e recordedOrder) bool { return e.target() == plan.Target })
		list = append(list, recordedOrder{Application: plan.Application, Zone: plan.Zone, IsSpot: plan.IsSpot, Desired: plan.Desired, Epoch: draft.Epoch})
		return draft.SetSection(section, list)
	})
	if err != nil {
		p.cfg.Logger.Warn("engine order not recorded", "application", plan.Application, "zone", plan.Zone, "error", eris.Cause(err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err = p.cfg.Send(callCtx, Order{
		Application: plan.Application, Zone: plan.Zone, IsSpot: plan.IsSpot, Desired: plan.Desired, Holder: p.cfg.HostID, Epoch: record.Epoch,
	})
	p.cfg.Logger.Info("engines ordered", "application", plan.Application, "zone", plan.Zone, "is_spot", plan.IsSpot, "desired", plan.Desired,
		"needed_engines", plan.NeededEngines, "reading", plan.PrefillInUse, "generating", plan.DecodeInUse, "epoch", record.Epoch, "error", err)
	if err == nil {
		p.confirmed[plan.Target] = record.Epoch
	}
}

func (e *recordedOrder) target() Target {
	return Target{Application: e.Application, Zone: e.Zone, IsSpot: e.IsSpot}
}

// recordedOrders returns the recorded orders by target. It omits those of an earlier era
// of the store: orders that replaced them may have been lost.
func recordedOrders(record *leaser.Record) (orders map[Target]recordedOrder, err error) {
	var list []recordedOrder
	if _, err := record.Section(section, &list); err != nil {
		return nil, err
	}
	orders = map[Target]recordedOrder{}
	for _, e := range list {
		if record.Restoration == nil || e.Epoch >= record.Restoration.Epoch {
			orders[e.target()] = e
		}
	}
	return orders, nil
}
