package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/quarantiner"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/scheduler"
)

const (
	// maxBufferedAnswerBytes limits the size of answers that are buffered until they are
	// complete.
	maxBufferedAnswerBytes = 8 << 20
	// maxSends limits how often one request is sent to endpoints, including those that refuse it.
	maxSends = 4
)

var (
	errTimeout = errors.New("time for the request is over")
	// errEndpointUnavailable means that the endpoint stopped accepting the request after it was
	// chosen: it is shutting down, has asked for backoff, or this host's slot of the endpoint's
	// limit has passed.
	errEndpointUnavailable = errors.New("endpoint no longer takes work")
	// errEndpointFault means that an endpoint answered with a server error.
	errEndpointFault = errors.New("endpoint reported a fault of its own")
	// errQuarantined means that the request must not be sent to another endpoint.
	errQuarantined = errors.New("endpoints crash that run the request")
)

// forwardedRequest is the state of one opaque request while it is forwarded.
type forwardedRequest struct {
	forwarder    *Forwarder
	request      *OpaqueRequest
	writer       AnswerWriter
	application  string
	repeatBudget *repeatBudget

	suspendedBefore time.Duration // SuspendedTime of the host when the request arrived

	identity  quarantiner.Request
	admission quarantiner.Admission
	isTrial   atomic.Bool // the request is quarantined and runs as a trial
	hasEvents atomic.Bool // an event of its answer has arrived from an endpoint
	// streamState is streamNotBegun, streamBegun or streamCancelled.
	streamState atomic.Int32

	charge Charge // against its tenant's limit

	sends int // calls sent to an endpoint, without prefills
	runs  int // number of sends that may have run
	// allowedRuns is how many runs the host that passed this request on allows here.
	allowedRuns int
	prefills    int            // prefills that an engine accepted
	sentTo      map[string]int // sends and prefills by the address of the endpoint
	excluded    []string
	// failedConnections is the number of attempts in which no connection to the endpoint could
	// be opened.
	failedConnections int
	isAdmitted        bool            // an attempt was given an endpoint
	isCounted         bool            // the request is in the demand of this host's callers
	triedPeers        []string        // ids of the peers that the request was passed to
	isAtPeer          bool            // a peer relays the answer of the present attempt
	basis             scheduler.Basis // scheduling basis of the latest attempt
	timings           requestTimings

	lastAttempt attemptState

	cacheHandle  *driver.KVHandle // of the prompt's KV cache, not fetched by an engine yet
	cacheReadyAt time.Time

	isHeaderSent bool     // the status and header have been sent to the caller
	ids          eventIDs // of the events that the caller has
	// softwareVersion is that of the endpoint that began the stream: only endpoints of the same
	// one may go on with it. Empty before its first event.
	softwareVersion string
	// isVersionUnknown is true for a stream that a peer began without stating its software version.
	isVersionUnknown bool
	eventsSent       int // number of events that the caller has
	faultAnswer      *bufferedAnswer
}

// attemptState describes a request's latest send or prefill.
type attemptState struct {
	target          driver.Target // of a send by this host
	softwareVersion string        // of the endpoint, or stated by the peer
	sentAt          time.Time
	firstEventAt    time.Time     // of its first event; zero if none has arrived
	reportedAge     time.Duration // of the run, when it was last reported as going on
}

// requestTimings states where a request's time was spent, over all its attempts.
type requestTimings struct {
	queued           time.Duration // total time until endpoints were granted
	prefill          time.Duration // total time of prefills by other engines
	firstEvent       time.Duration // from arrival to the first event; 0: none
	maxEventInterval time.Duration // longest time between two forwarded events
	lastEventAt      time.Time     // of the latest event
}

func newForwardedRequest(f *Forwarder, request *OpaqueRequest, writer AnswerWriter) *forwardedRequest {
	request.Prompt = request.Prompt.bounded()
	fr := &forwardedRequest{
		forwarder: f, request: request, writer: writer, identity: identityOf(request), allowedRuns: 1,
		suspendedBefore: f.cfg.SuspendedTime(),
	}
	fr.ids.add(streamEvent{id: request.ResumeAfter})
	if origin := request.Origin; origin != nil {
		fr.runs, fr.eventsSent, fr.isHeaderSent = origin.Runs, origin.Events, origin.IsHeaderSent
		if fr.isHeaderSent {
			fr.streamState.Store(streamBegun)
		}
		fr.softwareVersion = origin.SoftwareVersion
		fr.setApplication(origin.Application)
	} else {
		fr.setApplication(pickApplication(request.Class.Shares))
	}
	return fr
}

