package placement

import (
	"cmp"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// mend returns the moves that give layers without a holder one again. It
// compares two sequences: one begins with the moves after which the fewest
// layers lack a holder, the other with those that mend most for their time.
func (p *plan) mend() []Move {
	if p.missing() == 0 {
		return nil
	}
	best := p.mendBy(fewestMissing)
	if other := p.mendBy(mostForTheTime); other.better(best) {
		best = other
	}
	for _, move := range best.moves {
		p.hold(move.Instance.ID, move.Layers)
	}
	return best.moves
}

// sequence is a series of moves that are carried out at the same time.
type sequence struct {
	moves []Move
	// missing is the number of layers without a holder afterwards, time that
	// of the longest move and gain the worth of the placement.
	missing int
	time    time.Duration
	gain    float64
}

func (s sequence) better(than sequence) bool {
	return cmp.Or(
		cmp.Compare(s.missing, than.missing), cmp.Compare(s.time, than.time), cmp.Compare(than.gain, s.gain),
	) < 0
}

// mendBy takes one move after the other, the best of each by an order, until
// none mends anything. The plan is left as it was.
func (p *plan) mendBy(better func(a, b repair) bool) sequence {
	s := sequence{missing: p.missing()}
	before := make(map[string]fleet.LayerRange)
	for s.missing > 0 {
		r, ok := p.bestRepair(s.missing, before, better)
		if !ok {
			break
		}
		before[r.move.Instance.ID] = p.held[r.move.Instance.ID]
		p.hold(r.move.Instance.ID, r.move.Layers)
		s.moves = append(s.moves, r.move)
		s.missing, s.time, s.gain = r.missing, max(s.time, r.time), r.gain
	}
	for id, layers := range before {
		p.hold(id, layers)
	}
	return s
}

// bestRepair returns the best move that mends something, of an instance that
// is free and has not been moved.
func (p *plan) bestRepair(
	missing int, moved map[string]fleet.LayerRange, better func(a, b repair) bool,
) (repair, bool) {
	var best repair
	found := false
	for _, in := range p.instances {
		if _, ok := moved[in.ID]; ok || p.isLoading(in) {
			continue
		}
		for _, layers := range p.repairRanges(in) {
			r := p.assess(in, layers)
			r.mended = missing - r.missing
			if r.mended > 0 && (!found || better(r, best)) {
				best, found = r, true
			}
		}
	}
	return best, found
}

// fewestMissing prefers moves after which the fewest layers lack a holder, then
// those that take the shortest time, then those that are worth most.
func fewestMissing(a, b repair) bool {
	return cmp.Or(
		cmp.Compare(a.missing, b.missing), cmp.Compare(a.time, b.time), cmp.Compare(b.gain, a.gain),
	) < 0
}

// mostForTheTime prefers moves that give the most layers a holder for each
// second, then those that are worth most.
func mostForTheTime(a, b repair) bool {
	return cmp.Or(cmp.Compare(b.rate(), a.rate()), cmp.Compare(b.gain, a.gain)) < 0
}

// repair is a move with its outcome.
type repair struct {
	move    Move
	missing int
	// mended is the number of layers that get a holder.
	mended int
	time   time.Duration
	gain   float64
}

// rate returns the layers that get a holder for each second of the move.
func (r repair) rate() float64 {
	const least = 0.1
	return float64(r.mended) / max(r.time.Seconds(), least)
}

// repairRanges returns the ranges by which an instance could mend a hole: what
// it holds with the layers next to it, and other ranges.
func (p *plan) repairRanges(in fleet.Instance) []fleet.LayerRange {
	var ranges []fleet.LayerRange
	held, largest := p.held[in.ID], p.largest(in)
	for _, hole := range p.holes() {
		union := fleet.LayerRange{From: min(held.From, hole.From), To: max(held.To, hole.To)}
		if held.Len() > 0 && hole.From <= held.To && held.From <= hole.To && union.Len() <= largest {
			ranges = append(ranges, union)
		}
	}
	for _, size := range []int{p.size(in), largest} {
		if layers, _ := p.best(in, size, p.all()); layers.Len() > 0 {
			ranges = append(ranges, layers)
		}
	}
	return ranges
}

// holes returns the ranges of layers without a holder.
func (p *plan) holes() []fleet.LayerRange {
	var holes []fleet.LayerRange
	for i, c := range p.layerCapacity() {
		if c.total > 0 {
			continue
		}
		if last := len(holes) - 1; last >= 0 && holes[last].To == i {
			holes[last].To = i + 1
			continue
		}
		holes = append(holes, fleet.LayerRange{From: i, To: i + 1})
	}
	return holes
}

// assess returns the outcome of a move.
func (p *plan) assess(in fleet.Instance, layers fleet.LayerRange) repair {
	old := p.held[in.ID]
	r := repair{move: Move{in, layers}, time: p.moveTime(in, layers)}
	p.hold(in.ID, layers)
	r.missing = p.missing()
	for _, c := range p.layerCapacity() {
		r.gain += c.worth()
	}
	p.hold(in.ID, old)
	return r
}

// moveTime estimates how long a move takes: an instance that gives up layers
// finishes the requests that pass through them first, then it loads.
func (p *plan) moveTime(in fleet.Instance, layers fleet.LayerRange) time.Duration {
	const passing = 2 * time.Second
	held := p.held[in.ID]
	kept := fleet.LayerRange{From: max(held.From, layers.From), To: min(held.To, layers.To)}.Len()
	t := time.Duration(layers.Len()-kept) * p.model.LoadTime / time.Duration(p.model.Layers)
	if kept < held.Len() && !p.slow(in) {
		t += passing
	}
	return t
}
