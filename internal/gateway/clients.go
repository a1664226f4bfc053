package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// defaultIdleLimit is how long a client's connection may be idle while no
	// configuration sets a limit.
	defaultIdleLimit = 30 * time.Second
	// idleMargin is added to the limit: clients reuse a connection until
	// shortly before the limit.
	idleMargin = 2 * time.Second
	// limitLearningTime is how long clients may still use the idle limit of a configuration
	// that was replaced.
	limitLearningTime = 5 * time.Second
	// unusedTime is how long a connection must have been idle to be closed by a shutdown.
	// http.Server may read the first byte of the next request before it reports that the
	// connection is idle; it reads the rest at once.
	unusedTime = 50 * time.Millisecond
	// lastLookTime bounds the last read before a connection is closed.
	lastLookTime = time.Millisecond
)

// idleLimits holds the idle limit in force and those that clients may still use.
type idleLimits struct {
	// mu guards current and replaced.
	mu       sync.Mutex
	current  time.Duration
	replaced []replacedLimit
}

// replacedLimit is an idle limit that was replaced at a time.
type replacedLimit struct {
	limit time.Duration
	at    time.Time
}

// set replaces the limit in force. A limit of 0 is none, for which defaultIdleLimit applies.
func (l *idleLimits) set(limit time.Duration, now time.Time) {
	if limit <= 0 {
		limit = defaultIdleLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == l.current {
		return
	}
	if l.current > 0 {
		l.replaced = append(l.replaced, replacedLimit{l.current, now})
	}
	l.current = limit
}

// inForce returns the limit in force.
func (l *idleLimits) inForce() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == 0 {
		return defaultIdleLimit
	}
	return l.current
}

// longest returns the longest limit that clients may use.
func (l *idleLimits) longest(now time.Time) time.Duration {
	limit := l.inForce()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaced = slices.DeleteFunc(l.replaced, func(r replacedLimit) bool { return now.Sub(r.at) > limitLearningTime })
	for _, r := range l.replaced {
		limit = max(limit, r.limit)
	}
	return limit
}

// clientConns holds the open connections of clients. Unlike http.Server, which closes a
// connection that has read a part of a request as long as the head is incomplete, it closes
// only connections on which nothing was read since the last response. Unlike
// http.Server.IdleTimeout, the limit may change while the server runs. It is safe for
// concurrent use.
type clientConns struct {
	// mu guards the fields below.
	mu       sync.Mutex
	listener net.Listener
	open     map[*clientConn]struct{}
	// guarded holds the open connections by those that the guard knows.
	guarded map[*clientconn.Conn]*clientConn
	// guard bounds the connections and their memory.
	guard *clientconn.Guard
}

func newClientConns(g *clientconn.Guard) *clientConns {
	l := &clientConns{
		open: make(map[*clientConn]struct{}), guarded: make(map[*clientconn.Conn]*clientConn), guard: g,
	}
	g.OnCloseIdle(l.closeForRoom)
	return l
}

// closeForRoom closes an idle connection because another client needs its room, unless a request
// arrives on it.
func (l *clientConns) closeForRoom(c *clientconn.Conn) {
	l.mu.Lock()
	conn := l.guarded[c]
	l.mu.Unlock()
	if conn != nil {
		conn.closeIdle(0, time.Now())
	}
}

// listen returns a listener for the http.Server of the clients, which accepts their
// connections from another one.
func (l *clientConns) listen(from net.Listener) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = from
	return clientListener{l.guard.Listen(from)}
}

// stopAccepting closes the listener. Open connections stay open.
func (l *clientConns) stopAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		// An error means that it is closed.
		_ = l.listener.Close()
	}
}

// closeUnused closes the connections on which nothing was read since the last response, and
// reports whether no connection is open any more.
func (l *clientConns) closeUnused(now time.Time) bool {
	open := l.list()
	for _, c := range open {
		c.closeIdle(unusedTime, now)
	}
	return len(open) == 0
}

// closeKept closes the connections on which a response was sent and nothing was read since.
func (l *clientConns) closeKept(now time.Time) {
	for _, c := range l.list() {
		if c.wasUsed() {
			c.closeIdle(unusedTime, now)
		}
	}
}

