package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

const (
	// failureLogRate is the maximum number of log lines per second about failures. A host serves
	// tens of requests per second. Under a flood of failures the first lines show the cause, and
	// the count of omitted lines shows the extent.
	failureLogRate = 60
	// failureLogBurst is the maximum number of such lines in a burst.
	failureLogBurst = 120
	// servedLogRate is the maximum number of log lines per second about requests that were served
	// by their first send. Its separate limit keeps these lines from displacing lines about
	// failures.
	servedLogRate  = 60
	servedLogBurst = 60
	// passLogRate is the maximum number of log lines per second about requests that are passed to
	// peers. A host without a path to endpoints passes on all its requests.
	passLogRate  = 60
	passLogBurst = 60
)

// requestLogger writes log lines about requests: one for each decision on a request that wasn't
// served by its first send, and one for the end of each request.
type requestLogger struct {
	logger              hclog.Logger
	storeUnreachableFor func() time.Duration
	failureLimiter      *rate.Limiter // of lines about failures and repeats
	servedLimiter       *rate.Limiter // of lines about requests served by their first send
	passLimiter         *rate.Limiter // of lines about requests that are passed to peers
	droppedLines        counter       // lines omitted since the last one that was written
}

func newRequestLogger(logger hclog.Logger, storeUnreachableFor func() time.Duration) *requestLogger {
	if storeUnreachableFor == nil {
		storeUnreachableFor = func() time.Duration { return 0 }
	}
	return &requestLogger{
		logger: logger, storeUnreachableFor: storeUnreachableFor, failureLimiter: rate.NewLimiter(failureLogRate, failureLogBurst),
		servedLimiter: rate.NewLimiter(servedLogRate, servedLogBurst), passLimiter: rate.NewLimiter(passLogRate, passLogBurst),
	}
}

// write writes a line within the rate limit for failures. The number of omitted lines is added to
// the next line that is written.
func (l *requestLogger) write(level hclog.Level, message string, fr *forwardedRequest, args ...any) {
	l.writeLimited(l.failureLimiter, level, message, fr, args...)
}

func (l *requestLogger) writeLimited(limiter *rate.Limiter, level hclog.Level, message string, fr *forwardedRequest, args ...any) {
	if !limiter.Allow() {
		l.droppedLines.add()
		return
	}
	args = append([]any{
		"request_id", LoggedID(fr.request.ID), "class", fr.request.Class.Name, "application", fr.application,
		"age_ms", time.Since(fr.request.Arrived).Milliseconds(),
	}, args...)
	if dropped := l.droppedLines.takeAndReset(); dropped > 0 {
		args = append(args, "lines_left_out", dropped)
	}
	l.logger.Log(level, message, args...)
}

// maxLoggedIDBytes limits a request id in log lines. Callers choose their ids.
const maxLoggedIDBytes = 128

// LoggedID returns a request id as log lines show it.
func LoggedID(id string) string {
	if len(id) > maxLoggedIDBytes {
		return id[:maxLoggedIDBytes] + "..."
	}
	return id
}

// Steps of an attempt.
const (
	stepPrefill = "prefill"
	stepSend    = "send"
)

// logFailedAttempt logs a failed attempt, why it counts as run or not run, and what the choice of its
// endpoint was based on.
func (l *requestLogger) logFailedAttempt(fr *forwardedRequest, grant scheduler.Grant, step string, target driver.Target, err error) {
	basis := grant.Basis()
	args := []any{
		"step", step, "endpoint_id", basis.EndpointID, "software_version", basis.SoftwareVersion, "error", err.Error(),
		"run_state", runStateOf(err), "address", target.Address, "sends_to_address", fr.sentTo[target.Address],
		"requests_there", basis.Requests, "peers_part", basis.PeerRequests, "prompt_tokens_ahead", basis.TokensAhead,
		"estimated_first_ms", basis.FirstToken.Milliseconds(), "listed_for_ms", basis.RoleAge.Milliseconds(),
		"sends", fr.sends, "may_have_run", fr.runs > 0,
	}
	if runStateOf(err) != driver.RunNotSent {
		args = append(args, "took_ms", time.Since(fr.lastAttempt.sentAt).Milliseconds())
	}
	if errors.Is(err, driver.ErrOutcomeUnknown) {
		args = append(args, interruptionArgs(fr)...)
	}
	args = append(args, resumptionArgs(fr)...)
	l.write(hclog.Info, "attempt failed", fr, append(args, l.listEntryArgs(&basis)...)...)
}

