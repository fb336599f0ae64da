// Package dispatcher runs a request to completion: it acquires an endpoint from the scheduler,
// makes an attempt, resumes or retries where that is safe, and returns either one complete answer
// or one failure that states what is known about the run.
//
// A generation may always run again: an interrupted attempt is resumed on another engine after
// the tokens that the caller already has, and a late first token causes a second, hedged attempt.
// A call that isn't repeatable is sent only under a claim, and isn't sent again once an endpoint
// may have received it.
//
// # Usage
//
//	d := dispatcher.New(cfg)
//	answer, err := d.Generate(ctx, request, func(token driver.Token) error { ... })
//	var failure *dispatcher.FailureError
//	if errors.As(err, &failure) { ... failure.Outcome ... }
//	err = d.Close()
package dispatcher

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/claimer"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// Scheduler grants endpoints to requests.
type Scheduler interface {
	// Acquire waits for an endpoint. It fails with *scheduler.RefusalError as soon as the work
	// can't be completed in time, or with ctx's error.
	Acquire(ctx context.Context, work scheduler.Work) (scheduler.Grant, error)
}

// Meter records latencies and outcomes of requests.
type Meter interface {
	ObserveFirstToken(tenant, class string, d time.Duration)
	ObserveBetweenTokens(tenant, class string, d time.Duration)
	ObserveCompletion(tenant, class string, d time.Duration)
	ObserveQueue(tenant, class string, d time.Duration)
	CountOutcome(tenant, class, outcome, reason string)
	CountRetry(class string)
	CountHedge(class string)
	// CountExceededLimit counts an answer that exceeds a limit.
	CountExceededLimit(client, limit string)
	// CountStreamEnd counts a stream that has ended with its connection, by whether its end is confirmed.
	CountStreamEnd(outcome string)
}

// Config configures a Dispatcher.
type Config struct {
	Incarnation   string // of this host's process; makes attempt IDs unique
	Configuration configurer.Reader
	Scheduler     Scheduler
	Driver        driver.Driver
	Claimer       claimer.Claimer
	Meter         Meter
	Logger        hclog.Logger
	// MaxAttempts limits the attempts of one request, including hedges.
	MaxAttempts int
	// HedgeDelayFraction is the fraction of the first-token target (for a repeatable call: of the
	// completion target) after which a second attempt starts. 0 selects
	// DefaultHedgeDelayFraction; a negative value disables hedging.
	HedgeDelayFraction float64
	// StallTimeout is the longest time without data within a started answer before the answer is
	// resumed on another engine.
	StallTimeout time.Duration
}

// Defaults of a Config.
const (
	DefaultMaxAttempts        = 6
	DefaultHedgeDelayFraction = 0.75
	DefaultStallTimeout       = 1500 * time.Millisecond
)

// outcomeComplete is the outcome of a completely answered request in metrics and logs.
const outcomeComplete = "whole"

// Limits that can't be configured.
const (
	// No further attempt starts later than giveUpFactor times the completion target after
	// arrival, because the answer would be too late to be useful.
	giveUpFactor = 3
	// recordWait is how long an answer waits until the outcome is written to its claim, so that a
	// caller who loses the answer and repeats the call receives it.
	recordWait = 50 * time.Millisecond
	// recordTimeout limits the write of the outcome, which continues in the background after
	// recordWait.
	recordTimeout   = 5 * time.Second
	minCallTimeout  = 10 * time.Second // minimum timeout of a call that isn't repeatable
	faultRetryAfter = time.Second      // RetryAfter of a failure that an endpoint caused
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 400 * time.Millisecond
	// maxBackoffs limits the waits for endpoints to become available again to about 1.2 s in
	// total.
	maxBackoffs = 6
)

// Dispatcher runs requests. All methods are safe for concurrent use.
type Dispatcher struct {
	cfg            Config
	attemptCount   atomic.Uint64
	activeRequests atomic.Int64
	retries        *retryBudget // for retries and hedges
	resumes        *retryBudget // for retries that resume a partial answer
	recordWrites   *errgroup.Group
}

