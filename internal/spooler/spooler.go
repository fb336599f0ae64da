// Package spooler writes log lines without blocking the callers that log them.
//
// Lines wait in a bounded queue for one goroutine that writes them. If the output blocks
// or is slower than the log, lines are dropped, and a separate line reports their number
// once the output accepts lines again. Part of the queue is reserved for the levels warn
// and error, so that many lines of lower levels do not displace those that explain a
// failure.
//
// # Usage
//
//	s := spooler.New(os.Stdout)
//	logger := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: s})
//	defer s.Close()
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// queueBytes bounds the queue. A host logs a few kilobytes a second; this is enough
	// for an output that blocks for a second under load.
	queueBytes = 256 << 10
	// reservedFraction is the fraction of the queue, as 1/n, reserved for reservedLevels.
	reservedFraction = 4
	// closeTimeout bounds the time for writing the last lines in Close.
	closeTimeout = time.Second
)

// reservedLevels are the levels warn and error in hclog's JSON lines.
var reservedLevels = [][]byte{[]byte(`"@level":"warn"`), []byte(`"@level":"error"`)}

// Spooler is an io.Writer that accepts one line per Write and never blocks. It is safe
// for concurrent use.
type Spooler struct {
	out io.Writer

	mu           sync.Mutex
	lines        [][]byte
	size         int // of lines, in bytes
	unreported   int // dropped since the last report
	droppedTotal int // all dropped lines and failed writes
	queued       chan struct{}
	isClosed     bool
	group        errgroup.Group
}

// New starts a Spooler that writes to out.
func New(out io.Writer) *Spooler {
	s := &Spooler{out: out, queued: make(chan struct{}, 1)}
	s.group.Go(s.run)
	return s
}

// Write queues a copy of a line, or drops the line if the queue is full or closed. It
// never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	limit := queueBytes
	if !usesReserve(line) {
		limit -= queueBytes / reservedFraction
	}
	if s.isClosed || s.size+len(line) > limit {
		s.unreported++
		s.droppedTotal++
	} else {
		s.lines = append(s.lines, bytes.Clone(line))
		s.size += len(line)
	}
	s.mu.Unlock()
	s.notify()
	return len(line), nil
}

func usesReserve(line []byte) bool {
	for _, level := range reservedLevels {
		if bytes.Contains(line, level) {
			return true
		}
	}
	return false
}

func (s *Spooler) notify() {
	select {
	case s.queued <- struct{}{}:
	default:
	}
}

// Dropped returns the number of dropped lines; a failed write of a batch counts as one.
func (s *Spooler) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedTotal
}

// run writes the queued lines in batches until the queue is closed and empty.
func (s *Spooler) run() error {
	for range s.queued {
		for {
			batch, isClosed := s.takeBatch()
			if len(batch) == 0 {
				if isClosed {
					return nil
				}
				break
			}
			// A failing output can't receive a report of the failure, so it is
			// only counted.
			if _, err := s.out.Write(batch); err != nil {
				s.countDropped()
			}
		}
	}
	return nil
}

func (s *Spooler) countDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedTotal++
}

// takeBatch empties the queue and returns its lines, followed by a report of the lines
// dropped since the last one.
func (s *Spooler) takeBatch() (batch []byte, isClosed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch = bytes.Join(s.lines, nil)
	s.lines, s.size = nil, 0
	if s.unreported > 0 {
		batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","@module":"spooler","count":%d,"total":%d}`+"\n", s.unreported, s.droppedTotal)
		s.unreported = 0
	}
	return batch, s.isClosed
}

// Close accepts no more lines and waits until the queue is written, for at most
// closeTimeout.
func (s *Spooler) Close() error {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.notify()
	done := make(chan error, 1)
	var waiting errgroup.Group
	waiting.Go(func() error {
		done <- s.group.Wait()
		return nil
	})
	select {
	case err := <-done:
		return err
	case <-time.After(closeTimeout):
		return nil // the output blocks, so the failure can't be logged
	}
}
