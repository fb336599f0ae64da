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
	isStopped  bool // the endpoint does not answer after the end
	isCut      bool // the stream ends with an error
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

func (e *streamEndpoints) ConfirmRunning(context.Context, driver.Target) error {
	e.confirmations++
	if e.runs[len(e.resumedAfter)-1].isStopped {
		return driver.ErrConnectionRefused
	}
	return nil
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
