package loader

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	readyWait            = 30 * time.Second
	readyPoll            = 50 * time.Millisecond
	maxIdleConnsPerEntry = 512
	dialTimeout          = 2 * time.Second
	progressInterval     = time.Second
)

// Options are the settings of a run.
type Options struct {
	Scenario Scenario
	Seed     uint64
	Entries  []string // IP and port of the entry hosts' callers' APIs
	// Services are the addresses of plain services whose run counts the calls
	// are checked against after the run.
	Services []string
	// Runs, when set, returns the start times of the runs of each call key. It
	// replaces the services' counts, which are lost when a service is killed.
	Runs func() (map[string][]time.Time, error)
	// Operators are addresses of entry hosts' operators' APIs. The engines'
	// roles are read from the first one that answers.
	Operators     []string
	OperatorToken string
	// AllowHosts lists the permitted targets that are not on loopback.
	AllowHosts []string
	// RunID makes idempotency keys unique. It is generated when empty.
	RunID string
	// Progress is called about once a second while the run lasts.
	Progress func(Progress)
}

// Run is a started load.
type Run struct {
	options   Options
	client    *http.Client
	balancer  *balancer
	sender    *sender
	collector *collector
	watcher   *roleWatcher
	arrivals  []arrival
	pacer     *pacer

	stopArrivals context.CancelFunc
	stopWatchers context.CancelFunc
	callers      errgroup.Group
	watchers     errgroup.Group
	waitOnce     sync.Once
	report       *Report
	err          error
}

// Start waits until an entry host is ready and starts the load. It fails for
// targets that are neither on loopback nor listed in AllowHosts. The end of ctx
// stops the arrivals like Stop.
func Start(ctx context.Context, options Options) (run *Run, err error) {
	defer func() { err = eris.Wrap(err, "start load") }()
	if err := options.Check(); err != nil {
		return nil, err
	}
	if options.RunID == "" {
		options.RunID = fmt.Sprintf("r%x", time.Now().UnixNano())
	}
	arrivals, err := plan(&options.Scenario, options.Seed, options.RunID)
	if err != nil {
		return nil, err
	}
	run = newRun(options, arrivals)
	run.startWatchers(context.WithoutCancel(ctx))
	if err := run.awaitReady(ctx); err != nil {
		run.closeWatchers()
		return nil, err
	}
	run.startArrivals(ctx)
	return run, nil
}

// Check returns an error when there is no entry host, or when an address is
// malformed or neither on loopback nor listed in AllowHosts.
func (o *Options) Check() error {
	if len(o.Entries) == 0 {
		return eris.New("no entry host address given")
	}
	for _, address := range slices.Concat(o.Entries, o.Services, o.Operators) {
		if err := checkTarget(address, o.AllowHosts); err != nil {
			return err
		}
	}
	return nil
}

func newRun(options Options, arrivals []arrival) *Run {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		DisableCompression:  true,
	}}
	return &Run{
		options: options, client: client, arrivals: arrivals,
		balancer: newBalancer(client, options.Entries), sender: &sender{client: client},
		collector: newCollector(), pacer: &pacer{},
		watcher: newRoleWatcher(client, options.Operators, options.OperatorToken),
	}
}

// checkTarget rejects addresses that are neither on loopback nor allowed.
func checkTarget(address string, allowed []string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrapf(err, "address %q is not of the form IP:port", address)
	}
	if ip := net.ParseIP(host); (ip != nil && ip.IsLoopback()) || host == "localhost" {
		return nil
	}
	if slices.Contains(allowed, host) || slices.Contains(allowed, address) {
		return nil
	}
	return eris.Errorf("target %s is not on loopback; permit it with --allow-host", address)
}

