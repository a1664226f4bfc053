package deployment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/platform/objectstore"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// orderSender is a peer in the role of an entry that sends orders.
type orderSender struct {
	node    *peer.Node
	results chan *peer.OrderResult
}

func newOrderSender(t *testing.T, id string) *orderSender {
	s := &orderSender{results: make(chan *peer.OrderResult, 1)}
	s.node = peer.NewNode(peer.Hello{Role: peer.RoleEntry, ID: id}, s, func() uint64 { return 0 }, peer.Options{Secret: peerSecret})
	t.Cleanup(s.node.Close)
	return s
}

func (s *orderSender) Connected(*peer.Conn)           {}
func (s *orderSender) Disconnected(*peer.Conn, error) {}
func (s *orderSender) HandleFrame(_ *peer.Conn, f peer.Frame) {
	if r, ok := f.(*peer.OrderResult); ok {
		s.results <- r
	}
}

// order sends an order with a fencing number and returns the result.
func (s *orderSender) order(ctx context.Context, t *testing.T, address, group, version string, fencing uint64) *peer.OrderResult {
	t.Helper()
	conn, err := s.node.Dial(ctx, address)
	assert.NilError(t, err)
	assert.NilError(t, conn.Send(&peer.Order{
		Number: 1, Group: group, Fencing: fencing, Kind: string(engine.OrderLoadVersion), Version: version,
	}))
	select {
	case r := <-s.results:
		return r
	case <-ctx.Done():
		t.Fatal("no result of the order")
		return nil
	}
}

// Guards against the execution of an order whose sender was paused until after the
// expiry of its lease. The order has no effect, whether or not the engine checks
// fencing numbers, and whether or not the next holder has already sent an order.
// While the store is unavailable the sidecar executes no order.
func TestOrderAfterLeaseExpiryHasNoEffect(t *testing.T) {
	for _, ignoresFencing := range []bool{false, true} {
		for _, successorOrdered := range []bool{false, true} {
			t.Run(fmt.Sprintf("engine ignores fencing=%t, successor ordered=%t", ignoresFencing, successorOrdered), func(t *testing.T) {
				testOrderAfterLeaseExpiry(t, ignoresFencing, successorOrdered)
			})
		}
	}
}

func testOrderAfterLeaseExpiry(t *testing.T, ignoresFencing, successorOrdered bool) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := Start(Options{
		Domains: []string{"a"}, Stages: 1, Replicas: 1,
		Engine: standinengine.Config{Model: "m", ModelLayers: 2, Version: "1", IgnoreFencing: ignoresFencing},
	})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	const group = "m-stage0"
	node := d.Engines[0]
	newHolder := func(name string) *lease.Holder {
		h, err := lease.NewHolder(objectstore.NewLeases(d.PlatformClient), group, name, lease.Options{Duration: 200 * time.Millisecond})
		assert.NilError(t, err)
		return h
	}
	first, second := newHolder("first"), newHolder("second")
	assert.NilError(t, first.AcquireOrRenew(ctx))
	expiredToken, err := first.Check(time.Now())
	assert.NilError(t, err)
	// The first holder does not renew its lease, as if it were paused.
	for second.AcquireOrRenew(ctx) != nil {
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
	currentToken, err := second.Check(time.Now())
	assert.NilError(t, err)
	_, err = first.Check(time.Now())
	assert.ErrorIs(t, err, lease.ErrNotHeld)

	entryA, entryB := newOrderSender(t, "entry-a"), newOrderSender(t, "entry-b")
	wantVersion := "1"
	if successorOrdered {
		r := entryB.order(ctx, t, node.Sidecar.Address(), group, "2", currentToken)
		assert.Equal(t, r.Error, "")
		wantVersion = "2"
	}
	r := entryA.order(ctx, t, node.Sidecar.Address(), group, "late", expiredToken)
	assert.Assert(t, r.Stale, "%+v", r)
	assert.Equal(t, node.Info().Version, wantVersion)

	faults := d.Platform.Faults()
	faults.Outage = "unavailable"
	d.Platform.SetFaults(faults)
	r = entryB.order(ctx, t, node.Sidecar.Address(), group, "3", currentToken)
	assert.Assert(t, r.Error != "")
	assert.Equal(t, node.Info().Version, wantVersion)
}
