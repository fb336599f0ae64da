// Package modeler simulates engines with two roles under a clock of the caller,
// without network and goroutines, so that every run is deterministic.
//
// An engine with driver.RolePrefill prefills one prompt at a time, the most
// urgent waiting one first. One with driver.RoleDecode generates a token for
// each of its streams in each step, and sends an event every few tokens. It can
// prefill prompts too, more slowly and in small chunks; each chunk makes the
// step longer, and so the token interval of all its streams. Both have an LRU
// cache of prefixes.
//
// # Usage
//
//	engine := modeler.New(driver.RolePrefill, modeler.Timing{...})
//	engine.Prefill(&modeler.Job{...}, now)
//	engine.Advance(now) // at each tick of the caller's clock; runs the callbacks of jobs
package modeler

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// Timing describes how fast an engine is. All fields but Slowdown are required.
type Timing struct {
	PrefillBase              time.Duration // duration of the prefill of a prompt without tokens
	PrefillTokensPerMS       float64       // prefill rate of a prefill engine
	DirectPrefillTokensPerMS float64       // prefill rate of a decode engine
	DirectPrefillChunk       int           // tokens that a decode engine prefills in a step
	Step                     time.Duration // duration of a step without streams
	StepPerStream            time.Duration // added duration for each stream
	FirstEvent               time.Duration // delay of the first event after the KV transfer of the prompt
	TokensPerEvent           int
	Slots                    int
	CacheTokens              int     // capacity of the prefix cache
	FetchTokensPerMS         float64 // rate of fetching a prefix from another engine
	Slowdown                 float64 // factor on all durations; 0: 1
}

// Job is one request at an engine.
type Job struct {
	Prompt       int // tokens
	PrefixKey    string
	PrefixTokens int // tokens of the prompt that are shared under PrefixKey
	Urgency      int // 0 is the most urgent
	Events       int // number of events of its stream
	FetchFrom    *Engine
	// OnPrefilled is called when a job passed to Prefill is complete.
	OnPrefilled func(now time.Time)
	// OnEvent is called for each event, and OnEnd after the last one.
	OnEvent func(now time.Time)
	OnEnd   func(now time.Time)

	prefillLeft int // prompt tokens left to prefill
	generated   int // generated tokens
	startsAt    time.Time
}

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	Role   driver.Role
	Timing Timing
	// PrefilledTokens and PrefilledPrefixTokens count the prefilled tokens, and
	// those of them that belong to prefixes.
	PrefilledTokens, PrefilledPrefixTokens int

	prefillQueue []*Job // waiting prompts; the first is being prefilled
	prefillUntil time.Time
	streams      []*Job
	stepUntil    time.Time
	prefixes     []prefix // least recently used first
}

type prefix struct {
	key    string
	tokens int
}

// New returns an idle engine.
func New(role driver.Role, timing Timing) *Engine {
	if timing.Slowdown == 0 {
		timing.Slowdown = 1
	}
	return &Engine{Role: role, Timing: timing}
}

// Holds reports whether the engine caches a prefix.
func (e *Engine) Holds(key string) bool {
	return key != "" && slices.ContainsFunc(e.prefixes, func(p prefix) bool { return p.key == key })
}

// CacheEvents returns the cached prefixes in the form in which an engine
// reports them.
func (e *Engine) CacheEvents() (events driver.CacheEvents) {
	for _, p := range e.prefixes {
		if p.key != "" {
			events.Changes = append(events.Changes, driver.CacheChange{PartID: p.key, Tokens: p.tokens})
		}
	}
	return events
}

// IsIdle reports whether the engine has no jobs.
func (e *Engine) IsIdle() bool { return len(e.prefillQueue)+len(e.streams) == 0 }

// Prefill adds a prompt to the queue of a prefill engine.
func (e *Engine) Prefill(job *Job, now time.Time) {
	at := len(e.prefillQueue)
	for at > 1 && e.prefillQueue[at-1].Urgency > job.Urgency {
		at-- // the first one is in progress
	}
	e.prefillQueue = slices.Insert(e.prefillQueue, at, job)
	if at == 0 {
		e.startPrefill(now)
	}
}

