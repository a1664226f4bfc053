package placement

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// Guards against layers that stay without a holder because an instance claims to hold
// layers that the model does not have.
func TestClaimsOfOtherLayersHoldNothing(t *testing.T) {
	for _, claim := range []fleet.LayerRange{
		{To: 81}, {To: math.MaxInt}, {From: 80, To: 81}, {From: -1, To: 80}, {From: math.MinInt, To: math.MaxInt}, {From: 9, To: 3},
	} {
		t.Run(fmt.Sprint(claim), func(t *testing.T) {
			odd := fleet.Instance{ID: "odd", Accelerator: "large", Layers: claim}
			list := append(instances(map[string]int{"large": 3}), odd)
			assert.Equal(t, MissingLayers(testModel(), list, nil), 80)
			orders := Plan(testModel(), list, nil)
			assert.Assert(t, len(orders) > 0)
			for _, o := range orders {
				assert.Assert(t, o.Instance.ID != odd.ID)
			}
			assert.Equal(t, MissingLayers(testModel(), applyOrders(list, orders), nil), 0)
		})
	}
}
