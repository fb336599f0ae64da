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
	short := []ApplicationReach{{Application: "a", Reached: 4, Listed: 4, IsShort: true}}
	assert.DeepEqual(t, reachFromMessage(reachToMessage(short)), short)
	older := []*exchangerpb.ApplicationReach{{Application: "a", Reached: 2, Listed: 4}}
	assert.DeepEqual(t, reachFromMessage(older), []ApplicationReach{{Application: "a", Reached: 2, Listed: 4}})
}