// clientListener accepts the connections of clients as clientConn.
type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	switch conn := c.(type) {
	case *clientconn.Conn:
		return &clientConn{Conn: conn}, nil
	case *net.TCPConn:
		return &clientConn{Conn: clientconn.Unguarded(conn)}, nil
	}
	return c, nil
}

// track records the state of a connection; it is the ConnState callback of the
// http.Server.
func (l *clientConns) track(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open[conn] = struct{}{}
		l.guarded[conn.Conn] = conn
		conn.setIdle(time.Now())
	case http.StateIdle:
		conn.Conn.SetIdle()
		conn.setAnswered(time.Now())
	case http.StateClosed, http.StateHijacked:
		delete(l.open, conn)
		delete(l.guarded, conn.Conn)
	}
}

// list returns the open connections.
func (l *clientConns) list() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*clientConn, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

// closeIdle closes the connections that have been idle for longer than limit, and calls
// onClose for each.
func (l *clientConns) closeIdle(limit time.Duration, now time.Time, onClose func(c net.Conn, idle time.Duration)) {
	for _, c := range l.list() {
		if idle, ok := c.closeIdle(limit, now); ok {
			onClose(c, idle)
		}
	}
}

// clientConn is a connection of a client. Between two requests it can be closed without the
// loss of one: what was read decides, and a close ends the read in progress instead of the
// connection.
type clientConn struct {
	*clientconn.Conn

	// mu guards the fields below.
	mu sync.Mutex
	// idle is true from the start of the connection and from the end of a response until
	// something is read, idleSince when it began.
	idle      bool
	idleSince time.Time
	// closing is true once an idle connection is to be closed.
	closing bool
	// used is true once a response was sent on the connection.
	used bool
}

// clientConnKey is the key of the clientConn in the context of a request.
type clientConnKey struct{}

// withClientConn is the ConnContext callback of the http.Server.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// setBusy is called when a request begins, all of which may have been read with the one
// before. It ends a close in progress.
func (c *clientConn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.closing {
		c.closing = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *clientConn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, now
}

// setAnswered is called when a response ends.
func (c *clientConn) setAnswered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince, c.used = true, now, true
}

func (c *clientConn) wasUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// closeIdle makes the read in progress return io.EOF if the connection has been idle for
// longer than limit, so that the server closes it. It returns how long it has been idle, and
// whether it will be closed.
func (c *clientConn) closeIdle(limit time.Duration, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.idleSince)
	if !c.idle || idle <= limit {
		return idle, false
	}
	// http.Server may have reset the deadline since the last call.
	c.closing = true
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return idle, true
}

// Read implements io.Reader. Bytes that arrive end a close in progress.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		// A read after its deadline returns no bytes, not even those that have arrived.
		_ = c.SetReadDeadline(time.Now().Add(lastLookTime))
		if n, err = c.Conn.Read(p); n == 0 {
			return 0, io.EOF
		}
	}
	if n > 0 && c.idle {
		// http.Server sets the deadline of the head when it has read four bytes.
		c.idle, c.closing = false, false
		_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
	}
	return n, err
}

// closeIdleConnections closes the client connections that have been idle for too long.
func (g *Gateway) closeIdleConnections(now time.Time) {
	limit := g.idleLimits.longest(now) + idleMargin
	g.clients.closeIdle(limit, now, func(c net.Conn, idle time.Duration) {
		g.log.LogRateLimited(events.ConnectionClosedIdle).Stringer("client", c.RemoteAddr()).
			Dur("idle_ms", idle).Dur("limit_ms", limit).Send()
	})
}

// setConnectionHeaders tells a client for how long its connection may be idle, or that it is
// closed after the response.
func (g *Gateway) setConnectionHeaders(h http.Header) {
	if g.draining() {
		h.Set("Connection", "close")
		return
	}
	seconds := int(g.idleLimits.inForce() / time.Second)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
}

// headerBytes returns the size of the header fields of a request.
func headerBytes(h http.Header) int64 {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}
