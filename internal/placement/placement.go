// Package placement decides which layers of a model each instance holds. It
// changes as little as possible: an instance keeps its layers unless it is needed
// for a layer that no other instance holds, or the improvement justifies the
// loading time. The holders of a layer are the instances that hold it; a layer with
// two holders has a second copy. The package performs no I/O.
package placement

import (
	"cmp"
	"slices"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// slowFactor is the step factor, relative to the fastest accelerator type,
	// from which a type counts as slow.
	slowFactor = 4
	// fastTokensMin and fastTokensMax bound the KV cache, in tokens, that fast
	// instances reserve for each of their layers; tokensStep is the difference
	// between the sizes that are tried.
	fastTokensMin = 50_000
	fastTokensMax = 110_000
	tokensStep    = 5_000
	// slowTokens is the KV cache, in tokens, that slow instances, which hold
	// second copies, reserve for each of their layers.
	slowTokens = 45_000
	// minTokens is the smallest KV cache, in tokens, to which an instance is
	// reduced if layers would otherwise have no holder.
	minTokens = 10_000
)

// LayerOrder is an order to an instance to hold a layer range.
type LayerOrder struct {
	Instance fleet.Instance
	Layers   fleet.LayerRange
}

// Plan returns the orders that complete or improve the placement of a service in
// one failure domain. instances are the usable instances; pending holds, by
// instance id, the layer ranges that were ordered and that the instance has not
// reported yet.
func Plan(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) []LayerOrder {
	p := newPlan(m, instances, pending)
	orders := lastOrderPerInstance(append(p.assignEmptyInstances(), p.repairGaps()...))
	if len(orders) == 0 && len(pending) == 0 {
		// Only one improvement at a time, since each takes an instance out of
		// service while it loads.
		if order, ok := p.improve(); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// lastOrderPerInstance keeps the last order of each instance.
func lastOrderPerInstance(orders []LayerOrder) []LayerOrder {
	var kept []LayerOrder
	for i, order := range orders {
		sameInstance := func(m LayerOrder) bool { return m.Instance.ID == order.Instance.ID }
		if !slices.ContainsFunc(orders[i+1:], sameInstance) {
			kept = append(kept, order)
		}
	}
	return kept
}

// MissingLayers returns the number of layers that no instance holds or has been
// ordered to hold.
func MissingLayers(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) int {
	return newPlan(m, instances, pending).missingLayers()
}

// plan is a placement that is being changed: the ranges that the instances hold
// once all pending and planned orders are complete.
type plan struct {
	model *routing.Model
	// instances are sorted by step factor, the fastest first. The index of an
	// instance in this list identifies it in the other fields.
	instances []fleet.Instance
	accels    []routing.Accelerator
	held      []fleet.LayerRange
	// loading is true for the instances with an order in progress; such an
	// instance refuses further orders.
	loading []bool
	// layers are the holders of each layer, kept up to date by setHeld.
	layers []layerHolders
	// fastest is the lowest step factor of the instances.
	fastest float64
	// fastTokens and slowTokens are the KV cache, in tokens, that fast and slow
	// instances reserve for each of their layers.
	fastTokens, slowTokens float64
	// demand is the KV cache, in tokens for each layer, that requests use if the scarcest
	// layer is short of it, otherwise 0. slowness holds the factor by which each instance
	// is slower than usual for its type, at least 1.
	demand   float64
	slowness []float64
	// without is reused by capacitiesWithout, gains by bestRange.
	without []capacity
	gains   []float64
}

func newPlan(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) *plan {
	return newWeightedPlan(m, instances, pending, weights{})
}

// newWeightedPlan returns a plan for a given demand and for instances that are slow.
func newWeightedPlan(
	m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange, w weights,
) *plan {
	p := &plan{
		demand: w.tokens,
		model:  m, layers: make([]layerHolders, m.Layers), without: make([]capacity, m.Layers),
		gains: make([]float64, m.Layers+1),
	}
	for _, in := range instances {
		accelerator, ok := m.Accelerators[in.Accelerator]
		if !ok || !m.Has(in.Layers.From, in.Layers.To) {
			continue
		}
		if p.fastest == 0 || accelerator.StepFactor < p.fastest {
			p.fastest = accelerator.StepFactor
		}
		p.instances = append(p.instances, in)
	}
	slices.SortFunc(p.instances, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(m.Accelerators[a.Accelerator].StepFactor, m.Accelerators[b.Accelerator].StepFactor),
			cmp.Compare(a.ID, b.ID))
	})
	p.accels = make([]routing.Accelerator, len(p.instances))
	p.held = make([]fleet.LayerRange, len(p.instances))
	p.loading = make([]bool, len(p.instances))
	p.slowness = make([]float64, len(p.instances))
	for i, in := range p.instances {
		p.accels[i] = m.Accelerators[in.Accelerator]
		p.slowness[i] = max(w.slowness[in.ID], 1)
		layers := in.Layers
		if ordered, ok := pending[in.ID]; ok {
			// The model may have changed since the order.
			layers, p.loading[i] = ordered.Intersect(p.allLayers()), true
		}
		p.setHeld(i, layers)
	}
	p.chooseKVCacheSizes()
	return p
}

