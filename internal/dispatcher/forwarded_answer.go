package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/quarantiner"
	"github.com/endivemast/endivemast/internal/ratelimiter"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// This file forwards answers and ends requests that have no complete answer.

// bufferedAnswer is an answer that is held back until no better one can follow.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered reads an answer to its end before forwarding any of it, so that an interrupted
// answer never appears complete.
func (fr *forwardedRequest) forwardBuffered(ctx context.Context, answer *driver.ForwardAnswer) error {
	buffered, err := fr.readAnswer(ctx, answer)
	if err != nil {
		return err
	}
	if answer.SaysNotRun {
		return fmt.Errorf("%w: status %d, although it has not refused the request", errEndpointFault, answer.Status)
	}
	if answer.Status >= http.StatusInternalServerError && fr.request.Class.Repeatable {
		fr.faultAnswer = buffered
		return errEndpointFault
	}
	return fr.deliver(buffered)
}

// readAnswer reads an answer to its end.
func (fr *forwardedRequest) readAnswer(ctx context.Context, answer *driver.ForwardAnswer) (*bufferedAnswer, error) {
	body, err := fr.forwarder.largeBuffers.readAll(ctx, answer.Body, answer.Length)
	if err != nil {
		fr.countExceededLimit(err, responselimiter.BodyBytes)
		return nil, fmt.Errorf("%w: %w", driver.ErrOutcomeUnknown, err)
	}
	if fr.isHeaderSent {
		// The answer to a request to resume a stream is an error.
		return nil, fmt.Errorf("%w: status %d", driver.ErrFailed, answer.Status)
	}
	return &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// countExceededLimit counts an answer that was ended by a limit of this package. The client counts
// its own.
func (fr *forwardedRequest) countExceededLimit(err error, own responselimiter.Limit) {
	limit, ok := responselimiter.ExceededLimit(err)
	if !ok || limit != own && limit != responselimiter.BufferedBytes {
		return
	}
	client := responselimiter.ClientEndpoint
	if fr.isAtPeer {
		client = responselimiter.ClientPeer
	}
	fr.forwarder.cfg.Meter.CountExceededLimit(client, string(limit))
}

func (fr *forwardedRequest) deliver(buffered *bufferedAnswer) error {
	if err := fr.writer.WriteHeader(AnswerHead{Status: buffered.status, Header: buffered.header, Length: int64(len(buffered.body)), SoftwareVersion: fr.lastAttempt.softwareVersion}); err != nil {
		return errors.Join(errCallerGone, err)
	}
	fr.isHeaderSent = true
	if err := fr.writer.Write(buffered.body); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// reportRunStarted reports the start of a run, for the tenant's usage.
func (fr *forwardedRequest) reportRunStarted() {
	if fr.request.Tenant != "" && !fr.isAtPeer { // a peer counts the runs that it starts
		fr.forwarder.cfg.OnRunStarted(fr.request.Tenant)
	}
}

// tokenReceiver is called for each event of a stream.
type tokenReceiver interface{ TokenReceived() }

// forwardEvents forwards a stream in complete events. The header is sent with the first event;
// until then, another endpoint may take over the request.
func (fr *forwardedRequest) forwardEvents(ctx context.Context, tokens tokenReceiver, answer *driver.ForwardAnswer) error {
	reader := newEventReader(answer.Body, fr.forwarder.largeBuffers)
	defer reader.release()
	isContinued := fr.isHeaderSent // the next event is the first one of an endpoint that goes on
	for {
		events, err := reader.next(ctx)
		if errors.Is(err, io.EOF) {
			if err := fr.confirmEnd(ctx, answer); err != nil {
				return fmt.Errorf("%w: %w", driver.ErrOutcomeUnknown, err)
			}
			return fr.endStream(answer)
		}
		if err != nil {
			fr.countExceededLimit(err, responselimiter.EventBytes)
			return fmt.Errorf("%w: stream broke off: %w", driver.ErrOutcomeUnknown, err)
		}
		ids, count := fr.ids, 0
		for e := range eventsIn(events) {
			if isContinued && (e.hasData || e.id != "") {
				if err := ids.checkNext(e); err != nil {
					return err
				}
				isContinued = false
			}
			ids.add(e)
			count++
			tokens.TokenReceived()
		}
		if fr.lastAttempt.firstEventAt.IsZero() {
			fr.lastAttempt.firstEventAt = time.Now()
			fr.reportRunStarted()
			fr.hasEvents.Store(true)
		}
		fr.reportContinuedRun()
		if err := fr.writeEvents(answer, events); err != nil {
			return err
		}
		fr.eventsSent += count
		fr.ids = ids
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// reportContinuedRun reports that the run goes on, each time that it has lasted twice as long.
func (fr *forwardedRequest) reportContinuedRun() {
	attempt := &fr.lastAttempt
	if age := time.Since(attempt.firstEventAt); !fr.isAtPeer && age >= max(2*attempt.reportedAge, quarantiner.SoundRunTime) {
		attempt.reportedAge = age
		fr.forwarder.cfg.Quarantine.RunContinues(&fr.identity, time.Since(attempt.sentAt))
	}
}

func (fr *forwardedRequest) writeEvents(answer *driver.ForwardAnswer, events []byte) error {
	if !fr.isHeaderSent {
		if err := fr.beginStream(); err != nil {
			return err
		}
		fr.recordOrigin()
		head := AnswerHead{Status: answer.Status, Header: answer.Header, Length: -1, SoftwareVersion: fr.softwareVersion}
		if err := fr.writer.WriteHeader(head); err != nil {
			return errors.Join(errCallerGone, err)
		}
		fr.isHeaderSent = true
		fr.timings.firstEvent = time.Since(fr.request.Arrived)
		fr.forwarder.cfg.Meter.ObserveFirstToken("", fr.request.Class.Name, fr.timings.firstEvent)
	} else {
		fr.timings.maxEventInterval = max(fr.timings.maxEventInterval, time.Since(fr.timings.lastEventAt))
	}
	fr.timings.lastEventAt = time.Now()
	if err := fr.writer.Write(events); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// endStream finishes a complete stream. A stream without events still gets a header.
func (fr *forwardedRequest) endStream(answer *driver.ForwardAnswer) error {
	if fr.isHeaderSent {
		return nil
	}
	if err := fr.beginStream(); err != nil {
		return err
	}
	fr.isHeaderSent = true
	if err := fr.writer.WriteHeader(AnswerHead{Status: answer.Status, Header: answer.Header, SoftwareVersion: fr.lastAttempt.softwareVersion}); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// finishUnserved ends a request that has no complete answer, and returns its error. A buffered
// fault answer of an endpoint is delivered instead, if there is one.
func (fr *forwardedRequest) finishUnserved(ctx context.Context, err error) error {
	fr.dropCache()
	if fr.isHeaderSent {
		return errors.Join(ErrPartialAnswer, err)
	}
	if fr.faultAnswer != nil && ctx.Err() == nil {
		return fr.deliver(fr.faultAnswer)
	}
	failure := &FailureError{RequestID: fr.request.ID, Outcome: OutcomeNotRun, Reason: ReasonEndpointLost, Detail: err.Error(), RetryAfter: faultRetryAfter}
	if fr.runs > 0 {
		failure.Outcome = OutcomeUnknown
	}
	var refusal *scheduler.RefusalError
	var overLimit *ratelimiter.OverLimitError
	var atPeer *PeerError
	switch {
	case errors.As(err, &atPeer) && atPeer.Outcome.Failure != nil && ctx.Err() == nil:
		failure.setFromPeer(atPeer.Outcome.Failure)
	case errors.Is(err, errHostStops) || errors.Is(context.Cause(ctx), errHostStops):
		failure.Reason, failure.RetryAfter = ReasonHostStops, hostStopsRetryAfter
	case errors.Is(err, errPathLost) || fr.isWithoutPath(refusalOf(err)):
		failure.Reason, failure.RetryAfter = ReasonNoPath, noPathRetryAfter
	case errors.Is(err, errStreamUnknown):
		failure.Reason, failure.RetryAfter = ReasonStreamUnknown, unknownStreamRetryAfter
	case errors.Is(err, errStreamMoved):
		failure.Reason, failure.RetryAfter = ReasonStreamMoved, movedStreamRetryAfter
	case errors.Is(err, errQuarantined) || errors.Is(context.Cause(ctx), errQuarantined):
		failure.Reason, failure.RetryAfter = ReasonCrashesEndpoints, max(fr.admission.RetryAfter, faultRetryAfter)
	case errors.As(err, &refusal):
		failure.Reason, failure.RetryAfter = string(refusal.Reason), refusal.RetryAfter
	case errors.As(err, &overLimit):
		failure.Reason, failure.RetryAfter = ReasonTenantLimit, overLimit.RetryAfter
	case errors.Is(err, ratelimiter.ErrLimitUnavailable):
		failure.Reason, failure.RetryAfter = ReasonLimitUnknown, limitUnknownRetryAfter
	case errors.Is(err, errTimeout) || errors.Is(context.Cause(ctx), errTimeout):
		failure.Reason = ReasonTimeout
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		failure.Reason = ReasonCallerGone
	}
	return failure
}
