//go:build !linux

package comparer

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }
