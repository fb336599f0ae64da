package transporter

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT: the kernel
// drops a connection whose bytes are not acknowledged within the timeout. Without it the
// kernel retransmits for about 15 minutes, even while this process is suspended and can't
// close the connection, and would deliver a request after a network partition has ended.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
}

// isStillIdle reports whether an idle connection is open and has received no bytes.
// Received bytes belong to no current request: they are an extra answer, or the connection
// was closed.
func isStillIdle(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		checker, ok := c.(interface{ IsIdle() bool })
		return !ok || checker.IsIdle()
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isIdle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isIdle = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && isIdle
}
