package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/google/uuid"
)

// Errors of connection set-up.
var (
	// ErrUnauthorized is returned when the peer refuses this process's secret.
	ErrUnauthorized = errors.New("peer: not authorized")
	// ErrHandshake is returned when the exchange of Hello frames fails or the
	// peer's first frame is not a valid Hello of the same protocol version.
	ErrHandshake = errors.New("peer: handshake failed")
	// ErrUnreachable is returned when no connection could be established.
	ErrUnreachable = errors.New("peer: unreachable")
)

// Path is the HTTP path of the peer protocol.
const Path = "/peer"

// UserAgentPrefix precedes the instance id in the User-Agent header of a
// dialing peer.
const UserAgentPrefix = "nutmegrouted/"

const (
	handshakeTimeout = 2 * time.Second
	bearerPrefix     = "Bearer "
)

// Handler receives the events of all connections of a Node. The connection's
// read loop calls HandleFrame, so frames of one connection arrive in order and
// HandleFrame must not block.
type Handler interface {
	Connected(c *Conn)
	HandleFrame(c *Conn, f Frame)
	Disconnected(c *Conn, err error)
}

// Options configure a Node.
type Options struct {
	// Secret authenticates peers to each other.
	Secret string
	// PingInterval is the time between two pings on a connection that this
	// process dialed. Default 1 s.
	PingInterval time.Duration
	// IdleTimeout is the time after which a connection is closed if nothing
	// arrives on it, not even the answer to a ping. Default 3 times PingInterval.
	IdleTimeout time.Duration
	// TLS is the TLS configuration for dialing peers; nil means plain TCP.
	TLS *tls.Config
	// NoCoalescing sends each frame as a separate message. It exists to measure
	// the benefit of coalescing.
	NoCoalescing bool
	// Dial establishes the TCP connections to peers. Default net.Dialer.
	Dial DialFunc
	// Now is the clock by which the idle timeout is measured. Default time.Now.
	Now func() time.Time
}

// DialFunc establishes a connection to an address, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Node is this process's endpoint of the peer protocol. It accepts connections
// (ServeHTTP) and dials peers, with at most one dialed connection for each
// address.
type Node struct {
	handler  Handler
	options  Options
	revision func() uint64
	client   *http.Client
	process  string

	// mu guards hello, dialed, conns and closed.
	mu     sync.Mutex
	hello  Hello
	dialed map[string]*dialResult
	conns  map[*Conn]struct{}
	closed bool
	wg     sync.WaitGroup

	// endedConnBytes is the number of bytes sent on connections that have ended.
	endedConnBytes atomic.Uint64
}

// dialResult is a dialed connection. ready is closed once conn or err is set.
type dialResult struct {
	ready chan struct{}
	conn  *Conn
	err   error
}

// NewNode returns a Node that sends hello on each connection. The revision
// function returns the configuration revision and is called for every frame
// sent.
func NewNode(hello Hello, handler Handler, revision func() uint64, options Options) *Node {
	if options.PingInterval == 0 {
		options.PingInterval = time.Second
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = 3 * options.PingInterval
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	hello.Version = ProtocolVersion
	hello.Process = uuid.NewString()
	transport := &http.Transport{TLSClientConfig: options.TLS, DialContext: options.Dial}
	return &Node{
		handler:  handler,
		options:  options,
		revision: revision,
		client:   &http.Client{Transport: transport},
		process:  hello.Process,
		hello:    hello,
		dialed:   make(map[string]*dialResult),
		conns:    make(map[*Conn]struct{}),
	}
}

// Process returns the random id of this process.
func (n *Node) Process() string { return n.process }

// UpdateHello changes the Hello that is sent on later connections.
func (n *Node) UpdateHello(change func(*Hello)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.hello)
}

// Connection returns the existing connection that was dialed to address, or
// nil. It does not dial.
func (n *Node) Connection(address string) *Conn {
	n.mu.Lock()
	d := n.dialed[address]
	n.mu.Unlock()
	if d == nil {
		return nil
	}
	select {
	case <-d.ready:
		return d.conn
	default:
		return nil
	}
}

