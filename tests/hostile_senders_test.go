//go:build hostile

package tests

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/sync/errgroup"
)

// Limits that the configuration of the tests states for callers.
const (
	limitHeadBytes = 16_384
	limitBodyBytes = 4_194_304
)

const (
	// oversizeHeadBytes is more than the limit of any configuration.
	oversizeHeadBytes = 62_000
	chunkBytes        = 4096
	// clientWriteTimeout ends the attempt of a client whose bytes are not read.
	clientWriteTimeout = 10 * time.Second
)

// sender sends what a client sends on one connection. The connection stays open afterwards.
type sender func(conn net.Conn, member int) error

// clientGroup is a number of clients that send the same.
type clientGroup struct {
	listener listenerName
	count    int
	send     sender
	// attempts is how often a client connects again after its connection was closed; 0: once.
	attempts int
}

// clientRun is a set of groups whose connections are open.
type clientRun struct {
	cancel context.CancelFunc
	group  errgroup.Group
	sent   sync.WaitGroup // members that have sent everything once
}

// start connects the clients of several groups, and returns once each has sent everything or was closed.
func start(h *limitedHost, groups ...clientGroup) *clientRun {
	ctx, cancel := context.WithCancel(context.Background())
	run := &clientRun{cancel: cancel}
	for _, c := range groups {
		for member := range c.count * *hostileScale {
			run.sent.Add(1)
			run.group.Go(func() error {
				sent := sync.OnceFunc(run.sent.Done)
				defer sent()
				for range max(c.attempts, 1) {
					if ctx.Err() == nil {
						hold(ctx, h.addresses[c.listener], func(conn net.Conn) {
							_ = c.send(conn, member) // the host may close the connection of such a client
							sent()
						})
					}
				}
				return nil
			})
		}
	}
	run.sent.Wait()
	return run
}

// leave closes the connections.
func (r *clientRun) leave() error {
	r.cancel()
	return r.group.Wait()
}

// hold opens a connection, sends, and discards answers until the connection is closed or ctx ends.
func hold(ctx context.Context, address string, send func(conn net.Conn)) {
	conn, err := net.DialTimeout("tcp", address, clientWriteTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var reader errgroup.Group
	reader.Go(func() error {
		_, err := io.Copy(io.Discard, conn)
		return err
	})
	_ = conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	send(conn)
	_ = reader.Wait()
}

var requestCount atomic.Int64

// head returns the head of a request without its last line.
func head(path string, headers ...string) string {
	id := requestCount.Add(1)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Tenant: vitosha\r\nRequest-Id: hostile-%d\r\nDeadline-Ms: 10000\r\n%s", path, id, strings.Join(headers, ""))
}

// entirely sends a whole text.
func entirely(text string) func(conn net.Conn) error {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

var zeros = make([]byte, limitBodyBytes)

// sendBody sends a body of the largest size with a length, without its last missing bytes.
func sendBody(path string, missing int) sender {
	return func(conn net.Conn, _ int) error {
		if err := entirely(head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", limitBodyBytes)))(conn); err != nil {
			return err
		}
		_, err := conn.Write(zeros[missing:])
		return err
	}
}

// sendChunks sends a body of nearly the largest size in chunks, without its end.
func sendChunks(path string) sender {
	return func(conn net.Conn, _ int) error {
		if err := entirely(head(path, "Transfer-Encoding: chunked\r\n\r\n"))(conn); err != nil {
			return err
		}
		chunk := append(fmt.Appendf(nil, "%x\r\n", chunkBytes), append(bytes.Repeat([]byte{'a'}, chunkBytes), "\r\n"...)...)
		for n := chunkBytes; n < limitBodyBytes; n += chunkBytes {
			if _, err := conn.Write(chunk); err != nil {
				return err
			}
		}
		return nil
	}
}

// lines returns short header lines of a total size: all with the same name, or with names as different as fit.
func lines(size int, isSameName bool) string {
	var b strings.Builder
	for n := 0; b.Len() < size-8; n++ {
		name := "k"
		if !isSameName {
			name = shortName(n)
		}
		b.WriteString(name + ":\r\n")
	}
	return b.String()
}

// shortName returns the n-th name of letters and digits, the shortest first.
func shortName(n int) string {
	const letters = "bcdfghjklmnpqrstvwxyz0123456789"
	name := ""
	for n++; n > 0; n = (n - 1) / len(letters) {
		name = string(letters[(n-1)%len(letters)]) + name
	}
	return name
}

// sendOversizeHead sends a head of short lines that exceeds the limits.
func sendOversizeHead(path, end string) sender {
	text := lines(oversizeHeadBytes, false) + end
	return func(conn net.Conn, _ int) error { return entirely(head(path) + text)(conn) }
}

// sendLargestHeads sends requests one after another whose heads have the largest size and consist of short lines.
func sendLargestHeads(path string, isSameName bool, end string, times int) sender {
	text := lines(limitHeadBytes-len(head(path))-len(end)-8, isSameName) + end
	return func(conn net.Conn, _ int) error {
		for range times {
			if err := entirely(head(path) + text)(conn); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendPromptParts sends requests whose prompts have many parts that no other request has.
func sendPromptParts(path string, times int) sender {
	return func(conn net.Conn, member int) error {
		for i := range times {
			var parts strings.Builder
			for n := range 1700 {
				fmt.Fprintf(&parts, "%x:1,", (member*times+i)*1700+n)
			}
			text := head(path, "Model: m\r\nToken-Count: 2000,1\r\nPrompt-Prefix: ", parts.String(), "a:1\r\nContent-Length: 0\r\n\r\n")
			if err := entirely(text)(conn); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendNothing sends nothing.
func sendNothing(net.Conn, int) error { return nil }

// sendText sends a text.
func sendText(text string) sender {
	return func(conn net.Conn, _ int) error { return entirely(text)(conn) }
}

// sendPeerMessages opens calls of the peer protocol whose messages lack their last byte.
func sendPeerMessages(conn net.Conn, _ int) error {
	const calls, frameBytes = 8, 16 << 10
	if err := entirely(http2.ClientPreface)(conn); err != nil {
		return err
	}
	framer := http2.NewFramer(conn, nil)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	for call := range uint32(calls) {
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, field := range [][2]string{
			{":method", "POST"},
			{":scheme", "http"},
			{":path", "/endivemast.peerforwarder.PeerForward/Forward"},
			{":authority", "h"},
			{"content-type", "application/grpc"},
			{"te", "trailers"},
		} {
			if err := encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}); err != nil {
				return err
			}
		}
		stream := 2*call + 1
		if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
			return err
		}
	}
	for sent := 0; sent < 1<<20/calls-frameBytes; sent += frameBytes {
		for call := range uint32(calls) {
			data := make([]byte, frameBytes)
			if sent == 0 {
				copy(data, []byte{0, 0, 63, 255, 255}) // a message of nearly 4 MiB, not compressed
			}
			if err := framer.WriteData(2*call+1, false, data); err != nil {
				return err
			}
		}
	}
	return nil
}
