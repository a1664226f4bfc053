package placement

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

const (
	// demandWindow is how long demand must last before it counts, and the minimum time
	// between two moves of a group that follow demand.
	demandWindow = 10 * time.Second
	// pressureShare is the used share of the KV cache of the scarcest layer from which on
	// moves follow the demand, slowPressureShare that beside a slow instance. While none is slow, a
	// move gains little and delays the requests of the instance that loads.
	pressureShare     = 0.9
	slowPressureShare = 0.7
	// minDemandGain is the share of the sum of the utilities by which a move must raise it.
	minDemandGain = 0.1
	// movesPerRound is the number of groups for which a move is sought in a round.
	movesPerRound = 4
	// minMovedLayers is the smallest number of layers that an instance is moved to.
	// movedPerLength is the number of instances of a group from which on fewer lengths are
	// tried.
	minMovedLayers = 4
	movedPerLength = 32
	// minSlowness is the factor from which on an instance counts as slow.
	minSlowness = 1.5
)

// Load is the load of the instances at one time, caused by all gateways.
type Load struct {
	// TokenLayers is the reserved KV cache of each instance: tokens times layers.
	TokenLayers map[string]float64
	// Slowness holds the factors, above 1, by which instances are slower than usual for
	// their accelerator type.
	Slowness map[string]float64
}

// weights change the utility of capacity.
type weights struct {
	// tokens is the KV cache, in tokens for each layer, that requests use if the scarcest
	// layer is short of it, otherwise 0.
	tokens float64
	// slowness holds the factors of slow instances.
	slowness map[string]float64
}

// demandSample is the load of a group at one time.
type demandSample struct {
	at time.Time
	// tokens is the KV cache, in tokens for each layer, that requests use, share its share of
	// the KV cache of the scarcest layer.
	tokens, share float64
}

// demandHistory is the load of a group within the latest demandWindow.
type demandHistory struct{ samples []demandSample }

// add adds a sample and drops those that are no longer needed.
func (h *demandHistory) add(s demandSample) {
	h.samples = append(h.samples, s)
	for len(h.samples) > 1 && s.at.Sub(h.samples[1].at) >= demandWindow {
		h.samples = h.samples[1:]
	}
}

// lasting returns the KV cache for each layer that requests have used during the whole
// demandWindow, or 0 if the used share of the scarcest layer was below least during some of that
// time.
func (h *demandHistory) lasting(least float64) float64 {
	if len(h.samples) == 0 {
		return 0
	}
	last := h.samples[len(h.samples)-1]
	if last.at.Sub(h.samples[0].at) < demandWindow {
		return 0
	}
	tokens := last.tokens
	for _, s := range h.samples {
		if s.share < least {
			return 0
		}
		tokens = min(tokens, s.tokens)
	}
	return tokens
}

// slowPeriod is a time during which an instance was slow.
type slowPeriod struct {
	since  time.Time
	factor float64
}

// sampleLoad records the load of all groups.
func (c *Coordinator) sampleLoad(r *Round) {
	for id := range c.slow {
		if r.Load.Slowness[id] < minSlowness {
			delete(c.slow, id)
		}
	}
	for id, factor := range r.Load.Slowness {
		if factor < minSlowness {
			continue
		}
		period, known := c.slow[id]
		if !known {
			period.since = r.Now
		}
		period.factor = factor
		c.slow[id] = period
	}
	for _, g := range r.Groups {
		c.groups[g.Name].demand.add(c.measureDemand(c.groups[g.Name], r))
	}
}

// measureDemand returns the load of a group.
func (c *Coordinator) measureDemand(g *group, r *Round) demandSample {
	s := demandSample{at: r.Now}
	used := make([]float64, g.Model.Layers)
	total := make([]float64, g.Model.Layers)
	for _, in := range g.Instances {
		held := in.Layers
		accelerator, ok := g.Model.Accelerators[in.Accelerator]
		if !ok || !g.Model.Has(held.From, held.To) || held.Len() == 0 {
			continue
		}
		tokens := r.Load.TokenLayers[in.ID] / float64(held.Len())
		size := chain.KVCacheCapacity(g.Model, accelerator, held.Len()) / float64(held.Len())
		if period, slow := c.slow[in.ID]; slow && r.Now.Sub(period.since) >= demandWindow {
			size /= period.factor
		}
		for layer := held.From; layer < held.To; layer++ {
			used[layer] += tokens
			total[layer] += size
		}
	}
	for layer := range used {
		s.tokens += used[layer] / float64(len(used))
		if total[layer] > 0 {
			s.share = max(s.share, used[layer]/total[layer])
		}
	}
	return s
}

