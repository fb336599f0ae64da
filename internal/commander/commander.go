// Package commander implements the command line of endivemast: the commands for
// operators and the one that runs an entry host. It also parses settings and
// maps errors to exit codes.
//
// # Usage
//
//	func main() {
//		os.Exit(commander.Main(context.Background(), os.Args, os.Stdout, os.Stderr, entryCommand()))
//	}
//
// Each command is a *cli.Command in its own file; New accepts more commands from
// other packages. Settings are flags and environment variables, see ServerFlags.
// Commands print tables, or the JSON of the API with --json.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or setting, 3 a change was
// refused because the entry had changed meanwhile, 4 the outcome of a change is
// unknown.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command failed; nothing was changed
	ExitUsage    = 2 // wrong usage or setting; nothing was done
	ExitConflict = 3 // the entry had changed meanwhile; nothing was done
	ExitUnknown  = 4 // the outcome is unknown
)

// description is the help text of endivemast --help.
const description = `Operators define classes of work with their targets, and applications. The
system derives weights, priorities and endpoints from them.

Examples:
   endivemast class set vitosha letters --kind generate --application drafting --completion-target 9s
   endivemast class set vitosha letters --first-token-target 800ms
   endivemast class list --json
   endivemast status

Exit codes:
   0  success
   1  failure
   2  wrong usage or setting
   3  refused: the entry had changed meanwhile
   4  outcome of the change unknown: query it with "endivemast change ID"

Shell completion:
   source <(endivemast completion bash)`

// ExitError is an error with an exit code of the program.
type ExitError struct {
	Code int
	Err  error
	JSON []byte // printed instead of Err unless nil
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the exit code.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of a command that New returned. Errors without a
// code come from the parsing of flags and arguments.
func ExitCode(err error) int {
	var exitErr *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.Code
	default:
		return ExitUsage
	}
}

// New returns the root command with this package's subcommands and the extra ones.
func New(extra ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:                  "endivemast",
		Usage:                 "serve language models on a fixed fleet",
		Description:           description,
		Version:               Version(),
		EnableShellCompletion: true,
		Suggest:               true,
		Flags:                 ServerFlags(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {}, // Main sets the exit code, not the library
		Commands: append([]*cli.Command{
			classCommand(),
			applicationCommand(),
			changeCommand(),
			statusCommand(),
			drainCommand(),
			explainCommand(),
			versionCommand(),
		}, extra...),
	}
	setErrorHandling(root)
	return root
}

// setErrorHandling makes a command and its subcommands return errors with exit codes.
func setErrorHandling(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageError("%w%s", err, suggestion(cmd, err))
	}
	if action := cmd.Action; action != nil {
		cmd.Action = func(ctx context.Context, cmd *cli.Command) error {
			return withExitCode(action(ctx, cmd))
		}
	} else {
		cmd.Action = showHelp
	}
	for _, sub := range cmd.Commands {
		setErrorHandling(sub)
	}
}

// suggestion returns the flag that a misspelt one probably stands for. The library only
// suggests flags in its own error output.
func suggestion(cmd *cli.Command, err error) string {
	_, name, ok := strings.Cut(err.Error(), "flag provided but not defined: -")
	if !ok {
		return ""
	}
	flag := cli.SuggestFlag(cmd.Flags, name, true)
	if flag == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", flag)
}

// withExitCode adds the code ExitFailed to errors that have none.
func withExitCode(err error) error {
	var exitErr *ExitError
	var coder cli.ExitCoder // error of a command from another package
	switch {
	case err == nil || errors.As(err, &exitErr):
		return err
	case errors.As(err, &coder):
		return &ExitError{Code: coder.ExitCode(), Err: err}
	}
	return &ExitError{Code: ExitFailed, Err: err}
}

// showHelp is the action of a command that only has subcommands. The default action of the
// library uses the exit code 3 for an unknown subcommand.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError("unknown command %q of %q", cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// usageError returns an error with the code ExitUsage.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// Main runs the program and returns its exit code. SIGINT and SIGTERM cancel the context of
// the command.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, extra ...*cli.Command) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := New(extra...)
	root.Writer, root.ErrWriter = stdout, stderr
	err := root.Run(ctx, args)
	var exitErr *ExitError
	switch {
	case err == nil:
	case errors.As(err, &exitErr) && exitErr.JSON != nil:
		fmt.Fprintf(stderr, "%s\n", exitErr.JSON)
	default:
		fmt.Fprintf(stderr, "endivemast: %v\n", err)
	}
	return ExitCode(err)
}
