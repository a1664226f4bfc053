package clientconn

import (
	"net"
	"syscall"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
)

// The kernel doubles the sizes of its buffers. Linux would hold several megabytes of a connection.
const (
	// receiveBuffer bounds what the kernel holds of the requests that a client sends. It is not accounted
	// for: all connections that the account admits must find room for it beside the process.
	receiveBuffer = 16 << 10
	// bodyBuffer replaces receiveBuffer while a large body arrives, and is accounted for. It allows
	// 2.5 MB/s at 50 ms.
	bodyBuffer = 64 << 10
	// largeBodyBytes is how much of a body must have arrived for that.
	largeBodyBytes = 64 << 10
	// bodyBufferMemory is what a connection with bodyBuffer costs more.
	bodyBufferMemory = 2 * (bodyBuffer - receiveBuffer)
	// sendBuffer bounds what the kernel holds of responses that a client does not read.
	sendBuffer = 64 << 10
)

// limitListener makes the connections of a listener start with receiveBuffer: what a client sends
// before its connection is accepted would fill a larger one.
func limitListener(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // closed
	}
	// An error leaves the limit that is set once a connection is accepted.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}

// growBuffer lets the kernel hold more of a large body, and returns the memory that it took for it, 0 if
// there was none: the body then arrives more slowly.
func (g *Guard) growBuffer(account *clientlimit.Connection) int64 {
	c, ok := account.Owner.(*Conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	grown := c.grown
	c.grown = true
	c.mu.Unlock()
	if grown {
		return 0
	}
	if !g.Take(account, bodyBufferMemory, time.Now()) {
		return 0
	}
	_ = c.SetReadBuffer(bodyBuffer)
	return bodyBufferMemory
}

// shrinkBuffer ends growBuffer.
func (c *Conn) shrinkBuffer() {
	c.mu.Lock()
	grown := c.grown
	c.grown = false
	c.mu.Unlock()
	if grown {
		_ = c.SetReadBuffer(receiveBuffer)
	}
}
