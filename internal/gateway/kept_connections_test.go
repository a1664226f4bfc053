package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/gossip"
)

// addServingPeer gives the gateway another one that serves, and waits until it is known.
func addServingPeer(t *testing.T, g *Gateway) {
	t.Helper()
	r, peer := newTestReporter(t, "g1"), newTestReporter(t, "g2")
	g.reporter.Store(r)
	peer.Update([]gossip.PeerRecord{{Peer: gossip.Peer{Name: "g1", Address: r.Address()}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.observeOtherGateways(time.Now()); !g.otherGateways.reachable(time.Now()) {
			return poll.Continue("the peer has not been heard yet")
		}
		return poll.Success()
	})
}

// Guards against clients that are refused by a stopping gateway although another one serves: the
// connections that they keep are closed between two requests, and the others stay open. Without
// another gateway all stay open.
func TestStopClosesKeptConnectionsWhileAnotherGatewayServes(t *testing.T) {
	for _, otherServes := range []bool{true, false} {
		t.Run(map[bool]string{true: "another serves", false: "no other serves"}[otherServes], func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, idempotentRoute, answerAll)
			g.settings.DrainTimeout = 6 * time.Second
			if otherServes {
				addServingPeer(t, g)
			}
			server, address := serveClients(t, g)
			kept, begun, unfinished := dialClient(t, address), dialClient(t, address), dialClient(t, address)
			for _, c := range []*client{kept, begun} {
				c.write(clientRequest)
				status, err := c.readStatus()
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
			}
			unfinished.write(clientRequest[:len(clientRequest)-len("0\r\n\r\n")] + "4\r\n\r\n") // a request in progress
			begin := time.Now()
			drained := make(chan error, 1)
			go func() { drained <- g.drain(server, begin) }()
			closing := newStop(begin, g.settings.DrainTimeout).closing()
			sleepUntil(begin.Add(acceptAllPeriod - time.Second))
			begun.write(clientRequest[:20]) // a part of the next request
			fresh := dialClient(t, address)
			assert.NilError(t, kept.conn.SetReadDeadline(closing.Add(-time.Second)))
			_, err := kept.reader.ReadByte()
			if otherServes {
				assert.ErrorIs(t, err, io.EOF)
				assert.Assert(t, !time.Now().Before(begin.Add(acceptAllPeriod-signalDelay)), "closed while all requests are accepted")
			} else {
				assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			}
			for name, c := range map[string]*client{"with a part of a request": begun, "without a request": fresh} {
				assert.NilError(t, c.conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
				_, err := c.reader.ReadByte()
				assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "connection %s: %v", name, err)
			}
			assert.NilError(t, <-drained)
		})
	}
}

// Guards against clients that a stopping gateway sends to wait for its restart although another one
// serves, and against those that come back before the load balancer sends clients to one: at the start of
// a stop, and when a gateway has just started again.
func TestRetryDelayInAStop(t *testing.T) {
	begun := time.Now()
	s := newStop(begun, 8*time.Second)
	type observation struct {
		at    time.Duration
		serve bool
	}
	tests := []struct {
		name         string
		observations []observation
		at           time.Duration
		least        time.Duration
		spread       time.Duration
		reachable    bool
	}{
		{"the balancer still sends clients here", []observation{{0, true}}, time.Second, 1300 * time.Millisecond, maxStopSpread, true},
		{"another serves", []observation{{0, true}, {3 * time.Second, true}}, 3 * time.Second, 0, maxStopSpread, true},
		{"another serves, at the end", []observation{{0, true}}, 8 * time.Second, 0, maxStopSpread, true},
		{"none serves, at the start", []observation{{0, false}}, time.Second, 7300 * time.Millisecond, 0, false},
		{"none serves", []observation{{0, false}}, 3 * time.Second, 5300 * time.Millisecond, 0, false},
		{"the last one has stopped", []observation{{0, true}, {3 * time.Second, false}}, 4 * time.Second, 4300 * time.Millisecond, 0, false},
		{"one starts", []observation{{0, false}, {4 * time.Second, true}}, 4 * time.Second, 1500 * time.Millisecond, maxStopSpread, false},
		{"one has started", []observation{{0, false}, {4 * time.Second, true}, {5 * time.Second, true}}, 6 * time.Second, 0, maxStopSpread, true},
		{
			"one has stopped and starts", []observation{{0, true}, {3 * time.Second, false}, {5 * time.Second, true}},
			5500 * time.Millisecond, time.Second, maxStopSpread, false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var others otherGateways
			for _, o := range tt.observations {
				others.observe(o.serve, begun.Add(o.at))
			}
			now := begun.Add(tt.at)
			assert.Equal(t, others.reachable(now), tt.reachable)
			for range 100 {
				delay := s.retryDelay(&others, now)
				assert.Assert(t, tt.least <= delay && delay <= tt.least+tt.spread, "%v", delay)
			}
		})
	}
}

// Guards against clients that are sent from one stopping gateway to the next, because the load
// balancer uses all gateways of a failure domain of which fewer than half are ready.
func TestClientsReachOther(t *testing.T) {
	tests := []struct {
		name                              string
		domainActive, domainTotal, active int
		want                              bool
	}{
		{"the only gateway", 0, 1, 0, false},
		{"the only one of its failure domain", 0, 1, 2, true},
		{"one of two", 1, 2, 1, true},
		{"two of three stop", 1, 3, 5, false},
		{"one of three stops", 2, 3, 2, true},
		{"half of them stop", 2, 4, 2, true},
		{"most stop", 2, 5, 9, false},
		{"all of the failure domain stop", 0, 5, 1, true},
		{"all stop", 0, 5, 0, false},
	}
	for _, tt := range tests {
		assert.Equal(t, clientsReachOther(tt.domainActive, tt.domainTotal, tt.active), tt.want, tt.name)
	}
}
