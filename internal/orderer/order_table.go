package orderer

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/leaser"
)

// OrderTable holds a zone's open orders. It is stored as the payload of the zone's
// record.
type OrderTable struct {
	Orders []OpenOrder `json:"open_orders"`
}

// OpenOrder is an order that may still take effect at its endpoint.
type OpenOrder struct {
	OrderID             string        `json:"order_id"`
	EndpointID          string        `json:"endpoint_id"`
	EndpointIncarnation string        `json:"endpoint_incarnation"`
	EndpointListedAt    int64         `json:"endpoint_listed_at"` // host list revision that contained this incarnation
	Order               OrderDocument `json:"order"`
	// Reissued is set once the order has been sent more than once. The endpoint's
	// report then no longer shows which of the sends it received.
	Reissued bool   `json:"reissued,omitempty"`
	Sends    []Send `json:"sends"`
}

// Send is one intended transmission of an order. Its sender transmits it at most
// once.
type Send struct {
	SendID string        `json:"send_id"`
	Epoch  int64         `json:"epoch"` // fencing number of the send
	Sender leaser.Holder `json:"sender"`
	// Settled is set when the sender knows that the send can't reach the endpoint
	// any more.
	Settled bool `json:"settled,omitempty"`
}

// OrderDocument is the stored form of a driver.Order. Exactly one field is set.
type OrderDocument struct {
	SetRole   *driver.SetRole   `json:"set_role,omitempty"`
	LoadModel *driver.LoadModel `json:"load_model,omitempty"`
}

func newOrderDocument(order driver.Order) (OrderDocument, error) {
	switch order := order.(type) {
	case driver.SetRole:
		return OrderDocument{SetRole: &order}, nil
	case driver.LoadModel:
		return OrderDocument{LoadModel: &order}, nil
	}
	return OrderDocument{}, fmt.Errorf("%w: unsupported order type %T", ErrInvalid, order)
}

// Order returns the order in the driver's form, or nil if the document is empty.
func (d OrderDocument) Order() driver.Order {
	switch {
	case d.SetRole != nil:
		return *d.SetRole
	case d.LoadModel != nil:
		return *d.LoadModel
	}
	return nil
}

// ParseOrderTable decodes a record's payload. An empty payload is an empty table.
// Errors wrap ErrInvalid.
func ParseOrderTable(payload json.RawMessage) (table OrderTable, err error) {
	if len(payload) == 0 {
		return OrderTable{}, nil
	}
	if err := json.Unmarshal(payload, &table); err != nil {
		return OrderTable{}, fmt.Errorf("%w: decode open orders: %w", ErrInvalid, err)
	}
	return table, nil
}

// findByEndpoint returns the index of an endpoint's open order, or -1.
func (t OrderTable) findByEndpoint(endpointID string) int {
	return slices.IndexFunc(t.Orders, func(o OpenOrder) bool { return o.EndpointID == endpointID })
}

// findByID returns the index of an open order, or -1.
func (t OrderTable) findByID(orderID string) int {
	return slices.IndexFunc(t.Orders, func(o OpenOrder) bool { return o.OrderID == orderID })
}

// addOrder adds a new order. If the endpoint already has an equal order of an
// earlier holder, it adds a send to that one instead. Any other order fails with
// ErrOrderOpen.
func (t OrderTable) addOrder(order OpenOrder, send Send) (OrderTable, OpenOrder, error) {
	i := t.findByEndpoint(order.EndpointID)
	if i < 0 {
		order.Sends = []Send{send}
		t.Orders = append(slices.Clone(t.Orders), order)
		return t, order, nil
	}
	open := t.Orders[i]
	if open.Order.Order() != order.Order.Order() || open.hasSendBy(send.Sender.Incarnation) {
		return t, OpenOrder{}, fmt.Errorf("%w: %s", ErrOrderOpen, open.OrderID)
	}
	return t.reissue(open.OrderID, send)
}

// reissue adds a send to an open order, which keeps its ID.
func (t OrderTable) reissue(orderID string, send Send) (OrderTable, OpenOrder, error) {
	i := t.findByID(orderID)
	if i < 0 {
		return t, OpenOrder{}, errOrderClosed
	}
	t.Orders = slices.Clone(t.Orders)
	order := &t.Orders[i]
	order.Reissued = true
	// A sender's previous send is over before it makes another one.
	order.Sends = slices.DeleteFunc(slices.Clone(order.Sends), func(s Send) bool {
		return s.Settled || s.Sender.Incarnation == send.Sender.Incarnation
	})
	order.Sends = append(order.Sends, send)
	return t, *order, nil
}

// remove closes an order.
func (t OrderTable) remove(orderID string) OrderTable {
	t.Orders = slices.DeleteFunc(slices.Clone(t.Orders), func(o OpenOrder) bool { return o.OrderID == orderID })
	return t
}

// markSettled marks the sends for which isOver returns true.
func (t OrderTable) markSettled(isOver func(Send) bool) OrderTable {
	t.Orders = slices.Clone(t.Orders)
	for i := range t.Orders {
		order := &t.Orders[i]
		order.Sends = slices.Clone(order.Sends)
		for j := range order.Sends {
			order.Sends[j].Settled = order.Sends[j].Settled || isOver(order.Sends[j])
		}
	}
	return t
}

// IsForeign reports whether none of the sends was made by the process with this
// incarnation. It is unknown when such an order ends, because a former holder may
// be frozen.
func (o OpenOrder) IsForeign(incarnation string) bool { return !o.hasSendBy(incarnation) }

func (o OpenOrder) hasSendBy(incarnation string) bool {
	return slices.ContainsFunc(o.Sends, func(s Send) bool { return s.Sender.Incarnation == incarnation })
}

func (t OrderTable) encode() (json.RawMessage, error) { return json.Marshal(t) }
