package exchanger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/connector"
)

const (
	// maxRogueBytes ends an endless peer, so that a missing limit fails the test.
	maxRogueBytes = 64 << 20
	roguePeerTime = 1500 * time.Millisecond
)

// roguePeer accepts connections and serves each by a script, which ends with the connection.
func roguePeer(t *testing.T, script func(conn net.Conn)) (address string, opened *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opened = &atomic.Int64{}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil // the test has ended
			}
			if err != nil {
				return err
			}
			opened.Add(1)
			group.Go(func() error {
				script(conn)
				return conn.Close()
			})
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, listener.Close())
		assert.NilError(t, group.Wait())
	})
	return listener.Addr().String(), opened
}

func repeat(conn net.Conn, block []byte) {
	for written := 0; written < maxRogueBytes; written += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// serveHTTP2 answers the first call on a connection with headers of many CONTINUATION frames.
func serveHTTP2(conn net.Conn) {
	framer := http2.NewFramer(conn, conn)
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil || framer.WriteSettings() != nil {
		return
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		head, ok := frame.(*http2.HeadersFrame)
		if !ok {
			continue
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		field := func(name, value string) error {
			return encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true})
		}
		if field(":status", "200") != nil || field("content-type", "application/grpc") != nil ||
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: head.StreamID, BlockFragment: block.Bytes()}) != nil {
			return
		}
		for written := 0; written < maxRogueBytes; written += block.Len() {
			block.Reset()
			if field("a", strings.Repeat("b", 16000)) != nil || framer.WriteContinuation(head.StreamID, false, block.Bytes()) != nil {
				return
			}
		}
		return
	}
}

// countingNetwork counts the bytes that are read from the connections that it opens.
type countingNetwork struct {
	connector.TCP
	read atomic.Int64
}

// Dial implements connector.Network.
func (n *countingNetwork) Dial(ctx context.Context, address string, options connector.Options) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address, options)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, read: &n.read}, nil
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessPeers guards against peers that send endless bytes before or instead of HTTP/2 frames, or
// endless headers: a host reads them with each of its connections, which it opens again.
func TestEndlessPeers(t *testing.T) {
	for name, test := range map[string]struct {
		script  func(conn net.Conn)
		maxRead int64 // of a connection
	}{
		"no line end":       {func(conn net.Conn) { repeat(conn, bytes.Repeat([]byte("x"), 4<<10)) }, 64 << 10},
		"zeros":             {func(conn net.Conn) { repeat(conn, make([]byte, 4<<10)) }, 64 << 10},
		"HTTP/1.1 response": {func(conn net.Conn) { repeat(conn, []byte("HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", 700))) }, 64 << 10},
		"one frame's head, one byte at a time": {func(conn net.Conn) {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for written := 0; written < 3; written++ { // a settings frame of 16 KiB
				if _, err := conn.Write([]byte{0, 64, 0}[written : written+1]); err != nil {
					return
				}
				<-ticker.C
			}
			_, _ = io.Copy(io.Discard, conn) // until the host closes the connection
		}, 64 << 10},
		"headers": {serveHTTP2, 256 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			address, opened := roguePeer(t, test.script)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			network := &countingNetwork{}
			ex, err := New(Config{
				HostID: "h-1", Incarnation: "1", Zone: "z", Listener: listener, Network: network, Logger: hclog.NewNullLogger(),
			}, &summedLocal{loads: map[string]map[string]Load{}, hosts: map[string]int{}, leaving: map[string]time.Time{}})
			assert.NilError(t, err)
			ex.Start()
			defer func() { assert.NilError(t, ex.Close()) }()
			runtime.GC()
			start, largest := heapBytes(), int64(0)
			ex.SetPeers([]Peer{{HostID: "h-2", Zone: "z", Address: address}})
			ticker := time.NewTicker(5 * time.Millisecond)
			defer ticker.Stop()
			for deadline := time.Now().Add(roguePeerTime); time.Now().Before(deadline); <-ticker.C {
				largest = max(largest, heapBytes())
			}
			assert.Assert(t, opened.Load() > 0)
			perConnection := network.read.Load() / opened.Load()
			t.Logf("%d connections, %d bytes read from each, heap grew by %d bytes", opened.Load(), perConnection, largest-start)
			assert.Check(t, perConnection <= test.maxRead, "%d bytes read from each connection", perConnection)
			assert.Check(t, largest-start < 8<<20, "heap grew by %d bytes", largest-start)
			assert.Check(t, opened.Load() <= 20, "%d connections", opened.Load())
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestSlowCaller guards against incoming connections that take long to begin HTTP/2, and against ones
// that send something else.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	for name, data := range map[string]string{"nothing": "", "begin of the preface": "PRI * HTTP", "something else": strings.Repeat("x", 4<<10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ex, err := New(Config{
				HostID: "h-1", Incarnation: "1", Zone: "z", Listener: listener, Logger: hclog.NewNullLogger(),
			}, &summedLocal{loads: map[string]map[string]Load{}, hosts: map[string]int{}, leaving: map[string]time.Time{}})
			assert.NilError(t, err)
			ex.Start()
			defer func() { assert.NilError(t, ex.Close()) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { assert.Check(t, conn.Close()) }()
			_, err = io.WriteString(conn, data)
			assert.NilError(t, err)
			openedAt := time.Now()
			assert.NilError(t, conn.SetReadDeadline(openedAt.Add(callerHandshakeTimeout+2*time.Second)))
			_, err = io.Copy(io.Discard, conn)
			var timeout net.Error
			assert.Assert(t, !isTimeout(err, &timeout), "the connection is still open after %s", time.Since(openedAt))
		})
	}
}

func isTimeout(err error, as *net.Error) bool { return errors.As(err, as) && (*as).Timeout() }
