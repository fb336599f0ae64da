package quarantiner

import "time"

const (
	// pendingFor is how long runs that broke off wait for a word that their
	// endpoint's process has ended. A host that is reached says so at once, peers
	// within some ticks, and the store once the endpoint has started again.
	pendingFor = 10 * time.Second
	// maxPending bounds the processes that runs have broken off with: more at a time
	// break off only where a link is cut, and then no process has ended.
	maxPending = 256
)

// pending are the runs that broke off with processes that may have ended.
type pending map[Process]*broken

type broken struct {
	at   time.Time // the first of them broke off
	runs []run
}

// add takes a run; isFirst is true for the first one of its process.
func (p pending) add(process Process, r run, now time.Time) (isFirst bool) {
	b := p[process]
	if b == nil {
		if len(p) >= maxPending {
			return false
		}
		b = &broken{at: now}
		p[process], isFirst = b, true
	}
	if len(b.runs) < maxRunsPerCrash {
		b.runs = append(b.runs, r)
	}
	return isFirst
}

// take returns the runs that broke off with a process, and forgets them.
func (p pending) take(process Process) (runs []run, at time.Time, ok bool) {
	b := p[process]
	if b == nil {
		return nil, at, false
	}
	delete(p, process)
	return b.runs, b.at, true
}

// trim forgets runs whose endpoint's process is not known to have ended.
func (p pending) trim(now time.Time) {
	for process, b := range p {
		if now.Sub(b.at) >= pendingFor {
			delete(p, process)
		}
	}
}
