package httpdriver

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// TestEndlessAnswers guards against answers that are read without end, and against calls without a
// complete answer that count as not sent.
func TestEndlessAnswers(t *testing.T) {
	t.Parallel()
	calls := map[string]func(ctx context.Context, d *Driver, target driver.Target) error{
		"call": func(ctx context.Context, d *Driver, target driver.Target) error {
			_, err := d.Call(ctx, target, driver.ServiceCall{AttemptID: "a"})
			return err
		},
		"stream": func(ctx context.Context, d *Driver, target driver.Target) error {
			stream, err := d.Generate(ctx, target, driver.GenerateCall{AttemptID: "a"})
			if err != nil {
				return err
			}
			defer closeNow(t, stream)
			_, err = stream.Next()
			return err
		},
		"report": func(ctx context.Context, d *Driver, target driver.Target) error {
			_, err := d.Report(ctx, target, 0)
			return err
		},
		"order": func(ctx context.Context, d *Driver, target driver.Target) error {
			return d.Send(ctx, target, driver.OrderCall{OrderID: "o", Order: driver.SetRole{Role: driver.RoleMixed}})
		},
	}
	for name, test := range map[string]struct {
		script opaqueserver.Script
		limit  responselimiter.Limit
	}{
		"no line end":  {func(x *opaqueserver.Exchange) { x.Endless("x") }, responselimiter.HeadBytes},
		"header lines": {func(x *opaqueserver.Exchange) { x.Write("HTTP/1.1 200 OK\r\n"); x.EndlessLines() }, responselimiter.HeadBytes},
		"slow head":    {func(x *opaqueserver.Exchange) { x.Slow("HTTP/1.1 ") }, responselimiter.HeadTime},
		"chunked body": {func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Endless("1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n")
		}, responselimiter.BodyBytes},
		"chunk extension": {func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Write("5;")
			x.Endless("a")
		}, responselimiter.ChunkBytes},
	} {
		for callName, call := range calls {
			t.Run(name+", "+callName, func(t *testing.T) {
				t.Parallel()
				endpoint := opaqueserver.Start(test.script)
				t.Cleanup(endpoint.Close)
				var exceeded atomic.Int64
				counter := &responselimiter.Counter{}
				counter.SetObserver(func(string, string) { exceeded.Add(1) })
				drv := New(Settings{ExceededLimits: counter})
				defer closeNow(t, drv)
				ctx, cancel := context.WithTimeout(t.Context(), 2*responselimiter.MaxHeadTime)
				defer cancel()
				startedAt := time.Now()
				err := call(ctx, drv, driver.Target{EndpointID: "e1", Address: endpoint.Address()})
				assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
				assert.Check(t, time.Since(startedAt) < responselimiter.MaxHeadTime+time.Second)
				limit := test.limit
				if limit == responselimiter.HeadTime && (callName == "report" || callName == "order") {
					return // the call has no more time than a head
				}
				if limit == responselimiter.BodyBytes && callName == "stream" {
					limit = responselimiter.EventBytes
				}
				got, _ := responselimiter.ExceededLimit(err)
				assert.Equal(t, got, limit, "%v", err)
				assert.Equal(t, exceeded.Load(), int64(1))
			})
		}
	}
}
