package comparer

import "syscall"

// processAttributes let no process outlive a comparison that is killed.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
