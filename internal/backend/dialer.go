// Package backend keeps connections to upstream instances and exchanges
// requests for responses over them.
package backend

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a connection attempt; connections within a region
	// need a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that
	// went silent without a reset within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// unacknowledgedLimit ends a connection whose data isn't acknowledged.
	unacknowledgedLimit = 2 * time.Second
)

// NewDialer returns a dialer whose connections fail soon when the peer goes
// silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unacknowledgedLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
