package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is a clock that the test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

// fleet is a set of hosts that exchange updates.
type fleet struct {
	t         *testing.T
	clock     *clock
	hosts     []*Quarantiner
	positions []uint64 // up to which each host's updates have been sent
	n         int      // number of processes so far
	endpoints int      // listed; 0: one
}

func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	f := &fleet{t: t, clock: newClock(), positions: make([]uint64, hosts)}
	for n := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("host-%d", n)))
	}
	return f
}

// newHost returns a host whose probes of processes have no clear outcome.
func (f *fleet) newHost(id string) *Quarantiner {
	q := New(Config{
		HostID: id, Now: f.clock.Now, Hosts: f.hostIDs,
		Probe:     func(context.Context, driver.Target) error { return errors.New("probes are not simulated") },
		IsLeaving: func(Process) bool { return false },
		Endpoints: func() int { return f.endpoints },
	})
	f.t.Cleanup(func() { assert.NilError(f.t, q.Close()) })
	return q
}

func (f *fleet) hostIDs() (ids []string) {
	for n := range f.positions {
		ids = append(ids, fmt.Sprintf("host-%d", n))
	}
	return ids
}

// exchangeUpdates sends all updates, and has all hosts evaluate.
func (f *fleet) exchangeUpdates() {
	f.t.Helper()
	for n, from := range f.hosts {
		updates, position := from.Updates(f.positions[n], exchanger.ScopeOwn)
		f.positions[n] = position
		for _, to := range f.hosts {
			if to != from {
				to.Merge(updates, true)
			}
		}
	}
	for _, q := range f.hosts {
		q.Tick(f.clock.Now())
	}
}

func (f *fleet) passSettlingDelay() {
	f.clock.advance(crashSettlingDelay)
	f.exchangeUpdates()
}

func newRequest(body string) *Request {
	return &Request{Method: "POST", Host: "h.example", Path: "/draft/x", Body: []byte(body)}
}

// runSpec is a run in progress at a process when it crashes.
type runSpec struct {
	body            string
	host            int
	sinceSend       time.Duration
	sinceFirstEvent time.Duration
}

// crash has a process crash with some runs in progress.
func (f *fleet) crash(runs ...runSpec) {
	f.n++
	process := Process{EndpointID: fmt.Sprintf("e%d", f.n), Incarnation: "1"}
	for _, run := range runs {
		f.hosts[run.host].RunInterrupted(InterruptedRun{
			Request: newRequest(run.body), Target: driver.Target{EndpointID: process.EndpointID, Incarnation: process.Incarnation},
			SinceSend: run.sinceSend, SinceFirstEvent: run.sinceFirstEvent,
		})
	}
	for _, q := range f.hosts {
		q.ProcessExited(process)
	}
	f.exchangeUpdates()
}

const shortRun = 60 * time.Millisecond

func TestQuarantineConditions(t *testing.T) {
	t.Parallel()
	crashing := func(host int) runSpec { return runSpec{body: "crashing", host: host, sinceSend: shortRun} }
	beside := func(host int) runSpec { return runSpec{body: "beside", host: host, sinceSend: shortRun} }
	for name, test := range map[string]struct {
		prepare       func(f *fleet)
		isQuarantined map[string]bool
	}{
		"three consecutive crashes at three hosts": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(time.Second)
				f.crash(crashing(n), runSpec{body: fmt.Sprint("other ", n), host: 0, sinceSend: shortRun})
			}
		}, map[string]bool{"crashing": true, "other 0": false, "other 2": false}},
		"two crashes": {func(f *fleet) {
			for n := range 2 {
				f.clock.advance(time.Second)
				f.crash(crashing(n))
			}
		}, map[string]bool{"crashing": false}},
		"three at the same time, as when a rack loses power": {func(f *fleet) {
			f.clock.advance(time.Second)
			for n := range 3 {
				f.crash(crashing(n))
			}
		}, map[string]bool{"crashing": false}},
		"four at the same time, of many callers": {func(f *fleet) {
			f.clock.advance(time.Second)
			for n := range 4 {
				f.crash(crashing(n % 3))
			}
		}, map[string]bool{"crashing": true}},
		"six at the same time, of a request that has succeeded before": {func(f *fleet) {
			f.hosts[1].RunSucceeded(newRequest("crashing"), true)
			f.clock.advance(time.Second)
			for n := range 6 {
				f.crash(crashing(n % 3))
			}
		}, map[string]bool{"crashing": false}},
		"three with a successful run in between": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(time.Second)
				f.crash(crashing(n))
				if n == 1 {
					f.clock.advance(time.Second)
					f.hosts[2].RunSucceeded(newRequest("crashing"), true)
				}
			}
		}, map[string]bool{"crashing": false}},
		"three, each long after the run started": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(3 * time.Second)
				f.crash(runSpec{body: "crashing", host: n, sinceSend: 2 * time.Second, sinceFirstEvent: time.Second})
			}
		}, map[string]bool{"crashing": false}},
		"another request at each crash: the cause is ambiguous": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(time.Second)
				f.crash(crashing(n), beside(n))
			}
		}, map[string]bool{"crashing": false, "beside": false}},
		"another request at three of four crashes": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(time.Second)
				f.crash(crashing(n), beside(n))
			}
			f.clock.advance(time.Second)
			f.crash(crashing(0))
		}, map[string]bool{"crashing": true, "beside": false}},
		"another request at each crash that succeeds elsewhere": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(time.Second)
				f.crash(crashing(n), beside(n))
			}
			f.hosts[0].RunSucceeded(newRequest("beside"), true)
		}, map[string]bool{"crashing": true, "beside": false}},
		"two requests that each crash engines": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(time.Second)
				f.crash(crashing(n))
				f.clock.advance(time.Second)
				f.crash(beside(n))
			}
		}, map[string]bool{"crashing": true, "beside": true}},
		"crashes too far apart": {func(f *fleet) {
			for n := range 3 {
				f.clock.advance(crashRetention)
				f.crash(crashing(n))
			}
		}, map[string]bool{"crashing": false}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			test.prepare(f)
			f.passSettlingDelay()
			for body, want := range test.isQuarantined {
				for n, q := range f.hosts {
					assert.Equal(t, q.IsQuarantined(newRequest(body)), want, "%q at host %d", body, n)
				}
			}
			other := newRequest("crashing")
			other.Path = "/draft/y"
			assert.Assert(t, !f.hosts[0].Admit(other).IsRefused, "another request was refused")
		})
	}
}

