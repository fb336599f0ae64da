package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/budgeter"
	"github.com/endivemast/endivemast/internal/dispatcher"
)

func smallBudget(bytes int64, connections int) *budgeter.Budget {
	limits := budgeter.Limits{Bytes: bytes}
	limits.Connections[budgeter.Callers] = connections
	return budgeter.New(budgeter.Config{Limits: limits})
}

// generate sends a request with a prompt of a size, and returns its status.
func generate(t *testing.T, s *Server, transport http.RoundTripper, promptBytes int) (status int, err error) {
	t.Helper()
	body := `{"prompt":"` + strings.Repeat("a", promptBytes) + `","max_output_tokens":1}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+s.Addresses().Callers+"/v1/classes/c/generate", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestRequestsOfOneHTTP2ConnectionReturnTheirMemory guards against bytes of bodies that are counted as heads until the
// connection finds no memory.
func TestRequestsOfOneHTTP2ConnectionReturnTheirMemory(t *testing.T) {
	cfg := testConfig(t)
	cfg.Budget = smallBudget(8<<20, 10)
	s, transport := startTLSServer(t, cfg, &fakeDeps{})
	for range 50 {
		status, err := generate(t, s, transport, 100_000)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, cfg.Budget.Usage().UsedConnections[budgeter.Callers], 1)
}

// TestEvictionSparesRunningHTTP2Requests guards against a connection that is evicted while its requests run.
func TestEvictionSparesRunningHTTP2Requests(t *testing.T) {
	cfg := testConfig(t)
	cfg.Budget = smallBudget(8<<20, 4)
	running, release := make(chan struct{}), make(chan struct{})
	f := &fakeDeps{generate: func(context.Context, dispatcher.Request, dispatcher.TokenFunc) (dispatcher.Answer, error) {
		close(running)
		<-release
		return dispatcher.Answer{}, nil
	}}
	s, transport := startTLSServer(t, cfg, f)
	var group errgroup.Group
	group.Go(func() error {
		status, err := generate(t, s, transport, 10)
		if err == nil {
			assert.Check(t, status == http.StatusOK, "status %d", status)
		}
		return err
	})
	<-running
	deadline := time.Now().Add(20 * time.Second)
	for cfg.Budget.Usage().Evicted < 8 && time.Now().Before(deadline) { // TLS handshakes that don't end
		conn, err := net.Dial("tcp", s.Addresses().Callers)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	assert.Assert(t, cfg.Budget.Usage().Evicted >= 8)
	close(release)
	assert.NilError(t, group.Wait())
}
