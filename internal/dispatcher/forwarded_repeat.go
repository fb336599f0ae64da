package dispatcher

import (
	"errors"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// This file decides whether another attempt may follow, and for how long it is useful.

// mayRepeat reports whether another attempt may follow a failed one.
func (fr *forwardedRequest) mayRepeat(err error) bool {
	var refusal *scheduler.RefusalError
	var atPeer *PeerError
	if errors.As(err, &refusal) || errors.As(err, &atPeer) || isOverLimit(err) || errors.Is(err, errCallerGone) || errors.Is(err, errQuarantined) || fr.sends >= maxSends {
		return false
	}
	if fr.admission.IsTrial && errors.Is(err, driver.ErrOutcomeUnknown) {
		return false // a trial crashes one endpoint at most
	}
	if errors.Is(err, driver.ErrOutcomeUnknown) && !fr.isAtPeer && !fr.forwarder.cfg.Quarantine.MayRepeat(&fr.identity) {
		return false // it may crash the next endpoint too
	}
	if mayHaveRun(err) {
		if !fr.request.Class.Repeatable || fr.runs >= fr.request.Class.MaxAttempts {
			return false
		}
	}
	if errors.Is(err, errTimeout) || errors.Is(err, errHostStops) || fr.isVersionUnknown || fr.isHeaderSent && !fr.ids.canContinue() {
		return false
	}
	if runStateOf(err) == driver.RunNotSent {
		return true // nothing was received; the next send counts as the first
	}
	return fr.repeatBudget.tryWithdraw(fr.repeatCost())
}

// repeatCost returns how many calls the next attempt adds: one, plus another one if the prompt
// must be prefilled again.
func (fr *forwardedRequest) repeatCost() float64 {
	if fr.prefills > 0 && !fr.hasCache() {
		return 2
	}
	return 1
}

// hasCache reports whether an engine still keeps the prompt's KV cache for this request.
func (fr *forwardedRequest) hasCache() bool {
	return fr.cacheHandle != nil && time.Since(fr.cacheReadyAt) < cacheUseTimeout
}

// cacheUseTimeout is how long a KV cache is relied on. Engines keep it for some seconds longer.
const cacheUseTimeout = 2 * time.Second

// prefillError is the error of a prefill. At most the prompt was prefilled; the request itself has not run.
type prefillError struct{ cause error }

// Error returns the cause.
func (e *prefillError) Error() string { return "prefill failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *prefillError) Unwrap() error { return e.cause }

// runStateOf returns the run state of a request after an attempt that failed with err.
func runStateOf(err error) driver.RunState {
	var atPeer *PeerError
	var failedPrefill *prefillError
	switch {
	case errors.As(err, &failedPrefill) && driver.RunStateOf(failedPrefill.cause) == driver.RunNotSent:
		return driver.RunNotSent
	case failedPrefill != nil:
		return driver.RunRefused
	case errors.As(err, &atPeer) && atPeer.Outcome.Failure != nil && atPeer.Outcome.Failure.Outcome == OutcomeNotRun:
		return driver.RunRefused
	default:
		return driver.RunStateOf(err)
	}
}

// mayHaveRun reports whether an attempt that failed with err may have run.
func mayHaveRun(err error) bool { return runStateOf(err) == driver.RunPossible }

// remainingTime returns for how much longer an answer is useful. The caller's timeout continues
// while the host is suspended, so that time is subtracted: an endpoint that was sent a longer
// time would work on an answer that no caller waits for.
func (fr *forwardedRequest) remainingTime() time.Duration {
	suspended := fr.forwarder.cfg.SuspendedTime() - fr.suspendedBefore
	remaining := time.Until(fr.request.Arrived.Add(requestTimeout(fr.request))) - suspended
	if at := fr.forwarder.stopsAt.Load(); at != nil {
		remaining = min(remaining, time.Until(*at))
	}
	return remaining
}
