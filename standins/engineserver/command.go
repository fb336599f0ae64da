package engineserver

import (
	"context"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/driver"
)

// ExitCrashed is the exit code of an engine process after a crash fault.
const ExitCrashed = 3

const envPrefix = "ENDIVEMAST_ENGINE_"

// Command returns the command that runs an engine until its context ends, and
// then drains it for up to the drain timeout. It logs JSON lines to standard
// error; the first, "listening", has the address and the incarnation.
func Command() *cli.Command {
	cfg := DefaultConfig()
	role := string(cfg.Role)
	return &cli.Command{
		Name:  "engine",
		Usage: "stand-in for a model engine",
		Flags: append(identityFlags(&cfg, &role), append(timeModelFlags(&cfg.TimeModel), behaviourFlags(&cfg)...)...),
		Action: func(ctx context.Context, _ *cli.Command) error {
			cfg.Role = driver.Role(role)
			cfg.Logger = hclog.New(&hclog.LoggerOptions{Name: "engine", JSONFormat: true, Output: os.Stderr})
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

func identityFlags(cfg *Config, role *string) []cli.Flag {
	return []cli.Flag{
		stringFlag("address", "IP and port to listen on", &cfg.Address),
		stringFlag("advertise-address", "address in exported handles; empty: the listener's", &cfg.AdvertiseAddress),
		stringFlag("endpoint-id", "the engine's id", &cfg.EndpointID),
		stringFlag("zone", "the engine's availability zone", &cfg.Zone),
		stringFlag("application", "application that the endpoint serves", &cfg.Application),
		stringFlag("model", "model at the start", &cfg.Model),
		stringFlag("model-version", "version of the model at the start", &cfg.Version),
		stringFlag("adapter", "adapter at the start", &cfg.Adapter),
		stringFlag("role", "role at the start: mixed, prefill or decode", role),
		boolFlag("checks-fencing", "refuse orders with an old epoch", &cfg.ChecksFencing),
	}
}

func timeModelFlags(m *TimeModel) []cli.Flag {
	return []cli.Flag{
		durationFlag("step-base", "time of an empty step", &m.StepBase),
		durationFlag("per-sequence", "step time for each sequence", &m.PerSequence),
		durationFlag("per-prefill-token", "step time for each prompt token", &m.PerPrefillToken),
		intFlag("chunk-tokens", "maximum prompt tokens in a step", &m.ChunkTokens),
		intFlag("max-batch", "maximum sequences in a step", &m.MaxBatch),
		intFlag("kv-tokens", "memory for sequences and exports, in tokens", &m.KVTokens),
		intFlag("prefix-cache-tokens", "memory for prompt prefixes, in tokens", &m.PrefixCacheTokens),
		int64Flag("kv-bytes-per-token", "bytes of an exported token", &m.KVBytesPerToken),
		int64Flag("import-bandwidth", "bytes a second of imports", &m.ImportBandwidth),
	}
}

func behaviourFlags(cfg *Config) []cli.Flag {
	return []cli.Flag{
		intFlag("max-waiting", "maximum waiting requests", &cfg.MaxWaiting),
		intFlag("decode-prefill-limit", "maximum prompt tokens that a decode engine computes for a request", &cfg.DecodePrefillLimit),
		durationFlag("report-lag", "age of the load in reports", &cfg.ReportLag),
		durationFlag("cache-event-delay", "delay of cache events", &cfg.CacheEventDelay),
		intFlag("cache-event-gap", "lose every n-th cache event; 0: none", &cfg.CacheEventGap),
		intFlag("cache-events-kept", "cache events kept for reports", &cfg.CacheEventsKept),
		durationFlag("role-time", "duration of a role change", &cfg.RoleTime),
		durationFlag("load-time", "duration of loading a model", &cfg.LoadTime),
		durationFlag("export-ttl", "how long an exported KV cache is kept", &cfg.ExportTTL),
		durationFlag("alive-interval", "time between keep-alive lines in a stream", &cfg.AliveInterval),
		durationFlag("drain-timeout", "how long to wait for running work on termination", &cfg.DrainTimeout),
	}
}

func stringFlag(name, usage string, v *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *v, Destination: v, Sources: env(name)}
}

func boolFlag(name, usage string, v *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Value: *v, Destination: v, Sources: env(name)}
}

func intFlag(name, usage string, v *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *v, Destination: v, Sources: env(name)}
}

func int64Flag(name, usage string, v *int64) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: *v, Destination: v, Sources: env(name)}
}

func durationFlag(name, usage string, v *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *v, Destination: v, Sources: env(name)}
}

// env returns the environment variable of a flag: report-lag is
// ENDIVEMAST_ENGINE_REPORT_LAG.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}
