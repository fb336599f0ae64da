// Command standin-2 plays the cases of the second review: it starts entry hosts as the deploy file does, and
// clients, engines and the platform's store beside them, on loopback addresses.
//
// # Usage
//
//	standin-2 case NAME --directory review/N    # exits with 0: rule held, 1: broken, 2: could not run
//	standin-2 endpoint --settings JSON          # one engine or service; started by a case
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errUsage reports wrong arguments.
var errUsage = errors.New("usage: standin-2 case NAME DIRECTORY, or standin-2 endpoint JSON")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code, err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
	}
	os.Exit(code)
}

func run(ctx context.Context, args []string) (code int, err error) {
	switch {
	case len(args) == 2 && args[0] == "endpoint":
		return exitNotRun, runEndpoint(ctx, args[1])
	case len(args) == 3 && args[0] == "case":
		return runCase(ctx, args[1], args[2])
	default:
		return exitNotRun, errUsage
	}
}
