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
)

// streamRun is one run of a stream at an endpoint.
type streamRun struct {
	events     string
	isUnframed bool
	isStopped  bool   // the endpoint does not answer after the end
	answeredBy string // incarnation that answers after the end; empty: not stated
	isCut      bool   // the stream ends with an error
}

// streamEndpoints run a stream by each of runs in turn.
type streamEndpoints struct {
	driver.Forwarder
	runs          []streamRun
	resumedAfter  []string
	confirmations int
}

func (e *streamEndpoints) Forward(_ context.Context, _ driver.Target, call driver.ForwardCall) (driver.ForwardAnswer, error) {
	if len(e.resumedAfter) == len(e.runs) {
		return driver.ForwardAnswer{}, driver.ErrRefused
	}
	run := e.runs[len(e.resumedAfter)]
	e.resumedAfter = append(e.resumedAfter, call.ResumeAfter)
	var body io.Reader = strings.NewReader(run.events)
	if run.isCut {
		body = io.MultiReader(body, cutBody{})
	}
	return driver.ForwardAnswer{Status: http.StatusOK, Length: -1, EndsWithConnection: run.isUnframed, Body: io.NopCloser(body)}, nil
}

func (e *streamEndpoints) ConfirmRunning(context.Context, driver.Target) (driver.Confirmation, error) {
	e.confirmations++
	if e.runs[len(e.resumedAfter)-1].isStopped {
		return driver.Confirmation{}, driver.ErrConnectionRefused
	}
	return driver.Confirmation{Incarnation: e.runs[len(e.resumedAfter)-1].answeredBy}, nil
}

type cutBody struct{}

