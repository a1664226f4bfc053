// Package clientconn carries out the decisions of package clientlimit on the connections of HTTP
// servers: it accounts for what clients send and don't read, and closes connections.
package clientconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
)

const (
	// fieldBytes is the memory of a header field besides its text, in the parsed request and in
	// the copy that is forwarded (see TestFieldsCostWhatIsAccounted).
	fieldBytes = 256
	// textFactor is how often the text of a head is held: in the parsed request and in its copy.
	textFactor = 2
	// takeTime is how long a request waits for the memory of connections that are being closed.
	takeTime = 100 * time.Millisecond
	takePoll = 2 * time.Millisecond
	// writePiece is how many bytes a client must read within a time, which is writeTimeout unless
	// SetWriteTimeout was called.
	writePiece   = 16 << 10
	writeTimeout = 10 * time.Second
	// refusalTime bounds the writing of the refusal of a request whose head is not complete.
	refusalTime = 20 * time.Millisecond
	// DiscardTime bounds the reading of the rest of a request that was answered before its end.
	DiscardTime = 250 * time.Millisecond
	sweepTime   = 250 * time.Millisecond
)

// ErrNoMemory means that a request finds no memory.
var ErrNoMemory = errors.New("no memory for another request")

// errEnded means that a request was ended because it made no progress while memory or connections
// were short. As a timeout, net/http does not answer it.
var errEnded = &endedError{}

type endedError struct{}

// Error implements error.
func (*endedError) Error() string { return "clientconn: request ended for lack of progress" }

// Timeout implements net.Error.
func (*endedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*endedError) Temporary() bool { return false }

// Is makes the error a failed read for lack of time.
func (*endedError) Is(target error) bool { return target == os.ErrDeadlineExceeded }

// Observer is told what a Guard does. It must not block.
type Observer interface {
	// ConnectionRefused is called for a connection that found no room.
	ConnectionRefused(client net.Addr)
	// ConnectionEnded is called for a connection that is closed for lack of progress.
	ConnectionEnded(client net.Addr, phase clientlimit.Phase)
	// RequestRefused is called for a request that found no memory.
	RequestRefused(client string)
}

// Guard keeps the clients of one or several servers within an account.
type Guard struct {
	account  *clientlimit.Account
	observer Observer
	// closeIdle closes an idle connection.
	closeIdle func(*Conn)
	// pieceTime is how long a client has to read writePiece.
	pieceTime time.Duration
}

// NewGuard returns a guard.
func NewGuard(a *clientlimit.Account, o Observer) *Guard {
	return &Guard{account: a, observer: o, closeIdle: func(c *Conn) { _ = c.Close() }, pieceTime: writeTimeout}
}

// Account returns the account.
func (g *Guard) Account() *clientlimit.Account { return g.account }

// OnCloseIdle sets how idle connections are closed. It is called before connections are accepted.
func (g *Guard) OnCloseIdle(f func(*Conn)) { g.closeIdle = f }

// SetWriteTimeout sets how long a client has to read each part of a response. It is called before
// connections are accepted.
func (g *Guard) SetWriteTimeout(d time.Duration) { g.pieceTime = d }

// Listen returns a listener whose connections are Conns, and that closes those without room.
func (g *Guard) Listen(l net.Listener) net.Listener {
	limitListener(l)
	return &listener{l, g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if conn := l.guard.open(tcp); conn != nil {
			return conn, nil
		}
	}
}

// open adds a connection, or closes it and returns nil if there is no room.
func (g *Guard) open(tcp *net.TCPConn) *Conn {
	conn := &Conn{TCPConn: tcp, guard: g}
	_ = tcp.SetReadBuffer(receiveBuffer)
	_ = tcp.SetWriteBuffer(sendBuffer)
	var address netip.Addr
	if a, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		address = a.AddrPort().Addr()
	}
	account, victims := g.account.Open(address, func(a *clientlimit.Connection) any {
		conn.account = a
		return conn
	}, time.Now())
	g.end(victims)
	if account == nil {
		g.observer.ConnectionRefused(tcp.RemoteAddr())
		refuse(tcp, time.Now())
		_ = tcp.Close()
		return nil
	}
	return conn
}

// Unguarded returns a connection without an account.
func Unguarded(tcp *net.TCPConn) *Conn { return &Conn{TCPConn: tcp} }

// Conn is a connection of a client.
type Conn struct {
	*net.TCPConn
	// guard and account are nil for an unguarded connection.
	guard   *Guard
	account *clientlimit.Connection
	// ended is true once the connection was closed for lack of progress.
	ended atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// head is true from the first byte of a request until its handler begins, handled while the
	// handler runs. headMemory is what was taken for the head.
	head, handled bool
	headMemory    int64
	// grown is true while the kernel may hold bodyBuffer of what the client sends.
	grown bool
}

