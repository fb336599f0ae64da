package commander

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/explainer"
)

// explainCommand tells a request's story from logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell a request's story from the logs of the entry hosts, one file a host",
		ArgsUsage: "REQUEST_ID FILE...",
		Description: `Example:
   endivemast explain 9c41d07be2a35f68 logs/entry-*.log`,
		Action: func(_ context.Context, cmd *cli.Command) (err error) {
			if cmd.NArg() < 2 {
				return usageError("explain needs a request id and at least one log file")
			}
			var sources []explainer.Source
			for _, path := range cmd.Args().Slice()[1:] {
				file, openErr := os.Open(path)
				if openErr != nil {
					return openErr
				}
				defer func() { err = errors.Join(err, file.Close()) }()
				sources = append(sources, explainer.Source{Name: filepath.Base(path), Log: file})
			}
			story, err := explainer.Explain(cmd.Args().First(), sources...)
			if err != nil {
				return err
			}
			return story.Print(cmd.Root().Writer)
		},
	}
}
