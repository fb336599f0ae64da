package etcdprovider_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/endivemast/endivemast/internal/etcdprovider"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// TestInvalidStatus guards against an answer with a status that HTTP does not have which counts as a refusal by the service.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			const body = `{"message":"etcdserver: no leader"}`
			odd := opaqueserver.Start(func(x *opaqueserver.Exchange) {
				x.Write(fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
			})
			t.Cleanup(odd.Close)
			sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, `{"header":{"revision":"8"},"kvs":[{"key":"YQ==","mod_revision":"3"}]}`)
			}))
			t.Cleanup(sound.Close)
			store := newStore(t, etcdprovider.Config{}, odd.Address(), sound.Listener.Addr().String())
			_, err := store.Swap(t.Context(), provider.Write{Key: "a"})
			assert.Check(t, cmp.ErrorIs(err, provider.ErrOutcomeUnknown), "a write")
			store = newStore(t, etcdprovider.Config{}, odd.Address(), sound.Listener.Addr().String())
			_, err = store.Get(t.Context(), "a")
			assert.Check(t, err, "another endpoint answers the read")
		})
	}
}
