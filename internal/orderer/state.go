package orderer

// OrderState is the progress of an open order, for display.
type OrderState string

// States of an open order.
const (
	OrderSent      OrderState = "sent"      // sent once, by the current holder
	OrderReissued  OrderState = "reissued"  // sent more than once
	OrderInherited OrderState = "inherited" // a former holder may still send it
	OrderSettled   OrderState = "settled"   // all sends are over; waiting for the endpoint's report
)

// OrderStates returns all states of an open order.
func OrderStates() []OrderState {
	return []OrderState{OrderSent, OrderReissued, OrderInherited, OrderSettled}
}

// CountStates counts orders by state. The holder is the incarnation of the process
// that holds the authority. An order that a former holder may still send counts as
// inherited, whatever its other properties.
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
