package quarantiner

import (
	"math"
	"time"
)

// How crashes of longer runs are weighed, which any crash may hit.

const (
	// minLogEvidence is the natural logarithm of how many times more likely crashes have to be if
	// the request causes them than if other causes hit its runs.
	minLogEvidence = 9.2
	// backgroundCrashes is added to the observed crashes without the request, of which there may be
	// none by chance.
	backgroundCrashes = 0.5
	// soundRunFactor is how many times longer than the longest run that crashed a run has to go on
	// to show that the request can be run.
	soundRunFactor = 3
)

// isImprobable reports whether other causes hardly explain the crashes of a request, in order. That is
// so if each happened soon after the run started. A longer run may be hit by any crash, the more
// likely the longer it is: the crashes are then compared with the rate of those without the request.
func (t *table) isImprobable(fingerprint Fingerprint, crashes []*crash, endpoints int, now time.Time) bool {
	var exposure time.Duration // total age of the runs
	isEarly := true
	for _, c := range crashes {
		age := c.at.Sub(c.runs[fingerprint])
		exposure += max(age, time.Millisecond)
		isEarly = isEarly && age <= maxEarlyRun
	}
	if isEarly {
		return true
	}
	begin := crashes[0].runs[fingerprint].Add(-contestMargin)
	rate := (float64(t.countCrashesWithout(fingerprint, begin, now)) + backgroundCrashes) / (float64(max(endpoints, 1)) * now.Sub(begin).Seconds())
	return logEvidence(len(crashes), exposure, rate) >= minLogEvidence
}

// logEvidence compares two explanations of the crashes under a request's runs: a rate of its own, or
// the rate per second at which a process crashes for other reasons.
func logEvidence(crashes int, exposure time.Duration, rate float64) float64 {
	expected := rate * exposure.Seconds()
	n := float64(crashes)
	if expected >= n {
		return 0
	}
	return n*math.Log(n/expected) - n + expected
}

// countCrashesWithout returns how many processes crashed in a period without running the request.
func (t *table) countCrashesWithout(fingerprint Fingerprint, begin, until time.Time) (n int) {
	for _, c := range t.byArrival {
		if _, isPresent := c.runs[fingerprint]; !isPresent && c.at.After(begin) && !c.at.After(until) {
			n++
		}
	}
	return n
}

// outlivesCrashes reports whether a run of some age has gone on for much longer than the runs that
// crashed. Until a crash has settled, other hosts may report longer ones.
func (r *record) outlivesCrashes(fingerprint Fingerprint, age time.Duration, now time.Time) bool {
	for _, c := range r.crashes {
		isSettled := now.Sub(c.receivedAt) >= crashSettlingDelay
		if r.isRelevant(c, now) && (!isSettled || age < soundRunFactor*c.at.Sub(c.runs[fingerprint])) {
			return false
		}
	}
	return true
}
