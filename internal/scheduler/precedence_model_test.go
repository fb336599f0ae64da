package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/allocator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// admissionApproach is how hosts of the model admit work.
type admissionApproach string

const (
	byFleetShares admissionApproach = "shares of the fleet's demand"
	byOwnBuckets  admissionApproach = "each host alone"
	byQueueOnly   admissionApproach = "queue only"
)

// modelLoad is one kind of request. factor returns the multiple of the usual rate at a time.
type modelLoad struct {
	rank                   int
	perSecond              float64
	prompt, shared, events int
	response, limit        time.Duration
	factor                 func(at time.Duration) float64
}

// modelEngine prefills prompts one after another, those of the most urgent rank first.
// Decoding takes no time of it, and is limited by slots in the scheduler.
type modelEngine struct {
	id     string
	isBusy bool
	queue  [allocator.Ranks][]func()
	perMS  float64 // prompt tokens
	cached map[string]bool
	isGone bool
	useful time.Duration // spent on prompts of requests that completed in time
}

// modelInterval is the time between tokens.
const modelInterval = 5 * time.Millisecond

type modelCall struct {
	at  time.Time
	seq int
	run func()
}

type modelCalls []modelCall

func (c modelCalls) Len() int      { return len(c) }
func (c modelCalls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c modelCalls) Less(i, j int) bool {
	return c[i].at.Before(c[j].at) || c[i].at.Equal(c[j].at) && c[i].seq < c[j].seq
}
func (c *modelCalls) Push(x any) { *c = append(*c, x.(modelCall)) }
func (c *modelCalls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// fleetModel runs the schedulers of many hosts with engines of separate roles on a fake
// clock.
type fleetModel struct {
	now      time.Time
	approach admissionApproach
	hosts    []*Scheduler
	buckets  []map[int]*modelBucket
	engines  map[string]*modelEngine
	list     []provider.Host
	calls    modelCalls
	seq      int
	waiting  []*modelRequest
	tallies  map[int]*modelTally
	rand     *rand.Rand
	capacity float64 // prefill engines
}

type modelRequest struct {
	load    *modelLoad
	host    int
	work    Work
	waiter  *waiter
	isRetry bool
	counts  bool
}

// modelTally counts the requests of a rank during the shortage.
type modelTally struct {
	offered, inTime int
	lastInTime      time.Time
	longestGap      time.Duration
}

// modelBucket is a token bucket of the approach byOwnBuckets.
type modelBucket struct {
	tokens, used float64 // used: decaying engine seconds admitted
	at           time.Time
}

func (m *fleetModel) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.calls, modelCall{m.now.Add(d), m.seq, run})
}

func newFleetModel(hosts, prefill, decode int, approach admissionApproach) *fleetModel {
	m := &fleetModel{
		now: start, approach: approach, engines: map[string]*modelEngine{}, tallies: map[int]*modelTally{},
		rand: rand.New(rand.NewPCG(11, 12)), capacity: float64(prefill),
	}
	for i := range prefill + decode {
		role, speed := driver.RolePrefill, 61.2
		if i >= prefill {
			role, speed = driver.RoleDecode, 30.6
		}
		id := fmt.Sprintf("engine-%02d", i)
		m.list = append(m.list, provider.Host{
			ID: id, Incarnation: "1", Kind: provider.HostEngine, Zone: "a", Application: "lm", State: provider.HostLive,
			Role: string(role), Slots: 12,
		})
		m.engines[id] = &modelEngine{id: id, perMS: speed, cached: map[string]bool{}}
	}
	for i := range hosts {
		s := New(Config{Policy: Policy{MinLoss: -1}, HostID: fmt.Sprint(i), Zone: "a", Seed: uint64(i + 1), Now: func() time.Time { return m.now }})
		s.SetHosts(m.list, start)
		m.hosts = append(m.hosts, s)
		m.buckets = append(m.buckets, map[int]*modelBucket{})
	}
	return m
}

// loseEngines removes all but a quarter of the engines of each role.
func (m *fleetModel) loseEngines() {
	var left []provider.Host
	for i, host := range m.list {
		if i%4 == 0 {
			left = append(left, host)
		} else {
			m.engines[host.ID].isGone = true
		}
	}
	m.capacity /= 4
	for _, s := range m.hosts {
		s.SetHosts(left, m.now)
	}
}

