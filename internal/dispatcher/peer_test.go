package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// scriptedPeers are peers p0, p1, … that answer in turn by errs, then completely.
type scriptedPeers struct {
	isPreferred   bool
	errs          []error
	requestedRuns int // before each error
	allowedRuns   int // of those
	requests      []PeerRequest
}

func (p *scriptedPeers) IsPreferred(string) bool { return p.isPreferred }

func (p *scriptedPeers) Choose(request *PeerRequest) (hostID string, ok bool) {
	for _, id := range []string{"p0", "p1", "p2", "p3", "p4"} {
		if !slices.Contains(request.Excluded, id) {
			return id, true
		}
	}
	return "", false
}

func (p *scriptedPeers) Forward(_ context.Context, hostID string, request *PeerRequest) (answer PeerAnswer, err error) {
	p.requests = append(p.requests, *request)
	if n := len(p.requests); n <= len(p.errs) && p.errs[n-1] != nil {
		for range p.requestedRuns {
			if request.AllowRun() {
				p.allowedRuns++
			}
		}
		return answer, p.errs[n-1]
	}
	answer = PeerAnswer{HostID: hostID, Outcome: func() (PeerOutcome, bool) { return PeerOutcome{IsComplete: true, Sends: 1, Runs: 1}, true }}
	answer.Status, answer.Length, answer.Body = http.StatusOK, -1, io.NopCloser(strings.NewReader("whole"))
	return answer, nil
}

// failedAtPeer is the error of a request that a peer has sent to endpoints and not served.
func failedAtPeer(outcome Outcome, reason string, sends, runs int) error {
	return &PeerError{HostID: "p", Outcome: PeerOutcome{
		Sends: sends, Runs: runs, Failure: &FailureError{Outcome: outcome, Reason: reason, RetryAfter: time.Second},
	}}
}

