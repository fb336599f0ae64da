// Package orderer sends orders to endpoints. No other package does.
//
// An order is written into the zone's record as an intent before it is sent.
// The write is a compare-and-swap, which also verifies this process's
// authority. Each intent is sent at most once. An endpoint has at most one open
// order, which is closed when its outcome is known and none of its sends can
// reach the endpoint any more. Because nothing is sent without an intent, a new
// holder finds all orders of earlier holders that may still take effect in the
// record; no late order can reach any other endpoint.
//
// If the endpoint checks fencing numbers, a new holder sends the earlier
// holder's order again with a higher number. Otherwise, or if that is unknown,
// the endpoint keeps its role until the earlier holder has guaranteed to send
// nothing more or the platform's host list shows that it has ended. Decide
// contains the rules.
//
// # Usage
//
//	o, err := orderer.New(orderer.Config{Leaser: l, Driver: drv, Hosts: hosts, ...})
//	group.Go(func() error { return o.Run(ctx) })
//	err = o.Submit(ctx, "engine-7", driver.SetRole{Role: driver.RolePrefill})
//	switch {
//	case errors.Is(err, orderer.ErrOrderOpen):  // wait until it is closed
//	case errors.Is(err, leaser.ErrNotHolder):   // another host gives the orders
//	}
//	err = o.StepDown(ctx) // planned stop
//
// Every host also serves the Predecessor service (see Register), so that its
// successors can request proof that it makes no more sends.
package orderer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/provider"
)

// Errors of an Orderer, besides those of leaser.Update and driver.Send. Test for
// them with errors.Is.
var (
	// ErrOrderOpen means that the endpoint has an open order; nothing was sent.
	ErrOrderOpen = errors.New("endpoint has an open order")
	// ErrUnknownEndpoint means that the host list doesn't contain the endpoint, or
	// lists it in another zone or as leaving; nothing was sent.
	ErrUnknownEndpoint = errors.New("endpoint not listed")
	// ErrInvalid means that the order, the settings or the stored orders are
	// invalid.
	ErrInvalid = errors.New("invalid order")

	errOrderClosed = errors.New("order was closed or sent again concurrently")
)

// Defaults of a Config.
const (
	DefaultUserTimeout         = 5 * time.Second
	DefaultSendTimeout         = 2 * time.Second
	DefaultProofRequestTimeout = time.Second
	DefaultReissueInterval     = time.Second
	DefaultTickInterval        = 100 * time.Millisecond
)

// Sender is the part of driver.Driver that the Orderer needs. Send must reach only
// the process with incarnation target.Incarnation. A driver whose protocol doesn't
// ensure this first requests the report on the connection that it uses for the
// order.
type Sender interface {
	Send(ctx context.Context, target driver.Target, order driver.OrderCall) error
}

// Predecessor queries former holders about sends that they may still make.
type Predecessor interface {
	// HasSteppedDown returns true if the given incarnation has guaranteed to start
	// no send at or below epoch any more, and has no send in progress.
	HasSteppedDown(ctx context.Context, holder leaser.Holder, zone string, epoch int64) (bool, error)
}

// Config holds the settings of an Orderer.
type Config struct {
	Leaser *leaser.Leaser
	Driver Sender
	// Hosts returns the most recently read host list of the platform and its
	// revision.
	Hosts func() (hosts []provider.Host, revision int64)
	// Reports returns an endpoint's latest report, or nil if there is none.
	Reports     func(endpointID string) *TimedReport
	Predecessor Predecessor
	// UserTimeout is the TCP user timeout of the driver's connections for orders,
	// plus a margin for the network. 0: DefaultUserTimeout.
	UserTimeout         time.Duration
	SendTimeout         time.Duration // of one send; 0: DefaultSendTimeout
	ProofRequestTimeout time.Duration // of one request to a former holder; 0: DefaultProofRequestTimeout
	ReissueInterval     time.Duration // minimum time between sends of one order; 0: DefaultReissueInterval
	TickInterval        time.Duration // between ticks of Run; 0: DefaultTickInterval
	// OnFinished is called after an order was closed. It must not block. May be
	// nil.
	OnFinished func(order OpenOrder, outcome Outcome)
	Now        func() time.Time // monotonic; nil: time.Now
	Log        hclog.Logger     // nil: no logging
}

// Orderer sends orders under a zone's authority. All methods are safe for
// concurrent use.
type Orderer struct {
	cfg Config

	mu          sync.Mutex
	term        int64                // term that firstSeenAt, proofs and reissuedAt belong to
	firstSeenAt map[string]time.Time // by order ID: when this holder first saw it
	proofs      map[string]time.Time // by incarnation of a former holder: when it was proved
	reissuedAt  map[string]time.Time // by order ID: when it was last reissued
	attempts    map[string]Attempt   // by send ID; kept across terms
	stopped     bool
}

