package comparer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/internal/provider"
)

// job is one planned run with its position in the results.
type job struct {
	position int
	scenario loader.Scenario
	fault    Fault
	variant  *Variant
	seed     uint64
}

// errInterrupted is returned for a run that was cancelled. It has no result.
var errInterrupted = errors.New("interrupted")

// Compare executes all runs. When ctx ends, it cancels the current runs and
// returns the results of the completed ones.
func Compare(ctx context.Context, o Options) (comparison *Comparison, err error) {
	defer func() { err = eris.Wrap(err, "compare") }()
	jobs, err := plan(&o)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Logs, 0o755); err != nil {
		return nil, err
	}
	queue := make(chan job, len(jobs))
	for _, next := range jobs {
		queue <- next
	}
	close(queue)
	var mu sync.Mutex
	results := make([]*Result, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	for lane := range o.Lanes {
		group.Go(func() error {
			for next := range queue {
				if isDone(ctx) {
					break
				}
				result, err := measure(ctx, &o, &next, o.BasePort+lane*PortsPerLane)
				if errors.Is(err, errInterrupted) {
					return nil
				}
				if err != nil {
					return err
				}
				mu.Lock()
				results[next.position] = result
				printProgress(&o, result)
				mu.Unlock()
			}
			return nil
		})
	}
	err = group.Wait()
	comparison = &Comparison{Deployment: o.Deployment.Name, TimeScale: o.TimeScale, RateScale: o.RateScale, Variants: o.Variants}
	for _, result := range results {
		if result != nil {
			comparison.Results = append(comparison.Results, *result)
		}
	}
	return comparison, err
}

// plan lists the runs. The variants of one scenario, fault and seed run one after
// another, and each seed starts with a different variant, so that other load on
// the machine doesn't always affect the same variant.
func plan(o *Options) (jobs []job, err error) {
	for turn, seed := range o.Seeds {
		for _, path := range o.Scenarios {
			scenario, err := loader.ReadScenario(path)
			if err != nil {
				return nil, err
			}
			scenario.ScaleDurations(o.TimeScale)
			scenario.RateScale *= o.RateScale
			for _, fault := range o.Faults {
				for i := range o.Variants {
					jobs = append(jobs, job{
						position: len(jobs), scenario: scenario, fault: fault,
						variant: &o.Variants[(turn+i)%len(o.Variants)], seed: seed,
					})
				}
			}
		}
	}
	return jobs, nil
}

// measure executes a run, and repeats it up to o.Attempts times when its loader
// was late.
func measure(ctx context.Context, o *Options, next *job, port int) (*Result, error) {
	var dropped []float64
	for attempt := 1; ; attempt++ {
		result, err := measureOnce(ctx, o, next, port)
		if err != nil {
			return nil, err
		}
		lag := result.Report.LagMS.P99
		result.Dropped = dropped
		result.IsLate = lag > milliseconds(o.MaxLag)
		if !result.IsLate || attempt >= o.Attempts || isDone(ctx) {
			return result, nil
		}
		dropped = append(dropped, lag)
	}
}

func measureOnce(ctx context.Context, o *Options, next *job, port int) (result *Result, err error) {
	defer func() {
		err = eris.Wrapf(err, "%s with %s, fault %s, seed %d", next.scenario.Name, next.variant.Name, faultName(next.fault), next.seed)
	}()
	f, err := startFleet(ctx, o, next.variant, next.fault, port)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	result = &Result{RunKey: RunKey{
		Scenario: next.scenario.Name, Fault: faultName(next.fault), Variant: next.variant.Name, Seed: next.seed,
	}}
	if err := f.configure(ctx, &next.scenario); err != nil {
		return nil, err
	}
	if result.Report, err = load(ctx, f, next); err != nil {
		return nil, err
	}
	result.Retries, result.Hedges = f.sumCounter(ctx, "endivemast_retries_total"), f.sumCounter(ctx, "endivemast_hedges_total")
	result.LoadAverage = loadAverage()
	demands, err := loader.Demands(&next.scenario, next.seed)
	if err != nil {
		return nil, err
	}
	result.Bound = bound(o.Deployment, &next.scenario, demands)
	result.Utilisation = utilisation(o.Deployment, &next.scenario, demands)
	err = f.Close()
	result.CPUSeconds = f.entryCPU().Seconds()
	return result, err
}

func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

func load(ctx context.Context, f *fleet, next *job) (report *loader.Report, err error) {
	options := f.loadOptions()
	options.Scenario, options.Seed = next.scenario, next.seed
	run, err := loader.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	faults, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return inject(faults, next.fault, f, next.scenario.Duration()) })
	report, err = run.Wait()
	if isDone(ctx) {
		err = errors.Join(err, errInterrupted)
	}
	stop()
	return report, errors.Join(err, group.Wait())
}

// configure writes the scenario's configuration, and waits until every entry host
// has it in force, is ready and knows all endpoints.
func (f *fleet) configure(ctx context.Context, scenario *loader.Scenario) error {
	entries := f.hostsOfKind(provider.HostEntry)
	if err := loader.Configure(ctx, f.loadOptions().Operators, "", scenario); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range entries {
		if err := f.await(ctx, "http://"+m.operators+"/readyz", nil); err != nil {
			return err
		}
		if err := f.awaitEndpoints(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// awaitEndpoints waits until an entry host reports all endpoints as live.
func (f *fleet) awaitEndpoints(ctx context.Context, m *hostProcess) error {
	want := len(f.hosts) - len(f.hostsOfKind(provider.HostEntry))
	for {
		var status struct {
			Endpoints []struct {
				State string `json:"state"`
			} `json:"endpoints"`
		}
		if err := f.await(ctx, "http://"+m.operators+"/v1/operator/status", &status); err != nil {
			return err
		}
		live := 0
		for _, endpoint := range status.Endpoints {
			if endpoint.State == "live" {
				live++
			}
		}
		if live == want {
			return nil
		}
		if !waitFor(ctx, pollInterval) {
			return eris.Errorf("timed out: host %s reports %d of %d endpoints as live", m.ID, live, want)
		}
	}
}

// loadAverage returns the machine's load average over the last minute, or 0 when
// it can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	average, _ := strconv.ParseFloat(first, 64)
	return average
}

func printProgress(o *Options, result *Result) {
	if o.Progress == nil {
		return
	}
	r := result.Report
	fmt.Fprintf(o.Progress, "%s %s %s seed %d: weighted goodput %.3f, upper bound %.3f, role changes %d, refused %d, lost %d, loader lag %s ms, dropped runs %d, load average %.0f, utilisation %.2v\n",
		result.Scenario, result.Fault, result.Variant, result.Seed, r.WeightedGoodput, result.Bound, r.RoleChanges,
		r.Total.Refused, r.Total.Lost, r.LagMS, len(result.Dropped), result.LoadAverage, result.Utilisation)
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
