package answerer_test

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivemast/endivemast/standins/answerer"
)

func TestAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		application, prompt := rapid.String().Draw(t, "application"), rapid.String().Draw(t, "prompt")
		most := rapid.IntRange(1, 500).Draw(t, "max_output_tokens")
		tokens := answerer.Answer(application, prompt, most)

		assert.DeepEqual(t, tokens, answerer.Answer(application, prompt, most))
		assert.Assert(t, len(tokens) >= (most+1)/2 && len(tokens) <= most, "%d of %d", len(tokens), most)
		assert.Assert(t, !slices.Equal(tokens, answerer.Answer(application, prompt+"x", most)))
		assert.Assert(t, !slices.Equal(tokens, answerer.Answer(application+"x", prompt, most)))
		for _, token := range tokens {
			assert.Equal(t, strings.Trim(token, "0123456789abcdef"), " ", "tokens are safe within JSON")
		}
	})
}

// Neighbouring tokens differ, so that a doubled or reordered one shows.
func TestNeighboursDiffer(t *testing.T) {
	tokens := answerer.Answer("letters", "draft the letter", 10_000)
	for i := 1; i < len(tokens); i++ {
		assert.Assert(t, tokens[i] != tokens[i-1], "token %d", i)
	}
}

func TestLengthsSpread(t *testing.T) {
	lengths := make(map[int]bool)
	for i := range 200 {
		lengths[len(answerer.Answer("letters", strings.Repeat("x", i), 100))] = true
	}
	assert.Assert(t, len(lengths) > 30, "only %d lengths", len(lengths))
}

func TestFieldsAreApart(t *testing.T) {
	assert.Assert(t, answerer.Seed("ab", "c") != answerer.Seed("a", "bc"))
	assert.Assert(t, string(answerer.ServiceAnswer("a", "book", []byte("x"))) != string(answerer.ServiceAnswer("a", "bookx", nil)))
}

func TestCountTokens(t *testing.T) {
	for text, want := range map[string]int{"": 1, "abc": 1, "abcd": 1, "abcde": 2, strings.Repeat("x", 400): 100} {
		assert.Equal(t, answerer.CountTokens(text), want, "%d bytes", len(text))
	}
	assert.Equal(t, len(answerer.Answer("a", "b", 0)), 0)
}
