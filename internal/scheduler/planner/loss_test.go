package planner

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBestAfterLoss guards against a loss of engines after which one role is the bottleneck for
// seconds, and against changes that cost more than they gain.
func TestBestAfterLoss(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		prefill, decode           int // usable engines after the loss
		prefillInUse, decodeInUse float64
		want                      int
		reason                    string
	}{
		"prefill engines lost":                          {prefill: 4, decode: 32, prefillInUse: 8, decodeInUse: 16, want: 12, reason: ReasonLoss},
		"decode engines lost":                           {prefill: 16, decode: 8, prefillInUse: 7.2, decodeInUse: 14.4, want: 8, reason: ReasonLoss},
		"both lost alike":                               {prefill: 4, decode: 8, prefillInUse: 8, decodeInUse: 16, want: 4},
		"both lost alike, the split no longer fits":     {prefill: 8, decode: 4, prefillInUse: 4, decodeInUse: 16, want: 3, reason: ReasonLoss},
		"the remaining engines are enough":              {prefill: 4, decode: 32, prefillInUse: 2, decodeInUse: 10, want: 4},
		"one engine more would gain less than it costs": {prefill: 3, decode: 6, prefillInUse: 6, decodeInUse: 10, want: 3},
		"all prefill engines lost":                      {prefill: 0, decode: 12, prefillInUse: 4, decodeInUse: 8, want: 4, reason: ReasonLoss},
		"no work before":                                {prefill: 4, decode: 32, prefillInUse: 0.3, decodeInUse: 0.5, want: 4},
		"one engine left":                               {prefill: 0, decode: 1, prefillInUse: 8, decodeInUse: 16, want: 0},
		"none left":                                     {prefillInUse: 8, decodeInUse: 16},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := splitSample{prefillInUse: test.prefillInUse, decodeInUse: test.decodeInUse}
			d := bestAfterLoss(&SplitInput{Prefill: test.prefill, Decode: test.decode}, &before)
			assert.Equal(t, d.Prefill, test.want, "%+v", d)
			assert.Equal(t, d.Reason, test.reason)
		})
	}
}

// splitModel is engines with separate roles in virtual time. The use of a role is that of its demand,
// up to its engines, averaged as tracker.EngineUse is.
type splitModel struct {
	demand          func(now time.Duration) (prefill, decode float64) // in engines
	prefill, decode int
	use             [2]float64
	state           SplitState
	changes         []splitChange
}

type splitChange struct {
	at      time.Duration
	engines int // that prefill now and did not before; negative: the reverse
	reason  string
}

const (
	modelStep = 100 * time.Millisecond
	modelHalf = 6 * time.Second
)

func (m *splitModel) run(from, to time.Duration) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	weight := 1 - math.Exp2(-float64(modelStep)/float64(modelHalf))
	for now := from; now < to; now += modelStep {
		prefill, decode := m.demand(now)
		away := [2]int{}
		for _, c := range m.changes {
			if now-c.at < roleChangeTime {
				away[0], away[1] = away[0]+max(c.engines, 0), away[1]+max(-c.engines, 0)
			}
		}
		m.use[0] += weight * (min(prefill, float64(m.prefill-away[0])) - m.use[0])
		m.use[1] += weight * (min(decode, float64(m.decode-away[1])) - m.use[1])
		var d SplitDecision
		d, m.state = NextSplit(&SplitInput{
			Now: start.Add(now), Prefill: m.prefill, Decode: m.decode, PrefillInUse: m.use[0], DecodeInUse: m.use[1],
		}, m.state)
		if n := d.Prefill - m.prefill; n != 0 {
			m.changes = append(m.changes, splitChange{at: now, engines: n, reason: d.Reason})
			m.prefill, m.decode = m.prefill+n, m.decode-n
		}
	}
}

// lose removes engines, in equal parts at successive steps.
func (m *splitModel) lose(at time.Duration, prefill, decode, steps int) {
	for ; steps > 0; steps-- {
		p, d := prefill/steps, decode/steps
		m.prefill, m.decode, prefill, decode = m.prefill-p, m.decode-d, prefill-p, decode-d
		m.run(at, at+modelStep)
		at += modelStep
	}
}

// TestSplitOverTime guards against roles that alternate with the mix of the requests, and against a
// loss of engines that no role change follows, or one that is reversed.
func TestSplitOverTime(t *testing.T) {
	t.Parallel()
	steady := func(time.Duration) (prefill, decode float64) { return 9.6, 19.2 }
	alternating := func(now time.Duration) (prefill, decode float64) {
		if now/(2800*time.Millisecond)%2 == 0 {
			return 9.6 * 1.8, 19.2 * 0.6
		}
		return 9.6 * 0.6, 19.2 * 1.8
	}
	for name, test := range map[string]struct {
		demand                  func(time.Duration) (prefill, decode float64)
		lostPrefill, lostDecode int
		lossTime                time.Duration // over which the loss becomes known
		prefill                 [2]int        // bounds of the engines that prefill in the end
		changes                 int
	}{
		"steady":                         {demand: steady, prefill: [2]int{16, 16}},
		"the mix alternates every 2.8 s": {demand: alternating, prefill: [2]int{16, 16}},
		"three quarters of the prefill engines are lost": {demand: steady, lostPrefill: 12, prefill: [2]int{11, 13}, changes: 1},
		"three quarters of the decode engines are lost":  {demand: steady, lostDecode: 24, prefill: [2]int{7, 9}, changes: 1},
		"the same while the mix alternates":              {demand: alternating, lostPrefill: 12, prefill: [2]int{10, 14}, changes: 1},
		"decode engines while the mix alternates":        {demand: alternating, lostDecode: 24, prefill: [2]int{7, 10}, changes: 1},
		"three quarters of both":                         {demand: steady, lostPrefill: 12, lostDecode: 24, prefill: [2]int{4, 4}},
		"it becomes known over 0.2 s":                    {demand: steady, lostPrefill: 12, lossTime: 200 * time.Millisecond, prefill: [2]int{11, 13}, changes: 1},
		"a single engine is restarted":                   {demand: steady, lostPrefill: 1, prefill: [2]int{15, 15}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for phase := time.Duration(0); phase < 5600*time.Millisecond; phase += 700 * time.Millisecond {
				m := &splitModel{demand: test.demand, prefill: 16, decode: 32, use: [2]float64{9.6, 19.2}}
				lossAt := 30*time.Second + phase
				m.run(0, lossAt)
				assert.Equal(t, len(m.changes), 0, "before the loss: %v", m.changes)
				m.lose(lossAt, test.lostPrefill, test.lostDecode, int(test.lossTime/modelStep)+1)
				m.run(lossAt+test.lossTime+modelStep, lossAt+60*time.Second)
				assert.Equal(t, len(m.changes), test.changes, "%+v", m.changes)
				assert.Check(t, m.prefill >= test.prefill[0] && m.prefill <= test.prefill[1], "%d engines prefill", m.prefill)
				for _, c := range m.changes {
					// The rest of 0.5 s is left for the announcement and the order.
					assert.Check(t, c.at-lossAt <= test.lossTime+200*time.Millisecond, "changed %v after the loss", c.at-lossAt)
					assert.Equal(t, c.reason, ReasonLoss)
				}
			}
		})
	}
}
