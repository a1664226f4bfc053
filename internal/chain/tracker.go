package chain

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// maxReservedShare is the share of an instance's KV cache that may be reserved;
// the rest absorbs responses that grow longer than expected.
const maxReservedShare = 0.97

// neighbourMargin is the share of an instance's KV cache by which each neighbour
// lowers maxReservedShare, down to minReservedShare: several of them may find the same
// room at the same moment.
const (
	neighbourMargin  = 0.006
	minReservedShare = 0.86
)

// instanceState is the load that this process puts on an instance, and the health
// of the instance as far as this process knows it.
type instanceState struct {
	// tokenLayers is the reserved KV cache: tokens times layers, summed over
	// all requests.
	tokenLayers float64
	requests    int
	// recent is the load that was added since a report.
	recent recentLoad
	// slowness is the factor by which the instance was slower than usual for its
	// accelerator type at slowAt.
	slowness float64
	slowAt   time.Time
	// avoidUntil is the time until which the instance gets new work only if no
	// other instances can do it.
	avoidUntil time.Time
	// avoidPeriods counts the periods of avoidance since the last completed
	// response.
	avoidPeriods int
	// fullUntil is the time until which the instance gets new work only up to
	// fullLimit, in tokens times layers, because it refused a request.
	// fullPeriods counts these periods since the last completed response.
	fullUntil   time.Time
	fullLimit   float64
	fullPeriods int
	// connectFailures counts the failed connections since the last completed
	// response or answered check.
	connectFailures int
	// lostUntil is the time until which the instance counts as lost.
	// locallyLost is true if this gateway detected the loss itself; the gateway
	// then reports the loss to its peers and checks the instance again at
	// recheckAt.
	lostUntil   time.Time
	locallyLost bool
	// leaving is true if the instance counts as lost because it refuses
	// requests although it has free capacity. It may still answer checks, so it
	// is not checked again.
	leaving   bool
	recheckAt time.Time
	// backoffUntil is the time until which the instance wants no calls.
	backoffUntil time.Time
}

// InstanceTracker tracks the load and the health of instances and reserves
// capacity for requests. It is safe for concurrent use.
type InstanceTracker struct {
	// mu guards the fields below.
	mu        sync.Mutex
	instances map[string]*instanceState
	peers     map[string]*peerReport
	// peerLoads holds the sums of the loads in peers.
	peerLoads peerLoads
	// limits holds the instances that have named a limit.
	limits map[string]*instanceLimit
}

// NewInstanceTracker returns a tracker that knows no instances.
func NewInstanceTracker() *InstanceTracker {
	return &InstanceTracker{
		instances: make(map[string]*instanceState), peers: make(map[string]*peerReport),
		limits: make(map[string]*instanceLimit),
	}
}

// Demand describes what a request needs.
type Demand struct {
	// Tokens is the expected number of prompt and output tokens. It is 0 for
	// plain services.
	Tokens int
	// Domain is the preferred failure domain.
	Domain string
	// Avoid lists instances that must not be used.
	Avoid []string
	// Margin is the share of the KV cache of each instance that must stay free.
	Margin float64
	// AvoidDomain is a failure domain whose instances must not be used, "" for none.
	AvoidDomain string
}

// avoidsDomain reports whether the instances of a failure domain must not be used.
func (d Demand) avoidsDomain(domain string) bool {
	return d.AvoidDomain != "" && domain == d.AvoidDomain
}

// Grant is a path and the capacity that is reserved on its instances.
type Grant struct {
	Path   Path
	tokens float64
}

// totalState returns the state of an instance, with the load that the other
// gateways put on it added.
func (t *InstanceTracker) totalState(id string, now time.Time) instanceState {
	var sum instanceState
	if state := t.instances[id]; state != nil {
		sum = *state
	}
	if now.Sub(sum.slowAt) > slownessMaxAge {
		sum.slowness = 1
	}
	load := t.peerLoads.of(id, t.peers, now)
	sum.tokenLayers += load.TokenLayers
	sum.requests += load.Requests
	return sum
}

