package headchecker_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/endivemast/endivemast/internal/headchecker"
)

func TestCheckStatus(t *testing.T) {
	t.Parallel()
	for status, isValid := range map[int]bool{
		-20: false, 0: false, 1: false, 20: false, 99: false, 100: true, 103: true, 200: true, 599: true, 600: false, 999: false,
	} {
		err := headchecker.CheckStatus(status)
		if isValid {
			assert.Check(t, err, "status %d", status)
		} else {
			assert.Check(t, cmp.ErrorIs(err, headchecker.ErrInvalid), "status %d", status)
		}
	}
}
