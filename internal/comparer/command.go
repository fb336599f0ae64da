package comparer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/standins/placer"
)

const (
	defaultBasePort = 23000
	defaultMaxLag   = 20 * time.Millisecond
	defaultAttempts = 3
	maxLanes        = 4
	exitUsage       = 2
)

// Command returns the command compare.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "measure the policy against baselines on real processes",
		ArgsUsage: "SCENARIO...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "vitosha or agency", Required: true},
			&cli.StringSliceFlag{Name: "variant", Usage: "policy, round_robin, fewest_in_flight, never or every_swing; repeat or separate by commas", Value: []string{"policy", "round_robin", "fewest_in_flight", "never", "every_swing"}},
			&cli.StringSliceFlag{Name: "fault", Usage: "none, engine_crash, entry_killed, store_down or late_reports; repeat or separate by commas", Value: []string{"none"}},
			&cli.IntFlag{Name: "runs", Usage: "repetitions, each with its own seed", Value: 3},
			&cli.Uint64Flag{Name: "first-seed", Usage: "`SEED` of the first repetition", Value: 1},
			&cli.FloatFlag{Name: "time-scale", Usage: "multiply the phases' durations by a `FACTOR`", Value: 0.5},
			&cli.FloatFlag{Name: "rate-scale", Usage: "multiply the rates by a `FACTOR`", Value: 1},
			&cli.IntFlag{Name: "lanes", Usage: "number of deployments that run in parallel", Value: 1},
			&cli.IntFlag{Name: "base-port", Usage: "first `PORT`; each lane uses 100 ports", Value: defaultBasePort},
			&cli.StringFlag{Name: "programs", Usage: "`DIRECTORY` with endivemast and standin", Value: "bin"},
			&cli.StringFlag{Name: "before", Usage: "`DIRECTORY` with the programs of an earlier build, measured as an additional variant"},
			&cli.StringFlag{Name: "logs", Usage: "`DIRECTORY` for the processes' logs", Value: filepath.Join("run", "compare")},
			&cli.DurationFlag{Name: "max-lag", Usage: "repeat runs in which the 99th percentile of the loader's send delay exceeds this", Value: defaultMaxLag},
			&cli.StringFlag{Name: "results", Usage: "write all runs to a JSON `FILE`"},
			&cli.StringFlag{Name: "plots", Usage: "write SVG plots of goodput and roles for the first seed to a `DIRECTORY`"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	options, err := optionsOf(cmd)
	if err != nil {
		return cli.Exit("compare: "+err.Error(), exitUsage)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	comparison, err := Compare(ctx, options)
	if comparison == nil {
		return err
	}
	if path := cmd.String("results"); path != "" {
		err = errors.Join(err, writeFile(path, comparison.WriteJSON))
	}
	if directory := cmd.String("plots"); directory != "" {
		err = errors.Join(err, comparison.WritePlots(directory))
	}
	return errors.Join(err, comparison.WriteTables(cmd.Root().Writer))
}

func optionsOf(cmd *cli.Command) (o Options, err error) {
	o = Options{
		Scenarios: cmd.Args().Slice(), TimeScale: cmd.Float("time-scale"), RateScale: cmd.Float("rate-scale"),
		Lanes: cmd.Int("lanes"), BasePort: cmd.Int("base-port"), Programs: cmd.String("programs"), Logs: cmd.String("logs"),
		MaxLag: cmd.Duration("max-lag"), Attempts: defaultAttempts, Progress: os.Stderr,
	}
	switch name := cmd.String("deployment"); name {
	case "vitosha":
		o.Deployment = placer.Vitosha()
	case "agency":
		o.Deployment = placer.Agency()
	default:
		return o, fmt.Errorf("unknown deployment %q: must be vitosha or agency", name)
	}
	for _, name := range cmd.StringSlice("variant") {
		variant, err := VariantByName(name)
		if err != nil {
			return o, err
		}
		o.Variants = append(o.Variants, variant)
	}
	if directory := cmd.String("before"); directory != "" {
		o.Variants = append(o.Variants, EarlierBuild(directory))
	}
	for _, name := range cmd.StringSlice("fault") {
		fault, err := FaultByName(name)
		if err != nil {
			return o, err
		}
		o.Faults = append(o.Faults, fault)
	}
	for i := range cmd.Int("runs") {
		o.Seeds = append(o.Seeds, cmd.Uint64("first-seed")+uint64(i))
	}
	return o, o.check()
}

func (o *Options) check() error {
	switch {
	case len(o.Scenarios) == 0:
		return errors.New("at least one scenario file is required")
	case len(o.Seeds) == 0:
		return errors.New("runs must be at least 1")
	case o.TimeScale <= 0 || o.RateScale <= 0:
		return errors.New("time-scale and rate-scale must be above 0")
	case o.Lanes < 1 || o.Lanes > maxLanes:
		return fmt.Errorf("lanes is %d, must be 1 to %d", o.Lanes, maxLanes)
	}
	for _, path := range o.Scenarios {
		if !strings.Contains(filepath.Base(path), o.Deployment.Name) {
			return fmt.Errorf("scenario %s does not belong to deployment %s", path, o.Deployment.Name)
		}
	}
	return nil
}

// WriteJSON writes all results as JSON.
func (c *Comparison) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(c), "write comparison")
}

func writeFile(path string, write func(io.Writer) error) (err error) {
	defer func() { err = eris.Wrapf(err, "write %s", path) }()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
