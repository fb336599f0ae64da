// Package summarizer logs one line with request counts for each interval. At
// thousands of requests a second, a log line for each request would be of no use
// and cost more processor time than the request.
//
// # Usage
//
//	s := summarizer.New(summarizer.Config{Meter: m, Interval: 10 * time.Second, Logger: logger})
//	group.Go(func() error { return s.Run(ctx) })
//	d := dispatcher.New(dispatcher.Config{Meter: s, ...})
//
// A Summarizer passes all calls on to its Meter. Nothing is logged for an interval
// without requests.
package summarizer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/dispatcher"
)

// maxKeys bounds the classes and the reasons of one line; all others are counted under Other.
const maxKeys = 32

// Other is the key of the classes and reasons beyond maxKeys.
const Other = "other"

// outcomeComplete is the dispatcher's outcome of a request that was answered completely.
const outcomeComplete = "whole"

// Config configures a Summarizer.
type Config struct {
	Meter    dispatcher.Meter
	Interval time.Duration
	Logger   hclog.Logger
}

// Summarizer counts requests. All methods are safe for concurrent use.
type Summarizer struct {
	dispatcher.Meter

	cfg Config

	mu      sync.Mutex
	current Summary
}

// Summary holds the counts of one log line.
type Summary struct {
	Requests int
	Outcomes map[string]int
	Classes  map[string]map[string]int // outcomes by class
	Refusals map[string]int            // requests without a complete answer, by reason
	Retries  int
	Hedges   int
}

// New creates a Summarizer. It logs only while Run runs.
func New(cfg Config) *Summarizer {
	return &Summarizer{Meter: cfg.Meter, cfg: cfg, current: newSummary()}
}

func newSummary() Summary {
	return Summary{
		Outcomes: make(map[string]int), Classes: make(map[string]map[string]int), Refusals: make(map[string]int),
	}
}

// CountOutcome counts a completed request.
func (s *Summarizer) CountOutcome(tenant, class, outcome, reason string) {
	s.Meter.CountOutcome(tenant, class, outcome, reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Requests++
	s.current.Outcomes[outcome]++
	s.current.classCounts(class)[outcome]++
	if outcome != outcomeComplete {
		s.current.Refusals[boundedKey(s.current.Refusals, reason)]++
	}
}

// CountRetry counts an attempt after the first one of a request.
func (s *Summarizer) CountRetry(class string) {
	s.Meter.CountRetry(class)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Retries++
}

// CountHedge counts an attempt that was started in parallel to a slow one.
func (s *Summarizer) CountHedge(class string) {
	s.Meter.CountHedge(class)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Hedges++
}

// classCounts returns the counts of a class, and creates them on first use.
func (s *Summary) classCounts(name string) map[string]int {
	name = boundedKey(s.Classes, name)
	counts, ok := s.Classes[name]
	if !ok {
		counts = make(map[string]int)
		s.Classes[name] = counts
	}
	return counts
}

// boundedKey returns the key under which a name is counted.
func boundedKey[V any](counts map[string]V, name string) string {
	if _, ok := counts[name]; !ok && (name == "" || len(counts) >= maxKeys) {
		return Other
	}
	return name
}

// Take returns the counts since the last Take.
func (s *Summarizer) Take() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.current
	s.current = newSummary()
	return taken
}

// Run logs a line after each interval until ctx ends, and a last one then.
func (s *Summarizer) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.log()
			return nil
		case <-ticker.C:
			s.log()
		}
	}
}

func (s *Summarizer) log() {
	sum := s.Take()
	if sum.Requests == 0 && sum.Retries == 0 && sum.Hedges == 0 {
		return
	}
	s.cfg.Logger.Info("requests", "interval_ms", s.cfg.Interval.Milliseconds(), "requests", sum.Requests,
		"outcomes", sum.Outcomes, "classes", sum.Classes, "refusals", sum.Refusals,
		"retries", sum.Retries, "hedges", sum.Hedges)
}
