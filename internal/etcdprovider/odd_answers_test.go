package etcdprovider_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/etcdprovider"
	"github.com/endivemast/endivemast/internal/provider"
)

// TestOddRevisionIsNotKept guards against a store whose later answers are all refused as older than one with an odd
// revision.
func TestOddRevisionIsNotKept(t *testing.T) {
	t.Parallel()
	get := func(ctx context.Context, p *etcdprovider.Provider) error {
		_, err := p.Get(ctx, "a")
		return err
	}
	list := func(ctx context.Context, p *etcdprovider.Provider) error {
		_, _, err := p.List(ctx, "a")
		return err
	}
	swap := func(ctx context.Context, p *etcdprovider.Provider) error {
		_, err := p.Swap(ctx, provider.Write{Key: "a"})
		return err
	}
	watch := func(ctx context.Context, p *etcdprovider.Provider) error {
		w, err := p.Watch(ctx, "a", 1)
		if err != nil {
			return err
		}
		for range w.Changes() {
		}
		assert.NilError(t, w.Close())
		return w.Err()
	}
	const item = `{"key":"YQ==","mod_revision":"%s"}`
	for name, test := range map[string]struct {
		call   func(ctx context.Context, p *etcdprovider.Provider) error
		answer string
		want   error
	}{
		"get":                   {get, `{"header":{"revision":"%s"},"kvs":[{"key":"YQ==","mod_revision":"3"}]}`, provider.ErrUnavailable},
		"get, item":             {get, `{"header":{"revision":"7"},"kvs":[` + item + `]}`, provider.ErrUnavailable},
		"get, another key":      {get, `{"header":{"revision":"7"},"kvs":[{"key":"Yg==","mod_revision":"3","lease":"%s"}]}`, provider.ErrUnavailable},
		"list":                  {list, `{"header":{"revision":"%s"}}`, provider.ErrUnavailable},
		"list, item":            {list, `{"header":{"revision":"7"},"kvs":[` + item + `]}`, provider.ErrUnavailable},
		"list, another key":     {list, `{"header":{"revision":"7"},"kvs":[{"key":"Yg==","mod_revision":"3","lease":"%s"}]}`, provider.ErrUnavailable},
		"swap":                  {swap, `{"header":{"revision":"%s"},"succeeded":true}`, provider.ErrOutcomeUnknown},
		"watch":                 {watch, `{"result":{"header":{"revision":"7"},"created":true}}{"result":{"header":{"revision":"9"},"events":[{"kv":` + item + `}]}}`, provider.ErrUnavailable},
		"watch, another prefix": {watch, `{"result":{"header":{"revision":"7"},"created":true}}{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"Yg==","mod_revision":"8","lease":"%s"}}]}}`, provider.ErrUnavailable},
	} {
		for _, revision := range []string{"9223372036854775807", "3000000000000000", "-1"} {
			t.Run(name+", "+revision, func(t *testing.T) {
				t.Parallel()
				var isOver atomic.Bool
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if isOver.Load() {
						fmt.Fprint(w, `{"header":{"revision":"8"},"kvs":[{"key":"YQ==","mod_revision":"3"}]}`)
						return
					}
					fmt.Fprintf(w, test.answer, revision)
				}))
				t.Cleanup(server.Close)
				store := newStore(t, etcdprovider.Config{CallTimeout: time.Second}, server.Listener.Addr().String())
				assert.ErrorIs(t, test.call(t.Context(), store), test.want)
				isOver.Store(true)
				assert.NilError(t, get(t.Context(), store), "a later answer")
			})
		}
	}
}
