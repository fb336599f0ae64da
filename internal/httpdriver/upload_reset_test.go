package httpdriver

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/standins/opaqueserver"
)

const (
	uploadBytes = 4 << 20 // more than the buffers of both sockets hold
	uploads     = 6
)

// TestResetDuringUpload guards against a part of an answer without a length that counts as complete.
func TestResetDuringUpload(t *testing.T) {
	t.Parallel()
	upload := strings.Repeat("u", uploadBytes)
	for name, test := range map[string]struct {
		part string // of the answer's body
		call func(ctx context.Context, d *Driver, target driver.Target) error
	}{
		"call": {
			part: `{"attempt_id":"a","body":"cG`,
			call: func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Call(ctx, target, driver.ServiceCall{AttemptID: "a", Body: []byte(upload)})
				return err
			},
		},
		"empty call": {
			call: func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Call(ctx, target, driver.ServiceCall{AttemptID: "a", Body: []byte(upload)})
				return err
			},
		},
		"stream between lines": {
			part: `{"attempt_id":"a","kind":"token","sequence":0,"text":"t"}` + "\n",
			call: func(ctx context.Context, d *Driver, target driver.Target) error {
				stream, err := d.Generate(ctx, target, driver.GenerateCall{AttemptID: "a", Prompt: upload})
				if err != nil {
					return err
				}
				defer closeNow(t, stream)
				for err == nil {
					_, err = stream.Next()
				}
				return err
			},
		},
		"prefill": {
			part: `{"attempt_id":"a","kind":"handle","handle":{"handle_id":"h`,
			call: func(ctx context.Context, d *Driver, target driver.Target) error {
				_, err := d.Prefill(ctx, target, driver.GenerateCall{AttemptID: "a", Prompt: upload})
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := opaqueserver.StartEarly(func(x *opaqueserver.Exchange) {
				x.Head(http.StatusOK)
				x.Write(test.part)
				timer := time.NewTimer(5 * time.Millisecond)
				<-timer.C
				x.Reset()
			})
			t.Cleanup(server.Close)
			d := New(Settings{})
			t.Cleanup(func() { assert.NilError(t, d.Close()) })
			for n := range uploads {
				err := test.call(t.Context(), d, driver.Target{EndpointID: "e1", Address: server.Address()})
				assert.ErrorIs(t, err, driver.ErrOutcomeUnknown, "upload %d", n)
			}
		})
	}
}
