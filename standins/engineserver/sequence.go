package engineserver

import (
	"container/heap"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/standins/answerer"
)

// work is the purpose of a sequence.
type work int

const (
	workGenerate work = iota
	workExport        // compute the KV cache of the prompt and export it
)

// sequence is one prompt in the engine. The server's mutex guards its fields.
type sequence struct {
	call    driver.GenerateCall
	work    work
	arrival int64     // order of arrival
	readyAt time.Time // when its imported KV cache has arrived
	index   int       // in the waiting queue; -1 when not queued

	seed         uint64
	length       int // number of its tokens
	next         int // index of its next token
	promptTokens int
	imported     int // prompt tokens that came with an import
	reused       int // prompt tokens from the prefix cache
	prefillLeft  int
	kv           int // tokens of memory reserved for it

	ended   bool
	pending []httpdriver.Line // not yet taken by the handler
	notify  chan struct{}
}

func newSequence(call driver.GenerateCall, w work) *sequence {
	seed := answerer.Seed(call.Application, call.Prompt)
	prompt := answerer.CountTokens(call.Prompt)
	q := &sequence{
		call:         call,
		work:         w,
		index:        -1,
		seed:         seed,
		length:       answerer.Length(seed, call.MaxOutputTokens),
		next:         len(call.ResumeTokens),
		promptTokens: prompt,
		notify:       make(chan struct{}, 1),
	}
	q.kv = prompt + max(call.MaxOutputTokens, q.next)
	if w == workExport {
		q.kv = prompt
	}
	return q
}

// prefix returns the number of prompt tokens that the prefix cache may hold.
func (q *sequence) prefix() int { return min(max(0, q.call.PrefixTokens), q.promptTokens) }

// prefillTokens returns how many tokens have to be computed before the next one
// is generated, given the number of cached ones. Resume tokens have to be
// computed as well.
func (q *sequence) prefillTokens(cached int) int {
	left := q.promptTokens + len(q.call.ResumeTokens) - max(q.imported, cached)
	if q.imported > 0 {
		return max(0, left)
	}
	return max(1, left) // the state of the last token is never cached
}

// resumeMatches reports whether the resume tokens are the first tokens of the
// answer.
func (q *sequence) resumeMatches() bool {
	for i, token := range q.call.ResumeTokens {
		if token != answerer.Token(q.seed, i) {
			return false
		}
	}
	return true
}

func (q *sequence) push(line httpdriver.Line) {
	line.AttemptID = q.call.AttemptID
	q.pending = append(q.pending, line)
	signal(q.notify)
}

// queue orders waiting sequences by priority, then arrival. It implements heap.Interface.
type queue []*sequence

// Len is the number of sequences.
func (w queue) Len() int { return len(w) }

// Less is true when i goes before j.
func (w queue) Less(i, j int) bool { return precedes(w[i], w[j]) }

// Swap exchanges two sequences.
func (w queue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push appends a sequence.
func (w *queue) Push(x any) {
	q := x.(*sequence)
	q.index = len(*w)
	*w = append(*w, q)
}

// Pop removes the last sequence.
func (w *queue) Pop() any {
	last := len(*w) - 1
	q := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	q.index = -1
	return q
}

func (w *queue) add(q *sequence) { heap.Push(w, q) }

func (w *queue) remove(q *sequence) { heap.Remove(w, q.index) }

func precedes(a, b *sequence) bool {
	if a.call.Priority != b.call.Priority {
		return a.call.Priority > b.call.Priority
	}
	return a.arrival < b.arrival
}