func (m *fleetModel) run(duration time.Duration, loads []modelLoad) {
	end := start.Add(duration)
	for i := 0; m.now.Before(end); i++ {
		m.now = m.now.Add(time.Millisecond)
		for k := range loads {
			load := &loads[k]
			for rate := load.perSecond * load.factor(m.now.Sub(start)) / 1000; rate > 0; rate-- {
				if m.rand.Float64() < rate {
					m.arrive(load)
				}
			}
		}
		for len(m.calls) > 0 && !m.calls[0].at.After(m.now) {
			heap.Pop(&m.calls).(modelCall).run()
		}
		m.collect()
		if i%20 == 0 {
			m.exchange(i%100 == 0, i%200 == 0)
		}
	}
}

// exchange ticks the hosts and exchanges their loads and, with demand, their demands.
func (m *fleetModel) exchange(withTick, withDemand bool) {
	total, sum := map[string]Load{}, aggregator.NewSum()
	loads, demands := make([]map[string]Load, len(m.hosts)), make([]aggregator.Snapshot, len(m.hosts))
	for i, s := range m.hosts {
		if withTick {
			s.Tick(m.now)
		}
		loads[i] = s.OwnLoad()
		if withDemand {
			demands[i] = s.OwnDemand(m.now)
		}
		for id, load := range loads[i] {
			total[id] = total[id].Plus(load)
		}
		sum.Add(demands[i])
	}
	fleet := sum.Total()
	for i, s := range m.hosts {
		others := make(map[string]Load, len(total))
		for id, load := range total {
			others[id] = load.Minus(loads[i][id])
		}
		s.SetPeerLoad("others", len(m.hosts)-1, others, m.now)
		if !withDemand || m.approach != byFleetShares {
			continue
		}
		s.SetFleetDemand(fleet.Minus(demands[i]), m.now)
	}
}

func (m *fleetModel) arrive(load *modelLoad) {
	work := Work{
		Class: configurer.Class{
			Name: fmt.Sprint(load.rank), Kind: configurer.KindGenerate, Application: "lm",
			FirstTokenTargetMS: load.response.Milliseconds(), CompletionTargetMS: load.limit.Milliseconds(),
		},
		Rank: load.rank, Arrived: m.now, PromptTokens: load.prompt, PrefixTokens: load.shared, MaxOutputTokens: 2 * load.events,
	}
	if load.shared > 0 {
		part := fmt.Sprint("prefix ", m.rand.IntN(8))
		work.PrefixKey, work.PrefixParts = part, []Part{{ID: part, Tokens: load.shared}}
	}
	counts := m.now.Sub(start) > 4*time.Second
	if counts {
		m.tally(load.rank).offered++
	}
	m.try(&modelRequest{load: load, host: m.rand.IntN(len(m.hosts)), work: work, counts: counts})
}

func (m *fleetModel) tally(rank int) *modelTally {
	if m.tallies[rank] == nil {
		m.tallies[rank] = &modelTally{lastInTime: m.now}
	}
	return m.tallies[rank]
}

func (m *fleetModel) try(r *modelRequest) {
	s, work := m.hosts[r.host], r.work
	if m.approach != byFleetShares {
		work.Rank = 0
	}
	s.mu.Lock()
	s.table.Refresh(m.now)
	if m.approach == byOwnBuckets && !m.admitAlone(r, s) {
		s.mu.Unlock()
		m.finish(r, outcome{refusal: &RefusalError{RetryAfter: 100 * time.Millisecond}})
		return
	}
	w, result := s.admit(&work, m.now)
	s.mu.Unlock()
	if r.waiter = w; w != nil {
		m.waiting = append(m.waiting, r)
		return
	}
	m.finish(r, result)
}

// admitAlone applies the approach byOwnBuckets.
func (m *fleetModel) admitAlone(r *modelRequest, s *Scheduler) bool {
	w := &waiter{work: r.work, expected: r.load.events}
	cost := s.generationCost(s.table.Application("lm"), w, m.now).prefill.Seconds()
	rate := m.capacity / float64(len(m.hosts))
	buckets := m.buckets[r.host]
	for rank := 0; rank <= r.load.rank; rank++ {
		if buckets[rank] == nil {
			buckets[rank] = &modelBucket{tokens: cost * m.rand.Float64(), at: m.now}
		}
		b := buckets[rank]
		elapsed := m.now.Sub(b.at).Seconds()
		b.at = m.now
		b.used *= 1 - min(0.7*elapsed, 1)
		b.tokens = min(b.tokens+max(rate, 0)*elapsed, max(cost, max(rate, 0)))
		rate -= 0.7 * b.used
	}
	b := buckets[r.load.rank]
	if b.tokens < cost {
		return false
	}
	b.tokens, b.used = b.tokens-cost, b.used+cost
	return true
}