// lastingSlowness returns the factors of the instances of a group that have been slow for
// demandWindow.
func (c *Coordinator) lastingSlowness(g *group, now time.Time) map[string]float64 {
	var slow map[string]float64
	for _, in := range g.Instances {
		if period, ok := c.slow[in.ID]; ok && now.Sub(period.since) >= demandWindow {
			if slow == nil {
				slow = make(map[string]float64)
			}
			slow[in.ID] = period.factor
		}
	}
	return slow
}

// weights returns the lasting demand and slowness of a group.
func (c *Coordinator) weights(g *group, now time.Time) weights {
	slow, least := c.lastingSlowness(g, now), pressureShare
	if len(slow) > 0 {
		least = slowPressureShare
	}
	return weights{tokens: g.demand.lasting(least), slowness: slow}
}

// followDemands seeks moves for some of the groups that are short of KV cache; the others follow in
// the next rounds.
func (c *Coordinator) followDemands(r *Round) {
	sought := 0
	for i := range c.names {
		index := (c.nextDemand + i) % len(c.names)
		if sought == movesPerRound {
			c.nextDemand = index
			return
		}
		if c.followDemand(c.groups[c.names[index]], r) {
			sought++
		}
	}
	c.nextDemand = 0
}

// followDemand queues a move of a group whose scarcest layer has been short of KV cache for
// demandWindow. It reports whether a move was sought.
func (c *Coordinator) followDemand(g *group, r *Round) bool {
	w := c.weights(g, r.Now)
	if w.tokens == 0 || !g.improved || r.Now.Sub(g.movedAt) < demandWindow ||
		r.Now.Sub(g.membersSince) < demandWindow || c.inProgress(g, r) {
		return false
	}
	base := newPlan(g.Model, c.plannable(g), c.pending(g, r))
	move, ok := newWeightedPlan(g.Model, c.plannable(g), c.pending(g, r), w).demandMove(base)
	if ok {
		g.movedAt = r.Now
		g.queue = append(g.queue, Order{LayerOrder: move, Move: true})
		g.fingerprint = c.fingerprint(g, r)
	}
	return true
}

// demandMove returns the order with the highest gain in utility among those during which no layer
// loses its only holder, and that base, the plan without demand, would not undo.
func (p *plan) demandMove(base *plan) (LayerOrder, bool) {
	var best LayerOrder
	total := 0.0
	for _, h := range p.layers {
		total += p.utility(capacity{h.total, h.first})
	}
	minimum := -minDemandGain * total
	bestGain := minimum
	if p.missingLayers() > 0 {
		return best, false
	}
	// Each length takes as long as an improvement.
	step := 1 + len(p.instances)/movedPerLength
	for i, in := range p.instances {
		for length := max(p.held[i].Len(), p.targetLayers(i)); length >= minMovedLayers; length -= step {
			layers, gain := p.bestRange(i, length, p.allLayers())
			if gain > bestGain && p.staysComplete(i, layers) && base.gain(i, layers) > -minGain {
				best, bestGain = LayerOrder{in, layers}, gain
			}
		}
	}
	return best, bestGain > minimum
}

// gain returns the gain in utility if an instance holds other layers than it does.
func (p *plan) gain(i int, layers fleet.LayerRange) float64 {
	old, gain := p.held[i], 0.0
	newTokens := p.kvWeight(i) * p.kvTokens(i, layers.Len())
	oldTokens := p.heldTokens(i)
	for layer, c := range p.capacitiesWithout(i) {
		if layers.Contains(layer) {
			gain += p.utility(c.add(newTokens))
		} else {
			gain += p.utility(c)
		}
		if old.Contains(layer) {
			gain -= p.utility(c.add(oldTokens))
		} else {
			gain -= p.utility(c)
		}
	}
	return gain
}
