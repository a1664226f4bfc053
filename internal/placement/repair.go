package placement

import (
	"cmp"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
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
	for _, order := range best.orders {
		p.setHeld(order.Instance.ID, order.Layers)
	}
	return best.orders
}

// orderSet is a set of orders that are carried out at the same time.
type orderSet struct {
	orders []LayerOrder
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
	original := make(map[string]fleet.LayerRange)
	for s.missing > 0 {
		r, ok := p.bestRepair(s.missing, original, better)
		if !ok {
			break
		}
		original[r.order.Instance.ID] = p.held[r.order.Instance.ID]
		p.setHeld(r.order.Instance.ID, r.order.Layers)
		s.orders = append(s.orders, r.order)
		s.missing, s.time, s.utility = r.missing, max(s.time, r.time), r.utility
	}
	for id, layers := range original {
		p.setHeld(id, layers)
	}
	return s
}

// bestRepair returns the best order that provides a holder for at least one layer
// that has none.
// It considers instances that are not loading and not in ordered; missing is the
// number of layers without a holder before the order.
func (p *plan) bestRepair(
	missing int, ordered map[string]fleet.LayerRange, better func(a, b repair) bool,
) (repair, bool) {
	var best repair
	found := false
	for _, in := range p.instances {
		if _, ok := ordered[in.ID]; ok || p.isLoading(in) {
			continue
		}
		for _, layers := range p.candidateRanges(in) {
			r := p.evaluate(in, layers)
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
	order LayerOrder
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
func (p *plan) candidateRanges(in fleet.Instance) []fleet.LayerRange {
	var ranges []fleet.LayerRange
	held, largest := p.held[in.ID], p.maxLayers(in)
	for _, gap := range p.gaps() {
		union := fleet.LayerRange{From: min(held.From, gap.From), To: max(held.To, gap.To)}
		if held.Len() > 0 && gap.From <= held.To && held.From <= gap.To && union.Len() <= largest {
			ranges = append(ranges, union)
		}
	}
	for _, size := range []int{p.targetLayers(in), largest} {
		if layers, _ := p.bestRange(in, size, p.allLayers()); layers.Len() > 0 {
			ranges = append(ranges, layers)
		}
	}
	return ranges
}

// gaps returns the contiguous ranges of layers without a holder.
func (p *plan) gaps() []fleet.LayerRange {
	var gaps []fleet.LayerRange
	for i, c := range p.layerCapacities() {
		if c.total > 0 {
			continue
		}
		if last := len(gaps) - 1; last >= 0 && gaps[last].To == i {
			gaps[last].To = i + 1
			continue
		}
		gaps = append(gaps, fleet.LayerRange{From: i, To: i + 1})
	}
	return gaps
}

// evaluate returns an order with its duration and the placement that results from
// it. It leaves the plan unchanged and does not set restored.
func (p *plan) evaluate(in fleet.Instance, layers fleet.LayerRange) repair {
	old := p.held[in.ID]
	r := repair{order: LayerOrder{in, layers}, time: p.orderDuration(in, layers)}
	p.setHeld(in.ID, layers)
	r.missing = p.missingLayers()
	for _, c := range p.layerCapacities() {
		r.utility += c.utility()
	}
	p.setHeld(in.ID, old)
	return r
}

// orderDuration estimates how long an instance takes to carry out an order. If it
// releases layers, it first finishes the requests that use them; then it loads the
// new layers.
func (p *plan) orderDuration(in fleet.Instance, layers fleet.LayerRange) time.Duration {
	const drainTime = 2 * time.Second
	held := p.held[in.ID]
	kept := fleet.LayerRange{From: max(held.From, layers.From), To: min(held.To, layers.To)}.Len()
	t := time.Duration(layers.Len()-kept) * p.model.LoadTime / time.Duration(p.model.Layers)
	if kept < held.Len() && !p.isSlow(in) {
		t += drainTime
	}
	return t
}
