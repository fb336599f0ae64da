package transporter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// testTimeout limits calls and waits, so that a hanging test fails.
const testTimeout = 10 * time.Second

func newTransporter(t *testing.T) *Transporter {
	t.Helper()
	tr := New(Settings{IDHeader: "Request-Id"})
	t.Cleanup(func() { assert.NilError(t, tr.Close()) })
	return tr
}

func startEndpoint(t *testing.T, script opaqueserver.Script) *opaqueserver.Server {
	t.Helper()
	endpoint := opaqueserver.Start(script)
	t.Cleanup(endpoint.Close)
	return endpoint
}

func request(id string) Request {
	return Request{ID: id, Method: http.MethodPost, Path: "/a/b?c=d", Host: "h.example", Header: http.Header{"Request-Id": {id}}, Body: []byte("x")}
}

// send sends a request and reads its answer to the end.
func send(t *testing.T, tr *Transporter, address string, r Request) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	answer, err := tr.Send(ctx, address, r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer.Status, string(data), err
}

func TestRequestArrivesUnchanged(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Answer(200, "complete") })
	status, body, err := send(t, newTransporter(t), endpoint.Address(), request("r1"))
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "complete")
	seen := endpoint.Seen()
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, seen[0].Path, "/a/b?c=d")
	assert.Equal(t, seen[0].Host, "h.example")
	assert.Equal(t, seen[0].Body, "x")
}

// TestAnswers checks that a caller gets only the answer to its own request, whatever else
// the endpoint sends, and that a connection with extra bytes is not reused.
func TestAnswers(t *testing.T) {
	t.Parallel()
	answerOwn := func(x *opaqueserver.Exchange) { x.Answer(200, "own "+x.ID()) }
	for name, test := range map[string]struct {
		first     opaqueserver.Script // answers the first request; later ones get a complete answer
		body      string              // of the first answer
		isUnknown bool                // the first request may have run
		conns     int                 // opened for both requests
	}{
		"connection is reused": {first: answerOwn, body: "own r1", conns: 1},
		"Connection: close":    {first: func(x *opaqueserver.Exchange) { x.Answer(200, "own r1", "Connection: close") }, body: "own r1", conns: 2},
		"chunked": {first: func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Chunk("own ")
			x.Chunk("r1")
			x.EndChunks()
		}, body: "own r1", conns: 1},
		"body ends with the connection": {first: func(x *opaqueserver.Exchange) { x.Head(200); x.Write("own r1"); x.Close() }, body: "own r1", conns: 2},
		"extra bytes after the answer":  {first: func(x *opaqueserver.Exchange) { x.Answer(200, "own r1"); x.Write("HTTP/1.1 200 OK\r\n") }, body: "own r1", conns: 2},
		"other answer after it": {
			first: func(x *opaqueserver.Exchange) {
				x.Answer(200, "own r1")
				x.Write(opaqueserver.Head("r0", 200, "Content-Length: 5") + "stray")
			}, body: "own r1", conns: 2,
		},
		"other answer before it": {
			first: func(x *opaqueserver.Exchange) {
				x.Write(opaqueserver.Head("r0", 200, "Content-Length: 5") + "stray")
				x.Answer(200, "own r1")
			}, body: "own r1", conns: 1,
		},
		"only another request's answer": {first: func(x *opaqueserver.Exchange) { x.Write(opaqueserver.Head("r0", 200)); x.Write("stray") }, isUnknown: true, conns: 2},
		"closed within the body":        {first: func(x *opaqueserver.Exchange) { x.Head(200, "Content-Length: 9"); x.Write("own"); x.Close() }, isUnknown: true, conns: 2},
		"closed within a chunk": {first: func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Write("9\r\nown")
			x.Close()
		}, isUnknown: true, conns: 2},
		"closed between chunks": {first: func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked")
			x.Chunk("own r1")
			x.Close()
		}, isUnknown: true, conns: 2},
		"reset within the body": {first: func(x *opaqueserver.Exchange) {
			x.Head(200)
			x.Write("own")
			x.Reset()
		}, isUnknown: true, conns: 2},
		"reset before the answer":      {first: func(x *opaqueserver.Exchange) { x.Reset() }, isUnknown: true, conns: 2},
		"closed before the answer":     {first: func(x *opaqueserver.Exchange) { x.Close() }, isUnknown: true, conns: 2},
		"not HTTP":                     {first: func(x *opaqueserver.Exchange) { x.Write("garbage\r\n\r\n") }, isUnknown: true, conns: 2},
		"informational response first": {first: func(x *opaqueserver.Exchange) { x.Write("HTTP/1.1 103 Early Hints\r\n\r\n"); answerOwn(x) }, body: "own r1", conns: 1},
		"keep-alive timeout of 0 s":    {first: func(x *opaqueserver.Exchange) { x.Answer(200, "own r1", "Keep-Alive: timeout=0") }, body: "own r1", conns: 2},
		"keep-alive timeout of 9000 s": {first: func(x *opaqueserver.Exchange) { x.Answer(200, "own r1", "Keep-Alive: timeout=9000, max=3") }, body: "own r1", conns: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) {
				if x.Number == 1 {
					test.first(x)
					return
				}
				answerOwn(x)
			})
			tr := newTransporter(t)
			_, body, err := send(t, tr, endpoint.Address(), request("r1"))
			if test.isUnknown {
				assert.Assert(t, err != nil)
				var failure *SendError
				assert.Assert(t, !errors.As(err, &failure) || failure.Sent)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, body, test.body)
			}
			waitForStrayBytes(t, tr, endpoint, test.conns)
			_, body, err = send(t, tr, endpoint.Address(), request("r2"))
			assert.NilError(t, err)
			assert.Equal(t, body, "own r2")
			assert.Equal(t, endpoint.Opened(), test.conns)
			assert.Equal(t, len(endpoint.Seen()), 2, "each request must arrive exactly once")
		})
	}
}

