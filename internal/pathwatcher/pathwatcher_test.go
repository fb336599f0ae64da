package pathwatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// linkState is what happens to packets between the host and an endpoint.
type linkState int

const (
	linkUp     linkState = iota
	linkSilent           // packets are dropped
	linkRefuse           // new connections are refused; open ones work
	linkReset            // as linkRefuse; calls in flight end without an answer
	linkExited           // the process has exited
	linkPaused           // connections are accepted; no data arrives
	linkLost             // as linkPaused, but new connections are refused: the machine has lost power
)

// rig is a Watcher in virtual time with calls to its endpoints.
type rig struct {
	t       *testing.T
	watcher *Watcher

	mu      sync.Mutex
	links   map[string]linkState
	probes  map[string]int
	exits   []string
	reached map[string]bool // the latest notification
	isIdle  map[string]bool // an idle connection is open
	calls   sync.WaitGroup
}

const (
	testApplication = "letters"
	testEndpoints   = 6
)

func newRig(t *testing.T) *rig {
	r := &rig{t: t, links: map[string]linkState{}, probes: map[string]int{}, reached: map[string]bool{}, isIdle: map[string]bool{}}
	r.watcher = New(Config{
		Probe: r.probe, IsConnected: func(target driver.Target) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			state := r.links[target.EndpointID]
			return r.isIdle[target.EndpointID] && state != linkReset && state != linkExited
		},
		OnExit:        func(p driver.Process) { r.exits = append(r.exits, p.EndpointID) },
		OnUnreached:   func(p driver.Process) { r.note(p, false) },
		OnReached:     func(p driver.Process) { r.note(p, true) },
		HasBetterPeer: func(string, Reach) bool { return true },
	})
	var list []Endpoint
	for i := range testEndpoints {
		list = append(list, Endpoint{Target: driver.Target{EndpointID: fmt.Sprintf("e%d", i), Incarnation: "1"}, Application: testApplication})
	}
	r.watcher.SetEndpoints(list)
	return r
}

func (r *rig) note(p driver.Process, isReached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[p.EndpointID] = isReached
}

func (r *rig) state(id string) linkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[id]
}

func (r *rig) set(state linkState, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.links[id] = state
	}
}

func (r *rig) setIdle(id string, isIdle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isIdle[id] = isIdle
}

// probe is a connection without a request.
func (r *rig) probe(ctx context.Context, target driver.Target) error {
	r.mu.Lock()
	r.probes[target.EndpointID]++
	r.mu.Unlock()
	u := r.watcher.Begin(target.Process())
	err := r.connect(ctx, target.EndpointID)
	if err == nil {
		u.Received()
	}
	u.End(err)
	return err
}

func (r *rig) connect(ctx context.Context, id string) error {
	switch r.state(id) {
	case linkSilent:
		<-ctx.Done()
		return driver.ErrNotSent
	case linkRefuse, linkReset, linkExited, linkLost:
		return driver.ErrConnectionRefused
	default:
		return nil
	}
}

// call makes one call, over a new connection or an open one, that takes 50 ms at the endpoint.
func (r *rig) call(id string, isNew bool) {
	r.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		u := r.watcher.Begin(driver.Process{EndpointID: id, Incarnation: "1"})
		if isNew {
			if err := r.connect(ctx, id); err != nil {
				u.End(err)
				return
			}
		}
		for range 50 {
			time.Sleep(time.Millisecond)
			if state := r.state(id); state == linkReset || state == linkExited {
				u.End(driver.ErrOutcomeUnknown)
				return
			}
		}
		for slices.Contains([]linkState{linkSilent, linkPaused, linkLost}, r.state(id)) {
			if ctx.Err() != nil {
				u.End(nil)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		u.Received()
		u.End(nil)
	})
}

// run makes a call every 20 ms, in turn to the endpoints, and ticks every 100 ms.
func (r *rig) run(length time.Duration, isNew bool) {
	for n := range int(length / (20 * time.Millisecond)) {
		r.call(fmt.Sprintf("e%d", n%len(r.watcher.paths)), isNew)
		time.Sleep(20 * time.Millisecond)
		if n%5 == 4 {
			r.watcher.Tick()
		}
	}
}

func (r *rig) stop() {
	r.calls.Wait()
	assert.NilError(r.t, r.watcher.Close())
}

