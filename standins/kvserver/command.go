package kvserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/provider"
)

// Flag names. Each flag has an environment variable: ENDIVEMAST_KV_ and the
// name in upper case with underscores.
const (
	flagAddress          = "address"
	flagAdminAddress     = "admin-address"
	flagReads            = "reads-per-second"
	flagWrites           = "writes-per-second"
	flagWeightReads      = "weight-reads-per-second"
	flagHostListLag      = "host-list-lag"
	flagProgressInterval = "progress-interval"
	flagHistory          = "history-revisions"
	flagSeed             = "seed"
	flagPlatformFile     = "platform-file"
)

// platformFile is the content of the file with the initial hosts and weights.
type platformFile struct {
	Hosts   []provider.Host     `json:"hosts"`
	Weights map[string][]string `json:"weights"`
}

// Command returns the command that runs the stand-in until its context ends.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "kvserver",
		Usage: "stand-in for the platform: key-value service, host list and weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAddress, Value: "127.0.0.1:2379", Usage: "`IP:PORT` to listen on", Sources: cli.EnvVars("ENDIVEMAST_KV_ADDRESS")},
			&cli.StringFlag{Name: flagAdminAddress, Usage: "second `IP:PORT` for faults and stats, required by the fault refuse", Sources: cli.EnvVars("ENDIVEMAST_KV_ADMIN_ADDRESS")},
			&cli.FloatFlag{Name: flagReads, Value: 2000, Usage: "reads a second of the key-value service, 0 for no limit", Sources: cli.EnvVars("ENDIVEMAST_KV_READS_PER_SECOND")},
			&cli.FloatFlag{Name: flagWrites, Value: 300, Usage: "writes a second of the key-value service, 0 for no limit", Sources: cli.EnvVars("ENDIVEMAST_KV_WRITES_PER_SECOND")},
			&cli.FloatFlag{Name: flagWeightReads, Value: 10, Usage: "reads a second of the weight store, 0 for no limit", Sources: cli.EnvVars("ENDIVEMAST_KV_WEIGHT_READS_PER_SECOND")},
			&cli.DurationFlag{Name: flagHostListLag, Usage: "delay after which host list changes are served", Sources: cli.EnvVars("ENDIVEMAST_KV_HOST_LIST_LAG")},
			&cli.DurationFlag{Name: flagProgressInterval, Value: DefaultProgressInterval, Usage: "time between progress notices of a watch", Sources: cli.EnvVars("ENDIVEMAST_KV_PROGRESS_INTERVAL")},
			&cli.IntFlag{Name: flagHistory, Value: DefaultHistoryRevisions, Usage: "maximum changes before the older half is compacted", Sources: cli.EnvVars("ENDIVEMAST_KV_HISTORY_REVISIONS")},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the faults' random number generator", Sources: cli.EnvVars("ENDIVEMAST_KV_SEED")},
			&cli.StringFlag{Name: flagPlatformFile, Usage: "JSON `FILE` with the initial hosts and weights", Sources: cli.EnvVars("ENDIVEMAST_KV_PLATFORM_FILE")},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "run kvserver")
		}
	}()
	cfg, err := configOf(cmd)
	if err != nil {
		return err
	}
	server, err := New(cfg)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.Close()) }()
	if err = server.Start(ctx); err != nil {
		return err
	}
	// The parent process reads the address from here if it passed port 0.
	fmt.Fprintf(cmd.Root().Writer, "{\"address\":%q,\"admin_address\":%q}\n", server.Address(), server.AdminAddress())
	<-ctx.Done()
	return nil
}

func configOf(cmd *cli.Command) (cfg Config, err error) {
	cfg = Config{
		Address:              cmd.String(flagAddress),
		AdminAddress:         cmd.String(flagAdminAddress),
		ReadsPerSecond:       cmd.Float(flagReads),
		WritesPerSecond:      cmd.Float(flagWrites),
		WeightReadsPerSecond: cmd.Float(flagWeightReads),
		HostListLag:          cmd.Duration(flagHostListLag),
		ProgressInterval:     cmd.Duration(flagProgressInterval),
		HistoryRevisions:     cmd.Int(flagHistory),
		Seed:                 cmd.Uint64(flagSeed),
	}
	name := cmd.String(flagPlatformFile)
	if name == "" {
		return cfg, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return cfg, err
	}
	var file platformFile
	if err = json.Unmarshal(content, &file); err != nil {
		return cfg, err
	}
	cfg.Hosts, cfg.Weights = file.Hosts, file.Weights
	return cfg, nil
}
