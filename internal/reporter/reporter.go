// Package reporter reports the usage of each window to the platform. Only the holder of
// the authority reports.
//
// Each window has one report. Its counts are written into the authority's record before
// they are sent, by a compare-and-swap that only the holder can make. Whoever holds the
// authority then sends these counts until the platform has confirmed them, so that a call
// that is repeated, executed late, or made by a successor has the same counts.
//
// A former holder can't write the record, and sends nothing new. Its earlier calls may
// still arrive, with a lower fencing number than the successor's and with the counts of
// the record.
//
// # Usage
//
//	r := reporter.New(reporter.Config{Authority: leaser, Totals: accountant.Totals, Send: platform.Report, ...})
//	group.Go(func() error { return r.Run(ctx) })
package reporter

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/leaser"
)

const (
	// stepInterval is how often the holder checks whether a report is due.
	stepInterval = 250 * time.Millisecond
	// settlingDelay is the time from a window's end until its counts are recorded: hosts
	// publish theirs each second, and hubs pass them on within a second.
	settlingDelay = 2500 * time.Millisecond
	sendTimeout   = 1500 * time.Millisecond
	// retryPause is the delay after a call that was not confirmed.
	retryPause = 500 * time.Millisecond
	// maxWindowsBehind is how many windows back a new holder continues the reports.
	maxWindowsBehind = 4

	section = "usage"
)

// ErrStaleEpoch is the platform's answer if it has seen a higher fencing number.
var ErrStaleEpoch = errors.New("platform has seen a higher fencing number")

// Report holds the usage of one window.
type Report struct {
	Window int64
	Counts map[string]int64 // number of requests by tenant
	Holder string           // id of this host
	Epoch  int64            // the fencing number
}

// windowCounts holds a window's counts in the authority's record.
type windowCounts struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Authority is the part of leaser.Leaser that a Reporter uses.
type Authority interface {
	Record() (leaser.Record, bool)
	Update(ctx context.Context, edit func(*leaser.Draft) error) (leaser.Record, error)
}

// Config holds the settings of a Reporter.
type Config struct {
	Authority Authority
	HostID    string
	// TakeoverDelay is how long a new holder waits before its first call, so that a former
	// holder's calls have arrived even if the receiver does not check fencing numbers.
	TakeoverDelay time.Duration
	// WindowAt returns the window that contains a time, and WindowEnd the end of a window.
	WindowAt  func(time.Time) int64
	WindowEnd func(window int64) time.Time
	Totals    func(window int64) map[string]int64
	// Send makes one call. After any error but ErrStaleEpoch the platform may or may not
	// have accepted the report.
	Send   func(ctx context.Context, report Report) error
	Now    func() time.Time // on the clock of the windows
	Logger hclog.Logger
}

// Status describes the last report, for display.
type Status struct {
	Window      int64
	IsConfirmed bool
	At          time.Time // of the last call
	LastError   string
}

// Reporter reports usage while this host holds the authority.
type Reporter struct {
	cfg Config

	mu     sync.Mutex
	status Status

	term            int64 // term of the authority that the fields below belong to
	firstWindow     int64 // earliest window to report
	actAfter        time.Time
	retryAt         time.Time
	confirmedWindow int64 // window of the last confirmed report; 0: none in this term
	refusedEpoch    int64
}

// New creates a Reporter.
func New(cfg Config) *Reporter { return &Reporter{cfg: cfg} }

// Status returns the last report of this host.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Run reports usage until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.step(ctx)
		}
	}
}

// step makes at most one call.
func (r *Reporter) step(ctx context.Context) {
	now := r.cfg.Now()
	record, ok := r.cfg.Authority.Record()
	if !ok || !r.mayAct(&record, now) {
		return
	}
	var last windowCounts
	isRecorded, err := record.Section(section, &last)
	if err != nil {
		r.logAndRetry("recorded usage counts unreadable", err, now)
		return
	}
	if isRecorded && last.Window > r.confirmedWindow {
		r.send(ctx, &record, last, now)
		return
	}
	window := r.nextWindow(isRecorded, last.Window, now)
	if now.Before(r.cfg.WindowEnd(window).Add(settlingDelay)) {
		return
	}
	r.recordCounts(ctx, window, now)
}

