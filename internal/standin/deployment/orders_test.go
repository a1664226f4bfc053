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

// orderSender stands for an entry that gives orders.
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

// order sends an order with a fencing number and returns the answer.
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
		t.Fatal("no answer to the order")
		return nil
	}
}

// Guards against an order of a holder that was paused past its lease: it has no
// effect, whether or not the engine checks fencing numbers, and whether or not
// the next holder has already given an order. Without an answer from the store
// the sidecar takes no order.
func TestLateOrderHasNoEffect(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		for _, successorOrdered := range []bool{false, true} {
			t.Run(fmt.Sprintf("engine ignores fencing=%t, successor ordered=%t", ignores, successorOrdered), func(t *testing.T) {
				testLateOrder(t, ignores, successorOrdered)
			})
		}
	}
}

func testLateOrder(t *testing.T, ignores, successorOrdered bool) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := Start(Options{
		Domains: []string{"a"}, Stages: 1, Replicas: 1,
		Engine: standinengine.Config{Model: "m", ModelLayers: 2, Version: "1", IgnoreFencing: ignores},
	})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	const group = "m-stage0"
	node := d.Engines[0]
	holder := func(name string) *lease.Holder {
		h, err := lease.NewHolder(objectstore.NewLeases(d.PlatformClient), group, name, lease.Options{Duration: 200 * time.Millisecond})
		assert.NilError(t, err)
		return h
	}
	first, second := holder("first"), holder("second")
	assert.NilError(t, first.AcquireOrRenew(ctx))
	late, err := first.Check(time.Now())
	assert.NilError(t, err)
	// The first holder is paused here, past its lease.
	for second.AcquireOrRenew(ctx) != nil {
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
	current, err := second.Check(time.Now())
	assert.NilError(t, err)
	_, err = first.Check(time.Now())
	assert.ErrorIs(t, err, lease.ErrNotHeld)

	entryA, entryB := newOrderSender(t, "entry-a"), newOrderSender(t, "entry-b")
	want := "1"
	if successorOrdered {
		r := entryB.order(ctx, t, node.Sidecar.Address(), group, "2", current)
		assert.Equal(t, r.Error, "")
		want = "2"
	}
	r := entryA.order(ctx, t, node.Sidecar.Address(), group, "late", late)
	assert.Assert(t, r.Stale, "%+v", r)
	assert.Equal(t, node.Info().Version, want)

	faults := d.Platform.Faults()
	faults.Outage = "unavailable"
	d.Platform.SetFaults(faults)
	r = entryB.order(ctx, t, node.Sidecar.Address(), group, "3", current)
	assert.Assert(t, r.Error != "")
	assert.Equal(t, node.Info().Version, want)
}
