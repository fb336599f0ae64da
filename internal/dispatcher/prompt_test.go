package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/scheduler"
)

// TestPromptOfManyPartsIsBounded guards against headers whose parts fill the tables of prefixes and caches.
func TestPromptOfManyPartsIsBounded(t *testing.T) {
	prompt := func(parts int) (p Prompt) {
		p.Tokens = 10 * parts
		for i := range parts {
			p.PrefixParts = append(p.PrefixParts, scheduler.Part{ID: fmt.Sprintf("%04x", i), Tokens: 10})
			p.PrefixTokens += 10
		}
		p.PrefixKey = strings.Repeat("0123:10,", parts)
		return p
	}
	usual := prompt(3)
	assert.DeepEqual(t, usual.bounded(), usual)
	many := prompt(2000).bounded()
	assert.DeepEqual(t, many.PrefixParts, prompt(maxPromptParts).PrefixParts)
	assert.Assert(t, len(many.PrefixKey) <= maxPrefixKeyBytes)
	assert.Assert(t, many.PrefixKey != prompt(2001).bounded().PrefixKey)
	assert.Equal(t, many.PrefixTokens, 20_000)
	none := Prompt{Tokens: 7}
	assert.DeepEqual(t, none.bounded(), none)
}
