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
	// discoveryInterval is the time between two reads of the platform's
	// instance list.
	discoveryInterval = time.Second
	// staleListFailures is the number of consecutive failed reads after which
	// the instance list is reported as stale.
	staleListFailures = 5
	// redialInterval is the time between checks for addresses to dial. It is
	// also the delay before an address without failed dials is dialed again;
	// the delay doubles with every consecutive failed dial up to
	// maxRedialDelay. The interval is short because a restarted upstream is
	// often the only one that can replace a failed upstream.
	redialInterval = 25 * time.Millisecond
	maxRedialDelay = time.Second
	// heartbeatCheckInterval is the time between checks for missing heartbeats.
	heartbeatCheckInterval = 100 * time.Millisecond
	// memberDialTimeout bounds one attempt to dial an address.
	memberDialTimeout = 2 * time.Second
	// addressExpiry is how long an address is dialed after the instance list
	// last contained it.
	addressExpiry = 10 * time.Minute
)

// instanceLister reads the platform's instance list.
type instanceLister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// membership maintains connections to the processes at the addresses of the
// platform's instance list and of the seeds, and updates the directory from
// their heartbeats.
type membership struct {
	node        *peer.Node
	directory   *upstream.Directory
	lister      instanceLister
	selfAddress string
	ownDomain   string
	log         *events.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// targets holds the dial state of each known address.
	targets map[string]*dialTarget
	// drainSent holds the process IDs of the sidecars that were told to drain.
	drainSent map[string]bool
	// domainByAddress holds the failure domain of each known address.
	domainByAddress map[string]string
}

// dialTarget is the dial state of one peer address.
type dialTarget struct {
	// lastListed is when the instance list last contained the address.
	lastListed time.Time
	seed       bool
	dialing    bool
	lastDial   time.Time
	// failures counts the failed dials since the last successful one.
	failures int
}

func newMembership(node *peer.Node, directory *upstream.Directory, o Options) *membership {
	m := &membership{
		node: node, directory: directory, lister: o.Platform, selfAddress: o.Advertise, ownDomain: o.FailureDomain, log: o.Log,
		targets: make(map[string]*dialTarget), drainSent: make(map[string]bool), domainByAddress: make(map[string]string),
	}
	for _, seed := range o.Seeds {
		m.targets[seed] = &dialTarget{seed: true}
	}
	return m
}

// Run reads the instance list, dials peers and checks for missing heartbeats
// until ctx ends.
func (m *membership) Run(ctx context.Context) {
	go m.discoveryLoop(ctx)
	redialCheck := time.NewTicker(redialInterval)
	defer redialCheck.Stop()
	heartbeatCheck := time.NewTicker(heartbeatCheckInterval)
	defer heartbeatCheck.Stop()
	m.dialMissing(ctx)
	for {
		select {
		case <-redialCheck.C:
			m.dialMissing(ctx)
		case <-heartbeatCheck.C:
			logTransitions(m.log, m.directory.Sweep(time.Now())...)
		case <-ctx.Done():
			return
		}
	}
}

