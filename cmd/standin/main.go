// Command standin simulates the external systems. Each of its commands runs one
// of them in a process of its own.
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
		Usage:    "simulated platform and endpoints",
		Commands: []*cli.Command{kvserver.Command(), engineserver.Command(), serviceserver.Command()},
	}
	// The first signal starts draining; a second one terminates the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	if err := program.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
