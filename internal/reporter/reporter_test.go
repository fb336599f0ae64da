package reporter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/leaser"
)

const window = 5 * time.Second

var start = time.Unix(1_790_000_000, 0)

var errNoAnswer = errors.New("no answer")

// store holds the authority's record, which only its holder may write.
type store struct {
	record leaser.Record
	holder *host
	// loseNextAnswer makes the next write succeed without an answer; failUpdates makes all
	// writes fail.
	loseNextAnswer, failUpdates bool
}

// fakePlatform records the reports that it accepts, and checks fencing numbers if
// checksFencing is set.
type fakePlatform struct {
	checksFencing bool
	highestEpoch  int64
	accepted      map[int64]map[string]int64
	delayed       []Report
	// How many of the next calls are lost, executed without an answer, or executed late.
	lostCalls, lostAnswers, delayedCalls int
	violations                           []string
}

func (d *fakePlatform) accept(report Report) error {
	if d.checksFencing && report.Epoch < d.highestEpoch {
		return ErrStaleEpoch
	}
	d.highestEpoch = max(d.highestEpoch, report.Epoch)
	if before, ok := d.accepted[report.Window]; ok && !equal(before, report.Counts) {
		d.violations = append(d.violations, "two reports for one window")
	}
	d.accepted[report.Window] = report.Counts
	return nil
}

func (d *fakePlatform) send(_ context.Context, report Report) error {
	switch {
	case d.lostCalls > 0:
		d.lostCalls--
		return errNoAnswer
	case d.delayedCalls > 0:
		d.delayedCalls--
		d.delayed = append(d.delayed, report)
		return errNoAnswer
	case d.lostAnswers > 0:
		d.lostAnswers--
		if err := d.accept(report); err != nil {
			return err
		}
		return errNoAnswer
	}
	return d.accept(report)
}

func equal(a, b map[string]int64) bool {
	if len(a) != len(b) {
		return false
	}
	for tenant, count := range a {
		if b[tenant] != count {
			return false
		}
	}
	return true
}

// simulation runs several hosts with one store and one platform.
type simulation struct {
	t        *testing.T
	now      time.Time
	store    *store
	platform *fakePlatform
	hosts    []*host
}

type host struct {
	sim      *simulation
	reporter *Reporter
	counts   map[int64]map[string]int64
	// staleRecord is the record that a former holder still assumes to be in force.
	staleRecord *leaser.Record
	isSuspended bool
}

func newSimulation(t *testing.T, checksFencing bool, hosts int) *simulation {
	sim := &simulation{t: t, now: start, store: &store{}, platform: &fakePlatform{checksFencing: checksFencing, accepted: map[int64]map[string]int64{}}}
	for range hosts {
		h := &host{sim: sim, counts: map[int64]map[string]int64{}}
		h.reporter = New(Config{
			Authority: h, HostID: "host", TakeoverDelay: 3 * time.Second,
			WindowAt:  func(at time.Time) int64 { return at.UnixMilli() / window.Milliseconds() },
			WindowEnd: func(n int64) time.Time { return time.UnixMilli((n + 1) * window.Milliseconds()) },
			Totals:    func(n int64) map[string]int64 { return h.counts[n] },
			Send:      sim.platform.send, Now: func() time.Time { return sim.now }, Logger: hclog.NewNullLogger(),
		})
		sim.hosts = append(sim.hosts, h)
	}
	sim.takeOver(sim.hosts[0])
	return sim
}

func (sim *simulation) takeOver(h *host) {
	sim.store.record = leaser.TakeOver(sim.store.record, "fleet", leaser.Holder{}, "")
	sim.store.holder = h
	h.staleRecord = nil
}

// Record implements Authority.
func (h *host) Record() (leaser.Record, bool) {
	if h.staleRecord != nil {
		return *h.staleRecord, true
	}
	return h.sim.store.record, h.sim.store.holder == h
}

// Update implements Authority.
func (h *host) Update(_ context.Context, edit func(*leaser.Draft) error) (leaser.Record, error) {
	s := h.sim.store
	if s.holder != h {
		return leaser.Record{}, leaser.ErrNotHolder
	}
	if s.failUpdates {
		return leaser.Record{}, errNoAnswer
	}
	next, err := leaser.Revise(s.record, "", edit)
	if err != nil {
		return leaser.Record{}, err
	}
	s.record = next
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return leaser.Record{}, errNoAnswer
	}
	return next, nil
}

// setCount sets the number of requests that a host counts in the current window.
func (sim *simulation) setCount(h *host, requests int64) {
	n := h.reporter.cfg.WindowAt(sim.now)
	h.counts[n] = map[string]int64{"x": requests}
}

// advance runs the hosts while time passes.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(stepInterval) {
		for _, h := range sim.hosts {
			if !h.isSuspended {
				h.reporter.step(sim.t.Context())
			}
		}
	}
}

func TestEachWindowIsReportedOnce(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, true, 1)
	first := sim.hosts[0].reporter.cfg.WindowAt(sim.now)
	for range 4 {
		sim.setCount(sim.hosts[0], 7)
		sim.advance(window)
	}
	sim.advance(window)
	for n := first; n < first+4; n++ {
		assert.DeepEqual(t, sim.platform.accepted[n], map[string]int64{"x": 7})
	}
	assert.Equal(t, sim.hosts[0].reporter.Status().IsConfirmed, true)
}

