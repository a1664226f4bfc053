package placement

import (
	"cmp"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// repairGaps returns orders that provide holders for the layers that have none. It
// compares the results of two greedy searches: one prefers orders that leave the
// fewest layers without a holder, the other prefers orders that restore the most
// layers per second.
func (p *plan) repairGaps() []LayerOrder {
	if p.missingLayers() == 0 {
		return nil
	}
	best := p.greedyRepairs(fewestMissing)
	if other := p.greedyRepairs(highestRate); other.betterThan(best) {
		best = other
	}
	var orders []LayerOrder
	for _, r := range best.repairs {
		p.setHeld(r.instance, r.layers)
		orders = append(orders, LayerOrder{p.instances[r.instance], r.layers})
	}
	return orders
}

// orderSet is a set of orders that are carried out at the same time.
type orderSet struct {
	repairs []repair
	// missing is the number of layers that have no holder after the orders,
	// time the duration of the longest order, and utility the sum of the
	// utilities of all layers after the orders.
	missing int
	time    time.Duration
	utility float64
}

func (s orderSet) betterThan(other orderSet) bool {
	return cmp.Or(
		cmp.Compare(s.missing, other.missing), cmp.Compare(s.time, other.time), cmp.Compare(other.utility, s.utility),
	) < 0
}

// greedyRepairs adds one order after the other, each the best one according to
// better, until no order restores another layer. It leaves the plan unchanged.
func (p *plan) greedyRepairs(better func(a, b repair) bool) orderSet {
	s := orderSet{missing: p.missingLayers()}
	original := make(map[int]fleet.LayerRange)
	for s.missing > 0 {
		r, ok := p.bestRepair(s.missing, original, better)
		if !ok {
			break
		}
		original[r.instance] = p.held[r.instance]
		p.setHeld(r.instance, r.layers)
		s.repairs = append(s.repairs, r)
		s.missing, s.time, s.utility = r.missing, max(s.time, r.time), r.utility
	}
	for i, layers := range original {
		p.setHeld(i, layers)
	}
	return s
}

// bestRepair returns the best order that provides a holder for at least one layer
// that has none.
// It considers instances that are not loading and not in ordered; missing is the
// number of layers without a holder before the order.
func (p *plan) bestRepair(
	missing int, ordered map[int]fleet.LayerRange, better func(a, b repair) bool,
) (repair, bool) {
	var best repair
	found := false
	gaps := p.gaps()
	for i := range p.instances {
		if _, ok := ordered[i]; ok || p.loading[i] {
			continue
		}
		for _, layers := range p.candidateRanges(i, gaps) {
			r := p.evaluate(i, layers)
			r.restored = missing - r.missing
			if r.restored > 0 && (!found || better(r, best)) {
				best, found = r, true
			}
		}
	}
	return best, found
}

// fewestMissing prefers orders after which the fewest layers lack a holder, then
// the shortest orders, then those with the highest utility.
func fewestMissing(a, b repair) bool {
	return cmp.Or(
		cmp.Compare(a.missing, b.missing), cmp.Compare(a.time, b.time), cmp.Compare(b.utility, a.utility),
	) < 0
}

// highestRate prefers orders that restore the most layers per second, then those
// with the highest utility.
func highestRate(a, b repair) bool {
	return cmp.Or(cmp.Compare(b.rate(), a.rate()), cmp.Compare(b.utility, a.utility)) < 0
}

// repair is an order and the placement that results from it.
type repair struct {
	// instance is the index of the instance in the plan.
	instance int
	layers   fleet.LayerRange
	// missing is the number of layers that lack a holder after the order.
	missing int
	// restored is the number of layers that had no holder and get one by the
	// order.
	restored int
	time     time.Duration
	utility  float64
}

// rate returns the number of restored layers per second of the order.
func (r repair) rate() float64 {
	const minSeconds = 0.1
	return float64(r.restored) / max(r.time.Seconds(), minSeconds)
}

// candidateRanges returns the ranges with which an instance could fill a gap: its
// current layers extended over an adjacent gap, and the best ranges of its
// target and of its maximum size.
func (p *plan) candidateRanges(i int, gaps []fleet.LayerRange) []fleet.LayerRange {
	var ranges []fleet.LayerRange
	held, largest := p.held[i], p.maxLayers(i)
	for _, gap := range gaps {
		union := fleet.LayerRange{From: min(held.From, gap.From), To: max(held.To, gap.To)}
		if held.Len() > 0 && gap.From <= held.To && held.From <= gap.To && union.Len() <= largest {
			ranges = append(ranges, union)
		}
	}
	for _, size := range []int{p.targetLayers(i), largest} {
		if layers, _ := p.bestRange(i, size, p.allLayers()); layers.Len() > 0 {
			ranges = append(ranges, layers)
		}
	}
	return ranges
}

// gaps returns the contiguous ranges of layers without a holder.
func (p *plan) gaps() []fleet.LayerRange {
	var gaps []fleet.LayerRange
	for layer := range p.layers {
		if p.layers[layer].total > 0 {
			continue
		}
		if last := len(gaps) - 1; last >= 0 && gaps[last].To == layer {
			gaps[last].To = layer + 1
			continue
		}
		gaps = append(gaps, fleet.LayerRange{From: layer, To: layer + 1})
	}
	return gaps
}

// evaluate returns an order with its duration and the placement that results from
// it. It leaves the plan unchanged and does not set restored.
func (p *plan) evaluate(i int, layers fleet.LayerRange) repair {
	r := repair{instance: i, layers: layers, time: p.orderDuration(i, layers)}
	tokens := p.kvWeight(i) * p.kvTokens(i, layers.Len())
	for layer, c := range p.capacitiesWithout(i) {
		count := p.layers[layer].count
		if p.held[i].Contains(layer) {
			count--
		}
		if layers.Contains(layer) {
			c = c.add(tokens)
			count++
		}
		if count == 0 {
			r.missing++
		}
		r.utility += p.utility(c)
	}
	return r
}

// orderDuration estimates how long an instance takes to carry out an order. If it
// releases layers, it first finishes the requests that use them; then it loads the
// new layers.
func (p *plan) orderDuration(i int, layers fleet.LayerRange) time.Duration {
	const drainTime = 2 * time.Second
	held := p.held[i]
	kept := held.Intersect(layers).Len()
	t := loadTime(p.model, layers.Len()-kept)
	if kept < held.Len() && !p.isSlow(i) {
		t += drainTime
	}
	return t
}

// loadTime returns how long an instance takes to load a number of layers while few others load.
func loadTime(m *routing.Model, layers int) time.Duration {
	return time.Duration(layers) * m.LoadTime / time.Duration(m.Layers)
}
