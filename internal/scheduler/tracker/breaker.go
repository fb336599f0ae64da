package tracker

import "time"

const (
	breakerBase = 250 * time.Millisecond
	breakerMax  = 15 * time.Second
	// breakerTrip is how many failures in a row set an endpoint aside; an
	// endpoint that could not be reached counts as having failed so often.
	breakerTrip = 2
)

// Breaker sets a failing endpoint aside: for a time that doubles with each
// failure, after which one single request probes it.
type Breaker struct {
	Failures  int       // in a row
	OpenUntil time.Time // set aside until then; zero: not set aside
	Probing   bool      // a probe is under way
	// Unreachable is true where the last failure was that the endpoint could
	// not be reached or would not take work.
	Unreachable bool
	// isEarly is true while a probe is under way that came before the pause was over.
	isEarly bool
}

// Allows is true where the endpoint may be given work.
func (b *Breaker) Allows(now time.Time) bool {
	if b.OpenUntil.IsZero() {
		return true
	}
	return !b.Probing && !now.Before(b.OpenUntil)
}

// IsOpen is true while the endpoint is set aside or being probed.
func (b *Breaker) IsOpen() bool { return !b.OpenUntil.IsZero() }

// AllowsEarly is true where the endpoint may be probed before its pause is over:
// it takes work, and has only been slow or wrong.
func (b *Breaker) AllowsEarly() bool { return b.IsOpen() && !b.Probing && !b.Unreachable }

// Admit notes that work is given; it returns true when that work is a probe.
func (b *Breaker) Admit(now time.Time) bool {
	if !b.IsOpen() {
		return false
	}
	b.Probing, b.isEarly = true, now.Before(b.OpenUntil)
	return true
}

// Succeed notes a success. It closes the breaker only when it is the probe's:
// an old stream that still flows does not show that new work would be taken.
func (b *Breaker) Succeed(isProbe bool) {
	if isProbe || !b.IsOpen() {
		*b = Breaker{}
	}
}

// ReportMissed notes that a report could not be read. While the endpoint is set aside
// it adds nothing; after that it stands for a failed probe, so that no request
// has to find out.
func (b *Breaker) ReportMissed(jitter float64, now time.Time) {
	if b.IsOpen() && (b.Probing || now.Before(b.OpenUntil)) {
		return
	}
	b.Fail(true, true, jitter, now)
}

// ReportReceived notes that a report was read: an endpoint that could not be reached
// may be probed at once.
func (b *Breaker) ReportReceived(now time.Time) {
	if b.Unreachable && b.IsOpen() && b.OpenUntil.After(now) {
		b.OpenUntil = now
	}
}

// AbandonProbe ends a probe that says nothing about the endpoint.
func (b *Breaker) AbandonProbe(isProbe bool) {
	if isProbe {
		b.Probing, b.isEarly = false, false
	}
}

// Fail notes a failure. Unreachable says that the endpoint could not be
// reached or would not take work. Jitter is a random number in [0, 1) that
// keeps hosts from probing in step. While the breaker is open only the probe's
// failure counts: when an engine with 30 streams dies, that is one failure and
// not 30 doublings of the pause. An early probe that fails leaves the pause as it is.
func (b *Breaker) Fail(isProbe, unreachable bool, jitter float64, now time.Time) {
	if b.IsOpen() && !isProbe {
		return
	}
	wasEarly := b.isEarly
	b.Probing, b.isEarly = false, false
	if wasEarly && now.Before(b.OpenUntil) {
		return
	}
	b.Unreachable = unreachable
	b.Failures++
	if unreachable {
		b.Failures = max(b.Failures, breakerTrip)
	}
	if b.Failures < breakerTrip {
		return
	}
	pause := breakerMax
	if doublings := b.Failures - breakerTrip; doublings < 6 {
		pause = min(breakerBase<<doublings, breakerMax)
	}
	b.OpenUntil = now.Add(time.Duration(float64(pause) * (0.5 + jitter)))
}
