// Package placement decides which layers of a model each instance holds. It
// changes as little as it can: instances keep what they hold, and only empty
// or redundant ones are moved. It performs no I/O.
package placement

import (
	"cmp"
	"slices"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// primaryTokens is the number of tokens of KV cache that the fast
	// instances keep free for each of their layers.
	primaryTokens = 60_000
	// backupTokens is the same for the slow instances, which hold second
	// copies and take what the fast ones can't.
	backupTokens = 30_000
	// slowFactor is the step factor, relative to the fastest type, from which
	// a type counts as slow.
	slowFactor = 4
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
	var moves []Move
	for range instances {
		move, ok := p.next()
		if !ok {
			break
		}
		p.apply(move)
		moves = append(moves, move)
	}
	return moves
}

type plan struct {
	model *routing.Model
	// instances are sorted, the fastest first.
	instances []fleet.Instance
	held      map[string]fleet.LayerRange
	cover     []int
	fastest   float64
}

func newPlan(m *routing.Model, instances []fleet.Instance, pending map[string]fleet.LayerRange) *plan {
	p := &plan{model: m, held: make(map[string]fleet.LayerRange), cover: make([]int, m.Layers)}
	for _, in := range instances {
		kind, ok := m.Accelerators[in.Accelerator]
		if !ok {
			continue
		}
		if p.fastest == 0 || kind.StepFactor < p.fastest {
			p.fastest = kind.StepFactor
		}
		p.instances = append(p.instances, in)
		layers := in.Layers
		if ordered, ok := pending[in.ID]; ok {
			layers = ordered
		}
		p.hold(in.ID, layers)
	}
	slices.SortFunc(p.instances, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(p.kind(a).StepFactor, p.kind(b).StepFactor), cmp.Compare(a.ID, b.ID))
	})
	return p
}

func (p *plan) kind(in fleet.Instance) routing.Accelerator {
	return p.model.Accelerators[in.Accelerator]
}

// hold records that an instance holds layers in place of its former ones.
func (p *plan) hold(id string, layers fleet.LayerRange) {
	p.count(p.held[id], -1)
	p.held[id] = layers
	p.count(layers, 1)
}

func (p *plan) count(r fleet.LayerRange, by int) {
	for i := max(r.From, 0); i < min(r.To, len(p.cover)); i++ {
		p.cover[i] += by
	}
}

func (p *plan) apply(m Move) { p.hold(m.Instance.ID, m.Layers) }

// size returns how many layers an instance holds so that its KV cache has
// room for the tokens of its role.
func (p *plan) size(in fleet.Instance) int {
	kind := p.kind(in)
	tokens := float64(primaryTokens)
	if kind.StepFactor >= slowFactor*p.fastest {
		tokens = backupTokens
	}
	layers := 0
	for layers < p.model.Layers && chain.Capacity(p.model, kind, layers+1) >= tokens*float64(layers+1) {
		layers++
	}
	return layers
}

// next returns the next move: an empty instance takes the layers with the
// least cover; if layers have no cover, a redundant instance takes them.
func (p *plan) next() (Move, bool) {
	for _, in := range p.instances {
		if p.held[in.ID].Len() > 0 {
			continue
		}
		if layers := p.window(p.size(in)); layers.Len() > 0 {
			return Move{in, layers}, true
		}
	}
	if !slices.Contains(p.cover, 0) {
		return Move{}, false
	}
	for _, in := range p.instances {
		if !p.redundant(p.held[in.ID]) {
			continue
		}
		if layers := p.window(p.size(in)); layers.Len() > 0 {
			return Move{in, layers}, true
		}
	}
	return Move{}, false
}

// redundant reports whether other instances cover all layers of a range.
func (p *plan) redundant(r fleet.LayerRange) bool {
	for i := max(r.From, 0); i < min(r.To, len(p.cover)); i++ {
		if p.cover[i] < 2 {
			return false
		}
	}
	return true
}

// need returns how much a further copy of a layer is worth: the first copies
// outweigh everything else.
func need(cover int) int {
	switch cover {
	case 0:
		return 10_000
	case 1:
		return 100
	case 2:
		return 1
	}
	return 0
}

// window returns the range of the given length whose layers need a copy most,
// the lowest of several. It is cut to the layers that need one as much as its
// first, so that ranges join without overlap.
func (p *plan) window(length int) fleet.LayerRange {
	length = min(length, len(p.cover))
	best, bestWorth := fleet.LayerRange{}, 0
	for from := 0; from < len(p.cover); from++ {
		to := min(from+length, len(p.cover))
		worth := 0
		for _, c := range p.cover[from:to] {
			worth += need(c)
		}
		if worth > bestWorth {
			best, bestWorth = fleet.LayerRange{From: from, To: to}, worth
		}
	}
	return best
}