// quarantine has a request quarantined at all hosts.
func (f *fleet) quarantine() {
	f.t.Helper()
	for n := range crashesToQuarantine {
		f.clock.advance(time.Second)
		f.crash(runSpec{body: "crashing", host: n % len(f.hosts), sinceSend: shortRun})
	}
	f.passSettlingDelay()
	for _, q := range f.hosts {
		assert.Assert(f.t, q.IsQuarantined(newRequest("crashing")))
	}
}

// During the pause all hosts refuse a request, with a time for the retry. After it one host
// runs a trial, and the others wait for the outcome.
func TestTrials(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.quarantine()
	admitAll := func() (trials int) {
		for _, q := range f.hosts {
			a := q.Admit(newRequest("crashing"))
			assert.Equal(t, a.IsRefused, !a.IsTrial)
			if a.IsTrial {
				trials++
			} else {
				assert.Assert(t, a.RetryAfter > 0)
			}
			f.exchangeUpdates()
		}
		return trials
	}
	assert.Equal(t, admitAll(), 0)
	f.clock.advance(initialPause - crashSettlingDelay)
	assert.Equal(t, admitAll(), 1, "several hosts started a trial when the pause ended")
	f.clock.advance(trialTimeout - time.Millisecond)
	assert.Equal(t, admitAll(), 0)
	f.clock.advance(maxStagger + time.Millisecond)
	assert.Equal(t, admitAll(), 1, "a trial without an outcome prevents the next one")

	f.crash(runSpec{body: "crashing", host: 1, sinceSend: shortRun}) // the trial crashes an endpoint
	f.clock.advance(trialTimeout)
	assert.Equal(t, admitAll(), 0)
	f.clock.advance(2*initialPause - trialTimeout - time.Millisecond)
	assert.Equal(t, admitAll(), 0, "the pause has not doubled")
	f.clock.advance(maxStagger)
	assert.Equal(t, admitAll(), 1)

	f.hosts[2].RunSucceeded(newRequest("crashing"), true) // a successful trial
	f.exchangeUpdates()
	for _, q := range f.hosts {
		assert.Assert(t, !q.Admit(newRequest("crashing")).IsRefused)
	}
}

// Hosts that receive a request at the same time, before any update about a trial can have
// arrived, start trials one at a time while the stagger lasts.
func TestTrialsAreStaggered(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 9)
	f.quarantine()
	f.clock.advance(initialPause - crashSettlingDelay)
	trials := 0
	for _, q := range f.hosts {
		if q.Admit(newRequest("crashing")).IsTrial {
			trials++
		}
	}
	assert.Equal(t, trials, 1)
}

// TestHostThatDrainsStartsNoTrial guards against a host that drains, which other hosts leave out of the order of trials.
func TestHostThatDrainsStartsNoTrial(t *testing.T) {
	t.Parallel()
	const hosts = 9
	for draining := range hosts {
		f := newFleet(t, hosts)
		f.quarantine()
		f.clock.advance(initialPause - crashSettlingDelay)
		trials := 0
		for n, q := range f.hosts {
			q.cfg.Hosts = func() []string { return slices.Delete(f.hostIDs(), draining, draining+1) }
			if q.Admit(newRequest("crashing")).IsTrial {
				assert.Assert(t, n != draining)
				trials++
			}
		}
		assert.Equal(t, trials, 1, "host %d drains", draining)
	}
}

