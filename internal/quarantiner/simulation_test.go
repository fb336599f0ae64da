package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
)

// The simulation runs callers, hosts and engines on a clock of its own: a request that is
// sent to an engine runs there until it ends or the engine crashes. Hosts send updates at
// each tick of the peer protocol and call Tick at their own interval. A poison request is
// one that crashes each engine that runs it.

const (
	simStep            = 5 * time.Millisecond
	simUpdateInterval  = 20 * time.Millisecond  // between two updates of a host, as in small fleets
	simTickInterval    = 100 * time.Millisecond // between two calls of Tick
	simRestartTime     = 1500 * time.Millisecond
	simFirstEventDelay = 45 * time.Millisecond // from the send until the first event
	simCrashDelay      = 45 * time.Millisecond // from the first event until a poison request crashes its engine
	simLongRun         = 1500 * time.Millisecond
	simDetectionTime   = 3 * time.Second // from the third crash until all hosts have to know
	simMaxAttempts     = 8               // attempts of a caller, each right after the previous one
)

// simLoad configures a simulation.
type simLoad struct {
	hosts, engines   int
	perSecond        int           // requests of callers, without poison requests
	longShare        float64       // fraction of them that run for 1.5 s; the others run for 50 to 300 ms
	popularShare     float64       // fraction of them with the same body
	unrelatedCrashes int           // number of times that a third of the engines crashes for other reasons
	isStaggered      bool          // these crashes happen one by one and not at the same time
	poisonInterval   time.Duration // between two poison requests; 0: there are none
	poisonDelay      time.Duration // from the first event until a poison request crashes its engine; 0: simCrashDelay
	longRun          time.Duration // run time of long requests; 0: simLongRun
	resendsLater     bool          // interrupted requests are sent again in the next step, and not at the time of the crash
	allCrash         bool          // unrelated crashes hit all engines at once and not a third
	isPoisonVaried   bool          // each poison request has a different body
	poisonUntil      time.Duration // when poison requests end; 0: at the end of the simulation
	updateInterval   time.Duration // between two updates of a host; 0: simUpdateInterval
	hasParts         bool          // requests share parts of their prompts; poison requests have a part of their own
	isFirstPoison    bool          // that is their first part
	duration         time.Duration
}

// simResult is the outcome of a simulation.
type simResult struct {
	requests             int
	refused              int // of these, wrongly
	engineCrashes        int
	poisonSends          int  // poison requests sent to engines
	latePoisonSends      int  // of these, later than simDetectionTime after the third crash
	isPopularQuarantined bool // at any host, at the end
}

type simRun struct {
	body     string
	parts    []string
	isPoison bool
	host     int
	sentAt   time.Duration
	endsAt   time.Duration
	attempts int
}

type simEngine struct {
	restartsAt  time.Duration
	incarnation int
	runs        []*simRun
}

type simulation struct {
	load          simLoad
	fleet         *fleet
	rand          *rand.Rand
	engines       []*simEngine
	now           time.Duration
	requestCount  int
	result        simResult
	thirdCrashAt  time.Duration // when a poison request crashed the third engine; 0: not yet
	poisonCrashes int           // crashes caused by poison requests
	resends       []*simRun     // in the next step
}

// request returns the request of a run.
func (r *simRun) request() *Request {
	request := newRequest(r.body)
	request.Application, request.Parts = "llm", r.parts
	return request
}

const (
	poisonBody  = "crashing"
	popularBody = "popular"
	poisonPart  = "bad"
	firstParts  = 4   // of the prompts of as many customers
	secondParts = 200 // some of them rare
)

// drawParts returns the shared parts of a sound prompt.
func (s *simulation) drawParts() []string {
	if !s.load.hasParts {
		return nil
	}
	second := int(secondParts * s.rand.Float64() * s.rand.Float64() * s.rand.Float64())
	return []string{fmt.Sprint("first", s.rand.IntN(firstParts)), fmt.Sprint("second", second)}
}

func (s *simulation) poisonParts() []string {
	switch {
	case !s.load.hasParts:
		return nil
	case s.load.isFirstPoison:
		return append([]string{poisonPart}, s.drawParts()[1])
	default:
		return []string{s.drawParts()[0], poisonPart, s.drawParts()[1]}
	}
}

