//go:build hostile

package tests

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/opaqueserver"
	"github.com/endivemast/endivemast/standins/placer"
	"github.com/endivemast/endivemast/standins/storeserver"
)

// Larger machines and more clients, for runs by hand.
var (
	hostileMemoryMB    = flag.Int("hostile-memory-mb", memoryLimitMB, "memory of the host processes' machine")
	hostileDescriptors = flag.Int("hostile-descriptors", descriptorLimit, "descriptors of the host processes")
	hostileScale       = flag.Int("hostile-scale", 1, "multiple of the number of clients")
)

// Limits of the host processes' machine, passed in their settings.
const (
	memoryLimitMB = 128
	// returnedMemoryMB is the memory in use to which a process returns after such clients have left.
	returnedMemoryMB = 64
	// descriptorLimit includes those that the platform reserves for files.
	descriptorLimit = 600
	fileDescriptors = 200
	// smallestMachineMB is the memory of the users' smallest machine.
	smallestMachineMB = 144
)

const (
	usageInterval = 5 * time.Millisecond
	// quietPolls is for how many polls a process uses hardly any processor time that has nothing left to read.
	quietPolls   = 10
	quietTimeout = 10 * time.Second
	// returnTimeout bounds the wait until memory is returned.
	returnTimeout = 10 * time.Second
	// ordinaryAttempts is how often an ordinary caller sends its request, on a new connection each time.
	ordinaryAttempts   = 5
	ordinaryRetryDelay = 200 * time.Millisecond
)

// limitedHost is a running host process and the addresses that callers can reach.
type limitedHost struct {
	process   *process
	addresses map[listenerName]string
	ordinary  func(ctx context.Context) error // sends one ordinary request
}

// listenerName names an address of a host process.
type listenerName string

const (
	callersListener   listenerName = "callers"
	operatorsListener listenerName = "operators"
	readinessListener listenerName = "readiness"
	peersListener     listenerName = "peers"
)

// startPlatformHost starts "endivemast platform" before a store and endpoints in the test process.
func startPlatformHost(t *testing.T, memoryMB int) *limitedHost {
	t.Helper()
	store := storeserver.Start()
	t.Cleanup(store.Close)
	store.SetPageItems(100)
	store.Put("op/config", []byte(hostileConfiguration))
	for i := range 2 {
		startHoldingEndpoint(t, store, fmt.Sprint("desk-", i), `"backend":"desk"`)
		startHoldingEndpoint(t, store, fmt.Sprint("llm-", i), `"backend":"llm","stage":"decode"`)
	}
	ports, err := reservePorts()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ports.reservation.Close() })
	h := &limitedHost{addresses: map[listenerName]string{
		callersListener: ports.nextAddress(), readinessListener: ports.nextAddress(), peersListener: ports.nextAddress(),
	}}
	h.process, err = startProcess(logDirectory(t), "platform", "endivemast",
		"platform", "--host-id=host-1", "--zone=z", "--callers-address="+h.addresses[callersListener],
		"--readiness-address="+h.addresses[readinessListener], "--peers-address="+h.addresses[peersListener], "--store="+store.Address(),
		fmt.Sprintf("--memory-mb=%d", memoryMB), fmt.Sprintf("--max-descriptors=%d", *hostileDescriptors))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, h.process.kill()) })
	h.ordinary = func(ctx context.Context) error { return h.callPlatform(ctx, "/look/x", "ordinary") }
	h.awaitServed(t)
	return h
}

const hostileConfiguration = `{"version":1,"routes":[
	{"name":"look","hostname":"h.example","prefix":"/look/","route_type":"safe","timeout_ms":20000,"target_latency_ms":1000,"priority":0,"backend":"desk","max_attempts":2},
	{"name":"fill","hostname":"h.example","prefix":"/fill/","route_type":"stream","timeout_ms":20000,"target_latency_ms":1000,"priority":1,"backend":"llm","max_attempts":2,"resumable":true,"target_gap_ms":500}],
	"services":[{"name":"desk","max_connections":100},{"name":"llm","max_connections":100,"engine":{"slots":8,"kv_capacity_tokens":100000,"handle_ttl_s":5,"role_switch_s":1}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":15000}}`

// heldBodyBytes is the size of a body from which an endpoint holds its answer, so that the bodies of a group are held
// together.
const (
	heldBodyBytes = 1 << 20
	holdTime      = 200 * time.Millisecond
)

func startHoldingEndpoint(t *testing.T, store *storeserver.Server, id, kind string) {
	t.Helper()
	endpoint := opaqueserver.Start(func(x *opaqueserver.Exchange) {
		if len(x.Body) >= heldBodyBytes && x.Hang(holdTime) {
			return
		}
		if strings.HasPrefix(x.Path, "/fill/") {
			x.Head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
			x.Chunk("id: 0\ndata: a\n\n")
			x.EndChunks()
			return
		}
		x.Answer(200, "complete "+x.ID())
	})
	t.Cleanup(endpoint.Close)
	store.Put("servers/"+id, []byte(fmt.Sprintf(
		`{%s,"address":%q,"zone":"z","slots":8,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1}`, kind, endpoint.Address())))
}

// callPlatform sends one request on a new connection. It fails unless the answer is complete.
func (h *limitedHost) callPlatform(ctx context.Context, path, id string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.addresses[callersListener]+path, strings.NewReader("a small body"))
	if err != nil {
		return err
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	return callOnce(r)
}

