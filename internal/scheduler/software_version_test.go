package scheduler

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
)

// versionedEngines returns engines with a software version each.
func versionedEngines(versions ...string) []provider.Host {
	hosts := engines(len(versions))
	for i, version := range versions {
		hosts[i].SoftwareVersion = version
	}
	return hosts
}

func TestSoftwareVersionOfAStream(t *testing.T) {
	t.Parallel()
	many := make([]string, 2*64+1) // more than one search looks at
	for i := range many {
		many[i] = "v1"
	}
	many[100] = "v2"
	leaving := versionedEngines("v1", "v2")
	leaving[1].State = provider.HostLeaving
	for name, test := range map[string]struct {
		hosts    []provider.Host
		excluded []string
		want     string
		refused  RefusalReason
	}{
		"its engine":            {hosts: versionedEngines("v1", "v2", "v1"), want: "engine-1"},
		"one of many engines":   {hosts: versionedEngines(many...), want: "engine-100"},
		"no engine":             {hosts: versionedEngines("v1", "v1-2"), refused: ReasonNoVersion},
		"its engine leaves":     {hosts: leaving, refused: ReasonNoVersion},
		"its engine has failed": {hosts: versionedEngines("v1", "v2"), excluded: []string{"engine-1"}, refused: ReasonNoEndpoint},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now := newScheduler(t, test.hosts)
			work := newWork(*now)
			work.SoftwareVersion, work.Excluded, work.DeliveredTokens = "v2", test.excluded, 3
			grant, err := s.Acquire(t.Context(), work)
			if test.refused != "" {
				var refusal *RefusalError
				assert.Assert(t, errors.As(err, &refusal), "got %v", err)
				assert.Equal(t, refusal.Reason, test.refused)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, grant.Target().EndpointID, test.want)
			assert.Equal(t, grant.Basis().SoftwareVersion, "v2")
			grant.Done(Abandoned{})
		})
	}
}

// TestStreamsOfABusyVersionDelayNobody guards against work for one software version that keeps the rest of the queue waiting.
func TestStreamsOfABusyVersionDelayNobody(t *testing.T) {
	t.Parallel()
	s, now := newScheduler(t, versionedEngines("v2"))
	fillEngine(t, s, *now)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	const waiting = 2 * maxSkipped
	for n := range waiting {
		work := newWork(*now)
		work.RequestID, work.SoftwareVersion = fmt.Sprint("w", n), "v2"
		work.Class.FirstTokenTargetMS, work.Class.CompletionTargetMS = 600_000, 600_000
		group.Go(func() error {
			_, err := s.Acquire(ctx, work)
			return err
		})
	}
	waitForVersionQueue(t, s, "v2", waiting)
	s.SetHosts(versionedEngines("v2", "v1"), *now)
	s.Tick(*now)
	grant, err := s.Acquire(ctx, newWork(*now))
	assert.NilError(t, err)
	assert.Equal(t, grant.Target().SoftwareVersion, "v1")
	grant.Done(Completed{End: driver.End{OutputTokens: 1}})
	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
}
