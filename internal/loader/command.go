package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// exitUsage is the exit status for invalid arguments.
const exitUsage = 2

// Command returns the command load.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send a scenario's load to running entry hosts and report the outcome of every request",
		ArgsUsage: "SCENARIO",
		Flags:     flags(),
		Action:    runCommand,
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry host's callers' API; repeat or separate by commas", Required: true},
		&cli.StringSliceFlag{Name: "operator", Usage: "`ADDRESS` of an entry host's operators' API, used to read the engines' roles and for --configure"},
		&cli.StringFlag{Name: "operator-token", Usage: "API `KEY` of an operator", Sources: cli.EnvVars("ENDIVEMAST_OPERATOR_TOKEN")},
		&cli.StringSliceFlag{Name: "service", Usage: "`ADDRESS` of a plain service whose run counts the calls are checked against"},
		&cli.BoolFlag{Name: "configure", Usage: "first write the scenario's applications and classes through the first --operator"},
		&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of arrivals and prompts", Value: 1},
		&cli.FloatFlag{Name: "rate-scale", Usage: "multiply the scenario's rates by a `FACTOR`", Value: 1},
		&cli.BoolFlag{Name: "retry-refused", Usage: "retry refused requests after Retry-After"},
		&cli.StringSliceFlag{Name: "allow-host", Usage: "`IP` of a permitted target that is not on loopback"},
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		&cli.StringFlag{Name: "series", Usage: "write the report with its time series to a JSON `FILE`"},
		&cli.StringFlag{Name: "plot", Usage: "draw goodput and roles over time to an SVG `FILE`"},
		&cli.BoolFlag{Name: "quiet", Usage: "print no progress lines"},
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("load: want one scenario file, for example scenarios/vitosha-steady.yaml", exitUsage)
	}
	scenario, err := ReadScenario(cmd.Args().First())
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	options := optionsOf(cmd, scenario)
	if err := options.Check(); err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if cmd.Bool("configure") {
		if len(options.Operators) == 0 {
			return cli.Exit("load: --configure needs --operator ADDRESS", exitUsage)
		}
		if err := Configure(ctx, options.Operators, options.OperatorToken, &scenario); err != nil {
			return err
		}
	}
	// A signal stops new arrivals; requests already sent are completed and counted.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	run, err := Start(ctx, options)
	if err != nil {
		return err
	}
	report, err := run.Wait()
	if err != nil {
		return err
	}
	if err := writeReport(cmd, report); err != nil {
		return err
	}
	return report.CheckOutcomes()
}

func optionsOf(cmd *cli.Command, scenario Scenario) Options {
	scenario.RateScale *= cmd.Float("rate-scale")
	scenario.RetryRefused = scenario.RetryRefused || cmd.Bool("retry-refused")
	options := Options{
		Scenario: scenario, Seed: cmd.Uint64("seed"),
		Entries: cmd.StringSlice("entry"), Services: cmd.StringSlice("service"),
		Operators: cmd.StringSlice("operator"), OperatorToken: cmd.String("operator-token"),
		AllowHosts: cmd.StringSlice("allow-host"),
	}
	if !cmd.Bool("quiet") {
		options.Progress = WriteProgress(cmd.Root().ErrWriter)
	}
	return options
}

// WriteProgress returns a function that writes each progress report as a line
// to w, or to standard error when w is nil.
func WriteProgress(w io.Writer) func(Progress) {
	if w == nil {
		w = os.Stderr
	}
	return func(p Progress) {
		fmt.Fprintf(w, "%4.0fs  sent %d  in flight %d  whole %d  in time %d  refused %d  unknown %d  failed %d  lost %d  crossed %d  doubled %d  entries ready %d\n",
			p.Elapsed.Round(time.Second).Seconds(), p.Sent, p.InFlight, p.Counts[OutcomeComplete], p.InTime,
			p.Counts[OutcomeRefused], p.Counts[OutcomeUnknown], p.Counts[OutcomeFailed],
			p.Counts[OutcomeLost], p.Counts[OutcomeWrong], p.Counts[OutcomeDuplicated], p.Ready)
	}
}

func writeReport(cmd *cli.Command, report *Report) error {
	if path := cmd.String("series"); path != "" {
		if err := writeFile(path, report.WriteJSON); err != nil {
			return err
		}
	}
	if path := cmd.String("plot"); path != "" {
		if err := writeFile(path, report.WritePlot); err != nil {
			return err
		}
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		return report.WriteJSON(out)
	}
	return report.WriteTable(out)
}

// WriteJSON writes the report with its time series.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "write report")
}

func writeFile(path string, write func(io.Writer) error) (err error) {
	defer func() { err = eris.Wrapf(err, "write %s", path) }()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
