package returner

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against promising the same room twice, or room after the time for which callers
// honour a delay.
func TestBook(t *testing.T) {
	const cost = 0.05
	tests := map[string]struct {
		room         Room
		bookings     int
		wantPromised int
	}{
		"room for ten a second":   {room: Room{PerSecond: 0.5 / promisedShare, Latest: time.Second}, bookings: 30, wantPromised: 10},
		"no room":                 {room: Room{Latest: time.Second}, bookings: 5},
		"room later":              {room: Room{PerSecond: 0.5 / promisedShare, Earliest: 500 * time.Millisecond, Latest: time.Second}, bookings: 30, wantPromised: 5},
		"one costly request":      {room: Room{PerSecond: 0.06 / promisedShare, Latest: time.Second}, bookings: 3, wantPromised: 1},
		"no time left":            {room: Room{PerSecond: 10, Latest: 50 * time.Millisecond}, bookings: 3},
		"time beyond all buckets": {room: Room{PerSecond: 0.5 / promisedShare, Latest: time.Hour}, bookings: 300, wantPromised: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Calendar
			promised, last := 0, time.Duration(0)
			for range test.bookings {
				delay, ok := c.Book(cost, test.room, 0, epoch)
				assert.Assert(t, delay <= test.room.Latest)
				if !ok {
					assert.Assert(t, delay >= test.room.Latest/2, "without room, as late as possible")
					continue
				}
				promised++
				assert.Assert(t, delay >= test.room.Earliest && delay >= last, "those refused first return first")
				last = delay
			}
			assert.Equal(t, promised, test.wantPromised)
		})
	}
}

// Guards against room that stays reserved for callers that do not come, and against a
// clock that jumps.
func TestPromisesExpire(t *testing.T) {
	var c Calendar
	room := Room{PerSecond: 2, Latest: time.Second}
	_, ok := c.Book(0.1, room, 0, epoch)
	assert.Assert(t, ok)
	assert.Assert(t, c.Due(epoch) > 0.9)
	assert.Equal(t, c.Due(epoch.Add(bucketLength)), 0.0)
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		_, ok = c.Book(0.1, room, 0, epoch.Add(jump))
		assert.Assert(t, ok)
	}
}

// Guards against new requests that count as returns, and returns that don't.
func TestDetector(t *testing.T) {
	var d Detector
	assert.Assert(t, !d.IsReturn("fills", 0, epoch), "no time limit")
	assert.Assert(t, !d.IsReturn("fills", 3*time.Second, epoch))
	assert.Assert(t, !d.IsReturn("fills", 2950*time.Millisecond, epoch), "delay of the network")
	assert.Assert(t, d.IsReturn("fills", 2700*time.Millisecond, epoch))
	assert.Assert(t, !d.IsReturn("summaries", 2700*time.Millisecond, epoch), "another class")
	later := epoch.Add(2 * limitWindow)
	assert.Assert(t, !d.IsReturn("fills", 2700*time.Millisecond, later), "the limit was lowered")
}

// event is an arrival at the model's fleet.
type event struct {
	at          time.Duration
	isReturn    bool
	isDeviating bool // returns at another time than the named one
	isPromised  bool
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// waveModel is a fleet whose demand alternates between 1.5 and 0.4 times its capacity
// every 2.8 s. Callers have 5 s; each request takes 10 ms of one engine second per second.
type waveModel struct {
	random      *rand.Rand
	hosts       []Calendar
	hasCalendar bool
	behaviour   string
	served      float64 // engine seconds served, decaying as they are worked off
	servedAt    time.Duration
}

const (
	modelCost   = 0.01
	modelPeriod = 2800 * time.Millisecond
	modelEnd    = 28 * time.Second
	modelLimit  = 5 * time.Second
)

type waveResult struct{ promised, promisedServed, refusedAgain, served int }

// Guards against callers that return to the shortage that they were refused for: most of
// those that return at a promised time are served, and few that obey are refused again.
func TestReturnsAreServed(t *testing.T) {
	tests := map[string]struct{ hosts int }{"obey": {9}, "early": {67}, "late": {67}, "never": {67}, "bursts": {300}}
	for behaviour, test := range tests {
		t.Run(behaviour, func(t *testing.T) {
			run := func(hasCalendar bool) waveResult {
				m := &waveModel{
					random: rand.New(rand.NewPCG(7, 11)), hosts: make([]Calendar, test.hosts), hasCalendar: hasCalendar, behaviour: behaviour,
				}
				return m.run()
			}
			without, with := run(false), run(true)
			t.Logf("without calendar %+v, with %+v", without, with)
			assert.Assert(t, float64(with.promisedServed) >= 0.9*float64(with.promised))
			assert.Assert(t, float64(with.refusedAgain) <= 0.25*float64(without.refusedAgain))
			assert.Assert(t, float64(with.served) >= 0.97*float64(without.served))
		})
	}
}

func (m *waveModel) run() (r waveResult) {
	q := &eventQueue{}
	for at := time.Duration(0); at < modelEnd; {
		rate := 150.0
		if (at/modelPeriod)%2 == 1 {
			rate = 40
		}
		at += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		heap.Push(q, event{at: at})
	}
	for q.Len() > 0 {
		e := heap.Pop(q).(event)
		obeys := e.isReturn && !e.isDeviating
		if obeys && e.isPromised {
			r.promised++
		}
		if m.admit(&e) {
			r.served++
			if obeys && e.isPromised {
				r.promisedServed++
			}
			continue
		}
		if e.isReturn {
			if obeys {
				r.refusedAgain++
			}
			continue
		}
		if next, ok := m.refuse(&e); ok {
			heap.Push(q, next)
		}
	}
	return r
}

// admit serves a request if the backlog is short. With a calendar new requests leave the
// room that is due to returns.
func (m *waveModel) admit(e *event) bool {
	m.served = max(m.served-(e.at-m.servedAt).Seconds(), 0)
	m.servedAt = e.at
	limit := 0.1
	if m.hasCalendar && e.isReturn {
		limit = 0.3 // a return has seconds left, but is late for the target of its first token in any case
	} else if m.hasCalendar {
		limit = max(0.1*(1-m.due(e.at)), 0)
	}
	if m.served+modelCost > limit {
		return false
	}
	m.served += modelCost
	return true
}

func (m *waveModel) due(at time.Duration) (due float64) {
	for i := range m.hosts {
		due += m.hosts[i].Due(epoch.Add(at))
	}
	return due
}

// refuse returns the return of a refused caller.
func (m *waveModel) refuse(e *event) (next event, ok bool) {
	isPromised := true
	delay := time.Duration((0.1 + 0.05*m.random.Float64()) * float64(time.Second))
	if m.hasCalendar {
		host := &m.hosts[m.random.IntN(len(m.hosts))]
		room := Room{PerSecond: 1 / float64(len(m.hosts)), Latest: modelLimit / 3}
		delay, isPromised = host.Book(modelCost, room, m.random.Float64(), epoch.Add(e.at))
	}
	next = event{at: e.at + delay, isReturn: true, isPromised: isPromised}
	next.isDeviating = m.behaviour != "obey" && m.random.Float64() < 0.3
	switch {
	case !next.isDeviating:
	case m.behaviour == "early":
		next.at = e.at + delay/4
	case m.behaviour == "late":
		next.at = e.at + 2*delay
	case m.behaviour == "never":
		return next, false
	case m.behaviour == "bursts":
		next.at = (next.at/time.Second + 1) * time.Second
	}
	return next, true
}