func (e *Engine) startPrefill(now time.Time) {
	job := e.prefillQueue[0]
	fetch := e.take(job)
	duration := e.Timing.PrefillBase + fetch + perToken(job.prefillLeft, e.Timing.PrefillTokensPerMS)
	e.prefillUntil = now.Add(e.scaled(duration))
}

// take computes how many tokens of a prompt have to be prefilled, caches its
// prefix, and returns how long it takes to fetch the prefix.
func (e *Engine) take(job *Job) (fetch time.Duration) {
	job.prefillLeft = job.Prompt
	switch {
	case e.Holds(job.PrefixKey):
		job.prefillLeft -= job.PrefixTokens
	case job.FetchFrom != nil && job.FetchFrom.Holds(job.PrefixKey):
		job.prefillLeft -= job.PrefixTokens
		fetch = perToken(job.PrefixTokens, e.Timing.FetchTokensPerMS)
	default:
		e.PrefilledPrefixTokens += job.PrefixTokens
	}
	e.PrefilledTokens += job.prefillLeft
	e.cache(job.PrefixKey, job.PrefixTokens)
	e.cache("", job.Prompt-job.PrefixTokens)
	return fetch
}

// cache appends a prefix, or tokens with an empty key that are not reused, and
// evicts the least recently used entries beyond the capacity.
func (e *Engine) cache(key string, tokens int) {
	if key != "" {
		e.prefixes = slices.DeleteFunc(e.prefixes, func(p prefix) bool { return p.key == key })
	}
	e.prefixes = append(e.prefixes, prefix{key, tokens})
	sum := 0
	for i, p := range slices.Backward(e.prefixes) {
		if sum += p.tokens; sum > e.Timing.CacheTokens {
			e.prefixes = slices.Delete(e.prefixes, 0, i+1)
			return
		}
	}
}

// Decode adds a stream to a decode engine; isPrefilled is true if another
// engine has prefilled the prompt.
func (e *Engine) Decode(job *Job, isPrefilled bool, now time.Time) {
	job.startsAt = now.Add(e.scaled(e.Timing.FirstEvent))
	if !isPrefilled {
		job.startsAt = now
		e.take(job)
	}
	if len(e.streams) == 0 {
		e.stepUntil = now
	}
	e.streams = append(e.streams, job)
}

// Advance runs what is due by now.
func (e *Engine) Advance(now time.Time) {
	for len(e.prefillQueue) > 0 && !e.prefillUntil.After(now) {
		job, at := e.prefillQueue[0], e.prefillUntil
		e.prefillQueue = e.prefillQueue[1:]
		if len(e.prefillQueue) > 0 {
			e.startPrefill(at)
		}
		job.OnPrefilled(now)
	}
	for len(e.streams) > 0 && !e.stepUntil.After(now) {
		e.step(now)
	}
}

// step completes the current step and starts the next one.
func (e *Engine) step(now time.Time) {
	budget, running := e.Timing.DirectPrefillChunk, 0
	var ended []*Job
	for _, job := range e.streams[:min(len(e.streams), e.Timing.Slots)] {
		if job.startsAt.After(now) {
			continue
		}
		running++
		if part := min(job.prefillLeft, budget); part > 0 {
			job.prefillLeft -= part
			budget -= part
		}
		if job.prefillLeft > 0 {
			continue
		}
		if e.generateToken(job, now) {
			ended = append(ended, job)
		}
	}
	prefill := perToken(e.Timing.DirectPrefillChunk-budget, e.Timing.DirectPrefillTokensPerMS)
	e.stepUntil = now.Add(e.scaled(e.Timing.Step + time.Duration(running)*e.Timing.StepPerStream + prefill))
	for _, job := range ended {
		e.streams = slices.DeleteFunc(e.streams, func(other *Job) bool { return other == job })
		job.OnEnd(now)
	}
}

// generateToken generates the next token of a stream; it returns true after the
// last one. The first event has only the first token.
func (e *Engine) generateToken(job *Job, now time.Time) (isEnd bool) {
	job.generated++
	if (job.generated-1)%e.Timing.TokensPerEvent != 0 {
		return false
	}
	job.OnEvent(now)
	return (job.generated-1)/e.Timing.TokensPerEvent+1 >= job.Events
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.Timing.Slowdown)
}

func perToken(tokens int, perMS float64) time.Duration {
	return time.Duration(float64(tokens) / perMS * float64(time.Millisecond))
}
