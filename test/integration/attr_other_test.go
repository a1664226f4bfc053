//go:build !linux

package integration

import "syscall"

// endWithTest is only available on Linux.
var endWithTest *syscall.SysProcAttr
