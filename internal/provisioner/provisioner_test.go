package provisioner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/leaser"
)

var (
	start       = time.Unix(1_790_000_000, 0)
	target      = Target{Application: "llm", Zone: "a"}
	errNoAnswer = errors.New("no answer")
)

// simulation runs several hosts with the authority's record and the platform.
type simulation struct {
	now    time.Time
	record leaser.Record
	holder *host

	highestEpoch int64
	engines      int   // desired number of the last accepted order
	delayedOrder Order // executed late; Desired 0: none
	calls        []Order
	lostCalls    int // how many of the next calls are lost
	delayedCalls int // how many of the next calls are executed late
	planned      int
}

type host struct {
	*Provisioner
	sim *simulation
}

func newSimulation(hosts int) (sim *simulation, list []*host) {
	sim = &simulation{now: start}
	for range hosts {
		h := &host{sim: sim}
		h.Provisioner = New(Config{
			Authority: h, HostID: "host", TakeoverDelay: 3 * time.Second, Now: func() time.Time { return sim.now },
			Plan: func(ordered map[Target]int, _ time.Time) []PlannedOrder {
				if sim.planned == 0 || ordered[target] == sim.planned {
					return nil
				}
				return []PlannedOrder{{Target: target, Desired: sim.planned}}
			},
			Send: sim.send, Logger: hclog.NewNullLogger(),
		})
		list = append(list, h)
	}
	sim.takeOver(list[0])
	return sim, list
}

func (sim *simulation) takeOver(h *host) {
	sim.record = leaser.TakeOver(sim.record, "fleet", leaser.Holder{}, "")
	sim.holder = h
}

func (sim *simulation) send(_ context.Context, order Order) error {
	sim.calls = append(sim.calls, order)
	switch {
	case sim.lostCalls > 0:
		sim.lostCalls--
		return errNoAnswer
	case sim.delayedCalls > 0:
		sim.delayedCalls--
		sim.delayedOrder = order
		return errNoAnswer
	}
	return sim.accept(order)
}

func (sim *simulation) accept(order Order) error {
	if order.Epoch < sim.highestEpoch {
		return ErrStaleEpoch
	}
	sim.highestEpoch, sim.engines = order.Epoch, order.Desired
	return nil
}

// Record implements Authority.
func (h *host) Record() (leaser.Record, bool) { return h.sim.record, h.sim.holder == h }

// Update implements Authority.
func (h *host) Update(_ context.Context, edit func(*leaser.Draft) error) (leaser.Record, error) {
	if h.sim.holder != h {
		return leaser.Record{}, leaser.ErrNotHolder
	}
	next, err := leaser.Revise(h.sim.record, "", edit)
	if err == nil {
		h.sim.record = next
	}
	return next, err
}

func (sim *simulation) advance(t *testing.T, hosts []*host, d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(stepInterval) {
		for _, h := range hosts {
			h.step(t.Context())
		}
	}
}

func TestOrders(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		fault    func(sim *simulation, hosts []*host)
		maxCalls int
	}{
		"no failure":         {fault: func(*simulation, []*host) {}, maxCalls: 1},
		"call lost":          {fault: func(sim *simulation, _ []*host) { sim.lostCalls = 2 }, maxCalls: 3},
		"call executed late": {fault: func(sim *simulation, _ []*host) { sim.delayedCalls = 1 }, maxCalls: 2},
		"holder replaced, call lost": {fault: func(sim *simulation, hosts []*host) {
			sim.lostCalls = 1
			hosts[0].step(t.Context())
			sim.takeOver(hosts[1])
		}, maxCalls: 3},
		"refused": {fault: func(sim *simulation, _ []*host) { sim.highestEpoch = 4 }, maxCalls: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, hosts := newSimulation(2)
			sim.planned = 9
			test.fault(sim, hosts)
			sim.advance(t, hosts, 20*time.Second)
			assert.Equal(t, sim.engines, 9)
			assert.Assert(t, len(sim.calls) <= test.maxCalls, "%d calls", len(sim.calls))
			for i := 1; i < len(sim.calls); i++ {
				assert.Assert(t, sim.calls[i].Epoch > sim.calls[i-1].Epoch, "a call has no higher fencing number than the one before")
			}
		})
	}
}

// An order that is executed seconds late does not undo a later one.
func TestLateOrder(t *testing.T) {
	t.Parallel()
	sim, hosts := newSimulation(1)
	sim.planned, sim.delayedCalls = 9, 1
	sim.advance(t, hosts, 500*time.Millisecond)
	sim.planned = 5
	sim.advance(t, hosts, 5*time.Second)
	assert.Equal(t, sim.engines, 5)
	assert.Equal(t, sim.delayedOrder.Desired, 9)
	assert.ErrorIs(t, sim.accept(sim.delayedOrder), ErrStaleEpoch)
	assert.DeepEqual(t, hosts[0].Ordered(), map[Target]int{target: 5})
}

// The store loses the record of the latest order, and comes back with an earlier one.
func TestRestoredOrderIsNotSentAgain(t *testing.T) {
	t.Parallel()
	sim, hosts := newSimulation(2)
	sim.planned = 5
	sim.advance(t, hosts, time.Second)
	copied := sim.record
	sim.planned = 9
	sim.advance(t, hosts, time.Second)
	assert.Equal(t, sim.engines, 9)
	sim.record = leaser.CarryOver(copied, 1, sim.now)
	sim.takeOver(hosts[1])
	sim.planned = 0 // the successor needs no change
	sim.advance(t, hosts, 10*time.Second)
	assert.Equal(t, sim.engines, 9)
	sim.planned = 7
	sim.advance(t, hosts, 10*time.Second)
	assert.Equal(t, sim.engines, 7)
}
