//go:build hostile

package tests

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// These tests run one at a time, apart from other load:
//
//	go test -tags hostile -run '^TestHostile' ./tests

// platformClients are the clients of a host of the users' platform; each row has a process of its own.
var platformClients = map[string][]clientGroup{
	"bodies one byte short":                           {{listener: callersListener, count: 60, send: sendBody("/look/x", 1), attempts: 3}},
	"bodies in chunks without end":                    {{listener: callersListener, count: 60, send: sendChunks("/look/x"), attempts: 3}},
	"bodies whole at once":                            {{listener: callersListener, count: 60, send: sendBody("/look/x", 0), attempts: 3}},
	"bodies whole at once to a stream":                {{listener: callersListener, count: 60, send: sendBody("/fill/x", 0), attempts: 3}},
	"bodies to an unknown route":                      {{listener: callersListener, count: 60, send: sendBody("/none/x", 1), attempts: 3}},
	"heads over the limit without end":                {{listener: callersListener, count: 150, send: sendOversizeHead("/look/x", ""), attempts: 3}},
	"heads over the limit":                            {{listener: callersListener, count: 150, send: sendOversizeHead("/fill/x", "\r\n"), attempts: 3}},
	"heads of distinct lines to a stream":             {{listener: callersListener, count: 300, send: sendLargestHeads("/fill/x", false, "\r\n", 4), attempts: 3}},
	"heads of distinct lines and body one byte short": {{listener: callersListener, count: 500, send: sendLargestHeads("/look/x", false, "Content-Length: 1\r\n\r\n", 1), attempts: 3}},
	"heads of one name and body one byte short":       {{listener: callersListener, count: 600, send: sendLargestHeads("/look/x", true, "Content-Length: 1\r\n\r\n", 1), attempts: 3}},
	"heads of distinct lines one after another":       {{listener: callersListener, count: 300, send: sendLargestHeads("/look/x", false, "\r\n", 6), attempts: 3}},
	"prompts of new parts":                            {{listener: callersListener, count: 200, send: sendPromptParts("/fill/x", 11), attempts: 3}},
	"nothing sent":                                    {{listener: callersListener, count: 700, send: sendNothing, attempts: 3}},
	"one byte sent":                                   {{listener: callersListener, count: 700, send: sendText("P"), attempts: 3}},
	"one line without end":                            {{listener: callersListener, count: 300, send: sendText(head("/look/x", "A: ", strings.Repeat("a", oversizeHeadBytes))), attempts: 3}},
	"empty lines before a request":                    {{listener: callersListener, count: 300, send: sendText(strings.Repeat("\r\n", oversizeHeadBytes/2)), attempts: 3}},
	"empty lines after a request": {{
		listener: callersListener, count: 300, attempts: 3,
		send: sendText(head("/look/x", "Content-Length: 1\r\n\r\na") + strings.Repeat("\r\n", oversizeHeadBytes/2)),
	}},
	"readiness heads without end":    {{listener: readinessListener, count: 150, send: sendOversizeHead("/api/ready", ""), attempts: 3}},
	"readiness bodies":               {{listener: readinessListener, count: 60, send: sendBody("/api/ready", 1), attempts: 3}},
	"readiness nothing sent":         {{listener: readinessListener, count: 700, send: sendNothing, attempts: 3}},
	"peers nothing sent":             {{listener: peersListener, count: 700, send: sendNothing, attempts: 3}},
	"peers messages one byte short":  {{listener: peersListener, count: 150, send: sendPeerMessages, attempts: 3}},
	"peers a line that does not end": {{listener: peersListener, count: 300, send: sendText(strings.Repeat("a", oversizeHeadBytes)), attempts: 3}},
	"all kinds": {
		{listener: callersListener, count: 20, send: sendBody("/look/x", 1), attempts: 3},
		{listener: callersListener, count: 20, send: sendChunks("/fill/x"), attempts: 3},
		{listener: callersListener, count: 20, send: sendBody("/look/x", 0), attempts: 3},
		{listener: callersListener, count: 50, send: sendOversizeHead("/look/x", ""), attempts: 3},
		{listener: callersListener, count: 100, send: sendLargestHeads("/fill/x", false, "\r\n", 4), attempts: 3},
		{listener: callersListener, count: 100, send: sendLargestHeads("/look/x", true, "Content-Length: 1\r\n\r\n", 1), attempts: 3},
		{listener: callersListener, count: 200, send: sendNothing, attempts: 3},
		{listener: readinessListener, count: 50, send: sendOversizeHead("/api/ready", ""), attempts: 3},
		{listener: peersListener, count: 200, send: sendNothing, attempts: 3},
	},
}

