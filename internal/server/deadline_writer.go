package server

import (
	"context"
	"net/http"
	"time"
)

// extendFraction of the write timeout passes before its deadline moves.
const extendFraction = 8

// deadlineWriter gives each write a deadline, and ends the request when one
// fails. goa's stream drops the errors of its writes, and a caller that stops
// reading would otherwise hold its engine for ever.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	cancel  context.CancelFunc
	set     time.Time // when the deadline was last moved
}

// newDeadlineWriter wraps a response writer.
func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration, cancel context.CancelFunc) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout, cancel: cancel}
}

// Write writes to the caller.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	w.extend()
	n, err := w.ResponseWriter.Write(data)
	if err != nil {
		w.cancel()
	}
	return n, err
}

// FlushError sends what was written.
func (w *deadlineWriter) FlushError() error {
	w.extend()
	err := w.control.Flush()
	if err != nil {
		w.cancel()
	}
	return err
}

// Unwrap gives http.ResponseController the writer below.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extend moves the deadline, though not for every token: moving it costs more
// than writing one.
func (w *deadlineWriter) extend() {
	now := time.Now()
	if now.Sub(w.set) < w.timeout/extendFraction {
		return
	}
	w.set = now
	_ = w.control.SetWriteDeadline(now.Add(w.timeout)) // best effort
}