// ensureState returns the state of an instance and creates it if needed.
func (t *InstanceTracker) ensureState(id string) *instanceState {
	state := t.instances[id]
	if state == nil {
		state = &instanceState{}
		t.instances[id] = state
	}
	return state
}

// Choose reserves capacity for a demand: on the fastest path found for a model, or
// on the instance of a plain service with the fewest requests. It returns
// ErrNoInstance, ErrFull or ErrBackoff if there is none.
func (t *InstanceTracker) Choose(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, err := t.choose(view, s, d, now)
	if err == nil {
		t.takeSend(g.Path.First().Instance)
	}
	return g, err
}

// choose is Choose without the request being taken from the limit of the first instance.
func (t *InstanceTracker) choose(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	if s.Model == nil {
		return t.choosePlainService(view, s, d, now)
	}
	return t.choosePath(view, s, d, now)
}

// Fits reports whether Choose would succeed for a demand.
func (t *InstanceTracker) Fits(view *fleet.View, s *routing.Service, d Demand, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, err := t.choose(view, s, d, now)
	if err != nil {
		return false
	}
	t.release(g)
	return true
}

// choosePath uses avoided instances only if no path without them exists, not even
// one with too little free KV cache, so that avoidance never leaves a model
// without a path. It never uses instances that want no calls.
func (t *InstanceTracker) choosePath(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	path, _, err := t.findPath(view, s, d, now)
	if err != nil {
		return Grant{}, err
	}
	return t.place(path, float64(d.Tokens), now), nil
}

// findPath returns the path that choosePath reserves, and its cost.
func (t *InstanceTracker) findPath(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Path, time.Duration, error) {
	path, cost, err := t.fastestPathInAnyDomain(view, s, d, false, now)
	if errors.Is(err, ErrNoInstance) || errors.Is(err, ErrBackoff) {
		return t.fastestPathInAnyDomain(view, s, d, true, now)
	}
	return path, cost, err
}

// pathSearch is a search for the fastest path over several groups of instances.
type pathSearch struct {
	fastest    Path
	lowestCost time.Duration
	// pathExists is true if there is a path whose instances may be full, backoff if there is
	// one over instances that want no calls.
	pathExists, backoff bool
}

// fastestPathInAnyDomain returns the fastest of the paths found in the failure
// domains, and its cost. With cells, those of the own cell and its partners are searched. Only if they hold no
// complete path, the first path of another cell is used, whose load is not known.
func (t *InstanceTracker) fastestPathInAnyDomain(
	view *fleet.View, s *routing.Service, d Demand, includeAvoided bool, now time.Time,
) (Path, time.Duration, error) {
	search := pathSearch{lowestCost: infiniteCost}
	near, far := view.Groups(s.Name)
	// The own group comes first: its path bounds the search in the others.
	for _, own := range []bool{true, false} {
		for _, group := range near {
			if cost := groupCost(view, group, d.Domain); (cost == 0) == own {
				t.searchGroup(&search, group, s, d, cost, includeAvoided, now)
			}
		}
	}
	for _, group := range far {
		if search.pathExists {
			break
		}
		t.searchGroup(&search, group, s, d, groupCost(view, group, d.Domain), includeAvoided, now)
	}
	switch {
	case search.fastest != nil:
		return search.fastest, search.lowestCost, nil
	case search.pathExists:
		return nil, 0, ErrFull
	case search.backoff:
		return nil, 0, ErrBackoff
	}
	return nil, 0, ErrNoInstance
}

