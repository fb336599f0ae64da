package trier

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/loader"
)

// exitUsage is the exit status for invalid arguments.
const exitUsage = 2

// Command returns the command try.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "try",
		Usage:  "run a small deployment with simulated endpoints in this process and check that it serves a mixed workload",
		Flags:  flags(),
		Action: runCommand,
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "entries-per-zone", Usage: "entry hosts in each of the three zones, 1 to 8", Value: 3},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals and prompts", Value: 1},
		&cli.FloatFlag{Name: "rate-scale", Usage: "multiply the workload's rates", Value: 1},
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		&cli.BoolFlag{Name: "quiet", Usage: "print no progress lines"},
		&cli.BoolFlag{Name: "log", Usage: "write the entry hosts' logs to standard error"},
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	settings := Settings{
		EntriesPerZone: cmd.Int("entries-per-zone"), Seed: cmd.Uint64("seed"), RateScale: cmd.Float("rate-scale"),
	}
	if settings.EntriesPerZone < 1 || settings.EntriesPerZone > 8 {
		return cli.Exit(fmt.Sprintf("try: entries-per-zone is %d, must be 1 to 8", settings.EntriesPerZone), exitUsage)
	}
	if settings.RateScale <= 0 {
		return cli.Exit(fmt.Sprintf("try: rate-scale is %g, must be above 0", settings.RateScale), exitUsage)
	}
	if cmd.Bool("log") {
		settings.Logger = hclog.New(&hclog.LoggerOptions{Name: "endivemast", JSONFormat: true, Output: os.Stderr})
	}
	if !cmd.Bool("quiet") {
		fmt.Fprintln(os.Stderr, describe(deployment(settings.EntriesPerZone)))
		settings.Progress = loader.WriteProgress(os.Stderr)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := Try(ctx, settings)
	if report == nil {
		return err
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		return errors.Join(report.WriteJSON(out), err)
	}
	if err == nil {
		defer fmt.Fprintln(out, "no request was lost, duplicated or answered wrongly; every non-idempotent call ran at most once")
	}
	return errors.Join(report.WriteTable(out), err)
}
