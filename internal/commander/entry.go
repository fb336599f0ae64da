package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/pkg/endivemast"
)

const entryDescription = `Runs one entry host. Every setting is a flag and an environment variable.

The first SIGTERM or SIGINT starts a graceful shutdown: the host reports that it
is not ready, hands over its zone's authority, and exits when its running
requests have ended. Further signals are ignored.

Examples:

   endivemast entry --check
   endivemast entry --host-id lozenets-1 --zone lozenets \
      --callers-address 10.0.0.1:8080 --operators-address 10.0.0.1:8081 --peers-address 10.0.0.1:8082 \
      --peer lozenets/lozenets-2=10.0.0.2:8082 --store 10.0.9.1:2379 \
      --keys-file keys.json --peer-secret-file peer.secret \
      --cert-file host.crt --key-file host.key --ca-file ca.crt`

// Entry returns the command that runs an entry host.
func Entry() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry host",
		Description: entryDescription,
		Flags:       entryFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := entryConfig(cmd)
			if err != nil {
				return usageError("settings not accepted:\n%w", err)
			}
			if cmd.Bool("check") {
				_, err := fmt.Fprintln(cmd.Root().Writer, "settings are valid")
				return err
			}
			return runEntry(ctx, cfg)
		},
	}
}

func entryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		stringSetting("host-id", "this host's name, the same after a restart", ""),
		stringSetting("zone", "this host's availability zone", ""),
		stringSetting("incarnation", "this process's name in the platform's list of hosts; made when empty", ""),
		stringSetting("callers-address", "IP and port for callers", "127.0.0.1:8080"),
		stringSetting("operators-address", "IP and port for operators, health and metrics", "127.0.0.1:8081"),
		stringSetting("peers-address", "IP and port for the peer protocol", "127.0.0.1:8082"),
		&cli.StringSliceFlag{Name: "peer", Usage: "another entry host as zone/host-id=address (repeat, or separate by commas)", Sources: envVar("peer")},
		&cli.StringSliceFlag{Name: "store", Usage: "address of the key-value service (repeat, or separate by commas)", Sources: envVar("store")},
		stringSetting("platform-address", "address of the platform's list of hosts; the first store when empty", ""),
		stringSetting("keys-file", "API keys of tenants and operators", ""),
		&cli.BoolFlag{Name: "insecure", Usage: "serve without API keys: whoever connects may call and operate", Sources: envVar("insecure")},
		stringSetting("peer-secret-file", "secret shared by all entry hosts", ""),
		stringSetting("cert-file", "certificate of this host (PEM)", ""),
		stringSetting("key-file", "private key of this host (PEM)", ""),
		stringSetting("ca-file", "certificates that the peers' are verified by (PEM)", ""),
		&cli.BoolFlag{Name: "plain-text", Usage: "serve without TLS", Sources: envVar("plain-text")},
		&cli.Int64Flag{Name: "max-body-bytes", Usage: "largest request body", Value: 4 << 20, Sources: envVar("max-body-bytes")},
		&cli.IntFlag{Name: "max-connections", Usage: "most connections of each listener", Value: 8192, Sources: envVar("max-connections")},
		&cli.IntFlag{Name: "memory-mb", Usage: "memory of this host's machine, in MiB; 0: not stated", Sources: envVar("memory-mb")},
		&cli.IntFlag{Name: "max-descriptors", Usage: "file descriptors of this process, of which 200 are left for files; 0: the limit of the process", Sources: envVar("max-descriptors")},
		&cli.IntFlag{Name: "metric-tenants", Usage: "tenants with histograms of their own; the rest share one", Value: 100, Sources: envVar("metric-tenants")},
		&cli.DurationFlag{Name: "lease-ttl", Usage: "lease of the zone's authority", Value: endivemast.DefaultLeaseTTL, Sources: envVar("lease-ttl")},
		&cli.DurationFlag{Name: "store-timeout", Usage: "how long a call to the key-value service, or one commit of claims to it, may take", Value: endivemast.DefaultStoreTimeout, Sources: envVar("store-timeout")},
		&cli.DurationFlag{Name: "drain-grace", Usage: "from not ready until the listeners close", Value: endivemast.DefaultDrainGrace, Sources: envVar("drain-grace")},
		&cli.DurationFlag{Name: "drain-timeout", Usage: "longest wait for running requests", Value: endivemast.DefaultDrainTimeout, Sources: envVar("drain-timeout")},
		&cli.DurationFlag{Name: "tick", Usage: "how often the systems run", Value: endivemast.DefaultTick, Sources: envVar("tick")},
		&cli.DurationFlag{Name: "summary-every", Usage: "between two log lines that sum up the requests", Value: endivemast.DefaultSummaryInterval, Sources: envVar("summary-every")},
		stringSetting("routing", "estimated_finish, or a baseline: round_robin, fewest_in_flight", ""),
		stringSetting("admission", "by_slack, or a baseline: all", ""),
		stringSetting("roles", "planned, or a baseline: never, every_swing", ""),
		&cli.BoolFlag{Name: "hedge", Usage: "send a second attempt when the first is late", Value: true, Sources: envVar("hedge")},
		stringSetting("log-level", "trace, debug, info, warn or error", "info"),
	}
}

