package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Replacement is a decision to replace one stage of a chain.
type Replacement struct {
	// Decision holds the complete new chain. Its candidates and picks cover only
	// the new stages.
	Decision
	// Index is the index of the first new stage in the new chain and of the
	// removed stage in the old one.
	Index int `json:"index"`
	// Added is the number of new stages.
	Added int `json:"added"`
}

// ReplaceStage replaces one stage of a chain and keeps all others. It prefers
// an upstream with the same layer range and otherwise takes any sequence of
// groups that covers that range. The replaced upstream is always excluded.
// New stages have the chain's model version, because the state of the remaining
// stages depends on it. ReplaceStage returns ErrNoChain if there is no
// replacement. Its running time is linear in the number of the model's groups and
// independent of the number of upstreams.
func (p *Planner) ReplaceStage(now time.Time, rng *rand.Rand, c Chain, index int, r Request) (Replacement, error) {
	if index < 0 || index >= len(c.Stages) {
		return Replacement{}, fmt.Errorf("%w: stage %d of %d", ErrNoChain, index, len(c.Stages))
	}
	failed := c.Stages[index]
	r.Model = c.Model
	r.Exclude.Upstreams = append(slices.Clone(r.Exclude.Upstreams), failed.ID)
	s := p.wholeModelSpan(c.Layers)
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
		var sameRangeGroups, otherRangeGroups []*upstream.Group
		for _, g := range p.candidates(c.Model, r.Domains, r.Exclude) {
			switch {
			case g.Key.Version != c.Version || g.Key.ModelLayers != c.Layers:
			case g.Key.Layers == failed.Layers:
				sameRangeGroups = append(sameRangeGroups, g)
			default:
				otherRangeGroups = append(otherRangeGroups, g)
			}
		}
		sameRange, otherRanges := p.cheapestPaths(s, sameRangeGroups), p.cheapestPaths(s, otherRangeGroups)
		if d, ok = p.chooseFrom(now, rng, r, sameRange, ReasonSameLayers); !ok {
			d, ok = p.chooseFrom(now, rng, r, otherRanges, ReasonOtherLayers)
		}
		if ok || len(sameRange)+len(otherRanges) == 0 {
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
