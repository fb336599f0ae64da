// Package rebalancer assigns roles to engines. One host at a time does so, the holder of a
// lease. Each order carries a fencing number that has been recorded in the platform's
// store before, and is sent once.
//
// # Fencing
//
// The number is raised by a compare-and-swap of the lease's record, so that a former holder
// can't obtain one. An engine that checks numbers refuses a late order. For engines that
// don't, a new holder waits for the takeover delay before its first order, and an order
// without an answer either is given up by the kernel's timeout or is refused by the engine:
// each order names how many orders the engine must have accepted before.
//
// # Usage
//
//	r := rebalancer.New(rebalancer.Config{Leaser: l, Driver: drv, Plan: s.PlanSplit, ...})
//	group.Go(func() error { return r.Run(ctx) })
package rebalancer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
)

const (
	// planInterval is how often the split between the roles is evaluated. After a loss of engines
	// orders have to be sent within half a second: two evaluations, the announcement and the order.
	planInterval = 100 * time.Millisecond
	// changeTimeout is after how long without effect an order counts as lost. A change takes
	// as long as the engine's running work, some hundred milliseconds, and the few seconds of
	// the change itself.
	changeTimeout = 8 * time.Second
	// announceDelay is how long before the order peers are informed that an engine is about to
	// change its role: two of their ticks, so that none of them sends it work that it would
	// refuse.
	announceDelay = 400 * time.Millisecond
	// lossAnnounceDelay is that after a loss of engines: a request that an engine refuses is sent
	// to another one at once, which costs less than the missing role.
	lossAnnounceDelay = 150 * time.Millisecond
	// maxConcurrentOrders bounds the orders that are sent at a time.
	maxConcurrentOrders = 16
)

// Config configures a Rebalancer.
type Config struct {
	Leaser *leaser.Leaser
	Driver driver.Forwarder
	HostID string
	// TakeoverDelay is how long a new holder waits after its takeover before its first order.
	// In the lease's first term there is no former holder, and no wait.
	TakeoverDelay time.Duration
	// Plan returns the role changes to make now. Engines that are changing are passed with
	// their new role.
	Plan func(changing map[string]driver.Role, now time.Time) []planner.Proposal
	// Target returns an engine's process; ok is false when it is no longer listed.
	Target func(endpointID string) (target driver.Target, role driver.Role, ok bool)
	// SetChanging is called with the engines that are changing, after each change.
	SetChanging func(endpointIDs []string)
	OnOrdered   func(endpointID string, role driver.Role)
	// OnPlanned is called with the reason of each change that begins; nil: not called.
	OnPlanned func(reason string)
	Logger    hclog.Logger
}

// change is one process's change of role. It ends with the process: the engine's next
// process has none of its roles, and would otherwise get no work until changeTimeout.
type change struct {
	incarnation string // of the process; empty: unknown
	role        driver.Role
	plannedAt   time.Time
	announce    time.Duration // how long before the order peers are informed
	isOrdered   bool          // the order was accepted, or may have been
}

// Rebalancer sends role orders while this host holds the lease.
type Rebalancer struct {
	cfg Config

	mu        sync.Mutex
	changes   map[string]*change // by endpoint id
	term      int64
	termSince time.Time // when this host first saw the term
}

// New returns a Rebalancer without changes.
func New(cfg Config) *Rebalancer {
	return &Rebalancer{cfg: cfg, changes: map[string]*change{}}
}

// Run plans and sends orders until ctx ends.
func (r *Rebalancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.step(ctx, now)
		}
	}
}

// step finishes changes, plans new ones and sends the orders that are due.
func (r *Rebalancer) step(ctx context.Context, now time.Time) {
	if !r.mayAct(now) {
		r.dropAllChanges()
		return
	}
	r.finishChanges(now)
	for _, proposal := range r.cfg.Plan(r.changing(), now) {
		r.beginChange(proposal, now)
	}
	r.order(ctx, r.due(now))
}

