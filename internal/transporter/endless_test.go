package transporter

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// countReads returns a Transporter that counts the bytes read from its connections and the limits
// that were exceeded.
func countReads(t *testing.T) (tr *Transporter, read *atomic.Int64, exceeded *atomic.Int64) {
	t.Helper()
	read, exceeded = &atomic.Int64{}, &atomic.Int64{}
	tr = New(Settings{
		IDHeader:        "Request-Id",
		OnLimitExceeded: func(responselimiter.Limit) { exceeded.Add(1) },
		Dial: func(ctx context.Context, address string, timeout, userTimeout time.Duration) (net.Conn, error) {
			c, err := dialTCP(ctx, address, timeout, userTimeout)
			return &readCounter{Conn: c, read: read}, err
		},
	})
	t.Cleanup(func() { assert.NilError(t, tr.Close()) })
	return tr, read, exceeded
}

// readCounter counts the bytes read from a connection.
type readCounter struct {
	net.Conn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endlessResponses are responses that never end, with the limit that ends each of them and the
// largest number of bytes that may be read.
var endlessResponses = map[string]struct {
	script opaqueserver.Script
	limit  responselimiter.Limit
	read   int64
}{
	"no line end": {func(x *opaqueserver.Exchange) { x.Endless("x") }, responselimiter.HeadBytes, maxHeadBytes + readBufferBytes},
	"header lines of one name": {func(x *opaqueserver.Exchange) {
		x.Write("HTTP/1.1 200 OK\r\n")
		x.Endless("A: b\r\n")
	}, responselimiter.HeadBytes, maxHeadBytes + readBufferBytes},
	"header lines of different names": {func(x *opaqueserver.Exchange) {
		x.Write("HTTP/1.1 200 OK\r\n")
		x.EndlessLines()
	}, responselimiter.HeadBytes, maxHeadBytes + readBufferBytes},
	"continued header line": {func(x *opaqueserver.Exchange) {
		x.Write("HTTP/1.1 200 OK\r\nA: b\r\n")
		x.Endless(" \r\n")
	}, responselimiter.HeadBytes, maxHeadBytes + readBufferBytes},
	"informational heads": {func(x *opaqueserver.Exchange) {
		x.Endless("HTTP/1.1 103 Early Hints\r\n\r\n")
	}, responselimiter.InformationalHeads, 8 << 10},
	"long informational heads": {func(x *opaqueserver.Exchange) {
		x.Endless("HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("b", 20<<10) + "\r\n\r\n")
	}, responselimiter.HeadBytes, maxHeadBytes + readBufferBytes},
	"chunk extension": {func(x *opaqueserver.Exchange) {
		x.Head(200, "Transfer-Encoding: chunked")
		x.Write("5;")
		x.Endless("a")
	}, responselimiter.ChunkBytes, 64 << 10},
	"chunk extensions": {func(x *opaqueserver.Exchange) {
		x.Head(200, "Transfer-Encoding: chunked")
		x.Endless("1;" + strings.Repeat("a", 1000) + "\r\nx\r\n")
	}, responselimiter.ChunkBytes, 64 << 10},
	"trailers": {func(x *opaqueserver.Exchange) {
		x.Head(200, "Transfer-Encoding: chunked")
		x.Write("0\r\n")
		x.Endless("A: b\r\n")
	}, responselimiter.TrailerBytes, 64 << 10},
	"body of another request's response": {func(x *opaqueserver.Exchange) {
		x.Write(opaqueserver.Head("r0", 200, "Transfer-Encoding: chunked"))
		x.Endless("1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n")
	}, responselimiter.SkippedBodyBytes, maxSkippedBodyBytes + 64<<10},
}

// TestEndlessResponses guards against responses that are read until the memory is exhausted or the
// caller's time is over, and against errors that don't name the reason. It runs alone, since it
// measures the heap of the process.
func TestEndlessResponses(t *testing.T) {
	for name, test := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, test.script)
			tr, read, exceeded := countReads(t)
			growth := watchHeap(t)
			_, _, err := send(t, tr, endpoint.Address(), request("r1"))
			grown := growth()
			assertExceeded(t, err, test.limit)
			assert.Assert(t, read.Load() <= test.read, "%d bytes read", read.Load())
			assert.Assert(t, grown < 4<<20, "heap grew by %d bytes", grown)
			assert.Equal(t, exceeded.Load(), int64(1))
			assert.Equal(t, tr.openConnections(endpoint.Address()), 0)
		})
	}
}

// TestConcurrentEndlessResponses guards against limits that are sufficient for one response but not
// for the requests of a host together, of which the smallest has 144 MB.
func TestConcurrentEndlessResponses(t *testing.T) {
	for name, test := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, test.script)
			tr, _, exceeded := countReads(t)
			growth := watchHeap(t)
			var group errgroup.Group
			for range 50 {
				group.Go(func() error {
					_, _, err := send(t, tr, endpoint.Address(), request("r1"))
					assertExceeded(t, err, test.limit)
					return nil
				})
			}
			assert.NilError(t, group.Wait())
			grown := growth()
			assert.Assert(t, grown < 16<<20, "heap grew by %d bytes", grown)
			t.Logf("heap grew by %d bytes", grown)
			assert.Equal(t, exceeded.Load(), int64(50))
		})
	}
}

// TestEndlessHeadDuringRequest guards against an endless head that is read, or a request that is
// written on, while the endpoint has not read the request.
func TestEndlessHeadDuringRequest(t *testing.T) {
	endpoint := opaqueserver.StartEarly(endlessResponses["no line end"].script)
	t.Cleanup(endpoint.Close)
	tr, read, _ := countReads(t)
	long := request("r1")
	long.Body = make([]byte, 64<<20) // larger than any socket buffer
	_, _, err := send(t, tr, endpoint.Address(), long)
	assertExceeded(t, err, responselimiter.HeadBytes)
	assert.Assert(t, read.Load() <= maxHeadBytes+1, "%d bytes read", read.Load())
}

