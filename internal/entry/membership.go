package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/platform"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// discoveryInterval is the time between reads of the platform's list.
	discoveryInterval = time.Second
	// staleReadings is the number of failed reads after which the list counts
	// as stale.
	staleReadings = 5
	// redialInterval is the time between looks for addresses to dial, and the
	// wait after the first failure to reach one. It doubles up to maxRedial.
	// A restarted upstream is often the only replacement for another one.
	redialInterval = 25 * time.Millisecond
	maxRedial      = time.Second
	// sweepInterval is the time between looks for missing heartbeats.
	sweepInterval = 100 * time.Millisecond
	// memberDialTimeout bounds one attempt to reach an address.
	memberDialTimeout = 2 * time.Second
	// forgetAddressAfter is how long an address is dialed after the list last
	// named it.
	forgetAddressAfter = 10 * time.Minute
)

// instanceLister reads the platform's list of instances.
type instanceLister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// membership keeps connections to the processes that the platform's list and
// the seeds name, and feeds the directory from their heartbeats.
type membership struct {
	node      *peer.Node
	directory *upstream.Directory
	lister    instanceLister
	self      string
	domain    string
	log       *events.Logger

	mu        sync.Mutex
	addresses map[string]*address
	leaving   map[string]bool
	domains   map[string]string
}

// address is a place to look for a process.
type address struct {
	lastListed time.Time
	seed       bool
	dialing    bool
	lastDial   time.Time
	// failures counts the attempts since the last success.
	failures int
}

func newMembership(node *peer.Node, directory *upstream.Directory, o Options) *membership {
	m := &membership{
		node: node, directory: directory, lister: o.Platform, self: o.Advertise, domain: o.FailureDomain, log: o.Log,
		addresses: make(map[string]*address), leaving: make(map[string]bool), domains: make(map[string]string),
	}
	for _, seed := range o.Seeds {
		m.addresses[seed] = &address{seed: true}
	}
	return m
}

// Run reads the list, dials, and looks for missing heartbeats until ctx ends.
func (m *membership) Run(ctx context.Context) {
	go m.discoveryLoop(ctx)
	redial := time.NewTicker(redialInterval)
	defer redial.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	m.dialAll(ctx)
	for {
		select {
		case <-redial.C:
			m.dialAll(ctx)
		case <-sweep.C:
			logTransitions(m.log, m.directory.Sweep(time.Now())...)
		case <-ctx.Done():
			return
		}
	}
}

func (m *membership) discoveryLoop(ctx context.Context) {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	failures := 0
	for {
		instances, err := m.lister.Instances(ctx)
		if err != nil {
			failures++
		} else {
			failures = 0
			m.install(instances)
			m.dialAll(ctx)
		}
		if failures == staleReadings {
			m.log.Log(events.InstanceListStale).Err(err).Send()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// install takes a reading of the list. Instances that it no longer names are
// kept for a while, because the list lags and has outages.
func (m *membership) install(instances []platform.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, i := range instances {
		if i.Address == m.self {
			continue
		}
		m.domains[i.Address] = i.FailureDomain
		a := m.addresses[i.Address]
		if a == nil {
			a = &address{}
			m.addresses[i.Address] = a
		}
		a.lastListed = now
		if i.State == platform.InstanceLeaving && i.Role == platform.RoleUpstream {
			m.markLeaving(i)
		}
	}
	for key, a := range m.addresses {
		if !a.seed && now.Sub(a.lastListed) > forgetAddressAfter {
			delete(m.addresses, key)
		}
	}
}

// markLeaving stops new work to an instance and tells its sidecar. The caller
// holds m.mu.
func (m *membership) markLeaving(i platform.Instance) {
	if t, err := m.directory.MarkLeaving(upstream.InstanceID(i.ID)); err == nil {
		logTransitions(m.log, t)
	}
	c := m.node.Connection(i.Address)
	if c == nil || m.leaving[c.Hello().Process] {
		return
	}
	if c.Send(&peer.Drain{Reason: "the platform's list says leaving"}) == nil {
		m.leaving[c.Hello().Process] = true
	}
}

// dialAll dials every known address without a connection.
func (m *membership) dialAll(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for key, a := range m.addresses {
		if key == m.self || a.dialing || now.Sub(a.lastDial) < a.wait() || m.node.Connection(key) != nil {
			continue
		}
		a.dialing = true
		a.lastDial = now
		go m.dial(ctx, key, a)
	}
}

func (m *membership) dial(ctx context.Context, key string, a *address) {
	dctx, cancel := context.WithTimeout(ctx, memberDialTimeout)
	defer cancel()
	_, err := m.node.Dial(dctx, key)
	if errors.Is(err, peer.ErrUnauthorized) || errors.Is(err, peer.ErrHandshake) {
		m.log.LogLimited(events.PeerRejected).Str("address", key).Err(err).Send()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a.dialing = false
	a.failures++
	if err == nil {
		a.failures = 0
	}
}

// wait returns the least time between two attempts to reach the address.
func (a *address) wait() time.Duration {
	const doublings = 6 // reach maxRedial
	return min(redialInterval<<min(a.failures, doublings), maxRedial)
}

// connected adds a sidecar to the directory.
func (m *membership) connected(c *peer.Conn) {
	h := c.Hello()
	m.mu.Lock()
	m.domains[h.Address] = h.FailureDomain
	m.mu.Unlock()
	if h.Role != peer.RoleSidecar {
		return
	}
	m.hello(c, h.Upstream)
}

func (m *membership) hello(c *peer.Conn, desc upstream.Descriptor) {
	h := c.Hello()
	m.directory.Register(time.Now(), upstream.Registration{
		ID: upstream.InstanceID(h.ID), Process: h.Process, Address: h.Address,
		Domain: h.FailureDomain, Descriptor: desc, Revision: c.PeerRevision(),
	})
}

// heartbeat installs a sidecar's report.
func (m *membership) heartbeat(c *peer.Conn, f *peer.Heartbeat) {
	h := c.Hello()
	if h.Role != peer.RoleSidecar {
		return
	}
	if f.Upstream != nil {
		m.hello(c, *f.Upstream)
	}
	delay := c.RTT() / 2
	transition, err := m.directory.Heartbeat(time.Now(), upstream.InstanceID(h.ID), h.Process, upstream.Heartbeat{
		State: f.State, Load: f.Load, LinkDelay: delay, Revision: c.PeerRevision(),
	})
	if err == nil {
		logTransitions(m.log, transition)
	}
	links := m.directory.Links()
	links.Observe(m.domain, h.FailureDomain, delay, 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, link := range f.Links {
		if to, ok := m.domains[link.Address]; ok {
			links.Observe(h.FailureDomain, to, time.Duration(link.RTTMicros/2)*time.Microsecond, 0)
		}
	}
}

// suspect makes an upstream suspect until its next heartbeat.
func (m *membership) suspect(u *upstream.Upstream) {
	if t, err := m.directory.ConnectionLost(u.ID, u.Process); err == nil {
		logTransitions(m.log, t)
	}
}

// disconnected makes a sidecar suspect.
func (m *membership) disconnected(c *peer.Conn) {
	h := c.Hello()
	if h.Role == peer.RoleSidecar {
		if t, err := m.directory.ConnectionLost(upstream.InstanceID(h.ID), h.Process); err == nil {
			logTransitions(m.log, t)
		}
	}
}
