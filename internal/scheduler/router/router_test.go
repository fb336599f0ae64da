package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newTable(count int) *tracker.Table {
	zones := []string{"palermo", "catania", "messina"}
	hosts := make([]provider.Host, count)
	for i := range hosts {
		hosts[i] = provider.Host{
			ID: fmt.Sprintf("engine-%05d", i), Incarnation: "1", Kind: provider.HostEngine,
			Zone: zones[i%len(zones)], Application: "booking", State: provider.HostLive,
		}
	}
	table := tracker.NewTable("palermo")
	table.SetHosts(hosts, start)
	return table
}

func newRouter(strategy Strategy, seed uint64) *Router {
	return New(strategy, rand.New(rand.NewPCG(seed, 1)))
}

func query() *Query {
	return &Query{Kind: configurer.KindGenerate, PromptTokens: 800, OutputTokens: 100, Now: start}
}

func engine(table *tracker.Table, i int) *tracker.Endpoint {
	return table.Endpoints[fmt.Sprintf("engine-%05d", i)]
}

func TestChoose(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		engines int
		arrange func(table *tracker.Table, q *Query)
		want    string // id of the engine that decodes
		prefill string
		verdict VerdictKind
	}{
		"local zone at equal load": {engines: 3, want: "engine-00000"},
		"decode engine if no prefill engine is reached": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Role, engine(table, 0).Unreached = driver.RolePrefill, true
				engine(table, 1).Role = driver.RoleDecode
				table.Refresh(start)
				table.Application("booking").Summary.HasSeparateRoles = true
			},
			want: "engine-00001",
		},
		"other zone if the gain exceeds the zone penalty": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Own = tracker.Load{Requests: 8, PrefillTokens: 4000}
			},
			want: "engine-00001",
		},
		"local zone if the gain is below the zone penalty": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Own = tracker.Load{PrefillTokens: 50}
			},
			want: "engine-00000",
		},
		"other zone if the machine is slow at the moment": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).ObserveMachine(800, start)
			},
			want: "engine-00001",
		},
		"local zone if the machine's value is implausible": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).ObserveMachine(80_000, start)
			},
			want: "engine-00000",
		},
		"load of peers is counted": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				table.SetPeerLoad("entry-2", 1, map[string]tracker.Load{"engine-00000": {Requests: 9, PrefillTokens: 5000}}, start)
			},
			want: "engine-00001",
		},
		"other zone if its engine caches the prefix": {
			engines: 2,
			arrange: func(table *tracker.Table, q *Query) {
				q.PromptTokens, q.PrefixKey, q.PrefixTokens = 4000, "rules", 3500
				table.Application("booking").Prefixes.Store("rules", engine(table, 1), 3500, start)
			},
			want: "engine-00001",
		},
		"local zone if the prefix hint has expired": {
			engines: 2,
			arrange: func(table *tracker.Table, q *Query) {
				q.PromptTokens, q.PrefixKey, q.PrefixTokens = 4000, "rules", 3500
				table.Application("booking").Prefixes.Store("rules", engine(table, 1), 3500, start.Add(-time.Hour))
			},
			want: "engine-00000",
		},
		"busy if all endpoints are at their limits": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Own.Requests = 16
				engine(table, 1).Own.Requests = 16
			},
			verdict: Busy,
		},
		"limits are ignored on request": {
			engines: 1,
			arrange: func(table *tracker.Table, q *Query) {
				engine(table, 0).Own.Requests = 16
				q.IgnoreLimits = true
			},
			want: "engine-00000",
		},
		"only endpoint has an open breaker": {
			engines: 1,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Breaker.Fail(false, true, 0, start)
			},
			verdict: BreakerOpen,
		},
		"target between tokens outweighs the zone": {
			engines: 2,
			arrange: func(table *tracker.Table, q *Query) {
				q.TokenIntervalTarget = 11 * time.Millisecond
				engine(table, 0).Own.Requests = 15
			},
			want: "engine-00001",
		},
		"pair of separate roles": {
			engines: 2,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Role = driver.RolePrefill
				engine(table, 1).Role = driver.RoleDecode
				table.Tick(start)
			},
			want: "engine-00001", prefill: "engine-00000",
		},
		"no endpoint with only a prefill engine": {
			engines: 1,
			arrange: func(table *tracker.Table, _ *Query) {
				engine(table, 0).Role = driver.RolePrefill
				table.Tick(start)
			},
			verdict: NoEndpoint,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table, q := newTable(test.engines), query()
			if test.arrange != nil {
				test.arrange(table, q)
			}
			choice, verdict := newRouter(EstimatedFinish, 1).Choose(table.Application("booking"), q)
			assert.Equal(t, verdict.Kind, test.verdict)
			if test.want != "" {
				assert.Equal(t, choice.Decode.Target.EndpointID, test.want)
			}
			assert.Equal(t, choice.Prefill != nil, test.prefill != "")
			if test.prefill != "" {
				assert.Equal(t, choice.Prefill.Target.EndpointID, test.prefill)
			}
		})
	}
}

