package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/endivemast/endivemast/internal/scheduler"
)

const (
	// maxPromptParts is how many parts of a prompt caches are searched for. Those after them count
	// as not cached.
	maxPromptParts = 64
	// maxPrefixKeyBytes is the size from which a prefix key is replaced by its hash: thousands of
	// keys are remembered.
	maxPrefixKeyBytes = 256
)

// bounded returns the prompt with as much of its prefix as is remembered after the request. It
// shares no memory with the header of the request.
func (p Prompt) bounded() Prompt {
	if len(p.PrefixKey) > maxPrefixKeyBytes {
		sum := sha256.Sum256([]byte(p.PrefixKey))
		p.PrefixKey = hex.EncodeToString(sum[:])
	}
	p.PrefixKey = strings.Clone(p.PrefixKey)
	var parts []scheduler.Part
	for _, part := range p.PrefixParts[:min(len(p.PrefixParts), maxPromptParts)] {
		parts = append(parts, scheduler.Part{ID: strings.Clone(part.ID), Tokens: part.Tokens})
	}
	p.PrefixParts = parts
	return p
}
