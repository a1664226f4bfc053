// Package chain chooses the instances that process a request and tracks their
// load and health. It performs no I/O.
package chain

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Stage is the part of a path that one instance runs: the layers From to To,
// with To exclusive.
type Stage struct {
	Instance string
	Address  string
	From, To int
}

// Path is the sequence of stages that process a request. The first stage receives
// the request. A path to a plain service has one stage without layers.
type Path []Stage

// First returns the stage that receives the request.
func (p Path) First() Stage { return p[0] }

// Uses reports whether the path has a stage on the instance.
func (p Path) Uses(instance string) bool {
	return slices.ContainsFunc(p, func(stage Stage) bool { return stage.Instance == instance })
}

// maxStages is the largest number of stages that an instance accepts in a path.
const maxStages = 32

var (
	// ErrNoInstance means that no usable instances can serve the request.
	ErrNoInstance = errors.New("chain: no instance")
	// ErrFull means that instances could serve the request but have no room.
	ErrFull = errors.New("chain: no room")
)

// hopTime is the time that each further stage adds per token: the delay of a link
// within a failure domain and the overhead of another engine.
const hopTime = 300 * time.Microsecond

// candidate is an instance that a path may use.
type candidate struct {
	fleet.Instance
	// layerTime is the time of a token step per layer.
	layerTime time.Duration
	// room is the number of token-layers that are free.
	room float64
}

// candidates returns the usable instances of a model's service in one failure
// domain. Avoided instances are included if includeAvoided is true; lost
// instances never are.
func (l *InstanceTracker) candidates(
	view *fleet.View, s *routing.Service, domain string, includeAvoided bool, now time.Time,
) []candidate {
	var list []candidate
	for _, in := range view.Instances {
		if in.Service != s.Name || in.Domain != domain || in.Draining || in.Layers.Len() == 0 {
			continue
		}
		kind, ok := s.Model.Accelerators[in.Accelerator]
		if !ok || l.isLost(in.ID, now) || !includeAvoided && l.isAvoided(in.ID, now) {
			continue
		}
		a := l.totalAccount(in.ID, now)
		if a.requests >= in.Slots && in.Slots > 0 {
			continue
		}
		list = append(list, candidate{in, l.layerTime(s.Model, kind, a), l.room(s.Model, kind, in, a, now)})
	}
	// A fixed order makes the choice deterministic.
	slices.SortFunc(list, func(a, b candidate) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// room returns the number of token-layers of KV cache that are free on an
// instance.
func (l *InstanceTracker) room(
	m *routing.Model, kind routing.Accelerator, in fleet.Instance, a instanceState, now time.Time,
) float64 {
	limit := KVCacheCapacity(m, kind, in.Layers.Len()) * memoryShare
	if now.Before(a.fullUntil) {
		limit = min(limit, a.fullLimit)
	}
	return max(limit-a.tokenLayers, 0)
}

// KVCacheCapacity returns the number of token-layers of KV cache that fit on an
// accelerator beside the given number of model layers.
func KVCacheCapacity(m *routing.Model, kind routing.Accelerator, layers int) float64 {
	const bytesPerMB = 1e6
	free := kind.MemoryMB - float64(layers)*m.LayerMB
	return max(free, 0) * bytesPerMB / m.TokenLayerBytes
}

// layerTime returns the time of a token step per layer under the current load of
// an instance.
func (l *InstanceTracker) layerTime(m *routing.Model, kind routing.Accelerator, a instanceState) time.Duration {
	step := float64(m.StepTime) + float64(a.requests+1)*float64(m.StepTimePerSequence)
	return time.Duration(step * kind.StepFactor * max(a.slowness, 1) / float64(max(m.Layers, 1)))
}

// node is the last stage of the fastest partial path that ends before a layer.
type node struct {
	// cost is the time of a token step over the partial path.
	cost time.Duration
	// stages is the number of stages of the partial path.
	stages int
	// candidateIndex is the index of the stage's candidate, -1 at the start.
	candidateIndex int
	// from is the first layer of the stage.
	from int
}

// shortestPath returns the fastest path over a range of layers on which every
// stage has room for the tokens, and the time of a token step over the path. It
// is a shortest-path search over the layers at which the range of a candidate
// begins or ends.
func shortestPath(list []candidate, layers fleet.LayerRange, tokens float64) (Path, time.Duration, bool) {
	bounds := rangeBoundaries(list, layers)
	best := make(map[int]node, len(bounds))
	best[layers.From] = node{candidateIndex: -1}
	for _, at := range bounds {
		from, reached := best[at]
		if !reached || from.stages >= maxStages {
			continue
		}
		for i, c := range list {
			// A path may use an instance only once.
			if !c.Layers.Contains(at) || usesCandidate(best, list, at, i) {
				continue
			}
			for _, to := range bounds {
				if to <= at || to > c.Layers.To || float64(to-at)*tokens > c.room {
					continue
				}
				cost := from.cost + hopTime + time.Duration(to-at)*c.layerTime
				if old, ok := best[to]; !ok || cost < old.cost {
					best[to] = node{cost, from.stages + 1, i, at}
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

// usesCandidate reports whether the best partial path that ends before layer at
// uses candidate i.
func usesCandidate(best map[int]node, list []candidate, at, i int) bool {
	for n := best[at]; n.candidateIndex >= 0; n = best[n.from] {
		if n.candidateIndex == i {
			return true
		}
	}
	return false
}

// backtrack returns the stages of the best path over a range of layers.
func backtrack(best map[int]node, list []candidate, layers fleet.LayerRange) Path {
	var path Path
	for at := layers.To; at > layers.From; at = best[at].from {
		n := best[at]
		c := list[n.candidateIndex]
		path = append(path, Stage{c.ID, c.Address, n.from, at})
	}
	slices.Reverse(path)
	return path
}

// rangeBoundaries returns, in ascending order, the layers within a range at which
// the range of a candidate begins or ends.
func rangeBoundaries(list []candidate, layers fleet.LayerRange) []int {
	clamp := func(layer int) int { return min(max(layer, layers.From), layers.To) }
	bounds := []int{layers.From, layers.To}
	for _, c := range list {
		bounds = append(bounds, clamp(c.Layers.From), clamp(c.Layers.To))
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// crossDomainCost is added to the cost per token of a path in another failure
// domain than the preferred one. Apart from the network delay, it accounts for the
// scarce bandwidth between failure domains.
const crossDomainCost = 4 * time.Millisecond

// infiniteCost is higher than the cost of any path.
const infiniteCost = time.Duration(math.MaxInt64)
