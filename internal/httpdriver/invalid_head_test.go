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

// TestInvalidHead guards against an answer with a status, or with the name of a field, that HTTP does not have which counts as a refusal.
func TestInvalidHead(t *testing.T) {
	t.Parallel()
	const (
		callRefused  = `{"attempt_id":"a","code":"busy","ran":false}`
		orderRefused = `{"order_id":"o","code":"busy","ran":false}`
	)
	const busy = "HTTP/1.1 429 Too Many Requests\r\n"
	for headName, head := range map[string]string{
		"status 000": "HTTP/1.1 000 Odd\r\n", "status 099": "HTTP/1.1 099 Odd\r\n", "status 600": "HTTP/1.1 600 Odd\r\n", "status 999": "HTTP/1.1 999 Odd\r\n",
		"blank in a name": busy + "X Odd: 1\r\n", "blank before the colon": busy + "Content-Length : 4\r\n", "control byte in a name": busy + "X\x01Odd: 1\r\n",
	} {
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
			t.Run(headName+", "+name, func(t *testing.T) {
				t.Parallel()
				server := opaqueserver.Start(func(x *opaqueserver.Exchange) {
					x.Write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(test.body), test.body))
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
