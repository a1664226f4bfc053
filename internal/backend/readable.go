package backend

import (
	"net"
	"syscall"
)

// readable reports whether a read would return data, EOF or an error without
// blocking. It peeks and consumes no data.
func readable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err != syscall.EAGAIN
	})
	return err != nil || pending
}
