package endchecker_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/endchecker"
)

// scriptedConn is a connection whose writes return the next error of a script, and then block until it is closed.
type scriptedConn struct {
	net.Conn
	errs     []error
	blocked  chan struct{} // closed when a write blocks
	isClosed chan struct{}
}

func newScriptedConn(errs ...error) *scriptedConn {
	return &scriptedConn{errs: errs, blocked: make(chan struct{}), isClosed: make(chan struct{})}
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if len(c.errs) == 0 {
		close(c.blocked)
		<-c.isClosed
		return 0, &net.OpError{Op: "write", Err: net.ErrClosed}
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	if err != nil {
		return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)}
	}
	return len(p), nil
}

func (c *scriptedConn) Close() error {
	close(c.isClosed)
	return nil
}

func TestCheckEnd(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		errs []error // of the writes
		want error
	}{
		"nothing written":                  {},
		"written":                          {errs: []error{nil, nil}},
		"reset":                            {errs: []error{syscall.ECONNRESET}, want: syscall.ECONNRESET},
		"reset after some of it":           {errs: []error{nil, syscall.ECONNRESET}, want: syscall.ECONNRESET},
		"reset, then written again":        {errs: []error{syscall.ECONNRESET, syscall.EPIPE}, want: syscall.ECONNRESET},
		"user timeout":                     {errs: []error{nil, syscall.ETIMEDOUT}, want: syscall.ETIMEDOUT},
		"no route":                         {errs: []error{syscall.EHOSTUNREACH}, want: syscall.EHOSTUNREACH},
		"reset after the end":              {errs: []error{nil, syscall.EPIPE}},
		"reset after the end, later reset": {errs: []error{syscall.EPIPE, syscall.ECONNRESET}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := endchecker.New(newScriptedConn(test.errs...))
			for range test.errs {
				_, _ = c.Write([]byte("data")) // the error is that of the script
			}
			err := c.CheckEnd()
			if test.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, test.want)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			assert.Assert(t, !errors.Is(err, io.EOF))
		})
	}
}

// TestCheckEndEndsPendingWrite guards against a check that waits for a peer which has ended its response and reads no more.
func TestCheckEndEndsPendingWrite(t *testing.T) {
	t.Parallel()
	below := newScriptedConn()
	c := endchecker.New(below)
	var group errgroup.Group
	group.Go(func() error {
		_, err := c.Write([]byte("data"))
		return err
	})
	<-below.blocked
	assert.NilError(t, c.CheckEnd())
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
}