// waitForStrayBytes waits until extra bytes have arrived on the pooled connection: the
// endpoint writes them right after the answer. With conns == 1 there are none.
func waitForStrayBytes(t *testing.T, tr *Transporter, endpoint *opaqueserver.Server, conns int) {
	t.Helper()
	if conns == 1 {
		return
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		p := tr.pools[endpoint.Address()]
		if p == nil || len(p.idle) == 0 || !isStillIdle(p.idle[0].Conn) || !time.Now().Before(p.idle[0].expiresAt) {
			return poll.Success()
		}
		return poll.Continue("no bytes on the pooled connection yet")
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

func TestLateAnswerOfARequestIsNotTakenForAReport(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) {
		if x.ID() != "" {
			x.Answer(200, "own")
			return
		}
		x.Write(opaqueserver.Head("r1", 200, "Content-Length: 3") + "own")
		x.Answer(200, "report")
	})
	tr := newTransporter(t)
	_, body, err := send(t, tr, endpoint.Address(), request("r1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")
	_, body, err = send(t, tr, endpoint.Address(), Request{Method: http.MethodGet, Path: "/report", Host: "h.example"})
	assert.NilError(t, err)
	assert.Equal(t, body, "report")
	assert.Equal(t, endpoint.Opened(), 1)
}

// TestAnswerBeforeEndOfLongBody guards against reuse of a connection on which a request
// body is still being written: the rest of the body would be taken for the next request.
func TestAnswerBeforeEndOfLongBody(t *testing.T) {
	t.Parallel()
	endpoint := opaqueserver.StartEarly(func(x *opaqueserver.Exchange) {
		x.Answer(200, "early")
		x.Hang(testTimeout)
	})
	t.Cleanup(endpoint.Close)
	tr := newTransporter(t)
	long := request("r1")
	long.Body = []byte(strings.Repeat("x", 64<<20)) // larger than any socket buffer
	_, body, err := send(t, tr, endpoint.Address(), long)
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
	tr.mu.Lock()
	defer tr.mu.Unlock()
	assert.Assert(t, tr.pools[endpoint.Address()] == nil, "a connection with an unfinished body must not be kept")
}

func TestConnectionRefused(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, _, err = send(t, newTransporter(t), address, request("r1"))
	var failure *SendError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent, "nothing can have been sent")
}

