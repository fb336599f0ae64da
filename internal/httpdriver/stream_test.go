package httpdriver

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// lineOf is a token's line of so many bytes, its newline included.
func lineOf(t *testing.T, size int) string {
	t.Helper()
	empty, err := json.Marshal(Line{AttemptID: "a", Kind: LineToken, Text: "x"})
	assert.NilError(t, err)
	line, err := json.Marshal(Line{AttemptID: "a", Kind: LineToken, Text: strings.Repeat("x", size-len(empty))})
	assert.NilError(t, err)
	return string(line) + "\n"
}

func TestLongLines(t *testing.T) {
	const longest = 4 * lineBufferBytes
	tests := map[string]struct {
		size  int
		cut   int // bytes that are missing at the end
		fails error
	}{
		"fills the buffer":     {size: lineBufferBytes},
		"beyond the buffer":    {size: lineBufferBytes + 1},
		"longest":              {size: longest},
		"too long":             {size: longest + 1, fails: errTooLarge},
		"far too long":         {size: 3 * longest, fails: errTooLarge},
		"long, and breaks off": {size: 2 * lineBufferBytes, cut: 1, fails: driver.ErrOutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := lineOf(t, test.size)
			assert.Equal(t, len(body), test.size)
			short := lineOf(t, 100)
			lines := newLineReader(strings.NewReader(short+body[:test.size-test.cut]), "a", longest)
			_, err := lines.next()
			assert.NilError(t, err)
			line, err := lines.next()
			if test.fails != nil {
				assert.ErrorIs(t, err, test.fails)
				assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, strings.Trim(line.Text, "x") == "" && len(line.Text) > lineBufferBytes/2)
		})
	}
}