// New validates the settings and returns an Orderer. It starts nothing.
func New(cfg Config) (o *Orderer, err error) {
	if cfg.Leaser == nil || cfg.Driver == nil || cfg.Hosts == nil || cfg.Reports == nil || cfg.Predecessor == nil {
		return nil, eris.Wrap(ErrInvalid, "create orderer: Leaser, Driver, Hosts, Reports and Predecessor must be set")
	}
	cfg.UserTimeout = withDefault(cfg.UserTimeout, DefaultUserTimeout)
	cfg.SendTimeout = withDefault(cfg.SendTimeout, DefaultSendTimeout)
	cfg.ProofRequestTimeout = withDefault(cfg.ProofRequestTimeout, DefaultProofRequestTimeout)
	cfg.ReissueInterval = withDefault(cfg.ReissueInterval, DefaultReissueInterval)
	cfg.TickInterval = withDefault(cfg.TickInterval, DefaultTickInterval)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.OnFinished == nil {
		cfg.OnFinished = func(OpenOrder, Outcome) {}
	}
	o = &Orderer{cfg: cfg, attempts: make(map[string]Attempt)}
	o.reset(0)
	return o, nil
}

func withDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// reset drops the state of an earlier term. Proofs must be dropped because the same
// former holder may have held the authority again in between.
func (o *Orderer) reset(term int64) {
	o.term = term
	o.firstSeenAt = make(map[string]time.Time)
	o.proofs = make(map[string]time.Time)
	o.reissuedAt = make(map[string]time.Time)
}

// Submit sends a new order to an endpoint. It returns nil when the endpoint has
// accepted the order; OnFinished reports the outcome. After an error from the
// driver the order may be open: OpenOrders contains it until its outcome is known.
//
// While an earlier holder's order is open, only an equal order is accepted; it is
// sent again under the earlier order's ID.
func (o *Orderer) Submit(ctx context.Context, endpointID string, order driver.Order) (err error) {
	defer func() { err = eris.Wrapf(err, "send order to %s", endpointID) }()
	authority, ok := o.cfg.Leaser.Holder()
	if !ok || o.isStopped() {
		return leaser.ErrNotHolder
	}
	list := o.list()
	host, ok := list.endpoint(endpointID)
	if !ok || host.Zone != authority.Zone || host.State != provider.HostLive {
		return ErrUnknownEndpoint
	}
	document, err := newOrderDocument(order)
	if err != nil {
		return err
	}
	intent := OpenOrder{
		OrderID: uuid.NewString(), EndpointID: endpointID,
		EndpointIncarnation: host.Incarnation, EndpointListedAt: list.revision, Order: document,
	}
	return o.issue(ctx, host.Address, func(table OrderTable, send Send) (OrderTable, OpenOrder, error) {
		return table.addOrder(intent, send)
	})
}

// issue writes the intent of a send and then sends it once.
func (o *Orderer) issue(
	ctx context.Context, address string, add func(OrderTable, Send) (OrderTable, OpenOrder, error),
) (err error) {
	var order OpenOrder
	send := Send{SendID: uuid.NewString()}
	// Recorded before the swap: a Tick that sees the intent in between would
	// otherwise assume that it is never sent, and close the order.
	o.recordAttempt(send.SendID, AttemptRunning)
	_, err = o.cfg.Leaser.Update(ctx, func(draft *leaser.Draft) error {
		table, err := ParseOrderTable(draft.Payload)
		if err != nil {
			return err
		}
		draft.Epoch++
		send.Epoch, send.Sender = draft.Epoch, draft.Holder
		if table, order, err = add(table, send); err != nil {
			return err
		}
		draft.Payload, err = table.encode()
		return err
	})
	if err != nil {
		o.dropAttempt(send.SendID) // never sent, even if the write is applied later
		return err
	}
	return o.send(ctx, address, order, send)
}