func (fr *forwardedRequest) setApplication(name string) {
	fr.application, fr.identity.Application, fr.repeatBudget = name, name, fr.forwarder.repeatBudget(name)
}

// identityOf returns the properties that identify a request when it is sent again.
func identityOf(request *OpaqueRequest) quarantiner.Request {
	payload := &request.Payload
	return quarantiner.Request{
		Method: payload.Method, Host: payload.Host, Path: payload.Path, Body: payload.Body, Parts: sharedPartIDs(&request.Prompt),
	}
}

// admitAndRun runs a request unless it is quarantined or exceeds its tenant's limit.
func (fr *forwardedRequest) admitAndRun(ctx context.Context) error {
	if err := fr.checkStop(); err != nil {
		return fr.finishUnserved(ctx, err)
	}
	if fr.request.Origin == nil {
		fr.repeatBudget.deposit()
	}
	fr.forwarder.cfg.Quarantine.AwaitSync(ctx)
	fr.admission = fr.forwarder.cfg.Quarantine.Admit(&fr.identity)
	fr.isTrial.Store(fr.admission.IsTrial)
	if fr.admission.IsRefused {
		return fr.finishUnserved(ctx, errQuarantined)
	}
	if err := fr.chargeOnArrival(ctx); err != nil {
		return fr.finishUnserved(ctx, err)
	}
	return fr.run(ctx)
}

// pickApplication picks an application at random, in proportion to the weights.
func pickApplication(shares []classifier.Share) string {
	total := 0.0 // of any weights, without overflow
	for _, share := range shares {
		total += float64(max(share.Weight, 0))
	}
	n := rand.Float64() * total
	for _, share := range shares {
		if n -= float64(max(share.Weight, 0)); n < 0 {
			return share.Application
		}
	}
	return shares[0].Application
}

// run makes attempts until the answer is complete or no other attempt is allowed.
func (fr *forwardedRequest) run(ctx context.Context) error {
	for {
		err := fr.next(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil && fr.mayRepeat(err) && fr.isRunAllowed(ctx) {
			fr.forwarder.cfg.Meter.CountRetry(fr.request.Class.Name)
			fr.forwarder.requestLog.logRepeat(fr)
			continue
		}
		return fr.finishUnserved(ctx, err)
	}
}

// attempt acquires an endpoint and sends the request to it once.
func (fr *forwardedRequest) attempt(ctx context.Context) error {
	if fr.isBlamed() {
		return errQuarantined
	}
	queuedAt := time.Now()
	ctx, attempt := fr.beginAttempt(ctx)
	defer attempt.end()
	work := fr.work()
	fr.isCounted = true
	grant, err := fr.forwarder.cfg.Scheduler.Acquire(ctx, work)
	if fr.isCacheUnusable(err) {
		fr.dropCache()
		grant, err = fr.forwarder.cfg.Scheduler.Acquire(ctx, fr.work())
	}
	if err != nil {
		return pathLost(ctx, err)
	}
	fr.isAdmitted = true
	if prefill, ok := grant.PrefillTarget(); ok && !fr.hasCache() {
		attempt.setTarget(true, prefill)
	} else {
		attempt.setTarget(fr.mayAbandon(), grant.Target())
	}
	fr.basis = grant.Basis()
	fr.timings.queued += time.Since(queuedAt)
	fr.forwarder.cfg.Meter.ObserveQueue("", fr.request.Class.Name, time.Since(queuedAt))
	err = fr.chargeBeforeSend(ctx)
	if err == nil && fr.isBlamed() {
		err = errQuarantined
	}
	if err == nil {
		err = fr.prefill(ctx, grant)
	}
	if err == nil && fr.isBlamed() {
		err = errQuarantined
	}
	if err != nil {
		grant.Done(scheduler.Abandoned{})
		return pathLost(ctx, err)
	}
	attempt.setTarget(fr.mayAbandon(), grant.Target())
	err = fr.send(ctx, grant)
	fr.reportToQuarantine(ctx, grant.Target(), err)
	grant.Done(fr.schedulerResult(ctx, err))
	if err != nil {
		fr.exclude(grant.Target(), err)
		fr.forwarder.requestLog.logFailedAttempt(fr, grant, stepSend, grant.Target(), err)
	}
	if fr.isCacheSpent(err) {
		fr.cacheHandle = nil
	}
	return err
}

// isBlamed reports whether the request has been quarantined since it was admitted. It may wait for an
// endpoint, or for another one after it has begun to answer.
func (fr *forwardedRequest) isBlamed() bool {
	return !fr.isTrial.Load() && fr.forwarder.cfg.Quarantine.IsQuarantined(&fr.identity)
}

// exclude excludes an endpoint that failed the request from further attempts. An endpoint that
// only stopped accepting requests before anything was sent may be chosen again later.
func (fr *forwardedRequest) exclude(target driver.Target, err error) {
	if !errors.Is(err, driver.ErrNotNeeded) {
		fr.excluded = append(fr.excluded, target.EndpointID)
	}
}

// reportToQuarantine reports how a call to an endpoint ended: whether the endpoint's process is
// still running, and whether it has run this request.
func (fr *forwardedRequest) reportToQuarantine(ctx context.Context, target driver.Target, err error) {
	quarantine := fr.forwarder.cfg.Quarantine
	switch {
	case err == nil || errors.Is(err, errEndpointFault):
		quarantine.RunSucceeded(&fr.identity, err == nil)
	case errors.Is(err, driver.ErrReplaced): // a refused connection may be this host's own fault
		quarantine.ProcessExited(target.Process())
	case errors.Is(err, driver.ErrOutcomeUnknown) && fr.isInterrupted(ctx):
		interruption := quarantiner.InterruptedRun{Request: &fr.identity, Target: target, SinceSend: time.Since(fr.lastAttempt.sentAt)}
		if !fr.lastAttempt.firstEventAt.IsZero() {
			interruption.SinceFirstEvent = time.Since(fr.lastAttempt.firstEventAt)
		}
		quarantine.RunInterrupted(interruption)
	}
}

// silentRunTime is the time without an event after which a run that reaches its time limit counts as
// interrupted by its endpoint.
const silentRunTime = 500 * time.Millisecond

// isInterrupted reports whether a run without an outcome was probably ended by its endpoint or the path
// to it. A host may notice the exit of an endpoint only after the run's time limit.
func (fr *forwardedRequest) isInterrupted(ctx context.Context) bool {
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errPathLost):
		return true
	case errors.Is(cause, errTimeout):
		return !fr.lastAttempt.firstEventAt.IsZero() && time.Since(fr.timings.lastEventAt) >= silentRunTime
	default:
		return false
	}
}