// Read implements io.Reader. A head that finds no memory is refused.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.account == nil {
		return n, err
	}
	if c.ended.Load() {
		return 0, errEnded
	}
	if n > 0 && !c.received(p[:n]) {
		return 0, errEnded
	}
	return n, err
}

// received accounts for bytes that were read, and reports whether there was room.
func (c *Conn) received(p []byte) bool {
	now := time.Now()
	c.mu.Lock()
	if c.handled {
		c.mu.Unlock()
		c.account.Progress(len(p), now)
		return true
	}
	begins := !c.head
	c.head = true
	cost := int64(textFactor*len(p) + fieldBytes*bytes.Count(p, []byte{'\n'}))
	c.headMemory += cost
	c.mu.Unlock()
	if begins {
		c.account.Receive(0, now)
	} else {
		c.account.Progress(len(p), now)
	}
	if c.take(cost, now) {
		return true
	}
	c.guard.observer.RequestRefused(c.RemoteAddr().String())
	refuse(c.TCPConn, now)
	return false
}

// refuse answers that a request which has not been read has not run. The client may not get it if
// it is still sending.
func refuse(c *net.TCPConn, now time.Time) {
	_ = c.SetWriteDeadline(now.Add(refusalTime))
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// take takes memory, for which it closes other connections if necessary.
func (c *Conn) take(n int64, now time.Time) bool {
	return c.guard.Take(c.account, n, now)
}

// Take takes memory for a connection, for which it closes other connections if necessary.
func (g *Guard) Take(account *clientlimit.Connection, n int64, now time.Time) bool {
	end := now.Add(takeTime)
	for {
		result, victims := account.Take(n, now)
		g.end(victims)
		if result != clientlimit.Later || !now.Before(end) {
			return result == clientlimit.Taken
		}
		time.Sleep(takePoll)
		now = time.Now()
	}
}

// end closes connections that the account has chosen.
func (g *Guard) end(victims []*clientlimit.Connection) {
	for _, v := range victims {
		c, ok := v.Owner.(*Conn)
		if !ok {
			continue
		}
		phase, leaving := v.Leaving()
		if !leaving {
			continue
		}
		g.observer.ConnectionEnded(c.RemoteAddr(), phase)
		if phase == clientlimit.Idle {
			g.closeIdle(c)
			continue
		}
		c.end()
	}
}

// end closes a connection in the middle of a request that has not run, or of a response that the
// client does not read.
func (c *Conn) end() {
	c.ended.Store(true)
	// A reset discards what the client has not read, which would stay in the kernel's memory.
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Write implements io.Writer. It replaces the deadline for writing: a client has writeTimeout for
// each piece. One that does not read can be closed before.
func (c *Conn) Write(p []byte) (int, error) {
	if c.account == nil {
		return c.TCPConn.Write(p)
	}
	before := c.account.Send(time.Now())
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(c.guard.pieceTime))
		piece := p[written:min(written+writePiece, len(p))]
		n, err := c.TCPConn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			c.account.Restore(before, time.Now())
			return written, err
		}
		c.account.Progress(n, time.Now())
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.account != nil {
		c.account.Close()
	}
	return c.TCPConn.Close()
}

// BeginRequest accounts for a request whose head was parsed, and reports whether there is room.
func (c *Conn) BeginRequest(r *http.Request) bool {
	if c.account == nil {
		return true
	}
	cost := HeadBytes(r)
	c.mu.Lock()
	c.handled, c.head = true, false
	more := cost - c.headMemory
	c.headMemory = cost
	c.mu.Unlock()
	ok := true
	if more > 0 {
		// Heads that were read with the request before are not accounted for yet.
		ok = c.take(more, time.Now())
	} else {
		c.account.Release(-more)
	}
	return c.account.Work() && ok
}

// HeadBytes returns the memory of the head of a request.
func HeadBytes(r *http.Request) int64 {
	size := textFactor * (len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		size += textFactor*len(name) + fieldBytes*len(values)
		for _, value := range values {
			size += textFactor * len(value)
		}
	}
	return int64(size)
}

// SetIdle ends a request.
func (c *Conn) SetIdle() {
	if c.account == nil {
		return
	}
	c.mu.Lock()
	c.head, c.handled, c.headMemory = false, false, 0
	c.mu.Unlock()
	c.shrinkBuffer()
	c.account.SetIdle(time.Now())
}

// Account returns the account of the connection, nil if it has none.
func (c *Conn) Account() *clientlimit.Connection { return c.account }

// Run ends stalled requests while most of a limit is used, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(sweepTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, l := range g.account.Lingering() {
				if c, ok := l.Owner.(*Conn); ok {
					g.closeIdle(c)
				}
			}
			g.end(g.account.Sweep(now))
		}
	}
}

// LimitDiscard bounds the time for which the server reads the rest of a request body that the
// handler leaves before it sends the response. net/http has no limit for it.
func LimitDiscard(w http.ResponseWriter, limit time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
}
