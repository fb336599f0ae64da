package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// recordingScheduler records the work for which endpoints are requested.
type recordingScheduler struct {
	stubScheduler
	works []scheduler.Work
}

func (s *recordingScheduler) Acquire(ctx context.Context, work scheduler.Work) (scheduler.Grant, error) {
	s.works = append(s.works, work)
	return s.stubScheduler.Acquire(ctx, work)
}

// A request that waits until endpoints return would count in the demand each time that it asks
// for one, and could be refused by precedence after it was admitted.
func TestWorkThatWaitsForEndpointsIsAdmitted(t *testing.T) {
	t.Parallel()
	whole := script{tokens: []int{0, 1, 2, 3}, ending: "end"}
	for name, run := range map[string]func(endpoints *fakeEndpoints) error{
		"stream": func(endpoints *fakeEndpoints) error {
			endpoints.scripts = []script{{sendErr: driver.ErrRefused}, whole}
			d := newTestDispatcher(configurer.Class{Kind: configurer.KindGenerate, CompletionTargetMS: 60_000}, endpoints, nil)
			_, err := d.Generate(t.Context(), Request{Tenant: "vitosha", Class: "work", MaxOutputTokens: 4}, nil)
			return err
		},
		"call that runs at most once": func(endpoints *fakeEndpoints) error {
			endpoints.callErrs = []error{driver.ErrNotSent, nil}
			d := newTestDispatcher(configurer.Class{Kind: configurer.KindCall, CompletionTargetMS: 60_000}, endpoints, &fakeClaimer{})
			_, err := d.Call(t.Context(), Request{Tenant: "vitosha", Class: "work", IdempotencyKey: "k"})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := &fakeEndpoints{noEndpointRefusals: 2}
			assert.NilError(t, run(endpoints))
			assert.DeepEqual(t, endpoints.admitted, []bool{false, true, true, true})
		})
	}
}

// A request that was admitted and is tried again could be refused by precedence if its work
// didn't state that, and one that a peer has passed on would count twice in the demand.
func TestWorkForAdmission(t *testing.T) {
	t.Parallel()
	recorder := &recordingScheduler{}
	f := NewForwarder(ForwarderConfig{
		Scheduler: recorder, Driver: &scriptedForwarder{errs: []error{driver.ErrNotNeeded}}, Meter: nopMeter{}, Logger: hclog.NewNullLogger(),
		RepeatShare: 1, RepeatReserve: 100, RepeatWindow: time.Second,
	})
	_, err := f.Run(t.Context(), OpaqueRequest{ID: "r", Arrived: time.Now(), Tenant: "vitosha", Class: classifier.Class{
		Class: configurer.Class{Kind: configurer.KindCall, Repeatable: true}, MaxAttempts: 2, Rank: 2, RouteRank: 1, Timeout: 3 * time.Second,
		Shares: []classifier.Share{{Application: "letters", Weight: 1}},
	}}, discardWriter{})
	assert.NilError(t, err)
	assert.Equal(t, len(recorder.works), 2)
	for i, work := range recorder.works {
		assert.Equal(t, work.Rank, 21)
		assert.Equal(t, work.Tenant, "vitosha")
		assert.Equal(t, work.TimeLimit, 3*time.Second)
		assert.Equal(t, work.IsAdmitted, i > 0)
		assert.Assert(t, !work.IsFromPeer)
	}
}
