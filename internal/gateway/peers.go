package gateway

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
)

const (
	// registerTimeout bounds one try to register, registerPause the time
	// between two.
	registerTimeout = time.Second
	registerPause   = time.Second
	// peerWatchWait is how long a watch for peers waits: they change seldom.
	peerWatchWait = 20 * time.Second
)

// joinPeers starts the exchange with the other gateways.
func (g *Gateway) joinPeers(ctx context.Context, group *errgroup.Group) error {
	if g.settings.PeerPort == 0 {
		return nil
	}
	address := net.JoinHostPort(g.settings.Address, strconv.Itoa(g.settings.PeerPort))
	exchange, err := gossip.Listen(g.settings.Instance, address,
		gossip.SharedState{Ledger: g.ledger, Directory: g.directory, Budget: g.budget})
	if err != nil {
		return err
	}
	self, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	g.exchange.Store(exchange)
	group.Go(func() error { return exchange.Run(ctx) })
	group.Go(func() error {
		g.register(ctx, gossip.Peer{Name: g.settings.Instance, Address: self})
		feed.New(g.platform.Gateways, &peerHandler{g}, peerWatchWait).Run(ctx)
		return nil
	})
	return nil
}

// contenders is the number of gateways that try to take the lease of the
// placement: the others would only cost calls to the store.
const contenders = 2

// ContendsForLease reports whether this gateway is one of those that try to take the
// lease: the first by name of those that are alive. One that stops contends
// only if no other stays.
func (g *Gateway) ContendsForLease() bool {
	x := g.exchange.Load()
	switch {
	case x == nil:
		return true
	case g.draining():
		return x.ActivePeerCount(time.Now()) == 0
	}
	return x.Rank(time.Now()) < contenders
}

// comesFirst reports whether this gateway is the first by name of those that
// are alive and not stopping.
func (g *Gateway) comesFirst(now time.Time) bool {
	x := g.exchange.Load()
	return x == nil || x.Rank(now) == 0 && (!g.draining() || x.ActivePeerCount(now) == 0)
}

// YieldsLease reports whether this gateway gives the lease up because it stops and
// another one can take it.
func (g *Gateway) YieldsLease() bool {
	x := g.exchange.Load()
	return g.draining() && x != nil && x.ActivePeerCount(time.Now()) > 0
}

// register makes this gateway known to the others.
func (g *Gateway) register(ctx context.Context, self gossip.Peer) {
	for ctx.Err() == nil {
		err := func() error {
			ctx, cancel := context.WithTimeout(ctx, registerTimeout)
			defer cancel()
			return g.platform.Gateways.Register(ctx, self)
		}()
		if err == nil {
			return
		}
		g.log.LogLimited(events.StoreLost).Str("feed", "registration").Err(err).Send()
		timer := time.NewTimer(registerPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// peerHandler keeps the set of gateways.
type peerHandler struct{ g *Gateway }

// Replace implements feed.Handler.
func (h *peerHandler) Replace(list []gossip.PeerRecord, _ uint64, _ bool) {
	h.g.exchange.Load().Update(list)
}

// Update implements feed.Handler.
func (h *peerHandler) Update(list []gossip.PeerRecord, _ uint64) { h.g.exchange.Load().Update(list) }

// SourceFailed implements feed.Handler.
func (h *peerHandler) SourceFailed(err error) {
	h.g.log.Log(events.StoreLost).Str("feed", "gateways").Err(err).Send()
}

// SourceRecovered implements feed.Handler.
func (h *peerHandler) SourceRecovered() {
	h.g.log.Log(events.StoreRegained).Str("feed", "gateways").Send()
}
