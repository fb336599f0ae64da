package loader

import (
	"sync"
	"time"
)

// Outcome is how a request ended from its caller's point of view.
type Outcome string

// Outcomes of a request.
const (
	OutcomeComplete   Outcome = "whole"     // exactly one correct answer
	OutcomeRefused    Outcome = "refused"   // reported as not run
	OutcomeUnknown    Outcome = "unknown"   // reported as possibly run
	OutcomeFailed     Outcome = "failed"    // reported as failed at the endpoint
	OutcomeLost       Outcome = "lost"      // no outcome reported, or an incomplete answer
	OutcomeWrong      Outcome = "crossed"   // a wrong answer or a false report
	OutcomeDuplicated Outcome = "doubled"   // answered more than once, or run more than once
	OutcomeAbandoned  Outcome = "abandoned" // cancelled by the caller
)

// record is the measured result of one request.
type record struct {
	class             int
	number            int
	key               string
	at                time.Duration // of the arrival, since the run's start
	outcome           Outcome
	reason            string
	detail            string
	inTime            bool
	firstToken        time.Duration
	meanTokenInterval time.Duration
	tokenIntervals    []float32 // milliseconds between tokens
	completion        time.Duration
	refusal           time.Duration
	refusedAt         []time.Time // start times of the attempts that were reported as not run
}

// makeRecord builds the record of a request from the answers to its attempts.
func (c *caller) makeRecord(answers []answer, end time.Time) record {
	best := answers[0]
	for _, other := range answers[1:] {
		if severity(other.kind) > severity(best.kind) {
			best = other
		}
	}
	r := record{
		class: c.arrival.class, number: c.arrival.number, key: c.arrival.key, at: c.arrival.at,
		outcome: outcomeOf(best.kind), reason: best.failure.Reason, detail: best.detail, refusedAt: c.refusedAt,
	}
	switch r.outcome {
	case OutcomeComplete:
		c.addTimes(&r, best, end)
	case OutcomeRefused:
		r.refusal = end.Sub(c.arrived)
	}
	return r
}

func (c *caller) addTimes(r *record, best answer, end time.Time) {
	r.completion = end.Sub(c.arrived)
	r.inTime = r.completion <= c.class.CompletionTarget
	if !c.class.Stream {
		return
	}
	r.firstToken = best.firstToken.Sub(c.arrived)
	r.tokenIntervals = best.tokenIntervals
	if best.tokens > 1 {
		r.meanTokenInterval = best.lastToken.Sub(best.firstToken) / time.Duration(best.tokens-1)
	}
	r.inTime = r.inTime && meetsTarget(r.firstToken, c.class.FirstTokenTarget) &&
		meetsTarget(r.meanTokenInterval, c.class.BetweenTokensTarget)
}

// meetsTarget reports whether a target is met. A target of 0 is always met.
func meetsTarget(d, target time.Duration) bool { return target == 0 || d <= target }

// severity ranks the answers of a request that was sent twice. A fault takes
// precedence over a correct answer, and a correct answer over a refusal or an
// unknown outcome.
func severity(kind answerKind) int {
	switch kind {
	case answerWrong, answerDuplicated:
		return 5
	case answerComplete:
		return 4
	case answerFailed:
		return 3
	case answerUnknown:
		return 2
	case answerNotRun, answerNotSent:
		return 0
	case answerNoOutcome, answerAbandoned:
		return 1
	}
	return 1
}

func outcomeOf(kind answerKind) Outcome {
	switch kind {
	case answerComplete:
		return OutcomeComplete
	case answerNotRun, answerNotSent:
		return OutcomeRefused
	case answerUnknown:
		return OutcomeUnknown
	case answerFailed:
		return OutcomeFailed
	case answerWrong:
		return OutcomeWrong
	case answerDuplicated:
		return OutcomeDuplicated
	case answerAbandoned:
		return OutcomeAbandoned
	case answerNoOutcome:
		return OutcomeLost
	}
	return OutcomeLost
}

// collector collects the records of a run.
type collector struct {
	mu      sync.Mutex
	sent    int
	lags    []float64 // milliseconds
	records []record
	counts  map[Outcome]int
	inTime  int
}

func newCollector() *collector {
	return &collector{counts: make(map[Outcome]int)}
}

// countSent counts a sent request. lag is the delay behind its planned time.
func (a *collector) countSent(lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	a.lags = append(a.lags, milliseconds(lag))
}

func (a *collector) add(r record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, r)
	a.counts[r.outcome]++
	if r.inTime {
		a.inTime++
	}
}

// Progress has the counts of a run so far.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	InFlight int
	InTime   int
	Counts   map[Outcome]int
	Ready    int // number of ready entry hosts
}

func (a *collector) progress() Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Progress{Sent: a.sent, InFlight: a.sent - len(a.records), InTime: a.inTime, Counts: make(map[Outcome]int, len(a.counts))}
	for outcome, n := range a.counts {
		p.Counts[outcome] = n
	}
	return p
}

// results returns the records and the quantiles of the lag. It is called once
// the run has ended.
func (a *collector) results() (records []record, lag Quantiles) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.records, quantiles(a.lags)
}
