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

// links carries all peer connections. Each process advertises the address of a
// front, which sends the connections of each dialing process through a
// toxiproxy of their own, so that one link fails without the others.
type links struct {
	t      testing.TB
	server *toxiproxy.ApiServer
	fronts []net.Listener

	// ip is the loopback address of the cluster, and port the last one taken.
	// Processes and proxies that restart need their port again; on an address
	// of its own nothing else takes it meanwhile.
	ip   string
	port atomic.Int32

	mu    sync.Mutex
	byEnd map[[2]string]link
	open  map[[2]string]int
}

// address returns an address that this cluster alone uses.
func (l *links) address() string { return fmt.Sprintf("%s:%d", l.ip, l.port.Add(1)) }

// link is the proxy of one link. The address is a copy, because the proxy
// writes its own again whenever it restarts.
type link struct {
	*toxiproxy.Proxy
	address string
}

func newLinks(t testing.TB) *links {
	l := &links{
		t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		ip:    fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)),
		byEnd: make(map[[2]string]link), open: make(map[[2]string]int),
	}
	l.port.Store(7000)
	t.Cleanup(func() {
		for _, f := range l.fronts {
			_ = f.Close()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.byEnd {
			p.Stop()
		}
	})
	return l
}

// front returns the address that a process advertises.
func (l *links) front(id, listen string) string {
	listener, err := net.Listen("tcp", l.address())
	assert.NilError(l.t, err)
	l.fronts = append(l.fronts, listener)
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

// relay passes a connection to the proxy of its link. The dialing process is
// known from the User-Agent header of the WebSocket handshake.
func (l *links) relay(client net.Conn, to, listen string) {
	defer client.Close()
	var head bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(client, &head)))
	if err != nil {
		return
	}
	end := [2]string{strings.TrimPrefix(request.UserAgent(), peer.UserAgentPrefix), to}
	upstream, err := net.Dial("tcp", l.link(end, listen).address)
	if err != nil {
		return
	}
	defer upstream.Close()
	if _, err := upstream.Write(head.Bytes()); err != nil {
		return
	}
	l.count(end, 1)
	defer l.count(end, -1)
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(upstream, client)
	go pipe(client, upstream)
	<-done
}

func (l *links) link(end [2]string, listen string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.byEnd[end]; ok {
		return found
	}
	p := toxiproxy.NewProxy(l.server, end[0]+">"+end[1], l.address(), listen)
	if err := p.Start(); err != nil {
		panic(err)
	}
	l.byEnd[end] = link{p, p.Listen}
	return l.byEnd[end]
}

func (l *links) count(end [2]string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[end] += n
}

// connected reports whether a link carries a connection.
func (l *links) connected(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[[2]string{from, to}] > 0
}

// cut breaks a link and returns the function that restores it.
func (l *links) cut(from, to string) (restore func()) {
	p := l.existing(from, to)
	p.Stop()
	return func() { assert.NilError(l.t, p.Start()) }
}

// toxic puts a toxic of the toxiproxy package on both directions of a link.
func (l *links) toxic(from, to, kind, attributes string) (restore func()) {
	return l.oneWay(from, to, kind, attributes, "upstream", "downstream")
}

func (l *links) oneWay(from, to, kind, attributes string, streams ...string) (restore func()) {
	p := l.existing(from, to)
	for _, stream := range streams {
		_, err := p.Toxics.AddToxicJson(strings.NewReader(
			fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)))
		assert.NilError(l.t, err)
	}
	return func() { p.Toxics.ResetToxics(l.t.Context()) }
}

func (l *links) existing(from, to string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.byEnd[[2]string{from, to}]
	assert.Assert(l.t, ok, "no link from %s to %s", from, to)
	return found
}