// A host probes a process whose runs were interrupted. A connection that was reset, or that
// can't be made, doesn't show that the process has exited; the listing of the next process
// does.
func TestProcessExitDetection(t *testing.T) {
	t.Parallel()
	target := driver.Target{EndpointID: "e1", Incarnation: "e1@1"}
	for name, test := range map[string]struct {
		probeErr  error
		isLeaving bool
		then      func(q *Quarantiner)
		hasExited bool
	}{
		"connection refused":      {probeErr: fmt.Errorf("%w: refused", driver.ErrConnectionRefused), hasExited: true},
		"another process answers": {probeErr: fmt.Errorf("%w: e2", driver.ErrReplaced), hasExited: true},
		"it listens":              {},
		"it is unreachable":       {probeErr: fmt.Errorf("%w: timeout", driver.ErrNotSent)},
		"it was leaving":          {probeErr: driver.ErrConnectionRefused, isLeaving: true},
		"it is listed with another incarnation": {then: func(q *Quarantiner) {
			q.SetProcesses(func(string) (string, bool) { return "e1@2", true })
		}, hasExited: true},
		"it is listed with the same incarnation": {then: func(q *Quarantiner) {
			q.SetProcesses(func(string) (string, bool) { return target.Incarnation, true })
		}},
		"a peer reports the exit": {then: func(q *Quarantiner) {
			q.Merge([]exchanger.CrashUpdate{{EndpointID: "e1", Incarnation: "e1@1", At: time.Unix(1000, 0)}}, true)
		}, hasExited: true},
		"a peer reports the exit of another process": {then: func(q *Quarantiner) {
			q.Merge([]exchanger.CrashUpdate{{EndpointID: "e1", Incarnation: "e1@0", At: time.Unix(1000, 0)}}, true)
		}},
		"the exit is detected too late": {then: func(q *Quarantiner) {
			q.Tick(time.Unix(1000, 0).Add(pendingTimeout))
			q.ProcessExited(Process{EndpointID: "e1", Incarnation: "e1@1"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			probed := make(chan struct{})
			q := New(Config{
				Now: newClock().Now, IsLeaving: func(Process) bool { return test.isLeaving }, Hosts: func() []string { return nil },
				Probe: func(context.Context, driver.Target) error {
					close(probed)
					return test.probeErr
				},
			})
			defer func() { assert.NilError(t, q.Close()) }()
			q.RunInterrupted(InterruptedRun{Request: newRequest("a"), Target: target, SinceSend: shortRun})
			q.RunInterrupted(InterruptedRun{Request: newRequest("b"), Target: target, SinceSend: shortRun})
			if !test.isLeaving {
				<-probed
			}
			if test.then != nil {
				test.then(q)
			}
			assert.NilError(t, q.group.Wait())
			q.mu.Lock()
			defer q.mu.Unlock()
			e := q.table.crashes[Process{EndpointID: "e1", Incarnation: "e1@1"}]
			assert.Equal(t, e != nil && len(e.runs) == 2, test.hasExited)
		})
	}
}

// A caller sends a thousand different requests that each crash an engine, next to many
// others. The records stay bounded, and what is quarantined stays so.
func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.quarantine()
	for n := range 1000 {
		runs := []runSpec{{body: fmt.Sprint("poison ", n), sinceSend: shortRun}}
		for i := range 2 * maxRunsPerCrash {
			runs = append(runs, runSpec{body: fmt.Sprint("prompt ", n, i), host: i % 2, sinceSend: shortRun})
		}
		f.crash(runs...)
		f.clock.advance(20 * time.Millisecond)
	}
	f.passSettlingDelay()
	for _, q := range f.hosts {
		assert.Assert(t, q.IsQuarantined(newRequest("crashing")))
		assert.Assert(t, len(q.table.byArrival) <= maxCrashes)
		assert.Assert(t, len(q.table.records) <= maxCrashes*maxRunsPerCrash+1, "%d records", len(q.table.records))
		assert.Assert(t, len(q.table.keyCounts) <= len(q.table.records))
		assert.Equal(t, q.Count(), 1)
	}
	f.clock.advance(2 * crashRetention)
	f.exchangeUpdates()
	for _, q := range f.hosts {
		assert.Equal(t, len(q.table.records)+len(q.table.keyCounts)+len(q.table.crashes)+q.Count(), 0, "records remain after the retention")
		assert.Equal(t, q.recordCount.Load(), int64(0))
	}
}

// TestPartsUseUpTheRunsOfACrash guards against a crash whose records are full of other requests' parts when the request that caused it is reported.
func TestPartsUseUpTheRunsOfACrash(t *testing.T) {
	t.Parallel()
	const otherRuns, partsPerRun = 96, 4 // as many as an engine runs and queues
	f := newFleet(t, 2)
	for n := range 3 {
		f.clock.advance(time.Second)
		target := driver.Target{EndpointID: fmt.Sprint("e", n), Incarnation: "1"}
		for i := range otherRuns {
			request := newRequest(fmt.Sprint("other ", n, " ", i))
			for part := range partsPerRun {
				request.Parts = append(request.Parts, fmt.Sprint(n, i, part))
			}
			f.hosts[0].RunInterrupted(InterruptedRun{Request: request, Target: target, SinceSend: shortRun})
		}
		f.hosts[1].RunInterrupted(InterruptedRun{Request: newRequest("crashing"), Target: target, SinceSend: shortRun})
		for _, q := range f.hosts {
			q.ProcessExited(target.Process())
		}
		f.exchangeUpdates()
	}
	f.passSettlingDelay()
	for n, q := range f.hosts {
		assert.Check(t, q.IsQuarantined(newRequest("crashing")), "at host %d", n)
	}
}

// TestEarlierInterruptionHidesACrash guards against a crash that is not probed, or dated to an earlier interruption, since the process was alive at that time.
func TestEarlierInterruptionHidesACrash(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const between = 2 * time.Second
		var probeErr error
		q := New(Config{
			Now: time.Now, IsLeaving: func(Process) bool { return false }, Hosts: func() []string { return nil },
			Probe: func(context.Context, driver.Target) error { return probeErr },
		})
		defer func() { assert.NilError(t, q.Close()) }()
		target := driver.Target{EndpointID: "e1", Incarnation: "1"}
		q.RunInterrupted(InterruptedRun{Request: newRequest("earlier"), Target: target, SinceSend: shortRun})
		time.Sleep(between)
		synctest.Wait()
		probeErr = driver.ErrConnectionRefused
		crashedAt := time.Now()
		q.RunInterrupted(InterruptedRun{Request: newRequest("crashing"), Target: target, SinceSend: shortRun})
		synctest.Wait()
		updates, _ := q.Updates(0, exchanger.ScopeOwn)
		assert.Equal(t, len(updates), 1)
		assert.Equal(t, len(updates[0].Runs), 1)
		assert.Equal(t, Fingerprint(updates[0].Runs[0].Fingerprint), newRequest("crashing").Fingerprint())
		assert.Check(t, updates[0].At.Equal(crashedAt), "%s after it", updates[0].At.Sub(crashedAt))
	})
}