func (cutBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// bodyWriter keeps the body of an answer.
type bodyWriter struct{ strings.Builder }

func (*bodyWriter) WriteHeader(AnswerHead) error { return nil }

func (w *bodyWriter) Write(p []byte) error {
	_, err := w.Builder.Write(p)
	return err
}

// forwardStream forwards a resumable stream after an event of an earlier attempt of its caller's.
func forwardStream(t *testing.T, endpoints *streamEndpoints, resumeAfter string) (body string, err error) {
	t.Helper()
	f := NewForwarder(ForwarderConfig{
		Scheduler: &stubScheduler{}, Driver: endpoints, Meter: nopMeter{}, Logger: hclog.NewNullLogger(),
		RepeatShare: 1, RepeatReserve: 100, RepeatWindow: time.Millisecond,
	})
	f.repeatBudget("a").startedAt = time.Now().Add(-time.Minute) // makes the reserve available
	w := &bodyWriter{}
	err = f.Forward(t.Context(), OpaqueRequest{ID: "r", Arrived: time.Now(), ResumeAfter: resumeAfter, Class: classifier.Class{
		Class:   configurer.Class{Name: "c", Kind: configurer.KindGenerate, Repeatable: true},
		Timeout: 5 * time.Second, MaxAttempts: 3, Shares: []classifier.Share{{Application: "a", Weight: 1}}, IsResumable: true,
	}}, w)
	return w.String(), err
}

// eventsOf returns events with ids; "-" is an event without one.
func eventsOf(ids ...string) string {
	b := &strings.Builder{}
	for _, id := range ids {
		if id != "-" {
			b.WriteString("id: " + id + "\n")
		}
		b.WriteString("data: x\n\n")
	}
	return b.String()
}

// TestEndOfUnframedStream guards against a stream that passes for complete since its engine's process has ended.
func TestEndOfUnframedStream(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		runs          []streamRun
		resumeAfter   string // of the caller's request
		want          string
		isBroken      bool
		confirmations int
	}{
		"framed":                {runs: []streamRun{{events: eventsOf("1")}}, want: eventsOf("1")},
		"framed, empty":         {runs: []streamRun{{}}},
		"framed, engine ends":   {runs: []streamRun{{events: eventsOf("1"), isStopped: true}}, want: eventsOf("1")},
		"engine runs on":        {runs: []streamRun{{events: eventsOf("1"), isUnframed: true}}, want: eventsOf("1"), confirmations: 1},
		"inside an event":       {runs: []streamRun{{events: eventsOf("1") + "id: 2\nda", isUnframed: true}}, want: eventsOf("1"), isBroken: true},
		"engine ends":           {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, isStopped: true}}, want: eventsOf("1"), isBroken: true, confirmations: 1},
		"same process":          {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, answeredBy: "e1@1"}}, want: eventsOf("1"), confirmations: 1},
		"replaced":              {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, answeredBy: "e1@2"}}, want: eventsOf("1"), isBroken: true, confirmations: 1},
		"replaced, clock back":  {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, answeredBy: "e1@0"}}, want: eventsOf("1"), isBroken: true, confirmations: 1},
		"start not stated":      {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, answeredBy: "e1"}}, want: eventsOf("1"), isBroken: true, confirmations: 1},
		"replaced, goes on":     {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, answeredBy: "e1@2"}, {events: eventsOf("2")}}, want: eventsOf("1", "2"), confirmations: 1},
		"no event":              {runs: []streamRun{{isUnframed: true}}, isBroken: true},
		"no event, taken up":    {runs: []streamRun{{isUnframed: true}}, resumeAfter: "7", confirmations: 1},
		"taken up, engine ends": {runs: []streamRun{{isUnframed: true, isStopped: true}}, resumeAfter: "7", isBroken: true, confirmations: 1},
		"goes on":               {runs: []streamRun{{events: eventsOf("1", "2"), isUnframed: true, isStopped: true}, {events: eventsOf("3")}}, want: eventsOf("1", "2", "3"), confirmations: 1},
		"goes on, nothing left": {runs: []streamRun{{events: eventsOf("1", "2"), isUnframed: true, isStopped: true}, {isUnframed: true}}, want: eventsOf("1", "2"), confirmations: 2},
		"goes on, ends again":   {runs: []streamRun{{events: eventsOf("1"), isUnframed: true, isStopped: true}, {isUnframed: true, isStopped: true}}, want: eventsOf("1"), isBroken: true, confirmations: 2},
		"no event, then served": {runs: []streamRun{{isUnframed: true}, {events: eventsOf("1")}}, want: eventsOf("1")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := &streamEndpoints{runs: test.runs}
			got, err := forwardStream(t, endpoints, test.resumeAfter)
			assert.Equal(t, got, test.want)
			assert.Equal(t, err != nil, test.isBroken, "%v", err)
			assert.Equal(t, endpoints.confirmations, test.confirmations)
			var failure *FailureError
			if errors.As(err, &failure) {
				assert.Equal(t, failure.Outcome, OutcomeUnknown)
			}
		})
	}
}

