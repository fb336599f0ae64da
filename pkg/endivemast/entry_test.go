package endivemast_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/pkg/endivemast"
	"github.com/endivemast/endivemast/standins/answerer"
	"github.com/endivemast/endivemast/standins/engineserver"
	"github.com/endivemast/endivemast/standins/kvserver"
	"github.com/endivemast/endivemast/standins/serviceserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet runs entry hosts in one process with stand-ins for the platform and the endpoints.
type fleet struct {
	kv      *kvserver.Server
	engine  *engineserver.Server
	service *serviceserver.Server
	entries []*endivemast.Entry
}

func freeAddress(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int32(os.Getpid()%testPorts))
	for range testPorts {
		address := fmt.Sprint("127.0.0.1:", firstTestPort+nextPort.Add(1)%testPorts)
		if listener, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, listener.Close())
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// Ports below the range that the kernel gives to outgoing connections and to listeners on port 0. Otherwise one of
// them could take the port before it is used.
const (
	firstTestPort = 25_000
	testPorts     = 4000
)

var nextPort atomic.Int32

func startFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	return startFleetWith(t, hosts, func(cfg *endivemast.Config) { cfg.Insecure, cfg.PlainText = true, true })
}

// startFleetWith starts a fleet after editing the settings of its entry hosts.
func startFleetWith(t *testing.T, hosts int, edit func(*endivemast.Config)) *fleet {
	t.Helper()
	f := &fleet{}
	var err error
	f.kv, err = kvserver.New(kvserver.Config{})
	assert.NilError(t, err)
	assert.NilError(t, f.kv.Start(context.Background()))
	t.Cleanup(func() { assert.NilError(t, f.kv.Close()) })

	engineCfg := engineserver.DefaultConfig()
	engineCfg.EndpointID, engineCfg.Zone, engineCfg.Application, engineCfg.Address = "engine-1", "z1", "letters", "127.0.0.1:0"
	f.engine, err = engineserver.New(engineCfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.engine.Close()) })
	f.kv.PutHost(provider.Host{
		ID: "engine-1", Incarnation: f.engine.Incarnation(), Kind: provider.HostEngine, Zone: "z1",
		Address: f.engine.Address(), Application: "letters", State: provider.HostLive,
	})
	serviceCfg := serviceserver.DefaultConfig()
	serviceCfg.EndpointID, serviceCfg.Zone, serviceCfg.Application, serviceCfg.Address = "service-1", "z1", "desk", "127.0.0.1:0"
	f.service, err = serviceserver.New(serviceCfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.service.Close()) })
	f.kv.PutHost(provider.Host{
		ID: "service-1", Incarnation: f.service.Incarnation(), Kind: provider.HostService, Zone: "z1",
		Address: f.service.Address(), Application: "desk", State: provider.HostLive,
	})
	f.startEntries(t, hosts, edit)
	return f
}

func (f *fleet) startEntries(t *testing.T, hosts int, edit func(*endivemast.Config)) {
	t.Helper()
	var peers []endivemast.Peer
	for i := range hosts {
		peers = append(peers, endivemast.Peer{HostID: fmt.Sprintf("h%d", i), Zone: "z1", Address: freeAddress(t)})
	}
	for i, self := range peers {
		others := append(append([]endivemast.Peer(nil), peers[:i]...), peers[i+1:]...)
		cfg := endivemast.Config{
			HostID: self.HostID, Zone: self.Zone, PeersAddress: self.Address, Peers: others,
			CallersAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0",
			StoreAddresses: []string{f.kv.Address()},
			DrainGrace:     10 * time.Millisecond,
		}
		edit(&cfg)
		entry, err := endivemast.New(cfg)
		assert.NilError(t, err)
		assert.NilError(t, entry.Start())
		t.Cleanup(func() { assert.NilError(t, entry.Close()) })
		f.entries = append(f.entries, entry)
	}
}

// send sends a request to one host and returns the status and the body.
func (f *fleet) send(t *testing.T, host int, operator bool, method, path, key string, body any) (status int, answer string) {
	t.Helper()
	callers, operators := f.entries[host].Addresses()
	address := callers
	if operator {
		address = operators
	}
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, bytes.NewReader(encoded))
	assert.NilError(t, err)
	request.Header.Set("X-Tenant", "vitosha")
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, response.Body.Close()) }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(content)
}

