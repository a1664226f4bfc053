// Package placement decides which layers of a model each instance holds. It
// changes as little as it can: instances keep what they hold, and one is moved
// only if that mends a hole or is worth the load. It performs no I/O.
package placement

import (
	"cmp"
	"slices"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// slowFactor is the step factor, relative to the fastest type, from which
	// a type counts as slow.
	slowFactor = 4
	// fastTokensMin and fastTokensMax bound the KV cache in tokens that the
	// fast instances keep free for each of their layers; tokensStep is the
	// step between the sizes that are tried.
	fastTokensMin = 50_000
	fastTokensMax = 110_000
	tokensStep    = 5_000
	// slowTokens is the same for slow instances, which hold second copies.
	slowTokens = 45_000
	// scarceTokens is the least that an instance keeps free where layers
	// would have no holder otherwise.
	scarceTokens = 10_000
)

// Move is an order to an instance to hold layers.
type Move struct {
	Instance fleet.Instance
	Layers   fleet.LayerRange
}

// Plan returns the moves that complete the placement of a service in one
// failure domain. instances are the usable ones; pending are the ranges that
// were ordered and are not reported yet, by instance.
func Plan(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) []Move {
	p := newPlan(m, instances, pending)
	moves := lastOfEach(append(p.fill(), p.mend()...))
	if len(moves) == 0 && len(pending) == 0 {
		// One improvement at a time: each takes an instance out of service.
		if move, ok := p.improve(); ok {
			moves = append(moves, move)
		}
	}
	return moves
}

// lastOfEach keeps the last move of each instance.
func lastOfEach(moves []Move) []Move {
	var kept []Move
	for i, move := range moves {
		later := func(m Move) bool { return m.Instance.ID == move.Instance.ID }
		if !slices.ContainsFunc(moves[i+1:], later) {
			kept = append(kept, move)
		}
	}
	return kept
}

// MissingLayers returns the layers that no instance holds or has been ordered to
// hold.
func MissingLayers(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) int {
	return newPlan(m, instances, pending).missing()
}

type plan struct {
	model *routing.Model
	// instances are sorted, the fastest first.
	instances []fleet.Instance
	held      map[string]fleet.LayerRange
	// loading are the instances with an order in progress; they refuse others.
	loading map[string]fleet.LayerRange
	fastest float64
	// fastTokens and slowTokens are the KV cache that fast and slow instances
	// keep free.
	fastTokens, slowTokens float64
}

func newPlan(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) *plan {
	p := &plan{model: m, held: make(map[string]fleet.LayerRange), loading: pending}
	for _, in := range instances {
		kind, ok := m.Accelerators[in.Accelerator]
		if !ok {
			continue
		}
		if p.fastest == 0 || kind.StepFactor < p.fastest {
			p.fastest = kind.StepFactor
		}
		p.instances = append(p.instances, in)
		p.held[in.ID] = in.Layers
		if ordered, ok := pending[in.ID]; ok {
			p.held[in.ID] = ordered
		}
	}
	slices.SortFunc(p.instances, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(p.kind(a).StepFactor, p.kind(b).StepFactor), cmp.Compare(a.ID, b.ID))
	})
	p.chooseTokens()
	return p
}

func (p *plan) kind(in fleet.Instance) routing.Accelerator {
	return p.model.Accelerators[in.Accelerator]
}

func (p *plan) slow(in fleet.Instance) bool { return p.kind(in).StepFactor >= slowFactor*p.fastest }

// all returns the layers of the model.
func (p *plan) all() fleet.LayerRange { return fleet.LayerRange{To: p.model.Layers} }

func (p *plan) hold(id string, layers fleet.LayerRange) { p.held[id] = layers }

// chooseTokens takes the largest KV cache with which the fast instances still
// hold all layers among them, or, if they can't, all instances.
func (p *plan) chooseTokens() {
	p.slowTokens = slowTokens
	for p.fastTokens = fastTokensMax; p.fastTokens >= fastTokensMin; p.fastTokens -= tokensStep {
		if p.layersOf(false) >= p.model.Layers {
			return
		}
	}
	for ; p.fastTokens > scarceTokens; p.fastTokens -= tokensStep {
		p.slowTokens = min(slowTokens, p.fastTokens)
		if p.layersOf(false)+p.layersOf(true) >= p.model.Layers {
			return
		}
	}
}

// layersOf returns how many layers the slow or the fast instances hold.
func (p *plan) layersOf(slow bool) int {
	layers := 0
	for _, in := range p.instances {
		if p.slow(in) == slow {
			layers += p.size(in)
		}
	}
	return layers
}

// size returns how many layers an instance holds.
func (p *plan) size(in fleet.Instance) int {
	if p.slow(in) {
		return p.fit(in, p.slowTokens)
	}
	return p.fit(in, p.fastTokens)
}

// fit returns how many layers leave room for the KV cache of tokens.
func (p *plan) fit(in fleet.Instance, tokens float64) int {
	layers := 0
	for layers < p.model.Layers && p.tokens(in, layers+1) >= tokens {
		layers++
	}
	return layers
}