func (p *plan) isSlow(i int) bool { return p.accels[i].StepFactor >= slowFactor*p.fastest }

// allLayers returns the range of all layers of the model.
func (p *plan) allLayers() fleet.LayerRange { return fleet.LayerRange{To: p.model.Layers} }

// chooseKVCacheSizes sets fastTokens to the largest KV cache with which the fast
// instances together still hold all layers. If they can't, it lowers fastTokens
// and slowTokens until the fast and slow instances together do.
func (p *plan) chooseKVCacheSizes() {
	p.slowTokens = slowTokens
	for p.fastTokens = fastTokensMax; p.fastTokens >= fastTokensMin; p.fastTokens -= tokensStep {
		if p.totalTargetLayers(false) >= p.model.Layers {
			return
		}
	}
	for ; p.fastTokens > minTokens; p.fastTokens -= tokensStep {
		p.slowTokens = min(slowTokens, p.fastTokens)
		if p.totalTargetLayers(false)+p.totalTargetLayers(true) >= p.model.Layers {
			return
		}
	}
}

// totalTargetLayers returns the sum of targetLayers over the slow or the fast
// instances.
func (p *plan) totalTargetLayers(slow bool) int {
	layers, last := 0, 0
	for i := range p.instances {
		if p.isSlow(i) != slow {
			continue
		}
		// Instances of one accelerator type follow each other.
		if i == 0 || p.accels[i] != p.accels[i-1] {
			last = p.targetLayers(i)
		}
		layers += last
	}
	return layers
}

// targetLayers returns how many layers an instance is to hold.
func (p *plan) targetLayers(i int) int {
	if p.isSlow(i) {
		return p.layersThatFit(i, p.slowTokens)
	}
	return p.layersThatFit(i, p.fastTokens)
}

// layersThatFit returns how many layers an instance can hold beside a KV cache
// of the given number of tokens.
func (p *plan) layersThatFit(i int, tokens float64) int {
	layers := 0
	for layers < p.model.Layers && p.kvTokens(i, layers+1) >= tokens {
		layers++
	}
	return layers
}

// kvTokens returns the size in tokens of the KV cache of an instance that holds
// the given number of layers.
func (p *plan) kvTokens(i, layers int) float64 {
	return chain.KVCacheCapacity(p.model, p.accels[i], layers) / float64(max(layers, 1))
}

// missingLayers returns the number of layers that no instance holds.
func (p *plan) missingLayers() int {
	missing := 0
	for i := range p.layers {
		if p.layers[i].count == 0 {
			missing++
		}
	}
	return missing
}

// assignEmptyInstances gives each instance without layers the range that
// improves the placement most.
func (p *plan) assignEmptyInstances() []LayerOrder {
	var orders []LayerOrder
	for i, in := range p.instances {
		if p.held[i].Len() > 0 || p.loading[i] {
			continue
		}
		if layers, gain := p.bestRange(i, p.targetLayers(i), p.allLayers()); gain > 0 {
			p.setHeld(i, layers)
			orders = append(orders, LayerOrder{in, layers})
		}
	}
	return orders
}

// maxLayers returns the largest number of layers that an instance may hold.
func (p *plan) maxLayers(i int) int { return p.layersThatFit(i, minTokens) }

// minGain is the gain in utility that an order must exceed if every layer has a
// holder. It is about the utility of second copies of a tenth of the layers.
const minGain = 4

