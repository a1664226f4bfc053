package chain

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// memoryShare is the part of an instance's KV cache that is given out; the
// rest absorbs responses that grow longer than expected.
const memoryShare = 0.97

// account is the work of one instance as this process knows it.
type account struct {
	tokenLayers float64
	requests    int
	// slowness is the factor by which the instance was slower than its type
	// at slowAt.
	slowness float64
	slowAt   time.Time
	// avoidUntil is the time until which the instance gets no new work.
	avoidUntil time.Time
	failures   int
	// fullUntil is the time until which the instance gets new work only up to
	// fullAt token-layers, since it refused some; refusals counts those.
	fullUntil time.Time
	fullAt    float64
	refusals  int
	// unreachable counts the connections in a row that failed.
	unreachable int
	// lostUntil is the time until which the instance counts as lost. ownLoss
	// is true if this gateway found that out; it tells its peers, and asks the
	// instance at recheckAt whether it is back.
	lostUntil time.Time
	ownLoss   bool
	// leaving is true if the instance counts as lost because it refuses
	// requests for which it has room; it may still answer questions.
	leaving   bool
	recheckAt time.Time
}

// Ledger keeps account of the work that this process has given to instances.
// It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peerWork
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[string]*account), peers: make(map[string]*peerWork)}
}

// Demand describes a request that needs instances.
type Demand struct {
	// Tokens is the expected number of prompt and output tokens, 0 for plain
	// services.
	Tokens int
	// Domain is preferred.
	Domain string
	// Avoid lists instances that must not be used.
	Avoid []string
}

// Grant is a path with the work that it was charged for.
type Grant struct {
	Path   Path
	tokens float64
}

// account returns the work that all gateways have given to an instance, and
// what this one believes of it.
func (l *Ledger) account(id string, now time.Time) account {
	var sum account
	if a := l.accounts[id]; a != nil {
		sum = *a
	}
	if now.Sub(sum.slowAt) > slownessAge {
		sum.slowness = 1
	}
	for _, p := range l.peers {
		if now.Sub(p.at) > peerWorkAge {
			continue
		}
		work := p.loads[id]
		sum.tokenLayers += work.TokenLayers
		sum.requests += work.Requests
	}
	return sum
}

func (l *Ledger) entry(id string) *account {
	a := l.accounts[id]
	if a == nil {
		a = &account{}
		l.accounts[id] = a
	}
	return a
}

// Choose reserves the fastest path for a demand. It returns ErrNoInstance if
// no set of instances could serve it now, and ErrFull if they have no room.
func (l *Ledger) Choose(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Model == nil {
		return l.choosePlain(view, s, d, now)
	}
	return l.choosePath(view, s, d, now)
}

// Fits reports whether Choose would find a path for a demand.
func (l *Ledger) Fits(view *fleet.View, s *routing.Service, d Demand, now time.Time) bool {
	g, err := l.Choose(view, s, d, now)
	if err != nil {
		return false
	}
	l.Release(g)
	return true
}

// choosePath uses avoided instances only if there is no path without them, so
// that avoidance never empties a service.
func (l *Ledger) choosePath(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	g, err := l.fastestPath(view, s, d, false, now)
	if errors.Is(err, ErrNoInstance) {
		return l.fastestPath(view, s, d, true, now)
	}
	return g, err
}

func (l *Ledger) fastestPath(
	view *fleet.View, s *routing.Service, d Demand, avoided bool, now time.Time,
) (Grant, error) {
	var bestPath Path
	best, exists := never, false
	for _, domain := range domains(view, s.Name) {
		list := without(l.candidates(view, s, domain, avoided, now), d.Avoid)
		all := fleet.LayerRange{To: s.Model.Layers}
		path, cost, ok := shortest(list, all, float64(d.Tokens))
		if !ok {
			_, _, possible := shortest(list, all, 0)
			exists = exists || possible
			continue
		}
		exists = true
		if domain != d.Domain {
			cost += crossDomain
		}
		if cost < best {
			bestPath, best = path, cost
		}
	}
	switch {
	case bestPath != nil:
		return l.charge(bestPath, float64(d.Tokens)), nil
	case exists:
		return Grant{}, ErrFull
	}
	return Grant{}, ErrNoInstance
}