// isCacheSpent reports whether the KV cache can't be relied on any more: the endpoint may have
// fetched it, or refused the request because fetching failed. An endpoint's refusal doesn't
// distinguish this from a lack of capacity.
func (fr *forwardedRequest) isCacheSpent(err error) bool {
	return !errors.Is(err, driver.ErrNotSent) && !errors.Is(err, driver.ErrReplaced) && !errors.Is(err, driver.ErrWrongRole)
}

// isCacheUnusable reports whether a refusal is due to the KV cache alone: no endpoint of the
// software version that has written it is left.
func (fr *forwardedRequest) isCacheUnusable(err error) bool {
	refusal := refusalOf(err)
	return refusal != nil && refusal.Reason == scheduler.ReasonNoVersion && fr.softwareVersion == "" && fr.cacheHandle != nil
}

// dropCache releases the KV cache if there is one.
func (fr *forwardedRequest) dropCache() {
	if fr.cacheHandle != nil {
		fr.forwarder.releaseCache(*fr.cacheHandle)
		fr.cacheHandle = nil
	}
}

// neededVersion returns the software version that the next endpoint must have; empty: any.
func (fr *forwardedRequest) neededVersion() string {
	if fr.softwareVersion == "" && fr.hasCache() {
		return fr.cacheHandle.SoftwareVersion
	}
	return fr.softwareVersion
}

func (fr *forwardedRequest) work() scheduler.Work {
	if !fr.hasCache() {
		fr.dropCache()
	}
	class := fr.request.Class.Class
	class.Application = fr.application
	return scheduler.Work{
		RequestID: fr.request.ID, Class: class, Arrived: fr.request.Arrived,
		Rank: fr.request.Class.Precedence(), Tenant: fr.request.Tenant, TimeLimit: fr.request.Class.Timeout, CallerTimeLeft: fr.request.CallerTimeout,
		IsAdmitted: fr.isAdmitted || fr.runs > 0, IsFromPeer: fr.request.Origin != nil, IsCounted: fr.isCounted,
		PromptTokens: fr.request.Prompt.Tokens, PrefixKey: fr.request.Prompt.PrefixKey,
		PrefixTokens: fr.request.Prompt.PrefixTokens, PrefixParts: fr.request.Prompt.PrefixParts, MaxOutputTokens: fr.request.Prompt.MaxOutputTokens,
		DeliveredTokens: fr.eventsSent, Excluded: fr.excluded, IsPrefilled: fr.hasCache(),
		SoftwareVersion: fr.neededVersion(), IsResumed: fr.request.Class.IsResumable && fr.isTakenUp(),
	}
}

