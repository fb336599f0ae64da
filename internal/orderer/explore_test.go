package orderer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
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
	w.Writes = 0
	d := xxhash.New()
	for _, p := range w.Processes {
		fmt.Fprint(d, p.Alive, p.Held, p.Record.Epoch, p.Record.Term, string(p.Record.Payload), p.Revision == w.Revision,
			p.Barred, p.Queue, p.Attempts, p.Learned, p.Proofs, p.DoubtRev == w.Revision)
		if p.InDoubt != nil {
			fmt.Fprint(d, "late", string(p.InDoubt.Payload))
		}
		for _, s := range p.Sightings {
			if s != nil {
				fmt.Fprint(d, s.RequestedAt.Unix(), s.Report.Incarnation, s.Report.Epoch, s.Report.LastOrderID, s.Report.LastOrderState)
			}
			fmt.Fprint(d, "|")
		}
	}
	fmt.Fprint(d, w.Now, w.Record.Epoch, w.Record.Term, w.Record.Holder, string(w.Record.Payload), w.Endpoints, w.Net,
		w.Orders, w.Fault, w.Finished > 0, w.Broken)
	return d.Sum64()
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
			x := explorer{rules: r, lim: lim, seen: make(map[uint64]struct{}), budget: 100000}
			x.explore(newWorld(lim))
			assert.Equal(t, x.broken, "")
			assert.Assert(t, x.finished > 0, "no order was ever closed by a successor: the model shows nothing")
			t.Logf("%d states", len(x.seen))
		})
	}
}
