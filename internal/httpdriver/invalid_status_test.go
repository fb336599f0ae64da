package httpdriver

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// TestInvalidStatus guards against an answer with a status that HTTP does not have which counts as a refusal.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	const (
		callRefused  = `{"attempt_id":"a","code":"busy","ran":false}`
		orderRefused = `{"order_id":"o","code":"busy","ran":false}`
	)
	for _, status := range []string{"000", "099", "600", "999"} {
		for name, test := range map[string]struct {
			body string
			call func(ctx context.Context, d *Driver, target driver.Target) error
		}{
			"call": {callRefused, func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Call(ctx, target, driver.ServiceCall{AttemptID: "a"})
				return err
			}},
			"stream": {callRefused, func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Generate(ctx, target, driver.GenerateCall{AttemptID: "a"})
				return err
			}},
			"prefill": {callRefused, func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Prefill(ctx, target, driver.GenerateCall{AttemptID: "a"})
				return err
			}},
			"order": {orderRefused, func(ctx context.Context, d *Driver, target driver.Target) error {
				return d.Send(ctx, target, driver.OrderCall{OrderID: "o", Order: driver.SetRole{Role: driver.RoleMixed}})
			}},
			"report": {`{}`, func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Report(ctx, target, 0)
				return err
			}},
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				server := opaqueserver.Start(func(x *opaqueserver.Exchange) {
					x.Write(fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(test.body), test.body))
				})
				t.Cleanup(server.Close)
				d := New(Settings{})
				t.Cleanup(func() { assert.NilError(t, d.Close()) })
				err := test.call(t.Context(), d, driver.Target{EndpointID: "e1", Address: server.Address()})
				assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
				assert.Assert(t, !errors.Is(err, driver.ErrRefused), "%v", err)
			})
		}
	}
}