func runSimulation(t *testing.T, load simLoad, seed uint64) simResult {
	t.Helper()
	s := &simulation{load: load, fleet: newFleet(t, load.hosts), rand: rand.New(rand.NewPCG(seed, 1))}
	s.fleet.endpoints = load.engines
	for range load.engines {
		s.engines = append(s.engines, &simEngine{})
	}
	crashTimes := s.planCrashes()
	for ; s.now < load.duration; s.now += simStep {
		s.fleet.clock.advance(simStep)
		s.arrive()
		for len(crashTimes) > 0 && crashTimes[0] <= s.now {
			crashTimes = crashTimes[1:]
			s.crashUnrelated()
		}
		for n := range s.engines {
			s.finishRuns(n)
		}
		s.exchangeUpdates()
		if s.now%simTickInterval == 0 {
			for _, q := range s.fleet.hosts {
				q.Tick(s.fleet.clock.Now())
			}
		}
	}
	for _, q := range s.fleet.hosts {
		s.result.isPopularQuarantined = s.result.isPopularQuarantined || q.IsQuarantined(newRequest(popularBody))
	}
	return s.result
}

// planCrashes returns the times of crashes for other reasons, in order.
func (s *simulation) planCrashes() (crashTimes []time.Duration) {
	each := s.load.engines / 3
	if s.load.allCrash {
		each = 1
	}
	total := s.load.unrelatedCrashes * each
	for n := range total {
		at := s.load.duration * time.Duration(n/each+1) / time.Duration(s.load.unrelatedCrashes+1)
		if s.load.isStaggered {
			at = s.load.duration * time.Duration(n+1) / time.Duration(total+1)
		}
		crashTimes = append(crashTimes, at)
	}
	return crashTimes
}

// crashUnrelated crashes an engine, or all of them, for another reason than a request.
func (s *simulation) crashUnrelated() {
	if !s.load.allCrash {
		s.crash(s.rand.IntN(len(s.engines)))
		return
	}
	for n := range s.engines {
		s.crash(n)
	}
}

// exchangeUpdates sends updates, each host at its own times.
func (s *simulation) exchangeUpdates() {
	interval := s.load.updateInterval
	if interval == 0 {
		interval = simUpdateInterval
	}
	for n, from := range s.fleet.hosts {
		if (s.now+time.Duration(n)*simStep)%interval != 0 {
			continue
		}
		updates, position := from.Updates(s.fleet.positions[n], exchanger.ScopeOwn)
		s.fleet.positions[n] = position
		for _, to := range s.fleet.hosts {
			if to != from {
				to.Merge(updates, true)
			}
		}
	}
}

// arrive sends the new requests of a step, at a constant rate.
func (s *simulation) arrive() {
	resends := s.resends
	s.resends = nil
	for _, r := range resends {
		s.send(r)
	}
	before, after := s.requestsBy(s.now), s.requestsBy(s.now+simStep)
	for range after - before {
		s.requestCount++
		body := fmt.Sprint("prompt ", s.requestCount)
		if s.rand.Float64() < s.load.popularShare {
			body = popularBody
		}
		s.send(&simRun{body: body, parts: s.drawParts()})
	}
	if s.load.poisonInterval > 0 && s.now%s.load.poisonInterval == 0 && (s.load.poisonUntil == 0 || s.now < s.load.poisonUntil) {
		body := poisonBody
		if s.load.isPoisonVaried {
			body = fmt.Sprint(poisonBody, s.now)
		}
		s.send(&simRun{body: body, parts: s.poisonParts(), isPoison: true})
	}
}

func (s *simulation) requestsBy(at time.Duration) int {
	return int(at * time.Duration(s.load.perSecond) / time.Second)
}

