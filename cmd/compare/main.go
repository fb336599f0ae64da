// Command compare measures the policy on real processes: see compare --help.
//
// It is a program of its own, since no process of the product starts another.
//
// # Usage
//
//	compare --deployment vitosha scenarios/vitosha-step.yaml
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/endivemast/endivemast/internal/comparer"
)

func main() {
	if err := comparer.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
