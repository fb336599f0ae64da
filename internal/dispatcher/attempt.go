package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// event is a message from an attempt to its round: tokenEvent, endEvent, answerEvent or
// failureEvent.
type event interface{ isEvent() }

type tokenEvent struct {
	attempt *attempt
	token   driver.Token
}

type endEvent struct {
	attempt *attempt
	end     driver.End
}

type answerEvent struct {
	attempt *attempt
	answer  driver.ServiceAnswer
}

type failureEvent struct {
	attempt *attempt
	err     error
}

func (tokenEvent) isEvent()   {}
func (endEvent) isEvent()     {}
func (answerEvent) isEvent()  {}
func (failureEvent) isEvent() {}

// round holds the concurrent attempts of one round of a request.
type round struct {
	parent  *repeatableRequest
	events  chan event
	group   *errgroup.Group
	started []*attempt
	running []*attempt
	winner  *attempt
	// hasParallelRetry is true once the running attempts have stalled and another attempt was due
	// in parallel to them.
	hasParallelRetry bool
}

// attempt is one use of an endpoint for a request.
type attempt struct {
	parent       *repeatableRequest
	id           string
	cancel       context.CancelCauseFunc
	target       atomic.Pointer[driver.Target] // nil until an endpoint is granted
	work         scheduler.Work
	resumeTokens []string
	sent         atomic.Bool
	// isStalled is true once the endpoint has exceeded the idle timeout, however the attempt ends
	// afterwards.
	isStalled atomic.Bool
}

func (a *attempt) endpointID() string {
	if target := a.target.Load(); target != nil {
		return target.EndpointID
	}
	return ""
}

// start starts an attempt in a goroutine of the round's group.
func (rd *round) start(ctx context.Context) {
	r := rd.parent
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		parent: r, id: r.dispatcher.attemptID(), cancel: cancel,
		work: r.work(), resumeTokens: append([]string(nil), r.delivered...),
	}
	for _, other := range rd.running {
		a.work.Excluded = append(a.work.Excluded, other.endpointID())
	}
	if rd.hasParallelRetry {
		a.work.RetryUntil = r.giveUpTime()
	}
	rd.started = append(rd.started, a)
	rd.running = append(rd.running, a)
	rd.group.Go(func() error {
		defer cancel(nil)
		a.perform(ctx, rd.events)
		return nil
	})
}

// hedge starts a second attempt if the budget allows it. It returns false if the decision must be
// postponed: the first attempt is still in this host's queue, and a second one would only queue
// behind it.
func (rd *round) hedge(ctx context.Context) (decided bool) {
	r := rd.parent
	if rd.winner != nil || len(rd.running) != 1 {
		return true
	}
	if rd.running[0].endpointID() == "" {
		return false
	}
	if r.attempts+len(rd.started) >= r.dispatcher.cfg.MaxAttempts || !r.dispatcher.retries.tryWithdraw() {
		return true
	}
	r.dispatcher.cfg.Meter.CountHedge(r.class.Name)
	rd.start(ctx)
	return true
}

// startParallelRetry starts another attempt while the stalled ones keep running. It does so at
// most once, and only before any of them has produced output. If no other endpoint accepts the
// request, a late answer of a stalled one is still better than none: if it were cancelled, the
// request would end with an unknown outcome.
func (rd *round) startParallelRetry(ctx context.Context) bool {
	r := rd.parent
	if rd.winner != nil || rd.hasParallelRetry || !time.Now().Before(r.giveUpTime()) {
		return false
	}
	rd.hasParallelRetry = true
	for _, a := range rd.running {
		a.isStalled.Store(true)
	}
	if r.attempts+len(rd.started) < r.dispatcher.cfg.MaxAttempts && r.dispatcher.retries.tryWithdraw() {
		r.dispatcher.cfg.Meter.CountRetry(r.class.Name)
		rd.start(ctx)
	}
	return true
}