// searchGroup searches a path in one group, whose cost is increased by extraCost.
func (t *InstanceTracker) searchGroup(
	search *pathSearch, group *fleet.Group, s *routing.Service, d Demand, extraCost time.Duration, includeAvoided bool, now time.Time,
) {
	all := fleet.LayerRange{To: s.Model.Layers}
	limit := search.lowestCost - extraCost
	if d.avoidsDomain(group.Domain) || group.Covered < all.To || limit <= t.lowestPathCost(s.Model) {
		return
	}
	candidates := t.candidates(group, s, includeAvoided, d.Margin, now)
	list, leftOut := withoutBackoff(candidates)
	list = excludeInstances(list, d.Avoid)
	path, cost, ok := searchPath(list, all, float64(d.Tokens), limit)
	switch {
	case ok:
		search.pathExists = true
		search.fastest, search.lowestCost = path, cost+extraCost
	case search.fastest == nil:
		search.pathExists = search.pathExists || existsPath(list, all)
		search.backoff = search.backoff || leftOut && existsPath(candidates, all)
	}
}

// lowestPathCost returns a lower bound of the time of a token step over any path: one stage
// on an idle accelerator of the fastest type.
func (t *InstanceTracker) lowestPathCost(m *routing.Model) time.Duration {
	lowest := infiniteCost
	for _, accelerator := range m.Accelerators {
		lowest = min(lowest, hopTime+time.Duration(m.Layers)*t.layerTime(m, accelerator, instanceState{}))
	}
	return lowest
}

// excludeInstances returns the candidates that are not in avoid. It modifies
// list in place.
func excludeInstances(list []candidate, avoid []string) []candidate {
	if len(avoid) == 0 {
		return list
	}
	kept := list[:0]
	for _, c := range list {
		if !slices.Contains(avoid, c.ID) {
			kept = append(kept, c)
		}
	}
	return kept
}

// reserve adds a request to the load of the instances of a path.
func (t *InstanceTracker) reserve(p Path, tokens float64) Grant {
	for _, stage := range p {
		state := t.ensureState(stage.Instance)
		state.tokenLayers += tokens * float64(stage.To-stage.From)
		state.requests++
	}
	return Grant{p, tokens}
}

// place reserves a path for a new request.
func (t *InstanceTracker) place(p Path, tokens float64, now time.Time) Grant {
	g := t.reserve(p, tokens)
	for _, stage := range p {
		t.ensureState(stage.Instance).recent.add(tokens*float64(stage.To-stage.From), now)
	}
	return g
}

// Release ends a reservation made by Choose, Reroute or Restore.
func (t *InstanceTracker) Release(g Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(g)
}

func (t *InstanceTracker) release(g Grant) {
	for _, stage := range g.Path {
		state := t.ensureState(stage.Instance)
		state.tokenLayers -= g.tokens * float64(stage.To-stage.From)
		state.requests--
	}
}

// Restore releases a grant and reserves the previous path of the same request
// again.
func (t *InstanceTracker) Restore(g, previous Grant) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(g)
	return t.reserve(previous.Path, previous.tokens)
}

// crossDomainPenalty is the number of requests that is added to the load of an
// instance in another failure domain than the preferred one, crossCellPenalty that for
// another cell of the preferred one.
const (
	crossDomainPenalty = 4
	crossCellPenalty   = 1
)

// groupPenalty returns the number of requests that is added to the load of the instances of a
// group.
func groupPenalty(view *fleet.View, g *fleet.Group, domain string) int {
	switch groupCost(view, g, domain) {
	case 0:
		return 0
	case crossCellCost:
		return crossCellPenalty
	}
	return crossDomainPenalty
}

// instanceSearch is a search for the instance of a plain service with the fewest requests.
type instanceSearch struct {
	// fallback is an avoided instance. It
	// serves only if no other instance does, so that avoidance never leaves a service
	// without an instance.
	best, fallback *fleet.Instance
	bestLoad       int
	full, backoff  bool
}

// choosePlainService reserves the instance of a plain service with the fewest
// requests, with groupPenalty added. With cells, instances outside the own cell and its partners
// are used only if there is none that can be used there.
func (t *InstanceTracker) choosePlainService(view *fleet.View, s *routing.Service, d Demand,
	now time.Time) (Grant, error) {
	in, _, err := t.findInstance(view, s, d, now)
	if err != nil {
		return Grant{}, err
	}
	return t.reserve(Path{{Instance: in.ID, Address: in.Address}}, 0), nil
}