// order sends orders to different engines concurrently: each one asks the engine and writes to the
// store first.
func (r *Rebalancer) order(ctx context.Context, due []planner.Proposal) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for _, proposal := range due {
		group.Go(func() error {
			if err := r.orderRole(ctx, proposal.EndpointID, proposal.Role); err != nil {
				r.cfg.Logger.Warn("role order failed", "endpoint_id", proposal.EndpointID, "role", proposal.Role, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // errors are logged
}

// mayAct is true while this host holds the lease and, unless it is the first holder, the
// takeover delay has passed.
func (r *Rebalancer) mayAct(now time.Time) bool {
	authority, ok := r.cfg.Leaser.Holder()
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if authority.Term != r.term {
		r.term, r.termSince = authority.Term, now
	}
	isFirst := authority.Term == 1
	return isFirst || now.Sub(r.termSince) >= r.cfg.TakeoverDelay
}

func (r *Rebalancer) dropAllChanges() {
	r.mu.Lock()
	count := len(r.changes)
	clear(r.changes)
	r.mu.Unlock()
	if count > 0 {
		r.publishChanging()
	}
}

func (r *Rebalancer) changing() map[string]driver.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	roles := make(map[string]driver.Role, len(r.changes))
	for id, c := range r.changes {
		roles[id] = c.role
	}
	return roles
}

// finishChanges ends changes that have taken effect, timed out, or lost their process.
func (r *Rebalancer) finishChanges(now time.Time) {
	r.mu.Lock()
	ended := 0
	for id, c := range r.changes {
		target, role, ok := r.cfg.Target(id)
		ok = ok && target.Incarnation == c.incarnation
		if ok && role != c.role && now.Sub(c.plannedAt) < changeTimeout {
			continue
		}
		delete(r.changes, id)
		ended++
		r.cfg.Logger.Info("role change finished", "endpoint_id", id, "role", c.role, "in_effect", ok && role == c.role,
			"took_ms", now.Sub(c.plannedAt).Milliseconds())
	}
	r.mu.Unlock()
	if ended > 0 {
		r.publishChanging()
	}
}

func (r *Rebalancer) beginChange(proposal planner.Proposal, now time.Time) {
	target, _, _ := r.cfg.Target(proposal.EndpointID)
	announce := announceDelay
	if proposal.Reason == planner.ReasonLoss {
		announce = lossAnnounceDelay
	}
	r.mu.Lock()
	r.changes[proposal.EndpointID] = &change{incarnation: target.Incarnation, role: proposal.Role, plannedAt: now, announce: announce}
	r.mu.Unlock()
	r.cfg.Logger.Info("role change planned", "endpoint_id", proposal.EndpointID, "role", proposal.Role, "reason", proposal.Reason)
	if r.cfg.OnPlanned != nil {
		r.cfg.OnPlanned(proposal.Reason)
	}
	r.publishChanging()
}

func (r *Rebalancer) publishChanging() {
	r.mu.Lock()
	ids := make([]string, 0, len(r.changes))
	for id := range r.changes {
		ids = append(ids, id)
	}
	r.mu.Unlock()
	r.cfg.SetChanging(ids)
}

// due returns the changes that peers have been informed of and whose order is not yet sent.
func (r *Rebalancer) due(now time.Time) (due []planner.Proposal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.changes {
		if !c.isOrdered && now.Sub(c.plannedAt) >= c.announce {
			c.isOrdered = true
			due = append(due, planner.Proposal{EndpointID: id, Role: c.role})
		}
	}
	return due
}

// orderRole records a fencing number and sends the order with it, once.
func (r *Rebalancer) orderRole(ctx context.Context, endpointID string, role driver.Role) (err error) {
	defer func() {
		if err != nil && (errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused) || errors.Is(err, leaser.ErrNotHolder)) {
			r.dropChange(endpointID)
		}
		err = eris.Wrap(err, "order role")
	}()
	target, _, ok := r.cfg.Target(endpointID)
	if !ok {
		return driver.ErrNotSent
	}
	inspection, err := r.cfg.Driver.Inspect(ctx, target)
	if err != nil {
		return errors.Join(driver.ErrNotSent, err)
	}
	record, err := r.cfg.Leaser.Update(ctx, func(draft *leaser.Draft) error {
		draft.Epoch++
		return nil
	})
	if err != nil {
		return errors.Join(leaser.ErrNotHolder, err)
	}
	action, err := r.cfg.Leaser.Begin(ctx, record.Epoch)
	if err != nil {
		return errors.Join(leaser.ErrNotHolder, err)
	}
	defer action.Done()
	err = r.cfg.Driver.OrderRole(action.Context(), target, driver.RoleOrder{
		Role: role, Holder: r.cfg.HostID, Epoch: record.Epoch, ExpectedOrders: inspection.Orders,
	})
	r.cfg.Logger.Info("role ordered", "endpoint_id", endpointID, "role", role, "epoch", record.Epoch,
		"orders_before", inspection.Orders, "error", err)
	r.cfg.OnOrdered(endpointID, role)
	return err
}

// dropChange ends a change whose order the engine has certainly not accepted.
func (r *Rebalancer) dropChange(endpointID string) {
	r.mu.Lock()
	delete(r.changes, endpointID)
	r.mu.Unlock()
	r.publishChanging()
}
