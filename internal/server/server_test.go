package server

import (
	"bufio"
	"context"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
)

func TestMalformedRequests(t *testing.T) {
	cfg := testConfig(t)
	cfg.MaxBodyBytes = 200
	s := startServer(t, cfg, &fakeDeps{})
	tests := map[string]struct {
		body    string
		headers []string
		status  int
		want    string
	}{
		"no body":            {status: 400, want: "missing required payload"},
		"not JSON":           {body: `{"prompt`, status: 400, want: `"reason":"invalid"`},
		"two values":         {body: generateBody + "{}", status: 400, want: "after the JSON value"},
		"an array":           {body: `[]`, status: 400, want: `"reason":"invalid"`},
		"unknown field":      {body: `{"promt": "a"}`, status: 400, want: `unknown field`},
		"wrong type":         {body: `{"prompt": 5, "max_output_tokens": 1}`, status: 400, want: `"field":"prompt","accepted":"a string"`},
		"missing prompt":     {body: `{"max_output_tokens": 1}`, status: 400, want: `"field":"prompt"`},
		"no tokens":          {body: `{"prompt": "a", "max_output_tokens": 0}`, status: 400, want: `"accepted":"greater or equal than 1"`},
		"too large":          {body: `{"prompt": "` + strings.Repeat("a", 300) + `", "max_output_tokens": 1}`, status: 413, want: `"reason":"too_large"`},
		"long request id":    {body: generateBody, headers: []string{requestIDHeader, strings.Repeat("a", 129)}, status: 400, want: requestIDHeader},
		"invalid request id": {body: generateBody, headers: []string{requestIDHeader, "a b"}, status: 400, want: requestIDHeader},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{"generate", "stream"} {
				url := "http://" + s.Addresses().Callers + "/v1/classes/letters/" + method
				resp, body := sendRequest(t, http.MethodPost, url, tt.body, append(bearerHeader(callerToken), tt.headers...)...)
				assert.Equal(t, resp.StatusCode, tt.status, body)
				assert.Assert(t, strings.Contains(body, tt.want), body)
				assert.Assert(t, strings.Contains(body, `"outcome":"not_run"`), body)
			}
		})
	}
}

func TestHealth(t *testing.T) {
	f := &fakeDeps{}
	s := startServer(t, testConfig(t), f)
	for _, address := range []string{s.Addresses().Callers, s.Addresses().Operators} {
		for reason, want := range map[string]int{"": 200, ReasonNoConfiguration: 503, ReasonDraining: 503} {
			f.reason = reason
			resp, body := sendRequest(t, http.MethodGet, "http://"+address+"/readyz", "")
			assert.Equal(t, resp.StatusCode, want)
			assert.Assert(t, strings.Contains(body, reason), body)
			assert.Equal(t, resp.Close, reason == ReasonDraining)
			resp, _ = sendRequest(t, http.MethodGet, "http://"+address+"/healthz", "")
			assert.Equal(t, resp.StatusCode, 200)
		}
	}
}

// newBlockingDeps returns dependencies whose calls block until release is closed.
func newBlockingDeps() (f *fakeDeps, running chan struct{}, release chan struct{}) {
	running, release = make(chan struct{}), make(chan struct{})
	return &fakeDeps{call: func(ctx context.Context, _ dispatcher.Request) (dispatcher.Answer, error) {
		running <- struct{}{}
		select {
		case <-release:
			return dispatcher.Answer{Body: []byte(`"whole"`)}, nil
		case <-ctx.Done():
			return dispatcher.Answer{}, &dispatcher.FailureError{Outcome: dispatcher.OutcomeUnknown, Reason: dispatcher.ReasonCallerGone}
		}
	}}, running, release
}

