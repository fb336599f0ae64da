package driver

import "errors"

// RunState states whether an endpoint has run a call that failed. Only after RunNotSent and RunRefused
// may a call that is not idempotent be sent again, or be reported as not run to its caller.
type RunState string

// Run states.
const (
	RunNotSent  RunState = "not_sent" // no byte has left this host
	RunRefused  RunState = "refused"  // the endpoint has answered that it did not run the call
	RunPossible RunState = "may_have_run"
)

// RunStateOf returns the run state of an error of a Driver, and RunPossible for nil. An error that
// reports several outcomes, such as one whose cause is the error of another call, counts as
// RunPossible if one of them allows a run.
func RunStateOf(err error) RunState {
	for _, possible := range []error{ErrOutcomeUnknown, ErrMismatchedAnswer, ErrFailed} {
		if errors.Is(err, possible) {
			return RunPossible
		}
	}
	switch {
	case errors.Is(err, ErrNotSent):
		return RunNotSent
	case errors.Is(err, ErrRefused):
		return RunRefused
	default:
		return RunPossible
	}
}
