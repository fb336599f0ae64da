package tests

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
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

// Tests a store that comes back from older copies, several times and beside other faults,
// with real hosts: changes made afterwards have to be in use at all hosts in time.

var (
	restoreSeeds = flag.Int("restore-seeds", 2, "number of seeds of TestRestoredStoreWithRealHosts")
	restoreHosts = flag.Int("restore-hosts", 6, "number of hosts of TestRestoredStoreWithRealHosts")
)

const (
	restoreRounds = 2
	faultPhase    = 3 * time.Second
	changePhase   = 3 * time.Second
	quietPhase    = 3 * time.Second
	// changeBound is how long a change may take that the store has acknowledged while it
	// was stable, and disturbedChangeBound the same if it was disturbed within settleTime.
	changeBound          = 2 * time.Second
	disturbedChangeBound = changeBound + 5*time.Second
	settleTime           = 3 * time.Second
	rewriteTime          = time.Second // in which lost entries are written again
)

// restoreEndpoint is an endpoint of the plain service and what is registered of it.
type restoreEndpoint struct {
	server    *opaqueserver.Server
	id        string
	sequence  int
	isLeaving bool
	isGone    bool
	due       time.Time // when no undisturbed host may send to it any more; zero: not leaving
}

// restoreHost is a host, its own way to the store, and when it was last disturbed.
type restoreHost struct {
	name, callers string
	arguments     []string
	proxy         *storeserver.Proxy
	process       *process
	disturbed     time.Time // end of the last disturbance
}

// restoreTest is one run.
type restoreTest struct {
	*crashDeployment
	random *rand.Rand
	hosts  []*restoreHost

	mu         sync.Mutex
	endpoints  []*restoreEndpoint
	version    int
	versionDue map[int]time.Time // when a version has to be in force
	disturbed  time.Time         // end of the store's last disturbance
	violations []string

	served, refused, checked atomic.Int64
}

func newRestoreTest(t *testing.T, seed uint64) *restoreTest {
	s := &restoreTest{
		crashDeployment: &crashDeployment{t: t, store: storeserver.Start()}, random: rand.New(rand.NewPCG(seed, 57)), versionDue: map[int]time.Time{},
	}
	t.Cleanup(s.store.Close)
	ports, err := reservePorts()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ports.reservation.Close() }) // it only reserves the block
	s.writeConfiguration()
	for range 3 {
		s.addEndpoint()
	}
	for n := range *restoreHosts {
		h := &restoreHost{name: fmt.Sprint("host-", n), callers: ports.nextAddress(), proxy: s.store.OpenProxy()}
		t.Cleanup(h.proxy.Close)
		h.arguments = []string{
			"platform", "--host-id", h.name, "--zone", fmt.Sprint("z", n%5/4), "--callers-address", h.callers, "--readiness-address", ports.nextAddress(),
			"--peers-address", ports.nextAddress(), "--store", h.proxy.Address(), "--roles", "never", "--repeat-share", "1", "--repeat-reserve", "1000",
			"--grace", "3s", "--drain-time", "2s",
		}
		s.hosts = append(s.hosts, h)
		s.startHost(h)
		t.Cleanup(func() { assert.Check(t, h.process.kill()) })
	}
	return s
}

func (s *restoreTest) startHost(h *restoreHost) {
	p, err := startProcess(s.t.TempDir(), h.name, "endivemast", h.arguments...)
	assert.Check(s.t, err)
	h.process = p
}

// due returns when a change that the store acknowledges now has to be in use.
func (s *restoreTest) due() time.Time {
	if now := time.Now(); now.Sub(s.disturbed) >= settleTime {
		return now.Add(changeBound)
	}
	return time.Now().Add(disturbedChangeBound)
}

// writeConfiguration writes a new version, each with a route of its own beside those of
// the two versions before.
func (s *restoreTest) writeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.putConfiguration()
}

