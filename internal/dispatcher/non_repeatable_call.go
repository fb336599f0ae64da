package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/endivemast/endivemast/internal/claimer"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// nonRepeatableCall is one call of a class that isn't repeatable.
type nonRepeatableCall struct {
	dispatcher *Dispatcher
	request    Request
	class      configurer.Class
	arrived    time.Time
	claim      claimer.Claim
	attempts   int
	excluded   []string
	backoffs   int
}

// callOnce claims the request's key and sends the call at most once under the claim.
//
// The claim precedes admission. Otherwise the repeat of a call that has run could be refused as
// "not run" because of overload, and its caller would submit it again under a new key.
func (d *Dispatcher) callOnce(ctx context.Context, request Request, class configurer.Class, arrived time.Time) (answer Answer, err error) {
	if request.IdempotencyKey == "" {
		return answer, notRunFailure(request, ReasonKeyMissing, "class "+class.Name+" needs an Idempotency-Key or a ticket", 0)
	}
	key := claimer.Key{Tenant: request.Tenant, Key: request.IdempotencyKey}
	claim, record, err := d.cfg.Claimer.Claim(ctx, key, claimedBody(request))
	switch {
	case err != nil:
		return answer, claimFailure(request, err)
	case record != nil:
		return answerFromRecord(request, *record, arrived)
	}
	c := &nonRepeatableCall{dispatcher: d, request: request, class: class, arrived: arrived, claim: claim}
	// The call continues if the caller disconnects: the service may have run it, and the claim's
	// record must give a repeat of the call its outcome.
	ctx, cancel := timekeeper.WithTimeout(context.WithoutCancel(ctx), max(giveUpFactor*class.CompletionTarget(), minCallTimeout))
	defer cancel()
	return c.dispatch(ctx)
}

// claimedBody returns the bytes that two calls with the same key must have in common.
func claimedBody(request Request) []byte {
	body := make([]byte, 0, len(request.Class)+len(request.Operation)+len(request.Body)+2)
	body = append(body, request.Class...)
	body = append(body, 0)
	body = append(body, request.Operation...)
	body = append(body, 0)
	return append(body, request.Body...)
}

// answerFromRecord answers the repeat of an earlier call from the claim's record.
func answerFromRecord(request Request, record claimer.Record, arrived time.Time) (answer Answer, err error) {
	failure := &FailureError{RequestID: request.RequestID, Reason: ReasonKeyUsed}
	switch record.State {
	case claimer.StateAnswered:
		if record.Answer != nil {
			return Answer{RequestID: request.RequestID, Body: record.Answer, Completion: time.Since(arrived)}, nil
		}
		failure.Outcome, failure.Detail = OutcomeUnknown, "the call ran and was answered; its answer is no longer kept"
	case claimer.StateFailed:
		failure.Outcome, failure.Reason, failure.Detail = OutcomeFailed, ReasonEndpointFailed, "the call ran before and the endpoint said no"
	case claimer.StateNotRun:
		failure.Outcome, failure.Detail = OutcomeNotRun, "the call was given up before it ran; use a new key"
	default:
		failure.Outcome, failure.Detail = OutcomeUnknown, "a call with this key was made before and may have run"
	}
	return answer, failure
}

func claimFailure(request Request, err error) *FailureError {
	failure := &FailureError{RequestID: request.RequestID, Outcome: OutcomeUnknown, Detail: err.Error()}
	switch {
	case errors.Is(err, claimer.ErrKeyMalformed):
		failure.Outcome, failure.Reason = OutcomeNotRun, ReasonKeyMissing
	case errors.Is(err, claimer.ErrBodyConflict):
		failure.Outcome, failure.Reason = OutcomeNotRun, ReasonKeyConflict
	case errors.Is(err, claimer.ErrTaken):
		failure.Reason = ReasonKeyUsed
	default:
		// This call was not sent and won't be. An earlier call with the same key may have run,
		// which only the claim's register knows, so "not run" could be wrong.
		failure.Reason, failure.RetryAfter = ReasonClaimUnavailable, faultRetryAfter
		var unavailable *claimer.UnavailableError
		if errors.As(err, &unavailable) {
			failure.RetryAfter = unavailable.RetryAfter
		}
	}
	return failure
}

