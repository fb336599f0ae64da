// Command compare measures the policy against baselines on real processes: see
// compare --help.
//
// It is a separate program because the product's processes never start others.
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
