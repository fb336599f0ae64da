package quarantiner

import (
	"math"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

const (
	// crashesToQuarantine is how many processes have to crash in a row while running a
	// request before it is quarantined. Callers that retry at once while engines crash
	// for other reasons may be hit twice in a row. Three times in a row, with no
	// successful run in between, hardly occurs unless another caller sends a different
	// crashing request every 150 ms.
	crashesToQuarantine = 3
	// maxEarlyRun is how long after its send a run counts as just started. Engines crash 45 to
	// 100 ms after they start a request that crashes them, unless it crashes them later.
	maxEarlyRun = 500 * time.Millisecond
	// SoundRunTime is how long after its first event a run shows that the parts of its prompt crash
	// no endpoint: they do as soon as it begins to write an answer on them.
	SoundRunTime = 250 * time.Millisecond
	// crashSettlingDelay is how long after the first update about it a crash starts to
	// count. Hosts whose runs were interrupted with the process learn of it within some
	// milliseconds of each other and send that with their next update, which takes up to
	// three ticks through the hubs of large zones. Without the delay, the request that
	// was reported first would look as if it had run there alone.
	crashSettlingDelay = 200 * time.Millisecond
	// crashRetention is for how long crashes count. A caller that waits longer between
	// two attempts crashes at most one engine each ten minutes.
	crashRetention = 10 * time.Minute
	// initialPause is the first pause of a quarantine. Crashed engines recover within
	// some seconds, and a caller retried after 28 s.
	initialPause = 30 * time.Second
	// crashesOfConcurrentRuns is how many processes have to crash under a request that has never
	// succeeded and that many callers send at once. They crash all engines before the first crash
	// is known, so that their runs are not consecutive. After crashesForProbation it is run once at
	// a time.
	crashesOfConcurrentRuns = 4
	crashesForProbation     = 3
	// concurrentPause is the first pause after such crashes. They may have had one other cause,
	// which the trial shows. It is longer than trialTimeout, so that the start of a trial does not
	// move the time of the last crash.
	concurrentPause = 4 * time.Second
	// probationPause marks a request that is only run once at a time.
	probationPause = trialTimeout
	// contestedPause is the first pause where other processes crash as well. A caller
	// that crashes an engine every 100 ms, with a different request each time, also has
	// requests quarantined that many others send. A shorter pause refuses fewer of them
	// than initialPause would.
	contestedPause = 15 * time.Second
	// contestMargin is the time before the first crash in which other crashes are counted
	// as well: three may happen within half a second.
	contestMargin = time.Second
	// partPause is the first pause of a part. A trial of it costs an engine with all its streams,
	// and the part crashes engines until they are replaced.
	partPause = time.Minute
	// crashesOfSoundPart is crashesToQuarantine for a part with which requests have run well in
	// the time before.
	crashesOfSoundPart = 6
	// soundMemory is for how long a successful run shows that a part was sound.
	soundMemory = 10 * time.Minute
	// simultaneousWindow is the time between two crashes that count as one for a part: a rack
	// loses power at once, with all the parts that are popular at the time.
	simultaneousWindow = 30 * time.Millisecond
	// maxPause bounds for how long a request is still refused after the engines have been
	// fixed.
	maxPause = 5 * time.Minute
	// trialTimeout is how long the other hosts wait for the outcome of a trial before one
	// of them may start the next.
	trialTimeout = 3 * time.Second
	// trialStagger separates the times from which consecutive hosts may start a trial, in
	// an order that depends on the request. The update about a trial takes less time to
	// reach the other hosts.
	trialStagger = 100 * time.Millisecond
	// maxStagger bounds the wait of the last hosts.
	maxStagger = time.Second
)

// Process identifies a process of an endpoint.
type Process = driver.Process

// crash is the crash of a process, with the requests that had just started there.
type crash struct {
	process    Process
	at         time.Time
	receivedAt time.Time
	runs       map[Fingerprint]time.Time // when they were sent
	room       room
}

// record is the known state of a request or a part.
type record struct {
	key     key
	depth   int
	crashes []*crash // in the order in which they were received
	// succeededAt is the latest known successful run; crashes before it don't count.
	succeededAt time.Time

	// cachedCount is the result of crashCount at cachedCountAt.
	cachedCount   int
	cachedCountAt time.Time

	// until is when a quarantined request may be tried again; zero: it is not
	// quarantined.
	until time.Time
	pause time.Duration
	// isInTrial is true from the start of a trial at this host to the next crash.
	isInTrial bool
	trialAt   time.Time // its start
}

// beginTrial postpones the next trial until the outcome of this one should be known. It may remain
// unknown if the process exits without closing its connections, so that short pauses grow.
func (r *record) beginTrial(now time.Time) {
	r.isInTrial, r.trialAt = true, now
	wait := trialTimeout
	if r.isBlamed() && r.pause < r.initialPause() {
		r.pause *= 2
		wait = max(wait, r.pause/2)
	}
	r.until = now.Add(wait)
}

// isQuarantined is true until the quarantine has been lifted by a successful run or
// has expired.
func (r *record) isQuarantined() bool { return !r.until.IsZero() }

// isBlamed is true for a quarantined request that is considered to cause crashes. One on probation is
// run as a trial, while runs that have begun go on.
func (r *record) isBlamed() bool { return r.isQuarantined() && r.pause != probationPause }

func (r *record) isPart() bool { return r.depth < wholeRequest }

// wasSound is true for a part with which a run has succeeded before the crashes that count.
func (r *record) wasSound() bool { return r.isPart() && !r.succeededAt.IsZero() }

// crashesNeeded is how many crashes it takes to quarantine.
func (r *record) crashesNeeded() int {
	if r.wasSound() {
		return crashesOfSoundPart
	}
	return crashesToQuarantine
}

func (r *record) initialPause() time.Duration {
	if r.isPart() {
		return partPause
	}
	return initialPause
}

// isRelevant is true for a crash that still counts against the request.
func (r *record) isRelevant(c *crash, now time.Time) bool {
	return c.at.After(r.succeededAt) && now.Sub(c.at) < crashRetention
}

// crashCount is how many crashes count against the request. It is called for each
// request at each crash of each other request there, so it is cached per point in time:
// for 64 requests that were all present at the same 128 crashes a tick takes 10 ms
// without the cache and 0.5 ms with it; for 128 requests 1.2 ms (BenchmarkTick).
func (r *record) crashCount(now time.Time) int {
	if r.cachedCountAt.Equal(now) {
		return r.cachedCount
	}
	r.cachedCountAt, r.cachedCount = now, 0
	for _, c := range r.crashes {
		if r.isRelevant(c, now) {
			r.cachedCount++
		}
	}
	return r.cachedCount
}

// attributedCrashes returns the crashes, in order, that the request is considered to have caused:
// those where no other request present is already quarantined, or has as many crashes
// while this one is not quarantined itself.
func (t *table) attributedCrashes(fingerprint Fingerprint, now time.Time) (crashes []*crash) {
	r := t.records[fingerprint]
	count := r.crashCount(now)
	if r.isBlamed() {
		count = math.MaxInt
	}
	for _, c := range r.crashes {
		// The crash caused by a trial has to take effect before the next trial.
		isSettled := r.isBlamed() || now.Sub(c.receivedAt) >= crashSettlingDelay
		if !r.isRelevant(c, now) || !isSettled {
			continue
		}
		if !t.hasOtherCause(c, fingerprint, count, now) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return crashes
}

// hasOtherCause is true where another request explains the crash as well.
func (t *table) hasOtherCause(c *crash, fingerprint Fingerprint, count int, now time.Time) bool {
	for other := range c.runs {
		r := t.records[other]
		if other == fingerprint || r == nil || !r.isRelevant(c, now) {
			continue
		}
		own := t.records[fingerprint]
		if r.isBlamed() && !own.outnumbers(r, now) || r.crashCount(now) >= count && r.isMoreLikely(own) {
			return true
		}
	}
	return false
}

// isMoreLikely is true if this one rather than the other is responsible, or both equally likely,
// for as many crashes: what has run well before is less likely, and so is an earlier part of
// prompts, which more requests share.
func (r *record) isMoreLikely(other *record) bool {
	if r.wasSound() != other.wasSound() {
		return other.wasSound()
	}
	return r.depth >= other.depth
}

// isExplainedByOthers is true for what is quarantined if quarantined parts that are in more crashes
// were there in nearly all of its own.
func (t *table) isExplainedByOthers(fingerprint Fingerprint, now time.Time) bool {
	r := t.records[fingerprint]
	count, unexplained := r.crashCount(now), 0
	for _, c := range r.crashes {
		if !r.isRelevant(c, now) {
			continue
		}
		isExplained := false
		for other := range c.runs {
			o := t.records[other]
			isExplained = isExplained || o != nil && o.isPart() && o.isBlamed() && o.crashCount(now) > count
		}
		if !isExplained {
			unexplained++
		}
	}
	if count < r.crashesNeeded() { // this host lacks crashes that its peers know
		return count > 0 && unexplained == 0
	}
	return unexplained < count && unexplained < r.crashesNeeded()
}

// outnumbers is true for a part in more crashes than a quarantined part or request, which therefore
// does not explain them.
func (r *record) outnumbers(other *record, now time.Time) bool {
	isLessLikely := r.wasSound() && !other.wasSound()
	return r.isPart() && !isLessLikely && r.crashCount(now) > other.crashCount(now)
}

// distinctCrashes returns those crashes that were not simultaneous with the one before.
func distinctCrashes(crashes []*crash) (distinct []*crash) {
	for i, c := range crashes {
		if i == 0 || c.at.Sub(crashes[i-1].at) >= simultaneousWindow {
			distinct = append(distinct, c)
		}
	}
	return distinct
}

// independentCrashes returns those of the attributed crashes, in order, that can't be one event.
func (r *record) independentCrashes(fingerprint Fingerprint, attributed []*crash) []*crash {
	if r.isPart() {
		return distinctCrashes(attributed)
	}
	return consecutiveCrashes(fingerprint, attributed)
}

// concurrentCrashes returns the attributed crashes, in order, of a request that has never succeeded if
// some of its runs were concurrent. A request that has succeeded before may lose a run on each engine
// when a rack loses power.
func (r *record) concurrentCrashes(fingerprint Fingerprint, attributed []*crash) []*crash {
	if r.isPart() || !r.succeededAt.IsZero() {
		return nil
	}
	for i := 1; i < len(attributed); i++ {
		if attributed[i].runs[fingerprint].Before(attributed[i-1].at) {
			return attributed
		}
	}
	return nil
}

// consecutiveCrashes returns those crashes whose interrupted run was sent only after
// the previous one. When a rack loses power, a popular request loses a run on each
// engine there at the same time; those count once.
func consecutiveCrashes(fingerprint Fingerprint, crashes []*crash) (consecutive []*crash) {
	for _, c := range crashes {
		if len(consecutive) == 0 || c.runs[fingerprint].After(consecutive[len(consecutive)-1].at) {
			consecutive = append(consecutive, c)
		}
	}
	return consecutive
}

// isContested is true where at least crashesToQuarantine processes crashed in the
// period without running the request: something else crashes processes too, and may
// have hit the request each time.
func (t *table) isContested(fingerprint Fingerprint, begin, until time.Time) bool {
	return t.countCrashesWithout(fingerprint, begin, until) >= crashesToQuarantine
}

// shortenContestedPause shortens the first pause where processes go on crashing without
// the request.
func (t *table) shortenContestedPause(fingerprint Fingerprint, r *record, now time.Time) {
	lastCrash := r.until.Add(-r.pause)
	if !r.isPart() && r.pause == initialPause && t.isContested(fingerprint, lastCrash, now) {
		r.pause, r.until = contestedPause, lastCrash.Add(contestedPause)
	}
}

// extend prolongs the quarantine for a crash. Only the crash of a trial doubles the
// pause; other crashes are of runs that had started before the quarantine.
func (r *record) extend(at time.Time) {
	if r.isInTrial && !at.Before(r.trialAt) {
		r.isInTrial = false
		r.pause = min(max(2*r.pause, r.initialPause()), maxPause)
	}
	if until := at.Add(r.pause); until.After(r.until) {
		r.until = until
	}
}
