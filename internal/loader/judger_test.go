package loader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJudgeRefusals has a "not run" found false also when the account hides it
// behind what another submission of the same key was told.
func TestJudgeRefusals(t *testing.T) {
	ran := time.Now()
	tests := map[string]struct {
		outcome Outcome
		refused []time.Time
		want    Outcome
	}{
		"none":                      {OutcomeWhole, nil, OutcomeWhole},
		"before the run":            {OutcomeWhole, []time.Time{ran.Add(-time.Second)}, OutcomeWhole},
		"after it, hidden":          {OutcomeUnknown, []time.Time{ran.Add(time.Second)}, OutcomeCrossed},
		"before and after it":       {OutcomeWhole, []time.Time{ran.Add(-time.Second), ran.Add(time.Second)}, OutcomeCrossed},
		"of a call that ran double": {OutcomeDoubled, []time.Time{ran.Add(time.Second)}, OutcomeDoubled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			records := []record{{key: "k", outcome: test.outcome, refused: test.refused}}
			judged := judgeRefusals(records, map[string][]time.Time{"tenant/k": {ran}})
			assert.Equal(t, judged[0].outcome, test.want)
		})
	}
}
