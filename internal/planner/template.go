package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Template is a list of groups whose layer ranges cover each layer of a model, or
// of a range for a replacement, exactly once. Its fields don't change after it has
// been computed; Cost changes with the load of the groups.
type Template struct {
	// Keys are the keys of groups, in the order of the layers.
	Keys   []upstream.GroupKey
	groups []*upstream.Group
	// linkCost is the expected time that one step takes on the links, from the
	// measurements available when the template was computed.
	linkCost time.Duration
	// plannedCost is the value of Cost when the template was computed.
	plannedCost time.Duration
}

// PlannedCost returns the value of Cost when the template was computed.
func (t *Template) PlannedCost() time.Duration { return t.plannedCost }

// Cost returns the expected time of one step under current load.
func (t *Template) Cost() time.Duration {
	cost := t.linkCost
	for _, g := range t.groups {
		cost += g.Cost()
	}
	return cost
}

// isFeasible reports whether every group has a usable upstream.
func (t *Template) isFeasible() bool {
	for _, g := range t.groups {
		if g.UsableCount() == 0 {
			return false
		}
	}
	return true
}

func (t *Template) sameGroups(other *Template) bool { return slices.Equal(t.Keys, other.Keys) }

// compareTemplates orders templates by planned cost, then by their groups.
func compareTemplates(a, b *Template) int {
	return cmp.Or(cmp.Compare(a.plannedCost, b.plannedCost), slices.CompareFunc(a.Keys, b.Keys, upstream.GroupKey.Compare))
}

// span is the layer range that a path covers, with the failure domains that the
// path connects.
type span struct {
	layers pipeline.LayerRange
	// source and target are the failure domains before and after the path.
	source, target string
	// sourceBytes and targetBytes are the sizes of one step's data on the links
	// from the source and to the target.
	sourceBytes, targetBytes int
}

// wholeModelSpan returns the span of a whole model, which starts and ends at the
// entry.
func (p *Planner) wholeModelSpan(layers int) span {
	return span{layers: pipeline.LayerRange{To: layers}, source: p.config.Domain, target: p.config.Domain,
		sourceBytes: tokenBytes, targetBytes: tokenBytes}
}

// linkTime returns the expected time to send bytes between two failure domains.
func (p *Planner) linkTime(from, to string, bytes int) time.Duration {
	return p.directory.Links().Get(from, to).TransferTime(bytes)
}

// newTemplate returns the template of a whole chain over the given groups. Its
// planned cost is the current cost.
func (p *Planner) newTemplate(groups []*upstream.Group) *Template {
	return p.newSpanTemplate(p.wholeModelSpan(groups[0].Key.ModelLayers), groups)
}

// newSpanTemplate returns the template of a span over the given groups. Its planned
// cost is the current cost.
func (p *Planner) newSpanTemplate(s span, groups []*upstream.Group) *Template {
	t := &Template{groups: groups}
	from, bytes := s.source, s.sourceBytes
	for _, g := range groups {
		t.Keys = append(t.Keys, g.Key)
		t.linkCost += p.linkTime(from, g.Key.Domain, bytes)
		from, bytes = g.Key.Domain, p.config.ActivationBytes
	}
	t.linkCost += p.linkTime(from, s.target, s.targetBytes)
	t.plannedCost = t.Cost()
	return t
}

// variant is the model version and number of layers, which the stages of a chain
// must have in common.
type variant struct {
	version string
	layers  int
}

// cheapestTemplates returns the cheapest templates of a model over all its variants,
// cheapest first and at most modelTemplateLimit.
func (p *Planner) cheapestTemplates(model string, domains Domains, exclude Exclusions) []*Template {
	variants := make(map[variant][]*upstream.Group)
	for _, g := range p.candidates(model, domains, exclude) {
		v := variant{g.Key.Version, g.Key.ModelLayers}
		variants[v] = append(variants[v], g)
	}
	var found []*Template
	for v, groups := range variants {
		found = append(found, p.cheapestPaths(p.wholeModelSpan(v.layers), groups)...)
	}
	slices.SortFunc(found, compareTemplates)
	return found[:min(len(found), p.modelTemplateLimit(model))]
}

// modelTemplateLimit returns the maximum number of templates kept for a model.
func (p *Planner) modelTemplateLimit(model string) int {
	m := p.directory.Model(model)
	if m == nil {
		return MaxTemplates
	}
	return templateLimit(len(m.Groups))
}