// logPass logs that a request is passed to a peer.
func (l *requestLogger) logPass(fr *forwardedRequest, hostID string, request *PeerRequest) {
	l.writeLimited(l.passLimiter, hclog.Info, "request passed to peer", fr, "peer", hostID, "sends", fr.sends, "runs", fr.runs,
		"is_refused", request.IsRefused, "failed_connections", fr.failedConnections, "tried_peers", request.Excluded)
}

// logRunGrant logs whether a peer that has asked may run a request once more.
func (l *requestLogger) logRunGrant(fr *forwardedRequest, hostID string, allowed int, ok bool) {
	l.write(hclog.Info, "peer requested another run", fr, "peer", hostID, "allowed_runs", allowed, "is_allowed", ok)
}

// logRunRequest logs that this host has asked for another run of a request that it received from a
// peer, and the answer.
func (l *requestLogger) logRunRequest(fr *forwardedRequest, err error) {
	args := append(hostArgs(fr), "runs", fr.runs, "allowed_runs", fr.allowedRuns, "is_allowed", err == nil)
	if err != nil {
		args = append(args, "error", err.Error())
	}
	l.write(hclog.Info, "another run requested", fr, args...)
}

// logFailedPeerAttempt logs a request that a peer could not serve.
func (l *requestLogger) logFailedPeerAttempt(fr *forwardedRequest, hostID string, err error) {
	args := []any{"peer", hostID, "error", err.Error(), "run_state", runStateOf(err), "sends", fr.sends, "may_have_run", fr.runs > 0}
	var failed *PeerError
	if errors.As(err, &failed) {
		args = append(args, "peer_sends", failed.Outcome.Sends, "peer_runs", failed.Outcome.Runs, "peer_is_partial", failed.Outcome.IsPartial)
	}
	l.write(hclog.Info, "attempt at peer failed", fr, args...)
}

// interruptionArgs identifies a request whose run was interrupted, by a fingerprint that is the
// same on all hosts and under any request ID, and states how far the run got.
func interruptionArgs(fr *forwardedRequest) []any {
	args := []any{"request_name", fr.identity.Fingerprint().String(), "caller", fr.request.CallerAddress, "sent_ago_ms", time.Since(fr.lastAttempt.sentAt).Milliseconds()}
	args = append(args, "prompt_parts", sharedPartIDs(&fr.request.Prompt))
	if !fr.lastAttempt.firstEventAt.IsZero() {
		args = append(args, "ran_ms", time.Since(fr.lastAttempt.firstEventAt).Milliseconds())
	}
	return args
}

// sharedPartIDs returns the ids of the parts of a prompt that other prompts may share, in order.
func sharedPartIDs(prompt *Prompt) (ids []string) {
	for _, part := range prompt.PrefixParts {
		ids = append(ids, part.ID)
	}
	return ids
}

// listEntryArgs states which revision of the platform's endpoint list an endpoint was chosen by,
// how old its entry was, and whether this host could have received a later one.
func (l *requestLogger) listEntryArgs(basis *scheduler.Basis) []any {
	return []any{
		"word_revision", basis.ListRevision, "word_age_ms", basis.ListAge.Milliseconds(),
		"store_away_ms", l.storeUnreachableFor().Milliseconds(),
	}
}

// logStreamEnd logs how the end of a stream that ends with its connection was checked.
func (l *requestLogger) logStreamEnd(fr *forwardedRequest, end streamEnd) {
	limiter := l.failureLimiter
	if end.outcome == endConfirmed {
		limiter = l.servedLimiter
	}
	target := fr.lastAttempt.target
	args := []any{
		"endpoint_id", target.EndpointID, "incarnation", target.Incarnation, "answered_by", end.confirmation.Incarnation,
		"outcome", string(end.outcome), "events", fr.eventsSent, "sent_ago_ms", time.Since(fr.lastAttempt.sentAt).Milliseconds(),
		"took_ms", end.took.Milliseconds(),
	}
	if end.err != nil {
		args = append(args, "error", end.err.Error())
	}
	l.writeLimited(limiter, hclog.Info, "end of a stream checked", fr, args...)
}

// logRepeat logs that a request is sent to another endpoint.
func (l *requestLogger) logRepeat(fr *forwardedRequest) {
	l.write(hclog.Info, "request repeated", fr, "excluded", fr.excluded, "resume_after", fr.ids.last, "needed_version", fr.neededVersion(), "budget_left", fr.repeatBudget.remaining())
}

