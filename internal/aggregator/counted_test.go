package aggregator

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against portions that follow demand which no engine can serve: that of a tenant far
// above its share, or of a less urgent rank while a more urgent one takes all capacity.
func TestCountedDemand(t *testing.T) {
	t.Parallel()
	urgent, later := Key{Application: "drafting"}, Key{Application: "drafting", Rank: 2}
	for name, test := range map[string]struct {
		own, others         map[Key]Demand
		capacity            float64
		wantOwn, wantOthers float64
	}{
		"all fits": {
			own: map[Key]Demand{urgent: {Offered: 1}}, others: map[Key]Demand{urgent: {Offered: 4}, later: {Offered: 2}}, capacity: 8, wantOwn: 1, wantOthers: 6,
		},
		"capacity not known": {own: map[Key]Demand{urgent: {Offered: 9}}, others: map[Key]Demand{urgent: {Offered: 1}}, wantOwn: 9, wantOthers: 1},
		"no tenants":         {own: map[Key]Demand{urgent: {Offered: 9}}, others: map[Key]Demand{urgent: {Offered: 3}}, capacity: 4, wantOwn: 3, wantOthers: 1},
		"a large tenant here": {
			own: snapshotOf(20, TenantDemand{"large", 20}).Demands, others: snapshotOf(4, TenantDemand{"a", 2}, TenantDemand{"b", 2}).Demands,
			capacity: 10, wantOwn: 6, wantOthers: 4,
		},
		// A host whose callers have no tenant has no rest, and would be left without a portion.
		"callers without tenant here": {
			own: map[Key]Demand{key: {Offered: 20}}, others: snapshotOf(4, TenantDemand{"a", 2}, TenantDemand{"b", 2}).Demands,
			capacity: 10, wantOwn: 6, wantOthers: 4,
		},
		"callers without tenant elsewhere": {
			own: snapshotOf(4, TenantDemand{"a", 2}, TenantDemand{"b", 2}).Demands, others: map[Key]Demand{key: {Offered: 20}},
			capacity: 10, wantOwn: 4, wantOthers: 6,
		},
		"a less urgent rank": {
			own: map[Key]Demand{later: {Offered: 6}}, others: map[Key]Demand{urgent: {Offered: 7}}, capacity: 8, wantOwn: 1, wantOthers: 7,
		},
		"a rank for which nothing is left": {
			own: map[Key]Demand{later: {Offered: 6}}, others: map[Key]Demand{urgent: {Offered: 20}}, capacity: 8, wantOwn: 0.4, wantOthers: 8,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own, others := CountedDemand(Snapshot{Demands: test.own}, Snapshot{Demands: test.others}, func(string) float64 { return test.capacity })
			assert.Assert(t, math.Abs(own["drafting"]-test.wantOwn) < 1e-9, "own %v", own)
			assert.Assert(t, math.Abs(others["drafting"]-test.wantOthers) < 1e-9, "others %v", others)
		})
	}
}