// Dial returns the connection to address and establishes it if needed.
// Concurrent callers share one attempt. Dial returns ErrUnreachable,
// ErrUnauthorized, ErrHandshake or ErrClosed.
func (n *Node) Dial(ctx context.Context, address string) (*Conn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	d := n.dialed[address]
	if d == nil {
		d = &dialResult{ready: make(chan struct{})}
		n.dialed[address] = d
		n.mu.Unlock()
		conn, err := n.connect(ctx, address)
		n.finishDial(address, d, conn, err)
	} else {
		n.mu.Unlock()
	}
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, ctx.Err())
	}
}

// finishDial publishes the result of a dial. If the dial failed or the connection
// has already ended, finishDial removes the entry from n.dialed. removeConn can't
// remove the entry of an ended connection that is not published yet.
func (n *Node) finishDial(address string, d *dialResult, conn *Conn, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d.conn, d.err = conn, err
	if conn != nil {
		_, open := n.conns[conn]
		if !open {
			d.conn, d.err = nil, fmt.Errorf("%w: %s: closed at once", ErrUnreachable, address)
		}
	}
	if d.err != nil {
		delete(n.dialed, address)
	}
	close(d.ready)
}

// connect dials address and performs the handshake.
func (n *Node) connect(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws"
	if n.options.TLS != nil {
		scheme = "wss"
	}
	ws, response, err := websocket.Dial(ctx, scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient: n.client,
		HTTPHeader: http.Header{"Authorization": {bearerPrefix + n.options.Secret}, "User-Agent": {n.userAgent()}},
	})
	if err != nil {
		if response != nil && response.StatusCode == http.StatusUnauthorized {
			return nil, ErrUnauthorized
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	return n.startConn(ctx, ws, address)
}

// userAgent returns the User-Agent header. It holds the id of the dialing
// instance, so that a TCP proxy on the path can distinguish the connections to
// one address.
func (n *Node) userAgent() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return UserAgentPrefix + n.hello.ID
}

// ServeHTTP accepts a peer's connection. It returns when the connection ends.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !n.authorized(r) {
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	c, err := n.startConn(ctx, ws, "")
	if err != nil {
		return
	}
	<-c.done
}