// TestHostileClientsOfPlatformHost guards against callers that use up a host's memory or descriptors.
func TestHostileClientsOfPlatformHost(t *testing.T) {
	for name, groups := range platformClients {
		t.Run(name, func(t *testing.T) { checkLimits(t, startPlatformHost(t, *hostileMemoryMB), groups) })
	}
}

// TestHostileClientsOfEntryHost is TestHostileClientsOfPlatformHost for "endivemast entry".
func TestHostileClientsOfEntryHost(t *testing.T) {
	const unknownClass, unknownCall = "/v1/classes/none/generate", "/v1/operator/none"
	for name, groups := range map[string][]clientGroup{
		"bodies one byte short":            {{listener: callersListener, count: 60, send: sendBody(unknownClass, 1), attempts: 3}},
		"bodies in chunks without end":     {{listener: callersListener, count: 60, send: sendChunks(unknownClass), attempts: 3}},
		"bodies whole at once":             {{listener: callersListener, count: 60, send: sendBody("/v1/classes/quick_fills/generate", 0), attempts: 3}},
		"heads over the limit without end": {{listener: callersListener, count: 300, send: sendOversizeHead(unknownClass, ""), attempts: 3}},
		"heads and body one byte short":    {{listener: callersListener, count: 500, send: sendLargestHeads(unknownClass, false, "Content-Length: 1\r\n\r\n", 1), attempts: 3}},
		"nothing sent":                     {{listener: callersListener, count: 700, send: sendNothing, attempts: 3}},
		"operators bodies one byte short":  {{listener: operatorsListener, count: 60, send: sendBody(unknownCall, 1), attempts: 3}},
		"operators heads without end":      {{listener: operatorsListener, count: 300, send: sendOversizeHead(unknownCall, ""), attempts: 3}},
		"operators nothing sent":           {{listener: operatorsListener, count: 700, send: sendNothing, attempts: 3}},
		"peers nothing sent":               {{listener: peersListener, count: 700, send: sendNothing, attempts: 3}},
	} {
		t.Run(name, func(t *testing.T) { checkLimits(t, startEntryHost(t), groups) })
	}
}

// TestHostileClientsTwiceInARow guards against memory of a first group that is missing when a second one comes.
func TestHostileClientsTwiceInARow(t *testing.T) {
	h := startPlatformHost(t, *hostileMemoryMB)
	checkLimits(t, h, platformClients["all kinds"])
	checkLimits(t, h, platformClients["all kinds"])
}

// checkLimits checks that the process lives and stays within its memory and descriptors, that an ordinary request is
// served beside such clients and afterwards, and that the memory is returned.
func checkLimits(t *testing.T, h *limitedHost, groups []clientGroup) {
	t.Helper()
	watcher := watchUsage(h)
	run := start(h, groups...)
	assert.Check(t, withTimeout(h.serveOrdinary), "beside such clients")
	h.awaitQuiet(t)
	assert.Check(t, withTimeout(h.serveOrdinary), "beside such clients that have sent everything")
	assert.NilError(t, run.leave())
	assert.Check(t, withTimeout(h.serveOrdinary), "after such clients")
	h.awaitMemoryReturned(t)
	assert.NilError(t, h.process.checkRunning())
	used, err := watcher.Close()
	assert.NilError(t, err)
	logUsage(t, used)
	assert.Check(t, used.PeakMB <= *hostileMemoryMB, "%d MB", used.PeakMB)
	assert.Check(t, used.MostSockets <= *hostileDescriptors-fileDescriptors, "%d sockets", used.MostSockets)
}

