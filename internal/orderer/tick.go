package orderer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// maxProofRequests bounds the concurrent requests to former holders.
const maxProofRequests = 8

// plan is the work that one tick has found.
type plan struct {
	ended         []endedOrder
	reissue       []OpenOrder
	proofRequests map[string]leaser.Holder // by incarnation
}

type endedOrder struct {
	order   OpenOrder
	outcome Outcome
}

// Tick advances the open orders: it closes the ended ones in a single write,
// reissues orders where that fences off an earlier holder, and requests proof from
// earlier holders. It does nothing if this process isn't the holder. Calls must not
// overlap.
func (o *Orderer) Tick(ctx context.Context, now time.Time) (err error) {
	defer func() { err = eris.Wrap(err, "advance open orders") }()
	record, ok := o.cfg.Leaser.Record()
	if !ok {
		return nil
	}
	table, err := ParseOrderTable(record.Payload)
	if err != nil {
		return err
	}
	todo := o.plan(record, table, now)
	return errors.Join(
		o.closeOrders(ctx, todo.ended),
		o.reissue(ctx, todo.reissue),
		o.requestProofs(ctx, record, todo.proofRequests),
	)
}

// plan calls Decide for each open order.
func (o *Orderer) plan(record leaser.Record, table OrderTable, now time.Time) plan {
	list := o.list()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncState(record, table, list)
	todo := plan{proofRequests: make(map[string]leaser.Holder)}
	for _, order := range table.Orders {
		switch decision := Decide(order, o.view(record, order, list, now)).(type) {
		case Finish:
			todo.ended = append(todo.ended, endedOrder{order: order, outcome: decision.Outcome})
		case Reissue:
			if !o.stopped && now.Sub(o.reissuedAt[order.OrderID]) >= o.cfg.ReissueInterval {
				o.reissuedAt[order.OrderID] = now
				todo.reissue = append(todo.reissue, order)
			}
			o.addProofRequests(order, todo.proofRequests)
		case RequestProof:
			o.addProofRequests(order, todo.proofRequests)
		case Wait:
		}
	}
	return todo
}

// addProofRequests adds the former holders among an order's senders for which there
// is no proof yet.
func (o *Orderer) addProofRequests(order OpenOrder, proofRequests map[string]leaser.Holder) {
	self := o.self()
	for _, send := range order.Sends {
		incarnation := send.Sender.Incarnation
		if _, proved := o.proofs[incarnation]; !proved && incarnation != self && !send.Settled {
			proofRequests[incarnation] = send.Sender
		}
	}
}

func (o *Orderer) self() string {
	authority, _ := o.cfg.Leaser.Holder()
	return authority.Holder.Incarnation
}

// syncState updates the in-memory state from the record: it registers new orders
// and proofs from the host list, and drops closed orders. It reads the clock itself
// instead of using the tick's time, which may precede the take-over: a report from
// the time between them may show an endpoint process that is older than the order.
func (o *Orderer) syncState(record leaser.Record, table OrderTable, list hostList) {
	now := o.cfg.Now()
	if o.term != record.Term {
		o.reset(record.Term)
	}
	open := make(map[string]bool)
	for _, order := range table.Orders {
		open[order.OrderID] = true
		if _, known := o.firstSeenAt[order.OrderID]; !known {
			o.firstSeenAt[order.OrderID] = now
		}
		for _, send := range order.Sends {
			open[send.SendID] = true
			o.recordIfRemoved(send.Sender, record, list, now)
		}
	}
	maps.DeleteFunc(o.firstSeenAt, func(id string, _ time.Time) bool { return !open[id] })
	maps.DeleteFunc(o.reissuedAt, func(id string, _ time.Time) bool { return !open[id] })
	maps.DeleteFunc(o.attempts, func(id string, a Attempt) bool {
		return !open[id] && a.State != AttemptRunning
	})
}

