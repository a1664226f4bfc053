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

// Path is the chain that processes a request: its stages in the order of their
// layers, which together cover the model once. The first stage receives the
// request. A path to a plain service has one stage without layers.
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
	// ErrNoInstance means that no usable instances can serve the request. An
	// instance of a model is not usable while all its slots are in use.
	ErrNoInstance = errors.New("chain: no instance")
	// ErrFull means that usable instances hold the layers of the model but have
	// too little free KV cache, or that all slots of a plain service are in use.
	ErrFull = errors.New("chain: no room")
	// ErrBackoff means that instances could serve the request, but want no calls for a while.
	ErrBackoff = errors.New("chain: instances want no requests for now")
)

// hopTime is the time that each stage adds per token: the delay of a link within
// a failure domain and the overhead of an engine.
const hopTime = 300 * time.Microsecond

// candidate is an instance that a path may use.
type candidate struct {
	*fleet.Instance
	// layerTime is the time to compute one token in one layer.
	layerTime time.Duration
	// freeKVCache is the free KV cache: tokens times layers.
	freeKVCache float64
	// mayReceive is false if the limit of the instance allows no request of this gateway.
	// It can still be a later stage, which gets no requests from gateways.
	mayReceive bool
	// backsOff is true if the instance wants no calls.
	backsOff bool
}

// candidates returns the instances of a group of a model's service that
// may get a request: those that hold layers, have an accelerator that the model
// supports and a free slot, and are neither draining nor lost. Avoided instances
// are included only if includeAvoided is true. Those that want no calls are marked.
// The order of the group makes the choice deterministic.
func (t *InstanceTracker) candidates(
	group *fleet.Group, s *routing.Service, includeAvoided bool, margin float64, now time.Time,
) []candidate {
	list := make([]candidate, 0, len(group.Instances))
	neighbours := t.neighbours(now)
	maxReserved := maxReservedShareBeside(neighbours) - margin
	for _, in := range group.Instances {
		if in.Draining || in.Layers.Len() == 0 || !s.Model.Has(in.Layers.From, in.Layers.To) {
			continue
		}
		accelerator, ok := s.Model.Accelerators[in.Accelerator]
		if !ok || t.isLost(in.ID, now) || !includeAvoided && t.isAvoided(in.ID, now) {
			continue
		}
		state := t.totalState(in.ID, now)
		if state.requests >= in.Slots && in.Slots > 0 {
			continue
		}
		state.addUnreported(neighbours, now)
		list = append(list, candidate{in, t.layerTime(s.Model, accelerator, state),
			t.freeKVCache(s.Model, accelerator, in, state, maxReserved, now), t.maySend(in.ID, now), state.backsOff(now)})
	}
	return list
}

// maxReservedShareBeside returns the share of an instance's KV cache that may be reserved beside a
// number of neighbours.
func maxReservedShareBeside(neighbours int) float64 {
	return max(maxReservedShare-float64(neighbours)*neighbourMargin, minReservedShare)
}

// ignoreLimits returns the candidates as if no instance had named a limit.
func ignoreLimits(list []candidate) []candidate {
	list = slices.Clone(list)
	for i := range list {
		list[i].mayReceive = true
	}
	return list
}

// freeKVCache returns the KV cache, in tokens times layers, that may still be
// reserved on an instance if maxReserved is the share of it that may be reserved.
func (t *InstanceTracker) freeKVCache(
	m *routing.Model, accelerator routing.Accelerator, in *fleet.Instance, state instanceState, maxReserved float64,
	now time.Time,
) float64 {
	limit := KVCacheCapacity(m, accelerator, in.Layers.Len()) * maxReserved
	if now.Before(state.fullUntil) {
		limit = min(limit, state.fullLimit)
	}
	return max(limit-state.tokenLayers, 0)
}

// KVCacheCapacity returns the size of the KV cache, in tokens times layers, that
// fits on an accelerator beside the given number of model layers.
func KVCacheCapacity(m *routing.Model, accelerator routing.Accelerator, layers int) float64 {
	const bytesPerMB = 1e6
	free := accelerator.MemoryMB - float64(layers)*m.LayerMB
	return max(free, 0) * bytesPerMB / m.TokenLayerBytes
}

// layerTime returns the time in which an instance computes one token in one layer
// if it runs one more request than it does now.
func (t *InstanceTracker) layerTime(m *routing.Model, accelerator routing.Accelerator,
	state instanceState) time.Duration {
	step := float64(m.StepTime) + float64(state.requests+1)*float64(m.StepTimePerSequence)
	return time.Duration(step * accelerator.StepFactor * max(state.slowness, 1) / float64(max(m.Layers, 1)))
}

