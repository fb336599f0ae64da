package commander

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Names of failures of the API that have their own exit code.
const (
	failureInvalid  = "invalid"
	failureConflict = "conflict"
	failureUnknown  = "unknown"
)

// readError adds an exit code to the error of a request that changes nothing.
func (c *operatorClient) readError(cmd *cli.Command, err error) error {
	if err == nil {
		return nil
	}
	return c.exitError(cmd, ExitFailed, "", err)
}

// changeError adds an exit code to the error of a change. The outcome is unknown unless the
// error proves that the change was not made.
func (c *operatorClient) changeError(cmd *cli.Command, changeID string, err error) error {
	if err == nil {
		return nil
	}
	return c.exitError(cmd, c.changeExitCode(err), changeID, err)
}

// changeExitCode returns the exit code of a failed change.
func (c *operatorClient) changeExitCode(err error) int {
	var failure *operator.OperatorFailure
	var access *operator.AccessFailure
	switch {
	case errors.As(err, &failure) && failure.Name == failureConflict:
		return ExitConflict
	case errors.As(err, &failure) && failure.Name == failureUnknown:
		return ExitUnknown
	case errors.As(err, &failure) && failure.Name == failureInvalid:
		return ExitUsage
	case errors.As(err, &failure), errors.As(err, &access):
		return ExitFailed
	case !c.recorder.hasConnected.Load():
		return ExitFailed
	case c.recorder.status >= http.StatusMultipleChoices && c.recorder.status < http.StatusInternalServerError:
		return ExitFailed
	default:
		// No response, a response that is not from the API, or a server error: a host that was
		// stopped while it handled the request may have written the change.
		return ExitUnknown
	}
}

// exitError returns the error of a command with its exit code.
func (c *operatorClient) exitError(cmd *cli.Command, code int, changeID string, err error) error {
	exitErr := &ExitError{Code: code, Err: withMessage(err)}
	if code == ExitUnknown {
		exitErr.Err = fmt.Errorf("%w\nThe outcome of the change is unknown. Query it with: endivemast change %s", exitErr.Err, changeID)
	}
	if cmd.Bool(flagJSON) && c.recorder.status >= http.StatusBadRequest {
		exitErr.JSON = []byte(strings.TrimSpace(string(c.recorder.body)))
	}
	return exitErr
}

// withMessage replaces a failure of the API, whose generated Error method returns no text, by
// an error with its details.
func withMessage(err error) error {
	var failure *operator.OperatorFailure
	var access *operator.AccessFailure
	switch {
	case errors.As(err, &failure):
		return errors.New(failureMessage(failure))
	case errors.As(err, &access):
		return errors.New(access.Detail)
	default:
		return err
	}
}

// failureMessage formats a failure of the operators' API.
func failureMessage(f *operator.OperatorFailure) string {
	lines := []string{f.Detail}
	if f.Field != nil {
		lines = append(lines, "field: "+*f.Field)
	}
	if f.Accepted != nil {
		lines = append(lines, "accepted: "+*f.Accepted)
	}
	if f.ChangeID != nil {
		lines = append(lines, "change id: "+*f.ChangeID)
	}
	if f.CurrentRevision != nil {
		lines = append(lines, fmt.Sprintf("current revision: %d", *f.CurrentRevision))
	}
	for _, d := range f.Differences {
		lines = append(lines, fmt.Sprintf("%s: is %s, asked for %s", d.Field, d.Current, d.Requested))
	}
	return strings.Join(lines, "\n")
}
