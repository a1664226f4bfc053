package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address. Its open connections can go silent for good, without
// a reset, while new ones work.
type proxy struct {
	address, target string
	listener        net.Listener

	// mu guards the fields below.
	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	// silent is closed when the connection goes silent.
	silent chan struct{}
	once   sync.Once
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	k := &link{silent: make(chan struct{})}
	p.mu.Lock()
	p.links[k] = struct{}{}
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { k.copy(server, client) })
	wait.Go(func() { k.copy(client, server) })
	wait.Wait()
	p.mu.Lock()
	delete(p.links, k)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

// copy passes bytes on until the source ends, or drops them while the connection is silent.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if k.isSilent() {
			// The other side is told nothing, not even that this one has closed.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func (k *link) isSilent() bool {
	select {
	case <-k.silent:
		return true
	default:
		return false
	}
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for k := range p.links {
		k.once.Do(func() { close(k.silent); count++ })
	}
	return count
}