// TestSlowHeads guards against heads that arrive slowly and keep a request until its time is over,
// so that no other endpoint can serve it.
func TestSlowHeads(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		script opaqueserver.Script
		limit  responselimiter.Limit
	}{
		"no line end":         {func(x *opaqueserver.Exchange) { x.Slow("x") }, responselimiter.HeadTime},
		"header lines":        {func(x *opaqueserver.Exchange) { x.Write("HTTP/1.1 200 OK\r\n"); x.Slow("A: b\r\n") }, responselimiter.HeadTime},
		"one byte, then none": {func(x *opaqueserver.Exchange) { x.Write("H"); x.Hang(testTimeout) }, responselimiter.HeadTime},
		"head longer than the read buffer": {func(x *opaqueserver.Exchange) {
			x.Write("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 8<<10))
			x.Hang(testTimeout)
		}, responselimiter.HeadTime},
		"after an informational head": {func(x *opaqueserver.Exchange) {
			x.Write("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 ")
			x.Hang(testTimeout)
		}, responselimiter.HeadTime},
		"body of another request's response": {func(x *opaqueserver.Exchange) {
			x.Write(opaqueserver.Head("r0", 200, "Content-Length: 9") + "x")
			x.Hang(testTimeout)
		}, responselimiter.SkippedBodyTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := startEndpoint(t, test.script)
			tr, _, exceeded := countReads(t)
			sentAt := time.Now()
			_, _, err := send(t, tr, endpoint.Address(), request("r1"))
			assertExceeded(t, err, test.limit)
			assert.Assert(t, time.Since(sentAt) < maxHeadTime+time.Second, "after %s", time.Since(sentAt))
			assert.Equal(t, exceeded.Load(), int64(1))
		})
	}
}

// TestLongHeads guards against limits that refuse responses within them, and against bytes after a
// long head that are lost or taken for the next response.
func TestLongHeads(t *testing.T) {
	t.Parallel()
	longLine := "A: " + strings.Repeat("b", 40<<10)
	for name, script := range map[string]opaqueserver.Script{
		"long head":         func(x *opaqueserver.Exchange) { x.Answer(200, "own", longLine) },
		"exactly the limit": func(x *opaqueserver.Exchange) { x.Answer(200, "own", fill(maxHeadBytes, x.ID())) },
		"informational ones": func(x *opaqueserver.Exchange) {
			x.Write(informationalHeads(maxInformationalHeads))
			x.Answer(200, "own")
		},
		"informational, then long": func(x *opaqueserver.Exchange) {
			x.Write(informationalHeads(2))
			x.Answer(200, "own", longLine)
		},
		"chunked": func(x *opaqueserver.Exchange) {
			x.Head(200, "Transfer-Encoding: chunked", longLine)
			x.Chunk("own")
			x.EndChunks()
		},
		"pause after an informational one": func(x *opaqueserver.Exchange) {
			x.Write(informationalHeads(1))
			x.Hang(maxHeadTime + 200*time.Millisecond)
			x.Answer(200, "own", "Connection: close")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := startEndpoint(t, script)
			tr, _, exceeded := countReads(t)
			for range 3 {
				_, body, err := send(t, tr, endpoint.Address(), request("r1"))
				assert.NilError(t, err)
				assert.Equal(t, body, "own")
			}
			assert.Equal(t, exceeded.Load(), int64(0))
			if !strings.HasPrefix(name, "pause") {
				assert.Equal(t, endpoint.Opened(), 1, "connections must be reused")
			}
		})
	}
}

func informationalHeads(count int) string {
	return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", count)
}

// fill returns a header line that makes the head of an answer of 3 bytes exactly size bytes long.
func fill(size int, id string) string {
	rest := len(opaqueserver.Head(id, 200, "A: ", "Content-Length: 3"))
	return "A: " + strings.Repeat("b", size-rest)
}

// TestHeadLongerThanTheLimit guards against a limit that is not exact.
func TestHeadLongerThanTheLimit(t *testing.T) {
	t.Parallel()
	endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Answer(200, "own", fill(maxHeadBytes+1, x.ID())) })
	tr, _, _ := countReads(t)
	_, _, err := send(t, tr, endpoint.Address(), request("r1"))
	assertExceeded(t, err, responselimiter.HeadBytes)
	many := startEndpoint(t, func(x *opaqueserver.Exchange) {
		x.Write(informationalHeads(maxInformationalHeads + 1))
		x.Answer(200, "own")
	})
	_, _, err = send(t, tr, many.Address(), request("r1"))
	assertExceeded(t, err, responselimiter.InformationalHeads)
}

func assertExceeded(t *testing.T, err error, limit responselimiter.Limit) {
	t.Helper()
	got, ok := responselimiter.ExceededLimit(err)
	assert.Check(t, ok, "%v", err)
	assert.Check(t, got == limit && strings.Contains(err.Error(), string(limit)), "%v", err)
}

// watchHeap samples the size of the heap until the returned function is called, which returns by how
// much it has grown at most.
func watchHeap(t *testing.T) (growth func() int64) {
	t.Helper()
	runtime.GC()
	start, largest := heapBytes(), int64(0)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			largest = max(largest, heapBytes())
			select {
			case <-done:
				return nil
			case <-ticker.C:
			}
		}
	})
	return func() int64 {
		close(done)
		assert.NilError(t, group.Wait())
		return largest - start
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func (t *Transporter) openConnections(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[address]; p != nil {
		return p.openCount
	}
	return 0
}
