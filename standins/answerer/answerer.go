// Package answerer computes the expected answer to a prompt.
//
// Stand-ins for endpoints send it and tests compare answers with it. Each token
// is a function of the application, the prompt and the token's index, so an
// answer that belongs to another request, is truncated, duplicated or reordered
// differs from it.
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

// lengthSteps is the number of steps between the shortest and the longest
// length of an answer.
const lengthSteps = 1 << 16

// Answer returns the tokens of the answer to a prompt. Their number depends on
// the prompt's hash and lies between half of maxOutputTokens and
// maxOutputTokens, so that the length can't be derived from the request. It is
// at least 1 when maxOutputTokens is above 0.
func Answer(application, prompt string, maxOutputTokens int) []string {
	seed := Seed(application, prompt)
	tokens := make([]string, Length(seed, maxOutputTokens))
	for i := range tokens {
		tokens[i] = Token(seed, i)
	}
	return tokens
}

// Seed returns the hash from which all tokens of an answer are derived.
func Seed(application, prompt string) uint64 {
	d := xxhash.New()
	writeField(d, application)
	writeField(d, prompt)
	return d.Sum64()
}

// Length returns the number of tokens of the answer with a seed.
func Length(seed uint64, maxOutputTokens int) int {
	if maxOutputTokens <= 0 {
		return 0
	}
	half := maxOutputTokens / 2
	share := int(hashOf(seed, -1) % lengthSteps)
	return maxOutputTokens - half*share/lengthSteps
}

// Token returns the token at an index of the answer with a seed.
func Token(seed uint64, index int) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], hashOf(seed, index))
	return hex.EncodeToString(b[:3]) + " "
}

// CountTokens returns the number of tokens of a prompt, at least 1.
func CountTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// ServiceAnswer returns the body of a plain service's answer to a call.
func ServiceAnswer(application, operation string, body []byte) []byte {
	d := xxhash.New()
	writeField(d, application)
	writeField(d, operation)
	writeField(d, string(body))
	return []byte(operation + " " + hex.EncodeToString(d.Sum(nil)))
}

// writeField writes a field prefixed with its length, so that moving text from
// one field to the next changes the hash.
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
