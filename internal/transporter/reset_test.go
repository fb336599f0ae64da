package transporter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/standins/opaqueserver"
)

const (
	uploadBytes = 4 << 20 // more than the buffers of both sockets hold
	uploads     = 20      // for each case: which of two calls gets an error varies
)

// earlyAnswer is an answer without a length that an endpoint writes before it has read the request's body.
type earlyAnswer struct {
	body string
	end  func(x *opaqueserver.Exchange) // after the body was written
}

// sendUpload sends a request with a long body to an endpoint that answers early, and returns what arrives.
func (a earlyAnswer) sendUpload(t *testing.T, tr *Transporter) (body string, err error) {
	t.Helper()
	endpoint := opaqueserver.StartEarly(func(x *opaqueserver.Exchange) {
		x.Head(200)
		x.Write(a.body)
		a.end(x)
	})
	t.Cleanup(endpoint.Close)
	r := request("r1")
	r.Body = bytes.Repeat([]byte("u"), uploadBytes)
	_, body, err = send(t, tr, endpoint.Address(), r)
	return body, err
}

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
}

// endWrites ends the answer as after a complete one, and keeps the connection open for reading.
func endWrites(x *opaqueserver.Exchange) {
	_ = x.Conn.(*net.TCPConn).CloseWrite() // fails only if the connection has ended
}

// TestResetDuringUpload guards against a part of an answer that is delivered as complete.
func TestResetDuringUpload(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(x *opaqueserver.Exchange){
		"reset at once":         (*opaqueserver.Exchange).Reset,
		"reset after 1 ms":      func(x *opaqueserver.Exchange) { pause(time.Millisecond); x.Reset() },
		"reset after 5 ms":      func(x *opaqueserver.Exchange) { pause(5 * time.Millisecond); x.Reset() },
		"reset after 30 ms":     func(x *opaqueserver.Exchange) { pause(30 * time.Millisecond); x.Reset() },
		"closed with unread":    func(x *opaqueserver.Exchange) { _, _ = io.CopyN(io.Discard, x.Conn, 1); x.Close() },
		"reset within the body": func(x *opaqueserver.Exchange) { _, _ = io.CopyN(io.Discard, x.Conn, 300<<10); x.Reset() },
	} {
		for _, partBytes := range []int{0, 100, 100 << 10} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, partBytes), func(t *testing.T) {
				t.Parallel()
				tr := newTransporter(t)
				answer := earlyAnswer{body: strings.Repeat("p", partBytes), end: end}
				for n := range uploads {
					body, err := answer.sendUpload(t, tr)
					assert.Assert(t, err != nil, "upload %d: %d bytes were delivered as complete", n, len(body))
					assert.Assert(t, !errors.Is(err, io.EOF) && !errors.Is(err, context.DeadlineExceeded), "upload %d: %v", n, err)
				}
			})
		}
	}
}

// TestUserTimeoutDuringUpload guards against a part of an answer that is delivered as complete since its endpoint takes no more of the upload.
func TestUserTimeoutDuringUpload(t *testing.T) {
	t.Parallel()
	for n := range uploads {
		t.Run(fmt.Sprint("upload ", n), func(t *testing.T) {
			t.Parallel()
			tr := New(Settings{IDHeader: "Request-Id", UserTimeout: 200 * time.Millisecond})
			t.Cleanup(func() { assert.NilError(t, tr.Close()) })
			done := make(chan struct{})
			defer close(done)
			answer := earlyAnswer{body: "part", end: func(*opaqueserver.Exchange) { <-done }}
			body, err := answer.sendUpload(t, tr)
			assert.ErrorIs(t, err, syscall.ETIMEDOUT, "%d bytes", len(body))
		})
	}
}

// TestAnswerEndedDuringUpload guards against a complete answer that is dropped since its endpoint does not take the rest of the upload.
func TestAnswerEndedDuringUpload(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(x *opaqueserver.Exchange){
		"reset at once":     func(x *opaqueserver.Exchange) { endWrites(x); x.Reset() },
		"reset after 5 ms":  func(x *opaqueserver.Exchange) { endWrites(x); pause(5 * time.Millisecond); x.Reset() },
		"reset after 30 ms": func(x *opaqueserver.Exchange) { endWrites(x); pause(30 * time.Millisecond); x.Reset() },
		"closed":            func(x *opaqueserver.Exchange) { endWrites(x); pause(time.Millisecond); x.Close() },
		"upload not taken":  func(x *opaqueserver.Exchange) { endWrites(x); pause(50 * time.Millisecond) },
		"upload taken":      func(x *opaqueserver.Exchange) { endWrites(x); _, _ = io.Copy(io.Discard, x.Conn) },
	} {
		for _, answerBytes := range []int{0, 100, 30 << 10} { // fits into the receive window, so that its end is not discarded by a reset
			t.Run(fmt.Sprintf("%s, %d bytes", name, answerBytes), func(t *testing.T) {
				t.Parallel()
				tr := newTransporter(t)
				answer := earlyAnswer{body: strings.Repeat("p", answerBytes), end: end}
				for n := range uploads {
					body, err := answer.sendUpload(t, tr)
					assert.NilError(t, err, "upload %d", n)
					assert.Equal(t, len(body), answerBytes, "upload %d", n)
				}
			})
		}
	}
}