// TestContinuedStream guards against events that come twice, or are missing, where another endpoint goes on with a stream.
func TestContinuedStream(t *testing.T) {
	t.Parallel()
	cut := func(ids ...string) streamRun { return streamRun{events: eventsOf(ids...), isCut: true} }
	whole := func(ids ...string) streamRun { return streamRun{events: eventsOf(ids...)} }
	for name, test := range map[string]struct {
		runs        []streamRun
		resumeAfter string // of the caller's request
		want        string
		isBroken    bool
		sent        []string // Last-Event-Id of each run
	}{
		"goes on":                         {runs: []streamRun{cut("1", "2"), whole("3", "4")}, want: eventsOf("1", "2", "3", "4"), sent: []string{"", "2"}},
		"nothing left":                    {runs: []streamRun{cut("1", "2"), whole()}, want: eventsOf("1", "2"), sent: []string{"", "2"}},
		"starts again":                    {runs: []streamRun{cut("1", "2"), whole("1", "2", "3")}, want: eventsOf("1", "2"), isBroken: true, sent: []string{"", "2"}},
		"repeats the last event":          {runs: []streamRun{cut("1", "2"), whole("2", "3"), whole("3")}, want: eventsOf("1", "2", "3"), sent: []string{"", "2", "2"}},
		"repeats an event of the second":  {runs: []streamRun{cut("1"), cut("2", "3"), whole("3", "4")}, want: eventsOf("1", "2", "3"), isBroken: true, sent: []string{"", "1", "3"}},
		"leaves a gap":                    {runs: []streamRun{cut("1", "2"), whole("4", "5")}, want: eventsOf("1", "2"), isBroken: true, sent: []string{"", "2"}},
		"gap, then goes on":               {runs: []streamRun{cut("1", "2"), whole("4"), whole("3", "4")}, want: eventsOf("1", "2", "3", "4"), sent: []string{"", "2", "2"}},
		"gap after a stream in steps":     {runs: []streamRun{cut("2", "4"), whole("6")}, want: eventsOf("2", "4", "6"), sent: []string{"", "4"}},
		"steps not known":                 {runs: []streamRun{cut("2"), whole("4")}, want: eventsOf("2", "4"), sent: []string{"", "2"}},
		"ids that are no numbers":         {runs: []streamRun{cut("a", "b"), whole("z")}, want: eventsOf("a", "b", "z"), sent: []string{"", "b"}},
		"repeated id that is no number":   {runs: []streamRun{cut("a", "b"), whole("b", "c")}, want: eventsOf("a", "b"), isBroken: true, sent: []string{"", "b"}},
		"goes on without ids":             {runs: []streamRun{cut("1", "2"), whole("-")}, want: eventsOf("1", "2"), isBroken: true, sent: []string{"", "2"}},
		"comment before the next event":   {runs: []streamRun{cut("1", "2"), {events: ": ping\n\n" + eventsOf("3")}}, want: eventsOf("1", "2") + ": ping\n\n" + eventsOf("3"), sent: []string{"", "2"}},
		"comment, then starts again":      {runs: []streamRun{cut("1", "2"), {events: ": ping\n\n" + eventsOf("1")}}, want: eventsOf("1", "2"), isBroken: true, sent: []string{"", "2"}},
		"no ids":                          {runs: []streamRun{cut("-", "-"), whole("-", "-", "-")}, want: eventsOf("-", "-"), isBroken: true, sent: []string{""}},
		"last event without an id":        {runs: []streamRun{cut("1", "-"), whole("-")}, want: eventsOf("1", "-"), isBroken: true, sent: []string{""}},
		"one engine's ids go back":        {runs: []streamRun{whole("1", "2", "1", "3")}, want: eventsOf("1", "2", "1", "3"), sent: []string{""}},
		"one engine leaves a gap":         {runs: []streamRun{whole("1", "5", "6")}, want: eventsOf("1", "5", "6"), sent: []string{""}},
		"taken up by its caller, again 1": {runs: []streamRun{whole("1", "2")}, resumeAfter: "2", want: eventsOf("1", "2"), sent: []string{"2"}},
		"taken up, then goes on":          {runs: []streamRun{cut("3"), whole("4")}, resumeAfter: "2", want: eventsOf("3", "4"), sent: []string{"2", "3"}},
		"taken up, then leaves a gap":     {runs: []streamRun{cut("3"), whole("5")}, resumeAfter: "2", want: eventsOf("3"), isBroken: true, sent: []string{"2", "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := &streamEndpoints{runs: test.runs}
			got, err := forwardStream(t, endpoints, test.resumeAfter)
			assert.Equal(t, got, test.want)
			assert.Equal(t, err != nil, test.isBroken, "%v", err)
			assert.DeepEqual(t, endpoints.resumedAfter, test.sent)
			assert.Assert(t, !test.isBroken || errors.Is(err, ErrPartialAnswer), "%v", err)
		})
	}
}
