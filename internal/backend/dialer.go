// Package backend sends HTTP/1.1 requests to upstream instances over pooled
// connections.
package backend

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits a connection attempt. Connecting within a region takes
	// a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP
	// keep-alive so that a remote host that became unreachable without closing
	// the connection is detected within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// tcpUserTimeout (TCP_USER_TIMEOUT) closes a connection if sent data stays
	// unacknowledged for that time.
	tcpUserTimeout = 2 * time.Second
)

// NewDialer returns a dialer whose connections fail within a few seconds if the
// remote host becomes unreachable.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}
