package integration

import "syscall"

// endWithTest has the system kill a daemon whose test process died before its
// clean-up, for example at the time limit of go test.
var endWithTest = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
