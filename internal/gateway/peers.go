package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

const (
	// registerTimeout bounds one attempt to register, registerInterval is the
	// pause between two attempts.
	registerTimeout  = time.Second
	registerInterval = time.Second
	// registerSpread bounds the random delay of a registration after the store has lost
	// it. All gateways notice that at the same time.
	registerSpread = time.Second
)

// joinPeers starts exchanging state with the other gateways and registers this
// one. It does nothing if no peer port is set.
func (g *Gateway) joinPeers(ctx context.Context, group *errgroup.Group) error {
	if g.settings.PeerPort == 0 {
		return nil
	}
	address := net.JoinHostPort(g.settings.Address, strconv.Itoa(g.settings.PeerPort))
	self, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	options := gossip.Options{
		Name: g.settings.Instance, Address: address, Domain: g.settings.FailureDomain, Capacity: g.settings.Capacity,
	}
	state := gossip.SharedState{
		Tracker: g.tracker, Directory: g.directory, Budget: g.budget, Quarantine: g.quarantine,
		Demand: g.demand, OnDemandRejected: g.logDemandRejected,
		OnLeaving: g.notices.logLeaving,
	}
	reporter, err := gossip.Listen(options, state)
	if err != nil {
		return err
	}
	g.reporter.Store(reporter)
	group.Go(func() error { return reporter.Run(ctx) })
	g.self = gossip.Peer{Name: options.Name, Address: self, Domain: options.Domain}
	group.Go(func() error {
		g.keepRegistered(ctx)
		return nil
	})
	return nil
}

// leaseContenders is the number of gateways that try to acquire the lease of
// the placement. More would only add calls to the store.
const leaseContenders = gossip.MaxFirstNames

// otherGatewayServes reports whether another gateway is alive and not stopping.
func (g *Gateway) otherGatewayServes(now time.Time) bool {
	r := g.reporter.Load()
	return r != nil && r.ActivePeerCount(now) > 0
}

// ContendsForLease reports whether this gateway tries to acquire the lease: only the
// first leaseContenders live gateways by name do, while no peer is known to hold it. A
// gateway that is stopping contends only if all others are stopping or gone.
func (g *Gateway) ContendsForLease() bool {
	r, now := g.reporter.Load(), time.Now()
	switch {
	case r == nil:
		return true
	case r.LeaseHeld(now):
		return false
	case g.draining():
		return !g.otherGatewayServes(now)
	}
	return r.RankByName(now) < leaseContenders
}

// ranksFirst reports whether this gateway is the first by name of the live
// gateways that are not stopping. If all live gateways are stopping, each of them
// ranks first.
func (g *Gateway) ranksFirst(now time.Time) bool {
	r := g.reporter.Load()
	return r == nil || r.RankByName(now) == 0 && (!g.draining() || !g.otherGatewayServes(now))
}

// YieldsLease reports whether this gateway gives up the lease because it is
// stopping and another gateway can acquire it.
func (g *Gateway) YieldsLease() bool { return g.draining() && g.otherGatewayServes(time.Now()) }

// keepRegistered adds this gateway to the platform's list of gateways, and again whenever
// the store has lost it, until ctx ends.
func (g *Gateway) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		g.register(ctx)
		select {
		case <-ctx.Done():
		case <-g.reregister:
			process.Sleep(ctx, rand.N(registerSpread))
		}
	}
}

// register adds this gateway to the platform's list of gateways. It retries
// until that succeeds or ctx ends.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := func() error {
			ctx, cancel := context.WithTimeout(ctx, registerTimeout)
			defer cancel()
			return g.platform.Gateways.Register(ctx, g.self)
		}()
		if err == nil {
			g.registered.Store(true)
			return
		}
		g.log.LogRateLimited(events.GatewayStoreUnavailable).Str("feed", "registration").Err(err).Send()
		process.Sleep(ctx, registerInterval)
	}
}

// peerHandler passes the records of gateways to the reporter.
type peerHandler struct{ g *Gateway }

// Replace implements feed.Handler. After a restore, the store may lack this gateway.
func (h *peerHandler) Replace(b feed.Batch[gossip.PeerRecord], _ bool) {
	h.Update(b)
	listed := slices.ContainsFunc(b.Records, func(r gossip.PeerRecord) bool { return r.Peer == h.g.self })
	if listed || !h.g.registered.Load() {
		return
	}
	select {
	case h.g.reregister <- struct{}{}:
	default: // not yet registered again since the list before
	}
}

// Update implements feed.Handler.
func (h *peerHandler) Update(b feed.Batch[gossip.PeerRecord]) {
	h.g.reportChange(gatewayFeed, b.LatestChange)
	h.g.reporter.Load().Update(b.Records)
}

// SourceFailed implements feed.Handler.
func (h *peerHandler) SourceFailed(err error) {
	h.g.log.Log(events.GatewayStoreUnavailable).Str("feed", "gateways").Err(err).Send()
}

// SourceRecovered implements feed.Handler.
func (h *peerHandler) SourceRecovered() {
	h.g.log.Log(events.GatewayStoreRecovered).Str("feed", "gateways").Send()
}
