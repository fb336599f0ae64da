package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Names of the flags of a change.
const (
	flagIfRevision = "if-revision"
	flagChangeID   = "change-id"
)

// changeFlags are the flags of a change.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{
			Name: flagIfRevision, HideDefault: true,
			Usage: "`REVISION` that the entry must have: 0 absent, -1 whatever is there; without it, the one that it has now",
		},
		&cli.StringFlag{
			Name:  flagChangeID,
			Usage: "`ID` of the change; a repeat with the same id is the same change",
		},
	}
}

// changeID is the change's id, made here when not given: if the answer is
// lost, it can still be asked about.
func changeID(cmd *cli.Command) string {
	if id := cmd.String(flagChangeID); id != "" {
		return id
	}
	return uuid.NewString()
}

// arguments returns the command's arguments if there are as many as it takes.
func arguments(cmd *cli.Command, n int) ([]string, error) {
	if cmd.Args().Len() != n {
		return nil, usageError("%s takes %s", cmd.FullName(), argumentsText(cmd))
	}
	return cmd.Args().Slice(), nil
}

// argumentsText names the arguments that a command takes.
func argumentsText(cmd *cli.Command) string {
	if cmd.ArgsUsage == "" {
		return "no arguments"
	}
	return cmd.ArgsUsage
}

// changeCommand asks about the outcome of a change.
func changeCommand() *cli.Command {
	return &cli.Command{
		Name:      "change",
		Usage:     "show whether a change was accepted",
		ArgsUsage: "CHANGE_ID",
		Description: `Asks at which revision a change was accepted, after its own answer was lost.

Example:
   endivemast change 6ec0bd7f-11c0-43da-975e-2a8ad9ebae0b`,
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
			args, err := arguments(cmd, 1)
			if err != nil {
				return err
			}
			result, err := c.ShowChange(ctx, &operator.ShowChangePayload{Token: c.token, ChangeID: args[0]})
			if err != nil {
				return c.explainRead(cmd, err)
			}
			return c.printChange(cmd, result)
		}),
	}
}

// printChange prints an accepted change.
func (c *operatorClient) printChange(cmd *cli.Command, result *operator.ChangeResult) error {
	return c.printAnswer(cmd, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted at revision %d (change id %s)\n", result.Revision, result.ChangeID)
		return err
	})
}
