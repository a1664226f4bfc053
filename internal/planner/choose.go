package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Stage is one stage of a chosen chain.
type Stage struct {
	Upstream *upstream.Upstream  `json:"-"`
	ID       upstream.InstanceID `json:"id"`
	Address  string              `json:"address"`
	Domain   string              `json:"failure_domain"`
	Layers   pipeline.LayerRange `json:"layers"`
}

// Chain is a chosen chain. Its stages cover each layer of the model exactly once.
type Chain struct {
	Model   string  `json:"model"`
	Version string  `json:"version,omitempty"`
	Layers  int     `json:"layers"`
	Stages  []Stage `json:"stages"`
}

// Ranges returns the layer ranges of the stages in order.
func (c Chain) Ranges() []pipeline.LayerRange {
	ranges := make([]pipeline.LayerRange, 0, len(c.Stages))
	for _, s := range c.Stages {
		ranges = append(ranges, s.Layers)
	}
	return ranges
}

// Acquire counts a request in flight on the upstream of each stage.
func (c Chain) Acquire() {
	for _, s := range c.Stages {
		s.Upstream.Acquire()
	}
}

// Release reverts Acquire. After a replacement, the caller releases the upstreams
// of the removed stages and acquires those of the new stages.
func (c Chain) Release() {
	for _, s := range c.Stages {
		s.Upstream.Release()
	}
}

// Reason says why a template or an upstream was chosen or rejected.
type Reason string

// Reasons in decisions. reasonNotConsidered marks a candidate that has not been
// assessed yet.
const (
	ReasonCheapest      Reason = "cheapest template under current load"
	ReasonOnDemand      Reason = "planned on demand: no kept template is feasible"
	ReasonNotCheapest   Reason = "more expensive"
	ReasonInfeasible    Reason = "a group has no usable upstream that is not excluded"
	ReasonSameLayers    Reason = "replacement with the same layer range"
	ReasonOtherLayers   Reason = "replacement by other layer ranges"
	ReasonAffinity      Reason = "prefix affinity"
	ReasonTwoChoices    Reason = "power of two choices"
	ReasonOnlyUpstream  Reason = "only usable upstream"
	reasonNotConsidered Reason = ""
)

// Candidate is one template that was considered.
type Candidate struct {
	Groups []upstream.GroupKey `json:"groups"`
	// Cost is the expected time of one step.
	Cost   time.Duration `json:"cost"`
	Reason Reason        `json:"reason"`
}

// Pick explains the choice of an upstream within one group.
type Pick struct {
	Chosen upstream.InstanceID `json:"chosen"`
	// Cost is the expected time of one step on the chosen upstream.
	Cost time.Duration `json:"cost"`
	// Alternative is the upstream that Chosen was compared with, if any.
	Alternative     upstream.InstanceID `json:"other,omitempty"`
	AlternativeCost time.Duration       `json:"other_cost,omitempty"`
	Reason          Reason              `json:"reason"`
}

// Decision is a chosen chain with an explanation for operators.
type Decision struct {
	Chain      Chain       `json:"chain"`
	Candidates []Candidate `json:"candidates"`
	// Chosen is the index of the chosen candidate.
	Chosen int    `json:"chosen"`
	Picks  []Pick `json:"picks"`
}