// allIDs returns the ids of testEndpoints endpoints.
func allIDs() (ids []string) {
	for i := range testEndpoints {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	return ids
}

func TestReach(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		links     map[linkState][]string
		isNew     bool // calls open new connections
		length    time.Duration
		reached   int
		exits     []string
		maxProbes int
	}{
		"all reached":                                 {length: 3 * time.Second, reached: 6},
		"all silent":                                  {links: map[linkState][]string{linkSilent: allIDs()}, length: 1500 * time.Millisecond},
		"all reset":                                   {links: map[linkState][]string{linkReset: allIDs()}, isNew: true, length: 500 * time.Millisecond},
		"all refuse, open connections live on":        {links: map[linkState][]string{linkRefuse: allIDs()}, length: 2 * time.Second, reached: 6},
		"all refuse":                                  {links: map[linkState][]string{linkRefuse: allIDs()}, isNew: true, length: time.Second},
		"one process exits":                           {links: map[linkState][]string{linkExited: {"e2"}}, isNew: true, length: time.Second, reached: 5, exits: []string{"e2"}},
		"two of six exit":                             {links: map[linkState][]string{linkExited: {"e2", "e4"}}, isNew: true, length: time.Second, reached: 4, exits: []string{"e2", "e4"}},
		"most reset, one reached":                     {links: map[linkState][]string{linkReset: {"e0", "e1", "e2", "e3", "e4"}}, isNew: true, length: time.Second, reached: 1},
		"one silent for two seconds and more":         {links: map[linkState][]string{linkSilent: {"e1"}}, length: 4 * time.Second, reached: 5},
		"one silent for a second":                     {links: map[linkState][]string{linkSilent: {"e1"}}, length: time.Second, reached: 6},
		"one loses power, an idle connection is open": {links: map[linkState][]string{linkLost: {"e1"}}, length: 4 * time.Second, reached: 5},
		"all slow":                                    {links: map[linkState][]string{linkPaused: allIDs()}, length: 2 * time.Second, reached: 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				defer r.stop()
				r.run(time.Second, test.isNew)
				for state, ids := range test.links {
					r.set(state, ids...)
					for _, id := range ids {
						r.setIdle(id, state == linkLost)
					}
				}
				r.run(test.length, test.isNew)
				reach := r.watcher.Reach(testApplication)
				slices.Sort(r.exits)
				assert.DeepEqual(t, r.exits, test.exits)
				assert.Equal(t, reach, Reach{Reached: test.reached, Listed: testEndpoints})
				r.set(linkUp, allIDs()...)
				r.run(2*time.Second, test.isNew)
				assert.Equal(t, r.watcher.Reach(testApplication).Reached, testEndpoints, "not reached again")
			})
		})
	}
}

// TestRefusalsWhileDataArrives guards against an endpoint that counts as unreached while data arrives from it.
func TestRefusalsWhileDataArrives(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.stop()
		r.set(linkRefuse, "e1")
		process := driver.Process{EndpointID: "e1", Incarnation: "1"}
		started, isReached := time.Now(), true
		r.calls.Go(func() {
			u := r.watcher.Begin(process)
			for time.Since(started) < 2*time.Second {
				time.Sleep(10 * time.Millisecond)
				u.Received()
				r.mu.Lock()
				reached, isNoted := r.reached["e1"]
				isReached = isReached && (reached || !isNoted)
				r.mu.Unlock()
			}
			u.End(nil)
		})
		for n := 0; time.Since(started) < 2*time.Second; n++ {
			r.call("e1", true)
			time.Sleep(13 * time.Millisecond)
			if n%8 == 7 {
				r.watcher.Tick()
			}
		}
		r.calls.Wait()
		assert.Check(t, isReached)
		assert.Equal(t, len(r.exits), 0)
		assert.Check(t, r.watcher.ReceivedSince(process, started.Add(time.Second)))
		assert.Check(t, !r.watcher.ReceivedSince(process, time.Now()))
	})
}

// TestExitIsConfirmedElsewhere guards against exits that are concluded from a broken path to one endpoint, or while the Watcher is closed.
func TestExitIsConfirmedElsewhere(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		isReached, isClosed bool
		exits               []string
	}{
		"another host reaches it":  {isReached: true},
		"none does":                {exits: []string{"e1"}},
		"closed before the answer": {isClosed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.watcher.cfg.IsReachedElsewhere = func(ctx context.Context, _ driver.Process) bool {
					if test.isClosed {
						<-ctx.Done()
						return false
					}
					time.Sleep(100 * time.Millisecond)
					return test.isReached
				}
				r.run(time.Second, true)
				r.set(linkExited, "e1")
				r.run(time.Second, true)
				r.stop()
				assert.DeepEqual(t, r.exits, test.exits)
			})
		})
	}
}

