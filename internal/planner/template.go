package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Template is a sequence of groups that covers a model, or a part of it for a
// replacement. It is immutable.
type Template struct {
	// Groups are the groups' keys in the order of the layers.
	Groups []upstream.GroupKey
	groups []*upstream.Group
	// links is the time on the links as measured when the template was
	// computed.
	links time.Duration
	// planned is the cost when the template was computed.
	planned time.Duration
}

// Planned returns the cost when the template was computed.
func (t *Template) Planned() time.Duration { return t.planned }

// Cost returns the expected time of one step under current load.
func (t *Template) Cost() time.Duration {
	cost := t.links
	for _, g := range t.groups {
		cost += g.Cost()
	}
	return cost
}

// usable reports whether every group has a usable upstream.
func (t *Template) usable() bool {
	for _, g := range t.groups {
		if g.Usable() == 0 {
			return false
		}
	}
	return true
}

func (t *Template) same(o *Template) bool { return slices.Equal(t.Groups, o.Groups) }

func compareTemplates(a, b *Template) int {
	return cmp.Or(cmp.Compare(a.planned, b.planned), slices.CompareFunc(a.Groups, b.Groups, upstream.GroupKey.Compare))
}

// span is the part of a model that a path covers, and the ends it connects.
type span struct {
	layers pipeline.LayerRange
	// source and target are the failure domains before and after the path.
	source, target string
	// sourceBytes and targetBytes are the sizes of one step on the links at
	// the two ends.
	sourceBytes, targetBytes int
}

// whole returns the span of a whole model, which starts and ends at the entry.
func (p *Planner) whole(layers int) span {
	return span{layers: pipeline.LayerRange{To: layers}, source: p.config.Domain, target: p.config.Domain,
		sourceBytes: tokenBytes, targetBytes: tokenBytes}
}

func (p *Planner) link(from, to string, bytes int) time.Duration {
	return p.directory.Links().Get(from, to).TransferTime(bytes)
}

// template returns the template of a whole chain over the given groups with
// its current cost.
func (p *Planner) template(groups []*upstream.Group) *Template {
	return p.templateOver(p.whole(groups[0].Key.ModelLayers), groups)
}

func (p *Planner) templateOver(s span, groups []*upstream.Group) *Template {
	t := &Template{groups: groups}
	from, bytes := s.source, s.sourceBytes
	for _, g := range groups {
		t.Groups = append(t.Groups, g.Key)
		t.links += p.link(from, g.Key.Domain, bytes)
		from, bytes = g.Key.Domain, p.config.ActivationBytes
	}
	t.links += p.link(from, s.target, s.targetBytes)
	t.planned = t.Cost()
	return t
}

// variant is what the stages of one chain must have in common.
type variant struct {
	version string
	layers  int
}

// cheapest returns the templateLimit cheapest chains of a model over all its
// variants, cheapest first.
func (p *Planner) cheapest(model string, domains Domains, exclude Exclusions) []*Template {
	variants := make(map[variant][]*upstream.Group)
	for _, g := range p.candidates(model, domains, exclude) {
		v := variant{g.Key.Version, g.Key.ModelLayers}
		variants[v] = append(variants[v], g)
	}
	var found []*Template
	for v, groups := range variants {
		found = append(found, p.shortest(p.whole(v.layers), groups)...)
	}
	slices.SortFunc(found, compareTemplates)
	return found[:min(len(found), p.templateLimit(model))]
}

// templateLimit returns the number of templates kept for a model.
func (p *Planner) templateLimit(model string) int {
	m := p.directory.Model(model)
	if m == nil {
		return MaxTemplates
	}
	return templateLimit(len(m.Groups))
}

func templateLimit(groups int) int {
	if groups <= SmallModelGroups {
		return MaxSmallModelTemplates
	}
	return MaxTemplates
}

// candidates returns the groups of a model that may be chosen, in the order of
// their keys.
func (p *Planner) candidates(model string, domains Domains, exclude Exclusions) []*upstream.Group {
	m := p.directory.Model(model)
	if m == nil {
		return nil
	}
	var groups []*upstream.Group
	for _, g := range m.Groups {
		if domains.allows(g.Key.Domain) && p.available(g, exclude) {
			groups = append(groups, g)
		}
	}
	return groups
}

// available reports whether a group has a usable upstream that is not excluded.
func (p *Planner) available(g *upstream.Group, exclude Exclusions) bool {
	if slices.Contains(exclude.Domains, g.Key.Domain) {
		return false
	}
	usable := g.Usable()
	for _, id := range exclude.Upstreams {
		if u, ok := p.directory.Get(id); ok && u.Group() == g && u.Status().Usable() {
			usable--
		}
	}
	return usable > 0
}

// partial is a path that ends in a group.
type partial struct {
	cost  time.Duration
	group *upstream.Group
	prev  *partial
}

// shortest returns up to templateLimit cheapest group sequences that cover a span,
// cheapest first. The groups must be of one variant. It is a shortest-path
// computation over the states (boundary, group): a path's groups have strictly
// increasing boundaries, so one pass in order of boundary visits every state
// after its predecessors, and keeping the K cheapest partial paths of each
// state yields the K cheapest paths.
func (p *Planner) shortest(s span, groups []*upstream.Group) []*Template {
	groups = slices.Clone(groups)
	slices.SortStableFunc(groups, func(a, b *upstream.Group) int {
		return cmp.Compare(a.Key.Layers.From, b.Key.Layers.From)
	})
	limit := templateLimit(len(groups))
	ending := make(map[int][]*partial)
	for _, g := range groups {
		l := g.Key.Layers
		if l.Len() <= 0 || l.From < s.layers.From || l.To > s.layers.To {
			continue
		}
		step := g.Cost()
		var best []*partial
		if l.From == s.layers.From {
			best = keepCheapest(limit, best, p.link(s.source, g.Key.Domain, s.sourceBytes)+step, g, nil)
		}
		for _, prev := range ending[l.From] {
			link := p.link(prev.group.Key.Domain, g.Key.Domain, p.config.ActivationBytes)
			best = keepCheapest(limit, best, prev.cost+link+step, g, prev)
		}
		ending[l.To] = append(ending[l.To], best...)
	}
	var best []*partial
	for _, last := range ending[s.layers.To] {
		best = keepCheapest(limit, best, last.cost+p.link(last.group.Key.Domain, s.target, s.targetBytes), last.group, last)
	}
	var found []*Template
	for _, end := range best {
		var path []*upstream.Group
		for at := end.prev; at != nil; at = at.prev {
			path = append(path, at.group)
		}
		slices.Reverse(path)
		found = append(found, p.templateOver(s, path))
	}
	return found
}

// keepCheapest inserts a partial path into a sorted list of at most limit.
func keepCheapest(limit int, best []*partial, cost time.Duration, g *upstream.Group, prev *partial) []*partial {
	if len(best) == limit {
		if cost >= best[limit-1].cost {
			return best
		}
		best = best[:limit-1]
	}
	at := len(best)
	for at > 0 && cost < best[at-1].cost {
		at--
	}
	return slices.Insert(best, at, &partial{cost: cost, group: g, prev: prev})
}
