package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Replacement is a decision that replaces one stage of a chain.
type Replacement struct {
	// Decision holds the whole new chain. Its candidates and picks are about
	// the new stages only.
	Decision
	// Index is the position of the first new stage, and of the removed one.
	Index int `json:"index"`
	// Added is the number of new stages.
	Added int `json:"added"`
}

// ReplaceStage replaces one stage of a chain and keeps all others. It prefers
// an upstream with the same layer range and otherwise takes any sequence of
// groups that covers that range. The replaced upstream is always excluded.
// New stages hold the chain's version, because the surviving stages' state
// depends on it. It returns ErrNoChain if there is no replacement. It is O(n)
// in the model's groups, not in the upstreams.
func (p *Planner) ReplaceStage(now time.Time, rng *rand.Rand, c Chain, index int, r Request) (Replacement, error) {
	if index < 0 || index >= len(c.Stages) {
		return Replacement{}, fmt.Errorf("%w: stage %d of %d", ErrNoChain, index, len(c.Stages))
	}
	failed := c.Stages[index]
	r.Model = c.Model
	r.Exclude.Upstreams = append(slices.Clone(r.Exclude.Upstreams), failed.ID)
	s := p.whole(c.Layers)
	s.layers = failed.Layers
	if index > 0 {
		s.source, s.sourceBytes = c.Stages[index-1].Domain, p.config.ActivationBytes
	}
	if index < len(c.Stages)-1 {
		s.target, s.targetBytes = c.Stages[index+1].Domain, p.config.ActivationBytes
	}
	var d Decision
	ok := false
	for range planAttempts {
		var same, other []*upstream.Group
		for _, g := range p.candidates(c.Model, r.Domains, r.Exclude) {
			switch {
			case g.Key.Version != c.Version || g.Key.ModelLayers != c.Layers:
			case g.Key.Layers == failed.Layers:
				same = append(same, g)
			default:
				other = append(other, g)
			}
		}
		direct, indirect := p.shortest(s, same), p.shortest(s, other)
		if d, ok = p.choose(now, rng, r, direct, ReasonSameLayers); !ok {
			d, ok = p.choose(now, rng, r, indirect, ReasonOtherLayers)
		}
		if ok || len(direct)+len(indirect) == 0 {
			break
		}
	}
	if !ok {
		return Replacement{}, fmt.Errorf("%w: no replacement for layers %s of model %q", ErrNoChain, failed.Layers, c.Model)
	}
	added := d.Chain.Stages
	d.Chain.Stages = slices.Concat(c.Stages[:index], added, c.Stages[index+1:])
	return Replacement{Decision: d, Index: index, Added: len(added)}, nil
}
