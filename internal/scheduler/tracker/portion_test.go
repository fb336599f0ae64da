package tracker

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// Guards against a host that refuses work because its portion is an equal one while its
// callers ask for more than others, and against a portion of nothing or of everything where
// some of the demand is not known.
func TestPortionFollowsDemand(t *testing.T) {
	t.Parallel()
	demand := func(offered float64) map[string]float64 { return map[string]float64{"drafting": offered} }
	for name, test := range map[string]struct {
		demand      FleetDemand
		withoutPath float64
		want        float64 // of 8 engines, with 3 peers
	}{
		"nothing known":             {want: 2},
		"own demand only":           {demand: FleetDemand{Own: demand(5)}, want: 2},
		"no demand at all":          {demand: FleetDemand{Hosts: 3}, want: 2},
		"equal demand":              {demand: FleetDemand{Own: demand(2), Others: demand(6), Hosts: 3}, want: 2},
		"five times the others'":    {demand: FleetDemand{Own: demand(5), Others: demand(3), Hosts: 3}, want: 8 * 5.1 / 8.4},
		"all demand":                {demand: FleetDemand{Own: demand(4), Hosts: 3}, want: 8 * 4.05 / 4.2},
		"no own demand":             {demand: FleetDemand{Others: demand(6), Hosts: 3}, want: 8 * 0.075 / 6.3},
		"one host of unknown":       {demand: FleetDemand{Own: demand(2), Others: demand(4), Hosts: 2, HostsWithout: 1}, want: 2},
		"a peer without a path":     {demand: FleetDemand{Own: demand(2), Others: demand(6), Hosts: 3}, withoutPath: 1, want: 8.0 / 3},
		"unknown, and without path": {withoutPath: 1, want: 8.0 / 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1000, 0)
			table := NewTable("z")
			table.Demand, table.PeersWithoutPath = test.demand, map[string]float64{"drafting": test.withoutPath}
			var hosts []provider.Host
			for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
				hosts = append(hosts, provider.Host{ID: id, Kind: provider.HostEngine, Application: "drafting", State: provider.HostLive})
			}
			table.SetPeerLoad("/rest", 3, nil, now)
			table.SetHosts(hosts, now)
			summary := table.Applications["drafting"].Summary
			assert.Equal(t, summary.FleetCapacity, RoleCapacity{Mixed: 8})
			assert.Assert(t, math.Abs(summary.Capacity-test.want) < 1e-9, "%v", summary.Capacity)
		})
	}
}