func TestContextEndResetsConnection(t *testing.T) {
	t.Parallel()
	disconnected := make(chan bool, 1)
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) {
		x.Head(200, "Transfer-Encoding: chunked")
		x.Chunk("first part")
		disconnected <- x.Hang(testTimeout)
	})
	ctx, cancel := context.WithCancel(t.Context())
	answer, err := newTransporter(t).Send(ctx, endpoint.Address(), request("r1"))
	assert.NilError(t, err)
	cancel()
	assert.Assert(t, <-disconnected, "the endpoint must see the connection close")
	_, err = io.ReadAll(answer.Body)
	assert.Assert(t, err != nil, "an incomplete answer must return an error")
	assert.NilError(t, answer.Body.Close())
}

func TestMaxConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) {
		<-release
		x.Answer(200, "complete")
	})
	tr := New(Settings{IDHeader: "Request-Id", MaxConnections: 1})
	t.Cleanup(func() { assert.NilError(t, tr.Close()) })
	var first errgroup.Group
	first.Go(func() error {
		_, _, err := send(t, tr, endpoint.Address(), request("r1"))
		return err
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(endpoint.Seen()) == 1 {
			return poll.Success()
		}
		return poll.Continue("request has not arrived yet")
	}, poll.WithTimeout(testTimeout))
	_, _, err := send(t, tr, endpoint.Address(), request("r2"))
	assert.ErrorIs(t, err, ErrTooManyConnections)
	var failure *SendError
	assert.Assert(t, errors.As(err, &failure) && !failure.Sent)
	close(release)
	assert.NilError(t, first.Wait())
}

func TestNewConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Answer(200, "complete") })
	tr := newTransporter(t)
	for range 2 {
		r := request("r1")
		r.NewConnection = true
		_, _, err := send(t, tr, endpoint.Address(), r)
		assert.NilError(t, err)
	}
	assert.Equal(t, endpoint.Opened(), 2)
}

func TestClosedTransporterSendsNothing(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Answer(200, "complete") })
	tr := New(Settings{})
	assert.NilError(t, tr.Close())
	_, _, err := send(t, tr, endpoint.Address(), request("r1"))
	assert.ErrorIs(t, err, ErrClosed)
	assert.Equal(t, len(endpoint.Seen()), 0)
}

// TestUnneededRequestIsNotSent covers an endpoint that is removed while a connection to it
// is being opened: the request must not be sent.
func TestUnneededRequestIsNotSent(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Answer(200, "complete") })
	tr := newTransporter(t)
	r := request("r1")
	isCalled := false
	r.IsStillNeeded = func() bool {
		isCalled = true
		return false
	}
	_, _, err := send(t, tr, endpoint.Address(), r)
	var failure *SendError
	assert.Assert(t, errors.As(err, &failure) && !failure.Sent, "%v", err)
	assert.ErrorIs(t, err, ErrNotNeeded)
	assert.Assert(t, isCalled)
	r.IsStillNeeded = func() bool { return true }
	status, _, err := send(t, tr, endpoint.Address(), r)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(endpoint.Seen()), 1)
}

// TestReadAfterEOFDoesNotUseConnection fails under the race detector if a read after
// io.EOF accesses the connection, which another request may use by then.
func TestReadAfterEOFDoesNotUseConnection(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Answer(200, "complete") })
	tr := newTransporter(t)
	for range 20 {
		answer, err := tr.Send(t.Context(), endpoint.Address(), request("r1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		var group errgroup.Group
		group.Go(func() error {
			_, _, err := send(t, tr, endpoint.Address(), request("r2"))
			return err
		})
		_, err = answer.Body.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		assert.NilError(t, group.Wait())
	}
}