// startCall sends a call over its own connection and returns a reader for the answer.
func startCall(t *testing.T, s *Server) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addresses().Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	const body = `{"operation":"book"}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/v1/classes/c/call", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	assert.NilError(t, req.Write(conn))
	return bufio.NewReader(conn)
}

func TestCloseWaitsForRequests(t *testing.T) {
	f, running, release := newBlockingDeps()
	s, err := New(testConfig(t), f.deps())
	assert.NilError(t, err)
	assert.NilError(t, s.Start())
	answer := startCall(t, s)
	<-running
	closed := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		closed <- s.Close(t.Context())
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", s.Addresses().Callers)
		if err == nil {
			_ = conn.Close()
			return poll.Continue("listener is still open")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	select {
	case err := <-closed:
		t.Fatalf("Close returned while a request was running: %v", err)
	default:
	}
	close(release)
	resp, err := http.ReadResponse(answer, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(body), "whole"))
	assert.NilError(t, <-closed)
	assert.NilError(t, group.Wait())
	assert.NilError(t, s.Close(t.Context()), "second Close")
}

func TestCloseWaitsForCancelledRequests(t *testing.T) {
	f, running, _ := newBlockingDeps()
	s, err := New(testConfig(t), f.deps())
	assert.NilError(t, err)
	assert.NilError(t, s.Start())
	startCall(t, s)
	<-running
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, s.Close(ctx), context.Canceled)
	assert.Equal(t, s.running.n, 0)
}

func TestConnectionsOverLimitAreClosed(t *testing.T) {
	f, running, release := newBlockingDeps()
	cfg := testConfig(t)
	cfg.MaxConnections = 1
	s := startServer(t, cfg, f)
	startCall(t, s)
	<-running
	second, err := net.Dial("tcp", s.Addresses().Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = second.Close() })
	_, err = second.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	close(release)
}

// sendSlowBody sends an incomplete body and returns the status of the answer.
func sendSlowBody(t *testing.T, s *Server) int {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addresses().Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /v1/classes/c/call HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+callerToken+"\r\nContent-Length: 10\r\n\r\n{")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestReadTimeoutOnlyCoversReading has a request that still runs when the read timeout passes.
// If the deadline stayed in force after the body was read, the context of the request would be
// cancelled as if the caller had disconnected.
func TestReadTimeoutOnlyCoversReading(t *testing.T) {
	f, running, release := newBlockingDeps()
	cfg := testConfig(t)
	cfg.ReadTimeout = 500 * time.Millisecond
	s := startServer(t, cfg, f)
	answer := startCall(t, s)
	<-running
	assert.Equal(t, sendSlowBody(t, s), http.StatusBadRequest) // returns after the read deadline of the first request
	close(release)
	resp, err := http.ReadResponse(answer, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// startTLSServer starts a server with TLS, and returns a transport that speaks HTTP/2 with it.
func startTLSServer(t *testing.T, cfg Config, f *fakeDeps) (s *Server, transport *http.Transport) {
	t.Helper()
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(tlsServer.Close)
	cert := tlsServer.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	assert.NilError(t, err)
	cfg.PlainText, cfg.CertFile, cfg.KeyFile = false, filepath.Join(t.TempDir(), "crt"), filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(cfg.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert.Certificate[0]}), 0o600))
	assert.NilError(t, os.WriteFile(cfg.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600))
	s = startServer(t, cfg, f)
	transport = tlsServer.Client().Transport.(*http.Transport).Clone()
	transport.ForceAttemptHTTP2 = true
	t.Cleanup(transport.CloseIdleConnections)
	return s, transport
}

// TestTLS also covers HTTP/2, whose streams implement deadlines and flushing separately.
func TestTLS(t *testing.T) {
	s, transport := startTLSServer(t, testConfig(t), &fakeDeps{})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+s.Addresses().Callers+"/v1/classes/c/stream", strings.NewReader(generateBody))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := transport.RoundTrip(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.ProtoMajor, 2)
	assert.Equal(t, strings.Count(string(body), "event: "), 3, string(body))
}

// BenchmarkStream measures the cost of a streamed token, including the client.
func BenchmarkStream(b *testing.B) {
	const tokens = 200
	f := &fakeDeps{generate: func(_ context.Context, _ dispatcher.Request, token dispatcher.TokenFunc) (dispatcher.Answer, error) {
		for i := range tokens {
			if err := token(driver.Token{Sequence: i, Text: " word"}); err != nil {
				return dispatcher.Answer{}, err
			}
		}
		return dispatcher.Answer{}, nil
	}}
	url := "http://" + startServer(b, testConfig(b), f).Addresses().Callers + "/v1/classes/c/stream"
	b.ReportAllocs()
	for b.Loop() {
		sendRequest(b, http.MethodPost, url, generateBody, bearerHeader(callerToken)...)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tokens), "us/token")
}

func FuzzCallersBodies(f *testing.F) {
	for _, seed := range []string{generateBody, `{"operation":"o","body":{"a":[1]}}`, `{"prompt":null}`, "", "[", "\xff"} {
		f.Add(seed)
	}
	s := startServer(f, testConfig(f), &fakeDeps{})
	f.Fuzz(func(t *testing.T, body string) {
		for _, method := range []string{"generate", "call"} {
			resp, text := sendRequest(t, http.MethodPost, "http://"+s.Addresses().Callers+"/v1/classes/c/"+method, body, bearerHeader(callerToken)...)
			switch resp.StatusCode {
			case http.StatusOK:
				assert.Assert(t, strings.Contains(text, `"request_id"`))
			case http.StatusBadRequest:
				assert.Assert(t, strings.Contains(text, `"outcome":"not_run"`))
			default:
				t.Fatalf("status %d: %s", resp.StatusCode, text)
			}
		}
	})
}
