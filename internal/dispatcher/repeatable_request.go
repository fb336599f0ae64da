package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Errors that this host ends an attempt with.
var (
	errStalled    = errors.New("endpoint fell silent")
	errTruncated  = errors.New("answer ended short of its own count")
	errOutOfOrder = errors.New("token out of order")
	errSuperseded = errors.New("another attempt answered first")
	errCallerGone = errors.New("caller went away")
)

// repeatableRequest is one repeatable request: a generation or a repeatable call. It runs in
// consecutive rounds; a round is an attempt and possibly a hedge in parallel.
type repeatableRequest struct {
	dispatcher *Dispatcher
	request    Request
	class      configurer.Class
	arrived    time.Time
	onToken    TokenFunc

	delivered  []string // tokens that the caller has
	body       []byte   // of a call's answer
	end        driver.End
	firstToken time.Duration
	lastToken  time.Time

	attempts       int  // attempts that were granted an endpoint, in finished rounds
	mayHaveArrived bool // an endpoint may have received an attempt
	excluded       []string
	backoffs       int // number of waits after all endpoints had failed
}

func newRepeatableRequest(d *Dispatcher, request Request, class configurer.Class, arrived time.Time, onToken TokenFunc) *repeatableRequest {
	d.retries.deposit()
	d.resumes.deposit()
	return &repeatableRequest{dispatcher: d, request: request, class: class, arrived: arrived, onToken: onToken}
}

// run runs rounds until the answer is complete or no other round is allowed.
func (r *repeatableRequest) run(ctx context.Context) (answer Answer, err error) {
	for {
		err = r.runRound(ctx)
		if err == nil {
			return r.answer(), nil
		}
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return answer, r.newFailure(ReasonCallerGone, "caller went away", 0)
		}
		var refusal *scheduler.RefusalError
		if errors.As(err, &refusal) {
			if r.waitForEndpoint(ctx, refusal) {
				continue
			}
			return answer, r.newFailure(string(refusal.Reason), refusal.Error(), refusal.RetryAfter)
		}
		if !r.mayRetry() {
			return answer, r.newFailure(r.failureReason(err), err.Error(), faultRetryAfter)
		}
		r.dispatcher.cfg.Meter.CountRetry(r.class.Name)
	}
}

func (r *repeatableRequest) answer() Answer {
	return Answer{
		RequestID: r.request.RequestID, Text: strings.Join(r.delivered, ""), Body: r.body,
		OutputTokens: r.end.OutputTokens, PromptTokens: r.end.PromptTokens, ReusedTokens: r.end.ReusedTokens,
		Attempts: r.attempts, FirstToken: r.firstToken, Completion: time.Since(r.arrived),
	}
}

// newFailure returns a failure with the outcome not_run only if no attempt can have reached an
// endpoint.
func (r *repeatableRequest) newFailure(reason, detail string, retryAfter time.Duration) *FailureError {
	outcome := OutcomeNotRun
	if r.mayHaveArrived {
		outcome = OutcomeUnknown
	}
	if reason == ReasonEndpointFailed {
		outcome = OutcomeFailed
	}
	return &FailureError{
		RequestID: r.request.RequestID, Outcome: outcome,
		Reason: reason, Detail: detail, RetryAfter: retryAfter,
	}
}

func (r *repeatableRequest) failureReason(err error) string {
	if errors.Is(err, driver.ErrFailed) {
		return ReasonEndpointFailed
	}
	return ReasonEndpointLost
}

// mayRetry reports whether another round may follow a failed one.
func (r *repeatableRequest) mayRetry() bool {
	if time.Since(r.arrived) > giveUpFactor*r.class.CompletionTarget() {
		return false
	}
	if len(r.delivered) > 0 {
		return r.dispatcher.resumes.tryWithdraw()
	}
	return r.attempts < r.dispatcher.cfg.MaxAttempts && r.dispatcher.retries.tryWithdraw()
}

// waitForEndpoint waits and reports whether to try again after a refusal. It does so if the
// request's own attempts have failed, or if part of the answer was delivered or an endpoint may
// have run the request. In the latter two cases the request is retried until its answer would be
// useless: abandoned earlier, it would end with an unknown outcome although it may be repeated
// and late attempts are still made.
func (r *repeatableRequest) waitForEndpoint(ctx context.Context, refusal *scheduler.RefusalError) bool {
	isStarted := len(r.delivered) > 0 || r.mayHaveArrived
	if !isStarted && !endpointsMayRecover(refusal, r.excluded, r.backoffs) {
		return false
	}
	limit := r.class.CompletionTarget()
	if isStarted {
		limit *= giveUpFactor
	}
	if time.Since(r.arrived) > limit {
		return false
	}
	r.excluded = nil
	r.backoffs++
	return waitBackoff(ctx, r.backoffs) == nil
}

// endpointsMayRecover reports whether the endpoints that a request has tried may soon be
// available again. Engines that load a new version one after the other refuse the request in
// turn: once its exclusions are cleared, the next try may find the first engine not ready yet and
// the last one draining. Without the wait, requests were refused that could have been served a
// second later; an unlimited wait would hold requests back when the endpoints are removed for
// good.
func endpointsMayRecover(refusal *scheduler.RefusalError, excluded []string, backoffs int) bool {
	if refusal.Reason != scheduler.ReasonNoEndpoint {
		return false
	}
	return len(excluded) > 0 || backoffs > 0 && backoffs < maxBackoffs
}