// isParallelRetryRefused reports whether the scheduler refused an endpoint to an attempt that
// runs in parallel to stalled ones.
func (rd *round) isParallelRetryRefused(event event) bool {
	failure, isFailure := event.(failureEvent)
	var refusal *scheduler.RefusalError
	return isFailure && rd.hasParallelRetry && rd.winner == nil && errors.As(failure.err, &refusal)
}

// handle processes one event. done means that the answer is complete.
func (rd *round) handle(event event) (done bool, err error) {
	switch event := event.(type) {
	case tokenEvent:
		if !rd.electWinner(event.attempt) {
			return false, nil
		}
		return false, rd.parent.deliverToken(event.token, time.Now())
	case endEvent:
		if !rd.electWinner(event.attempt) {
			return false, nil
		}
		return true, rd.parent.acceptEnd(event.end)
	case answerEvent:
		if !rd.electWinner(event.attempt) {
			return false, nil
		}
		rd.parent.body = event.answer.Body
		return true, nil
	case failureEvent:
		return false, rd.handleFailure(event)
	}
	return false, nil
}

// electWinner makes an attempt the winner of its round if there is none yet, cancels the others,
// and reports whether the attempt is the winner.
func (rd *round) electWinner(a *attempt) bool {
	if rd.winner == nil {
		rd.winner = a
		for _, other := range rd.running {
			if other != a {
				other.cancel(errSuperseded)
			}
		}
	}
	return rd.winner == a
}

// wait waits for all attempts, then records how many were granted an endpoint and whether an
// endpoint may have received any of them, which is certain only then. An Acquire call that was
// refused doesn't count as an attempt: otherwise a few refusals while all endpoints were excluded
// would use up all attempts.
func (rd *round) wait() error {
	err := rd.group.Wait()
	for _, a := range rd.started {
		if a.endpointID() != "" {
			rd.parent.attempts++
		}
		rd.parent.mayHaveArrived = rd.parent.mayHaveArrived || a.sent.Load()
	}
	return err
}

// cancelStalled cancels attempts whose endpoints have exceeded the idle timeout.
func (rd *round) cancelStalled() {
	for _, a := range rd.running {
		if rd.winner != nil && rd.winner != a {
			continue
		}
		a.cancel(errStalled)
		rd.parent.exclude(a)
	}
}

// handleFailure removes a failed attempt. The round fails with its last attempt.
func (rd *round) handleFailure(event failureEvent) error {
	a := event.attempt
	if rd.winner != nil && rd.winner != a {
		return nil
	}
	rd.parent.exclude(a)
	for i, other := range rd.running {
		if other == a {
			rd.running = append(rd.running[:i], rd.running[i+1:]...)
			break
		}
	}
	if rd.winner == nil && len(rd.running) > 0 {
		return nil
	}
	return event.err
}

// perform acquires an endpoint and makes the attempt. Every path releases the grant exactly once.
func (a *attempt) perform(ctx context.Context, events chan<- event) {
	queuedAt := time.Now()
	grant, err := a.parent.dispatcher.cfg.Scheduler.Acquire(ctx, a.work)
	if err != nil {
		a.emit(ctx, events, failureEvent{attempt: a, err: err})
		return
	}
	a.parent.dispatcher.cfg.Meter.ObserveQueue(a.parent.request.Tenant, a.parent.class.Name, time.Since(queuedAt))
	target := grant.Target()
	a.target.Store(&target)
	final := a.execute(ctx, grant, events)
	// The grant is released before the round learns of the end, so that the caller's next request
	// already sees the endpoint's reduced load.
	grant.Done(a.schedulerResult(ctx, final))
	a.parent.dispatcher.logAttempt(a.parent.request, a.id, target.EndpointID, eventError(final))
	a.emit(ctx, events, final)
}

// execute makes the attempt at the granted endpoint and returns its last event.
func (a *attempt) execute(ctx context.Context, grant scheduler.Grant, events chan<- event) event {
	if a.parent.class.Kind == configurer.KindCall {
		return a.call(ctx, grant)
	}
	return a.generate(ctx, grant, events)
}