// partialPath is the fastest partial path found that ends before a layer, or the
// empty path at the start of the range. It is represented by its last stage; the
// partial path that ends before the first layer of that stage precedes it.
type partialPath struct {
	// cost is the time of a token step over the partial path.
	cost time.Duration
	// stages is the number of stages of the partial path, 0 for the empty path and for one
	// that was not found.
	stages int
	// candidateIndex is the index of the last stage's candidate, from the position of its first layer among
	// the boundaries.
	candidateIndex, from int
}

// searchPath returns a fast path over a range of layers on which every stage has
// free KV cache for the tokens, and the time of a token step over the path, if that is less
// than limit. It is
// a shortest-path search over the layers at which the range of a candidate begins
// or ends. It keeps only the fastest partial path to each of these layers and does
// not extend a partial path by an instance that the path already uses, so it can
// miss a path. Partial paths are dropped that can't become a complete path below limit or
// below the fastest complete path found so far.
func searchPath(list []candidate, layers fleet.LayerRange, tokens float64, limit time.Duration) (Path, time.Duration, bool) {
	bounds := rangeBoundaries(list, layers)
	fastest := make([]partialPath, len(bounds))
	last := len(bounds) - 1
	fastestLayer := infiniteCost
	for i := range list {
		fastestLayer = min(fastestLayer, list[i].layerTime)
	}
	for at, end := range bounds[:last] {
		prefix := fastest[at]
		if at > 0 && prefix.stages == 0 || prefix.stages >= maxStages {
			continue
		}
		// Any path over the remaining layers takes a stage and the time of the layers.
		if prefix.cost+hopTime+time.Duration(layers.To-end)*fastestLayer >= limit {
			continue
		}
		for i := range list {
			c := &list[i]
			// A path may use an instance only once.
			if !c.Layers.Contains(end) || end == 0 && !c.mayReceive || usesCandidate(fastest, at, i) {
				continue
			}
			for next := at + 1; next <= last; next++ {
				to := bounds[next]
				if to > c.Layers.To || float64(to-end)*tokens > c.freeKVCache {
					break
				}
				cost := prefix.cost + hopTime + time.Duration(to-end)*c.layerTime
				if cost >= limit {
					break
				}
				if old := &fastest[next]; old.stages == 0 || cost < old.cost {
					*old = partialPath{cost, prefix.stages + 1, i, at}
					if next == last {
						limit = cost
					}
				}
			}
		}
	}
	if fastest[last].stages == 0 {
		return nil, 0, false
	}
	return backtrack(fastest, list, bounds), fastest[last].cost, true
}

// existsPath reports whether a path over a range of layers exists if limits and the use of KV
// cache are ignored.
func existsPath(list []candidate, layers fleet.LayerRange) bool {
	_, _, ok := searchPath(ignoreLimits(list), layers, 0, infiniteCost)
	return ok
}

// usesCandidate reports whether the fastest partial path to the boundary with the position
// at uses candidate i.
func usesCandidate(fastest []partialPath, at, i int) bool {
	for p := &fastest[at]; p.stages > 0; p = &fastest[p.from] {
		if p.candidateIndex == i {
			return true
		}
	}
	return false
}

// backtrack returns the stages of the fastest path over all boundaries.
func backtrack(fastest []partialPath, list []candidate, bounds []int) Path {
	var path Path
	for at := len(bounds) - 1; at > 0; at = fastest[at].from {
		p := fastest[at]
		c := list[p.candidateIndex]
		path = append(path, Stage{c.ID, c.Address, bounds[p.from], bounds[at]})
	}
	slices.Reverse(path)
	return path
}

// rangeBoundaries returns, in ascending order, the layers within a range at which
// the range of a candidate begins or ends.
func rangeBoundaries(list []candidate, layers fleet.LayerRange) []int {
	clamp := func(layer int) int { return min(max(layer, layers.From), layers.To) }
	bounds := make([]int, 0, 2*len(list)+2)
	bounds = append(bounds, layers.From, layers.To)
	for i := range list {
		bounds = append(bounds, clamp(list[i].Layers.From), clamp(list[i].Layers.To))
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// crossDomainCost is added to the time of a token step over a path in another
// failure domain than the preferred one. Apart from the network delay, it accounts
// for the scarce bandwidth between failure domains.
const crossDomainCost = 4 * time.Millisecond

// crossCellCost is added to the time of a token step over a path in another cell of the
// own failure domain: the load of its instances is known later.
const crossCellCost = time.Millisecond

// groupCost returns what is added to the time of a token step over a path in a group.
func groupCost(view *fleet.View, g *fleet.Group, domain string) time.Duration {
	switch {
	case g.Domain != domain:
		return crossDomainCost
	case view.Divided() && g.Cell != view.Cells().Own:
		return crossCellCost
	}
	return 0
}

// infiniteCost is longer than the time of a token step over any path.
const infiniteCost = time.Duration(math.MaxInt64)
