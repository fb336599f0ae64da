package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
)

// A decode engine that leaves while another engine prefills the prompt gets no request.
func TestGrantOfALeavingEngineIsNotAvailable(t *testing.T) {
	t.Parallel()
	engine := func(id string, role driver.Role) provider.Host {
		return provider.Host{
			ID: id, Incarnation: id, Kind: provider.HostEngine, Zone: "z", Application: "llm", State: provider.HostLive,
			Role: string(role), Slots: 8,
		}
	}
	prefiller, decoder := engine("e1", driver.RolePrefill), engine("e2", driver.RoleDecode)
	for name, after := range map[string][]provider.Host{"removed": {prefiller}, "leaving": {prefiller, decoder}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(Config{HostID: "h", Zone: "z"})
			s.SetHosts([]provider.Host{prefiller, decoder}, time.Now())
			grant, err := s.Acquire(t.Context(), Work{
				Class:   configurer.Class{Name: "c", Kind: configurer.KindGenerate, Application: "llm", CompletionTargetMS: 60_000},
				Arrived: time.Now(), PromptTokens: 30_000, PrefixKey: "p", PrefixTokens: 20_000, MaxOutputTokens: 10,
			})
			assert.NilError(t, err)
			_, isSplit := grant.PrefillTarget()
			assert.Assert(t, isSplit)
			assert.Assert(t, grant.IsAvailable())
			for i := range after {
				if after[i].ID == "e2" {
					after[i].State = provider.HostLeaving
				}
			}
			s.SetHosts(after, time.Now())
			assert.Assert(t, !grant.IsAvailable())
			grant.Done(Abandoned{})
			assert.NilError(t, s.Close())
		})
	}
}

// TestPlanSplitAfterLoss guards against a host that takes engines which refuse several hosts for usable,
// and against one whose own paths are broken and that takes them for lost.
func TestPlanSplitAfterLoss(t *testing.T) {
	t.Parallel()
	const prefillers, decoders = 8, 8
	for name, test := range map[string]struct {
		isPathBroken bool
		proposals    int
	}{"lost": {proposals: 3}, "paths of this host broken": {isPathBroken: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			s := New(Config{HostID: "h", Zone: "z", Now: func() time.Time { return now }, IsPathBroken: func(string) bool { return test.isPathBroken }})
			var hosts []provider.Host
			loads := map[string]Load{}
			for n := range prefillers + decoders {
				host := provider.Host{
					ID: fmt.Sprintf("e%02d", n), Incarnation: "1", Kind: provider.HostEngine, Zone: "z", Application: "llm",
					State: provider.HostLive, Role: string(driver.RoleDecode), Slots: 12,
				}
				loads[host.ID] = Load{Requests: 7}
				if n < prefillers {
					host.Role = string(driver.RolePrefill)
					loads[host.ID] = Load{Requests: n % 2}
				}
				hosts = append(hosts, host)
			}
			s.SetHosts(hosts, now)
			step := func() []planner.Proposal {
				now = now.Add(100 * time.Millisecond)
				s.SetPeerLoad("peer", 1, loads, now)
				s.Tick(now)
				return s.PlanSplit(nil, now)
			}
			for range 300 {
				assert.Equal(t, len(step()), 0)
			}
			for n := range prefillers * 3 / 4 {
				s.SetSetAside(driver.Process{EndpointID: hosts[n].ID, Incarnation: "1"}, true)
			}
			var proposals []planner.Proposal
			for range 2 {
				proposals = append(proposals, step()...)
			}
			assert.Equal(t, len(proposals), test.proposals)
			for _, proposal := range proposals {
				assert.Equal(t, proposal.Reason, planner.ReasonLoss)
				assert.Equal(t, proposal.Role, driver.RolePrefill)
			}
			assert.NilError(t, s.Close())
		})
	}
}
