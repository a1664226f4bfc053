package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleDefault is how long a client's connection may be unused before a
	// configuration names a limit.
	idleDefault = 30 * time.Second
	// idleMargin is added to the limit: clients use a connection nearly as
	// long as it, and a change of the limit reaches them late.
	idleMargin = 2 * time.Second
)

// idleConnections closes connections of clients that are unused for longer
// than the limit of the configuration in force, which changes while the server
// runs.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: make(map[net.Conn]time.Time)}
}

// track follows the state of a connection; it is an http.Server's ConnState.
func (i *idleConnections) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// reap closes the connections that are unused for longer than limit.
func (i *idleConnections) reap(limit time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}

// idleLimit returns how long a client's connection may be unused.
func (g *Gateway) idleLimit() time.Duration {
	limit := idleDefault
	if t := g.current.Get(); t != nil && t.Limits().IdleTimeout > 0 {
		limit = t.Limits().IdleTimeout
	}
	return limit + idleMargin
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
