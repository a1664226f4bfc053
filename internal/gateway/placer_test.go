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

// silentEngines never answer an order.
type silentEngines struct{ noEngines }

func (silentEngines) OrderLayers(ctx context.Context, _ fleet.Instance, _ fleet.LayerRange, _ int64) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against orders without an answer whose outcome is lost: the instance
// counted as loading for 5 s and more (an own day, the placing gateway lost
// while orders are late).
func TestUnansweredOrdersAreNoted(t *testing.T) {
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	g.engines = silentEngines{}
	p := newPlacer(g, &awayLease{})
	const orders = 20
	for range orders {
		go p.order(context.Background(), placement.Move{Instance: fleet.Instance{ID: "i"}}, 0)
	}
	for range orders {
		r := <-p.results
		assert.ErrorIs(t, r.err, context.DeadlineExceeded)
	}
}