// TestUnclearExitIsProbedAgain guards against a crash that stays unconfirmed because the first probe came too early.
func TestUnclearExitIsProbedAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		q := New(Config{
			Now: time.Now, IsLeaving: func(Process) bool { return false }, Hosts: func() []string { return nil },
			Probe: func(context.Context, driver.Target) error {
				if probes++; probes < 3 {
					return driver.ErrNotSent
				}
				return driver.ErrConnectionRefused
			},
		})
		defer func() { assert.NilError(t, q.Close()) }()
		q.RunInterrupted(InterruptedRun{Request: newRequest("crashing"), Target: driver.Target{EndpointID: "e1", Incarnation: "1"}, SinceSend: shortRun})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			q.Tick(time.Now())
		}
		synctest.Wait()
		assert.Equal(t, probes, 3)
		updates, _ := q.Updates(0, exchanger.ScopeOwn)
		assert.Equal(t, len(updates), 1)
	})
}

// TestCrashNoticedEarlierByAnotherHost guards against runs that seem to have been sent before the previous crash.
func TestCrashNoticedEarlierByAnotherHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	const noticedAfter = 250 * time.Millisecond // by the host of the run
	for n := range 3 {
		f.clock.advance(shortRun)
		target := driver.Target{EndpointID: fmt.Sprint("e", n), Incarnation: "1"}
		if n == 1 {
			f.hosts[1].RunInterrupted(InterruptedRun{Request: newRequest("other"), Target: target, SinceSend: shortRun})
			f.hosts[1].ProcessExited(target.Process())
			f.exchangeUpdates()
		}
		f.clock.advance(noticedAfter)
		f.hosts[0].RunInterrupted(InterruptedRun{Request: newRequest("crashing"), Target: target, SinceSend: noticedAfter + shortRun/2})
		f.hosts[0].ProcessExited(target.Process())
		f.exchangeUpdates()
	}
	f.passSettlingDelay()
	for n, q := range f.hosts {
		assert.Check(t, q.IsQuarantined(newRequest("crashing")), "at host %d", n)
	}
}
