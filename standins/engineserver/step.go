package engineserver

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/standins/answerer"
)

// maxCatchUp is the largest lag behind the time model that the step loop makes
// up for. A larger one, as after a suspension of the process, is dropped.
const maxCatchUp = 50 * time.Millisecond

// step is one planned step of the batch.
type step struct {
	batch    []*sequence
	prefill  []int // prompt tokens of each sequence of the batch in this step
	duration time.Duration
}

// loop runs steps while there is work, until the engine stops.
func (s *Server) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stepEnd := time.Now() // end of the last step by the time model
	for {
		now := time.Now()
		planned, wait := s.plan(now)
		if planned == nil {
			if !s.idle(timer, wait) {
				return nil
			}
			stepEnd = time.Now()
			continue
		}
		if now.Sub(stepEnd) > maxCatchUp {
			stepEnd = now
		}
		stepEnd = stepEnd.Add(planned.duration)
		if !s.await(timer, time.Until(stepEnd)) {
			return nil
		}
		if s.apply(planned) {
			s.Crash()
			return nil
		}
	}
}

// idle waits for new work, or for an import to arrive.
func (s *Server) idle(timer *time.Timer, wait time.Duration) (ok bool) {
	var arrived <-chan time.Time
	if wait > 0 {
		timer.Reset(wait)
		arrived = timer.C
	}
	select {
	case <-s.workReady:
		return true
	case <-arrived:
		return true
	case <-s.stop:
		return false
	}
}

func (s *Server) await(timer *time.Timer, wait time.Duration) (ok bool) {
	timer.Reset(wait)
	select {
	case <-timer.C:
		return true
	case <-s.stop:
		return false
	}
}

// plan admits waiting sequences and plans the next step. It returns nil when
// there is nothing to run, with the time until an import arrives, or 0.
func (s *Server) plan(now time.Time) (planned *step, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Hang {
		return nil, 0
	}
	wait = s.admit(now)
	if len(s.running) == 0 {
		s.changed(now)
		return nil, wait
	}
	planned = &step{batch: slices.Clone(s.running), prefill: make([]int, len(s.running))}
	budget := s.cfg.TimeModel.ChunkTokens
	for i, q := range planned.batch {
		planned.prefill[i] = min(q.prefillLeft, budget)
		budget -= planned.prefill[i]
	}
	prefilled := s.cfg.TimeModel.ChunkTokens - budget
	planned.duration = s.faults.slow(s.cfg.TimeModel.duration(len(planned.batch), prefilled))
	return planned, 0
}