// TestIdleConnectionsAreVerified guards against idle connections that speak against an exit although their machine is gone, or don't
// although the process answers.
func TestIdleConnectionsAreVerified(t *testing.T) {
	t.Parallel()
	const id = "e1"
	for name, test := range map[string]struct {
		ping    func(ctx context.Context, r *rig) error
		exits   []string
		isAlive bool
	}{
		"ends when it is used": {exits: []string{id}, ping: func(_ context.Context, r *rig) error {
			r.setIdle(id, false)
			return driver.ErrNotConnected
		}},
		"is answered": {isAlive: true, ping: func(context.Context, *rig) error { return nil }},
		"is answered after some time": {isAlive: true, ping: func(context.Context, *rig) error {
			time.Sleep(30 * time.Millisecond)
			return nil
		}},
		"is not answered": {ping: func(ctx context.Context, _ *rig) error {
			<-ctx.Done()
			return ctx.Err()
		}},
		"endpoint has no such request": {ping: func(context.Context, *rig) error { return driver.ErrNotSent }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				defer r.stop()
				r.watcher.cfg.Ping = func(ctx context.Context, _ driver.Target) error { return test.ping(ctx, r) }
				r.run(time.Second, true)
				r.calls.Wait()
				r.setIdle(id, true)
				r.set(linkRefuse, id)
				target := driver.Target{EndpointID: id, Incarnation: "1"}
				for range 15 {
					_ = r.probe(t.Context(), target)
					for _, other := range []string{"e0", "e2", "e3", "e4", "e5"} {
						r.call(other, true)
						time.Sleep(20 * time.Millisecond)
					}
					r.watcher.Tick()
				}
				assert.DeepEqual(t, r.exits, test.exits)
				assert.Equal(t, r.watcher.IsAlive(t.Context(), target.Process()), test.isAlive)
			})
		})
	}
}

// TestNotificationsInOrder guards against an endpoint that stays out of use since OnUnreached was called
// after the OnReached that followed: its Tick was still calling other functions.
func TestNotificationsInOrder(t *testing.T) {
	t.Parallel()
	var (
		mu      sync.Mutex
		latest  = map[string]bool{} // whether it is reached, by the latest call
		now     = time.Now()
		open    = map[string]driver.PathUse{}
		group   sync.WaitGroup
		watcher *Watcher
		isFirst = true
	)
	reached := make(chan struct{}, 8)
	note := func(p driver.Process, isReached bool) {
		mu.Lock()
		latest[p.EndpointID] = isReached
		isTrigger := isFirst && !isReached
		isFirst = isFirst && isReached
		if isTrigger {
			now = now.Add(time.Millisecond)
		}
		mu.Unlock()
		if isReached {
			reached <- struct{}{}
		}
		if !isTrigger {
			return
		}
		other := map[string]string{"e0": "e1", "e1": "e0"}[p.EndpointID]
		open[other].Received()
		group.Go(watcher.Tick)
		select { // Tick waits for this call if calls are kept in order
		case <-reached:
		case <-time.After(50 * time.Millisecond):
		}
	}
	watcher = New(Config{
		Probe:       func(ctx context.Context, _ driver.Target) error { <-ctx.Done(); return ctx.Err() },
		OnUnreached: func(p driver.Process) { note(p, false) },
		OnReached:   func(p driver.Process) { note(p, true) },
		Now: func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		},
	})
	var list []Endpoint
	for _, id := range []string{"e0", "e1"} {
		list = append(list, Endpoint{Target: driver.Target{EndpointID: id, Incarnation: "1"}, Application: testApplication})
	}
	watcher.SetEndpoints(list)
	now = now.Add(time.Second)
	for i := range list {
		process := list[i].Target.Process()
		open[process.EndpointID] = watcher.Begin(process)
		watcher.Begin(process).End(driver.ErrConnectionRefused)
	}
	now = now.Add(2 * refusalGrace)
	watcher.Tick()
	group.Wait()
	assert.NilError(t, watcher.Close())
	assert.Equal(t, len(latest), 2)
	assert.Check(t, latest["e0"] != latest["e1"], "%v", latest)
	assert.Equal(t, watcher.Reach(testApplication), Reach{Reached: 1, Listed: 2})
}
