package planner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

var epoch = time.Unix(1_700_000_000, 0)

func addEngine(d *upstream.Directory, id int, domain, version string, layers int, r pipeline.LayerRange, l upstream.Load) {
	name := upstream.InstanceID(fmt.Sprint("e", id))
	d.Register(epoch, upstream.Registration{ID: name, Process: "p", Domain: domain, Descriptor: upstream.Descriptor{
		Kind: upstream.KindEngine, Model: "m", Version: version, ModelLayers: layers, Layers: r, MaxBatch: 8}})
	heartbeat(d, name, l)
}

func heartbeat(d *upstream.Directory, id upstream.InstanceID, l upstream.Load) {
	_, _ = d.Heartbeat(epoch, id, "p", upstream.Heartbeat{State: upstream.StateReady, Load: l})
}

func drawLoad(t *rapid.T) upstream.Load {
	return upstream.Load{Queued: rapid.IntRange(0, 50).Draw(t, "queued"), StepMicros: int64(rapid.IntRange(1000, 9000).Draw(t, "step"))}
}

func drawTopology(t *rapid.T) (*upstream.Directory, *Planner, int) {
	d := upstream.NewDirectory(upstream.DirectoryConfig{})
	layers := rapid.IntRange(1, 4).Draw(t, "layers")
	for i := range rapid.IntRange(1, 30).Draw(t, "engines") {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		to := rapid.IntRange(from+1, min(from+2, layers)).Draw(t, "to")
		addEngine(d, i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			rapid.SampledFrom([]string{"v1", "v1", "v1", "v1", "v2"}).Draw(t, "version"), layers,
			pipeline.LayerRange{From: from, To: to}, drawLoad(t))
	}
	for _, from := range []string{"a", "b", "c"} {
		for _, to := range []string{"a", "b", "c"} {
			d.Links().Observe(from, to, time.Duration(rapid.IntRange(1, 90000).Draw(t, "us"))*time.Microsecond, 1e7)
		}
	}
	return d, New(Config{Domain: "a"}, d), layers
}

// bruteForceCosts enumerates all chains over a span and returns their costs, sorted.
func bruteForceCosts(p *Planner, groups []*upstream.Group, s span) []time.Duration {
	var costs []time.Duration
	var extend func(at int, from, version string, bytes int, cost time.Duration)
	extend = func(at int, from, version string, bytes int, cost time.Duration) {
		if at == s.layers.To {
			costs = append(costs, cost+p.linkTime(from, s.target, s.targetBytes))
			return
		}
		for _, g := range groups {
			if g.Key.Layers.From == at && g.Key.Layers.To <= s.layers.To && (version == "" || g.Key.Version == version) {
				extend(g.Key.Layers.To, g.Key.Domain, g.Key.Version, p.config.ActivationBytes,
					cost+p.linkTime(from, g.Key.Domain, bytes)+g.Cost())
			}
		}
	}
	extend(s.layers.From, s.source, "", s.sourceBytes, 0)
	slices.Sort(costs)
	return costs
}

// Guards against templates that are not the cheapest chains, chains that don't
// cover each layer exactly once or mix versions, and chains with excluded
// upstreams or failure domains.
func TestTemplatesMatchBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, p, layers := drawTopology(t)
		r := Request{Model: "m", Prefix: uint64(rapid.IntRange(0, 2).Draw(t, "prefix"))}
		if rapid.Bool().Draw(t, "restricted") {
			r.Domains = NewDomains([]string{"b", "a", "a"})
		}
		if rapid.Bool().Draw(t, "excluded") {
			r.Exclude = Exclusions{Upstreams: []upstream.InstanceID{"e0", "e1"}, Domains: []string{"b"}}
		}
		var allowed []*upstream.Group
		for _, g := range d.Model("m").Groups {
			if r.Domains.allows(g.Key.Domain) {
				allowed = append(allowed, g)
			}
		}
		costs := bruteForceCosts(p, allowed, p.wholeModelSpan(layers))
		p.Rebuild(epoch)
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		chosen, err := p.Choose(epoch, rng, r)
		templates := p.Templates("m", r.Domains)
		assert.Equal(t, len(templates), min(len(costs), templateLimit(len(d.Model("m").Groups))))
		for i, template := range templates {
			assert.Equal(t, template.PlannedCost(), costs[i])
		}
		feasible := bruteForceCosts(p, p.candidates("m", r.Domains, r.Exclude), p.wholeModelSpan(layers))
		if len(feasible) == 0 {
			assert.Assert(t, errors.Is(err, ErrNoChain))
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, chosen.Candidates[chosen.Chosen].Cost == feasible[0])
		checkChain(t, chosen.Chain, r)
		checkReplacement(t, p, rng, chosen.Chain, r)
	})
}

func checkChain(t *rapid.T, c Chain, r Request) {
	assert.NilError(t, pipeline.ValidateChain(c.Layers, c.Ranges()))
	for _, s := range c.Stages {
		assert.Equal(t, s.Upstream.Descriptor.Version, c.Version)
		assert.Assert(t, r.Domains.allows(s.Domain) && !r.Exclude.has(s.ID) && !slices.Contains(r.Exclude.Domains, s.Domain))
	}
}

