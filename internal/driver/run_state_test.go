package driver

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRunStateOfSeveralOutcomes guards against runs that are taken for refused as their error reports a refusal too.
func TestRunStateOfSeveralOutcomes(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		err  error
		want RunState
	}{
		"not sent":              {ErrNotSent, RunNotSent},
		"connection refused":    {ErrConnectionRefused, RunNotSent},
		"not sent in time":      {fmt.Errorf("%w: %w", ErrNotSent, context.DeadlineExceeded), RunNotSent},
		"busy":                  {ErrBusy, RunRefused},
		"replaced":              {fmt.Errorf("forward: %w", ErrReplaced), RunRefused},
		"unknown":               {ErrOutcomeUnknown, RunPossible},
		"other answer":          {ErrMismatchedAnswer, RunPossible},
		"failed":                {ErrFailed, RunPossible},
		"another error":         {errors.New("deadline"), RunPossible},
		"unknown, not sent":     {fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrNotSent), RunPossible},
		"not sent, unknown":     {fmt.Errorf("%w: %w", ErrNotSent, ErrOutcomeUnknown), RunPossible},
		"refused, unknown":      {errors.Join(ErrRefused, ErrOutcomeUnknown), RunPossible},
		"refused, other answer": {errors.Join(ErrBusy, ErrMismatchedAnswer), RunPossible},
		"not sent, failed":      {errors.Join(ErrNotSent, ErrFailed), RunPossible},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, RunStateOf(test.err), test.want)
		})
	}
}
