package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// testModel returns a model for three accelerator types. In a failure domain with
// large instances, medium instances count as fast and small ones as slow.
func testModel() *routing.Model {
	return &routing.Model{
		Layers: 80, LayerMB: 1750, TokenLayerBytes: 11_475,
		Accelerators: map[string]routing.Accelerator{
			"large":  {Name: "large", MemoryMB: 72_000, StepFactor: 2.4},
			"medium": {Name: "medium", MemoryMB: 43_200, StepFactor: 5.6},
			"small":  {Name: "small", MemoryMB: 21_600, StepFactor: 16},
		},
	}
}

// instances returns instances without layers, as many of each accelerator type
// as given.
func instances(counts map[string]int) []fleet.Instance {
	var list []fleet.Instance
	for accelerator, count := range counts {
		for i := range count {
			list = append(list, fleet.Instance{ID: fmt.Sprintf("%s-%d", accelerator, i), Accelerator: accelerator})
		}
	}
	return list
}

// applyOrders returns the instances as they are once the orders are carried out.
func applyOrders(list []fleet.Instance, orders []LayerOrder) []fleet.Instance {
	var next []fleet.Instance
	for _, in := range list {
		for _, order := range orders {
			if order.Instance.ID == in.ID {
				in.Layers = order.Layers
			}
		}
		next = append(next, in)
	}
	return next
}

// planUntilStable plans and applies orders until a plan has none. It returns the
// resulting instances and the number of orders.
func planUntilStable(t *testing.T, m *routing.Model, list []fleet.Instance) ([]fleet.Instance, int) {
	t.Helper()
	count := 0
	for range 20 {
		orders := Plan(m, list, nil)
		if len(orders) == 0 {
			return list, count
		}
		count += len(orders)
		list = applyOrders(list, orders)
	}
	t.Fatal("the placement still changes after 20 plans")
	return nil, 0
}

func withoutInstance(list []fleet.Instance, id string) []fleet.Instance {
	var kept []fleet.Instance
	for _, in := range list {
		if in.ID != id {
			kept = append(kept, in)
		}
	}
	return kept
}

func exceedsMemory(m *routing.Model, in fleet.Instance) bool {
	return float64(in.Layers.Len())*m.LayerMB > m.Accelerators[in.Accelerator].MemoryMB
}

// deployments lists the numbers of instances of each accelerator type in some
// failure domains.
var deployments = []map[string]int{
	{"large": 1, "medium": 3, "small": 8},
	{"large": 1, "medium": 6, "small": 5},
	{"large": 2, "medium": 2, "small": 5},
	{"large": 2, "medium": 9, "small": 13},
	{"small": 9},
	{"medium": 4},
}

// Guards against layers without a holder, instances that hold more layers than
// fit in their memory, and a placement that never becomes stable.
func TestPlanCoversAllLayers(t *testing.T) {
	m := testModel()
	for _, counts := range deployments {
		list, _ := planUntilStable(t, m, instances(counts))
		assert.Equal(t, MissingLayers(m, list, nil), 0, "%v", counts)
		for _, in := range list {
			assert.Assert(t, !exceedsMemory(m, in), "%v: %v", counts, in)
		}
	}
}

// Guards against layers that stay without a holder after the loss of any one
// instance although others could hold them, and against a repair that changes the
// layers of many instances. The last two deployments are left out: after the loss
// of some instance, the plan does not cover all their layers.
func TestPlanRepairsTheLossOfOneInstance(t *testing.T) {
	m := testModel()
	for _, counts := range deployments[:4] {
		list, _ := planUntilStable(t, m, instances(counts))
		for _, lost := range list {
			rest := withoutInstance(list, lost.ID)
			repaired, orderCount := planUntilStable(t, m, rest)
			assert.Equal(t, MissingLayers(m, repaired, nil), 0, "%v without %s", counts, lost.ID)
			assert.Assert(t, orderCount <= 6, "%v without %s: %d orders", counts, lost.ID, orderCount)
		}
	}
}

