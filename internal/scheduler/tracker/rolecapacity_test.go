package tracker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// If the bottleneck role is not considered, work is admitted that waits for it until it is
// late.
func TestRoleCapacity(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		capacity RoleCapacity
		mix      WorkMix
		want     float64
	}{
		"mixed engines":                        {RoleCapacity{Mixed: 6}, WorkMix{Prefill: 0.9}, 6},
		"plain services":                       {RoleCapacity{Mixed: 4}, WorkMix{Prefill: 0}, 4},
		"balanced roles":                       {RoleCapacity{Prefill: 4, Decode: 12}, WorkMix{Prefill: 0.25}, 16},
		"prefill is the bottleneck":            {RoleCapacity{Prefill: 4, Decode: 8}, WorkMix{Prefill: 0.8}, 5},
		"decode engines prefill small prompts": {RoleCapacity{Prefill: 4, Decode: 8}, WorkMix{Prefill: 0.8, Direct: 0.8}, 16 / 1.8},
		"few prompts are small":                {RoleCapacity{Prefill: 4, Decode: 8}, WorkMix{Prefill: 0.75, Direct: 0.25}, 8},
		"decode is the bottleneck":             {RoleCapacity{Prefill: 8, Decode: 4}, WorkMix{Prefill: 0.5}, 8},
		"mixed engines help both":              {RoleCapacity{Mixed: 2, Prefill: 2, Decode: 8}, WorkMix{Prefill: 0.8}, 5},
		"decode engines do the prefill":        {RoleCapacity{Decode: 8}, WorkMix{Prefill: 0.8}, 8},
		"nothing decodes":                      {RoleCapacity{Prefill: 8}, WorkMix{Prefill: 0.5}, 0},
		"prefill only, nothing to decode":      {RoleCapacity{Prefill: 8}, WorkMix{Prefill: 1}, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, test.capacity.Of(test.mix), test.want)
		})
	}
}
