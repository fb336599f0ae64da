package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// drainCommand returns the command that starts the graceful shutdown of a host.
func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start the graceful shutdown of the host",
		Description: `The host accepts no new requests, completes the running ones and stops. The
command returns once the drain has started.

Example:
   endivemast drain --server https://10.0.0.1:8081`,
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
			if _, err := arguments(cmd, 0); err != nil {
				return err
			}
			if _, err := c.Drain(ctx, &operator.DrainPayload{Token: c.token}); err != nil {
				return c.readError(cmd, err)
			}
			return c.printAnswer(cmd, func(w io.Writer) error {
				_, err := fmt.Fprintln(w, "the drain has begun")
				return err
			})
		}),
	}
}
