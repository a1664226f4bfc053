package bench

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

// errCut is returned by a dial from or to a process that is cut off.
var errCut = errors.New("bench: the process is cut off")

const (
	// chunkBytes is the most that one transfer over a link carries.
	chunkBytes = 64 << 10
	// linkChunks bounds the chunks in flight on a link, in each direction.
	linkChunks = 256
)

// network makes the connections between the processes of a deployment. It
// delays what they send, counts bytes and can cut a process off.
type network struct {
	// uniform delays every link; otherwise only those between domains.
	uniform bool

	mu      sync.Mutex
	delays  map[[2]string]time.Duration
	base    time.Duration
	members map[string]member
	cut     map[string]bool
	links   map[*link]struct{}
	bytes   map[string]uint64
}

// member is a process that listens on an address.
type member struct{ id, domain string }

// link is a connection between two processes.
type link struct {
	from, to member
	near     net.Conn
	far      net.Conn
}

func newNetwork(base time.Duration, uniform bool) *network {
	return &network{
		uniform: uniform, base: base, delays: make(map[[2]string]time.Duration),
		members: make(map[string]member), cut: make(map[string]bool),
		links: make(map[*link]struct{}), bytes: make(map[string]uint64),
	}
}

// Register implements deployment.Network.
func (n *network) Register(address, id, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[address] = member{id, domain}
}

// Dialer implements deployment.Network.
func (n *network) Dialer(id, domain string) peer.DialFunc {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.members[address]
		cut := n.cut[id] || n.cut[to.id]
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, proto, address)
		if err != nil {
			return nil, err
		}
		return n.connect(member{id, domain}, to, conn), nil
	}
}

// connect puts a link between a process and its connection.
func (n *network) connect(from, to member, conn net.Conn) net.Conn {
	near, inner := net.Pipe()
	l := &link{from: from, to: to, near: near, far: conn}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	go n.transfer(l, conn, inner)
	go n.transfer(l, inner, conn)
	return near
}

type chunk struct {
	data []byte
	due  time.Time
}

// transfer passes bytes on after the link's delay, in order.
func (n *network) transfer(l *link, to, from net.Conn) {
	chunks := make(chan chunk, linkChunks)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			size, err := from.Read(buffer)
			if size > 0 {
				chunks <- chunk{buffer[:size], time.Now().Add(n.sent(l, size))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range chunks {
		// The reader ends once its connection is closed.
	}
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
}

// sent counts bytes and returns the link's current delay in one direction.
func (n *network) sent(l *link, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[l.from.id] += uint64(size)
	n.bytes[l.to.id] += uint64(size)
	if d, ok := n.delays[[2]string{l.from.domain, l.to.domain}]; ok {
		return d
	}
	if l.from.domain == l.to.domain && !n.uniform {
		return 0
	}
	return n.base
}

// setDelay sets the delay between two domains in both directions.
func (n *network) setDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[[2]string{a, b}] = d
	n.delays[[2]string{b, a}] = d
}

// cutOff ends all connections of a process, as if it had been killed, and
// refuses new ones.
func (n *network) cutOff(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = true
	for l := range n.links {
		if l.from.id == id || l.to.id == id {
			_ = l.near.Close()
			_ = l.far.Close()
		}
	}
}

// restore allows connections of a process again.
func (n *network) restore(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, id)
}

// bytesOf returns the bytes that a process sent and received.
func (n *network) bytesOf(id string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[id]
}
