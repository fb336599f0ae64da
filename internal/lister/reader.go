package lister

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// reportReader polls the reports of one endpoint.
type reportReader struct {
	host   provider.Host
	cancel context.CancelFunc

	// Guarded by the Lister's mu.
	incarnation   string
	draining      bool
	cacheSequence int64
}

// readReports polls the reports of one endpoint until ctx ends.
func (l *Lister) readReports(ctx context.Context, reader *reportReader) error {
	timer := time.NewTimer(l.cfg.ReportInterval)
	defer timer.Stop()
	for {
		started := time.Now()
		l.readReport(ctx, reader)
		timer.Reset(max(0, l.reportInterval(reader)-time.Since(started)))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
	}
}

// reportInterval returns the time until the next report of an endpoint. A leaving
// endpoint is polled at the shortest interval: it may only be changing its role,
// and would stay without work for up to one interval afterwards.
func (l *Lister) reportInterval(reader *reportReader) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reader.draining {
		return l.cfg.ReportInterval
	}
	rateLimited := time.Duration(len(l.readers)) * time.Second / time.Duration(l.cfg.ReportsPerSecond)
	return jitter(max(l.cfg.ReportInterval, rateLimited), l.cfg.ReportInterval)
}

// jitter varies intervals above the minimum by a tenth, so that readers that were
// started together, with the first list, spread out.
func jitter(interval, minInterval time.Duration) time.Duration {
	if interval <= minInterval {
		return interval
	}
	return interval - interval/20 + rand.N(interval/10)
}

func (l *Lister) readReport(ctx context.Context, reader *reportReader) {
	target := driver.Target{EndpointID: reader.host.ID, Incarnation: reader.host.Incarnation, Address: reader.host.Address}
	ctx, cancel := timekeeper.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requested := time.Now()
	report, err := l.cfg.Driver.Report(ctx, target, reader.cacheSequence)
	now := time.Now()
	if err != nil {
		if l.ctx.Err() == nil {
			l.sink.MarkUnreachable(reader.host.ID)
		}
		return
	}
	l.mu.Lock()
	changed := reader.draining != report.Draining
	if reader.incarnation != report.Incarnation {
		reader.incarnation = report.Incarnation
	}
	reader.cacheSequence = report.CacheSequence
	reader.draining = report.Draining
	l.mu.Unlock()
	if changed {
		l.publish(now)
	}
	l.sink.SetReport(reader.host.ID, report, requested, now)
}
