package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// unversioned is the version of a build that has none.
const unversioned = "devel"

// Version is the program's version, as the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return unversioned
	}
	return info.Main.Version
}

// versionCommand prints the version.
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
