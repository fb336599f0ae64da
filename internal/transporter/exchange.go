package transporter

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/responselimiter"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	transporter      *Transporter
	conn             *conn
	request          Request
	isSingleUse      bool
	stopContextWatch func() bool // stops the context.AfterFunc that resets the connection

	bodyWrite    errgroup.Group // writes a long request while its answer is read
	mu           sync.Mutex
	written      int64
	requestBytes int64 // bytes of the whole request

	response    *http.Response
	idleTimeout time.Duration
	endOnce     sync.Once
	limitOnce   sync.Once
}

// run writes the request and reads the head of its answer.
func (x *exchange) run() (*Answer, *SendError) {
	head := x.head()
	x.requestBytes = int64(len(head) + len(x.request.Body))
	if len(x.request.Body) <= maxInlineBodyBytes {
		if err := x.write(append(head, x.request.Body...)); err != nil && x.sent() == 0 {
			return nil, &SendError{Cause: err}
		}
	} else {
		x.bodyWrite.Go(func() error {
			if err := x.write(head); err != nil {
				return err
			}
			return x.write(x.request.Body)
		})
	}
	response, err := x.readHead()
	if err != nil {
		x.reportLimit(err)
		x.conn.reset()
		writeErr := x.bodyWrite.Wait()
		return nil, &SendError{Sent: x.sent() > 0, Cause: errors.Join(err, writeErr)}
	}
	x.response = response
	x.idleTimeout = idleTimeoutFrom(response.Header, x.transporter.settings.IdleTimeout)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Close: response.Close, Body: x,
		EndsWithConnection: x.endsWithConnection(),
	}, nil
}

// endsWithConnection reports whether the answer has neither a length nor chunks.
func (x *exchange) endsWithConnection() bool {
	r := x.response
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// head returns the request line and the headers.
func (x *exchange) head() []byte {
	r := &x.request
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	_ = r.Header.Write(b) // writing to a bytes.Buffer never fails
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (x *exchange) write(data []byte) error {
	n, err := x.conn.checked.Write(data)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written += int64(n)
	return err
}

func (x *exchange) sent() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.written
}

// readHead returns the head of the answer to this request. It skips answers to other
// requests as long as the length of their body is known.
func (x *exchange) readHead() (*http.Response, error) {
	for range maxMismatchedAnswers {
		response, err := x.readResponse()
		if err != nil {
			return nil, err
		}
		if x.echoesRequestID(response) {
			return response, nil
		}
		isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if !isFramed || response.Close {
			return nil, ErrMismatchedAnswer
		}
		if err := x.skipBody(response.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMismatchedAnswer, err)
		}
	}
	return nil, ErrMismatchedAnswer
}

// skipBody reads the body of an answer to another request. Its time is limited, since the request
// could be sent elsewhere meanwhile.
func (x *exchange) skipBody(body io.Reader) error {
	stop := x.limitTime(responselimiter.SkippedBodyTime)
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBodyBytes))
	if n == maxSkippedBodyBytes {
		err = &responselimiter.ExceededError{Limit: responselimiter.SkippedBodyBytes}
	}
	return errors.Join(stop(), responselimiter.BodyError(err))
}

// echoesRequestID reports whether an answer has the id of the request and no other one, or none if the
// request has none. What is left of another answer may have become part of the head.
func (x *exchange) echoesRequestID(response *http.Response) bool {
	name := x.transporter.settings.IDHeader
	ids := response.Header.Values(name)
	isOther := func(id string) bool { return id != x.request.ID }
	return name == "" || !slices.ContainsFunc(ids, isOther) && (x.request.ID == "" || len(ids) > 0)
}

func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		x.end(x.canReuse)
		if x.endsWithConnection() {
			err = cmp.Or(x.conn.checked.CheckEnd(), err)
		}
		return n, err
	}
	err = responselimiter.BodyError(err)
	x.reportLimit(err)
	return n, err
}

// canReuse reports whether the connection may be kept for another request: the answer is
// complete and no bytes are pending in either direction.
func (x *exchange) canReuse() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.isSingleUse && !x.response.Close && x.written == x.requestBytes && x.idleTimeout > 0 && x.conn.unread() == 0
}

// Close ends the exchange. It resets the connection unless the body has been read to its
// end.
func (x *exchange) Close() error {
	x.end(notReusable)
	return nil
}

// notReusable is the argument of end for a connection that must not be used again.
func notReusable() bool { return false }

// end returns the connection to its pool or discards it, once. A later call must not
// evaluate canReuse, because another exchange may own the connection by then.
func (x *exchange) end(canReuse func() bool) {
	x.endOnce.Do(func() {
		defer x.transporter.exchanges.Done()
		// stopContextWatch returns false when the connection is already being reset.
		if isKept := canReuse(); x.stopContextWatch() && isKept {
			x.transporter.putIdle(x.conn, x.idleTimeout)
			return
		}
		x.transporter.discard(x.conn)
		// The reset ends a pending write. Its error matters only to an answer that ends with
		// its connection, and the connection keeps it.
		_ = x.bodyWrite.Wait()
	})
}