// admit moves waiting sequences into the batch while they fit. One that does
// not fit blocks those behind it, so that small prompts don't starve a large
// one; one whose import is in progress does not block.
func (s *Server) admit(now time.Time) (wait time.Duration) {
	var importing []*sequence
	for len(s.waiting) > 0 && len(s.running) < s.cfg.TimeModel.MaxBatch {
		q := s.waiting[0]
		if q.readyAt.After(now) {
			s.waiting.remove(q)
			importing = append(importing, q)
			continue
		}
		if !s.makeRoom(q.kv) {
			break
		}
		s.waiting.remove(q)
		s.start(q)
	}
	for _, q := range importing {
		s.waiting.add(q)
		if left := q.readyAt.Sub(now); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

func (s *Server) start(q *sequence) {
	s.kvUsed += q.kv
	q.reused = max(q.imported, s.cache.hit(q.call.PrefixKey, q.prefix()))
	q.prefillLeft = q.prefillTokens(q.reused)
	if q.imported > 0 {
		q.reused = 0 // computed by another engine, not found in the cache
	}
	s.stats.ReusedTokens += int64(q.reused)
	at, _ := slices.BinarySearchFunc(s.running, q, func(a, b *sequence) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	s.running = slices.Insert(s.running, at, q)
}

// apply updates the sequences with the result of a step. It reports whether the
// engine is to crash now.
func (s *Server) apply(planned *step) (crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i, q := range planned.batch {
		if q.ended {
			continue // cancelled during the step
		}
		q.prefillLeft -= planned.prefill[i]
		s.stats.PrefillTokens += int64(planned.prefill[i])
		if q.prefillLeft > 0 {
			continue
		}
		if planned.prefill[i] > 0 {
			s.storePrefix(now, q)
		}
		if q.work == workExport {
			s.end(q, s.export(now, q))
			continue
		}
		crash = s.decode(q) || crash
	}
	s.changed(now)
	return crash
}

// decode generates the next token of a sequence, and ends it after the last
// one.
func (s *Server) decode(q *sequence) (crash bool) {
	if q.next < q.length {
		q.push(httpdriver.Line{
			Kind:     httpdriver.LineToken,
			Sequence: q.next,
			Text:     answerer.Token(q.seed, q.next),
		})
		q.next++
		s.stats.DecodeTokens++
		crash = s.faults.CrashAfterTokens == 1
		s.faults.CrashAfterTokens = max(0, s.faults.CrashAfterTokens-1)
	}
	if q.next >= q.length {
		s.stats.Completed++
		s.end(q, httpdriver.Line{
			Kind:         httpdriver.LineEnd,
			OutputTokens: q.next,
			ReusedTokens: q.reused,
			PromptTokens: q.promptTokens,
		})
	}
	return crash
}

// end removes a sequence from the queue or the batch and pushes its last line.
func (s *Server) end(q *sequence, line httpdriver.Line) {
	if q.index >= 0 {
		s.waiting.remove(q)
	} else if at := slices.Index(s.running, q); at >= 0 {
		s.running = slices.Delete(s.running, at, at+1)
		s.kvUsed -= q.kv
	}
	q.ended = true
	q.push(line)
	if s.empty() {
		signal(s.emptied)
	}
}

func (s *Server) empty() bool { return len(s.running) == 0 && len(s.waiting) == 0 }

// cancel ends a sequence that has not ended, with an error code.
func (s *Server) cancel(q *sequence, code httpdriver.ErrorCode) {
	if q.ended {
		return
	}
	s.stats.Cancelled++
	ran := true
	s.end(q, httpdriver.Line{
		Kind:  httpdriver.LineError,
		Error: &httpdriver.ErrorMessage{AttemptID: q.call.AttemptID, Code: code, Ran: &ran},
	})
	signal(s.workReady)
}

func (s *Server) storePrefix(now time.Time, q *sequence) {
	evicted, stored := s.cache.store(q.call.PrefixKey, q.prefix())
	for _, p := range evicted {
		s.events.add(now, p.key, p.tokens, true)
	}
	if stored {
		s.events.add(now, q.call.PrefixKey, q.prefix(), false)
	}
}

// exported is a KV cache that other engines may fetch.
type exported struct {
	handle  driver.KVHandle
	expires time.Time
}

// export keeps a computed KV cache for other engines and returns its handle.
func (s *Server) export(now time.Time, q *sequence) httpdriver.Line {
	s.lastHandle++
	handle := driver.KVHandle{
		HandleID: s.incarnation + "/" + strconv.FormatInt(s.lastHandle, 10),
		Address:  s.advertised(),
		Tokens:   q.promptTokens,
		Bytes:    int64(q.promptTokens) * s.cfg.TimeModel.KVBytesPerToken,
	}
	s.exports = append(s.exports, exported{handle: handle, expires: now.Add(s.cfg.ExportTTL)})
	s.kvUsed += handle.Tokens
	s.stats.Exported++
	return httpdriver.Line{Kind: httpdriver.LineHandle, Handle: &handle}
}

// makeRoom drops expired exports, and then the oldest other ones as needed, and
// reports whether tokens fit into the memory.
func (s *Server) makeRoom(tokens int) bool {
	s.dropExports(time.Now())
	for len(s.exports) > 0 && s.kvUsed+tokens > s.cfg.TimeModel.KVTokens {
		s.kvUsed -= s.exports[0].handle.Tokens
		s.exports = slices.Delete(s.exports, 0, 1)
	}
	return s.kvUsed+tokens <= s.cfg.TimeModel.KVTokens
}

func (s *Server) dropExports(now time.Time) {
	s.exports = slices.DeleteFunc(s.exports, func(e exported) bool {
		if e.expires.After(now) {
			return false
		}
		s.kvUsed -= e.handle.Tokens
		return true
	})
}
