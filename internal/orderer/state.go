package orderer

// OrderState says how far an open order is, for display.
type OrderState string

// States of an open order.
const (
	OrderSent      OrderState = "sent"      // by the present holder, once
	OrderReissued  OrderState = "reissued"  // given more than once
	OrderInherited OrderState = "inherited" // a former holder may still send it
	OrderSettled   OrderState = "settled"   // all sends are over; the endpoint's report is awaited
)

// OrderStates returns all states.
func OrderStates() []OrderState {
	return []OrderState{OrderSent, OrderReissued, OrderInherited, OrderSettled}
}

// CountStates counts a table's orders by state. The holder is the incarnation
// of the process that holds the authority; an order that a former holder may
// still send counts as inherited, whatever else has become of it.
func CountStates(orders []OpenOrder, holder string) map[OrderState]int {
	counts := make(map[OrderState]int)
	for _, order := range orders {
		counts[order.state(holder)]++
	}
	return counts
}

func (o OpenOrder) state(holder string) OrderState {
	settled := true
	for _, send := range o.Sends {
		if !send.Settled && send.Sender.Incarnation != holder {
			return OrderInherited
		}
		settled = settled && send.Settled
	}
	switch {
	case settled:
		return OrderSettled
	case o.Reissued:
		return OrderReissued
	}
	return OrderSent
}