// mayAct is false during the takeover delay of a new term, and during the delay after a
// failure.
func (r *Reporter) mayAct(record *leaser.Record, now time.Time) bool {
	if record.Term != r.term {
		r.term, r.actAfter, r.retryAt, r.confirmedWindow = record.Term, now, time.Time{}, 0
		r.firstWindow = r.cfg.WindowAt(now)
		if record.Term > 1 {
			r.actAfter = now.Add(r.cfg.TakeoverDelay)
			r.firstWindow -= maxWindowsBehind // a former holder may not have reported these
		}
		if record.Restoration != nil {
			// Earlier windows may have been reported with counts that the store has lost.
			r.firstWindow = max(r.firstWindow, r.cfg.WindowAt(time.UnixMilli(record.Restoration.AtMS)))
		}
	}
	return !now.Before(r.actAfter) && !now.Before(r.retryAt)
}

// nextWindow returns the window to report after the last one. It skips windows too far
// back, for which no counts are kept.
func (r *Reporter) nextWindow(isRecorded bool, last int64, now time.Time) int64 {
	if !isRecorded {
		last = r.firstWindow - 1
	}
	return max(last+1, r.cfg.WindowAt(now)-maxWindowsBehind, r.firstWindow)
}

// recordCounts writes a window's counts into the record. If an earlier write succeeded
// without an answer, its counts stay.
func (r *Reporter) recordCounts(ctx context.Context, window int64, now time.Time) {
	counts := r.cfg.Totals(window)
	_, err := r.cfg.Authority.Update(ctx, func(draft *leaser.Draft) error {
		var last windowCounts
		isRecorded, err := draft.Section(section, &last)
		if err != nil {
			return err
		}
		if isRecorded && last.Window >= window {
			return nil
		}
		return draft.SetSection(section, windowCounts{Window: window, Counts: counts})
	})
	if err != nil {
		r.logAndRetry("usage counts not recorded", err, now)
		return
	}
	r.cfg.Logger.Info("usage counts recorded", "window", window, "tenants", len(counts), "requests", sum(counts),
		"age_ms", now.Sub(r.cfg.WindowEnd(window)).Milliseconds())
	// Sends at once, since a report is due a few seconds after its window's end.
	if record, ok := r.cfg.Authority.Record(); ok {
		var last windowCounts
		if isRecorded, err := record.Section(section, &last); err == nil && isRecorded && last.Window > r.confirmedWindow {
			r.send(ctx, &record, last, now)
		}
	}
}

// send reports recorded counts. Only this holder keeps that they were confirmed: a
// successor repeats the last report, which changes nothing.
func (r *Reporter) send(ctx context.Context, record *leaser.Record, last windowCounts, now time.Time) {
	if r.refusedEpoch >= record.Epoch {
		r.raiseEpoch(ctx, now)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := r.cfg.Send(callCtx, Report{Window: last.Window, Counts: maps.Clone(last.Counts), Holder: r.cfg.HostID, Epoch: record.Epoch})
	r.setStatus(last.Window, err, now)
	switch {
	case err == nil:
		r.confirmedWindow = last.Window
		r.cfg.Logger.Info("usage reported", "window", last.Window, "epoch", record.Epoch,
			"age_ms", now.Sub(r.cfg.WindowEnd(last.Window)).Milliseconds())
	case errors.Is(err, ErrStaleEpoch):
		r.refusedEpoch = record.Epoch
		r.logAndRetry("usage report refused", err, now)
	default:
		r.logAndRetry("usage report not confirmed", err, now)
	}
}

// raiseEpoch takes a higher fencing number. The write succeeds only if this host still
// holds the authority.
func (r *Reporter) raiseEpoch(ctx context.Context, now time.Time) {
	_, err := r.cfg.Authority.Update(ctx, func(draft *leaser.Draft) error {
		draft.Epoch++
		return nil
	})
	if err != nil {
		r.logAndRetry("higher fencing number not recorded", err, now)
	}
}

func (r *Reporter) logAndRetry(message string, err error, now time.Time) {
	r.retryAt = now.Add(retryPause)
	r.cfg.Logger.Warn(message, "error", eris.Cause(err), "term", r.term)
}

func (r *Reporter) setStatus(window int64, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = Status{Window: window, IsConfirmed: err == nil, At: now}
	if err != nil {
		r.status.LastError = err.Error()
	}
}

func sum(counts map[string]int64) (total int64) {
	for _, count := range counts {
		total += count
	}
	return total
}
