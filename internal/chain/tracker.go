package chain

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// memoryShare is the share of an instance's KV cache that may be reserved; the
// rest absorbs responses that grow longer than expected.
const memoryShare = 0.97

// instanceState is the load and the health of one instance as this process knows
// them.
type instanceState struct {
	// tokenLayers is the reserved KV cache: tokens times layers, summed over
	// all requests.
	tokenLayers float64
	requests    int
	// slowness is the factor by which the instance was slower than its
	// accelerator type at slowAt.
	slowness float64
	slowAt   time.Time
	// avoidUntil is the time until which the instance gets no new work.
	avoidUntil time.Time
	// failures counts the consecutive failures that prolong the avoidance.
	failures int
	// fullUntil is the time until which the instance gets new work only up to
	// fullLimit token-layers, because it refused a request. refusals counts the
	// consecutive periods with a refusal.
	fullUntil time.Time
	fullLimit float64
	refusals  int
	// connectFailures counts the consecutive failed connections.
	connectFailures int
	// lostUntil is the time until which the instance counts as lost.
	// locallyLost is true if this gateway detected the loss itself; the gateway
	// then reports the loss to its peers and checks the instance again at
	// recheckAt.
	lostUntil   time.Time
	locallyLost bool
	// leaving is true if the instance counts as lost because it refuses
	// requests for which it has room. It may still answer checks, so it is not
	// checked again.
	leaving   bool
	recheckAt time.Time
}

// InstanceTracker tracks the load and the health of instances and reserves capacity for
// requests. It is safe for concurrent use.
type InstanceTracker struct {
	// mu guards accounts and peers.
	mu       sync.Mutex
	accounts map[string]*instanceState
	peers    map[string]*peerReport
}

// NewInstanceTracker returns an empty tracker.
func NewInstanceTracker() *InstanceTracker {
	return &InstanceTracker{accounts: make(map[string]*instanceState), peers: make(map[string]*peerReport)}
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
}

// Grant is a path and the reservation on its instances.
type Grant struct {
	Path   Path
	tokens float64
}

// totalAccount returns an instance's account of this process, with the load that
// the other gateways report added.
func (l *InstanceTracker) totalAccount(id string, now time.Time) instanceState {
	var sum instanceState
	if a := l.accounts[id]; a != nil {
		sum = *a
	}
	if now.Sub(sum.slowAt) > slownessMaxAge {
		sum.slowness = 1
	}
	for _, p := range l.peers {
		if now.Sub(p.receivedAt) > peerReportMaxAge {
			continue
		}
		load := p.loads[id]
		sum.tokenLayers += load.TokenLayers
		sum.requests += load.Requests
	}
	return sum
}

// ensureAccount returns the account of an instance and creates it if needed.
func (l *InstanceTracker) ensureAccount(id string) *instanceState {
	a := l.accounts[id]
	if a == nil {
		a = &instanceState{}
		l.accounts[id] = a
	}
	return a
}

// Choose reserves the fastest path for a demand. It returns ErrNoInstance if no
// set of usable instances can serve the demand, and ErrFull if the instances
// that could serve it have no room.
func (l *InstanceTracker) Choose(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Model == nil {
		return l.choosePlainService(view, s, d, now)
	}
	return l.choosePath(view, s, d, now)
}

// Fits reports whether Choose would find a path for a demand.
func (l *InstanceTracker) Fits(view *fleet.View, s *routing.Service, d Demand, now time.Time) bool {
	g, err := l.Choose(view, s, d, now)
	if err != nil {
		return false
	}
	l.Release(g)
	return true
}

// choosePath uses avoided instances only if there is no path without them, so
// that avoidance never leaves a model without a path.
func (l *InstanceTracker) choosePath(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	g, err := l.fastestPath(view, s, d, false, now)
	if errors.Is(err, ErrNoInstance) {
		return l.fastestPath(view, s, d, true, now)
	}
	return g, err
}

