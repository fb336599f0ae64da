//go:build !linux

package httpdriver

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where the option is unknown. Such a build is for
// development only: see dial for what is then not held.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
