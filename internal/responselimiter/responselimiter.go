// Package responselimiter names the limits on what an endpoint, the store, the cloud interface or a
// peer may send in a response, and counts responses that exceed them.
//
// Hosts have 144 to 536 MB. Without limits, one response without a line end grew the heap by 1.4 GB
// within 2 s, since net/http.ReadResponse reads a head of any length.
//
// # Usage
//
//	counter := &responselimiter.Counter{}
//	counter.SetObserver(m.CountExceededLimit)
//	transport := &responselimiter.Transport{Base: base, Client: responselimiter.ClientStore, Counter: counter}
//	resp, err := transport.RoundTrip(r)
//	if limit, ok := responselimiter.ExceededLimit(err); ok { ... }
package responselimiter

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/status"
)

// Limits that apply to all clients.
const (
	// MaxHeadBytes limits the informational heads and the final head of a response together.
	// Heads have a few hundred bytes; 50 concurrent heads of this size fit into a host's memory.
	MaxHeadBytes = 64 << 10
	// MaxInformationalHeads limits the informational heads (1xx) that are skipped. Servers send
	// one or two.
	MaxInformationalHeads = 8
	// MaxHeadTime limits the time from the first byte of a head to its end. A head fits into a few
	// packets, and one lost packet is sent again within 1 s.
	MaxHeadTime = 2 * time.Second
)

// Limit is the name of a limit in errors, log lines and metrics.
type Limit string

// Limits.
const (
	HeadBytes          Limit = "head_bytes"
	HeadTime           Limit = "head_time"
	InformationalHeads Limit = "informational_heads"
	BodyBytes          Limit = "body_bytes"
	ChunkBytes         Limit = "chunk_bytes" // chunk sizes and chunk extensions
	TrailerBytes       Limit = "trailer_bytes"
	EventBytes         Limit = "event_bytes"        // one event or line of a stream
	MessageBytes       Limit = "message_bytes"      // one message of a peer
	SkippedBodyBytes   Limit = "skipped_body_bytes" // body of another request's response
	SkippedBodyTime    Limit = "skipped_body_time"
	BufferedBytes      Limit = "buffered_bytes" // large answers of all requests of a host
)

// Clients, as labels of the metric.
const (
	ClientEndpoint = "endpoint"
	ClientStore    = "store"
	ClientCloud    = "cloud"
	ClientPeer     = "peer"
)

// ExceededError reports a response that has exceeded a limit. Its connection is reset.
type ExceededError struct{ Limit Limit }

// Error names the limit.
func (e *ExceededError) Error() string { return "response exceeds limit " + string(e.Limit) }

// ExceededLimit returns the limit that an error reports as exceeded.
func ExceededLimit(err error) (limit Limit, ok bool) {
	var exceeded *ExceededError
	if !errors.As(err, &exceeded) {
		return "", false
	}
	return exceeded.Limit, true
}

// BodyError replaces an error of net/http about the framing of a body by an ExceededError.
// net/http limits a chunk's line to 4 KiB, the overhead of chunks to 16 KiB more than their
// data justifies, and trailers to the read buffer. It exports only one of these errors.
func BodyError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, http.ErrLineTooLong), strings.Contains(err.Error(), "chunked encoding contains too much non-data"):
		return &ExceededError{ChunkBytes}
	case strings.Contains(err.Error(), "suspiciously long trailer"):
		return &ExceededError{TrailerBytes}
	default:
		return err
	}
}

// PeerError replaces the error of gRPC about a message or headers that exceed a limit by an
// ExceededError. gRPC has no codes of their own for these errors.
func PeerError(err error) error {
	switch text := status.Convert(err).Message(); {
	case strings.Contains(text, "message larger than max"), strings.Contains(text, "message after decompression larger than max"):
		return &ExceededError{MessageBytes}
	case strings.Contains(text, "header list size exceeded limit"):
		return &ExceededError{HeadBytes}
	default:
		return err
	}
}

// ReadAll reads a body of at most maxBytes.
func ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	var blocks [][]byte // joined at the end: a buffer that grows is copied, and takes up to twice the memory
	var total int64     // bytes of blocks
	for block := make([]byte, 0, minBlockBytes); ; {
		n, err := body.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		switch {
		case total+int64(len(block)) > maxBytes:
			return nil, &ExceededError{BodyBytes}
		case errors.Is(err, io.EOF):
			return bytes.Join(append(blocks, block), nil), nil
		case err != nil:
			return nil, BodyError(err)
		case len(block) == cap(block):
			blocks, total = append(blocks, block), total+int64(len(block))
			block = make([]byte, 0, min(2*cap(block), maxBlockBytes))
		}
	}
}

// Sizes of the blocks of ReadAll.
const (
	minBlockBytes = 1 << 10
	maxBlockBytes = 64 << 10
)

// Counter counts exceeded limits by client and limit. A nil Counter counts nothing.
type Counter struct {
	observe atomic.Pointer[func(client, limit string)]
}

// SetObserver sets the function that is called for each exceeded limit. It must not block.
func (c *Counter) SetObserver(observe func(client, limit string)) {
	if c != nil {
		c.observe.Store(&observe)
	}
}

// Count counts an exceeded limit.
func (c *Counter) Count(client string, limit Limit) {
	if c == nil {
		return
	}
	if observe := c.observe.Load(); observe != nil {
		(*observe)(client, string(limit))
	}
}

// CountError counts the exceeded limit that an error reports, if it reports one.
func (c *Counter) CountError(client string, err error) {
	if limit, ok := ExceededLimit(err); ok {
		c.Count(client, limit)
	}
}
