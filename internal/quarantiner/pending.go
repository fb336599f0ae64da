package quarantiner

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

const (
	// pendingTimeout is how long interrupted runs wait for confirmation that the process
	// of their endpoint has exited.
	pendingTimeout = 10 * time.Second
	// maxPending bounds the processes with interrupted runs. More at a time occur only
	// when a network link is cut, and then no process has exited.
	maxPending = 256
	// interruptionWindow is within how long an exit interrupts all runs of its process. Runs that
	// were interrupted before were not interrupted by it.
	interruptionWindow = time.Second
	// firstReprobeDelay is the time until a process is probed again whose exit could not be
	// confirmed; it doubles.
	firstReprobeDelay = 500 * time.Millisecond
)

// pending holds the runs that were interrupted with processes that may have exited.
type pending map[Process]*interruption

type interruption struct {
	target driver.Target
	at     time.Time // of the latest interruption
	runs   []interruptedRun
	room   room

	isProbing    bool
	probedAt     time.Time // start of the latest probe
	reprobeAt    time.Time // zero: not before another run is interrupted
	reprobeDelay time.Duration
}

type interruptedRun struct {
	run
	at time.Time
}

// add adds what was interrupted, and returns nil if there is no room.
func (p pending) add(target driver.Target, now time.Time, runs ...run) *interruption {
	process := target.Process()
	entry := p[process]
	if entry == nil {
		if len(p) >= maxPending {
			return nil
		}
		entry = &interruption{target: target}
		p[process] = entry
	}
	entry.at = now
	entry.dropEarlier(now)
	for _, r := range runs {
		known := slices.IndexFunc(entry.runs, func(other interruptedRun) bool { return other.fingerprint == r.fingerprint })
		switch {
		case known >= 0 && r.sentAt.Before(entry.runs[known].sentAt):
			entry.runs[known].sentAt = r.sentAt
		case known < 0 && entry.room.take(&r.suspect):
			entry.runs = append(entry.runs, interruptedRun{run: r, at: now})
		}
	}
	return entry
}

// dropEarlier drops runs that were interrupted before an exit that is noticed now. The runs are in the
// order of their interruptions.
func (e *interruption) dropEarlier(now time.Time) {
	if len(e.runs) == 0 || now.Sub(e.runs[0].at) < interruptionWindow {
		return
	}
	kept := e.runs[:0]
	e.room = room{}
	for _, r := range e.runs {
		if now.Sub(r.at) < interruptionWindow && e.room.take(&r.suspect) {
			kept = append(kept, r)
		}
	}
	e.runs = kept
}

// take removes and returns the interrupted runs of a process, and when the first one was
// interrupted.
func (p pending) take(process Process) (runs []run, at time.Time, ok bool) {
	entry := p[process]
	if entry == nil {
		return nil, at, false
	}
	delete(p, process)
	at = entry.at
	for _, r := range entry.runs {
		runs = append(runs, r.run)
		if r.at.Before(at) {
			at = r.at
		}
	}
	return runs, at, true
}

// dueProbes returns the entries to probe now.
func (p pending) dueProbes(now time.Time) (due []*interruption) {
	for _, entry := range p {
		if !entry.isProbing && !entry.reprobeAt.IsZero() && !now.Before(entry.reprobeAt) {
			due = append(due, entry)
		}
	}
	return due
}

// trim removes and returns runs whose process has not been confirmed to have exited in time.
func (p pending) trim(now time.Time) (dropped []*interruption) {
	for process, entry := range p {
		if now.Sub(entry.at) >= pendingTimeout {
			delete(p, process)
			dropped = append(dropped, entry)
		}
	}
	return dropped
}

// beginProbe records the start of a probe.
func (e *interruption) beginProbe(now time.Time) {
	e.isProbing, e.probedAt, e.reprobeAt = true, now, time.Time{}
	e.reprobeDelay = max(2*e.reprobeDelay, firstReprobeDelay)
}

// endProbe records that a probe has not confirmed the exit, and when the next one is due: at once if
// runs were interrupted since it began, and not at all if the process still listens.
func (e *interruption) endProbe(now time.Time, isListening bool) {
	e.isProbing = false
	switch {
	case e.at.After(e.probedAt):
		e.reprobeAt, e.reprobeDelay = now, 0
	case !isListening:
		e.reprobeAt = now.Add(e.reprobeDelay)
	}
}
