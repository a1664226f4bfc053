package chain

import (
	"math"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Capacities returns the KV cache, in tokens, that the usable instances of each service with a model
// have for requests: in each cell that of the layer with the least of it. It visits each
// instance once for all services.
func (t *InstanceTracker) Capacities(view *fleet.View, services map[string]*routing.Service, now time.Time) map[string]float64 {
	type group struct{ service, cell string }
	// changes holds how the tokens of a layer differ from those of the layer before.
	changes := make(map[group][]float64)
	lost := t.lostInstances(now)
	for _, in := range view.Instances {
		s := services[in.Service]
		if s == nil || s.Model == nil || in.Draining || in.Layers.Len() == 0 || !s.Model.Has(in.Layers.From, in.Layers.To) ||
			lost[in.ID] {
			continue
		}
		accelerator, ok := s.Model.Accelerators[in.Accelerator]
		if !ok {
			continue
		}
		tokens := KVCacheCapacity(s.Model, accelerator, in.Layers.Len()) * maxReservedShare / float64(in.Layers.Len())
		g := group{in.Service, view.Cell(&in)}
		layers := changes[g]
		if layers == nil {
			layers = make([]float64, s.Model.Layers+1)
			changes[g] = layers
		}
		layers[in.Layers.From] += tokens
		layers[in.Layers.To] -= tokens
	}
	capacities := make(map[string]float64)
	for g, layers := range changes {
		capacities[g.service] += leastSum(layers[:len(layers)-1])
	}
	return capacities
}

// lostInstances returns the instances that count as lost. The other instances are visited without the
// lock, for which requests wait.
func (t *InstanceTracker) lostInstances(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := make(map[string]bool)
	for id, state := range t.instances {
		if now.Before(state.lostUntil) {
			lost[id] = true
		}
	}
	return lost
}

// roundingError bounds the error of a sum of tokens.
const roundingError = 1e-3

// leastSum returns the least of the sums of the first values of a list, rounded down to a whole
// number except for roundingError: a layer that no instance holds may have a sum slightly above 0.
func leastSum(list []float64) float64 {
	sum := list[0]
	least := sum
	for _, x := range list[1:] {
		sum += x
		least = min(least, sum)
	}
	return math.Floor(max(least, 0) + roundingError)
}