// TestHostileClientsDoNotDelayAPlannedStop guards against a planned stop that waits for connections of such clients.
func TestHostileClientsDoNotDelayAPlannedStop(t *testing.T) {
	h := startPlatformHost(t, *hostileMemoryMB)
	run := start(h, platformClients["all kinds"]...)
	assert.NilError(t, h.process.signal(syscall.SIGTERM))
	assert.NilError(t, withTimeout(func(ctx context.Context) error {
		select {
		case <-h.process.exited:
			return h.process.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}))
	assert.NilError(t, run.leave())
}

// TestHostileClientsLeaveRefusalsReadable guards against a reset instead of the answer for a client whose body is still on its way.
func TestHostileClientsLeaveRefusalsReadable(t *testing.T) {
	h := startPlatformHost(t, *hostileMemoryMB)
	run := start(h, clientGroup{listener: callersListener, count: 60, send: sendBody("/look/x", 1)})
	var group errgroup.Group
	for range 20 {
		group.Go(func() error {
			conn, err := net.DialTimeout("tcp", h.addresses[callersListener], clientWriteTimeout)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
			if err := sendBody("/look/x", 0)(conn, 0); err != nil {
				return fmt.Errorf("send: %w", err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return fmt.Errorf("read answer: %w", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				return fmt.Errorf("refused without Retry-After")
			}
			if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	}
	assert.Check(t, group.Wait())
	assert.NilError(t, run.leave())
}

// TestHostileLimitsServeSingleRequests guards against limits that a single client within the configuration's limits meets.
func TestHostileLimitsServeSingleRequests(t *testing.T) {
	const pieces = 64
	slowly := func(conn net.Conn, text string) error {
		for i := range pieces {
			if _, err := io.WriteString(conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
				return err
			}
			timer := time.NewTimer(pollInterval)
			<-timer.C
		}
		return nil
	}
	largestHead := func(path string, isSameName bool) string {
		start, end := head(path), "Content-Length: 0\r\n\r\n"
		text := start
		for n := 0; len(text)+len(end)+4 <= limitHeadBytes; n++ {
			name := "k"
			if !isSameName {
				name = shortName(n)
			}
			if line := name + ":\r\n"; len(text)+len(end)+len(line) <= limitHeadBytes {
				text += line
			} else {
				text += "k:\r\n"
			}
		}
		return text + end
	}
	body := strings.Repeat("a", limitBodyBytes)
	chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("a", chunkBytes)), limitBodyBytes/chunkBytes) + "0\r\n\r\n"
	h := startPlatformHost(t, smallestMachineMB)
	for name, text := range map[string]string{
		"head of lines of four bytes":             largestHead("/look/x", true),
		"head of distinct lines":                  largestHead("/look/x", false),
		"head of lines of four bytes to a stream": largestHead("/fill/x", true),
		"largest body":                            head("/look/x", fmt.Sprintf("Content-Length: %d\r\n\r\n", limitBodyBytes)) + body,
		"largest body to a stream":                head("/fill/x", fmt.Sprintf("Content-Length: %d\r\n\r\n", limitBodyBytes)) + body,
		"largest body in chunks":                  head("/look/x", "Transfer-Encoding: chunked\r\n\r\n") + chunks,
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.DialTimeout("tcp", h.addresses[callersListener], clientWriteTimeout)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
			reader := bufio.NewReader(conn)
			for range 2 { // the connection is used again
				assert.NilError(t, slowly(conn, text))
				resp, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
			}
		})
	}
}
