package tracker

import "github.com/endivemast/endivemast/internal/driver"

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// maxParts limits the parts recorded for one engine. An engine caches some
// thousand parts; more than this limit means that evictions were not received.
const maxParts = 16384

// maxExpectedParts limits the parts that are recorded for an engine between two of its reports.
// Callers choose the parts of their prompts.
const maxExpectedParts = 4096

// Cache is what an engine reports of its prompt cache. Its events arrive some
// hundred milliseconds late, and a few are lost. Parts of a prompt that is sent to
// the engine count as cached from then on, until the engine reports their
// eviction.
type Cache struct {
	// IsKnown is true once the engine has reported any event.
	IsKnown      bool
	tokensByPart map[string]int // cached tokens by part id
	expected     int            // parts recorded since the engine's last report
}

// Update applies events of the engine. isWhole means that they list the whole
// cache.
func (c *Cache) Update(events driver.CacheEvents, isComplete bool) {
	c.IsKnown, c.expected = true, 0
	if c.tokensByPart == nil || isComplete || len(c.tokensByPart) > maxParts {
		c.tokensByPart = make(map[string]int, len(events.Changes))
	}
	for _, change := range events.Changes {
		if change.Tokens > 0 {
			c.tokensByPart[change.PartID] = change.Tokens
		} else {
			delete(c.tokensByPart, change.PartID)
		}
	}
}

// ExpectParts records parts that the engine will cache once it has prefilled a
// prompt.
func (c *Cache) ExpectParts(parts []Part) {
	if c.expected >= maxExpectedParts && !c.IsKnown {
		c.tokensByPart, c.expected = nil, 0 // the engine does not report its evictions
	}
	if c.tokensByPart == nil {
		c.tokensByPart = map[string]int{}
	}
	for _, part := range parts {
		if _, ok := c.tokensByPart[part.ID]; !ok {
			if c.expected >= maxExpectedParts {
				continue
			}
			c.expected++
		}
		c.tokensByPart[part.ID] = part.Tokens
	}
}

// CachedTokens returns how many tokens of a prompt that begins with these parts
// are cached. A part counts only if all parts before it are cached completely.
func (c *Cache) CachedTokens(parts []Part) (tokens int) {
	for _, part := range parts {
		cached := min(c.tokensByPart[part.ID], part.Tokens)
		tokens += cached
		if cached < part.Tokens {
			break
		}
	}
	return tokens
}
