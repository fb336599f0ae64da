package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/standins/opaqueserver"
	"github.com/endivemast/endivemast/standins/storeserver"
)

// Tests a request that crashes the engines that run it against the real programs: three
// host processes in two availability zones, callers that retry at other hosts without
// delay, one host that is suspended, one that starts during the test, and engines that
// also crash for other reasons.

const (
	crashBody             = "a letter that no engine survives"
	crashDelay            = 40 * time.Millisecond
	engineRestartDelay    = 700 * time.Millisecond
	crashPropagationLimit = 3 * time.Second // from the third crash until all connected hosts must refuse the request
	maxLateCrashRequests  = 3               // requests that may follow after that time
	crashRefusalReason    = "crashes_endpoints"
	crashTestDuration     = 14 * time.Second
	crashEngines          = 9
	otherCrashInterval    = 2 * time.Second // a third of the engines crash for other reasons
	maxWrongRefusalShare  = 0.001           // share of other requests that may be refused with that reason
	crashRequestInterval  = 100 * time.Millisecond
)

// crashDeployment holds the store, engines and hosts of a test, and counts of requests.
type crashDeployment struct {
	t         *testing.T
	store     *storeserver.Server
	engines   []*opaqueserver.Crasher
	processes []*process
	ports     *portBlock // nil: not reserved yet

	mu    sync.Mutex
	hosts []string // callers' addresses

	sent, failed, wronglyRefused, crashRefusals atomic.Int64
}