// schedulerResult converts an attempt's last event to the result reported to the scheduler.
func (a *attempt) schedulerResult(ctx context.Context, final event) scheduler.Result {
	switch final := final.(type) {
	case endEvent:
		return scheduler.Completed{End: final.end}
	case answerEvent:
		return scheduler.Completed{}
	case failureEvent:
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
			return scheduler.Failed{Err: final.err}
		}
		if a.isStalled.Load() {
			return scheduler.Failed{Err: errStalled}
		}
		return scheduler.Abandoned{}
	default:
		return scheduler.Abandoned{}
	}
}

func (a *attempt) emit(ctx context.Context, events chan<- event, event event) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *attempt) call(ctx context.Context, grant scheduler.Grant) event {
	a.sent.Store(true)
	answer, err := a.parent.dispatcher.cfg.Driver.Call(ctx, grant.Target(), driver.ServiceCall{
		AttemptID: a.id, Application: a.parent.class.Application,
		Operation: a.parent.request.Operation, Body: a.parent.request.Body,
	})
	if err != nil {
		a.markUnsent(err)
		return failureEvent{attempt: a, err: err}
	}
	return answerEvent{attempt: a, answer: answer}
}

func (a *attempt) markUnsent(err error) {
	if !mayHaveRun(err) {
		a.sent.Store(false)
	}
}

func (a *attempt) generate(ctx context.Context, grant scheduler.Grant, events chan<- event) event {
	call := driver.GenerateCall{
		AttemptID: a.id, Application: a.parent.class.Application, Prompt: a.parent.request.Prompt,
		PrefixKey: a.parent.request.PrefixKey, PrefixTokens: a.parent.request.PrefixTokens,
		MaxOutputTokens: a.parent.request.MaxOutputTokens, Priority: grant.Priority(),
		ResumeTokens: a.resumeTokens, Import: a.prefill(ctx, grant),
	}
	a.sent.Store(true)
	stream, err := a.parent.dispatcher.cfg.Driver.Generate(ctx, grant.Target(), call)
	if err != nil {
		a.markUnsent(err)
		return failureEvent{attempt: a, err: err}
	}
	defer func() { _ = stream.Close() }()
	return a.forwardStream(ctx, grant, stream, events)
}

// prefill makes another engine compute the KV cache if the scheduler chose one. Otherwise the
// decoding engine computes it.
func (a *attempt) prefill(ctx context.Context, grant scheduler.Grant) *driver.KVHandle {
	target, ok := grant.PrefillTarget()
	if !ok {
		return nil
	}
	handle, err := a.parent.dispatcher.cfg.Driver.Prefill(ctx, target, driver.GenerateCall{
		AttemptID: a.id + "-prefill", Application: a.parent.class.Application, Prompt: a.parent.request.Prompt,
		PrefixKey: a.parent.request.PrefixKey, PrefixTokens: a.parent.request.PrefixTokens,
		MaxOutputTokens: a.parent.request.MaxOutputTokens, Priority: grant.Priority(), ResumeTokens: a.resumeTokens,
	})
	if ctx.Err() == nil {
		grant.PrefillDone(err)
	}
	if err != nil {
		a.parent.dispatcher.cfg.Logger.Debug("prefill on another engine failed", "request_id", a.parent.request.RequestID, "attempt_id", a.id, "endpoint_id", target.EndpointID, "error", err)
		return nil
	}
	return &handle
}

// forwardStream passes on a stream's tokens and returns the last event.
func (a *attempt) forwardStream(ctx context.Context, grant scheduler.Grant, stream driver.GenerateStream, events chan<- event) event {
	for {
		next, err := stream.Next()
		if errors.Is(err, io.EOF) {
			err = driver.ErrOutcomeUnknown
		}
		if err != nil {
			return failureEvent{attempt: a, err: err}
		}
		switch next := next.(type) {
		case driver.Token:
			grant.TokenReceived()
			if !a.emit(ctx, events, tokenEvent{attempt: a, token: next}) {
				return failureEvent{attempt: a, err: context.Cause(ctx)}
			}
		case driver.End:
			return endEvent{attempt: a, end: next}
		}
	}
}
