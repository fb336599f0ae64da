package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
)

// A host that starts, or has missed updates, receives all quarantines from any other host,
// also those of hosts that no longer run.
func TestLateHostsReceiveSnapshot(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.quarantine()
	late := f.newHost("host-late")
	updates, _ := f.hosts[1].Updates(0, exchanger.ScopeOwn)
	late.Merge(updates, true)
	assert.Assert(t, late.Admit(newRequest("crashing")).IsRefused)

	// A quarantine that was lifted while one host missed updates must not be restored by
	// that host's snapshot.
	f.clock.advance(time.Second)
	lagging := f.hosts[2]
	f.hosts[0].RunSucceeded(newRequest("crashing"), true)
	updates, _ = f.hosts[0].Updates(f.positions[0], exchanger.ScopeOwn)
	late.Merge(updates, true)
	stale, _ := lagging.Updates(0, exchanger.ScopeOwn)
	late.Merge(stale, true)
	late.Tick(f.clock.advance(crashSettlingDelay))
	assert.Assert(t, !late.IsQuarantined(newRequest("crashing")))
}

// Between large zones updates pass through hubs: from a host to its hub, to the other zone's
// hub, and to that one's hosts. What comes back is not relayed again.
func TestUpdatesPassThroughHubs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	near, nearHub, farHub, far := f.hosts[0], f.hosts[1], f.hosts[2], f.hosts[3]
	links := []struct {
		from, to  *Quarantiner
		scope     exchanger.Scope
		isOwnZone bool
		position  uint64
	}{
		{near, nearHub, exchanger.ScopeOwn, true, 0},
		{nearHub, near, exchanger.ScopeAll, true, 0},
		{nearHub, farHub, exchanger.ScopeZone, false, 0},
		{farHub, nearHub, exchanger.ScopeZone, false, 0},
		{far, farHub, exchanger.ScopeOwn, true, 0},
		{farHub, far, exchanger.ScopeAll, true, 0},
	}
	relay := func() (total int) {
		for n := range links {
			updates, position := links[n].from.Updates(links[n].position, links[n].scope)
			links[n].position = position
			links[n].to.Merge(updates, links[n].isOwnZone)
			total += len(updates)
		}
		return total
	}
	for n := range crashesToQuarantine {
		f.clock.advance(time.Second)
		target := driver.Target{EndpointID: fmt.Sprintf("e%d", n), Incarnation: "1"}
		near.RunInterrupted(InterruptedRun{Request: newRequest("crashing"), Target: target, SinceSend: shortRun})
		near.ProcessExited(target.Process())
		relay()
	}
	for range len(links) {
		relay()
	}
	assert.Equal(t, relay(), 0, "updates are relayed forever")
	f.clock.advance(crashSettlingDelay)
	for n, q := range f.hosts {
		q.Tick(f.clock.Now())
		assert.Assert(t, q.IsQuarantined(newRequest("crashing")), "host %d", n)
	}
	far.RunSucceeded(newRequest("crashing"), true)
	for range len(links) {
		relay()
	}
	for n, q := range f.hosts {
		assert.Assert(t, !q.IsQuarantined(newRequest("crashing")), "host %d", n)
	}
}

// Hosts keep a bounded number of requests per crash, and not the same ones. A host that lacks
// the crashing request is informed of the quarantine by the others.
func TestQuarantineReachesHostWithIncompleteCrash(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	last := f.hosts[2]
	for n := range crashesToQuarantine {
		f.clock.advance(time.Second)
		if n == 0 {
			process := Process{EndpointID: "e1", Incarnation: "1"}
			for i := range maxRunsPerCrash { // no room for one more
				last.RunInterrupted(InterruptedRun{
					Request: newRequest(fmt.Sprint("prompt ", i)), SinceSend: shortRun,
					Target: driver.Target{EndpointID: process.EndpointID, Incarnation: process.Incarnation},
				})
			}
			last.ProcessExited(process)
		}
		f.crash(runSpec{body: "crashing", host: 0, sinceSend: shortRun})
	}
	f.passSettlingDelay()
	f.exchangeUpdates()
	for n, q := range f.hosts {
		assert.Assert(t, q.IsQuarantined(newRequest("crashing")), "host %d", n)
	}
}

// TestPartIsReleasedWithoutAnExplanation guards against a host that ends a peer's quarantine of a part since it knows fewer crashes.
func TestPartIsReleasedWithoutAnExplanation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	part := &Request{Method: "POST", Host: "h.example", Path: "/draft/x", Application: "llm", Parts: []string{"bad"}}
	s := part.partSuspects()[0]
	now := f.clock.Now()
	f.hosts[0].Merge([]exchanger.CrashUpdate{
		{EndpointID: "e1", Incarnation: "1", At: now, Runs: []exchanger.CrashRun{{RequestFingerprint: exchanger.RequestFingerprint{Fingerprint: s.fingerprint, Key: uint64(s.key), Part: 1}}}},
		{At: now, Quarantines: []exchanger.Quarantine{{
			RequestFingerprint: exchanger.RequestFingerprint{Fingerprint: s.fingerprint, Key: uint64(s.key), Part: 1}, Until: now.Add(partPause), Pause: partPause,
		}}},
	}, true)
	f.passSettlingDelay()
	f.exchangeUpdates()
	for n, q := range f.hosts {
		assert.Assert(t, q.IsQuarantined(part), "host %d", n)
	}
}

// The hosts' updates about a crash arrive one after the other. If a crash were evaluated after
// the first of them, a request that only ran next to the crashing one would look as if it had
// run there alone, and would be quarantined.
func TestCrashesAreEvaluatedAfterSettlingDelay(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for range crashesToQuarantine - 1 {
		f.clock.advance(time.Second)
		f.crash(runSpec{body: "crashing", host: 1, sinceSend: shortRun}, runSpec{body: "beside", host: 0, sinceSend: shortRun})
	}
	f.clock.advance(time.Second)
	process := Process{EndpointID: "last", Incarnation: "1"}
	target := driver.Target{EndpointID: process.EndpointID, Incarnation: process.Incarnation}
	f.hosts[0].RunInterrupted(InterruptedRun{Request: newRequest("beside"), Target: target, SinceSend: shortRun})
	f.hosts[0].ProcessExited(process)
	f.clock.advance(crashSettlingDelay - 50*time.Millisecond) // the delay of the other host's update
	f.hosts[0].Tick(f.clock.Now())
	assert.Assert(t, !f.hosts[0].IsQuarantined(newRequest("beside")))
	f.hosts[1].RunInterrupted(InterruptedRun{Request: newRequest("crashing"), Target: target, SinceSend: shortRun})
	f.hosts[1].ProcessExited(process)
	f.exchangeUpdates()
	f.passSettlingDelay()
	for _, q := range f.hosts {
		assert.Assert(t, !q.IsQuarantined(newRequest("beside")))
	}
}
