package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// develVersion is the version of a build without version information.
const develVersion = "devel"

// Version returns the version of the program that the build recorded.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return develVersion
	}
	return info.Main.Version
}

// versionCommand returns the command that prints the version.
func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the program's version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			w := cmd.Root().Writer
			if cmd.Bool(flagJSON) {
				return json.NewEncoder(w).Encode(struct {
					Version string `json:"version"`
				}{Version: Version()})
			}
			_, err := fmt.Fprintln(w, Version())
			return err
		},
	}
}
