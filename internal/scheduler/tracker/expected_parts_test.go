package tracker

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// TestExpectedPartsAreBounded guards against prompts of ever new parts that fill the memory of a host.
func TestExpectedPartsAreBounded(t *testing.T) {
	tests := map[string]struct{ isKnown bool }{
		"engine that reports its cache":         {isKnown: true},
		"engine that does not report its cache": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Cache
			if test.isKnown {
				c.Update(driver.CacheEvents{}, true)
			}
			for i := range 10 * maxExpectedParts {
				c.ExpectParts([]Part{{ID: fmt.Sprint(i), Tokens: 1}})
				assert.Assert(t, len(c.tokensByPart) <= maxExpectedParts)
			}
			c.Update(driver.CacheEvents{}, false)
			c.ExpectParts([]Part{{ID: "after a report", Tokens: 7}})
			assert.Equal(t, c.CachedTokens([]Part{{ID: "after a report", Tokens: 7}}), 7)
		})
	}
}
