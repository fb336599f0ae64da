// Command standin runs the stand-ins for the outside systems, each as a
// process of its own.
//
// # Usage
//
//	standin kv --help
//	standin engine --help
//	standin service --help
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/standins/engineserver"
	"github.com/endivemast/endivemast/standins/kvserver"
	"github.com/endivemast/endivemast/standins/serviceserver"
)

func main() {
	program := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the platform and the endpoints",
		Commands: []*cli.Command{kvserver.Command(), engineserver.Command(), serviceserver.Command()},
	}
	// A first signal lets the stand-in drain; a second one ends it.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	if err := program.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