// send sends an attempt through a random host to a random running engine.
func (s *simulation) send(r *simRun) {
	r.host = s.rand.IntN(s.load.hosts)
	if r.attempts == 0 && !r.isPoison {
		s.result.requests++
	}
	r.attempts++
	if s.fleet.hosts[r.host].Admit(r.request()).IsRefused {
		if !r.isPoison {
			s.result.refused++
		}
		return
	}
	var running []*simEngine
	for _, e := range s.engines {
		if e.restartsAt <= s.now {
			running = append(running, e)
		}
	}
	if len(running) == 0 {
		return
	}
	e := running[s.rand.IntN(len(running))]
	r.sentAt, r.endsAt = s.now, s.now+simFirstEventDelay+50*time.Millisecond+time.Duration(s.rand.IntN(250))*time.Millisecond
	switch {
	case r.isPoison:
		r.endsAt = s.now + simFirstEventDelay + max(s.load.poisonDelay, simCrashDelay)
		s.result.poisonSends++
		if s.thirdCrashAt > 0 && s.now > s.thirdCrashAt+simDetectionTime {
			s.result.latePoisonSends++
		}
	case s.rand.Float64() < s.load.longShare:
		r.endsAt = s.now + simFirstEventDelay + max(s.load.longRun, simLongRun)
	}
	e.runs = append(e.runs, r)
}

// finishRuns ends the runs that are due, and crashes an engine that ran a poison request.
func (s *simulation) finishRuns(n int) {
	e := s.engines[n]
	kept := e.runs[:0]
	isCrash := false
	for _, r := range e.runs {
		if r.endsAt > s.now || isCrash {
			kept = append(kept, r)
			continue
		}
		if r.isPoison {
			isCrash = true
			kept = append(kept, r)
			continue
		}
		s.fleet.hosts[r.host].RunSucceeded(r.request(), true)
	}
	e.runs = kept
	if isCrash {
		s.poisonCrashes++
		if s.poisonCrashes == 3 {
			s.thirdCrashAt = s.now
		}
		s.crash(n)
	}
}

// crash crashes an engine; callers whose attempts were interrupted retry at once.
func (s *simulation) crash(n int) {
	e := s.engines[n]
	if e.restartsAt > s.now {
		return
	}
	s.result.engineCrashes++
	process := Process{EndpointID: fmt.Sprint("e", n), Incarnation: fmt.Sprint(e.incarnation)}
	runs := e.runs
	*e = simEngine{restartsAt: s.now + simRestartTime, incarnation: e.incarnation + 1}
	for _, r := range runs {
		s.fleet.hosts[r.host].RunInterrupted(InterruptedRun{
			Request: r.request(), Target: driver.Target{EndpointID: process.EndpointID, Incarnation: process.Incarnation},
			SinceSend: s.now - r.sentAt, SinceFirstEvent: max(s.now-r.sentAt-simFirstEventDelay, 0),
		})
	}
	for _, q := range s.fleet.hosts {
		q.ProcessExited(process)
	}
	for _, r := range runs {
		switch {
		case r.attempts >= simMaxAttempts || r.isPoison:
		case s.load.resendsLater:
			s.resends = append(s.resends, r)
		default:
			s.send(r)
		}
	}
}