// fastestPath reserves the fastest path over all failure domains.
func (l *InstanceTracker) fastestPath(
	view *fleet.View, s *routing.Service, d Demand, includeAvoided bool, now time.Time,
) (Grant, error) {
	var bestPath Path
	best, pathExists := infiniteCost, false
	for _, domain := range failureDomains(view, s.Name) {
		list := excludeInstances(l.candidates(view, s, domain, includeAvoided, now), d.Avoid)
		all := fleet.LayerRange{To: s.Model.Layers}
		path, cost, ok := shortestPath(list, all, float64(d.Tokens))
		if !ok {
			_, _, existsIgnoringRoom := shortestPath(list, all, 0)
			pathExists = pathExists || existsIgnoringRoom
			continue
		}
		pathExists = true
		if domain != d.Domain {
			cost += crossDomainCost
		}
		if cost < best {
			bestPath, best = path, cost
		}
	}
	switch {
	case bestPath != nil:
		return l.charge(bestPath, float64(d.Tokens)), nil
	case pathExists:
		return Grant{}, ErrFull
	}
	return Grant{}, ErrNoInstance
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

// failureDomains returns the failure domains of a service's instances.
func failureDomains(view *fleet.View, service string) []string {
	var list []string
	for _, in := range view.Instances {
		if in.Service == service && !slices.Contains(list, in.Domain) {
			list = append(list, in.Domain)
		}
	}
	return list
}

// charge adds a request on a path to the accounts of its instances.
func (l *InstanceTracker) charge(p Path, tokens float64) Grant {
	for _, stage := range p {
		a := l.ensureAccount(stage.Instance)
		a.tokenLayers += tokens * float64(stage.To-stage.From)
		a.requests++
	}
	return Grant{p, tokens}
}

// Release ends a reservation made by Choose, Reroute or Restore.
func (l *InstanceTracker) Release(g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(g)
}

func (l *InstanceTracker) release(g Grant) {
	for _, stage := range g.Path {
		a := l.ensureAccount(stage.Instance)
		a.tokenLayers -= g.tokens * float64(stage.To-stage.From)
		a.requests--
	}
}

// Reroute replaces the stage of a grant that a lost instance runs by stages on
// other instances of the same failure domain and moves the reservation to them.
// It returns false if there are no such instances or if the lost instance runs
// the first stage, which can't be replaced.
func (l *InstanceTracker) Reroute(view *fleet.View, s *routing.Service, g Grant, lost string, now time.Time) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := slices.IndexFunc(g.Path, func(p Stage) bool { return p.Instance == lost })
	if index <= 0 {
		return g, false
	}
	domain := view.Instances[g.Path[0].Instance].Domain
	used := []string{lost}
	for _, stage := range g.Path {
		used = append(used, stage.Instance)
	}
	list := excludeInstances(l.candidates(view, s, domain, false, now), used)
	gap := fleet.LayerRange{From: g.Path[index].From, To: g.Path[index].To}
	detour, _, ok := shortestPath(list, gap, g.tokens)
	if !ok || len(g.Path)+len(detour) > maxStages {
		return g, false
	}
	path := slices.Concat(g.Path[:index], detour, g.Path[index+1:])
	l.release(g)
	return l.charge(path, g.tokens), true
}

// Restore releases a grant and reserves an earlier path of the same request
// again.
func (l *InstanceTracker) Restore(g, former Grant) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(g)
	return l.charge(former.Path, former.tokens)
}

// crossDomainPenalty is the number of requests that is added to the load of an
// instance in another failure domain than the preferred one.
const crossDomainPenalty = 4

// choosePlainService reserves the instance of a plain service with the fewest
// requests.
func (l *InstanceTracker) choosePlainService(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	var best, fallback *fleet.Instance
	bestLoad := 0
	full := false
	for _, in := range view.Instances {
		if in.Service != s.Name || in.Draining || slices.Contains(d.Avoid, in.ID) {
			continue
		}
		a := l.totalAccount(in.ID, now)
		load := a.requests
		if in.Domain != d.Domain {
			load += crossDomainPenalty
		}
		if l.isAvoided(in.ID, now) {
			// An avoided instance serves only if no other instance does, so
			// that avoidance never leaves a service without an instance.
			if fallback == nil || in.ID < fallback.ID {
				fallback = &in
			}
			continue
		}
		if a.requests >= in.Slots && in.Slots > 0 {
			full = true
			continue
		}
		if best == nil || load < bestLoad || load == bestLoad && in.ID < best.ID {
			best, bestLoad = &in, load
		}
	}
	if best == nil && !full {
		best = fallback
	}
	switch {
	case best != nil:
		return l.charge(Path{{Instance: best.ID, Address: best.Address}}, 0), nil
	case full:
		return Grant{}, ErrFull
	}
	return Grant{}, ErrNoInstance
}

// HasFasterPath reports whether another path would serve a demand in less than
// half the time per token that the path of a grant takes.
func (l *InstanceTracker) HasFasterPath(view *fleet.View, s *routing.Service, d Demand, g Grant, now time.Time) bool {
	alternative, err := l.Choose(view, s, d, now)
	if err != nil {
		return false
	}
	l.Release(alternative)
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.stepTime(view, s, alternative.Path, now) < l.stepTime(view, s, g.Path, now)
}

// stepTime returns the time of a token step over a path under the current load
// of its instances.
func (l *InstanceTracker) stepTime(view *fleet.View, s *routing.Service, p Path, now time.Time) time.Duration {
	var sum time.Duration
	for _, stage := range p {
		kind := s.Model.Accelerators[view.Instances[stage.Instance].Accelerator]
		sum += hopTime + time.Duration(stage.To-stage.From)*l.layerTime(s.Model, kind, l.totalAccount(stage.Instance, now))
	}
	return sum
}

// TotalLoad returns the load that all gateways together put on an instance:
// reserved token-layers of KV cache, and requests.
func (l *InstanceTracker) TotalLoad(id string, now time.Time) (tokenLayers float64, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.totalAccount(id, now)
	return a.tokenLayers, a.requests
}

// Prune deletes the accounts of instances that are not in the view and have no
// requests.
func (l *InstanceTracker) Prune(view *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		if _, known := view.Instances[id]; !known && a.requests == 0 {
			delete(l.accounts, id)
		}
	}
}