func (m *fleetModel) collect() {
	kept := m.waiting[:0]
	for _, r := range m.waiting {
		select {
		case result := <-r.waiter.outcome:
			m.finish(r, result)
		default:
			kept = append(kept, r)
		}
	}
	m.waiting = kept
}

func (m *fleetModel) finish(r *modelRequest, result outcome) {
	if result.refusal != nil {
		after := result.refusal.RetryAfter
		if left := r.load.limit - m.now.Sub(r.work.Arrived); !r.isRetry && after <= left/3 {
			r.isRetry, r.host = true, m.rand.IntN(len(m.hosts))
			m.after(after, func() { m.try(r) })
		}
		return
	}
	m.serve(r, result.grant)
}

// serve prefills the prompt and decodes the answer.
func (m *fleetModel) serve(r *modelRequest, g *grant) {
	engine := m.engines[g.Target().EndpointID]
	target, isSeparate := g.PrefillTarget()
	if isSeparate {
		engine = m.engines[target.EndpointID]
	}
	engine.queue[r.load.rank] = append(engine.queue[r.load.rank], func() {
		tokens := r.work.PromptTokens
		if engine.cached[r.work.PrefixKey] {
			tokens -= r.work.PrefixTokens
		}
		took := time.Duration(float64(tokens) / engine.perMS * float64(time.Millisecond))
		m.after(took, func() {
			m.cache(r, engine)
			if isSeparate {
				g.PrefillDone(nil)
			}
			engine.isBusy = false
			m.next(engine)
			m.after(15*time.Millisecond, func() {
				isInTime := m.now.Sub(r.work.Arrived) <= r.load.response
				g.TokenReceived()
				m.after(time.Duration(r.load.events)*modelInterval, func() { m.complete(r, g, engine, took, isInTime) })
			})
		})
	})
	m.next(engine)
}

// next starts the prefill of the next prompt.
func (m *fleetModel) next(engine *modelEngine) {
	for rank := range engine.queue {
		if queue := engine.queue[rank]; !engine.isBusy && len(queue) > 0 {
			engine.queue[rank], engine.isBusy = queue[1:], true
			queue[0]()
		}
	}
}

// cache records that an engine has cached the prefix of a prompt.
func (m *fleetModel) cache(r *modelRequest, engine *modelEngine) {
	if r.work.PrefixKey == "" || engine.cached[r.work.PrefixKey] {
		return
	}
	engine.cached[r.work.PrefixKey] = true
	for _, s := range m.hosts {
		s.ApplyCacheEvents(driver.Target{EndpointID: engine.id, Incarnation: "1"}, driver.CacheEvents{
			Changes: []driver.CacheChange{{PartID: r.work.PrefixKey, Tokens: r.work.PrefixTokens}},
		}, false)
	}
}

func (m *fleetModel) complete(r *modelRequest, g *grant, engine *modelEngine, took time.Duration, isFirstInTime bool) {
	g.Done(Completed{End: driver.End{OutputTokens: r.load.events, ReusedTokens: -1}})
	if !r.counts || !isFirstInTime || m.now.Sub(r.work.Arrived) > r.load.limit {
		return
	}
	if !engine.isGone && engine.perMS > 60 {
		engine.useful += took
	}
	t := m.tally(r.load.rank)
	t.inTime++
	t.longestGap = max(t.longestGap, m.now.Sub(t.lastInTime))
	t.lastInTime = m.now
}

// modelResult is the service in the last part of a run.
type modelResult struct {
	share map[int]float64
	gap   map[int]time.Duration
	busy  float64 // of the prefill engines, with prompts of requests in time
}

func (m *fleetModel) result(duration time.Duration) (result modelResult) {
	result.share, result.gap = map[int]float64{}, map[int]time.Duration{}
	for rank, t := range m.tallies {
		result.share[rank] = float64(t.inTime) / float64(max(t.offered, 1))
		result.gap[rank] = max(t.longestGap, m.now.Sub(t.lastInTime))
	}
	for _, engine := range m.engines {
		result.busy += engine.useful.Seconds()
	}
	result.busy /= m.capacity * (duration - 4*time.Second).Seconds()
	return result
}

