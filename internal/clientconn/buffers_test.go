package clientconn

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
)

// Guards against clients that send requests ahead and take a process beyond its memory by what the kernel
// holds of them (review/7): 2,400 connections must leave half of a machine of 284 MB free.
func TestKernelHoldsLittleOfRequestsSentAhead(t *testing.T) {
	const (
		machine, connections = 284 << 20, 2400
		clientBuffer         = 4 << 10 // doubled by the kernel
		readAhead            = 4 << 10 // of net/http
	)
	release := make(chan struct{})
	address, _, _ := serve(t, clientlimit.Limits{Memory: 1 << 20, Connections: 10}, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetWriteBuffer(clientBuffer))
	sent := 0
	piece := strings.Repeat(request, 10)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
		n, err := io.WriteString(conn, piece)
		sent += n
		if err != nil {
			break
		}
	}
	held := sent - readAhead - 2*clientBuffer
	assert.Assert(t, held*connections < machine/2, "the kernel holds %d bytes", held)
}

// Guards against large bodies that arrive slowly over long links, because the kernel takes little of them at
// a time, and against connections that keep the larger buffer, or its memory, after the request.
func TestBufferGrowsForALargeBody(t *testing.T) {
	const length = 300 << 10
	var conn *Conn
	accepted := make(chan *Conn, 1)
	account := clientlimit.NewAccount(clientlimit.Limits{Memory: 4 << 20, Connections: 10})
	g := NewGuard(account, &counter{})
	grown, used := make(chan int, 1), make(chan int64, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := conn
		body, taken, err := g.ReadBody(c.Account(), r.Body, r.ContentLength, 10*time.Second)
		if err != nil || len(body) != length {
			w.WriteHeader(http.StatusBadRequest)
		}
		grown <- receiveBufferOf(t, c)
		used <- taken
		c.Account().Release(taken)
	}), ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conn = c.(*Conn)
			accepted <- conn
		}
		if s == http.StateIdle {
			c.(*Conn).SetIdle()
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(g.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	client := dial(t, l.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n")
	c := <-accepted
	assert.Equal(t, receiveBufferOf(t, c), 2*receiveBuffer)
	_, err = io.WriteString(client, strings.Repeat("x", length))
	assert.NilError(t, err)
	assert.Equal(t, status(t, client), http.StatusOK)
	assert.Equal(t, <-grown, 2*bodyBuffer)
	assert.Equal(t, <-used, int64(length+bodyBufferMemory))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if receiveBufferOf(t, c) != 2*receiveBuffer || account.Use().Memory != clientlimit.ConnectionBytes {
			return poll.Continue("the connection is not idle yet")
		}
		return poll.Success()
	})
}

// Guards against the same for a server that is protected as a whole.
func TestBufferGrowsForALargeBodyOfAHandler(t *testing.T) {
	const length = 300 << 10
	grown, used := make(chan int, 1), make(chan int64, 1)
	var g *Guard
	address, guard, _ := serve(t, clientlimit.Limits{Memory: 4 << 20, Connections: 10}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		used <- g.Account().Use().Memory
		body, ok := r.Body.(*accountedBody)
		if !ok {
			grown <- 0
			return
		}
		grown <- receiveBufferOf(t, body.conn)
	})
	g = guard
	client := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n"+strings.Repeat("x", length))
	assert.Equal(t, status(t, client), http.StatusOK)
	assert.Assert(t, <-used >= bodyFactor*length+bodyBufferMemory)
	assert.Equal(t, <-grown, 2*bodyBuffer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := g.Account().Use().Memory; used != clientlimit.ConnectionBytes {
			return poll.Continue("%d bytes are in use", used)
		}
		return poll.Success()
	})
}

// receiveBufferOf returns the size of the kernel's buffer for what a client sends.
func receiveBufferOf(t *testing.T, c *Conn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	size := 0
	assert.NilError(t, raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}))
	assert.NilError(t, err)
	return size
}
