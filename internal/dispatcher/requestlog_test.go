package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// grantWithBasis is a grant with a given scheduling basis.
type grantWithBasis struct {
	scheduler.Grant
	basis scheduler.Basis
}

func (c *grantWithBasis) Basis() scheduler.Basis { return c.basis }

// Each line about a chosen endpoint contains the revision and age of the endpoint list entry it
// was chosen by, and how long the store has been unreachable. This distinguishes a host that has
// lost the store from one that missed an update and from one that was up to date.
func TestLogIncludesListRevision(t *testing.T) {
	t.Parallel()
	basis := scheduler.Basis{EndpointID: "e1", ListRevision: 39, ListAge: 1200 * time.Millisecond}
	for name, write := range map[string]func(l *requestLogger, fr *forwardedRequest){
		"request served": func(l *requestLogger, fr *forwardedRequest) { l.logServed(fr) },
		"attempt failed": func(l *requestLogger, fr *forwardedRequest) {
			l.logFailedAttempt(fr, &grantWithBasis{basis: basis}, stepSend, driver.Target{}, errors.Join(driver.ErrNotSent, errEndpointUnavailable))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var output bytes.Buffer
			l := newRequestLogger(
				hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &output}),
				func() time.Duration { return 3 * time.Second },
			)
			write(l, &forwardedRequest{request: &OpaqueRequest{ID: "r1", Arrived: time.Now()}, basis: basis})
			var line struct {
				Message            string `json:"@message"`
				Revision           int64  `json:"word_revision"`
				AgeMS              int64  `json:"word_age_ms"`
				StoreUnreachableMS int64  `json:"store_away_ms"`
			}
			assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
			assert.Equal(t, line.Message, name)
			assert.Equal(t, line.Revision, int64(39))
			assert.Equal(t, line.AgeMS, int64(1200))
			assert.Equal(t, line.StoreUnreachableMS, int64(3000))
		})
	}
}

// A request that arrives twice with different IDs and from two addresses has the same fingerprint
// in the log lines about interrupted runs; a different request has a different one.
func TestLogIdentifiesInterruptedRuns(t *testing.T) {
	t.Parallel()
	line := func(id, caller, body string) (fields struct {
		Name   string `json:"request_name"`
		Caller string `json:"caller"`
		RanMS  int64  `json:"ran_ms"`
	},
	) {
		var output bytes.Buffer
		l := newRequestLogger(hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &output}), nil)
		request := &OpaqueRequest{ID: id, CallerAddress: caller, Arrived: time.Now(), Payload: driver.Payload{Method: "POST", Path: "/fill/x", Body: []byte(body)}}
		fr := &forwardedRequest{request: request, identity: identityOf(request), lastAttempt: attemptState{firstEventAt: time.Now().Add(-2 * time.Second)}}
		l.logFailedAttempt(fr, &grantWithBasis{}, stepSend, driver.Target{}, errors.Join(driver.ErrOutcomeUnknown, errors.New("interrupted")))
		assert.NilError(t, json.Unmarshal(output.Bytes(), &fields))
		return fields
	}
	first, again, other := line("r1", "10.0.0.1", "letter"), line("r2", "10.0.0.2", "letter"), line("r1", "10.0.0.1", "other letter")
	assert.Equal(t, first.Caller, "10.0.0.1")
	assert.Assert(t, first.RanMS >= 2000, "ran for %d ms", first.RanMS)
	assert.Equal(t, first.Name, again.Name)
	assert.Assert(t, first.Name != other.Name)
}

// A failed attempt states whether it was sent, where to, and how often the request has been sent there.
func TestLogStatesWhereARequestWasSent(t *testing.T) {
	t.Parallel()
	target := driver.Target{EndpointID: "e1", Address: "10.0.0.1:8080"}
	for name, test := range map[string]struct {
		err   error
		state driver.RunState
		sends int
	}{
		"not sent": {driver.ErrNotNeeded, driver.RunNotSent, 0},
		"refused":  {driver.ErrReplaced, driver.RunRefused, 1},
		"unknown":  {driver.ErrOutcomeUnknown, driver.RunPossible, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var output bytes.Buffer
			l := newRequestLogger(hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &output}), nil)
			fr := &forwardedRequest{request: &OpaqueRequest{ID: "r1", Arrived: time.Now()}}
			fr.recordSend(target, test.err)
			l.logFailedAttempt(fr, &grantWithBasis{}, stepSend, target, test.err)
			var line struct {
				State   driver.RunState `json:"run_state"`
				Address string          `json:"address"`
				Sends   int             `json:"sends_to_address"`
			}
			assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
			assert.Equal(t, line.State, test.state)
			assert.Equal(t, line.Address, target.Address)
			assert.Equal(t, line.Sends, test.sends)
		})
	}
}

// TestLoggedIDIsBounded guards against log lines of many kilobytes, since callers choose their ids.
func TestLoggedIDIsBounded(t *testing.T) {
	assert.Equal(t, LoggedID("9c41d07be2a35f68"), "9c41d07be2a35f68")
	assert.Assert(t, len(LoggedID(strings.Repeat("a", 15_000))) < 2*maxLoggedIDBytes)
}