// findInstance returns the instance that choosePlainService reserves, and its load with
// groupPenalty. The load of an avoided instance is not known.
func (t *InstanceTracker) findInstance(view *fleet.View, s *routing.Service, d Demand,
	now time.Time) (*fleet.Instance, int, error) {
	var search instanceSearch
	near, far := view.Groups(s.Name)
	for _, group := range near {
		t.searchInstance(&search, group, groupPenalty(view, group, d.Domain), d, now)
	}
	for _, group := range far {
		if search.best != nil || search.fallback != nil || search.full {
			break
		}
		t.searchInstance(&search, group, groupPenalty(view, group, d.Domain), d, now)
	}
	best := search.best
	if best == nil && !search.full {
		best = search.fallback
	}
	switch {
	case best != nil:
		return best, search.bestLoad, nil
	case search.full:
		return nil, 0, ErrFull
	case search.backoff:
		return nil, 0, ErrBackoff
	}
	return nil, 0, ErrNoInstance
}

// searchInstance looks for an instance in one group.
func (t *InstanceTracker) searchInstance(search *instanceSearch, group *fleet.Group, penalty int, d Demand, now time.Time) {
	for _, in := range group.Instances {
		if in.Draining || d.avoidsDomain(in.Domain) {
			continue
		}
		if t.instances[in.ID].backsOff(now) {
			search.backoff = true
			continue
		}
		if slices.Contains(d.Avoid, in.ID) {
			continue
		}
		state := t.totalState(in.ID, now)
		load := state.requests + penalty
		if t.isAvoided(in.ID, now) && t.maySend(in.ID, now) {
			if search.fallback == nil || in.ID < search.fallback.ID {
				search.fallback = in
			}
			continue
		}
		if state.requests >= in.Slots && in.Slots > 0 || !t.maySend(in.ID, now) {
			search.full = true
			continue
		}
		if search.best == nil || load < search.bestLoad || load == search.bestLoad && in.ID < search.best.ID {
			search.best, search.bestLoad = in, load
		}
	}
}

// HasFasterPath reports whether the path that Choose would reserve for a demand
// takes less than half the time per token of the path of a grant.
func (t *InstanceTracker) HasFasterPath(view *fleet.View, s *routing.Service, d Demand, g Grant, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	alternative, err := t.choose(view, s, d, now)
	if err != nil {
		return false
	}
	t.release(alternative)
	return 2*t.stepTime(view, s, alternative.Path, now) < t.stepTime(view, s, g.Path, now)
}

// stepTime returns the time of a token step over a path if each instance runs one
// more request than it does now.
func (t *InstanceTracker) stepTime(view *fleet.View, s *routing.Service, p Path, now time.Time) time.Duration {
	var sum time.Duration
	for _, stage := range p {
		accelerator := s.Model.Accelerators[view.Instances[stage.Instance].Accelerator]
		sum += hopTime +
			time.Duration(stage.To-stage.From)*t.layerTime(s.Model, accelerator, t.totalState(stage.Instance, now))
	}
	return sum
}

// TotalLoad returns the load that all gateways together put on an instance: the
// reserved KV cache, in tokens times layers, and the number of requests.
func (t *InstanceTracker) TotalLoad(id string, now time.Time) (tokenLayers float64, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.totalState(id, now)
	return state.tokenLayers, state.requests
}

// Prune deletes the state of instances that are not in the view, have no requests of
// this process and are not in a backoff.
func (t *InstanceTracker) Prune(view *fleet.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneLimits(view, now)
	for id, state := range t.instances {
		if _, known := view.Instances[id]; !known && state.requests == 0 && !state.backsOff(now) {
			delete(t.instances, id)
		}
	}
}
