package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// defaultIdleLimit is how long a client's connection may be idle while no
	// configuration sets a limit.
	defaultIdleLimit = 30 * time.Second
	// idleMargin is added to the limit: clients reuse a connection until
	// shortly before the limit, and learn of a changed limit late.
	idleMargin = 2 * time.Second
)

// idleConnections closes client connections that have been idle for longer than
// the limit of the configuration in force. Unlike http.Server.IdleTimeout, this
// limit may change while the server runs.
type idleConnections struct {
	// mu guards idleSince.
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idleSince: make(map[net.Conn]time.Time)}
}

// track records the state of a connection; it is the ConnState callback of the
// http.Server.
func (i *idleConnections) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeIdle closes the connections that have been idle for longer than limit, and calls
// onClose for each.
func (i *idleConnections) closeIdle(limit time.Duration, now time.Time, onClose func(c net.Conn, idle time.Duration)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.idleSince {
		if idle := now.Sub(since); idle > limit {
			_ = c.Close()
			delete(i.idleSince, c)
			onClose(c, idle)
		}
	}
}

// closeIdleConnections closes the client connections that have been idle for too long.
func (g *Gateway) closeIdleConnections(now time.Time) {
	limit := g.idleLimit()
	g.idleConns.closeIdle(limit, now, func(c net.Conn, idle time.Duration) {
		g.log.LogRateLimited(events.ConnectionClosedIdle).Stringer("client", c.RemoteAddr()).
			Dur("idle_ms", idle).Dur("limit_ms", limit).Send()
	})
}

// idleLimit returns how long a client's connection may be idle.
func (g *Gateway) idleLimit() time.Duration {
	limit := defaultIdleLimit
	if t := g.activeTable.Get(); t != nil && t.Limits().IdleTimeout > 0 {
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
