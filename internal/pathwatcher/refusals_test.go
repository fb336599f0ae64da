package pathwatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

const (
	fleetHosts     = 40
	fleetEndpoints = 12
)

type hostEndpoint struct{ host, endpoint int }

// refusalFleet is the Watchers of many hosts with common endpoints, in virtual time.
type refusalFleet struct {
	watchers []*Watcher

	mu                  sync.Mutex // guards the fields below, which probes use too
	refuses             func(host, endpoint int) bool
	sends               bool                  // hosts tell each other of refused connections
	unreached, setAside map[hostEndpoint]bool // as the hosts have been notified
	attempts            int                   // connections that were refused
	maxReach            float64
	blockedFor          []time.Duration // by host: for which sound endpoints got no work, added up
}

func newRefusalFleet(sends bool) *refusalFleet {
	f := &refusalFleet{
		refuses: func(int, int) bool { return false }, sends: sends,
		unreached: map[hostEndpoint]bool{}, setAside: map[hostEndpoint]bool{}, blockedFor: make([]time.Duration, fleetHosts),
	}
	var list []Endpoint
	for e := range fleetEndpoints {
		list = append(list, Endpoint{Target: driver.Target{EndpointID: fmt.Sprintf("e%02d", e), Incarnation: "1"}, Application: testApplication})
	}
	for host := range fleetHosts {
		set := func(states map[hostEndpoint]bool, isBlocked bool) func(driver.Process) {
			return func(p driver.Process) {
				f.mu.Lock()
				defer f.mu.Unlock()
				states[hostEndpoint{host, indexOf(p)}] = isBlocked
			}
		}
		w := New(Config{
			Probe:         func(_ context.Context, target driver.Target) error { return f.connect(host, indexOf(target.Process())) },
			OnUnreached:   set(f.unreached, true),
			OnReached:     set(f.unreached, false),
			OnSetAside:    func(p driver.Process, isSetAside bool) { set(f.setAside, isSetAside)(p) },
			HasBetterPeer: func(_ string, own Reach) bool { return f.maxReach >= own.Share()+0.2 },
			HostID:        fmt.Sprintf("h%02d", host), Hosts: func() int { return fleetHosts },
		})
		w.SetEndpoints(list)
		f.watchers = append(f.watchers, w)
	}
	return f
}

func indexOf(p driver.Process) (n int) {
	_, _ = fmt.Sscanf(p.EndpointID, "e%d", &n)
	return n
}

