package headchecker_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/endivemast/endivemast/internal/headchecker"
)

func TestStatus(t *testing.T) {
	t.Parallel()
	for status, isValid := range map[int]bool{
		-20: false, 0: false, 1: false, 20: false, 99: false, 100: true, 103: true, 200: true, 599: true, 600: false, 999: false,
	} {
		err := headchecker.Check(status, nil)
		if isValid {
			assert.Check(t, err, "status %d", status)
		} else {
			assert.Check(t, cmp.ErrorIs(err, headchecker.ErrInvalid), "status %d", status)
		}
	}
}

func TestFieldName(t *testing.T) {
	t.Parallel()
	for name, isValid := range map[string]bool{
		"Content-Length": true, "x-odd": true, "X_Odd!#$%&'*+.^`|~9": true,
		"": false, "X Odd": false, "Content-Length ": false, " X": false, "X\tOdd": false, "X\x00Odd": false, "X\x7f": false, "X:Odd": false, "X(Odd)": false,
		"X-\xc3\x96dd": false,
	} {
		err := headchecker.Check(http.StatusOK, http.Header{"Date": {"today"}, name: {"1"}})
		if isValid {
			assert.Check(t, err, "name %q", name)
		} else {
			assert.Check(t, cmp.ErrorIs(err, headchecker.ErrInvalid), "name %q", name)
		}
	}
}