// authorized reports whether r carries the secret. It compares digests, so that
// the duration of the comparison reveals nothing about the secret or its length.
func (n *Node) authorized(r *http.Request) bool {
	given, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	want := sha256.Sum256([]byte(n.options.Secret))
	got := sha256.Sum256([]byte(given))
	return found && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// startConn exchanges Hello frames and starts the connection's goroutines.
// dialedAddress is empty if the peer dialed.
func (n *Node) startConn(ctx context.Context, ws *websocket.Conn, dialedAddress string) (*Conn, error) {
	ws.SetReadLimit(MaxMessageBytes)
	hello, revision, err := n.handshake(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		node:          n,
		ws:            ws,
		peerHello:     hello,
		dialedAddress: dialedAddress,
		wakeup:        make(chan struct{}, 1),
		cancel:        cancel,
		done:          make(chan struct{}),
	}
	c.peerRevision.Store(revision)
	c.lastRead.Store(n.options.Now().UnixNano())
	if !n.addConn(c) {
		cancel()
		_ = ws.CloseNow()
		return nil, ErrClosed
	}
	go n.serveConn(runCtx, c)
	return c, nil
}

// handshake sends this process's Hello and returns the peer's Hello and
// configuration revision.
func (n *Node) handshake(ctx context.Context, ws *websocket.Conn) (Hello, uint64, error) {
	n.mu.Lock()
	ownHello := n.hello
	n.mu.Unlock()
	data, err := encodeFrame(&ownHello, n.revision())
	if err != nil {
		return Hello{}, 0, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return Hello{}, 0, fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	_, data, err = ws.Read(ctx)
	if err != nil {
		return Hello{}, 0, fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	f, revision, _, err := decodeFrame(data)
	if err != nil {
		return Hello{}, 0, fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	hello, ok := f.(*Hello)
	if !ok || hello.Version != ProtocolVersion {
		return Hello{}, 0, ErrHandshake
	}
	return *hello, revision, nil
}

// addConn registers c and reports whether the node is still open.
func (n *Node) addConn(c *Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	n.wg.Add(1)
	return true
}

// serveConn runs the loops of c until the connection ends. It calls the
// handler's Connected before any frame and Disconnected after the last one.
func (n *Node) serveConn(ctx context.Context, c *Conn) {
	defer n.wg.Done()
	n.handler.Connected(c)
	errs := make(chan error, 2)
	go func() { errs <- c.writeLoop(ctx) }()
	go func() { errs <- c.readLoop(ctx) }()
	go n.pingLoop(ctx, c)
	err := <-errs
	c.Close()
	_ = c.ws.CloseNow()
	<-errs
	n.removeConn(c)
	c.doneErr = err
	close(c.done)
	n.handler.Disconnected(c, err)
}

// removeConn removes the ended connection c.
func (n *Node) removeConn(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	if d := n.dialed[c.dialedAddress]; d != nil && d.conn == c {
		delete(n.dialed, c.dialedAddress)
	}
	n.endedConnBytes.Add(c.sentBytes.Load())
}

// pingLoop sends pings, which measure the round-trip time, and closes the
// connection if nothing arrives within the idle timeout.
func (n *Node) pingLoop(ctx context.Context, c *Conn) {
	ticker := time.NewTicker(n.options.PingInterval)
	defer ticker.Stop()
	if c.dialedAddress != "" {
		c.Ping()
	}
	lastTick := n.options.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := n.options.Now()
		// After a pause of this process, received frames may still be unread.
		// The idle timeout is then checked one interval later. Without the
		// reset the ticker would keep its phase, and the next tick could come
		// at once.
		paused := now.Sub(lastTick) > 2*n.options.PingInterval
		if paused {
			ticker.Reset(n.options.PingInterval)
		}
		lastTick = now
		if !paused && now.Sub(c.LastRead()) > n.options.IdleTimeout {
			c.timedOut.Store(true)
			c.Close()
			return
		}
		// The dialing end's pings and their answers show each end that the other
		// is alive. The accepting end sends pings only if those pings are
		// missing; always sending them would cost two fifths of the messages on
		// an idle connection.
		if c.dialedAddress != "" || now.Sub(c.LastRead()) > 3*n.options.PingInterval/2 {
			c.Ping()
		}
	}
}

// Conns returns the open connections.
func (n *Node) Conns() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := make([]*Conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	return conns
}

// LinkDelays returns the measured round-trip times of the connections that this
// node dialed.
func (n *Node) LinkDelays() []LinkDelay {
	var links []LinkDelay
	for _, c := range n.Conns() {
		if rtt := c.RTT(); c.dialedAddress != "" && rtt > 0 {
			links = append(links, LinkDelay{Address: c.dialedAddress, RTTMicros: rtt.Microseconds()})
		}
	}
	return links
}

// Broadcast sends f to every open connection whose peer has the given role;
// an empty role means all.
func (n *Node) Broadcast(f Frame, role Role) {
	for _, c := range n.Conns() {
		if role == "" || c.peerHello.Role == role {
			_ = c.Send(f)
		}
	}
}

// SentBytes returns the number of frame bytes written since the node started.
func (n *Node) SentBytes() uint64 {
	total := n.endedConnBytes.Load()
	for _, c := range n.Conns() {
		total += c.sentBytes.Load()
	}
	return total
}

// Close ends all connections and waits until they have ended. The node accepts
// and dials no connections afterwards.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, c := range n.Conns() {
		c.Close()
	}
	n.wg.Wait()
}