// New returns a Dispatcher, with defaults for unset fields of cfg.
func New(cfg Config) *Dispatcher {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.HedgeDelayFraction == 0 {
		cfg.HedgeDelayFraction = DefaultHedgeDelayFraction
	}
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = DefaultStallTimeout
	}
	return &Dispatcher{
		cfg:          cfg,
		retries:      newRetryBudget(retryShare, retryReserve),
		resumes:      newRetryBudget(resumeShare, resumeReserve),
		recordWrites: &errgroup.Group{},
	}
}

// Active returns the number of running requests.
func (d *Dispatcher) Active() int64 { return d.activeRequests.Load() }

// Close waits until pending claim outcomes are written.
func (d *Dispatcher) Close() error { return d.recordWrites.Wait() }

// Generate runs a generation and passes its tokens to onToken as they arrive. onToken may be nil.
// The error is a *FailureError.
func (d *Dispatcher) Generate(ctx context.Context, request Request, onToken TokenFunc) (answer Answer, err error) {
	d.activeRequests.Add(1)
	defer d.activeRequests.Add(-1)
	arrived := time.Now()
	class, err := d.lookUpClass(request, configurer.KindGenerate)
	if err == nil {
		answer, err = newRepeatableRequest(d, request, class, arrived, onToken).run(ctx)
	}
	d.recordOutcome(request, class, answer, err)
	return answer, err
}

// Call calls a plain service. The error is a *FailureError.
func (d *Dispatcher) Call(ctx context.Context, request Request) (answer Answer, err error) {
	d.activeRequests.Add(1)
	defer d.activeRequests.Add(-1)
	arrived := time.Now()
	class, err := d.lookUpClass(request, configurer.KindCall)
	switch {
	case err != nil:
	case class.Repeatable:
		answer, err = newRepeatableRequest(d, request, class, arrived, nil).run(ctx)
	default:
		answer, err = d.callOnce(ctx, request, class, arrived)
	}
	d.recordOutcome(request, class, answer, err)
	return answer, err
}

func (d *Dispatcher) lookUpClass(request Request, kind configurer.ClassKind) (class configurer.Class, err error) {
	if !d.cfg.Configuration.Ready() {
		return class, notRunFailure(request, ReasonNotReady, "this host has no configuration yet", faultRetryAfter)
	}
	class, ok := d.cfg.Configuration.Class(request.Tenant, request.Class)
	if !ok {
		return class, notRunFailure(request, ReasonUnknownClass, "tenant has no class "+strconv.Quote(request.Class), 0)
	}
	if class.Kind != kind {
		return class, notRunFailure(request, ReasonWrongKind, "class "+strconv.Quote(request.Class)+" is of kind "+string(class.Kind), 0)
	}
	return class, nil
}

// recordOutcome records the outcome of a request. Unknown classes share one label value, so that
// callers can't create new time series.
func (d *Dispatcher) recordOutcome(request Request, class configurer.Class, answer Answer, err error) {
	var failure *FailureError
	if errors.As(err, &failure) {
		d.cfg.Meter.CountOutcome(request.Tenant, class.Name, string(failure.Outcome), failure.Reason)
		d.logRequest(request, answer, string(failure.Outcome), failure.Reason)
		return
	}
	d.logRequest(request, answer, outcomeComplete, "")
	d.cfg.Meter.CountOutcome(request.Tenant, class.Name, outcomeComplete, "")
	d.cfg.Meter.ObserveCompletion(request.Tenant, class.Name, answer.Completion)
	if class.Kind == configurer.KindGenerate {
		d.cfg.Meter.ObserveFirstToken(request.Tenant, class.Name, answer.FirstToken)
	}
}

// attemptID returns an ID that is unique across hosts and restarts. It is never the caller's
// request ID: two callers may send the same one, and a cancellation by attempt ID must not affect
// another caller's work.
func (d *Dispatcher) attemptID() string {
	return d.cfg.Incarnation + "-" + strconv.FormatUint(d.attemptCount.Add(1), 36)
}

func notRunFailure(request Request, reason, detail string, retryAfter time.Duration) *FailureError {
	return &FailureError{
		RequestID: request.RequestID, Outcome: OutcomeNotRun,
		Reason: reason, Detail: detail, RetryAfter: retryAfter,
	}
}
