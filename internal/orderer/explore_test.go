package orderer

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/leaser"
)

// explorer visits each state of the model once, depth first.
type explorer struct {
	rules    rules
	lim      limits
	seen     map[uint64]struct{}
	path     []string
	broken   string // first violation, with the schedule that leads to it
	finished int    // largest number of orders closed by a successor
	budget   int    // states; 0: no bound
}

func (x *explorer) explore(w world) {
	key := w.hash()
	if _, seen := x.seen[key]; seen || x.broken != "" || x.budget > 0 && len(x.seen) >= x.budget {
		return
	}
	x.seen[key] = struct{}{}
	x.finished = max(x.finished, w.Finished)
	if w.Broken != "" {
		x.broken = w.Broken + ":\n" + strings.Join(x.path, "\n")
		return
	}
	for _, s := range w.steps(x.rules, x.lim) {
		next := w.clone()
		s.run(&next)
		next.forget()
		x.path = append(x.path, s.name)
		x.explore(next)
		x.path = x.path[:len(x.path)-1]
	}
}

// hash leaves out what does not decide what may happen: the count of writes.
func (w world) hash() uint64 {
	var k key
	for _, p := range w.Processes {
		k.flags(p.Alive, p.Held, p.Revision == w.Revision, p.InDoubt != nil, p.DoubtRev == w.Revision)
		k.record(p.Record)
		if p.InDoubt != nil {
			k.record(*p.InDoubt)
		}
		k.ints(p.Barred)
		k.messages(p.Queue)
		for _, id := range slices.Sorted(maps.Keys(p.Attempts)) {
			k.text(id)
			k.ints(int64(p.Attempts[id].State), p.Attempts[id].EndedAt.Unix())
		}
		k.times(p.Learned)
		k.times(p.Proofs)
		for _, s := range p.Sightings {
			if k.flags(s != nil); s != nil {
				k.text(s.Report.Incarnation, s.Report.LastOrderID, string(s.Report.LastOrderState))
				k.ints(s.RequestedAt.Unix(), s.Report.Epoch)
			}
		}
	}
	for _, e := range w.Endpoints {
		k.text(append(e.Taken, e.LastID, string(e.State))...)
		k.ints(int64(e.Restarts), e.Fence, e.MaxEpoch)
	}
	k.record(w.Record)
	k.messages(w.Net)
	k.flags(w.Finished > 0, w.Broken != "")
	k.ints(int64(w.Now), int64(w.Orders), int64(w.Fault))
	return xxhash.Sum64(k)
}

// key is a state as bytes.
type key []byte

func (k *key) flags(flags ...bool) {
	for _, flag := range flags {
		*k = strconv.AppendBool(*k, flag)
	}
}

func (k *key) ints(ints ...int64) {
	for _, i := range ints {
		*k = append(strconv.AppendInt(*k, i, 10), ' ')
	}
}

func (k *key) text(texts ...string) {
	for _, text := range texts {
		*k = append(append(*k, text...), 0)
	}
}

func (k *key) record(r leaser.Record) {
	k.text(string(r.Payload), r.Holder.Incarnation)
	k.ints(r.Epoch, r.Term)
}

func (k *key) messages(messages []message) {
	for _, m := range messages {
		k.text(m.Order.OrderID, m.Order.EndpointIncarnation, m.Send.SendID)
		k.ints(int64(m.From), int64(m.To), int64(m.Deadline))
		k.flags(m.Barred)
	}
	k.text("")
}

func (k *key) times(times map[string]time.Time) {
	for _, id := range slices.Sorted(maps.Keys(times)) {
		k.text(id)
		k.ints(times[id].Unix())
	}
	k.text("")
}

func TestExhaustive(t *testing.T) {
	t.Parallel()
	tests := map[string]rules{
		"endpoint ignores fencing numbers": {},
		"endpoint checks fencing numbers":  {fenced: true},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lim := limits{processes: 2, endpoints: 1, orders: 2, epochs: 5, ticks: 3, faults: 1}
			x := explorer{rules: r, lim: lim, seen: make(map[uint64]struct{}), budget: 400000}
			x.explore(newWorld(lim))
			assert.Equal(t, x.broken, "")
			assert.Assert(t, x.finished > 0, "no order was ever closed by a successor: the model shows nothing")
			t.Logf("%d states", len(x.seen))
		})
	}
}