// schedulerResult converts the outcome of an attempt to the result reported to the scheduler.
func (fr *forwardedRequest) schedulerResult(ctx context.Context, err error) scheduler.Result {
	limit, _ := responselimiter.ExceededLimit(err)
	switch {
	case err == nil:
		return scheduler.Completed{End: driver.End{OutputTokens: fr.eventsSent, ReusedTokens: -1}}
	case errors.Is(err, errEndpointFault):
		return scheduler.Completed{}
	case ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, driver.ErrNotNeeded):
		return scheduler.Abandoned{}
	case limit == responselimiter.BufferedBytes:
		return scheduler.Abandoned{} // the answers of other endpoints may hold the memory
	default:
		return scheduler.Failed{Err: err}
	}
}

// prefill makes another engine prefill the prompt if the scheduler chose one.
func (fr *forwardedRequest) prefill(ctx context.Context, grant scheduler.Grant) error {
	target, ok := grant.PrefillTarget()
	if !ok {
		return nil
	}
	call := fr.newCall(target)
	call.IsStillNeeded = grant.IsPrefillAvailable
	if holder, ok := grant.FetchSource(); ok {
		call.FetchFrom = holder.Address
	}
	startedAt := time.Now()
	fr.lastAttempt = attemptState{sentAt: startedAt}
	handle, err := fr.forwarder.cfg.Driver.ForwardPrefill(ctx, target, call)
	fr.timings.prefill += time.Since(startedAt)
	fr.recordSend(target, err)
	if err == nil {
		grant.PrefillDone(nil)
		fr.prefills++
		fr.cacheHandle, fr.cacheReadyAt = &handle, time.Now()
		return nil
	}
	fr.forwarder.requestLog.logFailedAttempt(fr, grant, stepPrefill, target, err)
	if errors.Is(err, driver.ErrNotNeeded) {
		return err
	}
	if ctx.Err() == nil {
		grant.PrefillDone(err)
	}
	fr.reportToQuarantine(ctx, target, err)
	fr.exclude(target, err)
	return &prefillError{cause: err}
}

// recordSend records a call to an endpoint unless err says that it was not sent.
func (fr *forwardedRequest) recordSend(target driver.Target, err error) {
	if driver.RunStateOf(err) == driver.RunNotSent {
		return
	}
	if fr.sentTo == nil {
		fr.sentTo = map[string]int{}
	}
	fr.sentTo[target.Address]++
}

func (fr *forwardedRequest) newCall(target driver.Target) driver.ForwardCall {
	call := driver.ForwardCall{
		RequestID: fr.request.ID, Payload: fr.request.Payload, Urgency: min(fr.request.Class.Rank, maxUrgency),
		ResumeAfter: fr.ids.last, Tenant: fr.request.Tenant, IsSentAgain: fr.sentTo[target.Address] > 0,
	}
	call.TimeLeft = max(fr.remainingTime(), time.Millisecond)
	return call
}

// maxUrgency is the least urgent rank that engines distinguish.
const maxUrgency = 9

// send sends the request and forwards the answer.
func (fr *forwardedRequest) send(ctx context.Context, grant scheduler.Grant) error {
	if !grant.IsAvailable() {
		return fmt.Errorf("%w: %w", driver.ErrNotNeeded, errEndpointUnavailable)
	}
	if fr.remainingTime() <= 0 {
		return fmt.Errorf("%w: %w", driver.ErrNotSent, errTimeout)
	}
	if err := fr.checkStop(); err != nil {
		return fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	call := fr.newCall(grant.Target())
	call.Import, call.IsStillNeeded = fr.cacheHandle, grant.IsAvailable
	fr.lastAttempt = attemptState{sentAt: time.Now(), target: grant.Target(), softwareVersion: grant.Target().SoftwareVersion}
	answer, err := fr.forwarder.cfg.Driver.Forward(ctx, grant.Target(), call)
	fr.recordSend(grant.Target(), err)
	if driver.RunStateOf(err) != driver.RunNotSent {
		fr.sends++
	}
	if err != nil {
		if mayHaveRun(err) {
			fr.runs++
		}
		return err
	}
	fr.runs++
	defer answer.Body.Close()
	isStream := fr.request.Class.Kind == configurer.KindGenerate && answer.Status < http.StatusMultipleChoices
	if isStream {
		return fr.forwardEvents(ctx, grant, &answer)
	}
	fr.reportRunStarted()
	return fr.forwardBuffered(ctx, &answer)
}
