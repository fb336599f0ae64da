package exchanger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// TestReachMessages guards against a shortage of capacity that peers do not learn of, and against
// older builds that count as short of capacity.
func TestReachMessages(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		message *exchangerpb.ApplicationReach
		want    ApplicationReach
	}{
		"short":         {reachToMessage([]ApplicationReach{{Application: "a", Reached: 4, Listed: 4, IsShort: true}})[0], ApplicationReach{Application: "a", Reached: 4, Listed: 4, IsShort: true}},
		"older build":   {&exchangerpb.ApplicationReach{Application: "a", Reached: 2, Listed: 4}, ApplicationReach{Application: "a", Reached: 2, Listed: 4}},
		"invalid count": {&exchangerpb.ApplicationReach{Application: "a", Reached: 9, Listed: -4}, ApplicationReach{Application: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, reachFromMessage([]*exchangerpb.ApplicationReach{test.message}), []ApplicationReach{test.want})
		})
	}
}