// warmUp makes the hosts' estimates those of a fleet that has run before.
func (m *fleetModel) warmUp(loads []modelLoad) {
	for _, s := range m.hosts {
		model := &s.table.Application("lm").Model
		for range 100 {
			model.ObserveDedicatedPrefill(17_020, 298*time.Millisecond)
			model.ObserveDedicatedPrefill(383, 26*time.Millisecond)
			model.ObserveDirectPrefill(17_020, 576*time.Millisecond)
			model.ObserveDirectPrefill(383, 32*time.Millisecond)
			model.ObserveTokenInterval(6, modelInterval)
			for i := range loads {
				s.table.Class(tracker.ClassKey{Name: fmt.Sprint(loads[i].rank)}).Length.Observe(loads[i].events)
			}
		}
	}
}

func constant(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// alternating returns factors that change every 2.8 s.
func alternating(first, second float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at/(2800*time.Millisecond)%2 == 0 {
			return first
		}
		return second
	}
}

// modelLoads returns the loads of small prompts, of large ones, and of a third rank.
func modelLoads(small, large, third func(time.Duration) float64) []modelLoad {
	const ms = time.Millisecond
	loads := []modelLoad{
		{rank: 0, perSecond: 404, prompt: 383, events: 3, response: 500 * ms, limit: 3000 * ms, factor: small},
		{rank: 2, perSecond: 27, prompt: 17_020, shared: 13_300, events: 10, response: 1200 * ms, limit: 5000 * ms, factor: large},
	}
	if third != nil {
		loads = append(loads, modelLoad{rank: 5, perSecond: 60, prompt: 2000, events: 5, response: 1500 * ms, limit: 4000 * ms, factor: third})
	}
	return loads
}

// Without precedence over the whole fleet, each host dispatches the few costly requests
// that it sees, and together they take the engine time of the urgent work.
func TestPrecedenceInFleetModel(t *testing.T) {
	t.Parallel()
	const duration = 11 * time.Second
	double, sixfold := modelLoads(constant(2), constant(2), nil), modelLoads(constant(6), constant(6), nil)
	mixes := modelLoads(alternating(1.8, 0.6), alternating(0.6, 1.8), nil)
	ranks := modelLoads(constant(1.2), constant(1.5), constant(1.5))
	tests := map[string]struct {
		hosts        int
		losesMost    bool // three quarters of the engines
		loads        []modelLoad
		urgent, busy float64           // least share of rank 0 in time, and least use of the prefill engines for prompts in time
		comparison   admissionApproach // empty: none
	}{
		"a quarter of the engines, 9 hosts":   {9, true, double, 0.95, 0.86, byOwnBuckets},
		"a quarter of the engines, 67 hosts":  {67, true, double, 0.95, 0.83, byOwnBuckets},
		"a quarter of the engines, 300 hosts": {300, true, double, 0.95, 0.83, ""},
		"six times the demand, 67 hosts":      {67, false, sixfold, 0.95, 0.86, byQueueOnly},
		"alternating mixes, 9 hosts":          {9, true, mixes, 0.95, 0, byOwnBuckets},
		"alternating mixes, 67 hosts":         {67, true, mixes, 0.95, 0, byOwnBuckets},
		"three ranks, 9 hosts":                {9, true, ranks, 0.95, 0.9, byOwnBuckets},
		"three ranks, 67 hosts":               {67, true, ranks, 0.95, 0.9, byQueueOnly},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, approach := range []admissionApproach{byFleetShares, test.comparison} {
				if approach == "" {
					continue
				}
				m := newFleetModel(test.hosts, 16, 32, approach)
				m.warmUp(test.loads)
				if test.losesMost {
					m.after(3*time.Second, m.loseEngines)
				}
				m.run(duration, test.loads)
				result := m.result(duration)
				t.Logf("%s: in time %.3v, longest without service %v, busy %.2f", approach, result.share, result.gap, result.busy)
				if approach != byFleetShares {
					continue
				}
				assert.Check(t, result.share[0] >= test.urgent, "rank 0")
				assert.Check(t, result.busy >= test.busy, "engines")
				for i := range test.loads {
					assert.Check(t, result.gap[test.loads[i].rank] < test.loads[i].limit)
				}
			}
		})
	}
}
