package dispatcher

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/scheduler"
)

// TestShortage guards against hosts that pass requests to peers which refuse them for lack of
// capacity as well, and against a shortage that changes with single refusals.
func TestShortage(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		reason   scheduler.RefusalReason
		refusals int           // of 100 attempts within a second
		after    time.Duration // since the last attempt
		isShort  bool
	}{
		"no refusals":                          {},
		"a few refusals":                       {reason: scheduler.ReasonOverload, refusals: 3},
		"a tenth is refused":                   {reason: scheduler.ReasonOverload, refusals: 10, isShort: true},
		"half a second ago":                    {reason: scheduler.ReasonOverload, refusals: 10, after: 500 * time.Millisecond, isShort: true},
		"long ago":                             {reason: scheduler.ReasonOverload, refusals: 10, after: 5 * time.Second},
		"more urgent work takes the capacity":  {reason: scheduler.ReasonPrecedence, refusals: 10, isShort: true},
		"a tenant has used up its share":       {reason: scheduler.ReasonTenantShare, refusals: 50},
		"the targets passed while work waited": {reason: scheduler.ReasonTooLate, refusals: 50},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			s := newShortages(hclog.NewNullLogger(), func() time.Time { return now })
			for n := range 100 {
				var err error
				if (n+1)*test.refusals/100 > n*test.refusals/100 {
					err = &scheduler.RefusalError{Reason: test.reason}
				}
				s.record("letters", err)
				now = now.Add(10 * time.Millisecond)
			}
			now = now.Add(test.after)
			assert.Equal(t, len(s.short()) == 1, test.isShort)
		})
	}
}
