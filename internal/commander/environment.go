package commander

import (
	"errors"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/pkg/endivemast"
)

const envPrefix = "ENDIVEMAST_"

// ignoredPrefixes are the prefixes of environment variables of the stand-ins and the tests.
var ignoredPrefixes = []string{"ENDIVEMAST_KV_", "ENDIVEMAST_ENGINE_", "ENDIVEMAST_SERVICE_", "ENDIVEMAST_TEST_"}

// EnvVar returns the environment variable of a setting, for commands of other packages.
func EnvVar(setting string) cli.ValueSourceChain { return envVar(setting) }

// CheckEnvVars reports unknown ENDIVEMAST_ variables, for commands of other packages.
func CheckEnvVars(root *cli.Command, environ []string) error {
	return checkEnvVars(root, environ)
}

// checkEnvVars reports environment variables with the prefix of settings that belong to no
// setting. The library rejects a misspelt flag, but a misspelt variable would silently leave
// its setting at the default.
func checkEnvVars(root *cli.Command, environ []string) error {
	knownNames := envVars(root)
	var errs []error
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		isOther := slices.ContainsFunc(ignoredPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
		if !strings.HasPrefix(name, envPrefix) || isOther || slices.Contains(knownNames, name) {
			continue
		}
		errs = append(errs, &endivemast.SettingError{Setting: name, Value: value, Want: "an existing variable; see endivemast entry --help"})
	}
	return errors.Join(errs...)
}

// envVars returns the environment variables of a command and its subcommands.
func envVars(cmd *cli.Command) (names []string) {
	for _, flag := range cmd.Flags {
		if documented, ok := flag.(cli.DocGenerationFlag); ok {
			names = append(names, documented.GetEnvVars()...)
		}
	}
	for _, sub := range cmd.Commands {
		names = append(names, envVars(sub)...)
	}
	return names
}