func (o *Orderer) recordIfRemoved(sender leaser.Holder, record leaser.Record, list hostList, now time.Time) {
	if _, proved := o.proofs[sender.Incarnation]; proved || sender.Incarnation == record.Holder.Incarnation {
		return
	}
	if isRemoved(list, sender.HostID, sender.Incarnation, sender.ListedAt) {
		o.proofs[sender.Incarnation] = now
	}
}

func (o *Orderer) view(record leaser.Record, order OpenOrder, list hostList, now time.Time) View {
	host, listed := list.endpoint(order.EndpointID)
	return View{
		Now:             now,
		Self:            record.Holder.Incarnation,
		FirstSeenAt:     o.firstSeenAt[order.OrderID],
		ChecksFencing:   listed && host.Incarnation == order.EndpointIncarnation && host.ChecksFencing,
		EndpointRemoved: isRemoved(list, order.EndpointID, order.EndpointIncarnation, order.EndpointListedAt),
		LastReport:      o.cfg.Reports(order.EndpointID),
		Attempts:        o.attempts,
		Proofs:          o.proofs,
		UserTimeout:     o.cfg.UserTimeout,
	}
}

// closeOrders removes ended orders in a single write.
func (o *Orderer) closeOrders(ctx context.Context, ended []endedOrder) error {
	if len(ended) == 0 {
		return nil
	}
	var closed []endedOrder
	_, err := o.cfg.Leaser.Update(ctx, func(draft *leaser.Draft) error {
		table, err := ParseOrderTable(draft.Payload)
		if err != nil {
			return err
		}
		table, closed = table.removeEnded(ended)
		draft.Payload, err = table.encode()
		return err
	})
	if err != nil {
		return err
	}
	for _, e := range closed {
		o.cfg.Log.Info("order closed", "order_id", e.order.OrderID, "endpoint_id", e.order.EndpointID, "outcome", e.outcome)
		o.cfg.OnFinished(e.order, e.outcome)
	}
	return nil
}

// removeEnded removes ended orders and returns those that are closed. An order that
// was reissued since the decision stays, because it has a send that the decision
// didn't consider. An order that is missing was removed by an earlier write whose
// answer was lost.
func (t OrderTable) removeEnded(ended []endedOrder) (OrderTable, []endedOrder) {
	var closed []endedOrder
	for _, e := range ended {
		i := t.findByID(e.order.OrderID)
		if i >= 0 && !slices.Equal(t.Orders[i].Sends, e.order.Sends) {
			continue
		}
		t = t.remove(e.order.OrderID)
		closed = append(closed, e)
	}
	return t, closed
}

// reissue sends orders of earlier holders again with a higher fencing number.
func (o *Orderer) reissue(ctx context.Context, orders []OpenOrder) error {
	var errs []error
	for _, order := range orders {
		host, ok := o.list().endpoint(order.EndpointID)
		if !ok || host.Incarnation != order.EndpointIncarnation {
			continue
		}
		err := o.issue(ctx, host.Address, func(table OrderTable, send Send) (OrderTable, OpenOrder, error) {
			i := table.findByID(order.OrderID)
			if i < 0 || !slices.Equal(table.Orders[i].Sends, order.Sends) {
				return table, OpenOrder{}, errOrderClosed
			}
			return table.reissue(order.OrderID, send)
		})
		if !errors.Is(err, errOrderClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// requestProofs concurrently requests proof from former holders that they make no
// more sends.
func (o *Orderer) requestProofs(ctx context.Context, record leaser.Record, holders map[string]leaser.Holder) error {
	ctx, cancel := timekeeper.WithTimeout(ctx, o.cfg.ProofRequestTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxProofRequests)
	for _, holder := range holders {
		group.Go(func() error {
			hasSteppedDown, err := o.cfg.Predecessor.HasSteppedDown(ctx, holder, record.Zone, record.Term-1)
			if err != nil || !hasSteppedDown {
				return err
			}
			o.recordProof(record.Term, holder.Incarnation)
			return nil
		})
	}
	return group.Wait()
}

func (o *Orderer) recordProof(term int64, incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == term {
		o.proofs[incarnation] = o.cfg.Now()
	}
}