// String formats the decision as one line per candidate and per pick.
func (d Decision) String() string {
	var b strings.Builder
	for i, c := range d.Candidates {
		mark := " "
		if i == d.Chosen {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s template %v: %v, %s\n", mark, c.Groups, c.Cost, c.Reason)
	}
	for i, pick := range d.Picks {
		fmt.Fprintf(&b, "  pick %d: %s (%v), %s", i, pick.Chosen, pick.Cost, pick.Reason)
		if pick.Alternative != "" {
			fmt.Fprintf(&b, ", compared with %s (%v)", pick.Alternative, pick.AlternativeCost)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// planAttempts limits how often one request is planned again because the members
// of every template that was found became unusable before they were picked.
const planAttempts = 10

// Choose returns a chain for a request. It returns ErrUnknownModel or
// ErrNoChain if there is none. Its running time doesn't depend on the number of
// upstreams, except for prefix affinity, which is logarithmic in the group's
// size. It plans over the groups only if no kept template is feasible. It doesn't
// count the request as in flight; the caller does that with Chain.Acquire.
func (p *Planner) Choose(now time.Time, rng *rand.Rand, r Request) (Decision, error) {
	current, computed, err := p.plan(now, r)
	if err != nil {
		return Decision{}, err
	}
	reason := ReasonCheapest
	if computed {
		reason = ReasonOnDemand
	}
	if d, ok := p.chooseFrom(now, rng, r, current.templates, reason); ok {
		return d, nil
	}
	// The kept templates are infeasible under the exclusions, or their members
	// became unusable after the plan was looked up.
	for range planAttempts {
		if len(current.templates) == 0 {
			break
		}
		found := p.cheapestTemplates(r.Model, r.Domains, r.Exclude)
		if len(found) == 0 {
			break
		}
		if d, ok := p.chooseFrom(now, rng, r, found, ReasonOnDemand); ok {
			return d, nil
		}
	}
	return Decision{}, fmt.Errorf("%w for model %q", ErrNoChain, r.Model)
}

// chooseFrom selects the cheapest feasible template under current load and picks
// an upstream in each of its groups. It returns false if no template is feasible.
func (p *Planner) chooseFrom(now time.Time, rng *rand.Rand, r Request, templates []*Template, reason Reason) (Decision, bool) {
	d := Decision{Candidates: make([]Candidate, len(templates))}
	for i, t := range templates {
		d.Candidates[i] = Candidate{Groups: t.Keys, Cost: t.Cost()}
		for _, g := range t.groups {
			if !p.isAvailable(g, r.Exclude) {
				d.Candidates[i].Reason = ReasonInfeasible
				break
			}
		}
	}
	for {
		d.Chosen = -1
		for i, c := range d.Candidates {
			if c.Reason == reasonNotConsidered && (d.Chosen < 0 || c.Cost < d.Candidates[d.Chosen].Cost) {
				d.Chosen = i
			}
		}
		if d.Chosen < 0 {
			return Decision{}, false
		}
		// The members may have changed since the check above.
		if p.pickMembers(now, rng, r, templates[d.Chosen], &d) {
			break
		}
		d.Candidates[d.Chosen].Reason = ReasonInfeasible
	}
	for i := range d.Candidates {
		if d.Candidates[i].Reason == reasonNotConsidered {
			d.Candidates[i].Reason = ReasonNotCheapest
		}
	}
	d.Candidates[d.Chosen].Reason = reason
	return d, true
}

// pickMembers picks an upstream in each group of a template and stores the chain
// and the picks in d. It returns false if a group has no allowed upstream.
func (p *Planner) pickMembers(now time.Time, rng *rand.Rand, r Request, t *Template, d *Decision) bool {
	first := t.Keys[0]
	d.Chain = Chain{Model: first.Model, Version: first.Version, Layers: first.ModelLayers,
		Stages: make([]Stage, 0, len(t.groups))}
	d.Picks = make([]Pick, 0, len(t.groups))
	for _, g := range t.groups {
		u, pick := pickMember(now, rng, g, r.Prefix, r.Exclude)
		if u == nil {
			return false
		}
		d.Chain.Stages = append(d.Chain.Stages, Stage{Upstream: u, ID: u.ID, Address: u.Address, Domain: u.Domain,
			Layers: g.Key.Layers})
		d.Picks = append(d.Picks, pick)
	}
	return true
}

// pickMember chooses a usable member of a group: the member preferred by prefix
// affinity if its load is within the bound, otherwise the cheaper of two random
// members.
func pickMember(now time.Time, rng *rand.Rand, g *upstream.Group, prefix uint64, exclude Exclusions) (*upstream.Upstream, Pick) {
	members := g.Members()
	n := len(members.List)
	if n == 0 {
		return nil, Pick{}
	}
	if prefix != 0 {
		mean := g.MeanOtherLoad()
		bound := math.Ceil(LoadBound * (g.MeanLoad() + 1/float64(n)))
		u := members.Preferred(prefix, func(u *upstream.Upstream) bool {
			return !exclude.has(u.ID) && u.EstimatedLoad(now, mean)+1 <= bound
		})
		if u != nil {
			return u, Pick{Chosen: u.ID, Cost: memberCost(g, u, now), Reason: ReasonAffinity}
		}
	}
	i := nextAllowed(members.List, rng.IntN(n), exclude, -1)
	if i < 0 {
		return nil, Pick{}
	}
	a, j := members.List[i], -1
	if n > 1 {
		// Starts from any index but i, each with the same probability.
		j = nextAllowed(members.List, (i+1+rng.IntN(n-1))%n, exclude, i)
	}
	if j < 0 {
		return a, Pick{Chosen: a.ID, Cost: memberCost(g, a, now), Reason: ReasonOnlyUpstream}
	}
	b := members.List[j]
	costA, costB := memberCost(g, a, now), memberCost(g, b, now)
	if costB < costA {
		a, b, costA, costB = b, a, costB, costA
	}
	return a, Pick{Chosen: a.ID, Cost: costA, Alternative: b.ID, AlternativeCost: costB, Reason: ReasonTwoChoices}
}

// memberCost returns the expected time of one more step or call on a member. The
// members of a group of engines share a failure domain, so the link delay differs
// only between the members of a service's pool.
func memberCost(g *upstream.Group, u *upstream.Upstream, now time.Time) time.Duration {
	cost := g.MemberCost(u, now)
	if g.Key.Service != "" {
		cost += 2 * u.Status().LinkDelay
	}
	return cost
}

// nextAllowed returns the index of the first member from index i on that is not
// excluded and does not have the index skip, or -1. It examines at most two more
// members than are excluded.
func nextAllowed(list []*upstream.Upstream, i int, exclude Exclusions, skip int) int {
	for range min(len(list), len(exclude.Upstreams)+2) {
		if i != skip && !exclude.has(list[i].ID) {
			return i
		}
		i = (i + 1) % len(list)
	}
	return -1
}

// ChooseService returns an upstream of a plain service, chosen by power of two
// choices. It returns ErrNoUpstream if none is usable.
func (p *Planner) ChooseService(now time.Time, rng *rand.Rand, service string, exclude Exclusions) (*upstream.Upstream, Pick, error) {
	if pool := p.directory.Service(service); pool != nil {
		if u, pick := pickMember(now, rng, pool, 0, exclude); u != nil {
			return u, pick, nil
		}
	}
	return nil, Pick{}, fmt.Errorf("%w of service %q", ErrNoUpstream, service)
}