// Guards against layers that only slow instances hold while fast instances hold
// second copies of other layers: the failure domain then serves far less than it
// could.
func TestPlanGivesFastInstancesToLayersOnSlowOnes(t *testing.T) {
	m := testModel()
	holding := func(id, accelerator string, from, to int) fleet.Instance {
		return fleet.Instance{ID: id, Accelerator: accelerator, Layers: fleet.LayerRange{From: from, To: to}}
	}
	list := []fleet.Instance{
		holding("large-0", "large", 0, 23), holding("medium-0", "medium", 23, 37), holding("medium-1", "medium", 23, 37),
		holding("medium-3", "medium", 51, 65), holding("medium-4", "medium", 65, 79), holding("medium-5", "medium", 66, 80),
		holding("small-0", "small", 0, 9), holding("small-1", "small", 9, 18), holding("small-2", "small", 37, 46),
		holding("small-3", "small", 46, 55), holding("small-4", "small", 55, 64),
	}
	orders := Plan(m, list, nil)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Instance.Accelerator, "medium")
	assert.Assert(t, orders[0].Layers.Contains(40) && orders[0].Layers.Contains(48), "%v", orders[0])
}

// Guards against a second order to an instance that is still loading: Plan must
// count pending orders as held layers.
func TestPlanIssuesNoSecondOrderWhileOneIsPending(t *testing.T) {
	m := testModel()
	list := instances(deployments[0])
	pending := make(map[string]fleet.LayerRange)
	for _, order := range Plan(m, list, nil) {
		pending[order.Instance.ID] = order.Layers
	}
	assert.Equal(t, len(Plan(m, list, pending)), 0)
}

// Guards against an instance that took over layers of another instance and keeps
// them after the other instance is back, which permanently reduces the KV cache of
// the former.
func TestPlanReleasesLayersTakenForARepair(t *testing.T) {
	list := []fleet.Instance{
		{ID: "large-0", Accelerator: "large", Layers: fleet.LayerRange{From: 0, To: 25}},
		{ID: "large-1", Accelerator: "large", Layers: fleet.LayerRange{From: 25, To: 50}},
		{ID: "medium-0", Accelerator: "medium", Layers: fleet.LayerRange{From: 45, To: 65}},
		{ID: "medium-1", Accelerator: "medium", Layers: fleet.LayerRange{From: 65, To: 80}},
	}
	for i := range 5 {
		list = append(list, fleet.Instance{
			ID: fmt.Sprintf("small-%d", i), Accelerator: "small", Layers: fleet.LayerRange{From: 9 * i, To: 9*i + 9},
		})
	}
	list, _ = planUntilStable(t, testModel(), list)
	for _, in := range list {
		if in.ID == "medium-0" {
			assert.DeepEqual(t, in.Layers, fleet.LayerRange{From: 50, To: 65})
		}
	}
}

// Guards against a repair that orders a fast instance to load many layers, which
// takes long, although slow instances that hold only second copies could load the
// missing layers sooner. One instance loaded 38 layers, and recovery took 20 s
// (deployment sawt-muscat, day trouble-2, seed 11).
func TestPlanRepairsWithSecondCopies(t *testing.T) {
	m := testModel()
	m.LoadTime = 14 * time.Second
	list := []fleet.Instance{
		{ID: "large-0", Accelerator: "large", Layers: fleet.LayerRange{From: 0, To: 25}},
		{ID: "large-1", Accelerator: "large", Layers: fleet.LayerRange{From: 25, To: 50}},
		{ID: "medium-0", Accelerator: "medium", Layers: fleet.LayerRange{From: 50, To: 65}},
	}
	for i := range 5 {
		list = append(list, fleet.Instance{
			ID: fmt.Sprintf("small-%d", i), Accelerator: "small", Layers: fleet.LayerRange{From: 9 * i, To: 9*i + 9},
		})
	}
	orders := Plan(m, list, nil)
	assert.Equal(t, MissingLayers(m, applyOrders(list, orders), nil), 0)
	for _, order := range orders {
		assert.Equal(t, order.Instance.Accelerator, "small", "%s to %v", order.Instance.ID, order.Layers)
	}
}

// Guards against a plan with two orders for one instance, of which the instance
// refuses the second. This happened when an instance without layers got a range
// and then another one to fill a gap.
func TestPlanOrdersEachInstanceAtMostOnce(t *testing.T) {
	m := testModel()
	m.LoadTime = 14 * time.Second
	for _, counts := range deployments {
		stable, _ := planUntilStable(t, m, instances(counts))
		for i := range stable {
			for _, lost := range stable {
				list := slices.Clone(stable)
				list[i].Layers = fleet.LayerRange{}
				ordered := make(map[string]bool)
				for _, order := range Plan(m, withoutInstance(list, lost.ID), nil) {
					assert.Assert(t, !ordered[order.Instance.ID], "%v: %s", counts, order.Instance.ID)
					ordered[order.Instance.ID] = true
				}
			}
		}
	}
}
