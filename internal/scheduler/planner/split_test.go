package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

func TestSplit(t *testing.T) {
	t.Parallel()
	engine := func(id, zone string, role driver.Role) SplitEngine {
		return SplitEngine{EndpointID: id, Zone: zone, Role: role, IsUsable: true}
	}
	four := []SplitEngine{
		engine("a1", "a", driver.RolePrefill), engine("a2", "a", driver.RoleDecode),
		engine("b1", "b", driver.RoleDecode), engine("b2", "b", driver.RoleDecode),
	}
	busy := append([]SplitEngine(nil), four...)
	busy[2].Requests = 5
	slow := append([]SplitEngine(nil), four...)
	slow[2].Requests, slow[2].Slowdown = 2, 3
	slow[3].Requests, slow[3].Slowdown = 4, 0.5
	changing := append([]SplitEngine(nil), four...)
	changing[2].Role, changing[2].IsChanging = driver.RolePrefill, true
	lost := append([]SplitEngine(nil), four...)
	lost[0].IsUsable = false
	for name, test := range map[string]struct {
		engines []SplitEngine
		prefill int
		want    []Proposal
	}{
		"no change needed":                      {four, 1, nil},
		"zone with most decode engines":         {four, 2, []Proposal{{"b1", driver.RolePrefill, "split"}}},
		"engine with fewest requests":           {busy, 2, []Proposal{{"b2", driver.RolePrefill, "split"}}},
		"engine that drains first":              {slow, 2, []Proposal{{"b2", driver.RolePrefill, "split"}}},
		"engine that is changing counts":        {changing, 2, nil},
		"engine that is changing is not chosen": {changing, 1, []Proposal{{"a1", driver.RoleDecode, "split"}}},
		"no prefill engines requested":          {four, 0, nil},
		"one decode engine remains":             {four, 9, []Proposal{{"b1", driver.RolePrefill, "split"}, {"a2", driver.RolePrefill, "split"}}},
		"last prefill engine is unusable":       {lost, 1, []Proposal{{"b1", driver.RolePrefill, "split"}}},
		"no engines":                            {nil, 3, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, PlanSplit(test.engines, test.prefill), test.want)
		})
	}
}
