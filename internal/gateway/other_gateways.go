package gateway

import (
	"sync"
	"time"
)

// rejoinTime is how long the load balancer needs from the first report of a gateway that has started
// until it sends clients to it: the gateway reads the store and is checked once a second.
const rejoinTime = 1500 * time.Millisecond

// otherGateways tells a stopping gateway whether, and from when on, the load balancer sends its clients
// to another one. It is safe for concurrent use.
type otherGateways struct {
	// mu guards the fields below.
	mu sync.Mutex
	// observed is true after the first call of observe.
	observed bool
	// serve is true if another gateway served at the latest observation, from is from when on
	// clients reach it.
	serve bool
	from  time.Time
}

// observe records whether clients reach another gateway that serves, as soon as the load balancer has
// found it ready. One that was there at the first observation has been found before.
func (o *otherGateways) observe(serve bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case serve && !o.observed:
		o.from = now
	case serve && !o.serve:
		o.from = now.Add(rejoinTime)
	}
	o.observed, o.serve = true, serve
}

// reachableFrom returns from when on clients reach another gateway, and false if none serves.
func (o *otherGateways) reachableFrom() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.from, o.serve
}

// reachable reports whether clients reach another gateway now.
func (o *otherGateways) reachable(now time.Time) bool {
	from, serve := o.reachableFrom()
	return serve && !now.Before(from)
}

// observeOtherGateways records whether the clients of this gateway reach another one.
func (g *Gateway) observeOtherGateways(now time.Time) {
	r := g.reporter.Load()
	if r == nil {
		return
	}
	active, peers := r.MemberCounts(now)
	g.otherGateways.observe(clientsReachOther(active, peers+1, r.ActivePeerCount(now)), now)
}

// clientsReachOther reports whether a load balancer sends the clients of a stopping gateway to a gateway
// that serves. domainActive of the domainTotal gateways of the failure domain serve, and active of
// all. If fewer than half of them are ready, it sends clients to all gateways of the failure domain,
// the stopping ones too; if none is, to other failure domains.
func clientsReachOther(domainActive, domainTotal, active int) bool {
	if domainActive == 0 {
		return active > 0
	}
	return 2*domainActive >= domainTotal
}
