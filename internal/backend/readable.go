package backend

import (
	"net"
	"syscall"
)

// readable reports whether data, an end or an error waits on the connection,
// without consuming it.
func readable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	waits := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err != syscall.EAGAIN
	})
	return err != nil || waits
}
