package httpdriver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/headchecker"
	"github.com/endivemast/endivemast/internal/responselimiter"
)

// Send sends an order once, over a connection of its own.
//
// An order must not be delivered after its sender's authority has ended. Therefore it
// never waits for a pooled connection or behind other bytes, the kernel retransmits it for
// at most OrderTimeout (see dial), and an abandoned connection is reset, which discards
// unsent bytes (see countingConn.Close). Only the engine's own fencing protects against an
// engine that has received the order and applies it late.
func (d *Driver) Send(ctx context.Context, target driver.Target, order driver.OrderCall) (err error) {
	defer func() { err = eris.Wrapf(err, "send order %s to %s", order.OrderID, target.EndpointID) }()

	if err := d.begin(); err != nil {
		return err
	}
	defer d.running.Done()
	ctx, cancel := context.WithTimeout(ctx, d.settings.OrderTimeout)
	defer cancel()
	message, err := orderMessage(target, order)
	if err != nil {
		return &classError{class: driver.ErrNotSent, cause: err}
	}
	r, err := newRequest(ctx, target.Address, PathOrders, message)
	if err != nil {
		return &classError{class: driver.ErrNotSent, cause: err}
	}
	r.Close = true
	conn, err := dial(ctx, target.Address, d.settings.DialTimeout, d.settings.OrderTimeout)
	if err != nil {
		return &classError{class: driver.ErrNotSent, cause: err}
	}
	defer conn.seal(nil, 0)
	return d.sendOrder(ctx, conn, r, order.OrderID)
}

func orderMessage(target driver.Target, order driver.OrderCall) (OrderMessage, error) {
	message := OrderMessage{
		OrderID:     order.OrderID,
		Zone:        order.Zone,
		Epoch:       order.Epoch,
		Holder:      order.Holder,
		Incarnation: target.Incarnation,
	}
	switch o := order.Order.(type) {
	case driver.SetRole:
		message.SetRole = &o
	case driver.LoadModel:
		message.LoadModel = &o
	default:
		return message, errors.New("order of an unknown kind")
	}
	return message, nil
}

func (d *Driver) sendOrder(ctx context.Context, conn *countingConn, r *http.Request, orderID string) error {
	// The end of the context interrupts a blocked write or read.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	if err := r.Write(conn); err != nil {
		return orderFailure(conn, causeOf(ctx, err))
	}
	// http.ReadResponse has no limit on the head. OrderTimeout limits its time.
	limited := &io.LimitedReader{R: conn, N: responselimiter.MaxHeadBytes}
	resp, err := http.ReadResponse(bufio.NewReader(limited), r)
	if err != nil {
		if limited.N == 0 {
			err = &responselimiter.ExceededError{Limit: responselimiter.HeadBytes}
			d.settings.ExceededLimits.CountError(responselimiter.ClientEndpoint, err)
		}
		return orderFailure(conn, causeOf(ctx, err))
	}
	defer resp.Body.Close()
	if err := headchecker.Check(resp.StatusCode, resp.Header); err != nil {
		return orderFailure(conn, err)
	}
	limited.N = math.MaxInt64 // ReadAll limits the body
	body, err := responselimiter.ReadAll(resp.Body, int64(d.settings.MaxLineBytes))
	if err != nil {
		d.settings.ExceededLimits.CountError(responselimiter.ClientEndpoint, err)
		return orderFailure(conn, causeOf(ctx, err))
	}
	return orderResult(resp.StatusCode, body, orderID)
}

func orderFailure(conn *countingConn, cause error) error {
	if conn.seal(nil, 0) {
		return &classError{class: driver.ErrOutcomeUnknown, cause: cause}
	}
	return &classError{class: driver.ErrNotSent, cause: cause}
}

// orderResult classifies an answer. If it echoes another order, it is unknown whether this
// order was accepted; there is no separate class for that.
func orderResult(status int, body []byte, orderID string) error {
	if status != http.StatusOK {
		var message ErrorMessage
		if err := json.Unmarshal(body, &message); err != nil || message.OrderID != orderID {
			return &classError{class: driver.ErrOutcomeUnknown, cause: errors.New("error answer without proof")}
		}
		return errorFromMessage(message, message.OrderID, orderID)
	}
	var answer OrderAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return &classError{class: driver.ErrOutcomeUnknown, cause: err}
	}
	if answer.OrderID != orderID {
		return &classError{class: driver.ErrOutcomeUnknown, cause: errors.New("answer echoes another order")}
	}
	return nil
}
