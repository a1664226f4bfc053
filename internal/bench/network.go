package bench

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

// errIsolated is returned by a dial from or to an isolated process.
var errIsolated = errors.New("bench: the process is cut off")

const (
	// maxChunkBytes is the size of the largest chunk that a link forwards at once.
	maxChunkBytes = 64 << 10
	// maxChunksInFlight bounds the chunks in flight on a link, in each direction.
	maxChunksInFlight = 256
)

// network simulates the network between the processes of a deployment. It delays
// what they send, counts bytes and can isolate a process.
type network struct {
	// delayAllLinks delays every link; otherwise only links between failure
	// domains are delayed.
	delayAllLinks bool

	// mu guards delays, baseDelay, listeners, isolated, links and byteCounts.
	mu         sync.Mutex
	delays     map[[2]string]time.Duration
	baseDelay  time.Duration
	listeners  map[string]process
	isolated   map[string]bool
	links      map[*link]struct{}
	byteCounts map[string]uint64
}

// process is a process of the deployment.
type process struct{ id, domain string }

// link is a connection between two processes. The dialing process uses dialerEnd,
// one end of a pipe; listenerConn is the TCP connection to the listening process.
type link struct {
	dialer, listener process
	dialerEnd        net.Conn
	listenerConn     net.Conn
}

func newNetwork(baseDelay time.Duration, delayAllLinks bool) *network {
	return &network{
		delayAllLinks: delayAllLinks, baseDelay: baseDelay, delays: make(map[[2]string]time.Duration),
		listeners: make(map[string]process), isolated: make(map[string]bool),
		links: make(map[*link]struct{}), byteCounts: make(map[string]uint64),
	}
}

// Register implements deployment.Network.
func (n *network) Register(address, id, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = process{id, domain}
}

// Dialer implements deployment.Network.
func (n *network) Dialer(id, domain string) peer.DialFunc {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		n.mu.Lock()
		listener := n.listeners[address]
		isolated := n.isolated[id] || n.isolated[listener.id]
		n.mu.Unlock()
		if isolated {
			return nil, errIsolated
		}
		var netDialer net.Dialer
		conn, err := netDialer.DialContext(ctx, proto, address)
		if err != nil {
			return nil, err
		}
		return n.addLink(process{id, domain}, listener, conn), nil
	}
}

// addLink inserts a link between the dialing process and its TCP connection, and
// returns the connection for the dialing process.
func (n *network) addLink(dialer, listener process, conn net.Conn) net.Conn {
	dialerEnd, networkEnd := net.Pipe()
	l := &link{dialer: dialer, listener: listener, dialerEnd: dialerEnd, listenerConn: conn}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	go n.copyDelayed(l, conn, networkEnd)
	go n.copyDelayed(l, networkEnd, conn)
	return dialerEnd
}

type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies bytes in order, each chunk after the link's delay, until one
// of the connections fails, and closes both.
func (n *network) copyDelayed(l *link, to, from net.Conn) {
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, maxChunkBytes)
			size, err := from.Read(buffer)
			if size > 0 {
				chunks <- chunk{buffer[:size], time.Now().Add(n.countSent(l, size))}
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
		// Unblock the reader; it ends because its connection is closed.
	}
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
}

// countSent adds size to the byte counts of both processes and returns the link's
// current one-way delay.
func (n *network) countSent(l *link, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byteCounts[l.dialer.id] += uint64(size)
	n.byteCounts[l.listener.id] += uint64(size)
	if d, ok := n.delays[[2]string{l.dialer.domain, l.listener.domain}]; ok {
		return d
	}
	if l.dialer.domain == l.listener.domain && !n.delayAllLinks {
		return 0
	}
	return n.baseDelay
}

// setDelay sets the delay between two failure domains in both directions.
func (n *network) setDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[[2]string{a, b}] = d
	n.delays[[2]string{b, a}] = d
}

// isolate closes all connections of a process, as if it had been killed, and
// refuses new ones.
func (n *network) isolate(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = true
	for l := range n.links {
		if l.dialer.id == id || l.listener.id == id {
			_ = l.dialerEnd.Close()
			_ = l.listenerConn.Close()
		}
	}
}

// endIsolation allows a process to make and receive connections again.
func (n *network) endIsolation(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, id)
}

// byteCount returns the number of bytes that a process sent and received.
func (n *network) byteCount(id string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byteCounts[id]
}