// An endpoint that may not be given work is never chosen, and a usable one is
// found at any position in the list.
func TestChooseOnlyUsable(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "engines")
		table, q := newTable(count), query()
		usable := 0
		for i := range count {
			endpoint, ok := engine(table, i), false
			switch rapid.SampledFrom([]string{"usable", "leaving", "excluded", "breaker open", "draining", "marked", "unreached"}).Draw(t, "state") {
			case "leaving":
				endpoint.Leaving = true
			case "excluded":
				q.Excluded = append(q.Excluded, endpoint.Target.EndpointID)
			case "breaker open":
				endpoint.Breaker.Fail(false, true, 0, start)
			case "draining":
				endpoint.Draining = true
			case "marked":
				endpoint.MarkedLeavingAt = start
			case "unreached":
				endpoint.Unreached = true
			default:
				ok = true
				usable++
			}
			endpoint.Slowdown = map[bool]float64{true: 8, false: 0.25}[ok] // unusable endpoints look faster
		}
		strategy := rapid.SampledFrom([]Strategy{EstimatedFinish, RoundRobin, FewestInFlight}).Draw(t, "routing")
		choice, verdict := newRouter(strategy, rapid.Uint64().Draw(t, "seed")).Choose(table.Application("booking"), q)
		assert.Equal(t, verdict.Kind == Chosen, usable > 0)
		if usable > 0 {
			assert.Equal(t, choice.Decode.Slowdown, 8.0)
		}
	})
}

// Nine hosts with the same outdated state place a burst, each counting only its
// own requests, as before their first exchange. If every host took the best of all
// engines, the first requests of all hosts would go to the same engine.
func TestHostsSpreadBurst(t *testing.T) {
	t.Parallel()
	const hosts, burst, engines = 9, 4, 14
	requestsByEngine := map[string]int{}
	for host := range hosts {
		table := newTable(engines)
		table.Zone = []string{"palermo", "catania", "messina"}[host%3]
		regroupByZone(table)
		r := newRouter(EstimatedFinish, uint64(host))
		for range burst {
			q := query()
			choice, verdict := r.Choose(table.Application("booking"), q)
			assert.Equal(t, verdict.Kind, Chosen)
			choice.Decode.Own = choice.Decode.Own.Plus(tracker.Load{Requests: 1, PrefillTokens: q.PromptTokens})
			requestsByEngine[choice.Decode.Target.EndpointID]++
		}
	}
	maxRequests := 0
	for _, count := range requestsByEngine {
		maxRequests = max(maxRequests, count)
	}
	t.Logf("%d requests on %d of %d engines, %d at most", hosts*burst, len(requestsByEngine), engines, maxRequests)
	assert.Assert(t, len(requestsByEngine) >= engines-2)
	assert.Assert(t, maxRequests <= 2*hosts*burst/engines+1)
}

// regroupByZone rebuilds the lists of local and remote engines after a change of
// the table's zone.
func regroupByZone(table *tracker.Table) {
	application := table.Application("booking")
	all := append(append([]*tracker.Endpoint{}, application.Local...), application.Remote...)
	application.Local, application.Remote = nil, nil
	for _, endpoint := range all {
		if endpoint.Local = endpoint.Zone == table.Zone; endpoint.Local {
			application.Local = append(application.Local, endpoint)
		} else {
			application.Remote = append(application.Remote, endpoint)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 120, 1200, 12000} {
		for _, state := range []string{"free", "full", "split"} {
			b.Run(fmt.Sprintf("%s/engines=%d", state, count), func(b *testing.B) {
				table, q := newTable(count), query()
				q.PrefixKey, q.PrefixTokens = "rules", 500
				for i := range count {
					switch {
					case state == "full":
						engine(table, i).Own.Requests = 16
					case state == "split" && i%2 == 0:
						engine(table, i).Role = driver.RolePrefill
					case state == "split":
						engine(table, i).Role = driver.RoleDecode
					}
				}
				table.Application("booking").Prefixes.Store("rules", engine(table, 1), 500, start)
				table.Tick(start)
				r := newRouter(EstimatedFinish, 1)
				b.ReportAllocs()
				for b.Loop() {
					r.Choose(table.Application("booking"), q)
				}
			})
		}
	}
}