func TestAttemptsAtPeers(t *testing.T) {
	t.Parallel()
	overload := &scheduler.RefusalError{Reason: scheduler.ReasonOverload, RetryAfter: time.Second}
	noEndpoint := &scheduler.RefusalError{Reason: scheduler.ReasonNoEndpoint, RetryAfter: time.Second}
	returned := failedAtPeer(OutcomeNotRun, ReasonPeerDraining, 0, 0)
	for name, test := range map[string]struct {
		peers      scriptedPeers
		refusal    error // of the scheduler
		errs       []error
		origin     *Origin
		repeatable bool
		passes     int  // requests passed to peers
		passedOn   int  // 1 if a peer came first, so that the scheduler has not counted the request
		isRefused  bool // as they were passed
		sends      int  // to endpoints, by this host
		outcome    Outcome
		reason     string
	}{
		"endpoints reached":                            {sends: 1},
		"no endpoint reached":                          {peers: scriptedPeers{isPreferred: true}, passes: 1, passedOn: 1},
		"refused for lack of endpoints":                {refusal: noEndpoint, passes: 1},
		"refused for lack of capacity":                 {refusal: overload, passes: 1, isRefused: true},
		"refused since the target has passed":          {refusal: &scheduler.RefusalError{Reason: scheduler.ReasonTooLate, RetryAfter: time.Second}, outcome: OutcomeNotRun, reason: "too_late"},
		"refused by precedence, as at all peers":       {refusal: &scheduler.RefusalError{Reason: scheduler.ReasonPrecedence, RetryAfter: time.Second}, outcome: OutcomeNotRun, reason: "precedence"},
		"two connections refused":                      {errs: []error{driver.ErrConnectionRefused, driver.ErrConnectionRefused}, sends: 2, passes: 1},
		"one connection refused":                       {errs: []error{driver.ErrConnectionRefused}, sends: 2},
		"a request of a peer is never passed on":       {peers: scriptedPeers{isPreferred: true}, origin: &Origin{HostID: "h"}, refusal: noEndpoint, outcome: OutcomeNotRun, reason: ReasonNoPath},
		"returned by three peers":                      {peers: scriptedPeers{isPreferred: true, errs: []error{returned, returned, driver.ErrNotSent}}, passes: 4, passedOn: 1},
		"returned by all peers":                        {peers: scriptedPeers{isPreferred: true, errs: []error{returned, returned, returned, returned}}, refusal: noEndpoint, passes: 4, passedOn: 1, outcome: OutcomeNotRun, reason: ReasonNoPath},
		"two peers lack endpoints":                     {peers: scriptedPeers{isPreferred: true, errs: []error{failedAtPeer(OutcomeNotRun, "overload", 0, 0), failedAtPeer(OutcomeNotRun, "overload", 0, 0)}}, passes: 2, passedOn: 1, outcome: OutcomeNotRun, reason: "overload"},
		"unsafe, the peer's connection breaks":         {peers: scriptedPeers{isPreferred: true, errs: []error{driver.ErrOutcomeUnknown}}, passes: 1, passedOn: 1, outcome: OutcomeUnknown, reason: ReasonEndpointLost},
		"unsafe, broken after a reply, as if not sent": {peers: scriptedPeers{isPreferred: true, errs: []error{errors.Join(driver.ErrOutcomeUnknown, driver.ErrNotSent)}}, passes: 1, passedOn: 1, outcome: OutcomeUnknown, reason: ReasonEndpointLost},
		"safe, the peer's connection breaks":           {peers: scriptedPeers{isPreferred: true, errs: []error{driver.ErrOutcomeUnknown}}, repeatable: true, passes: 2, passedOn: 1},
		"safe, it breaks twice":                        {peers: scriptedPeers{isPreferred: true, errs: []error{driver.ErrOutcomeUnknown, driver.ErrOutcomeUnknown}}, repeatable: true, passes: 2, passedOn: 1, outcome: OutcomeUnknown, reason: ReasonEndpointLost},
		"ran at the peer, which then has no more":      {peers: scriptedPeers{isPreferred: true, errs: []error{failedAtPeer(OutcomeUnknown, "no_endpoint", 1, 1)}}, repeatable: true, passes: 1, passedOn: 1, outcome: OutcomeUnknown, reason: "no_endpoint"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers, endpoints := test.peers, &scriptedForwarder{errs: test.errs}
			passedOn := 0
			f := NewForwarder(ForwarderConfig{
				RecordPassedOn: func(work scheduler.Work) {
					assert.Equal(t, work.Class.Application, "letters")
					passedOn++
				},
				Scheduler: &stubScheduler{refusal: test.refusal}, Driver: endpoints, Meter: nopMeter{}, Logger: hclog.NewNullLogger(),
				RepeatShare: 1, RepeatReserve: 100, RepeatWindow: time.Second, Peers: &peers,
			})
			request := OpaqueRequest{ID: "r", Arrived: time.Now(), Origin: test.origin, Class: classifier.Class{
				Class: configurer.Class{Kind: configurer.KindCall, Repeatable: test.repeatable}, MaxAttempts: 2,
				Shares: []classifier.Share{{Application: "letters", Weight: 1}},
			}}
			outcome, err := f.Run(t.Context(), request, discardWriter{})
			assert.Equal(t, len(peers.requests), test.passes, "%v", err)
			assert.Equal(t, passedOn, test.passedOn, "requests recorded in the demand without an attempt here")
			assert.Equal(t, endpoints.sent, test.sends)
			for i := range peers.requests {
				assert.Equal(t, peers.requests[i].IsRefused, test.isRefused)
			}
			assert.Equal(t, outcome.IsComplete, test.outcome == "", "%v", err)
			var failure *FailureError
			if errors.As(err, &failure) {
				assert.Equal(t, failure.Outcome, test.outcome)
				assert.Equal(t, failure.Reason, test.reason)
			}
			assert.NilError(t, f.Close())
		})
	}
}

