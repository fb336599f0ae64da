package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Request holds what makes two requests identical, whatever their ids, the hosts that
// receive them and the caller's address. A customer's machines have addresses of their
// own and use hosts of their own zones: one request reached all hosts of three zones
// within 6 s. What an endpoint does with a request doesn't depend on the address, and
// the host in the URL identifies the customer.
type Request struct {
	Method string
	Host   string // requested by the caller
	Path   string // including the query
	Body   []byte
	// Application is that of the endpoints, and Parts the ids of the prompt's parts that other
	// prompts may share, in order.
	Application string
	Parts       []string
}

// wholeRequest is the depth of a request as a whole, below that of all its parts.
const wholeRequest = math.MaxInt32

// suspect is what may be responsible for a crash: a request, or a part of its prompt.
type suspect struct {
	fingerprint Fingerprint
	key         key
	depth       int // position of the part in the prompt, from 0; wholeRequest
}

func (s *suspect) isPart() bool { return s.depth < wholeRequest }

// suspects returns the request and the parts of its prompt.
func (r *Request) suspects() []suspect {
	return append([]suspect{{r.Fingerprint(), r.key(), wholeRequest}}, r.partSuspects()...)
}

func (r *Request) partSuspects() (suspects []suspect) {
	for depth, id := range r.Parts {
		suspects = append(suspects, suspect{partFingerprint(r.Application, id), partKey(r.Application, id), depth})
	}
	return suspects
}

// partFingerprint returns the fingerprint of a part of prompts. A part may crash the engines of one
// application only.
func partFingerprint(application, id string) (f Fingerprint) {
	h := sha256.New()
	for _, part := range []string{"part", application, id} {
		writePart(h, []byte(part))
	}
	copy(f[:], h.Sum(nil))
	return f
}

func partKey(application, id string) key {
	b := make([]byte, 0, keyBufferBytes)
	b = append(append(append(b, application...), 0), id...)
	return key(xxhash.Sum64(b))
}

// fingerprintBytes is the length of a fingerprint. Finding another body with the
// fingerprint of a given request takes 2^128 tries.
const fingerprintBytes = 16

// Fingerprint identifies a request: a prefix of the SHA-256 of its parts. Only a request
// that is identical in all parts has the same fingerprint.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses a fingerprint as peers send it; ok is false if the length is
// wrong.
func ParseFingerprint(value []byte) (f Fingerprint, ok bool) {
	if len(value) != fingerprintBytes {
		return f, false
	}
	copy(f[:], value)
	return f, true
}

// Fingerprint computes the request's fingerprint. It takes 4 µs for a body of 4 KB and
// 0.8 ms for one of 1 MB (BenchmarkFingerprint), so it is not computed for each request.
func (r *Request) Fingerprint() (f Fingerprint) {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Path} {
		writePart(h, []byte(part))
	}
	writePart(h, r.Body)
	copy(f[:], h.Sum(nil))
	return f
}

// writePart hashes a part after its length. Without the length, a request that has the
// end of its host in its path would have the fingerprint of another one.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}

// key is a cheap hash: identical requests have the same key, and hardly any others share it. The
// fingerprint is computed only for keys that have a record.
type key uint64

// keyPieceBytes is how much of the beginning and of the end of a body a key covers.
const keyPieceBytes = 2 << 10

// keyBufferBytes is large enough for the input of most keys, to avoid an allocation.
const keyBufferBytes = 256

func (r *Request) key() key {
	b := make([]byte, 0, keyBufferBytes)
	for _, part := range []string{r.Method, r.Host, r.Path} {
		b = append(b, part...)
		b = append(b, 0)
	}
	b = binary.BigEndian.AppendUint64(b, uint64(len(r.Body)))
	for _, piece := range [][]byte{r.Body[:min(len(r.Body), keyPieceBytes)], r.Body[max(len(r.Body)-keyPieceBytes, 0):]} {
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(piece))
	}
	return key(xxhash.Sum64(b))
}
