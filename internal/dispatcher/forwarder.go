package dispatcher

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/quarantiner"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// OpaqueRequest is a request that is forwarded unchanged.
type OpaqueRequest struct {
	ID            string // from the caller, unique to this attempt of theirs
	CallerAddress string // IP address, without the port
	Class         classifier.Class
	Tenant        string // that the request runs for; empty if requests carry no API keys
	Arrived       time.Time
	CallerTimeout time.Duration // how long the caller waits, from Arrived; 0: unknown
	Payload       driver.Payload
	Prompt        Prompt  // of a generation
	ResumeAfter   string  // ID of the last event that the caller received in an earlier attempt of theirs
	Resumes       string  // ID of their attempt that brought the first event; empty: not stated
	Origin        *Origin // of a request that a peer has passed to this host; nil: from a caller
}

// Prompt describes a generation, as stated by the caller.
type Prompt struct {
	Tokens          int
	MaxOutputTokens int
	PrefixKey       string // identifies the parts shared with other requests
	PrefixTokens    int
	PrefixParts     []scheduler.Part // parts of the prefix, in order
}

// AnswerHead is the head of an answer.
type AnswerHead struct {
	Status int
	Header http.Header
	Length int64 // of the body, in bytes; -1: unknown
	// SoftwareVersion is that of the endpoint that answers; empty: not known. It is not sent to
	// the caller.
	SoftwareVersion string
}

// AnswerWriter sends an answer to the caller. An error means that the caller has disconnected.
type AnswerWriter interface {
	// WriteHeader sends the head.
	WriteHeader(head AnswerHead) error
	// Write sends a piece of the body immediately.
	Write(p []byte) error
}

// Reasons of a FailureError of an opaque request.
const (
	ReasonTimeout = "timeout" // the request's timeout has passed
	// ReasonMemoryShortage means that there was no memory for the request.
	ReasonMemoryShortage = "memory_shortage"
	ReasonBrokenOff      = "broken_off" // the answer was interrupted after its header was sent
	// ReasonCrashesEndpoints means that the request is quarantined.
	ReasonCrashesEndpoints = "crashes_endpoints"
)

// ErrPartialAnswer means that an answer was interrupted after its header was sent. The only thing
// left to do is to close the caller's connection.
var ErrPartialAnswer = errors.New("answer was interrupted after its header was sent")

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	Scheduler Scheduler
	Driver    driver.Forwarder
	Meter     Meter
	Logger    hclog.Logger
	// StoreUnreachableFor returns how long the platform's store hasn't answered this host, for
	// log lines about requests. Nil means that the store is always reachable.
	StoreUnreachableFor func() time.Duration
	// RepeatShare is the share of an application's requests, and RepeatReserve the additional
	// number, that may be sent to a second endpoint. Both are this host's parts of the limits.
	RepeatShare   float64
	RepeatReserve float64
	// RepeatWindow is the period over which both are counted.
	RepeatWindow time.Duration
	// SuspendedTime returns the total time that the host has been suspended. Callers' timeouts
	// continue during a suspension, but timers don't. Nil means that the host is never suspended.
	SuspendedTime func() time.Duration
	// OnRunStarted is called each time the answer shows that an endpoint has started to run a
	// tenant's request. It may be nil.
	OnRunStarted func(tenant string)
	// Limits enforces the tenants' rate limits. Nil means that there are none.
	Limits TenantLimits
	// Quarantine keeps requests that crash endpoints from reaching further endpoints. Nil means
	// that no request is quarantined.
	Quarantine *quarantiner.Quarantiner
	// Streams keeps where streams began. Nil means that they may go on at any endpoint.
	Streams Streams
	// Peers passes requests to peers that reach more endpoints. Nil means that there are none.
	Peers PeerForwarder
	// RecordPassedOn is called once for a request that is passed to a peer without having asked
	// this host's scheduler for an endpoint. Nil means that it is not recorded.
	RecordPassedOn func(work scheduler.Work)
}

// Forwarder forwards opaque requests. It acquires an endpoint from the scheduler, or two if
// another engine prefills the prompt, streams the answer back, and sends a request again only if
// that is known to be safe.
type Forwarder struct {
	cfg            ForwarderConfig
	requestLog     *requestLogger
	activeRequests atomic.Int64
	cacheReleases  errgroup.Group // releases of unused KV caches
	largeBuffers   *largeBuffers
	shortages      *shortages
	stopsAt        atomic.Pointer[time.Time] // nil: not known
	runTimes       runTimes

	mu            sync.Mutex
	repeatBudgets map[string]*repeatBudget // by application
	repeatReserve float64
	running       map[*forwardedRequest]context.CancelCauseFunc
	attempts      map[*runningAttempt]struct{}
}

// NewForwarder returns a Forwarder, with defaults for unset fields of cfg.
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	if cfg.SuspendedTime == nil {
		cfg.SuspendedTime = func() time.Duration { return 0 }
	}
	if cfg.Limits == nil {
		cfg.Limits = noLimits{}
	}
	if cfg.RecordPassedOn == nil {
		cfg.RecordPassedOn = func(scheduler.Work) {}
	}
	if cfg.OnRunStarted == nil {
		cfg.OnRunStarted = func(string) {}
	}
	if cfg.Streams == nil {
		cfg.Streams = noStreams{}
	}
	if cfg.Peers == nil {
		cfg.Peers = noPeers{}
	}
	return &Forwarder{
		largeBuffers: newLargeBuffers(),
		cfg:          cfg, requestLog: newRequestLogger(cfg.Logger, cfg.StoreUnreachableFor), repeatBudgets: map[string]*repeatBudget{}, repeatReserve: cfg.RepeatReserve,
		running: map[*forwardedRequest]context.CancelCauseFunc{}, attempts: map[*runningAttempt]struct{}{},
		shortages: newShortages(cfg.Logger, time.Now),
	}
}

