// Package chain chooses the instances that a request passes through and keeps
// account of the work that they have. It performs no I/O.
package chain

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Stage is the layers From to To (exclusive) run by one instance.
type Stage struct {
	Instance string
	Address  string
	From, To int
}

// Path is the parts of a request in order. The first receives the request. A
// path to a plain service has one part without layers.
type Path []Stage

// First returns the part that receives the request.
func (p Path) First() Stage { return p[0] }

// Uses reports whether the instance is part of the path.
func (p Path) Uses(instance string) bool {
	return slices.ContainsFunc(p, func(part Stage) bool { return part.Instance == instance })
}

// maxParts is the most parts that an instance accepts in a path.
const maxParts = 32

var (
	// ErrNoInstance means that no usable instance serves the request.
	ErrNoInstance = errors.New("chain: no instance")
	// ErrFull means that instances exist and none has room.
	ErrFull = errors.New("chain: no room")
)

// hopTime is the cost of one more part for each token: the delay of a link
// within a failure domain and the pass of another engine.
const hopTime = 300 * time.Microsecond

// candidate is an instance that a path may use.
type candidate struct {
	fleet.Instance
	// layerTime is the time of a token step for each layer.
	layerTime time.Duration
	// room is the number of token-layers that are free.
	room float64
}

// candidates returns the usable instances of a model's service in one domain.
// Those that are avoided count if avoided is true; lost ones never do.
func (l *Ledger) candidates(
	view *fleet.View, s *routing.Service, domain string, avoided bool, now time.Time,
) []candidate {
	var list []candidate
	for _, in := range view.Instances {
		if in.Service != s.Name || in.Domain != domain || in.Draining || in.Layers.Len() == 0 {
			continue
		}
		kind, ok := s.Model.Accelerators[in.Accelerator]
		if !ok || l.isLost(in.ID, now) || !avoided && l.avoided(in.ID, now) {
			continue
		}
		a := l.account(in.ID, now)
		if a.requests >= in.Slots && in.Slots > 0 {
			continue
		}
		list = append(list, candidate{in, l.layerTime(s.Model, kind, a), l.room(s.Model, kind, in, a, now)})
	}
	// A fixed order makes the choice repeatable.
	slices.SortFunc(list, func(a, b candidate) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// room returns the free token-layers of an instance.
func (l *Ledger) room(
	m *routing.Model, kind routing.Accelerator, in fleet.Instance, a account, now time.Time,
) float64 {
	limit := Capacity(m, kind, in.Layers.Len()) * memoryShare
	if now.Before(a.fullUntil) {
		limit = min(limit, a.fullAt)
	}
	return max(limit-a.tokenLayers, 0)
}

// Capacity returns the token-layers of KV cache that fit beside layers of the
// model on an accelerator.
func Capacity(m *routing.Model, kind routing.Accelerator, layers int) float64 {
	const bytesPerMB = 1e6
	free := kind.MemoryMB - float64(layers)*m.LayerMB
	return max(free, 0) * bytesPerMB / m.TokenLayerBytes
}

// layerTime returns the time of a token step for each layer, with the load
// that the instance has.
func (l *Ledger) layerTime(m *routing.Model, kind routing.Accelerator, a account) time.Duration {
	step := float64(m.StepTime) + float64(a.requests+1)*float64(m.StepTimePerSequence)
	return time.Duration(step * kind.StepFactor * max(a.slowness, 1) / float64(max(m.Layers, 1)))
}

// node is the best way to reach a layer.
type node struct {
	cost  time.Duration
	parts int
	via   int // index of the candidate, -1 for none
	from  int
}

// shortest returns the fastest path over a range of layers with room for
// tokens, and its time for each token step. It is a shortest-path search over
// the layers at which a range of some candidate begins or ends.
func shortest(list []candidate, layers fleet.LayerRange, tokens float64) (Path, time.Duration, bool) {
	bounds := boundaries(list, layers)
	best := make(map[int]node, len(bounds))
	best[layers.From] = node{via: -1}
	for _, at := range bounds {
		from, reached := best[at]
		if !reached || from.parts >= maxParts {
			continue
		}
		for i, c := range list {
			// An instance may stand in a path only once.
			if !c.Layers.Contains(at) || used(best, list, at, i) {
				continue
			}
			for _, to := range bounds {
				if to <= at || to > c.Layers.To || float64(to-at)*tokens > c.room {
					continue
				}
				cost := from.cost + hopTime + time.Duration(to-at)*c.layerTime
				if old, ok := best[to]; !ok || cost < old.cost {
					best[to] = node{cost, from.parts + 1, i, at}
				}
			}
		}
	}
	end, ok := best[layers.To]
	if !ok {
		return nil, 0, false
	}
	return backtrack(best, list, layers), end.cost, true
}

// used reports whether the best way to layer at passes candidate i.
func used(best map[int]node, list []candidate, at, i int) bool {
	for n := best[at]; n.via >= 0; n = best[n.from] {
		if n.via == i {
			return true
		}
	}
	return false
}

func backtrack(best map[int]node, list []candidate, layers fleet.LayerRange) Path {
	var path Path
	for at := layers.To; at > layers.From; at = best[at].from {
		n := best[at]
		c := list[n.via]
		path = append(path, Stage{c.ID, c.Address, n.from, at})
	}
	slices.Reverse(path)
	return path
}

// boundaries returns the layers at which ranges begin or end, in order.
func boundaries(list []candidate, layers fleet.LayerRange) []int {
	inside := func(layer int) int { return min(max(layer, layers.From), layers.To) }
	bounds := []int{layers.From, layers.To}
	for _, c := range list {
		bounds = append(bounds, inside(c.Layers.From), inside(c.Layers.To))
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// crossDomain is the cost of a path in another failure domain for each token,
// beside the delay: traffic between domains is scarce.
const crossDomain = 4 * time.Millisecond

// never is a cost that no path has.
const never = time.Duration(math.MaxInt64)
