package etcdprovider

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// TestEndlessAnswers guards against answers that are read without end, and against writes without a
// complete answer that count as not performed.
func TestEndlessAnswers(t *testing.T) {
	t.Parallel()
	calls := map[string]struct {
		call func(ctx context.Context, p *Provider) error
		want error
	}{
		"read": {func(ctx context.Context, p *Provider) error {
			_, err := p.Get(ctx, "a")
			return err
		}, provider.ErrUnavailable},
		"write": {func(ctx context.Context, p *Provider) error {
			_, err := p.Swap(ctx, provider.Write{Key: "a", Value: []byte("b")})
			return err
		}, provider.ErrOutcomeUnknown},
		"watch": {func(ctx context.Context, p *Provider) error {
			_, err := p.Watch(ctx, "a", 1)
			return err
		}, provider.ErrUnavailable},
	}
	for name, test := range map[string]struct {
		script opaqueserver.Script
		limit  responselimiter.Limit
	}{
		"no line end":  {func(x *opaqueserver.Exchange) { x.Endless("x") }, responselimiter.HeadBytes},
		"header lines": {func(x *opaqueserver.Exchange) { x.Write("HTTP/1.1 200 OK\r\n"); x.EndlessLines() }, responselimiter.HeadBytes},
		"informational heads": {func(x *opaqueserver.Exchange) {
			x.Endless("HTTP/1.1 103 Early Hints\r\n\r\n")
		}, responselimiter.InformationalHeads},
		"slow head": {func(x *opaqueserver.Exchange) { x.Slow("HTTP/1.1 ") }, responselimiter.HeadTime},
		"chunk extension": {func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Write("5;")
			x.Endless("a")
		}, responselimiter.ChunkBytes},
		"trailers": {func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Write("0\r\n")
			x.Endless("A: b\r\n")
		}, responselimiter.TrailerBytes},
	} {
		for callName, call := range calls {
			t.Run(name+", "+callName, func(t *testing.T) {
				t.Parallel()
				server := opaqueserver.Start(test.script)
				t.Cleanup(server.Close)
				var exceeded atomic.Int64
				counter := &responselimiter.Counter{}
				counter.SetObserver(func(string, string) { exceeded.Add(1) })
				p, err := New(Config{
					Endpoints: []string{"http://" + server.Address()}, CallTimeout: 2 * responselimiter.MaxHeadTime, ExceededLimits: counter,
				})
				assert.NilError(t, err)
				defer func() { assert.NilError(t, p.Close()) }()
				err = call.call(t.Context(), p)
				assert.ErrorIs(t, err, call.want)
				limit, _ := responselimiter.ExceededLimit(err)
				assert.Equal(t, limit, test.limit, "%v", err)
				assert.Equal(t, exceeded.Load(), int64(1))
			})
		}
	}
}

// TestFrameLimit guards against a frame of a watch that is read without end.
func TestFrameLimit(t *testing.T) {
	t.Parallel()
	_, err := deliverText(t, `{"result":{"events":[{"kv":{"value":"`+strings.Repeat("x", maxResponseBytes), 5)
	limit, _ := responselimiter.ExceededLimit(err)
	assert.Equal(t, limit, responselimiter.EventBytes, "%v", err)
}