// Active returns the number of running requests.
func (f *Forwarder) Active() int64 { return f.activeRequests.Load() }

// Close waits until the unused KV caches of finished requests are released.
func (f *Forwarder) Close() error { return f.cacheReleases.Wait() }

// SetRepeatReserve changes this host's part of the reserve.
func (f *Forwarder) SetRepeatReserve(reserve float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeatReserve = reserve
	for _, b := range f.repeatBudgets {
		b.setReserve(reserve)
	}
}

func (f *Forwarder) repeatBudget(application string) *repeatBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.repeatBudgets[application]
	if b == nil {
		b = newRepeatBudget(f.cfg.RepeatShare, f.repeatReserve, f.cfg.RepeatWindow, time.Now)
		f.repeatBudgets[application] = b
	}
	return b
}

// Forward runs a request to completion. The error is a *FailureError if no part of an answer was
// sent, and ErrPartialAnswer otherwise.
func (f *Forwarder) Forward(ctx context.Context, request OpaqueRequest, writer AnswerWriter) (err error) {
	_, err = f.Run(ctx, request, writer)
	return err
}

// Run is Forward that also returns what was done with the request.
func (f *Forwarder) Run(ctx context.Context, request OpaqueRequest, writer AnswerWriter) (outcome PeerOutcome, err error) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	fr, begun := newForwardedRequest(f, &request, writer), time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// After a suspension or a freeze of the process, data that arrived for the caller meanwhile
	// is still forwarded.
	deadline := timekeeper.AtDeadline(request.Arrived.Add(requestTimeout(&request)), func() { cancel(errTimeout) })
	defer deadline.Stop()
	if err = fr.findOrigin(ctx); err != nil {
		err = fr.finishUnserved(ctx, err)
	} else {
		f.setRunning(fr, cancel) // others read the request's identity from now on
		defer f.setRunning(fr, nil)
		err = fr.admitAndRun(ctx)
	}
	if err == nil {
		f.runTimes.observe(request.Class.Name, time.Since(begun))
	}
	fr.refund(err)
	f.recordOutcome(fr, err)
	if err != nil {
		f.requestLog.logUnserved(ctx, fr, err)
	} else {
		f.requestLog.logServed(fr)
	}
	return fr.outcome(err), err
}

// outcome returns what was done with the request, which ended with err.
func (fr *forwardedRequest) outcome(err error) PeerOutcome {
	outcome := PeerOutcome{
		IsComplete: err == nil, IsPartial: errors.Is(err, ErrPartialAnswer), Sends: fr.sends, Runs: fr.runs,
		EndpointID: fr.basis.EndpointID,
	}
	errors.As(err, &outcome.Failure)
	return outcome
}

// setRunning registers the cancel function of a running request, or removes the request if cancel
// is nil.
func (f *Forwarder) setRunning(fr *forwardedRequest, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel == nil {
		delete(f.running, fr)
		return
	}
	f.running[fr] = cancel
}

// CancelQuarantined cancels running requests that have been quarantined since they were admitted:
// those that are queued here or at an endpoint haven't crashed it yet. A request that has
// produced an event is running and may continue, which can show that it is harmless.
func (f *Forwarder) CancelQuarantined() {
	f.mu.Lock()
	running := maps.Clone(f.running)
	f.mu.Unlock()
	for fr, cancel := range running {
		if !fr.isTrial.Load() && !fr.hasEvents.Load() && f.cfg.Quarantine.IsQuarantined(&fr.identity) {
			cancel(errQuarantined)
		}
	}
}

// CancelExpired cancels running requests whose timeout has passed while the host was suspended.
func (f *Forwarder) CancelExpired() {
	f.mu.Lock()
	running := maps.Clone(f.running)
	f.mu.Unlock()
	for fr, cancel := range running {
		if fr.remainingTime() <= 0 {
			cancel(errTimeout)
		}
	}
}

// defaultRequestTimeout applies to a class without a timeout if the caller doesn't state one.
const defaultRequestTimeout = time.Minute

// requestTimeout returns how long after its arrival a request's answer is useful.
func requestTimeout(request *OpaqueRequest) time.Duration {
	timeout := defaultRequestTimeout
	if request.Class.Timeout > 0 {
		timeout = request.Class.Timeout
	}
	if request.CallerTimeout > 0 {
		timeout = min(timeout, request.CallerTimeout)
	}
	return timeout
}

// recordOutcome counts a request's outcome at the host of its caller.
func (f *Forwarder) recordOutcome(fr *forwardedRequest, err error) {
	if fr.request.Origin != nil {
		return
	}
	name := fr.request.Class.Name
	var failure *FailureError
	switch {
	case err == nil:
		f.cfg.Meter.CountOutcome("", name, outcomeComplete, "")
		f.cfg.Meter.ObserveCompletion("", name, time.Since(fr.request.Arrived))
	case errors.As(err, &failure):
		f.cfg.Meter.CountOutcome("", name, string(failure.Outcome), failure.Reason)
	default:
		f.cfg.Meter.CountOutcome("", name, string(OutcomeUnknown), ReasonBrokenOff)
	}
}

// releaseCache releases a KV cache that no engine will fetch.
func (f *Forwarder) releaseCache(handle driver.KVHandle) {
	f.cacheReleases.Go(func() error {
		if err := f.cfg.Driver.Release(context.Background(), handle); err != nil {
			f.cfg.Logger.Debug("failed to release KV cache; it expires at the engine", "address", handle.Address, "error", err)
		}
		return nil
	})
}