// dispatch acquires an endpoint and sends the call. It tries another endpoint only if the
// previous one has certainly not run the call.
func (c *nonRepeatableCall) dispatch(ctx context.Context) (answer Answer, err error) {
	for {
		grant, err := c.dispatcher.cfg.Scheduler.Acquire(ctx, c.work())
		if err != nil {
			if c.waitForEndpoint(ctx, err) {
				continue
			}
			return answer, c.abandon(err)
		}
		if c.isClaimExpired() {
			// The process was paused here for very long. Its claim may have been dropped, and the
			// call may have run under a new claim.
			grant.Done(scheduler.Abandoned{})
			return answer, c.newFailure(OutcomeUnknown, ReasonKeyUsed, "the claim was held for too long before the call was sent", 0)
		}
		body, err := c.send(ctx, grant)
		switch {
		case err == nil:
			c.writeRecord(claimer.Record{State: claimer.StateAnswered, Answer: body})
			return Answer{RequestID: c.request.RequestID, Body: body, Attempts: c.attempts, Completion: time.Since(c.arrived)}, nil
		case !mayHaveRun(err):
			c.excluded = append(c.excluded, grant.Target().EndpointID)
			if c.attempts < c.dispatcher.cfg.MaxAttempts {
				continue
			}
			return answer, c.abandon(err)
		case errors.Is(err, driver.ErrFailed):
			c.writeRecord(claimer.Record{State: claimer.StateFailed})
			return answer, c.newFailure(OutcomeFailed, ReasonEndpointFailed, err.Error(), 0)
		default:
			return answer, c.newFailure(OutcomeUnknown, ReasonEndpointLost, err.Error(), faultRetryAfter)
		}
	}
}

func (c *nonRepeatableCall) isClaimExpired() bool {
	bounded, ok := c.claim.(claimer.DeadlineClaim)
	if !ok {
		return false
	}
	deadline, ok := bounded.Deadline()
	return ok && time.Now().After(deadline)
}

func (c *nonRepeatableCall) send(ctx context.Context, grant scheduler.Grant) (body []byte, err error) {
	c.attempts++
	attemptID := c.dispatcher.attemptID()
	answer, err := c.dispatcher.cfg.Driver.Call(ctx, grant.Target(), driver.ServiceCall{
		AttemptID: attemptID, Application: c.class.Application, Operation: c.request.Operation,
		CallKey: c.request.Tenant + "/" + c.request.IdempotencyKey, Body: c.request.Body,
	})
	c.dispatcher.logAttempt(c.request, attemptID, grant.Target().EndpointID, err)
	if err != nil {
		grant.Done(scheduler.Failed{Err: err})
		return nil, err
	}
	grant.Done(scheduler.Completed{})
	return answer.Body, nil
}

func (c *nonRepeatableCall) work() scheduler.Work {
	return scheduler.Work{RequestID: c.request.RequestID, Class: c.class, Arrived: c.arrived, Excluded: c.excluded, IsAdmitted: c.backoffs > 0}
}

// waitForEndpoint waits and reports whether to acquire an endpoint again: all endpoints were
// tried, none has run the call, and there is time left.
func (c *nonRepeatableCall) waitForEndpoint(ctx context.Context, err error) bool {
	var refusal *scheduler.RefusalError
	if !errors.As(err, &refusal) || !endpointsMayRecover(refusal, c.excluded, c.backoffs) {
		return false
	}
	if time.Since(c.arrived) > c.class.CompletionTarget() {
		return false
	}
	c.excluded = nil
	c.backoffs++
	return waitBackoff(ctx, c.backoffs) == nil
}

// abandon ends a call that no endpoint has run, and releases its key.
func (c *nonRepeatableCall) abandon(err error) *FailureError {
	c.writeRecord(claimer.Record{State: claimer.StateNotRun})
	var refusal *scheduler.RefusalError
	if errors.As(err, &refusal) {
		return c.newFailure(OutcomeNotRun, string(refusal.Reason), refusal.Error(), refusal.RetryAfter)
	}
	return c.newFailure(OutcomeNotRun, ReasonEndpointLost, err.Error(), faultRetryAfter)
}

func (c *nonRepeatableCall) newFailure(outcome Outcome, reason, detail string, retryAfter time.Duration) *FailureError {
	return &FailureError{
		RequestID: c.request.RequestID, Outcome: outcome,
		Reason: reason, Detail: detail, RetryAfter: retryAfter,
	}
}

// writeRecord writes the call's outcome to its claim. The caller's answer waits only briefly for
// the write: in an outage of the key-value service the answer is returned, and a repeat of the
// call gets an unknown outcome.
func (c *nonRepeatableCall) writeRecord(record claimer.Record) {
	written := make(chan struct{})
	c.dispatcher.recordWrites.Go(func() error {
		defer close(written)
		ctx, cancel := timekeeper.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := c.claim.Finish(ctx, record); err != nil {
			c.dispatcher.cfg.Logger.Debug("failed to write the outcome of a claim", "request_id", c.request.RequestID, "state", record.State, "error", err)
		}
		return nil
	})
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
}
