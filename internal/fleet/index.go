package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/nutmegroute/nutmegroute/internal/cell"
)

// Cells says how the failure domains are divided into cells, as one gateway knows it.
type Cells struct {
	// Counts holds the number of cells of the failure domains that are divided.
	Counts map[string]int
	// Own is the key of the gateway's own cell, Partners holds those of its partners. They are
	// used only if a failure domain is divided.
	Own      string
	Partners []string

	// keys holds the keys of the cells of the divided failure domains, by index.
	keys map[string][]string
}

// withKeys returns c with keys set.
func (c Cells) withKeys() Cells {
	c.keys = make(map[string][]string, len(c.Counts))
	for domain, n := range c.Counts {
		for i := range n {
			c.keys[domain] = append(c.keys[domain], cell.ID{Domain: domain, Index: i, Of: n}.Key())
		}
	}
	return c
}

func (c Cells) equal(other Cells) bool {
	return c.Own == other.Own && maps.Equal(c.Counts, other.Counts) && slices.Equal(c.Partners, other.Partners)
}

// Group holds the instances of one service in one cell, or in a failure domain that is not
// divided.
type Group struct {
	Domain string
	// Cell is the key of the cell.
	Cell string
	// Instances holds the instances in the order of their ids. It must not be modified.
	Instances []*Instance
	// Covered is the number of layers, counted from the first, that the instances which are
	// not draining hold without a gap.
	Covered int
}

// groupKey identifies a Group.
type groupKey struct{ service, cell string }

// index holds the instances of a view by service and cell.
type index struct {
	groups map[groupKey]*Group
	// near holds the groups of each service in the own cell and its partners, far the others.
	// All groups are near if no failure domain is divided.
	near, far map[string][]*Group
	sizes     map[string]cell.Sizes
}

// Cell returns the key of the cell of an instance.
func (v *View) Cell(in *Instance) string {
	keys := v.cells.keys[in.Domain]
	if len(keys) == 0 {
		return in.Domain
	}
	return keys[cell.OfInstance(in.ID, len(keys))]
}

// Cells says how the failure domains are divided.
func (v *View) Cells() Cells { return v.cells }

// Divided reports whether a failure domain is divided into cells.
func (v *View) Divided() bool { return len(v.cells.Counts) > 0 }

// Groups returns the instances of a service by cell: near holds those of the own cell and
// its partners, far the others. Without cells all are near, by failure domain.
func (v *View) Groups(service string) (near, far []*Group) {
	x := v.indexed()
	return x.near[service], x.far[service]
}

// GroupOf returns the group of an instance, nil if it is not in the view.
func (v *View) GroupOf(id string) *Group {
	in, known := v.Instances[id]
	if !known {
		return nil
	}
	return v.indexed().groups[groupKey{in.Service, v.Cell(&in)}]
}

// Sizes returns the numbers of instances of each failure domain.
func (v *View) Sizes() map[string]cell.Sizes { return v.indexed().sizes }

// indexed returns the index, which is built when it is first used: a view may be replaced
// before that.
func (v *View) indexed() *index {
	v.indexOnce.Do(func() {
		x := &index{groups: make(map[groupKey]*Group)}
		for _, in := range v.Instances {
			x.group(v, &in).add(&in)
		}
		for _, g := range x.groups {
			g.finish()
		}
		x.arrange(v)
		v.index.Store(x)
	})
	return v.index.Load()
}

// inheritIndex builds the index of a view from that of an earlier view with the same cells, if
// that has one. Only the groups of the given instances differ.
func (v *View) inheritIndex(earlier *View, changed []string) {
	old := earlier.index.Load()
	if old == nil {
		return
	}
	changed = slices.Compact(slices.Sorted(slices.Values(changed)))
	v.indexOnce.Do(func() {
		x := &index{groups: maps.Clone(old.groups)}
		rebuilt := make(map[groupKey]bool)
		for _, id := range changed {
			for _, instances := range []map[string]Instance{earlier.Instances, v.Instances} {
				if in, known := instances[id]; known {
					rebuilt[groupKey{in.Service, v.Cell(&in)}] = true
				}
			}
		}
		for key := range rebuilt {
			x.rebuild(v, key, changed)
		}
		x.arrange(v)
		v.index.Store(x)
	})
}

// rebuild replaces a group by one in which the given instances, in the order of their ids, are
// as in the view.
func (x *index) rebuild(v *View, key groupKey, changed []string) {
	old := x.groups[key]
	delete(x.groups, key)
	if old != nil {
		for _, in := range old.Instances {
			if _, found := slices.BinarySearch(changed, in.ID); !found {
				x.group(v, in).add(in)
			}
		}
	}
	for _, id := range changed {
		if in, known := v.Instances[id]; known && in.Service == key.service && v.Cell(&in) == key.cell {
			x.group(v, &in).add(&in)
		}
	}
	if g := x.groups[key]; g != nil {
		g.finish()
	}
}

// group returns the group of an instance and creates it if needed.
func (x *index) group(v *View, in *Instance) *Group {
	key := groupKey{in.Service, v.Cell(in)}
	g := x.groups[key]
	if g == nil {
		g = &Group{Domain: in.Domain, Cell: key.cell}
		x.groups[key] = g
	}
	return g
}

func (g *Group) add(in *Instance) { g.Instances = append(g.Instances, in) }

// finish sorts the instances and computes Covered.
func (g *Group) finish() {
	slices.SortFunc(g.Instances, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	ranges := make([]LayerRange, 0, len(g.Instances))
	for _, in := range g.Instances {
		if !in.Draining {
			ranges = append(ranges, in.Layers)
		}
	}
	slices.SortFunc(ranges, func(a, b LayerRange) int { return cmp.Compare(a.From, b.From) })
	for _, r := range ranges {
		if r.From <= g.Covered {
			g.Covered = max(g.Covered, r.To)
		}
	}
}

// arrange fills near, far and sizes from the groups.
func (x *index) arrange(v *View) {
	x.near, x.far = make(map[string][]*Group), make(map[string][]*Group)
	x.sizes = make(map[string]cell.Sizes)
	models := make(map[groupKey]int)
	for key, g := range x.groups {
		if !v.Divided() || g.Cell == v.cells.Own || slices.Contains(v.cells.Partners, g.Cell) {
			x.near[key.service] = append(x.near[key.service], g)
		} else {
			x.far[key.service] = append(x.far[key.service], g)
		}
		s := x.sizes[g.Domain]
		s.Instances += len(g.Instances)
		x.sizes[g.Domain] = s
		for _, in := range g.Instances {
			if in.Accelerator != "" {
				models[groupKey{key.service, g.Domain}] += len(g.Instances)
				break
			}
		}
	}
	for key, n := range models {
		s := x.sizes[key.cell]
		if s.SmallestModel == 0 || n < s.SmallestModel {
			s.SmallestModel = n
			x.sizes[key.cell] = s
		}
	}
	// Gateways of different cells begin with different ones of the far groups.
	start := 0
	if v.Divided() {
		start = cell.OfInstance(v.cells.Own, 1<<16)
	}
	for _, lists := range []map[string][]*Group{x.near, x.far} {
		for _, list := range lists {
			slices.SortFunc(list, func(a, b *Group) int { return strings.Compare(a.Cell, b.Cell) })
		}
	}
	for service, list := range x.far {
		at := start % len(list)
		x.far[service] = slices.Concat(list[at:], list[:at])
	}
}
