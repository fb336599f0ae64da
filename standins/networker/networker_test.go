package networker

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/connector"
)

const address = "10.0.0.1:80"

// connect opens a connection from host b to host a.
func connect(t *testing.T, n *Network, options connector.Options) (client, server net.Conn) {
	t.Helper()
	listener, err := n.Host("a").Listen(address)
	assert.NilError(t, err)
	client, err = n.Host("b").Dial(t.Context(), address, options)
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return client, server
}

func read(t *testing.T, c net.Conn) string {
	t.Helper()
	b := make([]byte, 100)
	n, err := c.Read(b)
	assert.NilError(t, err)
	return string(b[:n])
}

func TestDataIsDeliveredAfterCutEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		client, server := connect(t, n, connector.Options{UserTimeout: 3 * time.Second})
		n.SetCut("b", "a", true)
		began := time.Now()
		_, err := client.Write([]byte("late"))
		assert.NilError(t, err)
		time.AfterFunc(time.Second, func() { n.SetCut("b", "a", false) })
		assert.Equal(t, read(t, server), "late")
		assert.Equal(t, time.Since(began), 1401*time.Millisecond) // sent again after 0.2, 0.4 and 0.8 s
		assert.NilError(t, client.Close())
		assert.NilError(t, server.Close())
	})
}

func TestUnreachablePeerIsDetected(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		options connector.Options
		write   bool
		want    time.Duration
	}{
		"user timeout": {options: connector.Options{UserTimeout: 3 * time.Second}, write: true, want: 3001 * time.Millisecond},
		"keep-alive": {options: connector.Options{KeepAlive: net.KeepAliveConfig{
			Enable: true, Interval: 500 * time.Millisecond, Count: 3,
		}}, want: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := New(time.Millisecond)
				client, server := connect(t, n, test.options)
				n.Silence(func(_, _ string) bool { return true })
				began := time.Now()
				if test.write {
					_, err := client.Write([]byte("lost"))
					assert.NilError(t, err)
				}
				_, err := client.Read(make([]byte, 1))
				assert.Assert(t, errors.Is(err, syscall.ETIMEDOUT), err)
				assert.Equal(t, time.Since(began), test.want)
				assert.NilError(t, client.Close())
				assert.NilError(t, server.Close())
			})
		})
	}
}

func TestDialThroughCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		a := n.Host("a")
		listener, err := a.Listen(address)
		assert.NilError(t, err)
		n.SetCut("a", "b", true)
		_, err = n.Host("b").Dial(t.Context(), address, connector.Options{Timeout: time.Second})
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		a.PowerOff()
		n.SetCut("a", "b", false)
		_, err = n.Host("b").Dial(t.Context(), address, connector.Options{Timeout: time.Second})
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		_, err = listener.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}
