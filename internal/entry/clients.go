package entry

import (
	"math"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// clientMemoryFraction is the part of the runtime's memory limit that callers may cause,
	// defaultClientMemory the limit without one. It is enough for max_in_flight requests of
	// 64 KiB.
	clientMemoryFraction = 0.25
	defaultClientMemory  = 256 << 20
)

// adminLimits are the limits of operators. The largest object needs a part of the memory.
var adminLimits = clientlimit.Limits{Memory: 16 << 20, Connections: 64}

// clientLimits returns the limits of callers.
func clientLimits() clientlimit.Limits {
	l := clientlimit.Limits{Memory: defaultClientMemory, Connections: clientconn.Connections(clientconn.DescriptorLimit())}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		l.Memory = int64(clientMemoryFraction * float64(limit))
	}
	return l
}

// guarded returns a server that keeps its clients within limits.
func (e *Entry) guarded(s *http.Server, l net.Listener, limits clientlimit.Limits) boundServer {
	g := clientconn.NewGuard(clientlimit.NewAccount(limits), e)
	g.SetWriteTimeout(callerapi.DefaultWriteTimeout)
	g.Protect(s)
	return boundServer{server: s, listener: g.Listen(l), guard: g}
}

// ConnectionRefused implements clientconn.Observer.
func (e *Entry) ConnectionRefused(client net.Addr) {
	e.options.Log.LogRateLimited(events.CallerConnectionRefused).Stringer("client", client).Send()
	e.metrics.recordLimited("connection_refused")
}

// ConnectionEnded implements clientconn.Observer.
func (e *Entry) ConnectionEnded(client net.Addr, phase clientlimit.Phase) {
	e.options.Log.LogRateLimited(events.CallerConnectionEnded).Stringer("client", client).Stringer("phase", phase).Send()
	e.metrics.recordLimited("connection_ended")
}

// RequestRefused implements clientconn.Observer.
func (e *Entry) RequestRefused(client string) {
	e.options.Log.LogRateLimited(events.CallerRequestRefused).Str("client", client).Send()
	e.metrics.recordLimited("request_refused")
}
