package httpdriver

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestUserTimeoutIsSet(t *testing.T) {
	conn, err := dial(t.Context(), listen(t), time.Second, 1234*time.Millisecond)
	assert.NilError(t, err)
	defer closeNow(t, conn)
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var got int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	assert.Equal(t, got, 1234)
}