// TestLongRunsHitByOtherCrashesAreNotRefused guards against long runs that are blamed for crashes which hit any run.
func TestLongRunsHitByOtherCrashesAreNotRefused(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]simLoad{
		"streams of 10 s, crashes one by one": {
			hosts: 9, engines: 14, perSecond: 30, longShare: 1, longRun: 10 * time.Second, unrelatedCrashes: 6, isStaggered: true, duration: 30 * time.Second, resendsLater: true,
		},
		"streams of 4 s, a third crashes at once": {
			hosts: 9, engines: 14, perSecond: 60, longShare: 0.5, longRun: 4 * time.Second, popularShare: 0.05, unrelatedCrashes: 6, duration: 30 * time.Second, resendsLater: true,
		},
		"popular long requests, all engines crash at once": {
			hosts: 9, engines: 7, perSecond: 100, longShare: 0.3, longRun: 3 * time.Second, popularShare: 0.2, unrelatedCrashes: 5, allCrash: true, duration: 30 * time.Second, resendsLater: true,
		},
		"popular requests, all engines crash at once": {
			hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, popularShare: 0.2, unrelatedCrashes: 6, allCrash: true, duration: 20 * time.Second, resendsLater: true,
		},
		"next to a request that crashes engines 0.3 s after the first event": {
			hosts: 9, engines: 7, perSecond: 150, longShare: 0.2, longRun: 3 * time.Second, popularShare: 0.05, poisonInterval: 400 * time.Millisecond, poisonDelay: 300 * time.Millisecond, duration: 30 * time.Second, resendsLater: true,
		},
		"next to a request that crashes engines 2 s after the first event": {
			hosts: 9, engines: 7, perSecond: 100, longShare: 0.3, longRun: 5 * time.Second, popularShare: 0.05, poisonInterval: 2100 * time.Millisecond, poisonDelay: 2 * time.Second, duration: 30 * time.Second, resendsLater: true,
		},
		"next to different requests that crash engines 0.8 s after the first event": {
			hosts: 9, engines: 14, perSecond: 100, longShare: 0.3, longRun: 5 * time.Second, popularShare: 0.05, poisonInterval: 900 * time.Millisecond, poisonDelay: 800 * time.Millisecond, isPoisonVaried: true, duration: 30 * time.Second, resendsLater: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var total, refused int
			for seed := range uint64(simSeeds) {
				got := runSimulation(t, load, seed)
				t.Logf("seed %d: %+v", seed, got)
				total, refused = total+got.requests, refused+got.refused
				if load.poisonInterval > 0 && !load.isPoisonVaried {
					assert.Check(t, got.latePoisonSends <= maxLatePoisonSends, "seed %d: %d poison requests sent after detection", seed, got.latePoisonSends)
				}
			}
			assert.Check(t, float64(refused) <= maxWrongShare*float64(total), "%d of %d refused", refused, total)
		})
	}
}

// simSeeds is the number of seeds per load.
const simSeeds = 5

// maxLatePoisonSends is how many poison requests may be sent to engines later than
// simDetectionTime after the third crash.
const maxLatePoisonSends = 3

// maxWrongShare bounds the fraction of requests that are refused though they don't crash
// engines.
const maxWrongShare = 0.001

// poisonPartLoad crashes engines from the first moment on, before any part is known to be sound.
var poisonPartLoad = simLoad{
	hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 50 * time.Millisecond, isPoisonVaried: true, hasParts: true, duration: 20 * time.Second,
}

// poisonFirstPartLoad is poisonPartLoad with the bad part at the beginning of the prompts.
var poisonFirstPartLoad = simLoad{
	hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, poisonInterval: 50 * time.Millisecond, isPoisonVaried: true, hasParts: true, isFirstPoison: true, duration: 20 * time.Second,
}

// TestBadPartIsNamedLate guards against a bad part whose crashes a part that was quarantined before it is taken to explain.
func TestBadPartIsNamedLate(t *testing.T) {
	t.Parallel()
	const seed = 18
	got := runSimulation(t, poisonFirstPartLoad, seed)
	assert.Assert(t, got.latePoisonSends <= maxLatePoisonSends, "%d poison requests sent after detection", got.latePoisonSends)
}

// TestPopularRequestIsBlamedForABadPart guards against a request that many send and that is refused for crashes which a bad part explains.
func TestPopularRequestIsBlamedForABadPart(t *testing.T) {
	t.Parallel()
	const seed = 138
	got := runSimulation(t, poisonPartLoad, seed)
	assert.Assert(t, float64(got.refused) <= 0.01*float64(got.requests), "%d of %d refused", got.refused, got.requests)
}

// TestSoundPartIsRefusedUntilTheBadOneFollows guards against sound requests that are refused while a part of theirs ties with the bad one.
func TestSoundPartIsRefusedUntilTheBadOneFollows(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		load simLoad
		seed uint64
	}{
		"first part": {poisonFirstPartLoad, 18}, "second part": {poisonPartLoad, 124},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := runSimulation(t, test.load, test.seed)
			assert.Assert(t, float64(got.refused) <= maxWrongShare*float64(got.requests), "%d of %d refused", got.refused, got.requests)
		})
	}
}

// TestSoundPartIsBlamedBeforeItsFirstRun guards against a sound part that is quarantined for about a second since no run with it has succeeded yet.
func TestSoundPartIsBlamedBeforeItsFirstRun(t *testing.T) {
	t.Parallel()
	const seed = 12
	got := runSimulation(t, poisonPartLoad, seed)
	assert.Assert(t, float64(got.refused) <= maxWrongShare*float64(got.requests), "%d of %d refused", got.refused, got.requests)
}

