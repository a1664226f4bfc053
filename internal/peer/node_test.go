package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// recorder is a Handler that records connections, frames and disconnections.
type recorder struct {
	// mu guards frames and conns.
	mu     sync.Mutex
	frames []Frame
	conns  []*Conn
	// disconnected receives a value for each disconnection, received one for
	// each frame.
	disconnected chan struct{}
	received     chan struct{}
}

func newRecorder() *recorder {
	return &recorder{disconnected: make(chan struct{}, 16), received: make(chan struct{}, 1<<16)}
}

func (r *recorder) Connected(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *recorder) HandleFrame(_ *Conn, f Frame) {
	r.mu.Lock()
	r.frames = append(r.frames, f)
	r.mu.Unlock()
	r.received <- struct{}{}
}

func (r *recorder) Disconnected(*Conn, error) { r.disconnected <- struct{}{} }

// startNode starts a node with a test server. It returns the node, its handler and
// the server's address.
func startNode(t *testing.T, secret string, options Options) (*Node, *recorder, string) {
	t.Helper()
	r := newRecorder()
	options.Secret = secret
	n := NewNode(Hello{Role: RoleSidecar, ID: t.Name()}, r, func() uint64 { return 5 }, options)
	server := httptest.NewServer(n)
	t.Cleanup(func() { n.Close(); server.Close() })
	return n, r, strings.TrimPrefix(server.URL, "http://")
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against reordered or lost frames when many are sent in quick
// succession, and against a second connection to the same address.
func TestFramesArriveInOrderOverOneConnection(t *testing.T) {
	const frames = 2000
	client, _, _ := startNode(t, "s", Options{})
	_, serverRecorder, address := startNode(t, "s", Options{})
	var wg sync.WaitGroup
	conns := make([]*Conn, 8)
	for i := range conns {
		wg.Go(func() { conns[i], _ = client.Dial(testContext(t), address) })
	}
	wg.Wait()
	for _, c := range conns {
		assert.Equal(t, c, conns[0])
	}
	for i := range frames {
		assert.NilError(t, conns[0].Send(&Token{Request: "r", Position: request.Position(i)}))
	}
	for range frames {
		<-serverRecorder.received
	}
	for i, f := range serverRecorder.frames {
		assert.Equal(t, f.(*Token).Position, request.Position(i))
	}
	assert.Equal(t, serverRecorder.conns[0].PeerRevision(), uint64(5))
}

// Guards against accepting a process that lacks the shared secret.
func TestWrongSecretIsRefused(t *testing.T) {
	client, _, _ := startNode(t, "wrong", Options{})
	_, _, address := startNode(t, "right", Options{})
	_, err := client.Dial(testContext(t), address)
	assert.ErrorIs(t, err, ErrUnauthorized)
}

// Guards against a connection that stays open after its peer stopped or the
// network drops all packets: nothing arrives, but no read or write fails.
func TestSilentPeerIsClosed(t *testing.T) {
	options := Options{PingInterval: 10 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	client, clientRecorder, _ := startNode(t, "s", options)
	_, _, address := startNode(t, "s", options)
	proxy := newTCPProxy(t, address)
	conn, err := client.Dial(testContext(t), proxy.address)
	assert.NilError(t, err)
	proxy.stall()
	<-clientRecorder.disconnected
	assert.Assert(t, conn.TimedOut())
	assert.Assert(t, client.Connection(proxy.address) == nil)
	assert.ErrorIs(t, conn.Send(&Ping{}), ErrClosed)
}

// tcpProxy forwards TCP connections until stall is called. It then forwards
// nothing and keeps the connections open.
type tcpProxy struct {
	address string
	stalled chan struct{}
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &tcpProxy{address: listener.Addr().String(), stalled: make(chan struct{})}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				return
			}
			go p.copy(in, out)
			go p.copy(out, in)
		}
	}()
	return p
}

func (p *tcpProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.stalled:
			return
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

func (p *tcpProxy) stall() { close(p.stalled) }

// Guards against accepting a server that does not speak the peer protocol.
func TestDialRefusesOtherServers(t *testing.T) {
	client, _, _ := startNode(t, "s", Options{})
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := client.Dial(testContext(t), strings.TrimPrefix(server.URL, "http://"))
	assert.ErrorIs(t, err, ErrUnreachable)
}