// backoffDelay returns a jittered delay that grows with the number of waits.
func backoffDelay(n int) time.Duration {
	d := min(minBackoff<<min(n-1, 10), maxBackoff)
	return d/2 + rand.N(d/2)
}

// waitBackoff waits for a jittered delay that grows with n.
func waitBackoff(ctx context.Context, n int) error {
	timer := time.NewTimer(backoffDelay(n))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// runRound makes one attempt, and hedges it with a second one if it is late. The first attempt
// that yields a token or an answer wins; the other one is cancelled at its endpoint before
// runRound returns.
func (r *repeatableRequest) runRound(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	rd := &round{parent: r, events: make(chan event), group: &errgroup.Group{}}
	defer func() {
		cancel()
		err = errors.Join(err, rd.wait())
	}()
	rd.start(ctx)
	hedgeTimer, hedgeDue := timekeeper.NewTimer(r.hedgeDelay())
	defer hedgeTimer.Stop()
	// Until the first token, the idle timeout of a round is the completion target, after which
	// waiting for the same endpoints is useless. Both timers stop while this process is frozen or
	// suspended: events that arrived meanwhile are still to be read, and hedging all requests at
	// once would double the load.
	stallTimer, stalled := timekeeper.NewTimer(max(r.class.CompletionTarget(), r.dispatcher.cfg.StallTimeout))
	defer stallTimer.Stop()
	retryTimer, retryDue := timekeeper.NewTimer(neverDelay)
	defer retryTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hedgeDue:
			if !rd.hedge(ctx) {
				hedgeTimer.Reset(r.hedgeDelay())
			}
		case <-stalled:
			if rd.startParallelRetry(ctx) {
				stallTimer.Reset(max(time.Until(r.giveUpTime()), r.dispatcher.cfg.StallTimeout))
				continue
			}
			rd.cancelStalled()
			return errStalled
		case <-retryDue:
			rd.start(ctx)
		case event := <-rd.events:
			done, err := rd.handle(event)
			if done || err != nil {
				return err
			}
			if rd.isParallelRetryRefused(event) {
				r.backoffs++
				retryTimer.Reset(backoffDelay(r.backoffs))
			}
			if rd.winner != nil {
				hedgeTimer.Stop()
				retryTimer.Stop()
				stallTimer.Reset(r.dispatcher.cfg.StallTimeout)
			}
		}
	}
}

// neverDelay is the delay of a timer that must not fire.
const neverDelay = time.Duration(1<<63 - 1)

// hedgeDelay returns how long to wait for the first token, or for a call's answer, before a
// second attempt starts.
func (r *repeatableRequest) hedgeDelay() time.Duration {
	fraction := r.dispatcher.cfg.HedgeDelayFraction
	target := r.class.FirstTokenTarget()
	if target == 0 {
		target = r.class.CompletionTarget()
	}
	if fraction < 0 {
		return neverDelay
	}
	return time.Duration(fraction * float64(target))
}

func (r *repeatableRequest) exclude(a *attempt) {
	if endpointID := a.endpointID(); endpointID != "" {
		r.excluded = append(r.excluded, endpointID)
	}
}

func (r *repeatableRequest) work() scheduler.Work {
	work := scheduler.Work{
		RequestID: r.request.RequestID, Class: r.class, Arrived: r.arrived,
		PromptTokens: estimatePromptTokens(r.request.Prompt), PrefixKey: r.request.PrefixKey,
		PrefixTokens: r.request.PrefixTokens, MaxOutputTokens: r.request.MaxOutputTokens,
		DeliveredTokens: len(r.delivered), Excluded: append([]string(nil), r.excluded...), IsAdmitted: r.backoffs > 0,
	}
	if r.mayHaveArrived {
		work.RetryUntil = r.giveUpTime()
	}
	return work
}

// giveUpTime returns until when late attempts are made and late answers are useful.
func (r *repeatableRequest) giveUpTime() time.Time {
	return r.arrived.Add(giveUpFactor * r.class.CompletionTarget())
}

// bytesPerToken is used to estimate a prompt's tokens before an engine has counted them.
const bytesPerToken = 4

func estimatePromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// deliverToken passes a token on to the caller.
func (r *repeatableRequest) deliverToken(token driver.Token, now time.Time) error {
	if token.Sequence != len(r.delivered) {
		return errOutOfOrder
	}
	if len(r.delivered) == 0 {
		r.firstToken = now.Sub(r.arrived)
	} else {
		r.dispatcher.cfg.Meter.ObserveBetweenTokens(r.request.Tenant, r.class.Name, now.Sub(r.lastToken))
	}
	r.lastToken = now
	r.delivered = append(r.delivered, token.Text)
	if r.onToken == nil {
		return nil
	}
	if err := r.onToken(token); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// acceptEnd checks that the answer is complete.
func (r *repeatableRequest) acceptEnd(end driver.End) error {
	if end.OutputTokens != len(r.delivered) {
		return errTruncated
	}
	r.end = end
	return nil
}
