package integration

import "syscall"

// killWithParent makes the kernel kill a daemon whose test process ends without
// its clean-up, for example at the timeout of go test.
var killWithParent = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