const crashConfiguration = `{"version":1,"routes":[{"name":"fill","hostname":"h.example","prefix":"/fill/","route_type":"stream",` +
	`"timeout_ms":3000,"target_latency_ms":1000,"priority":1,"backend":"llm","max_attempts":2,"resumable":true,"target_gap_ms":500}],` +
	`"services":[{"name":"llm","max_connections":100,"engine":{"slots":16,"kv_capacity_tokens":100000,"handle_ttl_s":5,"role_switch_s":1}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func newCrashDeployment(t *testing.T) *crashDeployment {
	t.Helper()
	c := &crashDeployment{t: t, store: storeserver.Start()}
	t.Cleanup(c.store.Close)
	c.store.Put("op/config", []byte(crashConfiguration))
	for n := range crashEngines {
		id := fmt.Sprintf("engine-%d", n)
		engine := opaqueserver.StartCrasher(engineRestartDelay, func(address string, start time.Time) {
			entry, err := json.Marshal(map[string]any{
				"backend": "llm", "address": address, "zone": "z0", "slots": 16, "state": "ready", "stage": "decode",
				"version": "v1", "cold_remaining_ms": 0, "sequence": 1, "born": start.UnixMilli(),
			})
			assert.Check(t, err)
			c.store.Put("servers/"+id, entry)
		}, answerOrCrash)
		t.Cleanup(engine.Close)
		c.engines = append(c.engines, engine)
	}
	return c
}

func answerOrCrash(x *opaqueserver.Exchange, crash func()) {
	x.Head(http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	if x.Body == crashBody {
		if !x.Hang(crashDelay) {
			crash()
		}
		return
	}
	for n := range 4 {
		x.Chunk(fmt.Sprintf("id: %d\ndata: token\n\n", n+1))
		<-time.After(25 * time.Millisecond) // one decoding step
	}
	x.EndChunks()
}

// nextAddress returns an address of a block that is reserved for the deployment.
func (c *crashDeployment) nextAddress() string {
	if c.ports == nil {
		ports, err := reservePorts()
		assert.NilError(c.t, err)
		c.t.Cleanup(func() { _ = ports.reservation.Close() }) // it only reserves the block
		c.ports = ports
	}
	return c.ports.nextAddress()
}

// startReadyHost starts a host and waits until it is ready.
func (c *crashDeployment) startReadyHost(id, zone string) {
	c.t.Helper()
	callers, readiness := c.nextAddress(), c.nextAddress()
	p, err := startProcess(c.t.TempDir(), id, "endivemast", "platform", "--host-id", id, "--zone", zone,
		"--callers-address", callers, "--readiness-address", readiness, "--peers-address", c.nextAddress(),
		"--store", c.store.Address(), "--roles", "never", "--repeat-share", "1", "--repeat-reserve", "1000")
	assert.NilError(c.t, err)
	c.processes = append(c.processes, p)
	c.t.Cleanup(func() { assert.NilError(c.t, p.kill()) })
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(c.t, await(ctx, id+" ready", func() error {
		if err := p.checkRunning(); err != nil {
			return err
		}
		resp, err := http.Get("http://" + readiness + "/api/ready")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, callers)
}

// crashCaller is a caller with its own address that retries failed requests, each at a
// random host.
type crashCaller struct {
	deployment *crashDeployment
	client     http.Client
	random     *rand.Rand
	name       string
	sequence   int
}

func (c *crashDeployment) newCaller(number int) *crashCaller {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, byte(number))}}
	return &crashCaller{
		deployment: c, name: fmt.Sprintf("caller-%d", number), random: rand.New(rand.NewPCG(uint64(number), 33)),
		client: http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}},
	}
}

// send makes one attempt. It reports whether the answer is complete, and the reason of a
// failure.
func (c *crashCaller) send(ctx context.Context, body string) (isWhole bool, reason string) {
	c.sequence++
	c.deployment.mu.Lock()
	host := c.deployment.hosts[c.random.IntN(len(c.deployment.hosts))]
	c.deployment.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/fill/x", strings.NewReader(body))
	assert.Check(c.deployment.t, err)
	r.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": fmt.Sprintf("%s-%d", c.name, c.sequence), "Deadline-Ms": "3000", "Token-Count": "300,10", "Prompt-Prefix": "aa:200,bb:100", "Model": "m",
	} {
		r.Header.Set(name, value)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return false, "broken"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, strings.TrimSpace(string(answer))
	}
	return bytes.Count(answer, []byte("data: token")) == 4, ""
}

// sendWithRetries sends one request, up to six times without delay while it fails.
func (c *crashCaller) sendWithRetries(ctx context.Context) {
	body := fmt.Sprintf("letter %d of %s", c.sequence, c.name)
	if c.random.Float64() < 0.1 {
		body = "a letter that many send"
	}
	c.deployment.sent.Add(1)
	for range 6 {
		isWhole, reason := c.send(ctx, body)
		if reason == crashRefusalReason {
			c.deployment.wronglyRefused.Add(1)
			return
		}
		if isWhole || ctx.Err() != nil {
			return
		}
	}
	c.deployment.failed.Add(1)
}

// sendCrashRequests sends the request that crashes engines at a fixed interval.
func (c *crashCaller) sendCrashRequests(ctx context.Context) {
	ticker := time.NewTicker(crashRequestInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if _, reason := c.send(ctx, crashBody); reason == crashRefusalReason {
			c.deployment.crashRefusals.Add(1)
		}
		<-ticker.C
	}
}

// crashRandomEngines crashes a random third of the engines at a fixed interval.
func (c *crashDeployment) crashRandomEngines(ctx context.Context) {
	random := rand.New(rand.NewPCG(5, 33))
	ticker := time.NewTicker(otherCrashInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, n := range random.Perm(len(c.engines))[:len(c.engines)/3] {
				c.engines[n].Crash()
			}
		}
	}
}

// crashArrivals returns when the crashing request arrived at engines, and when it had crashed
// the third engine, which is crashDelay after its arrival there.
func (c *crashDeployment) crashArrivals() (arrivals []time.Time, thirdCrash time.Time) {
	for _, engine := range c.engines {
		for _, arrival := range engine.Arrivals() {
			if arrival.Body == crashBody {
				arrivals = append(arrivals, arrival.At)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	if len(arrivals) >= 3 {
		thirdCrash = arrivals[2].Add(crashDelay)
	}
	return arrivals, thirdCrash
}

func TestCrashingRequestWithRealHosts(t *testing.T) {
	t.Parallel()
	c := newCrashDeployment(t)
	for n := range 3 {
		c.startReadyHost(fmt.Sprintf("host-%d", n), fmt.Sprintf("z%d", n%2))
	}
	ctx, cancel := context.WithTimeout(t.Context(), crashTestDuration)
	defer cancel()
	var group sync.WaitGroup
	for n := range 8 {
		caller := c.newCaller(10 + n)
		group.Go(func() {
			for ctx.Err() == nil {
				caller.sendWithRetries(ctx)
			}
		})
	}
	for n := range 3 {
		group.Go(func() { c.newCaller(100 + n).sendCrashRequests(ctx) })
	}
	group.Go(func() { c.crashRandomEngines(ctx) })
	after := func(d time.Duration, do func()) {
		timer := time.AfterFunc(d, do)
		t.Cleanup(func() { timer.Stop() })
	}
	suspendedHost := c.processes[1]
	after(time.Second, func() { assert.Check(t, suspendedHost.signal(syscall.SIGSTOP)) })
	after(5*time.Second, func() { assert.Check(t, suspendedHost.signal(syscall.SIGCONT)) })
	<-time.After(2 * time.Second)
	c.startReadyHost("host-late", "z1")
	group.Wait()

	arrivals, thirdCrash := c.crashArrivals()
	late := 0
	for _, at := range arrivals {
		if at.After(thirdCrash.Add(crashPropagationLimit)) {
			late++
		}
	}
	crashes := 0
	for _, engine := range c.engines {
		crashes += len(engine.Ended())
	}
	t.Logf("%d engine crashes; the crashing request was sent %d times, %d of them at least %v after the third crash, and refused %d times; "+
		"of %d other requests %d failed and %d were refused as crashing", crashes, len(arrivals), late, crashPropagationLimit, c.crashRefusals.Load(), c.sent.Load(), c.failed.Load(), c.wronglyRefused.Load())
	assert.Assert(t, len(arrivals) >= 3, "sent %d times", len(arrivals))
	assert.Assert(t, late <= maxLateCrashRequests, "sent %d times at least %v after the third crash", late, crashPropagationLimit)
	assert.Assert(t, float64(c.wronglyRefused.Load()) <= maxWrongRefusalShare*float64(c.sent.Load()), "%d of %d other requests refused as crashing", c.wronglyRefused.Load(), c.sent.Load())
}