func stringSetting(name, usage, value string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: envVar(name)}
}

// envVar returns the environment variable of a setting: ENDIVEMAST_ and the name of the flag.
func envVar(name string) cli.ValueSourceChain {
	return cli.EnvVars("ENDIVEMAST_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// entryConfig reads the settings and reports all errors in them at once.
func entryConfig(cmd *cli.Command) (cfg endivemast.Config, err error) {
	peers, peersErr := parsePeers(cmd.StringSlice("peer"))
	level, levelErr := parseLevel(cmd.String("log-level"))
	cfg = endivemast.Config{
		HostID: cmd.String("host-id"), Zone: cmd.String("zone"), Incarnation: cmd.String("incarnation"),
		CallersAddress: cmd.String("callers-address"), OperatorsAddress: cmd.String("operators-address"),
		PeersAddress: cmd.String("peers-address"), Peers: peers,
		StoreAddresses: cmd.StringSlice("store"), PlatformAddress: cmd.String("platform-address"),
		KeysFile: cmd.String("keys-file"), Insecure: cmd.Bool("insecure"), PeerSecretFile: cmd.String("peer-secret-file"),
		CertFile: cmd.String("cert-file"), KeyFile: cmd.String("key-file"), CAFile: cmd.String("ca-file"), PlainText: cmd.Bool("plain-text"),
		MaxBodyBytes: cmd.Int64("max-body-bytes"), MaxConnections: cmd.Int("max-connections"), MetricTenants: cmd.Int("metric-tenants"),
		MemoryMB: cmd.Int("memory-mb"), MaxDescriptors: cmd.Int("max-descriptors"),
		LeaseTTL: cmd.Duration("lease-ttl"), StoreTimeout: cmd.Duration("store-timeout"), DrainGrace: cmd.Duration("drain-grace"),
		DrainTimeout: cmd.Duration("drain-timeout"), Tick: cmd.Duration("tick"), SummaryInterval: cmd.Duration("summary-every"),
		Routing: cmd.String("routing"), Admission: cmd.String("admission"), Roles: cmd.String("roles"), NoHedge: !cmd.Bool("hedge"),
		Version: Version(), Logger: newLogger(level, cmd.Root().ErrWriter),
	}
	return cfg, errors.Join(checkEnvVars(cmd.Root(), os.Environ()), peersErr, levelErr, cfg.WithDefaults().Check())
}

// parsePeers parses values of the form zone/host-id=address.
func parsePeers(values []string) (peers []endivemast.Peer, err error) {
	var errs []error
	for _, value := range values {
		name, address, hasAddress := strings.Cut(value, "=")
		zone, hostID, hasZone := strings.Cut(name, "/")
		if !hasAddress || !hasZone {
			errs = append(errs, &endivemast.SettingError{Setting: "peer", Value: value, Want: "zone/host-id=address"})
			continue
		}
		peers = append(peers, endivemast.Peer{HostID: hostID, Zone: zone, Address: address})
	}
	return peers, errors.Join(errs...)
}

func parseLevel(value string) (level hclog.Level, err error) {
	level = hclog.LevelFromString(value)
	if level == hclog.NoLevel {
		return hclog.Info, &endivemast.SettingError{Setting: "log-level", Value: value, Want: "trace, debug, info, warn or error"}
	}
	return level, nil
}

func newLogger(level hclog.Level, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "endivemast", Level: level, JSONFormat: true, Output: w})
}

// runEntry runs an entry host until a signal cancels ctx and the drain is complete. The
// signals stay caught during the drain, so that a second one does not abort it.
func runEntry(ctx context.Context, cfg endivemast.Config) (err error) {
	entry, err := endivemast.New(cfg)
	if err != nil {
		return err
	}
	if err := entry.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		err = entry.Drain(context.Background())
	case <-entry.Drained():
	}
	<-entry.Drained()
	return errors.Join(err, entry.Close())
}
