//go:build !linux

package integration

import "syscall"

// killWithParent is nil, because Pdeathsig is only available on Linux.
var killWithParent *syscall.SysProcAttr
