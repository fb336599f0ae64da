//go:build !linux

package transporter

import (
	"net"
	"syscall"
	"time"
)

// UserTimeout returns nil: TCP_USER_TIMEOUT is only available on Linux. Builds for other
// systems are for development only.
func UserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error { return nil }

// isStillIdle always returns true, because unread bytes can't be detected here. An answer
// to another request is still detected by its id.
func isStillIdle(net.Conn) bool { return true }
