package storeserver

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// A call that the store leaves unanswered ends with its connection.
func TestProxyClosesDuringUnansweredWrite(t *testing.T) {
	t.Parallel()
	s := Start()
	defer s.Close()
	p := s.OpenProxy()
	s.SetFault(FaultNoAnswer)
	conn, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("POST /api/kv-lease HTTP/1.1\r\nHost: s\r\nContent-Length: 15\r\n\r\n{\"ttl_ms\":9000}"))
	assert.NilError(t, err)
	for s.Calls("/api/kv-lease") == 0 {
		<-time.After(time.Millisecond)
	}
	assert.NilError(t, conn.Close())
	closed := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		p.Close()
		close(closed)
		return nil
	})
	select {
	case <-closed:
		assert.NilError(t, group.Wait())
	case <-time.After(10 * time.Second):
		t.Error("the proxy waits for a call whose connection is closed")
		s.SetFault(FaultNone)
	}
}
