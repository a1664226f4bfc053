package gateway

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/placement"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// unresponsiveEngines is an Engines that never answers an order.
type unresponsiveEngines struct{ failingEngines }

func (unresponsiveEngines) OrderLayers(ctx context.Context, _ fleet.Instance, _ fleet.LayerRange, _ int64) (Notice, error) {
	<-ctx.Done()
	return Notice{}, ctx.Err()
}

// Guards against losing the results of unanswered orders: the instances then
// counted as loading for 5 s and more. This happened when the gateway that
// places layers was lost while orders were delayed.
func TestUnansweredOrdersAreRecorded(t *testing.T) {
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	g.control.engines = unresponsiveEngines{}
	p := newPlacer(g, &leaseWithUnreachableStore{})
	const orders = 20
	for range orders {
		go p.runOrder(context.Background(), placement.LayerOrder{Instance: fleet.Instance{ID: "i"}}, 0)
	}
	for range orders {
		r := <-p.results
		assert.ErrorIs(t, r.err, context.DeadlineExceeded)
	}
}
