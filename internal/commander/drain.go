package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// drainCommand begins the graceful shutdown of a host.
func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "begin the graceful shutdown of the host",
		Description: `The host takes no new requests, ends the running ones and stops. The command
returns once that has begun.

Example:
   endivemast drain --server https://10.0.0.1:8081`,
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
			if _, err := arguments(cmd, 0); err != nil {
				return err
			}
			if _, err := c.Drain(ctx, &operator.DrainPayload{Token: c.token}); err != nil {
				return c.explainRead(cmd, err)
			}
			return c.printAnswer(cmd, func(w io.Writer) error {
				_, err := fmt.Fprintln(w, "the drain has begun")
				return err
			})
		}),
	}
}