func (f *fleet) awaitReady(t *testing.T, host int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ready, reason := f.entries[host].Ready()
		if ready {
			return poll.Success()
		}
		return poll.Continue("not ready: %s", reason)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *fleet) awaitStatus(t *testing.T, want int, send func() (int, string)) string {
	t.Helper()
	var answer string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var status int
		if status, answer = send(); status == want {
			return poll.Success()
		}
		return poll.Continue("status %d: %s", status, answer)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return answer
}

// TestRequestsAcrossHosts sets classes at one host and sends requests to others.
func TestRequestsAcrossHosts(t *testing.T) {
	f := startFleet(t, 3)
	f.awaitReady(t, 0)
	for name, class := range map[string]map[string]any{
		"drafts":   {"kind": "generate", "application": "letters", "repeatable": true, "first_token_target_ms": 2000, "completion_target_ms": 20_000},
		"bookings": {"kind": "call", "application": "desk", "repeatable": false, "completion_target_ms": 5000},
	} {
		status, answer := f.send(t, 0, true, http.MethodPut, "/v1/operator/classes/vitosha/"+name, "", class)
		assert.Equal(t, status, http.StatusOK, answer)
	}
	for host := range 3 {
		for _, name := range []string{"drafts", "bookings"} {
			f.awaitStatus(t, http.StatusOK, func() (int, string) {
				return f.send(t, host, true, http.MethodGet, "/v1/operator/classes/vitosha/"+name, "", nil)
			})
		}
	}
	prompt := strings.Repeat("Dear Sir or Madam, ", 20)
	want := strings.Join(answerer.Answer("letters", prompt, 12), "")
	generate := map[string]any{"prompt": prompt, "max_output_tokens": 12}
	answer := f.awaitStatus(t, http.StatusOK, func() (int, string) {
		return f.send(t, 2, false, http.MethodPost, "/v1/classes/drafts/generate", "", generate)
	})
	var whole struct {
		Text string `json:"text"`
	}
	assert.NilError(t, json.Unmarshal([]byte(answer), &whole))
	assert.Equal(t, whole.Text, want)

	status, stream := f.send(t, 1, false, http.MethodPost, "/v1/classes/drafts/stream", "", generate)
	assert.Equal(t, status, http.StatusOK, stream)
	assert.Assert(t, strings.Contains(stream, "event: end"), stream)

	call := map[string]any{"operation": "book", "body": map[string]any{"room": 7}}
	booked := f.awaitStatus(t, http.StatusOK, func() (int, string) {
		return f.send(t, 1, false, http.MethodPost, "/v1/classes/bookings/call", "key-1", call)
	})
	status, repeated := f.send(t, 2, false, http.MethodPost, "/v1/classes/bookings/call", "key-1", call)
	assert.Equal(t, status, http.StatusOK, repeated)
	assert.Assert(t, booked != "" && repeated != "")
	assert.DeepEqual(t, f.service.Runs().ByKey, map[string]int{"vitosha/key-1": 1})
}

// TestDrainCompletesRunningRequest drains a host while it sends a long answer.
func TestDrainCompletesRunningRequest(t *testing.T) {
	f := startFleet(t, 1)
	f.awaitReady(t, 0)
	class := map[string]any{"kind": "generate", "application": "letters", "repeatable": true, "completion_target_ms": 60_000}
	status, answer := f.send(t, 0, true, http.MethodPut, "/v1/operator/classes/vitosha/drafts", "", class)
	assert.Equal(t, status, http.StatusOK, answer)
	generate := map[string]any{"prompt": "A long letter.", "max_output_tokens": 100}
	answers := make(chan string, 1)
	var group errgroup.Group
	t.Cleanup(func() { assert.NilError(t, group.Wait()) })
	group.Go(func() error {
		_, answer := f.send(t, 0, false, http.MethodPost, "/v1/classes/drafts/generate", "", generate)
		answers <- answer
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.engine.Stats().Running > 0 {
			return poll.Success()
		}
		return poll.Continue("no request is running yet")
	}, poll.WithDelay(time.Millisecond))
	assert.NilError(t, f.entries[0].Drain(context.Background()))
	<-f.entries[0].Drained()
	var whole struct {
		Text string `json:"text"`
	}
	assert.NilError(t, json.Unmarshal([]byte(<-answers), &whole))
	assert.Equal(t, whole.Text, strings.Join(answerer.Answer("letters", "A long letter.", 100), ""))
}