// templateLimit returns the maximum number of templates for a number of groups.
func templateLimit(groups int) int {
	if groups <= SmallModelGroups {
		return MaxSmallModelTemplates
	}
	return MaxTemplates
}

// candidates returns the groups of a model that may be chosen, in the order of
// upstream.ModelGroups.Groups, which is the order of their keys.
func (p *Planner) candidates(model string, domains Domains, exclude Exclusions) []*upstream.Group {
	m := p.directory.Model(model)
	if m == nil {
		return nil
	}
	var groups []*upstream.Group
	for _, g := range m.Groups {
		if domains.allows(g.Key.Domain) && p.isAvailable(g, exclude) {
			groups = append(groups, g)
		}
	}
	return groups
}

// isAvailable reports whether a group has a usable upstream that is not excluded.
func (p *Planner) isAvailable(g *upstream.Group, exclude Exclusions) bool {
	if slices.Contains(exclude.Domains, g.Key.Domain) {
		return false
	}
	usable := g.UsableCount()
	for _, id := range exclude.Upstreams {
		if u, ok := p.directory.Get(id); ok && u.Group() == g && u.Status().Usable() {
			usable--
		}
	}
	return usable > 0
}

// partialPath is a path that covers a span from its start to the end of group's
// layers.
type partialPath struct {
	cost time.Duration
	// group is the last group of the path.
	group *upstream.Group
	// prev is the path without group, nil if group is the first group.
	prev *partialPath
}

// cheapestPaths returns the templates of the cheapest paths that cover a span,
// cheapest first and at most templateLimit. The groups must be of one variant. It
// is a shortest-path computation that keeps, for each group, the limit cheapest
// partial paths that end with the group. The groups that can precede a group in a
// path end where its layers begin, so a pass in the order of the first layers
// visits them before it. Keeping limit partial paths for each group is enough to
// find the limit cheapest paths.
func (p *Planner) cheapestPaths(s span, groups []*upstream.Group) []*Template {
	groups = slices.Clone(groups)
	slices.SortStableFunc(groups, func(a, b *upstream.Group) int {
		return cmp.Compare(a.Key.Layers.From, b.Key.Layers.From)
	})
	limit := templateLimit(len(groups))
	// endingAt holds the partial paths by the layer before which they end.
	endingAt := make(map[int][]*partialPath)
	for _, g := range groups {
		l := g.Key.Layers
		if l.Len() <= 0 || l.From < s.layers.From || l.To > s.layers.To {
			continue
		}
		cost := g.Cost()
		var best []*partialPath
		if l.From == s.layers.From {
			best = insertCheapest(limit, best, p.linkTime(s.source, g.Key.Domain, s.sourceBytes)+cost, g, nil)
		}
		for _, prev := range endingAt[l.From] {
			link := p.linkTime(prev.group.Key.Domain, g.Key.Domain, p.config.ActivationBytes)
			best = insertCheapest(limit, best, prev.cost+link+cost, g, prev)
		}
		endingAt[l.To] = append(endingAt[l.To], best...)
	}
	// best holds complete paths, whose cost includes the link to the target. Each
	// has the same group as its prev, the partial path without that link.
	var best []*partialPath
	for _, last := range endingAt[s.layers.To] {
		best = insertCheapest(limit, best, last.cost+p.linkTime(last.group.Key.Domain, s.target, s.targetBytes), last.group, last)
	}
	var found []*Template
	for _, end := range best {
		var path []*upstream.Group
		for partial := end.prev; partial != nil; partial = partial.prev {
			path = append(path, partial.group)
		}
		slices.Reverse(path)
		found = append(found, p.newSpanTemplate(s, path))
	}
	return found
}

// insertCheapest inserts a partial path into best, which is sorted by cost and holds
// at most limit paths. If best is full, the new path replaces the most expensive
// one, or is dropped if it is not cheaper than that.
func insertCheapest(limit int, best []*partialPath, cost time.Duration, g *upstream.Group, prev *partialPath) []*partialPath {
	if len(best) == limit {
		if cost >= best[limit-1].cost {
			return best
		}
		best = best[:limit-1]
	}
	index := len(best)
	for index > 0 && cost < best[index-1].cost {
		index--
	}
	return slices.Insert(best, index, &partialPath{cost: cost, group: g, prev: prev})
}