// callOnce sends a request on a connection of its own. It fails unless the status is 200.
func callOnce(r *http.Request) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// startEntryHost starts "endivemast entry" in a small cluster.
func startEntryHost(t *testing.T, flags ...string) *limitedHost {
	t.Helper()
	scenario, err := readScenario("vitosha-steady")
	assert.NilError(t, err)
	deployment := placer.Vitosha()
	deployment.Zones, deployment.EntriesPerZone = deployment.Zones[:1], 1
	for i := range deployment.Engines {
		deployment.Engines[i].Count = 1
	}
	deployment.Services[0].Count = 1
	flags = append(flags, fmt.Sprintf("--memory-mb=%d", *hostileMemoryMB), fmt.Sprintf("--max-descriptors=%d", *hostileDescriptors))
	c, err := startCluster(t.TempDir(), clusterOptions{Deployment: deployment, Scenario: scenario, Flags: map[string][]string{"entry": flags}})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	entry := c.hostsOfKind(provider.HostEntry)[0]
	h := &limitedHost{process: entry.process, addresses: map[listenerName]string{
		callersListener: entry.Address, operatorsListener: entry.operators, peersListener: entry.peers,
	}}
	h.ordinary = func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+"/v1/classes/quick_fills/generate",
			strings.NewReader(`{"prompt":"Dear Sir","max_output_tokens":2}`))
		if err != nil {
			return err
		}
		r.Header.Set("X-Tenant", "vitosha")
		return callOnce(r)
	}
	h.awaitServed(t)
	return h
}

func logDirectory(t *testing.T) string {
	t.Helper()
	logs := os.Getenv("ENDIVEMAST_TEST_LOGS")
	if logs == "" {
		return t.TempDir()
	}
	directory, err := os.MkdirTemp(logs, "hostile-")
	assert.NilError(t, err)
	return directory
}

// awaitServed waits until the host serves requests after its start.
func (h *limitedHost) awaitServed(t *testing.T) {
	t.Helper()
	assert.NilError(t, withTimeout(func(ctx context.Context) error {
		return await(ctx, "first answer", func() error {
			if err := h.process.checkRunning(); err != nil {
				return err
			}
			return h.ordinary(ctx)
		})
	}))
}

// serveOrdinary sends one ordinary request, and again as clients do after a refusal or a closed connection.
func (h *limitedHost) serveOrdinary(ctx context.Context) (err error) {
	for range ordinaryAttempts {
		if err = h.ordinary(ctx); err == nil {
			return nil
		}
		timer := time.NewTimer(ordinaryRetryDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return err
}

// usage is what a process uses of its machine.
type usage struct {
	PeakMB      int // highest memory in use so far
	NowMB       int
	MostSockets int
}

// usageWatcher watches what a process uses, until Close.
type usageWatcher struct {
	pid    int
	usage  usage
	cancel context.CancelFunc
	group  errgroup.Group
}

func watchUsage(h *limitedHost) *usageWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &usageWatcher{pid: h.process.cmd.Process.Pid, cancel: cancel}
	w.group.Go(func() error {
		ticker := time.NewTicker(usageInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			w.usage.MostSockets = max(w.usage.MostSockets, countSockets(w.pid))
			<-ticker.C
		}
		return nil
	})
	return w
}

// Close ends the watch and returns what was used.
func (w *usageWatcher) Close() (u usage, err error) {
	w.cancel()
	if err := w.group.Wait(); err != nil {
		return u, err
	}
	w.usage.PeakMB, err = memoryMB(w.pid, "VmHWM:")
	if err != nil {
		return u, err
	}
	w.usage.NowMB, err = memoryMB(w.pid, "VmRSS:")
	return w.usage, err
}

// countSockets returns the number of a process's open sockets.
func countSockets(pid int) (n int) {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return 0
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// memoryMB returns a size of a process's memory, rounded up.
func memoryMB(pid int, field string) (size int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(status), field)
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0, fmt.Errorf("no %s of process %d", field, pid)
	}
	kilobytes, err := strconv.Atoi(fields[0])
	return (kilobytes + 1023) / 1024, err
}

// awaitQuiet waits until the process has read what its clients have sent, at most for quietTimeout: it uses hardly any
// processor time then.
func (h *limitedHost) awaitQuiet(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), quietTimeout)
	defer cancel()
	before, quiet := h.processorTicks(), 0
	_ = await(ctx, "little processor time", func() error {
		now := h.processorTicks()
		if quiet++; now > before+1 {
			before, quiet = now, 0
		}
		if quiet < quietPolls {
			return fmt.Errorf("%d ticks", now)
		}
		return nil
	}) // a process that stays busy is checked as it is
}

// processorTicks returns the processor time that the process has used, in hundredths of a second.
func (h *limitedHost) processorTicks() (ticks int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.process.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	for _, i := range []int{11, 12} { // user and system time
		if n, err := strconv.Atoi(fields[i]); err == nil {
			ticks += n
		}
	}
	return ticks
}

// awaitMemoryReturned waits until the process has returned the memory that such clients took.
func (h *limitedHost) awaitMemoryReturned(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), returnTimeout)
	defer cancel()
	assert.Check(t, await(ctx, "memory returned", func() error {
		size, err := memoryMB(h.process.cmd.Process.Pid, "VmRSS:")
		if err == nil && size > *hostileMemoryMB*returnedMemoryMB/memoryLimitMB {
			err = fmt.Errorf("%d MB in use", size)
		}
		return err
	}))
}

// logUsage prints what a process has used, for the reports of runs.
func logUsage(t *testing.T, u usage) {
	t.Helper()
	data, err := json.Marshal(u)
	assert.NilError(t, err)
	t.Logf("%s", data)
}
