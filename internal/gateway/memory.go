package gateway

import (
	"net"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// BytesPerMB is the unit of Settings.MemoryLimitMB.
	BytesPerMB = 1 << 20
	// clientMemoryFraction is the part of Settings.MemoryLimitMB that clients may cause. The
	// garbage collector needs as much again, and the gateway its own state.
	clientMemoryFraction = 0.25
	// defaultClientMemory is the limit in bytes if no memory limit is set.
	defaultClientMemory = 64 << 20
	// smallMemory and smallConnections bound the addresses for readiness checks and metrics, whose
	// clients have an account of their own: checks are answered whatever other clients do.
	smallMemory      = 4 << 20
	smallConnections = 32
)

// clientLimits returns the limits of all clients.
func (s Settings) clientLimits() clientlimit.Limits {
	l := clientlimit.Limits{Memory: defaultClientMemory}
	if s.MemoryLimitMB > 0 {
		l.Memory = int64(clientMemoryFraction * float64(s.MemoryLimitMB) * BytesPerMB)
	}
	fds := s.MaxFDs
	if fds <= 0 {
		fds = clientconn.DescriptorLimit()
	}
	l.Connections = clientconn.Connections(fds)
	return l
}

// newSmallGuard returns a guard for an address that few clients use.
func (g *Gateway) newSmallGuard() *clientconn.Guard {
	return clientconn.NewGuard(clientlimit.NewAccount(clientlimit.Limits{
		Memory: smallMemory, Connections: smallConnections,
	}), g.memory)
}

// memoryObserver logs and counts what the limits of clients do. It implements clientconn.Observer.
type memoryObserver struct {
	metrics *gatewayMetrics
	log     *events.Logger
}

// ConnectionRefused implements clientconn.Observer.
func (o *memoryObserver) ConnectionRefused(client net.Addr) {
	o.log.LogRateLimited(events.ClientConnectionRefused).Stringer("client", client).Send()
	o.metrics.recordLimited("connection_refused")
}

// ConnectionEnded implements clientconn.Observer.
func (o *memoryObserver) ConnectionEnded(client net.Addr, phase clientlimit.Phase) {
	o.log.LogRateLimited(events.ClientConnectionEnded).Stringer("client", client).Stringer("phase", phase).Send()
	o.metrics.recordLimited("connection_ended")
}

// RequestRefused implements clientconn.Observer.
func (o *memoryObserver) RequestRefused(client string) {
	o.log.LogRateLimited(events.ClientRequestRefused).Str("client", client).Send()
	o.metrics.recordLimited("request_refused")
}

// update sets the gauges.
func (o *memoryObserver) update(a *clientlimit.Account) {
	use := a.Use()
	o.metrics.clientMemory.Update(float64(use.Memory))
	o.metrics.clientConns.Update(float64(use.Connections))
}

// openAccount begins to account for the call, and reports whether there is room for it.
func (c *call) openAccount() bool {
	conn, ok := c.r.Context().Value(clientConnKey{}).(*clientConn)
	if ok {
		conn.setBusy()
	}
	if !ok || conn.Account() == nil {
		c.account = c.g.guard.Account().Detached(time.Now())
		return true
	}
	c.account = conn.Account()
	room := conn.BeginRequest(c.r)
	if !room {
		c.g.memory.RequestRefused(c.r.RemoteAddr)
	}
	return room
}

// charge accounts for memory that the call has taken already.
func (c *call) charge(n int64) {
	c.account.Charge(n)
	c.memory += n
}

// closeAccount releases the memory of the call.
func (c *call) closeAccount() { c.account.Release(c.memory) }