func without(list []candidate, avoid []string) []candidate {
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

// domains returns the failure domains of a service's instances.
func domains(view *fleet.View, service string) []string {
	var list []string
	for _, in := range view.Instances {
		if in.Service == service && !slices.Contains(list, in.Domain) {
			list = append(list, in.Domain)
		}
	}
	return list
}

func (l *Ledger) charge(p Path, tokens float64) Grant {
	for _, part := range p {
		a := l.entry(part.Instance)
		a.tokenLayers += tokens * float64(part.To-part.From)
		a.requests++
	}
	return Grant{p, tokens}
}

// Release returns what Choose reserved.
func (l *Ledger) Release(g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(g)
}

func (l *Ledger) release(g Grant) {
	for _, part := range g.Path {
		a := l.entry(part.Instance)
		a.tokenLayers -= g.tokens * float64(part.To-part.From)
		a.requests--
	}
}

// Detour replaces the part of a grant that an instance runs by others of the
// same failure domain, and charges them. It returns false if there are none, or
// if the instance runs the first part, which can't be replaced.
func (l *Ledger) Detour(view *fleet.View, s *routing.Service, g Grant, lost string, now time.Time) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.IndexFunc(g.Path, func(p Stage) bool { return p.Instance == lost })
	if at <= 0 {
		return g, false
	}
	domain := view.Instances[g.Path[0].Instance].Domain
	used := []string{lost}
	for _, part := range g.Path {
		used = append(used, part.Instance)
	}
	list := without(l.candidates(view, s, domain, false, now), used)
	gap := fleet.LayerRange{From: g.Path[at].From, To: g.Path[at].To}
	detour, _, ok := shortest(list, gap, g.tokens)
	if !ok || len(g.Path)+len(detour) > maxParts {
		return g, false
	}
	path := slices.Concat(g.Path[:at], detour, g.Path[at+1:])
	l.release(g)
	return l.charge(path, g.tokens), true
}

// Restore releases a grant and charges a former one of the same request again.
func (l *Ledger) Restore(g, former Grant) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(g)
	return l.charge(former.Path, former.tokens)
}

// foreignDomainLoad is how many requests of difference make an instance of
// another failure domain preferable.
const foreignDomainLoad = 4

// choosePlain takes the instance with the fewest requests.
func (l *Ledger) choosePlain(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Grant, error) {
	var best, fallback *fleet.Instance
	bestLoad := 0
	full := false
	for _, in := range view.Instances {
		if in.Service != s.Name || in.Draining || slices.Contains(d.Avoid, in.ID) {
			continue
		}
		a := l.account(in.ID, now)
		load := a.requests
		if in.Domain != d.Domain {
			load += foreignDomainLoad
		}
		if l.avoided(in.ID, now) {
			// Avoided instances serve only if nothing else does, so that
			// avoidance never empties a service.
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

// HasFasterPath reports whether another path would serve a demand in less than half
// the time for each token that the path of a grant takes.
func (l *Ledger) HasFasterPath(view *fleet.View, s *routing.Service, d Demand, g Grant, now time.Time) bool {
	other, err := l.Choose(view, s, d, now)
	if err != nil {
		return false
	}
	l.Release(other)
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.stepTime(view, s, other.Path, now) < l.stepTime(view, s, g.Path, now)
}

// stepTime returns the time of a token step over a path, with the load that
// its instances have.
func (l *Ledger) stepTime(view *fleet.View, s *routing.Service, p Path, now time.Time) time.Duration {
	var sum time.Duration
	for _, part := range p {
		kind := s.Model.Accelerators[view.Instances[part.Instance].Accelerator]
		sum += hopTime + time.Duration(part.To-part.From)*l.layerTime(s.Model, kind, l.account(part.Instance, now))
	}
	return sum
}

// TotalLoad returns the work that all gateways have given to an instance: token-layers
// of KV cache and requests.
func (l *Ledger) TotalLoad(id string, now time.Time) (tokenLayers float64, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(id, now)
	return a.tokenLayers, a.requests
}

// Prune drops the accounts of instances that are not in the view and have no
// work.
func (l *Ledger) Prune(view *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		if _, known := view.Instances[id]; !known && a.requests == 0 {
			delete(l.accounts, id)
		}
	}
}
