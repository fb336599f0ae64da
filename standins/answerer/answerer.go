// Package answerer gives the text that a prompt must be answered with.
//
// Stand-ins for endpoints answer with it and checkers compare with it. Each
// token is a function of the application, the prompt and the token's index,
// so an answer that is crossed, cut, doubled or reordered differs from it.
//
// # Usage
//
//	want := strings.Join(answerer.Answer(application, prompt, maxOutputTokens), "")
//	if got != want { ... }
package answerer

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is how many bytes of a prompt count as one token.
const BytesPerToken = 4

// shares is how finely the length of an answer is spread.
const shares = 1 << 16

// Answer returns the tokens of the answer to a prompt. There are between half
// of maxOutputTokens and all of them, as the prompt's hash decides, so that
// lengths have to be learnt; at least one when maxOutputTokens is above 0.
func Answer(application, prompt string, maxOutputTokens int) []string {
	seed := Seed(application, prompt)
	tokens := make([]string, Length(seed, maxOutputTokens))
	for i := range tokens {
		tokens[i] = Token(seed, i)
	}
	return tokens
}

// Seed is the hash that all tokens of an answer depend on.
func Seed(application, prompt string) uint64 {
	d := xxhash.New()
	writeField(d, application)
	writeField(d, prompt)
	return d.Sum64()
}

// Length is the number of tokens of the answer with a seed.
func Length(seed uint64, maxOutputTokens int) int {
	if maxOutputTokens <= 0 {
		return 0
	}
	half := maxOutputTokens / 2
	share := int(hashOf(seed, -1) % shares)
	return maxOutputTokens - half*share/shares
}

// Token is the token at an index of the answer with a seed.
func Token(seed uint64, index int) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], hashOf(seed, index))
	return hex.EncodeToString(b[:3]) + " "
}

// CountTokens is the number of tokens of a prompt, at least 1.
func CountTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// ServiceAnswer is the body of a plain service's answer to a call.
func ServiceAnswer(application, operation string, body []byte) []byte {
	d := xxhash.New()
	writeField(d, application)
	writeField(d, operation)
	writeField(d, string(body))
	return []byte(operation + " " + hex.EncodeToString(d.Sum(nil)))
}

// writeField writes a field with its length before it, so that text moved from one field into the next changes the hash.
func writeField(d *xxhash.Digest, field string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(field)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(field)
}

func hashOf(seed uint64, index int) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], seed)
	binary.BigEndian.PutUint64(b[8:], uint64(int64(index)))
	return xxhash.Sum64(b[:])
}
