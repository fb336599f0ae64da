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

// TestInvalidHead guards against an answer with a status, or with the name of a field, that HTTP does not have which counts as a refusal by the service.
func TestInvalidHead(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 Odd\r\n", "status 099": "HTTP/1.1 099 Odd\r\n", "status 600": "HTTP/1.1 600 Odd\r\n", "status 999": "HTTP/1.1 999 Odd\r\n",
		"blank in a name": "HTTP/1.1 404 Not Found\r\nX Odd: 1\r\n", "control byte in a name": "HTTP/1.1 404 Not Found\r\nX\x01Odd: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const body = `{"message":"etcdserver: no leader"}`
			odd := opaqueserver.Start(func(x *opaqueserver.Exchange) {
				x.Write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
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
