package quarantiner

import (
	"slices"
	"time"
)

const (
	// pendingTimeout is how long interrupted runs wait for confirmation that the process
	// of their endpoint has exited. A host that is reached reports that at once, peers
	// within some ticks, and the store once the endpoint has restarted.
	pendingTimeout = 10 * time.Second
	// maxPending bounds the processes with interrupted runs. More at a time occur only
	// when a network link is cut, and then no process has exited.
	maxPending = 256
)

// pending holds the runs that were interrupted with processes that may have exited.
type pending map[Process]*interruption

type interruption struct {
	at   time.Time // of the first interruption
	runs []run
}

// add adds what was interrupted; isFirst is true for the first interruption of its process.
func (p pending) add(process Process, now time.Time, runs ...run) (isFirst bool) {
	entry := p[process]
	if entry == nil {
		if len(p) >= maxPending {
			return false
		}
		entry = &interruption{at: now}
		p[process], isFirst = entry, true
	}
	for _, r := range runs {
		isKnown := r.isPart() && slices.ContainsFunc(entry.runs, func(other run) bool { return other.fingerprint == r.fingerprint })
		if !isKnown && len(entry.runs) < maxRunsPerCrash {
			entry.runs = append(entry.runs, r)
		}
	}
	return isFirst
}

// take removes and returns the interrupted runs of a process.
func (p pending) take(process Process) (runs []run, at time.Time, ok bool) {
	entry := p[process]
	if entry == nil {
		return nil, at, false
	}
	delete(p, process)
	return entry.runs, entry.at, true
}

// trim drops runs whose process has not been confirmed to have exited in time.
func (p pending) trim(now time.Time) {
	for process, entry := range p {
		if now.Sub(entry.at) >= pendingTimeout {
			delete(p, process)
		}
	}
}
