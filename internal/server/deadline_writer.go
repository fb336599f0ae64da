package server

import (
	"context"
	"net/http"
	"time"
)

// deadlineUpdatesPerTimeout is the maximum number of deadline updates within one write
// timeout.
const deadlineUpdatesPerTimeout = 8

// deadlineWriter sets a deadline for each write, and cancels the request when a write fails.
// goa's streams ignore write errors, so that a caller that stops reading would occupy its
// engine forever.
type deadlineWriter struct {
	http.ResponseWriter
	control       *http.ResponseController
	timeout       time.Duration
	cancel        context.CancelFunc
	deadlineSetAt time.Time // time of the latest deadline update
}

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration, cancel context.CancelFunc) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout, cancel: cancel}
}

// Write writes to the caller and cancels the request on an error.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	w.extendDeadline()
	n, err := w.ResponseWriter.Write(data)
	if err != nil {
		w.cancel()
	}
	return n, err
}

// FlushError sends the buffered data and cancels the request on an error.
func (w *deadlineWriter) FlushError() error {
	w.extendDeadline()
	err := w.control.Flush()
	if err != nil {
		w.cancel()
	}
	return err
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline moves the deadline, but not for every token: moving it costs more than
// writing a token.
func (w *deadlineWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(w.deadlineSetAt) < w.timeout/deadlineUpdatesPerTimeout {
		return
	}
	w.deadlineSetAt = now
	_ = w.control.SetWriteDeadline(now.Add(w.timeout)) // not every ResponseWriter supports deadlines
}