// tokens returns the KV cache in tokens of an instance that holds layers.
func (p *plan) tokens(in fleet.Instance, layers int) float64 {
	return chain.Capacity(p.model, p.kind(in), layers) / float64(max(layers, 1))
}

// missing returns the number of layers without a holder.
func (p *plan) missing() int {
	missing := 0
	for layer := range p.model.Layers {
		if !slices.ContainsFunc(p.instances, func(in fleet.Instance) bool {
			return p.held[in.ID].Contains(layer)
		}) {
			missing++
		}
	}
	return missing
}

// fill gives each empty instance the layers that need a copy most.
func (p *plan) fill() []Move {
	var moves []Move
	for _, in := range p.instances {
		if p.held[in.ID].Len() > 0 {
			continue
		}
		if layers, gain := p.best(in, p.size(in), p.all()); gain > 0 {
			p.hold(in.ID, layers)
			moves = append(moves, Move{in, layers})
		}
	}
	return moves
}

func (p *plan) isLoading(in fleet.Instance) bool {
	_, loading := p.loading[in.ID]
	return loading
}

// largest returns the most layers that an instance may hold.
func (p *plan) largest(in fleet.Instance) int { return p.fit(in, scarceTokens) }

// worthwhile is the least gain for which an instance is moved though no layer
// lacks a holder: about what second copies of a tenth of the layers are worth.
const worthwhile = 4

// improve returns the move that gains most for its time, if no layer loses its
// only holder while the instance loads.
func (p *plan) improve() (Move, bool) {
	var best Move
	bestRate := 0.0
	for _, in := range p.instances {
		size, held := p.size(in), p.held[in.ID]
		for _, within := range []fleet.LayerRange{p.all(), held} {
			layers, gain := p.best(in, size, within)
			if gain <= worthwhile || !p.completeDuring(in, layers) {
				continue
			}
			if rate := gain / (1 + p.moveTime(in, layers).Seconds()); rate > bestRate {
				best, bestRate = Move{in, layers}, rate
			}
		}
	}
	return best, bestRate > 0
}

// completeDuring reports whether each layer has a holder while an instance
// moves: it goes on with the layers that it keeps.
func (p *plan) completeDuring(in fleet.Instance, layers fleet.LayerRange) bool {
	old := p.held[in.ID]
	defer p.hold(in.ID, old)
	p.hold(in.ID, old.Intersect(layers))
	return p.missing() == 0
}

// best returns the range of a length that is worth most for an instance in
// place of what it holds, and what the placement gains by it. The range lies
// within another one; of equal ranges the lowest is taken.
func (p *plan) best(in fleet.Instance, length int, within fleet.LayerRange) (fleet.LayerRange, float64) {
	length = min(length, within.Len())
	if length <= 0 {
		return fleet.LayerRange{}, 0
	}
	old := p.held[in.ID]
	p.hold(in.ID, fleet.LayerRange{})
	layers := p.layerCapacity()
	p.hold(in.ID, old)
	own := p.weight(in) * p.tokens(in, length)
	oldOwn := p.weight(in) * p.tokens(in, old.Len())
	gains := make([]float64, len(layers)+1)
	loss := 0.0
	for i, c := range layers {
		gains[i+1] = gains[i] + c.with(own).worth() - c.worth()
		if old.Contains(i) {
			loss += c.with(oldOwn).worth() - c.worth()
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

// weight discounts the KV cache of slow instances: their requests stay longer.
func (p *plan) weight(in fleet.Instance) float64 {
	const slowWeight = 0.5
	if p.slow(in) {
		return slowWeight
	}
	return 1
}

// capacity is the KV cache for one layer, in tokens: of all its holders, and
// of the largest of them.
type capacity struct{ total, largest float64 }

func (c capacity) with(tokens float64) capacity {
	return capacity{c.total + tokens, max(c.largest, tokens)}
}

// worth values the capacity for a layer as it is and after the loss of its
// largest holder. It grows ever more slowly, so that scarce layers come first.
func (c capacity) worth() float64 {
	const (
		// afterLoss is the weight of the state after a loss.
		afterLoss = 0.1
		// noHolder bounds the worth of the first copy, noSecond that of the
		// second one.
		noHolder = 0.05
		noSecond = 0.3
	)
	return usefulness(c.total, noHolder) + afterLoss*usefulness(c.total-c.largest, noSecond)
}

func usefulness(tokens, offset float64) float64 {
	// scale is a capacity with which a domain serves part of its load.
	const scale = 30_000
	return -1 / (tokens/scale + offset)
}

// layerCapacity returns the capacity for each layer.
func (p *plan) layerCapacity() []capacity {
	layers := make([]capacity, p.model.Layers)
	for _, in := range p.instances {
		held := p.held[in.ID]
		own := p.weight(in) * p.tokens(in, held.Len())
		for i := max(held.From, 0); i < min(held.To, len(layers)); i++ {
			layers[i] = layers[i].with(own)
		}
	}
	return layers
}
