package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// chooser chooses upstreams for the stages of a sequence.
type chooser interface {
	// chain returns a chain that covers the model, and what was weighed.
	chain(random *rand.Rand, r planner.Request) (planner.Decision, error)
	// replace returns stages that cover the layers of one stage of a chain.
	replace(random *rand.Rand, c planner.Chain, index int, r planner.Request) ([]planner.Stage, error)
}

// plannedChooser takes the planner's choices.
type plannedChooser struct {
	planner *planner.Planner
}

func (c plannedChooser) chain(random *rand.Rand, r planner.Request) (planner.Decision, error) {
	return c.planner.Choose(time.Now(), random, r)
}

func (c plannedChooser) replace(random *rand.Rand, chain planner.Chain, index int, r planner.Request) ([]planner.Stage, error) {
	found, err := c.planner.ReplaceStage(time.Now(), random, chain, index, r)
	if err != nil {
		return nil, err
	}
	return found.Chain.Stages[found.Index : found.Index+found.Added], nil
}

// roundRobin is the baseline of the measurements: it takes the usable
// upstreams of each layer range in turn, whatever their load or distance.
type roundRobin struct {
	directory *upstream.Directory
	// turns holds a counter for each first layer. One counter for all of them
	// would give every request the same upstreams if the stages divide the
	// replicas.
	turns sync.Map
}

func (c *roundRobin) chain(_ *rand.Rand, r planner.Request) (planner.Decision, error) {
	chain := planner.Chain{Model: r.Model}
	for next := 0; ; {
		u := c.next(r, next, func(l pipeline.LayerRange) bool { return l.From == next })
		if u == nil {
			return planner.Decision{}, planner.ErrNoChain
		}
		chain.Stages = append(chain.Stages, newStage(u))
		next = u.Descriptor.Layers.To
		if next == u.Descriptor.ModelLayers {
			chain.Layers = next
			return planner.Decision{Chain: chain}, nil
		}
	}
}

func (c *roundRobin) replace(_ *rand.Rand, chain planner.Chain, index int, r planner.Request) ([]planner.Stage, error) {
	r.Exclude.Upstreams = append(r.Exclude.Upstreams, chain.Stages[index].ID)
	layers := chain.Stages[index].Layers
	u := c.next(r, layers.From, func(l pipeline.LayerRange) bool { return l == layers })
	if u == nil {
		return nil, planner.ErrNoChain
	}
	return []planner.Stage{newStage(u)}, nil
}

func (c *roundRobin) next(r planner.Request, first int, fits func(pipeline.LayerRange) bool) *upstream.Upstream {
	var usable []*upstream.Upstream
	for _, u := range c.directory.All() {
		if u.Descriptor.Model == r.Model && u.Status().Usable() && fits(u.Descriptor.Layers) && !slices.Contains(r.Exclude.Upstreams, u.ID) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	turn, _ := c.turns.LoadOrStore(first, new(atomic.Uint64))
	return usable[turn.(*atomic.Uint64).Add(1)%uint64(len(usable))]
}

func newStage(u *upstream.Upstream) planner.Stage {
	return planner.Stage{
		Upstream: u, ID: u.ID, Address: u.Address, Domain: u.Domain, Layers: u.Descriptor.Layers,
	}
}