func TestOtherRequestsAreNotRefused(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]simLoad{
		"a third of the engines crashes six times": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, unrelatedCrashes: 6, duration: 20 * time.Second,
		},
		"the same number of crashes, one by one": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, unrelatedCrashes: 6, isStaggered: true, duration: 20 * time.Second,
		},
		"resent after the crash, one by one": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, unrelatedCrashes: 6, isStaggered: true, resendsLater: true, duration: 20 * time.Second,
		},
		"resent after the crash, next to a frequent poison request": {
			hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 50 * time.Millisecond, resendsLater: true, duration: 20 * time.Second,
		},
		"long requests only": {
			hosts: 9, engines: 14, perSecond: 60, longShare: 1, unrelatedCrashes: 6, isStaggered: true, duration: 20 * time.Second,
		},
		"next to a poison request": {
			hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 300 * time.Millisecond, duration: 20 * time.Second,
		},
		"next to a frequent poison request": {
			hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 50 * time.Millisecond, duration: 20 * time.Second,
		},
		"next to a caller with a different poison request each time": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 300 * time.Millisecond, isPoisonVaried: true, duration: 20 * time.Second,
		},
		"delayed updates": {
			hosts: 9, engines: 7, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 100 * time.Millisecond, updateInterval: 150 * time.Millisecond, duration: 20 * time.Second,
		},
		"different poison requests at a third of the rate": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 900 * time.Millisecond, isPoisonVaried: true, duration: 20 * time.Second,
		},
		"different poison requests at twice the rate": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 150 * time.Millisecond, isPoisonVaried: true, duration: 20 * time.Second,
		},
		"unrelated crashes and different poison requests": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, unrelatedCrashes: 6, isStaggered: true,
			poisonInterval: 300 * time.Millisecond, duration: 20 * time.Second,
		},
		"a third of the engines crashes six times; prompts share parts": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, unrelatedCrashes: 6, hasParts: true, duration: 20 * time.Second,
		},
		"the same number of crashes, one by one; prompts share parts": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, unrelatedCrashes: 6, isStaggered: true, hasParts: true, duration: 20 * time.Second,
		},
		"next to a poison part":       poisonPartLoad,
		"next to a poison first part": poisonFirstPartLoad,
		"next to a rare poison part": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, poisonInterval: 1500 * time.Millisecond, isPoisonVaried: true, hasParts: true, duration: 20 * time.Second,
		},
		"next to a poison part and unrelated crashes": {
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, poisonInterval: 100 * time.Millisecond, isPoisonVaried: true, hasParts: true, unrelatedCrashes: 6, isStaggered: true,
			duration: 20 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(simSeeds) {
				got := runSimulation(t, load, seed)
				t.Logf("seed %d: %+v", seed, got)
				assert.Check(t, float64(got.refused) <= maxWrongShare*float64(got.requests), "seed %d: %d of %d refused", seed, got.refused, got.requests)
				if load.poisonInterval > 0 && (!load.isPoisonVaried || load.hasParts) {
					assert.Check(t, got.latePoisonSends <= maxLatePoisonSends, "seed %d: %d poison requests sent after detection", seed, got.latePoisonSends)
				}
			}
		})
	}
}

// While a caller crashes engine after engine with a different request each time, nearly no
// run succeeds, and requests that others send often may be quarantined. Once the flood is
// over, a trial of them has to lift the quarantine.
func TestQuarantineEndsAfterFlood(t *testing.T) {
	t.Parallel()
	for seed := range uint64(simSeeds) {
		got := runSimulation(t, simLoad{
			hosts: 9, engines: 14, perSecond: 250, longShare: 0.1, popularShare: 0.05, poisonInterval: 100 * time.Millisecond,
			isPoisonVaried: true, poisonUntil: 5 * time.Second, duration: 30 * time.Second,
		}, seed)
		t.Logf("seed %d: %+v", seed, got)
		assert.Assert(t, !got.isPopularQuarantined, "seed %d", seed)
	}
}
