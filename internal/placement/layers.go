package placement

import "github.com/nutmegroute/nutmegroute/internal/fleet"

// layerHolders sums up the holders of one layer, so that the effect of a change of one
// instance is known without the other instances.
type layerHolders struct {
	// count is the number of holders, total their KV cache for the layer in tokens.
	count int
	total float64
	// first is the KV cache of the largest holder, whose index is firstIndex, second that
	// of the second largest one.
	first, second float64
	firstIndex    int
}

// add adds a holder.
func (h *layerHolders) add(i int, tokens float64) {
	h.count++
	h.total += tokens
	switch {
	case h.count == 1 || tokens > h.first:
		h.second, h.first, h.firstIndex = h.first, tokens, i
	case tokens > h.second:
		h.second = tokens
	}
}

// without returns the capacity of the layer without a holder that has the given tokens.
func (h *layerHolders) without(i int, tokens float64) capacity {
	if h.count == 1 {
		return capacity{}
	}
	c := capacity{h.total - tokens, h.first}
	if i == h.firstIndex {
		c.largest = h.second
	}
	return c
}

// setHeld changes the layers that an instance holds.
func (p *plan) setHeld(i int, layers fleet.LayerRange) {
	old := p.held[i]
	p.held[i] = layers
	tokens := p.heldTokens(i)
	if old.Len() == 0 {
		for layer := layers.From; layer < layers.To; layer++ {
			p.layers[layer].add(i, tokens)
		}
		return
	}
	for _, changed := range []fleet.LayerRange{old, layers} {
		for layer := changed.From; layer < changed.To; layer++ {
			p.layers[layer] = layerHolders{}
		}
	}
	for other, held := range p.held {
		tokens := p.heldTokens(other)
		for layer := held.From; layer < held.To; layer++ {
			if old.Contains(layer) || layers.Contains(layer) {
				p.layers[layer].add(other, tokens)
			}
		}
	}
}

// heldTokens returns the weighted KV cache of an instance for each of the layers that it holds.
func (p *plan) heldTokens(i int) float64 { return p.kvWeight(i) * p.kvTokens(i, p.held[i].Len()) }

// capacitiesWithout returns the capacity of each layer without one instance. The result is
// valid until the next call.
func (p *plan) capacitiesWithout(i int) []capacity {
	held, tokens := p.held[i], p.heldTokens(i)
	for layer := range p.layers {
		h := &p.layers[layer]
		if held.Contains(layer) {
			p.without[layer] = h.without(i, tokens)
			continue
		}
		p.without[layer] = capacity{h.total, h.first}
	}
	return p.without
}
