package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

func newTestExchange(t *testing.T, name, address string) *gossip.Exchange {
	t.Helper()
	x, err := gossip.Listen(name, address, gossip.SharedState{
		Ledger: chain.NewLedger(), Directory: fleet.NewDirectory(),
		Budget: retry.NewBudget(0, time.Second, 0, func() int { return 1 }),
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = x.Run(ctx) }()
	return x
}

// Guards against a placement without a process: on ggra-nutmeg trouble-3
// --seed 12 the other contender stopped while the store was silent, and nobody
// placed layers for 7 s.
func TestLeaseDuringAPlannedStop(t *testing.T) {
	const address, peerAddress = "127.0.0.1:18731", "127.0.0.1:18732"
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	x := newTestExchange(t, "g2", address)
	g.exchange.Store(x)
	assert.Assert(t, g.ContendsForLease())
	g.stopAt.Store(time.Now().Add(time.Minute).UnixNano())
	assert.Assert(t, g.ContendsForLease() && !g.YieldsLease(), "no other gateway is there")

	peer := newTestExchange(t, "g1", peerAddress)
	peer.Update([]gossip.PeerRecord{{Peer: gossip.Peer{Name: "g2", Address: netip.MustParseAddrPort(address)}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !g.YieldsLease() || g.ContendsForLease() {
			return poll.Continue("the peer was not heard")
		}
		return poll.Success()
	})
	peer.SetRole(gossip.Role{Stopping: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.YieldsLease() || !g.ContendsForLease() {
			return poll.Continue("the peer seems to stay")
		}
		return poll.Success()
	})
}

// awayLease is a lease in a store that does not answer.
type awayLease struct{ back bool }

func (l *awayLease) Held(time.Time) bool { return false }

func (l *awayLease) StoreUnreachable() bool { return !l.back }

func (l *awayLease) HeldByOther() bool { return false }

// Guards against a placement without a process while the store is silent and
// the holder of the lease is gone: on sawt-muscat trouble-3 --seed 13 nobody
// placed layers for 11 s.
func TestFirstGatewayPlacesWithoutAStore(t *testing.T) {
	const address, peerAddress = "127.0.0.1:18733", "127.0.0.1:18734"
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	g.exchange.Store(newTestExchange(t, "g2", address))
	lease := &awayLease{}
	p := newPlacer(g, lease)
	p.tellPeers()
	now := time.Now()
	assert.Assert(t, !p.leads(now), "the holder may still be there")
	assert.Assert(t, p.leads(now.Add(orphanTime)))
	lease.back = true
	p.tellPeers()
	assert.Assert(t, p.leads(now.Add(orphanTime)), "nobody holds the lease yet")

	peer := newTestExchange(t, "g1", peerAddress)
	peer.SetRole(gossip.Role{Leading: true})
	peer.Update([]gossip.PeerRecord{{Peer: gossip.Peer{Name: "g2", Address: netip.MustParseAddrPort(address)}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.leads(time.Now()) {
			return poll.Continue("the holder was not heard")
		}
		return poll.Success()
	})
	lease.back = false
	peer.SetRole(gossip.Role{StoreUnreachable: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.tellPeers()
		if !p.orphaned(time.Now()) {
			return poll.Continue("the peer seems to lead")
		}
		return poll.Success()
	})
	assert.Assert(t, !g.comesFirst(time.Now()))
}