// discoveryLoop reads the instance list periodically until ctx ends.
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
			m.updateTargets(instances)
			m.dialMissing(ctx)
		}
		if failures == staleListFailures {
			m.log.Log(events.InstanceListStale).Err(err).Send()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateTargets applies a read of the instance list. Addresses that the list no
// longer contains are kept for addressExpiry, because the list lags and has
// outages.
func (m *membership) updateTargets(instances []platform.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, instance := range instances {
		if instance.Address == m.selfAddress {
			continue
		}
		m.domainByAddress[instance.Address] = instance.FailureDomain
		target := m.targets[instance.Address]
		if target == nil {
			target = &dialTarget{}
			m.targets[instance.Address] = target
		}
		target.lastListed = now
		if instance.State == platform.InstanceLeaving && instance.Role == platform.RoleUpstream {
			m.markLeaving(instance)
		}
	}
	for address, target := range m.targets {
		if !target.seed && now.Sub(target.lastListed) > addressExpiry {
			delete(m.targets, address)
		}
	}
}

// markLeaving marks an instance as leaving, so that it gets no new work, and
// tells its sidecar to drain. The caller holds m.mu.
func (m *membership) markLeaving(instance platform.Instance) {
	if t, err := m.directory.MarkLeaving(upstream.InstanceID(instance.ID)); err == nil {
		logTransitions(m.log, t)
	}
	c := m.node.Connection(instance.Address)
	if c == nil || m.drainSent[c.Hello().Process] {
		return
	}
	if c.Send(&peer.Drain{Reason: "the platform's list says leaving"}) == nil {
		m.drainSent[c.Hello().Process] = true
	}
}

// dialMissing dials every known address that has no connection and whose redial
// delay has passed.
func (m *membership) dialMissing(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for address, target := range m.targets {
		if address == m.selfAddress || target.dialing || now.Sub(target.lastDial) < target.redialDelay() || m.node.Connection(address) != nil {
			continue
		}
		target.dialing = true
		target.lastDial = now
		go m.dial(ctx, address, target)
	}
}

func (m *membership) dial(ctx context.Context, address string, target *dialTarget) {
	dialCtx, cancel := context.WithTimeout(ctx, memberDialTimeout)
	defer cancel()
	_, err := m.node.Dial(dialCtx, address)
	if errors.Is(err, peer.ErrUnauthorized) || errors.Is(err, peer.ErrHandshake) {
		m.log.LogRateLimited(events.PeerRejected).Str("address", address).Err(err).Send()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	target.dialing = false
	target.failures++
	if err == nil {
		target.failures = 0
	}
}

// redialDelay returns the minimum time between the last dial and the next one.
// It grows with the number of failures.
func (t *dialTarget) redialDelay() time.Duration {
	const doublings = 6 // enough to reach maxRedialDelay
	return min(redialInterval<<min(t.failures, doublings), maxRedialDelay)
}

// handleConnect records the failure domain of a connected peer and, if the peer
// is a sidecar, adds its upstream to the directory.
func (m *membership) handleConnect(c *peer.Conn) {
	h := c.Hello()
	m.mu.Lock()
	m.domainByAddress[h.Address] = h.FailureDomain
	m.mu.Unlock()
	if h.Role != peer.RoleSidecar {
		return
	}
	m.addToDirectory(c, h.Upstream)
}

// addToDirectory adds a sidecar's upstream to the directory, or replaces it if
// its process, address, failure domain or descriptor has changed.
func (m *membership) addToDirectory(c *peer.Conn, desc upstream.Descriptor) {
	h := c.Hello()
	m.directory.Register(time.Now(), upstream.Registration{
		ID: upstream.InstanceID(h.ID), Process: h.Process, Address: h.Address,
		Domain: h.FailureDomain, Descriptor: desc, Revision: c.PeerRevision(),
	})
}

// handleHeartbeat updates the directory and the link measurements from a
// sidecar's heartbeat.
func (m *membership) handleHeartbeat(c *peer.Conn, heartbeat *peer.Heartbeat) {
	h := c.Hello()
	if h.Role != peer.RoleSidecar {
		return
	}
	if heartbeat.Upstream != nil {
		m.addToDirectory(c, *heartbeat.Upstream)
	}
	delay := c.RTT() / 2
	transition, err := m.directory.Heartbeat(time.Now(), upstream.InstanceID(h.ID), h.Process, upstream.Heartbeat{
		State: heartbeat.State, Load: heartbeat.Load, LinkDelay: delay, Revision: c.PeerRevision(),
	})
	if err == nil {
		logTransitions(m.log, transition)
	}
	// The bandwidth of a link is not measured, so 0 is passed for it.
	links := m.directory.Links()
	links.Observe(m.ownDomain, h.FailureDomain, delay, 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, link := range heartbeat.Links {
		if to, ok := m.domainByAddress[link.Address]; ok {
			links.Observe(h.FailureDomain, to, time.Duration(link.RTTMicros/2)*time.Microsecond, 0)
		}
	}
}

// markSuspect marks an upstream that did not answer a probe as suspect until its
// next heartbeat.
func (m *membership) markSuspect(u *upstream.Upstream) {
	if t, err := m.directory.MarkSuspect(u.ID, u.Process); err == nil {
		logTransitions(m.log, t)
	}
}

// handleDisconnect marks the upstream of a disconnected sidecar as suspect.
func (m *membership) handleDisconnect(c *peer.Conn) {
	h := c.Hello()
	if h.Role == peer.RoleSidecar {
		if t, err := m.directory.MarkSuspect(upstream.InstanceID(h.ID), h.Process); err == nil {
			logTransitions(m.log, t)
		}
	}
}
