package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Flags of the commands that change the configuration.
const (
	flagIfRevision = "if-revision"
	flagChangeID   = "change-id"
)

// changeFlags returns the flags of the commands that change the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{
			Name: flagIfRevision, HideDefault: true,
			Usage: "`REVISION` that the entry must have: 0 must not exist, -1 any; default: its current revision",
		},
		&cli.StringFlag{
			Name:  flagChangeID,
			Usage: "`ID` of the change; a repeat with the same id is applied once",
		},
	}
}

// changeID returns the id of the change. It is generated here when not given, so that the
// outcome can be queried if the answer is lost.
func changeID(cmd *cli.Command) string {
	if id := cmd.String(flagChangeID); id != "" {
		return id
	}
	return uuid.NewString()
}

// arguments returns the arguments of the command, or an error if their number is wrong.
func arguments(cmd *cli.Command, n int) ([]string, error) {
	if cmd.Args().Len() != n {
		return nil, usageError("%s takes %s", cmd.FullName(), argumentsText(cmd))
	}
	return cmd.Args().Slice(), nil
}

// argumentsText describes the arguments that a command takes.
func argumentsText(cmd *cli.Command) string {
	if cmd.ArgsUsage == "" {
		return "no arguments"
	}
	return cmd.ArgsUsage
}

// changeCommand returns the command that queries the outcome of a change.
func changeCommand() *cli.Command {
	return &cli.Command{
		Name:      "change",
		Usage:     "show whether a change was accepted",
		ArgsUsage: "CHANGE_ID",
		Description: `Queries the revision at which a change was accepted, for when the answer to the
change was lost.

Example:
   endivemast change 6ec0bd7f-11c0-43da-975e-2a8ad9ebae0b`,
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
			args, err := arguments(cmd, 1)
			if err != nil {
				return err
			}
			result, err := c.ShowChange(ctx, &operator.ShowChangePayload{Token: c.token, ChangeID: args[0]})
			if err != nil {
				return c.readError(cmd, err)
			}
			return c.printChange(cmd, result)
		}),
	}
}

func (c *operatorClient) printChange(cmd *cli.Command, result *operator.ChangeResult) error {
	return c.printAnswer(cmd, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted at revision %d (change id %s)\n", result.Revision, result.ChangeID)
		return err
	})
}
