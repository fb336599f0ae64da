package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"github.com/endivemast/endivemast/internal/claimer"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script describes how the fake endpoint handles one attempt: it sends the tokens, then ends the
// stream as ending says.
type script struct {
	sendErr         error         // returned before anything runs
	tokens          []int         // sequence numbers of the tokens sent
	ending          string        // "end", "interrupted", "short" or "stalled"; otherwise io.EOF
	firstTokenDelay time.Duration // before the first token
}

// fakeEndpoints is a driver and a scheduler with endpoints e0, e1, … that handle each attempt by
// the next script.
type fakeEndpoints struct {
	driver.Driver

	mu           sync.Mutex
	scripts      []script
	attempts     int
	calls        int // service calls that the endpoint has run
	callErrs     []error
	heldGrants   int // grants not released yet
	results      []scheduler.Result
	resumeCounts []int
	refusal      *scheduler.RefusalError
	// noEndpointRefusals is the number of Acquire calls after the first attempt that find no
	// endpoint.
	noEndpointRefusals int
	admitted           []bool        // Work.IsAdmitted or an exclusion, for each Acquire call
	mayHaveArrived     []bool        // for each Acquire, whether an endpoint may have received an earlier attempt
	firstQueueTime     time.Duration // how long the first attempt waits for its grant
}

func (f *fakeEndpoints) Acquire(ctx context.Context, work scheduler.Work) (scheduler.Grant, error) {
	if f.firstQueueTime > 0 && len(work.Excluded) == 0 {
		<-time.After(f.firstQueueTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = append(f.admitted, work.IsAdmitted || len(work.Excluded) > 0)
	f.mayHaveArrived = append(f.mayHaveArrived, !work.RetryUntil.IsZero())
	if f.refusal != nil {
		return nil, f.refusal
	}
	if f.attempts > 0 && f.noEndpointRefusals > 0 {
		f.noEndpointRefusals--
		return nil, &scheduler.RefusalError{Reason: scheduler.ReasonNoEndpoint, RetryAfter: time.Second}
	}
	f.heldGrants++
	return &fakeGrant{endpoints: f, id: "e" + string(rune('0'+len(work.Excluded)))}, ctx.Err()
}

type fakeGrant struct {
	endpoints *fakeEndpoints
	id        string
}

func (g *fakeGrant) Target() driver.Target {
	return driver.Target{EndpointID: g.id, Incarnation: g.id + "@1"}
}
func (g *fakeGrant) PrefillTarget() (driver.Target, bool) { return driver.Target{}, false }
func (g *fakeGrant) Basis() scheduler.Basis               { return scheduler.Basis{} }
func (g *fakeGrant) IsAvailable() bool                    { return true }
func (g *fakeGrant) IsPrefillAvailable() bool             { return true }
func (g *fakeGrant) FetchSource() (driver.Target, bool)   { return driver.Target{}, false }
func (g *fakeGrant) Priority() int                        { return 0 }
func (g *fakeGrant) PrefillDone(error)                    {}
func (g *fakeGrant) TokenReceived()                       {}
func (g *fakeGrant) Done(result scheduler.Result) {
	g.endpoints.mu.Lock()
	defer g.endpoints.mu.Unlock()
	g.endpoints.heldGrants--
	g.endpoints.results = append(g.endpoints.results, result)
}

func (f *fakeEndpoints) Generate(ctx context.Context, _ driver.Target, call driver.GenerateCall) (driver.GenerateStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.scripts[f.attempts]
	f.attempts++
	f.resumeCounts = append(f.resumeCounts, len(call.ResumeTokens))
	if s.sendErr != nil {
		return nil, s.sendErr
	}
	return &fakeStream{ctx: ctx, script: s, want: call.MaxOutputTokens}, nil
}

func (f *fakeEndpoints) Call(context.Context, driver.Target, driver.ServiceCall) (driver.ServiceAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.callErrs[f.attempts]
	f.attempts++
	if err == nil || errors.Is(err, driver.ErrFailed) || errors.Is(err, driver.ErrOutcomeUnknown) {
		f.calls++
	}
	return driver.ServiceAnswer{Body: []byte("booked")}, err
}

type fakeStream struct {
	ctx    context.Context
	script script
	next   int
	want   int
}

func (s *fakeStream) Next() (driver.Event, error) {
	if s.next == 0 && s.script.firstTokenDelay > 0 {
		select {
		case <-time.After(s.script.firstTokenDelay):
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		}
	}
	if s.next < len(s.script.tokens) {
		sequence := s.script.tokens[s.next]
		s.next++
		return driver.Token{Sequence: sequence, Text: string(rune('a' + sequence))}, nil
	}
	switch s.script.ending {
	case "end":
		s.script.ending = "eof"
		return driver.End{OutputTokens: s.want}, nil
	case "short":
		s.script.ending = "eof"
		return driver.End{OutputTokens: s.want - 1}, nil
	case "stalled":
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	case "interrupted":
		return nil, driver.ErrOutcomeUnknown
	}
	return nil, io.EOF
}

func (s *fakeStream) Close() error { return nil }

type fakeReader struct{ class configurer.Class }

func (r fakeReader) Class(tenant, name string) (configurer.Class, bool) {
	return r.class, tenant == r.class.Tenant && name == r.class.Name
}

func (fakeReader) Application(string) (configurer.Application, bool) {
	return configurer.Application{}, false
}
func (fakeReader) Revision() int64 { return 1 }
func (fakeReader) Ready() bool     { return true }

type fakeClaimer struct {
	claimer.Claimer
	record   *claimer.Record
	err      error
	finished []claimer.State
	deadline time.Time
}

func (c *fakeClaimer) Deadline() (time.Time, bool) { return c.deadline, !c.deadline.IsZero() }

func (c *fakeClaimer) Claim(context.Context, claimer.Key, []byte) (claimer.Claim, *claimer.Record, error) {
	if c.record != nil || c.err != nil {
		return nil, c.record, c.err
	}
	return c, nil, nil
}

func (c *fakeClaimer) Finish(_ context.Context, record claimer.Record) error {
	c.finished = append(c.finished, record.State)
	return nil
}

type nopMeter struct{}

func (nopMeter) ObserveFirstToken(string, string, time.Duration)    {}
func (nopMeter) ObserveBetweenTokens(string, string, time.Duration) {}
func (nopMeter) ObserveCompletion(string, string, time.Duration)    {}
func (nopMeter) ObserveQueue(string, string, time.Duration)         {}
func (nopMeter) CountOutcome(string, string, string, string)        {}
func (nopMeter) CountRetry(string)                                  {}
func (nopMeter) CountExceededLimit(string, string)                  {}
func (nopMeter) CountStreamEnd(string)                              {}
func (nopMeter) CountHedge(string)                                  {}

func newTestDispatcher(class configurer.Class, endpoints *fakeEndpoints, claims *fakeClaimer) *Dispatcher {
	class.Tenant, class.Name = "vitosha", "work"
	return New(Config{
		Incarnation: "i", Configuration: fakeReader{class: class}, Scheduler: endpoints, Driver: endpoints,
		Claimer: claims, Meter: nopMeter{}, Logger: hclog.NewNullLogger(), StallTimeout: 50 * time.Millisecond,
	})
}
