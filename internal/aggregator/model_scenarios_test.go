package aggregator

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

var modelAll = flag.Bool("demand-model-all", false, "run all changes and both approaches at all sizes")

// modelSizes are the numbers of hosts and of their zones.
var modelSizes = []struct{ hosts, zones int }{{9, 3}, {67, 4}, {300, 4}, {985, 5}}

// scenario is a change at second 3 of a run, with bounds that hold in each second from the
// given one on.
type scenario struct {
	change  func(m *model)
	end     func(m *model) // 4 s later
	seconds int            // after the change
	started float64        // part of the hosts that have started before the change; 0: all
	// worstFrom is the second after the change from which on no tenant but the large one is
	// served less than 0.95; differenceFrom is the one from which on zones are served within
	// 0.05 of each other. -1: not required.
	worstFrom, differenceFrom int
	// isSlow is true for a change that is not run at the largest size, where a run takes
	// seconds and another change covers the same messages.
	isSlow    bool
	totalFrom int     // second after the change from which on minTotal holds
	minTotal  float64 // served
}

// grow makes tenant 0 ask for 12 times its usual demand.
func grow(m *model) { m.tenants[0] = 12 * usualDemand[0] }

// some applies a change to every ninth host, hubs among them, while tenant 0 grows.
func some(change func(m *model, h *modelHost)) func(*model) {
	return func(m *model) {
		for i := 0; i < len(m.hosts); i += 9 {
			change(m, m.hosts[i])
		}
		grow(m)
	}
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"a tenant at 12 times": {isSlow: true, change: grow, seconds: 6, worstFrom: 1, differenceFrom: 1, totalFrom: 2, minTotal: 0.95},
		"a tenant at 12 times in one zone": {
			change:  func(m *model) { grow(m); m.burstZone = "z1" },
			seconds: 6, worstFrom: 1, differenceFrom: -1, totalFrom: 2, minTotal: 0.95,
		},
		"a single active tenant": {
			isSlow: true, change: func(m *model) { m.tenants = [modelTenants]float64{1.5} }, seconds: 7, worstFrom: 1, differenceFrom: -1, totalFrom: 4, minTotal: 0.95,
		},
		"zones with five times the demand": {
			change: func(m *model) {
				for _, h := range m.hosts {
					if h.zone == "z1" {
						h.weight = 5
					}
				}
				for tenant := range m.tenants {
					m.tenants[tenant] = usualDemand[tenant] * 2
				}
			}, seconds: 9, worstFrom: -1, differenceFrom: 6, totalFrom: 6, minTotal: 0.95,
		},
		"isolated hosts": {
			change: some(func(_ *model, h *modelHost) { h.isCut = true }), end: some(func(_ *model, h *modelHost) { h.isCut = false }),
			seconds: 7, worstFrom: 2, differenceFrom: -1, totalFrom: 2, minTotal: 0.9,
		},
		"frozen hosts": {
			isSlow: true, change: some(func(_ *model, h *modelHost) { h.isFrozen = true }), end: some(func(_ *model, h *modelHost) { h.isFrozen = false }),
			seconds: 7, worstFrom: 2, differenceFrom: -1, totalFrom: 2, minTotal: 0.85,
		},
		"killed hosts": {
			isSlow: true, change: some(func(m *model, h *modelHost) { h.killedAt = m.now }),
			seconds: 13, worstFrom: 2, differenceFrom: -1, totalFrom: 2, minTotal: 0.85,
		},
		"new hosts": {
			isSlow: true, change: func(m *model) {
				for _, h := range m.hosts {
					if !h.isStarted {
						h.isStarted, h.startedAt = true, m.now
					}
				}
				m.list()
				grow(m)
			}, started: 0.89, seconds: 6, worstFrom: 2, differenceFrom: -1, totalFrom: 2, minTotal: 0.9,
		},
	}
}

// run returns the seconds after the change.
func (s *scenario) run(hosts, zones int, a approach, isLending bool) (after []second) {
	started := hosts
	if s.started > 0 {
		started = int(float64(hosts) * s.started)
	}
	m := newModel(hosts, zones, started, a)
	m.isLending = isLending
	for range 3 {
		m.runSecond()
	}
	s.change(m)
	for i := range s.seconds {
		if i == 4 && s.end != nil {
			s.end(m)
		}
		after = append(after, m.runSecond())
	}
	return after
}

// Guards against tenants and zones that are served worse than the page allows, and against
// portions that sum to more than the engines can do, while demand and hosts change.
func TestFleetDemandModel(t *testing.T) {
	t.Parallel()
	for _, size := range modelSizes {
		for name, s := range scenarios() {
			if s.isSlow && size.hosts > 67 && !*modelAll {
				continue
			}
			t.Run(fmt.Sprintf("%d hosts/%s", size.hosts, name), func(t *testing.T) {
				t.Parallel()
				for i, second := range s.run(size.hosts, size.zones, summed, false) {
					t.Logf("%d: %+v", i, second)
					isDisturbed := s.end != nil && i >= 4 && i < 6
					assert.Check(t, second.portions <= 1.1, "second %d: portions sum to %.3f", i, second.portions)
					assert.Check(t, isDisturbed || s.worstFrom < 0 || i < s.worstFrom || second.worst >= 0.95, "second %d: a tenant is served %.3f", i, second.worst)
					assert.Check(t, s.differenceFrom < 0 || i < s.differenceFrom || second.zoneDifference <= 0.05, "second %d: zones differ by %.3f", i, second.zoneDifference)
					assert.Check(t, i < s.totalFrom || second.total >= s.minTotal, "second %d: %.3f served", i, second.total)
				}
			})
		}
	}
}

// Guards against a choice between the two approaches that the model no longer supports: with
// equal portions and borrowing, zones with more demand are served worse than others.
func TestApproachesCompared(t *testing.T) {
	t.Parallel()
	for _, size := range modelSizes {
		for name, s := range scenarios() {
			if !*modelAll && (size.hosts > 67 || name != "zones with five times the demand") {
				continue
			}
			t.Run(fmt.Sprintf("%d hosts/%s", size.hosts, name), func(t *testing.T) {
				t.Parallel()
				worst := map[string]second{}
				for label, a := range map[string]approach{"summed": summed, "borrowing": borrowing} {
					w := second{worst: 1, total: 1}
					for i, second := range s.run(size.hosts, size.zones, a, label == "borrowing") {
						w.portions = max(w.portions, second.portions)
						if i >= max(s.worstFrom, 1) {
							w.worst = min(w.worst, second.worst)
						}
						if i >= s.totalFrom {
							w.total = min(w.total, second.total)
						}
						w.zoneDifference = second.zoneDifference // of the last second
					}
					worst[label] = w
					t.Logf("%d | %s | %s | %.3f | %.3f | %.3f | %.3f", size.hosts, name, label, w.portions, w.worst, w.total, w.zoneDifference)
				}
				if name == "zones with five times the demand" {
					assert.Check(t, worst["summed"].zoneDifference+0.1 < worst["borrowing"].zoneDifference)
				}
			})
		}
	}
}