func checkReplacement(t *rapid.T, p *Planner, rng *rand.Rand, c Chain, r Request) {
	index := rapid.IntRange(0, len(c.Stages)-1).Draw(t, "index")
	failed := c.Stages[index]
	replacement, err := p.ReplaceStage(epoch, rng, c, index, r)
	r.Exclude.Upstreams = append(slices.Clone(r.Exclude.Upstreams), failed.ID)
	var groups, sameRange []*upstream.Group
	for _, g := range p.candidates("m", r.Domains, r.Exclude) {
		if g.Key.Version == c.Version {
			groups = append(groups, g)
			if g.Key.Layers == failed.Layers {
				sameRange = append(sameRange, g)
			}
		}
	}
	s := span{layers: failed.Layers}
	if len(bruteForceCosts(p, groups, s)) == 0 {
		assert.ErrorIs(t, err, ErrNoChain)
		return
	}
	assert.NilError(t, err)
	checkChain(t, replacement.Chain, r)
	assert.Equal(t, len(replacement.Chain.Stages), len(c.Stages)-1+replacement.Added)
	assert.DeepEqual(t, replacement.Chain.Ranges()[:index], c.Ranges()[:index])
	assert.DeepEqual(t, replacement.Chain.Ranges()[index+replacement.Added:], c.Ranges()[index+1:])
	assert.Assert(t, len(sameRange) == 0 || replacement.Added == 1)
}

// Guards against templates that flap with changing load, that are far from the
// optimum after many rebuilds, or that are kept without a usable upstream.
func TestRebuildHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, p, layers := drawTopology(t)
		for range 10 {
			before := p.Templates("m", Domains{})
			for _, u := range d.All() {
				_ = d.SetEjected(u.ID, rapid.IntRange(0, 5).Draw(t, "ejected") == 0)
				heartbeat(d, u.ID, drawLoad(t))
			}
			p.Rebuild(epoch)
			costs := bruteForceCosts(p, p.candidates("m", Domains{}, Exclusions{}), p.wholeModelSpan(layers))
			after := p.Templates("m", Domains{})
			assert.Equal(t, len(after), min(len(costs), templateLimit(len(d.Model("m").Groups))))
			for _, template := range after {
				assert.Assert(t, template.isFeasible())
			}
			if len(costs) > 0 {
				assert.Assert(t, float64(after[0].PlannedCost())*(1-Hysteresis) <= float64(costs[0])+1)
			}
			for _, template := range before {
				if template.isFeasible() && !slices.ContainsFunc(after, template.sameGroups) {
					// Only a template that is cheaper by the hysteresis replaces it.
					assert.Assert(t, float64(after[0].PlannedCost()) < (1-Hysteresis)*float64(p.newTemplate(template.groups).PlannedCost()))
				}
			}
		}
	})
}

// Guards against requests that fail between the loss of a failure domain and
// the next rebuild although another chain exists.
func TestChooseAfterFailureDomainLoss(t *testing.T) {
	d := upstream.NewDirectory(upstream.DirectoryConfig{})
	for i := range 8 {
		layers := pipeline.LayerRange{From: i / 4 * 4, To: i/4*4 + 4}
		addEngine(d, i, "a", "", 8, layers, upstream.Load{StepMicros: 1000})
		addEngine(d, i+8, "b", "", 8, layers, upstream.Load{Queued: 900, StepMicros: 1000})
	}
	p := New(Config{Domain: "a"}, d)
	p.Rebuild(epoch)
	for _, u := range d.All() {
		if u.Domain == "a" {
			_, err := d.MarkSuspect(u.ID, "p")
			assert.NilError(t, err)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	got, err := p.Choose(epoch, rng, Request{Model: "m"})
	assert.NilError(t, err)
	for _, s := range got.Chain.Stages {
		assert.Equal(t, s.Domain, "b")
	}
	_, err = p.Choose(epoch, rng, Request{Model: "other"})
	assert.ErrorIs(t, err, ErrUnknownModel)
}

// Guards against prefix affinity that overloads one member of a group.
func TestPrefixAffinityIsBounded(t *testing.T) {
	d := upstream.NewDirectory(upstream.DirectoryConfig{})
	for i := range 10 {
		addEngine(d, i, "a", "", 1, pipeline.LayerRange{To: 1}, upstream.Load{})
	}
	p := New(Config{Domain: "a"}, d)
	p.Rebuild(epoch)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		got, err := p.Choose(epoch, rng, Request{Model: "m", Prefix: 42})
		assert.NilError(t, err)
		assert.Equal(t, got.Picks[0].Reason, ReasonAffinity)
		got.Chain.Acquire()
	}
	for _, u := range d.All() {
		assert.Assert(t, u.InFlight() <= 50, "%s has %d requests, the bound is 1.25 times the mean of 40", u.ID, u.InFlight())
	}
}

// Guards against data races and against chains with uncovered layers while
// membership and templates change during concurrent requests.
func TestPlannerConcurrentUse(t *testing.T) {
	d := upstream.NewDirectory(upstream.DirectoryConfig{})
	for i := range 24 {
		from := i % 4
		addEngine(d, i, string(rune('a'+i%3)), "", 4, pipeline.LayerRange{From: from, To: from + 1}, upstream.Load{})
	}
	p := New(Config{Domain: "a"}, d)
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range 150 {
				id := upstream.InstanceID(fmt.Sprint("e", rng.IntN(20)))
				_ = d.SetEjected(id, i%2 == 0)
				heartbeat(d, id, upstream.Load{Queued: i})
				if i%10 == 0 {
					p.Rebuild(epoch)
				}
				got, err := p.Choose(epoch, rng, Request{Model: "m", Prefix: uint64(i % 3)})
				if err != nil {
					t.Errorf("no chain although e20 to e23 are always usable: %v", err)
					return
				}
				if err := pipeline.ValidateChain(4, got.Chain.Ranges()); err != nil {
					t.Error(err)
				}
				got.Chain.Acquire()
				got.Chain.Release()
			}
		})
	}
	wg.Wait()
}