// send transmits an order. Only issue calls it, once for each confirmed intent.
func (o *Orderer) send(ctx context.Context, address string, order OpenOrder, send Send) error {
	action, err := o.cfg.Leaser.Begin(ctx, send.Epoch)
	if err != nil {
		o.recordAttempt(send.SendID, AttemptNotRun)
		return err
	}
	defer action.Done()
	ctx, cancel := context.WithTimeout(action.Context(), o.cfg.SendTimeout)
	defer cancel()
	target := driver.Target{
		EndpointID: order.EndpointID, Incarnation: order.EndpointIncarnation, Address: address,
	}
	err = o.cfg.Driver.Send(ctx, target, driver.OrderCall{
		OrderID: order.OrderID,
		Zone:    o.cfg.Leaser.Status().Zone,
		Epoch:   send.Epoch,
		Holder:  send.Sender.Incarnation,
		Order:   order.Order.Order(),
	})
	o.recordAttempt(send.SendID, attemptState(err))
	o.cfg.Log.Info("order sent", "order_id", order.OrderID, "endpoint_id", order.EndpointID, "epoch", send.Epoch, "error", err)
	return err
}

func attemptState(err error) AttemptState {
	switch {
	case err == nil:
		return AttemptAccepted
	case errors.Is(err, driver.ErrStaleEpoch), driver.RunStateOf(err) != driver.RunPossible:
		return AttemptNotRun
	}
	return AttemptUnknown
}

func (o *Orderer) recordAttempt(sendID string, state AttemptState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[sendID] = Attempt{State: state, EndedAt: o.cfg.Now()}
}

func (o *Orderer) dropAttempt(sendID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.attempts, sendID)
}

func (o *Orderer) isStopped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped
}

// OpenOrders returns the open orders, or nil if this process doesn't hold the
// authority.
func (o *Orderer) OpenOrders() []OpenOrder {
	record, ok := o.cfg.Leaser.Record()
	if !ok {
		return nil
	}
	table, err := ParseOrderTable(record.Payload)
	if err != nil {
		o.cfg.Log.Error("failed to decode open orders", "error", err)
	}
	return table.Orders
}

// Run calls Tick periodically until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := o.Tick(ctx, o.cfg.Now()); err != nil {
			o.cfg.Log.Debug("failed to advance open orders", "error", err)
		}
	}
}

// StepDown is the planned stop: it accepts no more orders, waits until all sends of
// this process are over, records that, and releases the authority. If ctx ends
// first, a successor has to request proof.
func (o *Orderer) StepDown(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "step down") }()
	o.mu.Lock()
	o.stopped = true
	o.mu.Unlock()
	if err := o.waitForSends(ctx); err != nil {
		return err
	}
	if err := o.recordSettled(ctx); err != nil {
		o.cfg.Log.Warn("failed to record finished sends", "error", err)
	}
	return o.cfg.Leaser.StepDown(ctx)
}

func (o *Orderer) waitForSends(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.TickInterval)
	defer ticker.Stop()
	for !o.allSendsOver() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for sends: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (o *Orderer) allSendsOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.attempts {
		if !o.isSendOver(id) {
			return false
		}
	}
	return true
}

// isSendOver reports whether a send of this process can't reach its endpoint any
// more.
func (o *Orderer) isSendOver(sendID string) bool {
	_, _, ok := ownSendOverSince(o.attempts[sendID], View{Now: o.cfg.Now(), UserTimeout: o.cfg.UserTimeout})
	return ok
}

// markSettled marks those sends of this process that are over now. A Submit that
// passed its checks before the stop may have written its intent since. If its send
// were marked too, it could arrive late while a successor, seeing it marked,
// requests no proof.
func (o *Orderer) markSettled(table OrderTable, self string) OrderTable {
	o.mu.Lock()
	defer o.mu.Unlock()
	return table.markSettled(func(s Send) bool { return s.Sender.Incarnation == self && o.isSendOver(s.SendID) })
}

// recordSettled marks this process's finished sends in the record.
func (o *Orderer) recordSettled(ctx context.Context) error {
	if len(o.OpenOrders()) == 0 {
		return nil
	}
	_, err := o.cfg.Leaser.Update(ctx, func(draft *leaser.Draft) (err error) {
		table, err := ParseOrderTable(draft.Payload)
		if err != nil {
			return err
		}
		draft.Payload, err = o.markSettled(table, draft.Holder.Incarnation).encode()
		return err
	})
	if errors.Is(err, leaser.ErrNotHolder) {
		return nil // the successor requests proof and learns that nothing is unsent
	}
	return err
}

// hostList is the platform's host list at a revision.
type hostList struct {
	hosts    []provider.Host
	revision int64
}

func (o *Orderer) list() hostList {
	hosts, revision := o.cfg.Hosts()
	return hostList{hosts: hosts, revision: revision}
}

func (l hostList) endpoint(id string) (host provider.Host, ok bool) {
	i := slices.IndexFunc(l.hosts, func(h provider.Host) bool {
		return h.ID == id && h.Kind != provider.HostEntry
	})
	if i < 0 {
		return provider.Host{}, false
	}
	return l.hosts[i], true
}
