// Command endivemast runs entry hosts and the operators' tools: see endivemast
// --help.
//
// # Usage
//
//	endivemast class list
package main

import (
	"context"
	"os"

	"github.com/endivemast/endivemast/internal/commander"
	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/internal/trier"
	"github.com/endivemast/endivemast/platform"
)

func main() {
	os.Exit(commander.Main(context.Background(), os.Args, os.Stdout, os.Stderr,
		commander.Entry(), trier.Command(), loader.Command(), platform.Command()))
}
