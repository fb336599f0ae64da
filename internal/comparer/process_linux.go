package comparer

import "syscall"

// processAttributes makes the kernel kill the process when its parent exits, so
// that no process is left when the comparison is killed.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
