package lister

import (
	"context"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
)

// reader is the row of one endpoint whose reports are read.
type reader struct {
	host   provider.Host
	cancel context.CancelFunc

	// Guarded by the Lister's mu.
	incarnation   string
	draining      bool
	cacheSequence int64
}

// readReports reads one endpoint's reports until ctx ends.
func (l *Lister) readReports(ctx context.Context, row *reader) error {
	ticker := time.NewTicker(l.cfg.ReportEvery)
	defer ticker.Stop()
	for {
		l.readReport(ctx, row)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *Lister) readReport(ctx context.Context, row *reader) {
	target := driver.Target{EndpointID: row.host.ID, Incarnation: row.host.Incarnation, Address: row.host.Address}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requested := time.Now()
	report, err := l.cfg.Driver.Report(ctx, target, row.cacheSequence)
	now := time.Now()
	if err != nil {
		if l.ctx.Err() == nil {
			l.feed.MarkUnreachable(row.host.ID)
		}
		return
	}
	l.mu.Lock()
	changed := row.draining != report.Draining
	if row.incarnation != report.Incarnation {
		row.incarnation = report.Incarnation
	}
	row.cacheSequence = report.CacheSequence
	row.draining = report.Draining
	l.mu.Unlock()
	if changed {
		l.publish(now)
	}
	l.feed.SetReport(row.host.ID, report, requested, now)
}
