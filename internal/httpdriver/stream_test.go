package httpdriver

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// tokenLine returns a token's line of size bytes, including its newline.
func tokenLine(t *testing.T, size int) string {
	t.Helper()
	empty, err := json.Marshal(Line{AttemptID: "a", Kind: LineToken, Text: "x"})
	assert.NilError(t, err)
	line, err := json.Marshal(Line{AttemptID: "a", Kind: LineToken, Text: strings.Repeat("x", size-len(empty))})
	assert.NilError(t, err)
	return string(line) + "\n"
}

func TestLongLines(t *testing.T) {
	const maxLineBytes = 4 * lineBufferBytes
	tests := map[string]struct {
		size    int
		missing int // bytes cut off at the end
		wantErr error
	}{
		"fills the buffer":                {size: lineBufferBytes},
		"one byte longer than the buffer": {size: lineBufferBytes + 1},
		"longest allowed":                 {size: maxLineBytes},
		"one byte too long":               {size: maxLineBytes + 1, wantErr: errLineTooLong},
		"far too long":                    {size: 3 * maxLineBytes, wantErr: errLineTooLong},
		"long and truncated":              {size: 2 * lineBufferBytes, missing: 1, wantErr: driver.ErrOutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := tokenLine(t, test.size)
			assert.Equal(t, len(body), test.size)
			short := tokenLine(t, 100)
			lines := newLineReader(strings.NewReader(short+body[:test.size-test.missing]), "a", maxLineBytes)
			_, err := lines.next()
			assert.NilError(t, err)
			line, err := lines.next()
			if test.wantErr != nil {
				assert.ErrorIs(t, err, test.wantErr)
				assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, strings.Trim(line.Text, "x") == "" && len(line.Text) > lineBufferBytes/2)
		})
	}
}
