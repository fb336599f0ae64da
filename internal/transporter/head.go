package transporter

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/endivemast/endivemast/internal/headchecker"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// maxDetailBytes limits the part of a malformed head that an error quotes. Errors are logged.
const maxDetailBytes = 200

// source is the reader under the buffer of a connection. It returns pending bytes first.
type source struct {
	conn    net.Conn
	pending []byte // read from the connection and put back
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		return s.conn.Read(p)
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return n, nil
}

// unread returns the number of bytes that have been received and not been used.
func (c *conn) unread() int { return c.reader.Buffered() + len(c.source.pending) }

// readResponse returns the next head that is not an informational one (1xx). The limit in bytes
// applies to all of them together. http.ReadResponse has no limits and allocates several times
// the size of a head, so it is only called for a head that is known to be complete.
func (x *exchange) readResponse() (*http.Response, error) {
	remaining := maxHeadBytes
	for skipped := 0; ; skipped++ {
		length, err := x.bufferHead(remaining)
		if err != nil {
			return nil, err
		}
		remaining -= length
		if isOldWithCoding(x.conn.bufferedHead(length)) {
			return nil, fmt.Errorf("%w: HTTP/1.0 with a transfer coding", ErrMalformed)
		}
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, fmt.Errorf("%w: %.*s", ErrMalformed, maxDetailBytes, err.Error())
		}
		if err := headchecker.Check(response.StatusCode, response.Header); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: another protocol, which was not asked for", ErrMalformed)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if skipped == maxInformationalHeads {
			return nil, &responselimiter.ExceededError{Limit: responselimiter.InformationalHeads}
		}
	}
}

// bufferedHead returns the head that bufferHead has waited for.
func (c *conn) bufferedHead(length int) []byte {
	if c.reader.Buffered() == 0 {
		return c.source.pending[:length]
	}
	head, _ := c.reader.Peek(length) // buffered bytes can always be peeked
	return head
}

// isOldWithCoding reports whether a head is of HTTP/1.0 and has a Transfer-Encoding, so that the end
// of its body is not certain (RFC 9112, 6.1). http.ReadResponse ignores the header.
func isOldWithCoding(head []byte) bool {
	return bytes.HasPrefix(head, []byte("HTTP/1.0 ")) && bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding"))
}

// bufferHead waits for a whole head of at most maxBytes, leaves it to be read, and returns its
// length. The limit in time starts with the first byte, and applies to each informational head
// separately: an endpoint may announce a response long before it has one.
func (x *exchange) bufferHead(maxBytes int) (length int, err error) {
	if _, err := x.conn.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, errClosedBeforeAnswer
		}
		return 0, err
	}
	// Most heads arrive in one packet, and need neither a timer nor another buffer.
	data, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // buffered bytes can always be peeked
	if length = headLength(data, 0); length > 0 {
		return length, checkHeadBytes(length, maxBytes)
	}
	stop := x.limitTime(responselimiter.HeadTime)
	length, err = x.conn.bufferLongHead(maxBytes)
	return length, errors.Join(err, stop())
}

// bufferLongHead is bufferHead for a head that is not completely in the buffer.
func (c *conn) bufferLongHead(maxBytes int) (length int, err error) {
	head := make([]byte, c.reader.Buffered(), 2*readBufferBytes)
	if _, err := io.ReadFull(c.reader, head); err != nil {
		return 0, err
	}
	for {
		if err := checkHeadBytes(len(head), maxBytes); err != nil {
			return 0, err
		}
		if len(head) == cap(head) {
			head = append(make([]byte, 0, min(2*cap(head), maxHeadBytes+1)), head...)
		}
		room := head[len(head):min(cap(head), maxBytes+1)]
		n, err := c.source.Read(room)
		scanned := len(head)
		head = head[:scanned+n]
		if length := headLength(head, scanned); length > 0 {
			c.source.pending = append(head, c.source.pending...)
			return length, checkHeadBytes(length, maxBytes)
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
}

func checkHeadBytes(length, maxBytes int) error {
	if length > maxBytes {
		return &responselimiter.ExceededError{Limit: responselimiter.HeadBytes}
	}
	return nil
}

// headLength returns the length of the head at the beginning of data, or 0 if it is incomplete. No
// head ends within the first scanned bytes. As in net/textproto, a head ends with its first empty
// line, and a line ends with LF or CRLF.
func headLength(data []byte, scanned int) int {
	if scanned == 0 {
		if n := emptyLineLength(data); n > 0 {
			return n
		}
	}
	for at := max(scanned-2, 0); ; {
		lineEnd := bytes.IndexByte(data[at:], '\n')
		if lineEnd < 0 {
			return 0
		}
		at += lineEnd + 1
		if n := emptyLineLength(data[at:]); n > 0 {
			return at + n
		}
	}
}

// emptyLineLength returns the length of an empty line at the beginning of data, or 0.
func emptyLineLength(data []byte) int {
	switch {
	case bytes.HasPrefix(data, []byte("\n")):
		return 1
	case bytes.HasPrefix(data, []byte("\r\n")):
		return 2
	default:
		return 0
	}
}

// limitTime resets the connection if stop is not called within maxHeadTime. In this case stop
// returns an error.
func (x *exchange) limitTime(limit responselimiter.Limit) (stop func() error) {
	timer := timekeeper.AfterFunc(maxHeadTime, x.conn.reset)
	return func() error {
		if timer.Stop() {
			return nil
		}
		return &responselimiter.ExceededError{Limit: limit}
	}
}

// reportLimit reports the exceeded limit that ended the exchange, if one did.
func (x *exchange) reportLimit(err error) {
	if limit, ok := responselimiter.ExceededLimit(err); ok && x.transporter.settings.OnLimitExceeded != nil {
		x.limitOnce.Do(func() { x.transporter.settings.OnLimitExceeded(limit) })
	}
}