func (s *restoreTest) putConfiguration() {
	prefixes := []string{"/look/"}
	for version := max(1, s.version-2); version <= s.version; version++ {
		prefixes = append(prefixes, versionPath(version))
	}
	var routes []string
	for _, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"h.example","prefix":%q,"route_type":"safe","timeout_ms":1000,"target_latency_ms":500,`+
			`"priority":1,"backend":"desk","max_attempts":2}`, strings.Trim(prefix, "/"), prefix))
	}
	s.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","max_connections":100}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, s.version, strings.Join(routes, ","))))
	s.versionDue[s.version] = s.due()
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (s *restoreTest) addEndpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &restoreEndpoint{id: fmt.Sprint("e", len(s.endpoints))}
	e.server = opaqueserver.Start(func(x *opaqueserver.Exchange) { s.answer(e, x) })
	s.t.Cleanup(e.server.Close)
	s.endpoints = append(s.endpoints, e)
	s.register(e)
}

func (s *restoreTest) register(e *restoreEndpoint) {
	e.sequence++
	s.putEntry(e)
}

func (s *restoreTest) putEntry(e *restoreEndpoint) {
	state := "ready"
	if e.isLeaving {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"backend": "desk", "address": e.server.Address(), "zone": "z0", "slots": 64, "state": state, "version": "v1",
		"cold_remaining_ms": 0, "sequence": e.sequence,
	})
	assert.Check(s.t, err)
	s.store.Put("servers/"+e.id, entry)
}

// leave makes the longest-serving endpoint leave, by its state or by the removal of its entry.
func (s *restoreTest) leave(isAnnounced bool) {
	s.addEndpoint()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.isLeaving || e.isGone {
			continue
		}
		if e.isLeaving, e.isGone = isAnnounced, !isAnnounced; isAnnounced {
			s.register(e)
		} else {
			s.store.Delete("servers/" + e.id)
		}
		e.due = s.due()
		return
	}
}

// answer checks whether the host may still send to the endpoint.
func (s *restoreTest) answer(e *restoreEndpoint, x *opaqueserver.Exchange) {
	x.Answer(http.StatusOK, "whole")
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.hosts, func(h *restoreHost) bool { return h.name == x.Header.Get(headerVia) })
	if i < 0 || e.due.IsZero() {
		return
	}
	if now := time.Now(); now.After(e.due) && s.hosts[i].disturbed.Add(disturbedChangeBound).Before(e.due) {
		s.violations = append(s.violations, fmt.Sprintf("DRAIN: %s sent to %s %v after it was due", s.hosts[i].name, e.id, now.Sub(e.due)))
	}
}

// probe sends requests to one host over a kept connection until ctx ends.
func (s *restoreTest) probe(ctx context.Context, h *restoreHost) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		<-time.After(20 * time.Millisecond)
		path, sent := "/look/x", time.Now()
		s.mu.Lock()
		version := s.version
		isDue := sent.After(s.versionDue[version]) && h.disturbed.Add(disturbedChangeBound).Before(s.versionDue[version])
		s.mu.Unlock()
		if i%2 == 0 {
			path = versionPath(version) + "x"
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.callers+path, nil)
		assert.Check(s.t, err)
		r.Host = "h.example"
		r.Header.Set("Request-Id", fmt.Sprintf("%s-%d", h.name, i))
		r.Header.Set("Deadline-Ms", "1000")
		r.Header.Set(headerVia, h.name)
		resp, err := client.Do(r)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read completely, or interrupted
		switch {
		case err != nil:
		case resp.StatusCode == http.StatusOK:
			s.served.Add(1)
		case resp.StatusCode == http.StatusNotFound && isDue:
			s.mu.Lock()
			s.violations = append(s.violations, fmt.Sprintf("CONFIG: %s has no version %d %v after it was due", h.name, version, sent.Sub(s.versionDue[version])))
			s.mu.Unlock()
		default:
			s.refused.Add(1)
		}
		if isDue {
			s.checked.Add(1)
		}
	}
}

// restore makes the store come back from a copy. What the operator and live endpoints had
// written is written again within rewriteTime.
func (s *restoreTest) restore(c storeserver.Copy, outage time.Duration) {
	s.store.SetFault([]storeserver.Fault{storeserver.FaultNoAnswer, storeserver.FaultBusy}[s.random.IntN(2)])
	s.markDisturbed()
	s.store.Restore(c)
	<-time.After(outage)
	s.store.SetFault(storeserver.FaultNone)
	s.markDisturbed()
	<-time.After(time.Duration(s.random.Int64N(int64(rewriteTime))))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putConfiguration()
	for _, e := range s.endpoints {
		if e.isGone {
			s.store.Delete("servers/" + e.id) // the store hears nothing of it
		} else {
			s.putEntry(e)
		}
		if !e.due.IsZero() {
			e.due = s.due()
		}
	}
}

// markDisturbed records the end of a disturbance of hosts, or without any of the store.
// Changes that are not due yet have more time after one of the store.
func (s *restoreTest) markDisturbed(hosts ...*restoreHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, h := range hosts {
		h.disturbed = now
	}
	if len(hosts) > 0 {
		return
	}
	s.disturbed = now
	if s.versionDue[s.version].After(now) {
		s.versionDue[s.version] = s.due()
	}
	for _, e := range s.endpoints {
		if e.due.After(now) {
			e.due = s.due()
		}
	}
}

// injectFaults restores the store, beside faults of hosts and of the store, until a time.
func (s *restoreTest) injectFaults(until time.Time) {
	copies := []storeserver.Copy{s.store.Copy()}
	var suspended, cut []*restoreHost
	for time.Now().Before(until) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		switch s.random.IntN(8) {
		case 0:
			copies = append(copies, s.store.Copy())
		case 1, 2:
			s.restore(copies[s.random.IntN(len(copies))], time.Duration(s.random.IntN(800))*time.Millisecond)
		case 3:
			s.writeConfiguration()
			s.leave(s.random.IntN(2) == 0)
		case 4:
			h.proxy.SetFault([]storeserver.Fault{storeserver.FaultBusy, storeserver.FaultNoAnswer, storeserver.FaultLoseAnswers}[s.random.IntN(3)])
			cut = append(cut, h)
		case 5:
			assert.Check(s.t, h.process.kill())
			s.startHost(h)
			s.markDisturbed(h)
		case 6:
			assert.Check(s.t, h.process.signal(syscall.SIGSTOP))
			suspended = append(suspended, h)
		case 7:
			s.store.DropHistory()
			s.markDisturbed()
		}
		<-time.After(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	s.restore(copies[len(copies)-1], 0)
	s.restore(copies[len(copies)-1], 0)
	for _, h := range suspended {
		assert.Check(s.t, h.process.signal(syscall.SIGCONT))
	}
	for _, h := range cut {
		h.proxy.SetFault(storeserver.FaultNone)
	}
	s.markDisturbed(append(suspended, cut...)...)
	s.markDisturbed()
}

func TestRestoredStoreWithRealHosts(t *testing.T) {
	t.Parallel()
	seeds := []uint64{39}
	for seed := range *restoreSeeds {
		seeds = append(seeds, uint64(seed))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newRestoreTest(t, seed)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group sync.WaitGroup
			for _, h := range s.hosts {
				group.Go(func() { s.probe(ctx, h) })
			}
			<-time.After(2 * time.Second) // until the hosts have started
			for range restoreRounds {
				s.injectFaults(time.Now().Add(faultPhase))
				for end := time.Now().Add(changePhase); time.Now().Before(end); {
					s.writeConfiguration()
					s.leave(s.random.IntN(2) == 0)
					<-time.After(time.Duration(200+s.random.IntN(600)) * time.Millisecond)
				}
				<-time.After(settleTime)
				s.writeConfiguration()
				s.leave(true)
				s.leave(false)
				<-time.After(quietPhase)
			}
			cancel()
			group.Wait()
			assert.Check(t, len(s.violations) == 0, "%d violations: %s", len(s.violations), strings.Join(s.violations[:min(len(s.violations), 8)], "\n"))
			served, refused, checked := s.served.Load(), s.refused.Load(), s.checked.Load()
			t.Logf("%d requests served, %d refused, %d of them after the newest version was due", served, refused, checked)
			assert.Check(t, checked > 0 && served > 4*refused, "%d served, %d refused, %d checked", served, refused, checked)
		})
	}
}
