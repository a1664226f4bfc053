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

// Chain is a chosen chain. Its stages cover the model exactly once.
type Chain struct {
	Model   string  `json:"model"`
	Version string  `json:"version,omitempty"`
	Layers  int     `json:"layers"`
	Stages  []Stage `json:"stages"`
}

// Ranges returns the stages' layer ranges in order.
func (c Chain) Ranges() []pipeline.LayerRange {
	ranges := make([]pipeline.LayerRange, 0, len(c.Stages))
	for _, s := range c.Stages {
		ranges = append(ranges, s.Layers)
	}
	return ranges
}

// Acquire counts the chain as work in flight on each stage.
func (c Chain) Acquire() {
	for _, s := range c.Stages {
		s.Upstream.Acquire()
	}
}

// Release ends what Acquire counted. After a replacement, the caller releases
// the removed stages and acquires the new ones by their Upstream.
func (c Chain) Release() {
	for _, s := range c.Stages {
		s.Upstream.Release()
	}
}

// Reason says why something was chosen or rejected.
type Reason string

// Reasons in decisions.
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

// Pick explains the choice within one group.
type Pick struct {
	Chosen upstream.InstanceID `json:"chosen"`
	// Cost is the expected time of one step on the chosen upstream.
	Cost time.Duration `json:"cost"`
	// Alternative is the upstream it was compared with, if any.
	Alternative     upstream.InstanceID `json:"other,omitempty"`
	AlternativeCost time.Duration       `json:"other_cost,omitempty"`
	Reason          Reason              `json:"reason"`
}

// Decision is a chosen chain and its explanation for operators.
type Decision struct {
	Chain      Chain       `json:"chain"`
	Candidates []Candidate `json:"candidates"`
	// Chosen is the index of the chosen candidate.
	Chosen int    `json:"chosen"`
	Picks  []Pick `json:"picks"`
}

// String formats d in several lines.
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

// planAttempts bounds how often one request plans anew because the members of
// every template it found became unusable before they were picked.
const planAttempts = 10

// Choose returns a chain for a request. It returns ErrUnknownModel or
// ErrNoChain if there is none. Its time doesn't depend on the number of
// upstreams but for prefix affinity, which is logarithmic in the group's size;
// only if no kept template is feasible it plans over the groups. It doesn't
// count the chain as work in flight; the caller does, with Chain.Acquire.
func (p *Planner) Choose(now time.Time, rng *rand.Rand, r Request) (Decision, error) {
	current, fresh, err := p.plan(now, r)
	if err != nil {
		return Decision{}, err
	}
	reason := ReasonCheapest
	if fresh {
		reason = ReasonOnDemand
	}
	if d, ok := p.choose(now, rng, r, current.templates, reason); ok {
		return d, nil
	}
	// The kept templates don't fit the exclusions, or their members became
	// unusable after the plan was looked up.
	for range planAttempts {
		if len(current.templates) == 0 {
			break
		}
		found := p.cheapest(r.Model, r.Domains, r.Exclude)
		if len(found) == 0 {
			break
		}
		if d, ok := p.choose(now, rng, r, found, ReasonOnDemand); ok {
			return d, nil
		}
	}
	return Decision{}, fmt.Errorf("%w for model %q", ErrNoChain, r.Model)
}

// choose takes the cheapest feasible template under current load and picks an
// upstream in each of its groups. It returns false if no template is feasible.
func (p *Planner) choose(now time.Time, rng *rand.Rand, r Request, templates []*Template, reason Reason) (Decision, bool) {
	d := Decision{Candidates: make([]Candidate, len(templates))}
	for i, t := range templates {
		d.Candidates[i] = Candidate{Groups: t.Groups, Cost: t.Cost()}
		for _, g := range t.groups {
			if !p.available(g, r.Exclude) {
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
		if p.pickAll(now, rng, r, templates[d.Chosen], &d) {
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

func (p *Planner) pickAll(now time.Time, rng *rand.Rand, r Request, t *Template, d *Decision) bool {
	first := t.Groups[0]
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

// pickMember chooses a usable member of a group: by prefix affinity if the
// preferred member's load is within the bound, otherwise the cheaper of two
// random members.
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
			return !exclude.upstream(u.ID) && u.EstimatedLoad(now, mean)+1 <= bound
		})
		if u != nil {
			return u, Pick{Chosen: u.ID, Cost: memberCost(g, u, now), Reason: ReasonAffinity}
		}
	}
	i := probe(members.List, rng.IntN(n), exclude, -1)
	if i < 0 {
		return nil, Pick{}
	}
	a, j := members.List[i], -1
	if n > 1 {
		// Any index but i, each with the same probability.
		j = probe(members.List, (i+1+rng.IntN(n-1))%n, exclude, i)
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

// memberCost is the expected time of one more step or call on a member. The
// members of a group of engines share a failure domain, so the link matters
// only between members of a service's pool.
func memberCost(g *upstream.Group, u *upstream.Upstream, now time.Time) time.Duration {
	cost := g.MemberCost(u, now)
	if g.Key.Service != "" {
		cost += 2 * u.Status().LinkDelay
	}
	return cost
}

// probe returns the index of the first allowed member from index i on, or -1.
// It looks at no more members than are excluded, plus two.
func probe(list []*upstream.Upstream, i int, exclude Exclusions, taken int) int {
	for range min(len(list), len(exclude.Upstreams)+2) {
		if i != taken && !exclude.upstream(list[i].ID) {
			return i
		}
		i = (i + 1) % len(list)
	}
	return -1
}

// ChooseService returns an upstream of a plain service, by power of two
// choices. It returns ErrNoUpstream if none is usable.
func (p *Planner) ChooseService(now time.Time, rng *rand.Rand, service string, exclude Exclusions) (*upstream.Upstream, Pick, error) {
	if pool := p.directory.Service(service); pool != nil {
		if u, pick := pickMember(now, rng, pool, 0, exclude); u != nil {
			return u, pick, nil
		}
	}
	return nil, Pick{}, fmt.Errorf("%w of service %q", ErrNoUpstream, service)
}