// TestLostPeerMayRunMoreThanIsCounted guards against requests that run more often than they may, as a lost peer has run them twice.
func TestLostPeerMayRunMoreThanIsCounted(t *testing.T) {
	t.Parallel()
	const maxAttempts = 3
	lost := []error{driver.ErrOutcomeUnknown, driver.ErrOutcomeUnknown, driver.ErrOutcomeUnknown, driver.ErrOutcomeUnknown}
	for name, test := range map[string]struct {
		requestedRuns int // by each peer, besides its first
		notRepeatable bool
		passes        int
		runs          int // that the peers may make
	}{
		"peers run it once":                 {passes: 3, runs: 3},
		"peers run it twice":                {requestedRuns: 1, passes: 2, runs: 3},
		"peers run it as often as they may": {requestedRuns: 10, passes: 1, runs: 3},
		"must run once":                     {requestedRuns: 1, notRepeatable: true, passes: 1, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := &scriptedPeers{isPreferred: true, errs: lost, requestedRuns: test.requestedRuns}
			f := NewForwarder(ForwarderConfig{
				Scheduler: &stubScheduler{}, Driver: &scriptedForwarder{}, Meter: nopMeter{}, Logger: hclog.NewNullLogger(),
				RepeatShare: 10, RepeatWindow: time.Second, Peers: peers,
			})
			request := newPeerTestRequest(maxAttempts)
			request.Class.Repeatable = !test.notRepeatable
			outcome, err := f.Run(t.Context(), request, discardWriter{})
			assert.Assert(t, err != nil)
			assert.Equal(t, len(peers.requests), test.passes)
			assert.Equal(t, len(peers.requests)+peers.allowedRuns, test.runs)
			assert.Equal(t, outcome.Runs, test.runs)
			assert.Check(t, !peers.requests[0].AllowRun(), "a peer that was lost may run the request again")
			assert.NilError(t, f.Close())
		})
	}
}

// newPeerTestRequest returns a request of an idempotent call.
func newPeerTestRequest(maxAttempts int) OpaqueRequest {
	return OpaqueRequest{ID: "r", Arrived: time.Now(), Class: classifier.Class{
		Class: configurer.Class{Kind: configurer.KindCall, Repeatable: true}, MaxAttempts: maxAttempts,
		Shares: []classifier.Share{{Application: "letters", Weight: 1}},
	}}
}

func TestPeerAsksBeforeFurtherRuns(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		errs     []error // of the sends
		allowed  int
		requests int
		sends    int
	}{
		"first run is served":              {sends: 1},
		"second run is allowed":            {errs: []error{driver.ErrOutcomeUnknown}, allowed: 1, requests: 1, sends: 2},
		"second run is not allowed":        {errs: []error{driver.ErrOutcomeUnknown}, requests: 1, sends: 1},
		"third run is not allowed":         {errs: []error{driver.ErrOutcomeUnknown, driver.ErrOutcomeUnknown}, allowed: 1, requests: 2, sends: 2},
		"a refusal is no run":              {errs: []error{driver.ErrRefused}, sends: 2},
		"allowed run is refused and moves": {errs: []error{driver.ErrOutcomeUnknown, driver.ErrRefused}, allowed: 1, requests: 1, sends: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints, requests := &scriptedForwarder{errs: test.errs}, 0
			f := NewForwarder(ForwarderConfig{
				Scheduler: &stubScheduler{}, Driver: endpoints, Meter: nopMeter{}, Logger: hclog.NewNullLogger(),
				RepeatShare: 10, RepeatWindow: time.Second,
			})
			f.repeatBudget("letters").deposit()
			request := newPeerTestRequest(5)
			request.Origin = &Origin{HostID: "h", Application: "letters", RequestRun: func(context.Context) error {
				if requests++; requests > test.allowed {
					return errors.New("not allowed")
				}
				return nil
			}}
			_, err := f.Run(t.Context(), request, discardWriter{})
			assert.Equal(t, err == nil, requests <= test.allowed, "%v", err)
			assert.Equal(t, requests, test.requests)
			assert.Equal(t, endpoints.sent, test.sends)
			assert.NilError(t, f.Close())
		})
	}
}
