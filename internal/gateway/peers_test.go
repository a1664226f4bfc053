package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// newTestReporter returns a running reporter.
func newTestReporter(t *testing.T, name string) *gossip.Reporter {
	t.Helper()
	r, err := gossip.Listen(gossip.Options{Name: name, Address: "127.0.0.1:0"}, gossip.SharedState{
		Tracker: chain.NewInstanceTracker(), Directory: fleet.NewDirectory(),
		Budget:     retry.NewBudget(retry.Limits{}, func() int { return 1 }, time.Time{}),
		Quarantine: quarantine.NewRegister(),
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = r.Run(ctx) }()
	return r
}

// Checks that a gateway that is shutting down yields the lease and stops contending
// for it only while another gateway runs that is not shutting down. When the only
// other contender for the lease stopped while the store was not responding, no
// gateway placed layers for 7 s (deployment ggra-nutmeg, day trouble-3 of the
// users' test bench, seed 12).
func TestLeaseContentionDuringShutdown(t *testing.T) {
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	r := newTestReporter(t, "g2")
	g.reporter.Store(r)
	assert.Assert(t, g.ContendsForLease())
	g.currentStop.begin(newStop(time.Now(), time.Minute))
	assert.Assert(t, g.ContendsForLease() && !g.YieldsLease(), "must keep contending: no other gateway is running")

	peer := newTestReporter(t, "g1")
	peer.Update([]gossip.PeerRecord{{Peer: gossip.Peer{Name: "g2", Address: r.Address()}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !g.YieldsLease() || g.ContendsForLease() {
			return poll.Continue("the peer has not been heard yet")
		}
		return poll.Success()
	})
	peer.SetStatus(gossip.Status{Stopping: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.YieldsLease() || !g.ContendsForLease() {
			return poll.Continue("the peer does not count as stopping yet")
		}
		return poll.Success()
	})
}

// leaseWithUnreachableStore is a lease that no gateway holds and whose store is
// unreachable until storeBack is set.
type leaseWithUnreachableStore struct{ storeBack bool }

func (l *leaseWithUnreachableStore) Held(time.Time) bool { return false }

func (l *leaseWithUnreachableStore) StoreUnreachable() bool { return !l.storeBack }

func (l *leaseWithUnreachableStore) HeldByOther() bool { return false }

func (l *leaseWithUnreachableStore) ObserveEra(uint64) {}

// Guards against a placement without a leader: when the lease holder was lost
// while the store was not responding, no gateway placed layers for 11 s
// (deployment sawt-muscat, day trouble-3 of the users' test bench, seed 13). Also
// checks that a gateway that leads without the lease stops when a peer leads.
func TestFirstGatewayPlacesWhenStoreUnreachable(t *testing.T) {
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	r := newTestReporter(t, "g2")
	g.reporter.Store(r)
	lease := &leaseWithUnreachableStore{}
	p := newPlacer(g, lease)
	p.publishStatus()
	now := time.Now()
	assert.Assert(t, !p.updateLeadership(now), "must not lead yet: the lease holder may still be alive")
	assert.Assert(t, p.updateLeadership(now.Add(takeoverDelay)))
	lease.storeBack = true
	p.publishStatus()
	assert.Assert(t, p.updateLeadership(now.Add(takeoverDelay)), "must continue to lead: no gateway holds the lease yet")

	peer := newTestReporter(t, "g1")
	peer.SetStatus(gossip.Status{Leading: true})
	peer.Update([]gossip.PeerRecord{{Peer: gossip.Peer{Name: "g2", Address: r.Address()}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.updateLeadership(time.Now()) {
			return poll.Continue("the leading peer has not been heard yet")
		}
		return poll.Success()
	})
	lease.storeBack = false
	peer.SetStatus(gossip.Status{LeaseUnavailable: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.publishStatus()
		if !p.noOtherLeaderAvailable(time.Now()) {
			return poll.Continue("the peer still counts as leading or reaching the store")
		}
		return poll.Success()
	})
	assert.Assert(t, !g.ranksFirst(time.Now()))
}

// Guards against a gateway that is never registered again because the store lost its entry
// before the gateway had listed the others: that list follows no outage.
func TestGatewayMissingInItsFirstListRegistersAgain(t *testing.T) {
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	g.reporter.Store(newTestReporter(t, "g1"))
	g.self = gossip.Peer{Name: "g1"}
	g.platform.Lease = &leaseWithEras{}
	h := &peerHandler{g}
	h.Replace(feed.Batch[gossip.PeerRecord]{}, false)
	assert.Equal(t, len(g.reregister), 0, "it has not registered yet")
	g.registered.Store(true)
	h.Replace(feed.Batch[gossip.PeerRecord]{Records: []gossip.PeerRecord{{Peer: g.self}}}, false)
	assert.Equal(t, len(g.reregister), 0)
	h.Replace(feed.Batch[gossip.PeerRecord]{}, false)
	assert.Equal(t, len(g.reregister), 1)
}
