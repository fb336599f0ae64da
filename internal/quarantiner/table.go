package quarantiner

import (
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes that are kept. The largest fleets have some 12,000
	// engines, which crash one at a time. If more than 256 crash within crashRetention,
	// the oldest are dropped, and a request that is sent so rarely that 256 others have
	// crashed in the meantime is not detected.
	maxCrashes = 256
	// maxRunsPerCrash and maxPartsPerCrash bound the requests and parts that are kept of one
	// crash. Engines run up to 48 requests at a time and queue as many, each with several parts.
	maxRunsPerCrash  = 256
	maxPartsPerCrash = 256
	// maxQuarantined bounds the quarantined requests, at some 200 bytes each. Beyond it
	// the one with the earliest retry is released: it crashes one more process before it
	// is detected again.
	maxQuarantined = 4096
)

// table holds the known crashes and the requests that were running in them.
type table struct {
	crashes   map[Process]*crash
	byArrival []*crash // in the order received
	records   map[Fingerprint]*record
	keyCounts map[key]int // number of records with the key
	// suspects are the records with enough crashes for a quarantine. Most records have
	// fewer and need not be evaluated.
	suspects    map[Fingerprint]*record
	quarantined map[Fingerprint]*record
	// releasedAt is when quarantined requests last succeeded. It prevents a peer that
	// missed that from quarantining them again.
	releasedAt map[Fingerprint]time.Time
	// clearedAt is when runs succeeded of which peers reported this before their crashes.
	clearedAt map[Fingerprint]time.Time
}

func newTable() table {
	return table{
		crashes: map[Process]*crash{}, records: map[Fingerprint]*record{}, keyCounts: map[key]int{}, suspects: map[Fingerprint]*record{},
		quarantined: map[Fingerprint]*record{}, releasedAt: map[Fingerprint]time.Time{}, clearedAt: map[Fingerprint]time.Time{},
	}
}

// room counts the requests and parts that are kept of one crash.
type room struct{ requests, parts int }

// take reports whether there is room for another one, and counts it.
func (r *room) take(s *suspect) bool {
	count, limit := &r.requests, maxRunsPerCrash
	if s.isPart() {
		count, limit = &r.parts, maxPartsPerCrash
	}
	if *count >= limit {
		return false
	}
	*count++
	return true
}

// run is a request, or a part of its prompt, whose run was interrupted when its process exited.
type run struct {
	suspect
	sentAt time.Time
}

// add records a crash with some runs, and returns those that were not known, or not for as long.
func (t *table) add(process Process, at, now time.Time, runs []run) (added []run) {
	c := t.crashes[process]
	if c == nil {
		c = &crash{process: process, at: at, receivedAt: now, runs: map[Fingerprint]time.Time{}}
		t.crashes[process] = c
		t.byArrival = append(t.byArrival, c)
	}
	if early := c.at.Sub(at); early > 0 && early < interruptionWindow {
		c.at = at // hosts notice an exit at different times
	}
	for _, run := range runs {
		sentAt, isKnown := c.runs[run.fingerprint]
		switch {
		case isKnown && run.sentAt.Before(sentAt): // the longest of several runs is the likeliest cause
			c.runs[run.fingerprint] = run.sentAt
			added = append(added, run)
			continue
		case isKnown || !c.room.take(&run.suspect):
			continue
		}
		c.runs[run.fingerprint] = run.sentAt
		r := t.record(&run.suspect)
		r.depth = max(r.depth, run.depth)
		r.crashes, r.cachedCountAt = append(r.crashes, c), time.Time{}
		if len(r.crashes) >= crashesToQuarantine {
			t.suspects[run.fingerprint] = r
		}
		added = append(added, run)
	}
	return added
}

// record returns a request's record, and creates it on first use.
func (t *table) record(s *suspect) *record {
	r := t.records[s.fingerprint]
	if r == nil {
		r = &record{key: s.key, depth: s.depth, succeededAt: t.clearedAt[s.fingerprint]}
		t.records[s.fingerprint] = r
		t.keyCounts[s.key]++
	}
	return r
}

// trim drops entries that have expired or exceed the bounds.
func (t *table) trim(now time.Time) {
	for len(t.byArrival) > 0 && (len(t.byArrival) > maxCrashes || now.Sub(t.byArrival[0].at) >= crashRetention) {
		t.dropCrash(t.byArrival[0])
		t.byArrival[0] = nil
		t.byArrival = t.byArrival[1:]
	}
	for fingerprint, r := range t.quarantined {
		if now.Sub(r.until) >= crashRetention {
			t.release(fingerprint, r)
		}
	}
	for _, times := range []map[Fingerprint]time.Time{t.releasedAt, t.clearedAt} {
		for fingerprint, at := range times {
			if now.Sub(at) >= crashRetention || len(times) > maxQuarantined {
				delete(times, fingerprint)
			}
		}
	}
	for len(t.quarantined) > maxQuarantined {
		fingerprint := t.earliestRetry()
		t.release(fingerprint, t.quarantined[fingerprint])
	}
}

func (t *table) dropCrash(c *crash) {
	delete(t.crashes, c.process)
	for fingerprint := range c.runs {
		r := t.records[fingerprint]
		r.crashes = slices.DeleteFunc(r.crashes, func(other *crash) bool { return other == c })
		if len(r.crashes) < crashesToQuarantine {
			delete(t.suspects, fingerprint)
		}
		t.dropIfUnused(fingerprint, r)
	}
}

// dropIfUnused drops a record without crashes that is not quarantined.
func (t *table) dropIfUnused(fingerprint Fingerprint, r *record) {
	if len(r.crashes) > 0 || r.isQuarantined() {
		return
	}
	if t.keyCounts[r.key]--; t.keyCounts[r.key] <= 0 {
		delete(t.keyCounts, r.key)
	}
	delete(t.records, fingerprint)
}

// quarantine sets the pause of a request from the crashes that it caused.
func (t *table) quarantine(fingerprint Fingerprint, r *record, crashes []*crash, pause time.Duration) {
	r.pause = pause
	if !r.isPart() && t.isContested(fingerprint, crashes[0].at.Add(-contestMargin), crashes[len(crashes)-1].at) {
		r.pause = min(pause, contestedPause)
	}
	for _, c := range crashes {
		r.extend(c.at)
	}
	t.quarantined[fingerprint] = r
}

// release ends the quarantine of a request.
func (t *table) release(fingerprint Fingerprint, r *record) {
	r.until, r.pause, r.isInTrial = time.Time{}, 0, false
	delete(t.quarantined, fingerprint)
	t.dropIfUnused(fingerprint, r)
}

// earliestRetry returns the quarantined request that may be tried first.
func (t *table) earliestRetry() (fingerprint Fingerprint) {
	var until time.Time
	for n, r := range t.quarantined {
		if until.IsZero() || r.until.Before(until) {
			fingerprint, until = n, r.until
		}
	}
	return fingerprint
}
