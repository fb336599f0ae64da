package quarantiner

import (
	"slices"
	"time"
)

const (
	// maxEnds bounds the ends that are remembered. The largest fleets have some
	// 12,000 engines, and those end one by one; where more than these end within
	// memory, the oldest are forgotten, and a request that comes so seldom that
	// others have ended 256 processes meanwhile is not found.
	maxEnds = 256
	// maxRunsPerEnd bounds the requests that are remembered of one end. Engines run
	// up to 48 at a time and queue as many.
	maxRunsPerEnd = 128
	// maxAside bounds the requests that are set aside at a time, in some 200 bytes
	// each. Beyond it the one that may be tried soonest is forgotten: it ends
	// one more process before it is found again.
	maxAside = 4096
)

// table is what is known of processes that have ended, and of the requests that
// were there.
type table struct {
	ends    map[Process]*end
	order   []*end // as they were heard of
	records map[Name]*record
	keys    map[key]int // of records, how many have it
	// suspects are the records that may have to be set aside: the rest, most of
	// them by far, need not be looked at each time that something is heard.
	suspects map[Name]*record
	aside    map[Name]*record
	// released is when requests that were set aside have run well, lest a peer that
	// was away has them set aside anew.
	released map[Name]time.Time
}

func newTable() table {
	return table{
		ends: map[Process]*end{}, records: map[Name]*record{}, keys: map[key]int{}, suspects: map[Name]*record{},
		aside: map[Name]*record{}, released: map[Name]time.Time{},
	}
}

// run is a run that broke off with a process.
type run struct {
	name Name
	key  key
	took time.Duration // from its send until it broke off
}

// add takes an end with some runs there, and returns those that were not known.
func (t *table) add(process Process, at, now time.Time, runs []run) (fresh []run) {
	e := t.ends[process]
	if e == nil {
		e = &end{process: process, at: at, heardAt: now, runs: map[Name]time.Duration{}}
		t.ends[process] = e
		t.order = append(t.order, e)
	}
	for _, run := range runs {
		if _, isKnown := e.runs[run.name]; isKnown || len(e.runs) >= maxRunsPerEnd {
			continue
		}
		e.runs[run.name] = run.took
		r := t.record(run.name, run.key)
		r.ends, r.weighedAt = append(r.ends, e), time.Time{}
		if len(r.ends) >= endsToBlame {
			t.suspects[run.name] = r
		}
		fresh = append(fresh, run)
	}
	return fresh
}

// record finds a request's record, and makes it on first use.
func (t *table) record(name Name, k key) *record {
	r := t.records[name]
	if r == nil {
		r = &record{key: k}
		t.records[name] = r
		t.keys[k]++
	}
	return r
}

// trim forgets what is old, and what is more than is remembered.
func (t *table) trim(now time.Time) {
	for len(t.order) > 0 && (len(t.order) > maxEnds || now.Sub(t.order[0].at) >= memory) {
		t.dropEnd(t.order[0])
		t.order[0] = nil
		t.order = t.order[1:]
	}
	for name, r := range t.aside {
		if now.Sub(r.until) >= memory {
			t.release(name, r)
		}
	}
	for name, at := range t.released {
		if now.Sub(at) >= memory || len(t.released) > maxAside {
			delete(t.released, name)
		}
	}
	for len(t.aside) > maxAside {
		name := t.soonest()
		t.release(name, t.aside[name])
	}
}

func (t *table) dropEnd(e *end) {
	delete(t.ends, e.process)
	for name := range e.runs {
		r := t.records[name]
		r.ends = slices.DeleteFunc(r.ends, func(other *end) bool { return other == e })
		if len(r.ends) < endsToBlame {
			delete(t.suspects, name)
		}
		t.dropIfIdle(name, r)
	}
}

// dropIfIdle forgets a request that nothing is known of any more.
func (t *table) dropIfIdle(name Name, r *record) {
	if len(r.ends) > 0 || r.isAside() {
		return
	}
	if t.keys[r.key]--; t.keys[r.key] <= 0 {
		delete(t.keys, r.key)
	}
	delete(t.records, name)
}

// setAside keeps a request from endpoints for the ends that it is to blame for.
func (t *table) setAside(name Name, r *record, turns []*end) {
	r.pause = firstPause
	if t.isContested(name, turns[0].at.Add(-contestMargin), turns[len(turns)-1].at) {
		r.pause = contestedPause
	}
	for _, e := range turns {
		r.extend(e.at)
	}
	t.aside[name] = r
}

// release has a request run again.
func (t *table) release(name Name, r *record) {
	r.until, r.pause, r.isTried = time.Time{}, 0, false
	delete(t.aside, name)
	t.dropIfIdle(name, r)
}

// soonest is the request set aside that may be tried first.
func (t *table) soonest() (name Name) {
	var until time.Time
	for n, r := range t.aside {
		if until.IsZero() || r.until.Before(until) {
			name, until = n, r.until
		}
	}
	return name
}
