package commander

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/explainer"
)

// explainCommand returns the command that shows the trace of one request, or a summary of all
// requests, from logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the trace of a request, or a summary of all requests, from the logs of the entry hosts (one file for each host)",
		ArgsUsage: "[REQUEST_ID] FILE...",
		Description: `Examples:
   endivemast explain 9c41d07be2a35f68 logs/entry-*.log
   endivemast explain --all logs/entry-*.log`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "all", Usage: "summarise all requests by class and second, without a request id"},
		},
		Action: func(_ context.Context, cmd *cli.Command) (err error) {
			isAll, paths := cmd.Bool("all"), cmd.Args().Slice()
			var requestID string
			if !isAll && len(paths) > 0 {
				requestID, paths = paths[0], paths[1:]
			}
			if len(paths) == 0 {
				return usageError("explain needs a request id or --all, and at least one log file")
			}
			sources, closeAll, err := openLogs(paths)
			defer func() { err = errors.Join(err, closeAll()) }()
			if err != nil {
				return err
			}
			if isAll {
				summary, err := explainer.Summarise(sources...)
				if err != nil {
					return err
				}
				return summary.Print(cmd.Root().Writer)
			}
			trace, err := explainer.Explain(requestID, sources...)
			if err != nil {
				return err
			}
			return trace.Print(cmd.Root().Writer)
		},
	}
}

// openLogs opens the files. closeAll closes those that were opened.
func openLogs(paths []string) (sources []explainer.Source, closeAll func() error, err error) {
	var files []*os.File
	closeAll = func() (err error) {
		for _, file := range files {
			err = errors.Join(err, file.Close())
		}
		return err
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, closeAll, err
		}
		files = append(files, file)
		sources = append(sources, explainer.Source{Name: filepath.Base(path), Log: file})
	}
	return sources, closeAll, nil
}