// improve returns the order with the highest gain in utility for its duration among
// those during which no layer loses its only holder.
func (p *plan) improve() (LayerOrder, bool) {
	var best LayerOrder
	bestRate := 0.0
	if p.missingLayers() > 0 {
		return best, false
	}
	for i, in := range p.instances {
		size, held := p.targetLayers(i), p.held[i]
		for _, within := range []fleet.LayerRange{p.allLayers(), held} {
			layers, gain := p.bestRange(i, size, within)
			if gain <= minGain || !p.staysComplete(i, layers) {
				continue
			}
			if rate := gain / (1 + p.orderDuration(i, layers).Seconds()); rate > bestRate {
				best, bestRate = LayerOrder{in, layers}, rate
			}
		}
	}
	return best, bestRate > 0
}

// staysComplete reports whether each layer has a holder while an instance loads
// layers. During that time the instance serves only the layers that it keeps. All
// layers must have a holder before.
func (p *plan) staysComplete(i int, layers fleet.LayerRange) bool {
	held := p.held[i]
	for layer := held.From; layer < held.To; layer++ {
		if !layers.Contains(layer) && p.layers[layer].count == 1 {
			return false
		}
	}
	return true
}

// bestRange returns the range of a given length, within another range, that
// improves the placement most if an instance holds it instead of its current
// layers, and the gain in utility. Of equally good ranges it returns the lowest.
func (p *plan) bestRange(i, length int, within fleet.LayerRange) (fleet.LayerRange, float64) {
	length = min(length, within.Len())
	if length <= 0 {
		return fleet.LayerRange{}, 0
	}
	old := p.held[i]
	newTokens := p.kvWeight(i) * p.kvTokens(i, length)
	oldTokens := p.kvWeight(i) * p.kvTokens(i, old.Len())
	gains := p.gains
	loss := 0.0
	for layer, c := range p.capacitiesWithout(i) {
		utility := p.utility(c)
		gains[layer+1] = gains[layer] + p.utility(c.add(newTokens)) - utility
		if old.Contains(layer) {
			loss += p.utility(c.add(oldTokens)) - utility
		}
	}
	best, bestGain := fleet.LayerRange{}, 0.0
	for from := within.From; from+length <= within.To; from++ {
		const tie = 1e-9
		if gain := gains[from+length] - gains[from] - loss; best.Len() == 0 || gain > bestGain+tie {
			best, bestGain = fleet.LayerRange{From: from, To: from + length}, gain
		}
	}
	return best, bestGain
}

// kvWeight returns the factor by which the KV cache of an instance counts. Instances of slow
// types, and those that are slower than usual for their type, count less, since their
// requests occupy the cache for longer.
func (p *plan) kvWeight(i int) float64 {
	const slowWeight = 0.5
	if p.isSlow(i) {
		return slowWeight / p.slowness[i]
	}
	return 1 / p.slowness[i]
}

// capacity is the KV cache for one layer, in tokens: the sum over all holders of
// the layer, and that of the largest holder.
type capacity struct{ total, largest float64 }

func (c capacity) add(tokens float64) capacity {
	return capacity{c.total + tokens, max(c.largest, tokens)}
}

// utility returns the value of the capacity for a layer, both with all holders
// and after the loss of the largest one. It is a concave function of the
// capacity, so that layers with little capacity take precedence.
func (p *plan) utility(c capacity) float64 {
	const (
		// afterLossWeight is the weight of the capacity that remains after the
		// loss of the largest holder.
		afterLossWeight = 0.1
		// firstCopyOffset bounds the gain of a layer's first copy,
		// secondCopyOffset that of its second copy.
		firstCopyOffset  = 0.05
		secondCopyOffset = 0.3
	)
	if p.demand > 0 {
		return shortageUtility(c.total / p.demand)
	}
	return concaveUtility(c.total, firstCopyOffset) +
		afterLossWeight*concaveUtility(c.total-c.largest, secondCopyOffset)
}

// shortageUtility returns a negative value that rises to 0 with the capacity, in units of the
// demand. It is so steep that the scarcest layers decide.
func shortageUtility(units float64) float64 {
	const offset = 0.3
	shortage := 1 / (units + offset)
	return -shortage * shortage * shortage * shortage
}

// concaveUtility returns a negative value that rises to 0 with the number of
// tokens. It is -1/offset at 0 tokens.
func concaveUtility(tokens, offset float64) float64 {
	// scale is the capacity, in tokens, that counts as one unit. A failure domain
	// with this capacity for each layer serves part of its load.
	const scale = 30_000
	return -1 / (tokens/scale + offset)
}
