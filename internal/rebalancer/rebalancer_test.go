package rebalancer

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
)

// A role change ends when it has taken effect, when it has timed out, and when its process
// has been replaced or is no longer listed.
func TestFinishChanges(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		incarnation string
		role        driver.Role
		isListed    bool
		after       time.Duration
		isChanging  bool
	}{
		"in progress":                 {incarnation: "e1@1", role: driver.RoleDecode, isListed: true, after: time.Second, isChanging: true},
		"in effect":                   {incarnation: "e1@1", role: driver.RolePrefill, isListed: true, after: time.Second},
		"timed out":                   {incarnation: "e1@1", role: driver.RoleDecode, isListed: true, after: changeTimeout},
		"not listed":                  {after: time.Second},
		"restarted":                   {incarnation: "e1@2", role: driver.RoleDecode, isListed: true, after: time.Second},
		"restarted with the new role": {incarnation: "e1@2", role: driver.RolePrefill, isListed: true, after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			incarnation, role, isListed := "e1@1", driver.RoleDecode, true
			var changing []string
			r := New(Config{
				Target: func(id string) (driver.Target, driver.Role, bool) {
					return driver.Target{EndpointID: id, Incarnation: incarnation}, role, isListed
				},
				SetChanging: func(ids []string) { changing = ids },
				Logger:      hclog.NewNullLogger(),
			})
			r.beginChange(planner.Proposal{EndpointID: "e1", Role: driver.RolePrefill}, start)
			assert.DeepEqual(t, changing, []string{"e1"})
			incarnation, role, isListed = test.incarnation, test.role, test.isListed
			r.finishChanges(start.Add(test.after))
			assert.Equal(t, len(changing) == 1, test.isChanging)
			assert.Equal(t, len(r.changing()) == 1, test.isChanging)
		})
	}
}

// An order is announced to peers before it is sent, and for less time after a loss of engines: the
// missing role costs more than requests that are refused. With the time to plan, it is sent within
// half a second of the loss.
func TestAnnouncement(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		reason string
		after  time.Duration
		isDue  bool
	}{
		"announced":                   {reason: planner.ReasonSplit, after: announceDelay, isDue: true},
		"not yet":                     {reason: planner.ReasonSplit, after: announceDelay - planInterval},
		"loss, second evaluation":     {reason: planner.ReasonLoss, after: 2 * planInterval, isDue: true},
		"loss, announced for a while": {reason: planner.ReasonLoss, after: planInterval},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{
				Target:      func(id string) (driver.Target, driver.Role, bool) { return driver.Target{EndpointID: id}, "", true },
				SetChanging: func([]string) {}, Logger: hclog.NewNullLogger(),
			})
			for _, id := range []string{"e1", "e2"} {
				r.beginChange(planner.Proposal{EndpointID: id, Role: driver.RolePrefill, Reason: test.reason}, start)
			}
			due := r.due(start.Add(test.after))
			assert.Equal(t, len(due) == 2, test.isDue)
			assert.Equal(t, len(r.due(start.Add(test.after))), 0, "sent twice")
		})
	}
}