// connect opens a connection, and reports the outcome to the host's Watcher.
func (f *refusalFleet) connect(host, endpoint int) (err error) {
	use := f.watchers[host].Begin(driver.Process{EndpointID: fmt.Sprintf("e%02d", endpoint), Incarnation: "1"})
	defer func() { use.End(err) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses(host, endpoint) {
		f.attempts++
		return driver.ErrConnectionRefused
	}
	use.Received()
	return nil
}

// run has each host call a random endpoint that it may use every 100 ms, and exchange its state.
func (f *refusalFleet) run(length time.Duration, random *rand.Rand) {
	const step = 20 * time.Millisecond
	for n := range int(length / step) {
		for host := range f.watchers {
			for e := range fleetEndpoints {
				if f.isBlocked(host, e) && !f.refuses(host, e) {
					f.blockedFor[host] += step
				}
			}
			if e := random.IntN(fleetEndpoints); (n+host)%5 == 0 && !f.isBlocked(host, e) {
				_ = f.connect(host, e)
			}
			if (n+host)%5 == 0 {
				f.watchers[host].Tick()
			}
		}
		time.Sleep(step)
		synctest.Wait()
		if n%5 == 0 {
			f.exchange()
		}
	}
}

func (f *refusalFleet) exchange() {
	f.maxReach = 0
	for _, w := range f.watchers {
		f.maxReach = max(f.maxReach, w.Reach(testApplication).Share())
	}
	for from := 0; f.sends && from < fleetHosts; from++ {
		for to := range f.watchers {
			if to != from {
				f.watchers[to].SetRefusals(fmt.Sprint(from), f.watchers[from].Refusals())
			}
		}
	}
}

func (f *refusalFleet) isBlocked(host, endpoint int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pair := hostEndpoint{host, endpoint}
	return f.unreached[pair] || f.setAside[pair]
}

func (f *refusalFleet) countBlocked() (n int) {
	for host := range fleetHosts {
		for e := range fleetEndpoints {
			if f.isBlocked(host, e) {
				n++
			}
		}
	}
	return n
}

// TestRefusedBySeveralHosts guards against hosts that each go on trying processes which refuse all of
// them, that take the broken paths of others for their own, or that return late.
func TestRefusedBySeveralHosts(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		refuses           func(host, endpoint int) bool
		maxShare          float64       // of the refused connections without the exchange
		maxBlockedPerHost time.Duration // for which sound endpoints get no work, added up
		blocked           int           // pairs of a host and an endpoint
	}{
		"three quarters of the endpoints": {
			refuses: func(_, e int) bool { return e < 9 }, maxShare: 0.4, blocked: 9 * fleetHosts,
		},
		"all endpoints, at a quarter of the hosts": {
			refuses: func(host, _ int) bool { return host < 10 }, maxShare: 1.1, blocked: 120, maxBlockedPerHost: 300 * time.Millisecond,
		},
		"one endpoint, at two hosts": {
			refuses: func(host, e int) bool { return host < 2 && e == 3 }, maxShare: 1.1, blocked: 2, maxBlockedPerHost: 150 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			attempts := map[bool]int{}
			for _, sends := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					f, random := newRefusalFleet(sends), rand.New(rand.NewPCG(1, 2))
					f.run(3*time.Second, random)
					f.refuses = test.refuses
					f.run(10*time.Second, random)
					attempts[sends] = f.attempts
					// Without the exchange, a host may not have tried each endpoint.
					assert.Check(t, f.countBlocked() == test.blocked || !sends, "%d", f.countBlocked())
					assert.Check(t, slices.Max(f.blockedFor) <= test.maxBlockedPerHost, "sound endpoints without work: %v", f.blockedFor)
					f.refuses = func(int, int) bool { return false }
					f.run(2*time.Second, random)
					assert.Equal(t, f.countBlocked(), 0, "not used again after two seconds")
					for _, w := range f.watchers {
						assert.NilError(t, w.Close())
					}
				})
			}
			t.Logf("refused connections in 10 s: %d without the exchange, %d with it", attempts[false], attempts[true])
			assert.Check(t, float64(attempts[true]) <= test.maxShare*float64(attempts[false]))
		})
	}
}

// TestSoundEndpointsAreNotSetAside guards against sound endpoints that get no work from this host since a
// zone's paths to them are broken: with many endpoints, a host has recent data from a few of them only.
func TestSoundEndpointsAreNotSetAside(t *testing.T) {
	t.Parallel()
	const endpoints, lost = 48, 36
	for name, isLost := range map[string]bool{"all are sound": false, "three quarters are lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var watcher *Watcher
				setAside := map[int]bool{}
				watcher = New(Config{
					Probe: func(_ context.Context, target driver.Target) (err error) {
						use := watcher.Begin(target.Process())
						defer func() { use.End(err) }()
						time.Sleep(2 * time.Millisecond)
						if isLost && indexOf(target.Process()) < lost {
							return driver.ErrConnectionRefused
						}
						use.Received()
						return nil
					},
					OnSetAside: func(p driver.Process, isSetAside bool) {
						mu.Lock()
						defer mu.Unlock()
						setAside[indexOf(p)] = isSetAside
					},
				})
				var list []Endpoint
				var refusals []Refusal
				for e := range endpoints {
					target := driver.Target{EndpointID: fmt.Sprintf("e%02d", e), Incarnation: "1"}
					list = append(list, Endpoint{Target: target, Application: testApplication})
				}
				watcher.SetEndpoints(list)
				time.Sleep(5 * time.Second) // without data
				for i := range list {
					refusals = append(refusals, Refusal{Process: list[i].Target.Process(), Hosts: 17, At: time.Now()})
				}
				watcher.SetRefusals("zone", refusals)
				watcher.Tick()
				time.Sleep(50 * time.Millisecond)
				assert.NilError(t, watcher.Close())
				want := map[int]bool{}
				for e := 0; isLost && e < lost; e++ {
					want[e] = true
				}
				assert.DeepEqual(t, setAside, want)
			})
		})
	}
}
