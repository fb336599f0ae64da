package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/ratelimiter"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// fakeLimits counts the calls of each method.
type fakeLimits struct {
	chargeErr, renewErr               error
	charged, renewed, retried, refund int
}

func (l *fakeLimits) Charge(context.Context, *OpaqueRequest) (Charge, error) {
	if l.chargeErr != nil {
		return Charge{}, l.chargeErr
	}
	l.charged++
	return Charge{ExpiresAt: time.Now()}, nil
}

func (l *fakeLimits) Renew(_ context.Context, _ *OpaqueRequest, charge Charge) (Charge, error) {
	l.renewed++
	return charge, l.renewErr
}
func (l *fakeLimits) ChargeUnconditionally(*OpaqueRequest) { l.retried++ }
func (l *fakeLimits) Refund(*OpaqueRequest, Charge)        { l.refund++ }

// scriptedForwarder answers sends with errs in order, then with a complete answer.
type scriptedForwarder struct {
	driver.Forwarder
	errs []error
	sent int
}

func (d *scriptedForwarder) Forward(context.Context, driver.Target, driver.ForwardCall) (answer driver.ForwardAnswer, err error) {
	d.sent++
	if len(d.errs) > 0 {
		err, d.errs = d.errs[0], d.errs[1:]
		return answer, err
	}
	return driver.ForwardAnswer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

// stubScheduler always grants an endpoint, or always refuses.
type stubScheduler struct{ refusal error }

func (s *stubScheduler) Acquire(context.Context, scheduler.Work) (scheduler.Grant, error) {
	if s.refusal != nil {
		return nil, s.refusal
	}
	return &fakeGrant{endpoints: &fakeEndpoints{}, id: "e1"}, nil
}

type discardWriter struct{}

func (discardWriter) WriteHeader(AnswerHead) error { return nil }
func (discardWriter) Write([]byte) error           { return nil }

// A request is charged once before it is sent. Further charges and the refund depend on what an
// endpoint may have run of it.
func TestRequestCharges(t *testing.T) {
	t.Parallel()
	overLimit := &ratelimiter.OverLimitError{RetryAfter: 70 * time.Millisecond}
	for name, test := range map[string]struct {
		limits  fakeLimits
		errs    []error
		refusal error
		sent    int
		want    fakeLimits
		reason  string // of the failure; empty: served
	}{
		"served":         {sent: 1, want: fakeLimits{charged: 1, renewed: 1}},
		"over the limit": {limits: fakeLimits{chargeErr: overLimit}, reason: ReasonTenantLimit},
		"limit unknown":  {limits: fakeLimits{chargeErr: ratelimiter.ErrLimitUnavailable}, reason: ReasonLimitUnknown},
		"refused for overload": {
			refusal: &scheduler.RefusalError{Reason: scheduler.ReasonOverload, RetryAfter: time.Second},
			want:    fakeLimits{charged: 1, refund: 1}, reason: string(scheduler.ReasonOverload),
		},
		"refused, then served":      {errs: []error{driver.ErrRefused}, sent: 2, want: fakeLimits{charged: 1, renewed: 2}},
		"interrupted, then served":  {errs: []error{driver.ErrOutcomeUnknown}, sent: 2, want: fakeLimits{charged: 1, renewed: 1, retried: 1}},
		"over the limit at renewal": {limits: fakeLimits{renewErr: overLimit}, want: fakeLimits{charged: 1, renewed: 1, refund: 1}, reason: ReasonTenantLimit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits, forwarder := test.limits, &scriptedForwarder{errs: test.errs}
			f := NewForwarder(ForwarderConfig{
				Scheduler: &stubScheduler{refusal: test.refusal}, Driver: forwarder, Meter: nopMeter{}, Logger: hclog.NewNullLogger(),
				RepeatShare: 1, RepeatReserve: 100, RepeatWindow: time.Millisecond, Limits: &limits,
			})
			request := OpaqueRequest{ID: "r", Tenant: "one", Arrived: time.Now(), Class: classifier.Class{
				Class:   configurer.Class{Name: "c", Kind: configurer.KindCall, Repeatable: true},
				Timeout: 5 * time.Second, MaxAttempts: 2, Shares: []classifier.Share{{Application: "a", Weight: 1}},
			}}
			f.repeatBudget("a").startedAt = time.Now().Add(-time.Minute) // makes the reserve available
			err := f.Forward(t.Context(), request, discardWriter{})
			assert.Equal(t, forwarder.sent, test.sent)
			limits.chargeErr, limits.renewErr = nil, nil
			assert.Equal(t, limits, test.want)
			var failure *FailureError
			if test.reason == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Outcome, OutcomeNotRun)
			assert.Equal(t, failure.Reason, test.reason)
			assert.Assert(t, failure.RetryAfter > 0)
		})
	}
}
