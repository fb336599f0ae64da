package kvserver

import (
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// callKind is the key under which a call is counted in Stats.Calls.
type callKind string

const (
	kindRange       callKind = "range"
	kindPut         callKind = "put"
	kindDeleteRange callKind = "delete_range"
	kindTxn         callKind = "txn"
	kindCompaction  callKind = "compaction"
	kindGrant       callKind = "lease_grant"
	kindKeepAlive   callKind = "lease_keepalive"
	kindRevoke      callKind = "lease_revoke"
	kindWatch       callKind = "watch"
	kindHosts       callKind = "hosts"
	kindWeights     callKind = "weights"
)

// Stats are the counters since the start, and the current sizes of the store.
type Stats struct {
	Calls       map[callKind]int64 `json:"calls"` // by kind, including refused ones
	Reads       int64              `json:"reads"` // of the key-value service, including one a second for each open watch
	Writes      int64              `json:"writes"`
	PeakReads   int64              `json:"peak_reads_per_second"` // highest count within one clock second
	PeakWrites  int64              `json:"peak_writes_per_second"`
	RateLimited int64              `json:"rate_limited"` // refused with status 429, including weights
	LostAnswers int64              `json:"lost_answers"`
	OpenWatches int                `json:"open_watches"`
	Revision    int64              `json:"revision"`
	Keys        int                `json:"keys"` // including deleted ones that are not compacted yet
	Leases      int                `json:"leases"`
}

// secondWindow counts events per clock second and keeps the highest count.
type secondWindow struct {
	second, count, peak int64
}

func (w *secondWindow) add(now time.Time, n int64) {
	if second := now.Unix(); second != w.second {
		w.second, w.count = second, 0
	}
	w.count += n
	w.peak = max(w.peak, w.count)
}

// counter counts calls and applies the rate limits.
type counter struct {
	mu            sync.Mutex
	stats         Stats
	reads, writes secondWindow
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
	weightLimiter *rate.Limiter
}

func newCounter(cfg Config) *counter {
	return &counter{
		stats:         Stats{Calls: map[callKind]int64{}},
		readLimiter:   newLimiter(cfg.ReadsPerSecond),
		writeLimiter:  newLimiter(cfg.WritesPerSecond),
		weightLimiter: newLimiter(cfg.WeightReadsPerSecond),
	}
}

// newLimiter returns a limiter with a burst of one second's calls; 0: no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// admit counts a call and reports whether the rate limit allows it.
func (c *counter) admit(kind callKind, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Calls[kind]++
	limiter := c.writeLimiter
	switch kind {
	case kindHosts:
		return true
	case kindWeights:
		limiter = c.weightLimiter
	case kindRange, kindWatch:
		limiter = c.readLimiter
		c.stats.Reads++
		c.reads.add(now, 1)
	default:
		c.stats.Writes++
		c.writes.add(now, 1)
	}
	if limiter.AllowN(now, 1) {
		return true
	}
	c.stats.RateLimited++
	return false
}

// chargeWatches counts one read for each open watch.
func (c *counter) chargeWatches(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads += int64(n)
	c.reads.add(now, int64(n))
	if c.readLimiter.Limit() == rate.Inf {
		return
	}
	burst := c.readLimiter.Burst()
	// The negative balance is limited to about one second's reads. Otherwise
	// calls would be refused long after many watches were closed.
	for n > 0 && c.readLimiter.TokensAt(now) > -float64(burst) {
		c.readLimiter.ReserveN(now, min(n, burst))
		n -= burst
	}
}

func (c *counter) countLostAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.LostAnswers++
}

func (c *counter) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Calls = maps.Clone(c.stats.Calls)
	stats.PeakReads, stats.PeakWrites = c.reads.peak, c.writes.peak
	return stats
}