func (r *Run) startWatchers(ctx context.Context) {
	ctx, r.stopWatchers = context.WithCancel(ctx)
	for i := range r.balancer.entries {
		r.watchers.Go(func() error {
			r.balancer.watch(ctx, &r.balancer.entries[i])
			return nil
		})
	}
	r.watchers.Go(func() error {
		r.watcher.watch(ctx)
		return nil
	})
	if r.options.Progress != nil {
		r.watchers.Go(func() error {
			r.reportProgress(ctx)
			return nil
		})
	}
}

func (r *Run) closeWatchers() {
	r.stopWatchers()
	_ = r.watchers.Wait()
	r.client.CloseIdleConnections()
}

func (r *Run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for r.balancer.readyCount() == 0 {
		if !waitUntil(ctx, time.Now().Add(readyPoll)) {
			return eris.Wrapf(errNoEntryReady, "no entry host became ready within %s", readyWait)
		}
	}
	return nil
}

// startArrivals sends the planned requests at their times. Requests already
// sent are completed when the arrivals are stopped.
func (r *Run) startArrivals(ctx context.Context) {
	arrivalsCtx, stop := context.WithCancel(ctx)
	r.stopArrivals = stop
	ctx = context.WithoutCancel(ctx)
	r.pacer.startedAt = time.Now()
	r.watcher.start(r.pacer.startedAt)
	r.callers.Go(func() error {
		for _, next := range r.arrivals {
			due := r.pacer.due(next.at)
			if !waitUntil(arrivalsCtx, due) {
				return nil
			}
			now := time.Now()
			r.collector.countSent(now.Sub(due))
			arrived := r.pacer.recordSend(due, now)
			next.at = arrived.Sub(r.pacer.startedAt)
			r.callers.Go(func() error {
				r.collector.add(r.caller(next, arrived).serve(ctx))
				return nil
			})
		}
		return nil
	})
}

func (r *Run) caller(next arrival, at time.Time) *caller {
	return &caller{
		scenario: &r.options.Scenario, class: &r.options.Scenario.Classes[next.class],
		arrival: next, sender: r.sender, balancer: r.balancer, arrived: at,
	}
}

func (r *Run) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if progress := r.Progress(); progress.Sent > 0 {
				r.options.Progress(progress)
			}
		}
	}
}

// Progress returns the counts so far.
func (r *Run) Progress() Progress {
	p := r.collector.progress()
	p.Ready = r.balancer.readyCount()
	if p.Sent > 0 {
		p.Elapsed = time.Since(r.pacer.startedAt)
	}
	return p
}

// Stop stops new arrivals. Requests already sent are completed.
func (r *Run) Stop() { r.stopArrivals() }

// Wait waits until every request has ended, checks the calls against the
// services' run counts, and returns the report. It fails when the run counts
// can't be read.
func (r *Run) Wait() (*Report, error) {
	r.waitOnce.Do(func() {
		_ = r.callers.Wait()
		r.stopArrivals()
		elapsed := time.Since(r.pacer.startedAt)
		r.closeWatchers()
		records, lag := r.collector.results()
		checked := r.checkRuns(records)
		r.client.CloseIdleConnections()
		r.report = makeReport(&r.options, checked, r.watcher, elapsed)
		r.report.LagMS, r.report.StallMS = lag, milliseconds(r.pacer.totalStall())
	})
	return r.report, r.err
}

// checkRuns compares the records with the services' runs.
func (r *Run) checkRuns(records []record) []record {
	if r.options.Runs == nil {
		var counts map[string]int
		counts, r.err = readRuns(r.client, r.options.Services)
		return checkRunCounts(records, counts)
	}
	var runs map[string][]time.Time
	if runs, r.err = r.options.Runs(); r.err != nil {
		return records
	}
	counts := make(map[string]int, len(runs))
	for key, times := range runs {
		counts[key] = len(times)
	}
	return checkRefusals(checkRunCounts(records, counts), runs)
}

// Close stops the arrivals and waits until every request has ended.
func (r *Run) Close() error {
	r.Stop()
	_, err := r.Wait()
	return err
}
