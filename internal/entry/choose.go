package entry

import (
	"cmp"
	"slices"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// leastLoaded chooses, for each layer boundary, the usable upstream with the
// least work in flight.
type leastLoaded struct {
	directory *upstream.Directory
}

func (c *leastLoaded) chain(s *sequence) ([]Stage, error) {
	var stages []Stage
	for next := 0; ; {
		u := c.best(s, func(l pipeline.LayerRange) bool { return l.From == next })
		if u == nil {
			return nil, ErrNoChain
		}
		stages = append(stages, stageOf(u))
		next = u.Descriptor.Layers.To
		if next == u.Descriptor.ModelLayers {
			return stages, nil
		}
	}
}

func (c *leastLoaded) replace(s *sequence, lost Stage) ([]Stage, error) {
	u := c.best(s, func(l pipeline.LayerRange) bool { return l == lost.Layers })
	if u == nil {
		return nil, ErrNoChain
	}
	return []Stage{stageOf(u)}, nil
}

func (c *leastLoaded) best(s *sequence, fits func(pipeline.LayerRange) bool) *upstream.Upstream {
	var candidates []*upstream.Upstream
	for _, u := range c.directory.All() {
		if u.Descriptor.Model == s.model && u.Status().Usable() && !s.excluded[u.ID] && fits(u.Descriptor.Layers) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *upstream.Upstream) int {
		return cmp.Compare(a.InFlight(), b.InFlight())
	})
}

func (c *leastLoaded) started(s Stage) {
	if u, ok := c.directory.Get(s.Instance); ok {
		u.Acquire()
	}
}

func (c *leastLoaded) ended(s Stage) {
	if u, ok := c.directory.Get(s.Instance); ok {
		u.Release()
	}
}

func stageOf(u *upstream.Upstream) Stage {
	return Stage{Instance: u.ID, Address: u.Address, Layers: u.Descriptor.Layers}
}
