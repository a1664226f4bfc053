package integration

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

// links carries all peer connections of a cluster. Each process advertises the
// address of a listener in the test process, which relays the connections of each
// dialing process through a separate toxiproxy, so that a test can break one link
// without the others. mu guards byEndpoints and connections.
type links struct {
	t         testing.TB
	server    *toxiproxy.ApiServer
	listeners []net.Listener

	// ip is the loopback address of the cluster, and port the last port assigned.
	// Processes and proxies that restart need their old port. With a separate
	// loopback address no other process takes the port in the meantime.
	ip   string
	port atomic.Int32

	mu          sync.Mutex
	byEndpoints map[[2]string]link
	connections map[[2]string]int
}

// address returns a new address, which only this cluster uses.
func (l *links) address() string { return fmt.Sprintf("%s:%d", l.ip, l.port.Add(1)) }

// link is the proxy of one link. address is a copy of Proxy.Listen, because the
// proxy writes Listen again at every restart, while relay may read it.
type link struct {
	*toxiproxy.Proxy
	address string
}

func newLinks(t testing.TB) *links {
	l := &links{
		t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		ip:          fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)),
		byEndpoints: make(map[[2]string]link), connections: make(map[[2]string]int),
	}
	l.port.Store(7000)
	t.Cleanup(func() {
		for _, f := range l.listeners {
			_ = f.Close()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.byEndpoints {
			p.Stop()
		}
	})
	return l
}

// listenFor opens the listener of a process and returns its address, which the
// process advertises.
func (l *links) listenFor(id, listen string) string {
	listener, err := net.Listen("tcp", l.address())
	assert.NilError(l.t, err)
	l.listeners = append(l.listeners, listener)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relay(client, id, listen)
		}
	}()
	return listener.Addr().String()
}

// relay forwards a connection to the proxy of its link. The User-Agent header of
// the WebSocket handshake names the dialing process.
func (l *links) relay(client net.Conn, to, listen string) {
	defer client.Close()
	var head bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(client, &head)))
	if err != nil {
		return
	}
	endpoints := [2]string{strings.TrimPrefix(request.UserAgent(), peer.UserAgentPrefix), to}
	upstream, err := net.Dial("tcp", l.getOrCreate(endpoints, listen).address)
	if err != nil {
		return
	}
	defer upstream.Close()
	if _, err := upstream.Write(head.Bytes()); err != nil {
		return
	}
	l.addConnections(endpoints, 1)
	defer l.addConnections(endpoints, -1)
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(upstream, client)
	go pipe(client, upstream)
	<-done
}

// getOrCreate returns the link between two processes and starts its proxy if there
// is none yet.
func (l *links) getOrCreate(endpoints [2]string, listen string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.byEndpoints[endpoints]; ok {
		return found
	}
	p := toxiproxy.NewProxy(l.server, endpoints[0]+">"+endpoints[1], l.address(), listen)
	if err := p.Start(); err != nil {
		panic(err)
	}
	l.byEndpoints[endpoints] = link{p, p.Listen}
	return l.byEndpoints[endpoints]
}

func (l *links) addConnections(endpoints [2]string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[endpoints] += n
}

// connected reports whether a link carries an open connection.
func (l *links) connected(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections[[2]string{from, to}] > 0
}

// cut closes all connections of a link, refuses new ones and returns the function
// that restores the link.
func (l *links) cut(from, to string) (restore func()) {
	p := l.mustGet(from, to)
	p.Stop()
	return func() { assert.NilError(l.t, p.Start()) }
}

// addToxic adds a toxic, which is a fault of the toxiproxy package, to both
// directions of a link, and returns the function that removes it.
func (l *links) addToxic(from, to, kind, attributes string) (restore func()) {
	return l.addToxicToStreams(from, to, kind, attributes, "upstream", "downstream")
}

// addToxicToStreams adds a toxic to the given directions of a link, "upstream" or
// "downstream", and returns the function that removes all toxics of the link.
func (l *links) addToxicToStreams(from, to, kind, attributes string, streams ...string) (restore func()) {
	p := l.mustGet(from, to)
	for _, stream := range streams {
		_, err := p.Toxics.AddToxicJson(strings.NewReader(
			fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)))
		assert.NilError(l.t, err)
	}
	return func() { p.Toxics.ResetToxics(l.t.Context()) }
}

// mustGet returns an existing link or fails the test.
func (l *links) mustGet(from, to string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.byEndpoints[[2]string{from, to}]
	assert.Assert(l.t, ok, "no link from %s to %s", from, to)
	return found
}
