package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// client is a client's connection to a gateway.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// serveClients serves a gateway's clients and returns the server and the address.
func serveClients(t *testing.T, g *Gateway) (*http.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.newClientServer()
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = g.serveClients(server, l) }()
	return server, l.Addr().String()
}

func dialClient(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

const clientRequest = "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 0\r\n\r\n"

// waitIdle waits until all connections of clients are idle.
func waitIdle(t *testing.T, g *Gateway) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, c := range g.clients.list() {
			c.mu.Lock()
			idle := c.idle
			c.mu.Unlock()
			if !idle {
				return poll.Continue("a connection is in use")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func (c *client) write(text string) {
	c.t.Helper()
	_, err := fmt.Fprint(c.conn, text)
	assert.NilError(c.t, err)
}

func (c *client) readStatus() (int, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// answerAll answers each request at once.
var answerAll = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) })

var idempotentRoute = routing.Route{Kind: routing.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 1}

// Guards against a connection that is closed as idle while the next request arrives on it:
// the request gets neither an answer nor a refusal.
func TestIdleLimitSparesAConnectionWithARequest(t *testing.T) {
	g := newTestGateway(t, idempotentRoute, answerAll)
	_, address := serveClients(t, g)
	c := dialClient(t, address)
	c.write(clientRequest)
	status, err := c.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	waitIdle(t, g)
	c.write(clientRequest[:20])
	time.Sleep(50 * time.Millisecond)
	g.closeIdleConnections(time.Now().Add(time.Hour))
	c.write(clientRequest[20:])
	status, err = c.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a connection that is closed at the end of a graceful shutdown while a
// request arrives on it.
func TestShutdownSparesAConnectionWithARequest(t *testing.T) {
	g := newTestGateway(t, idempotentRoute, answerAll)
	g.settings.DrainTimeout = 2 * time.Second
	server, address := serveClients(t, g)
	c := dialClient(t, address)
	c.write(clientRequest)
	_, err := c.readStatus()
	assert.NilError(t, err)
	waitIdle(t, g)
	c.write(clientRequest[:20])
	time.Sleep(50 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- g.drain(server, time.Now()) }()
	time.Sleep(1400 * time.Millisecond)
	c.write(clientRequest[20:])
	status, err := c.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, <-ended)
}

// Guards against a pipelined request that is cancelled because its connection counts as idle.
func TestPipelinedRequestIsNotClosedAsIdle(t *testing.T) {
	n := 0
	g := newTestGateway(t, idempotentRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if n++; n == 2 {
			time.Sleep(500 * time.Millisecond)
		}
	}))
	_, address := serveClients(t, g)
	c := dialClient(t, address)
	c.write(clientRequest + clientRequest)
	status, err := c.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	time.Sleep(150 * time.Millisecond)
	g.clients.closeIdle(unusedTime, time.Now(), func(net.Conn, time.Duration) { t.Log("closed as idle") })
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	t.Log(resp.Status, resp.Header)
	assert.Equal(t, resp.Header.Get("Id"), "1")
}

// Guards against an empty success for a client that closes its sending side after its request.
func TestNoEmptySuccessForAClientThatLeft(t *testing.T) {
	g := newTestGateway(t, idempotentRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		time.Sleep(300 * time.Millisecond)
	}))
	_, address := serveClients(t, g)
	c := dialClient(t, address)
	c.write(clientRequest)
	assert.NilError(t, c.conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		defer resp.Body.Close()
		t.Log(resp.Status, resp.Header)
		assert.Equal(t, resp.Header.Get("Id"), "1")
	}
}

// Guards against a connection that no limit closes because one to three bytes came after a response.
func TestBytesAfterAResponseDontKeepAConnection(t *testing.T) {
	g := newTestGateway(t, idempotentRoute, answerAll)
	_, address := serveClients(t, g)
	c := dialClient(t, address)
	c.write(clientRequest)
	_, err := c.readStatus()
	assert.NilError(t, err)
	waitIdle(t, g)
	c.write("\r\n")
	time.Sleep(100 * time.Millisecond)
	g.clients.closeIdle(time.Second, time.Now().Add(time.Hour), func(net.Conn, time.Duration) { t.Log("closed as idle") })
	_ = c.conn.SetDeadline(time.Now().Add(headerTimeout + 2*time.Second))
	_, err = c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a request whose bytes had arrived when its connection was closed as idle.
func TestArrivedBytesAreReadBeforeAClose(t *testing.T) {
	conn, client := connectedPair(t)
	conn.setIdle(time.Now().Add(-time.Minute))
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, closes := conn.closeIdle(time.Second, time.Now())
	assert.Assert(t, closes)
	k, err := conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.Equal(t, k, 18)
}

// Guards against a connection that is never closed as idle, because a close came before the server reset the deadline.
func TestCloseBeforeADeadlineResetIsRepeated(t *testing.T) {
	conn, _ := connectedPair(t)
	conn.setIdle(time.Now().Add(-time.Minute))
	conn.closeIdle(time.Second, time.Now())
	_ = conn.SetReadDeadline(time.Time{}) // as net/http does after StateIdle
	_, closes := conn.closeIdle(time.Second, time.Now().Add(time.Hour))
	assert.Assert(t, closes)
}

// Guards against a shutdown that stays without a listener because of a connection without a request.
func TestShutdownEndsDespiteAnUnusedConnection(t *testing.T) {
	g := newTestGateway(t, idempotentRoute, answerAll)
	g.settings.DrainTimeout = 9 * time.Second
	server, address := serveClients(t, g)
	dialClient(t, address)
	refused := make(chan time.Time, 1)
	go func() {
		for {
			c, err := net.Dial("tcp", address)
			if err != nil {
				refused <- time.Now()
				return
			}
			_ = c.Close()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	assert.NilError(t, g.drain(server, time.Now()))
	ended := time.Now()
	assert.Assert(t, ended.Sub(<-refused) < time.Second)
}
