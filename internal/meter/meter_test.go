package meter

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/dispatcher"
)

var _ dispatcher.Meter = (*Meter)(nil)

func scrape(m *Meter) string {
	var b bytes.Buffer
	m.WritePrometheus(&b)
	return b.String()
}

func TestWritePrometheus(t *testing.T) {
	m := New(Config{})
	m.CountOutcome("vitosha", "letters", OutcomeComplete, "")
	m.CountOutcome("vitosha", "letters", "not_run", "overload")
	m.CountOutcome("vitosha", "letters", "invented", "bad\nreason\"")
	m.ObserveFirstToken("vitosha", "letters", time.Second)
	m.ObserveBetweenTokens("vitosha", "letters", time.Second)
	m.ObserveCompletion("vitosha", "letters", time.Second)
	m.ObserveQueue("vitosha", "letters", time.Second)
	m.CountRetry("letters")
	m.CountHedge("letters")
	m.CountStreamEnd("confirmed")
	m.CountRoleChange("lozenets", "drafting")
	m.GaugeLeaseEpoch("lozenets", func() float64 { return 3 })
	m.GaugeConfigRevision(func() float64 { return 8 })
	m.GaugeConfigAge(func() time.Duration { return 1500 * time.Millisecond })
	m.GaugeOrders("open", func() float64 { return 2 })
	m.GaugeInFlight(func() float64 { return 5 })
	text := scrape(m)
	for _, want := range []string{
		`endivemast_requests_total{tenant="vitosha",class="letters",outcome="whole"} 1`,
		`endivemast_requests_total{tenant="vitosha",class="letters",outcome="other"} 1`,
		`endivemast_failures_total{outcome="not_run",reason="overload"} 1`,
		`endivemast_failures_total{outcome="other",reason="other"} 1`,
		`endivemast_first_token_seconds_count{tenant="vitosha",class="letters"} 1`,
		`endivemast_between_tokens_seconds_count{tenant="vitosha",class="letters"} 1`,
		`endivemast_completion_seconds_count{tenant="vitosha",class="letters"} 1`,
		`endivemast_queue_seconds_count{tenant="vitosha",class="letters"} 1`,
		`endivemast_retries_total{class="letters"} 1`,
		`endivemast_hedges_total{class="letters"} 1`,
		`endivemast_stream_ends_total{outcome="confirmed"} 1`,
		`endivemast_role_changes_total{zone="lozenets",application="drafting"} 1`,
		`endivemast_lease_epoch{zone="lozenets"} 3`,
		`endivemast_config_revision 8`,
		`endivemast_config_age_seconds 1.5`,
		`endivemast_orders{state="open"} 2`,
		`endivemast_requests_in_flight 5`,
	} {
		assert.Assert(t, strings.Contains(text, want+"\n"), want)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	m := New(Config{TopTenants: 3, MaxSeries: 10})
	for i := range 1000 {
		tenant, class := fmt.Sprintf("tenant-%d", i), fmt.Sprintf("class-%d", i)
		m.CountOutcome(tenant, class, "failed", fmt.Sprintf("reason-%d", i))
		m.ObserveCompletion(tenant, class, time.Second)
		m.CountRetry(class)
	}
	text := scrape(m)
	assert.Equal(t, strings.Count(text, `outcome="whole"`), 11) // ten and the widest series
	assert.Assert(t, strings.Contains(text, `endivemast_completion_seconds_count{tenant="other",class="other"}`))
	assert.Assert(t, strings.Count(text, "endivemast_retries_total") <= 11)
	assert.Assert(t, strings.Count(text, "endivemast_failures_total") <= maxReasons+1)
	assert.Assert(t, len(m.ranker.counts) <= 3*candidatesPerNamed)
}

func TestBusierTenantReplacesNamedOne(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(Config{TopTenants: 1, Now: func() time.Time { return now }})
	count := func(tenant string, n int) {
		for range n {
			m.CountOutcome(tenant, "letters", OutcomeComplete, "")
		}
	}
	const quiet, busy = `tenant="quiet"`, `tenant="busy"`
	count("quiet", 10)
	count("busy", 100)
	assert.Assert(t, strings.Contains(scrape(m), quiet), "a tenant was replaced before the interval has passed")
	now = now.Add(DefaultRankInterval)
	scrape(m)
	count("busy", 1)
	text := scrape(m)
	assert.Assert(t, !strings.Contains(text, quiet) && strings.Contains(text, busy))
	count("quiet", 60) // not twice as busy
	now = now.Add(DefaultRankInterval)
	assert.Assert(t, strings.Contains(scrape(m), busy))
}

// BenchmarkMemory measures the memory, series and scrape size for 32,000 tenants of 4
// classes.
func BenchmarkMemory(b *testing.B) {
	const tenants, classes = 32_000, 4
	for b.Loop() {
		before := heapBytes()
		m := New(Config{})
		for i := range tenants {
			tenant := fmt.Sprintf("tenant-%d", i)
			for class := range classes {
				observeAll(m, tenant, fmt.Sprintf("class-%d", class))
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "heap-MB")
		b.ReportMetric(float64(len(m.series)), "series")
		b.ReportMetric(float64(len(scrape(m)))/(1<<20), "scrape-MB")
	}
}

// BenchmarkObserve measures the cost of recording a token.
func BenchmarkObserve(b *testing.B) {
	m := New(Config{})
	m.CountOutcome("vitosha", "letters", OutcomeComplete, "")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.ObserveBetweenTokens("vitosha", "letters", 30*time.Millisecond)
		}
	})
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func observeAll(m *Meter, tenant, class string) {
	m.CountOutcome(tenant, class, OutcomeComplete, "")
	for d := 100 * time.Microsecond; d < 100*time.Second; d *= 3 {
		m.ObserveFirstToken(tenant, class, d)
		m.ObserveBetweenTokens(tenant, class, d)
		m.ObserveCompletion(tenant, class, d)
		m.ObserveQueue(tenant, class, d)
	}
}