// Guards against two reports with different counts for one window, and against a late
// report, after any failure between recording the counts and the confirmation of the
// report.
func TestReportsOfAWindowAgree(t *testing.T) {
	t.Parallel()
	const reportDeadline = 9 * time.Second // after the window's end; the report is due within 10 s
	for name, fault := range map[string]func(sim *simulation, former, successor *host){
		"no failure":               func(*simulation, *host, *host) {},
		"call lost":                func(sim *simulation, _, _ *host) { sim.platform.lostCalls = 2 },
		"answer lost":              func(sim *simulation, _, _ *host) { sim.platform.lostAnswers = 1 },
		"call executed late":       func(sim *simulation, _, _ *host) { sim.platform.delayedCalls = 1 },
		"record can't be written":  func(sim *simulation, _, _ *host) { sim.store.failUpdates = true },
		"answer to the write lost": func(sim *simulation, _, _ *host) { sim.store.loseNextAnswer = true },
		"holder killed, call lost": func(sim *simulation, former, successor *host) {
			sim.platform.lostCalls = 1
			sim.advance(window + settlingDelay + 2*stepInterval)
			former.isSuspended = true
			sim.takeOver(successor)
		},
		"holder killed, answer lost": func(sim *simulation, former, successor *host) {
			sim.platform.lostAnswers = 1
			sim.advance(window + settlingDelay + 2*stepInterval)
			former.isSuspended = true
			sim.takeOver(successor)
		},
		"holder killed, call delayed": func(sim *simulation, former, successor *host) {
			sim.platform.delayedCalls = 1
			sim.advance(window + settlingDelay + 2*stepInterval)
			former.isSuspended = true
			sim.takeOver(successor)
		},
		"former holder unaware of its successor": func(sim *simulation, former, successor *host) {
			sim.platform.lostCalls = 1
			sim.advance(window + settlingDelay + 2*stepInterval)
			record := sim.store.record
			former.staleRecord = &record
			sim.takeOver(successor)
		},
		"holder killed before it recorded counts": func(sim *simulation, former, successor *host) {
			sim.advance(window)
			former.isSuspended = true
			sim.takeOver(successor)
		},
	} {
		for mode, checksFencing := range map[string]bool{"fencing checked": true, "fencing not checked": false} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, checksFencing, 2)
				former, successor := sim.hosts[0], sim.hosts[1]
				n := former.reporter.cfg.WindowAt(sim.now)
				sim.setCount(former, 7)
				sim.setCount(successor, 6) // it has not received the latest counts
				startedAt := sim.now
				fault(sim, former, successor)
				if sim.store.failUpdates {
					sim.advance(window + settlingDelay + time.Second)
					sim.store.failUpdates = false
				}
				sim.advance(startedAt.Add(window + reportDeadline).Sub(sim.now))
				for _, report := range sim.platform.delayed {
					_ = sim.platform.accept(report) // arrives seconds later; a refusal is correct too
				}
				sim.advance(window)
				assert.Equal(t, len(sim.platform.violations), 0, "%v", sim.platform.violations)
				count := sim.platform.accepted[n]["x"]
				assert.Assert(t, count == 7 || count == 6 && name == "holder killed before it recorded counts", "%d requests", count)
			})
		}
	}
}

// A refused fencing number is not used again: the holder raises it, which only the holder
// can do.
func TestRefusedFencingNumber(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, true, 1)
	sim.platform.highestEpoch = 4
	n := sim.hosts[0].reporter.cfg.WindowAt(sim.now)
	sim.setCount(sim.hosts[0], 7)
	sim.advance(window + settlingDelay + 5*time.Second)
	assert.DeepEqual(t, sim.platform.accepted[n], map[string]int64{"x": 7})
}

// The store loses the record of a report that was sent, and the next holder has counted
// more requests since.
func TestLostReportIsNotSentAgainWithOtherCounts(t *testing.T) {
	t.Parallel()
	for name, takeOverAfter := range map[string]time.Duration{"at once": 0, "later in the window": window / 2, "in the next window": window} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, true, 3)
			former, successor, third := sim.hosts[0], sim.hosts[1], sim.hosts[2]
			copied := sim.store.record
			n := former.reporter.cfg.WindowAt(sim.now)
			sim.setCount(former, 7)
			sim.advance(window + settlingDelay + 2*stepInterval)
			assert.DeepEqual(t, sim.platform.accepted[n], map[string]int64{"x": 7})
			for _, h := range sim.hosts {
				h.counts[n] = map[string]int64{"x": 8} // one more count has arrived since
			}
			sim.store.holder = nil // its authority is lost with the era
			sim.advance(takeOverAfter)
			sim.store.record = leaser.CarryOver(copied, 1, sim.now)
			sim.takeOver(successor)
			sim.advance(window / 2)
			sim.takeOver(third) // in the same era
			sim.setCount(third, 5)
			current := third.reporter.cfg.WindowAt(sim.now)
			sim.advance(3 * window)
			assert.Equal(t, len(sim.platform.violations), 0, "%v", sim.platform.violations)
			assert.DeepEqual(t, sim.platform.accepted[n], map[string]int64{"x": 7})
			assert.DeepEqual(t, sim.platform.accepted[current], map[string]int64{"x": 5})
		})
	}
}
