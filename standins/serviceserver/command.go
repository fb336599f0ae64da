package serviceserver

import (
	"context"
	"errors"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// ExitCrashed is the exit code of a service process after a crash fault.
const ExitCrashed = 3

const envPrefix = "ENDIVEMAST_SERVICE_"

// Command returns the command that runs a service until its context ends, and
// then drains it for up to the drain timeout. It logs JSON lines to standard
// error; the first, "listening", has the address and the incarnation.
func Command() *cli.Command {
	cfg := DefaultConfig()
	return &cli.Command{
		Name:  "service",
		Usage: "stand-in for a plain service",
		Flags: flags(&cfg),
		Action: func(ctx context.Context, _ *cli.Command) error {
			cfg.Logger = hclog.New(&hclog.LoggerOptions{Name: "service", JSONFormat: true, Output: os.Stderr})
			cfg.OnCrash = func() { os.Exit(ExitCrashed) }
			return run(ctx, cfg)
		},
	}
}

func run(ctx context.Context, cfg Config) (err error) {
	s, err := New(cfg)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	cfg.Logger.Info("listening", "address", s.Address(), "incarnation", s.Incarnation(), "endpoint_id", cfg.EndpointID)
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.DrainTimeout)
	defer cancel()
	return s.Drain(drainCtx)
}

func flags(cfg *Config) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "address", Usage: "IP and port to listen on",
			Value: cfg.Address, Destination: &cfg.Address, Sources: cli.EnvVars(envPrefix + "ADDRESS"),
		},
		&cli.StringFlag{
			Name: "endpoint-id", Usage: "the service's id",
			Value: cfg.EndpointID, Destination: &cfg.EndpointID, Sources: cli.EnvVars(envPrefix + "ENDPOINT_ID"),
		},
		&cli.StringFlag{
			Name: "zone", Usage: "the service's availability zone",
			Value: cfg.Zone, Destination: &cfg.Zone, Sources: cli.EnvVars(envPrefix + "ZONE"),
		},
		&cli.StringFlag{
			Name: "application", Usage: "application that the endpoint serves",
			Value: cfg.Application, Destination: &cfg.Application, Sources: cli.EnvVars(envPrefix + "APPLICATION"),
		},
		&cli.DurationFlag{
			Name: "service-time", Usage: "duration of a run",
			Value: cfg.ServiceTime, Destination: &cfg.ServiceTime, Sources: cli.EnvVars(envPrefix + "SERVICE_TIME"),
		},
		&cli.IntFlag{
			Name: "concurrency", Usage: "calls that run at once",
			Value: cfg.Concurrency, Destination: &cfg.Concurrency, Sources: cli.EnvVars(envPrefix + "CONCURRENCY"),
		},
		&cli.IntFlag{
			Name: "max-waiting", Usage: "maximum waiting calls",
			Value: cfg.MaxWaiting, Destination: &cfg.MaxWaiting, Sources: cli.EnvVars(envPrefix + "MAX_WAITING"),
		},
		&cli.DurationFlag{
			Name: "drain-timeout", Usage: "how long to wait for running calls on termination",
			Value: cfg.DrainTimeout, Destination: &cfg.DrainTimeout, Sources: cli.EnvVars(envPrefix + "DRAIN_TIMEOUT"),
		},
	}
}