// logUnserved logs how and why a request ended without a complete answer.
func (l *requestLogger) logUnserved(ctx context.Context, fr *forwardedRequest, err error) {
	var failure *FailureError
	level := hclog.Warn
	args := []any{
		"sends", fr.sends, "runs", fr.runs, "begun", fr.isHeaderSent, "budget_left", fr.repeatBudget.remaining(),
		"queued_ms", fr.timings.queued.Milliseconds(), "read_ms", fr.timings.prefill.Milliseconds(),
		"first_ms", fr.timings.firstEvent.Milliseconds(), "events", fr.eventsSent,
	}
	args = append(args, promptArgs(fr)...)
	args = append(args, resumptionArgs(fr)...)
	args = append(args, hostArgs(fr)...)
	if fr.admission.IsRefused || fr.admission.IsTrial {
		args = append(args, "request_name", fr.admission.Fingerprint.String(), "quarantined_part", fr.admission.PartID, "caller", fr.request.CallerAddress, "is_trial", fr.admission.IsTrial)
	}
	if errors.As(err, &failure) {
		args = append(args, "outcome", failure.Outcome, "reason", failure.Reason, "detail", failure.Detail, "retry_after_ms", failure.RetryAfter.Milliseconds())
	} else {
		args = append(args, "outcome", OutcomeUnknown, "reason", ReasonBrokenOff, "detail", err.Error())
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errHostStops) {
		level = hclog.Info // the caller disconnected
	}
	l.write(level, "request not served", fr, args...)
}

// logServed logs which endpoints served a request, and their known state when they were chosen.
func (l *requestLogger) logServed(fr *forwardedRequest) {
	limiter := l.servedLimiter
	if fr.sends > 1 {
		limiter = l.failureLimiter
	}
	args := []any{
		"late", missedTarget(fr), "endpoint_id", fr.basis.EndpointID, "software_version", fr.basis.SoftwareVersion, "prefill_endpoint_id", fr.basis.PrefillID,
		"course", fr.basis.Path, "read_tokens", fr.basis.PrefillTokens, "fetch_endpoint_id", fr.basis.FetchID,
		"requests_there", fr.basis.Requests, "peers_part", fr.basis.PeerRequests, "prompt_tokens_ahead", fr.basis.TokensAhead,
		"estimated_first_ms", fr.basis.FirstToken.Milliseconds(), "queued_ms", fr.timings.queued.Milliseconds(),
		"read_ms", fr.timings.prefill.Milliseconds(), "first_ms", fr.timings.firstEvent.Milliseconds(),
		"first_target_ms", fr.request.Class.FirstTokenTargetMS, "longest_pause_ms", fr.timings.maxEventInterval.Milliseconds(),
		"pause_target_ms", fr.request.Class.BetweenTokensTargetMS,
		"sends", fr.sends, "runs", fr.runs, "events", fr.eventsSent,
	}
	args = append(args, l.listEntryArgs(&fr.basis)...)
	args = append(args, resumptionArgs(fr)...)
	args = append(args, hostArgs(fr)...)
	l.writeLimited(limiter, hclog.Info, "request served", fr, append(args, promptArgs(fr)...)...)
}

// hostArgs names the host that passed the request to this one, and the peers that it was passed
// to.
func hostArgs(fr *forwardedRequest) (args []any) {
	if fr.request.Origin != nil {
		args = append(args, "from_host", fr.request.Origin.HostID)
	}
	if len(fr.triedPeers) > 0 {
		args = append(args, "peers", fr.triedPeers)
	}
	return args
}

// resumptionArgs states which stream the caller takes up, and after which event. It returns nothing
// for a request that begins a stream.
func resumptionArgs(fr *forwardedRequest) []any {
	if fr.request.ResumeAfter == "" {
		return nil
	}
	return []any{"resumes", fr.request.Resumes, "resumed_after", fr.request.ResumeAfter, "needed_version", fr.softwareVersion}
}

// promptArgs returns the size of a generation's prompt, and nothing for a call.
func promptArgs(fr *forwardedRequest) []any {
	if fr.request.Class.Kind != configurer.KindGenerate {
		return nil
	}
	return []any{"prompt_tokens", fr.request.Prompt.Tokens, "shared_tokens", fr.request.Prompt.PrefixTokens}
}

// Reasons why a complete answer was late.
const (
	lateFirst    = "first" // the first event, or the answer of a call
	lateInterval = "pause" // the time between two events
)

// missedTarget returns which of its class's latency targets a complete answer missed, or "" if it
// met all of them as far as this host knows.
func missedTarget(fr *forwardedRequest) string {
	class := &fr.request.Class
	isCall := class.Kind != configurer.KindGenerate
	first, target := fr.timings.firstEvent, class.FirstTokenTarget()
	if isCall {
		first, target = time.Since(fr.request.Arrived), class.CompletionTarget()
	}
	switch {
	case target > 0 && first > target:
		return lateFirst
	case !isCall && class.BetweenTokensTargetMS > 0 && fr.timings.maxEventInterval > class.BetweenTokensTarget():
		return lateInterval
	}
	return ""
}
