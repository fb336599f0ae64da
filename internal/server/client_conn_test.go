package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/budgeter"
)

func TestHeadCounter(t *testing.T) {
	tests := map[string]struct {
		pieces       []string
		bytes, lines int
		isComplete   bool
	}{
		"complete":                      {pieces: []string{"GET / HTTP/1.1\r\nA: b\r\n\r\n"}, bytes: 24, lines: 3, isComplete: true},
		"in pieces":                     {pieces: []string{"GET / HTTP/1.1\r\nA: b\r", "\n\r", "\n"}, bytes: 24, lines: 3, isComplete: true},
		"without carriage returns":      {pieces: []string{"GET / HTTP/1.1\nA: b\n\n"}, bytes: 21, lines: 3, isComplete: true},
		"body and next head left out":   {pieces: []string{"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n", "A:\r\n"}, bytes: 18, lines: 2, isComplete: true},
		"empty lines before a request":  {pieces: []string{"\r\n"}, bytes: 2, lines: 1},
		"line without end":              {pieces: []string{"GET / ", "aaaa"}, bytes: 10},
		"empty lines, then a request":   {pieces: []string{"\r\n\r\n\nGET /\r\n", "A: b\r\n"}, bytes: 18, lines: 5},
		"line of one character, split":  {pieces: []string{"GET /\r\n", " ", "\n", "A: b\r\n"}, bytes: 15, lines: 3},
		"line of two returns":           {pieces: []string{"GET /\r\n\r", "\r\n", "A: b\r\n"}, bytes: 16, lines: 3},
		"line that holds one character": {pieces: []string{"GET /\r\n", "a", "\r\n"}, bytes: 10, lines: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h headCounter
			for _, piece := range test.pieces {
				h.add([]byte(piece))
			}
			assert.Equal(t, h.bytes, test.bytes)
			assert.Equal(t, h.lines, test.lines)
			assert.Equal(t, h.isComplete, test.isComplete)
		})
	}
}

// startLimited starts a Passthrough whose limits a test changes.
func startLimited(t *testing.T, change func(cfg *PassthroughConfig)) *Passthrough {
	t.Helper()
	cfg := PassthroughConfig{
		Address: "127.0.0.1:0", IdleTimeout: func() time.Duration { return time.Minute }, Logger: hclog.NewNullLogger(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(w, r, 1<<20, time.Minute)
			if err != nil {
				AnswerEarly(w, r, func() { refuseForShortage(w, r, err) })
				return
			}
			_, _ = fmt.Fprintf(w, "%d bytes", len(body))
		}),
	}
	change(&cfg)
	p := NewPassthrough(cfg)
	assert.NilError(t, p.Start())
	t.Cleanup(func() { _ = p.Close(t.Context()) }) // the context has ended: it waits for nothing
	return p
}

func dial(t *testing.T, p *Passthrough) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn
}

// exchange sends a text and returns the status of the answer.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp
}

// TestHeaderLimitIsThatInForce guards against limits of the operator that are not enforced.
func TestHeaderLimitIsThatInForce(t *testing.T) {
	var limit atomic.Int64
	limit.Store(1000)
	p := startLimited(t, func(cfg *PassthroughConfig) { cfg.MaxHeaderBytes = func() int { return int(limit.Load()) } })
	header := func(size int) string {
		const start, end = "GET / HTTP/1.1\r\nHost: h\r\nA: ", "\r\n\r\n"
		return start + strings.Repeat("a", size-len(start)-len(end)) + end
	}
	conn := dial(t, p)
	reader := bufio.NewReader(conn)
	assert.Equal(t, exchange(t, conn, reader, header(1000)).StatusCode, http.StatusOK)
	assert.Equal(t, exchange(t, conn, reader, header(1000)).StatusCode, http.StatusOK)
	assert.Equal(t, exchange(t, conn, reader, header(1001)).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	limit.Store(1001)
	conn = dial(t, p)
	assert.Equal(t, exchange(t, conn, bufio.NewReader(conn), header(1001)).StatusCode, http.StatusOK)
}

// TestEmptyLinesDoNotHideAHeader guards against headers that are not counted because empty lines precede them.
func TestEmptyLinesDoNotHideAHeader(t *testing.T) {
	p := startLimited(t, func(cfg *PassthroughConfig) { cfg.MaxHeaderBytes = func() int { return 10_000 } })
	conn := dial(t, p)
	reader := bufio.NewReader(conn)
	assert.Equal(t, exchange(t, conn, reader, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na").StatusCode, http.StatusOK)
	header := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("k:\r\n", 10_000) + "\r\n"
	assert.Equal(t, exchange(t, conn, reader, "\r\n\r\n"+header).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// TestSlowHeaderIsClosed guards against headers that arrive more slowly than the operator allows, also on a kept
// connection whose idle time is not over.
func TestSlowHeaderIsClosed(t *testing.T) {
	p := startLimited(t, func(cfg *PassthroughConfig) {
		cfg.HeaderTimeout = func() time.Duration { return 50 * time.Millisecond }
	})
	conn := dial(t, p)
	reader := bufio.NewReader(conn)
	assert.Equal(t, exchange(t, conn, reader, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode, http.StatusOK)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil && !isTimeout(err), "%v", err)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // of the connection itself
	return ok && timeout.Timeout()
}

// TestSlowHeaderOutlastsTheIdleTimeout guards against an idle timeout that ends a header on its way.
func TestSlowHeaderOutlastsTheIdleTimeout(t *testing.T) {
	p := startLimited(t, func(cfg *PassthroughConfig) {
		cfg.HeaderTimeout = func() time.Duration { return time.Minute }
		cfg.IdleTimeout = func() time.Duration { return 300 * time.Millisecond }
	})
	conn := dial(t, p)
	reader := bufio.NewReader(conn)
	assert.Equal(t, exchange(t, conn, reader, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode, http.StatusOK)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	other := dial(t, p)
	assert.Equal(t, exchange(t, other, bufio.NewReader(other), "GET / HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode, http.StatusOK)
	_, err = other.Read(make([]byte, 1)) // until the idle timeout closes it
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, exchange(t, conn, reader, "Host: h\r\n\r\n").StatusCode, http.StatusOK)
}

// TestRefusalStatesThatTheRequestHasNotRun guards against refusals for lack of memory that clients can't act on.
func TestRefusalStatesThatTheRequestHasNotRun(t *testing.T) {
	limits := budgeter.Limits{Bytes: 400 << 10}
	limits.Connections[budgeter.Callers] = 10
	budget := budgeter.New(budgeter.Config{Limits: limits})
	p := startLimited(t, func(cfg *PassthroughConfig) { cfg.Budget = budget })
	for name, text := range map[string]string{
		"head of many lines": "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("k:\r\n", 4000) + "\r\n",
		"body":               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("a", 1<<20),
		"body in chunks":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("a", 1<<20) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, p)
			resp := exchange(t, conn, bufio.NewReader(conn), text)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
			_ = conn.Close()
		})
	}
	conn := dial(t, p)
	assert.Equal(t, exchange(t, conn, bufio.NewReader(conn), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na").StatusCode, http.StatusOK)
}

// TestMemoryOfRequestsIsReturned guards against reservations that outlast their request, on connections that are kept.
func TestMemoryOfRequestsIsReturned(t *testing.T) {
	limits := budgeter.Limits{Bytes: 16 << 20}
	limits.Connections[budgeter.Callers] = 10
	budget := budgeter.New(budgeter.Config{Limits: limits})
	p := startLimited(t, func(cfg *PassthroughConfig) { cfg.Budget = budget })
	conn := dial(t, p)
	reader := bufio.NewReader(conn)
	for range 100 {
		for _, text := range []string{
			"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("k:\r\n", 1000) + "\r\n",
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("a", 300_000),
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("a", 300_000) + "\r\n0\r\n\r\n",
		} {
			assert.Equal(t, exchange(t, conn, reader, text).StatusCode, http.StatusOK)
		}
	}
	assert.Equal(t, budget.Usage().UsedBytes, int64(budgeter.ConnectionBytes))
	_ = conn.Close()
}
