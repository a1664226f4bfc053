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
	// chain returns a chain that covers the model, and the candidates that were
	// compared.
	chain(random *rand.Rand, r planner.Request) (planner.Decision, error)
	// replace returns stages that cover the layers of the stage at index,
	// without that stage.
	replace(random *rand.Rand, c planner.Chain, index int, r planner.Request) ([]planner.Stage, error)
}

// plannerChooser chooses with the planner.
type plannerChooser struct {
	planner *planner.Planner
}

func (c plannerChooser) chain(random *rand.Rand, r planner.Request) (planner.Decision, error) {
	return c.planner.Choose(time.Now(), random, r)
}

func (c plannerChooser) replace(random *rand.Rand, chain planner.Chain, index int, r planner.Request) ([]planner.Stage, error) {
	replacement, err := c.planner.ReplaceStage(time.Now(), random, chain, index, r)
	if err != nil {
		return nil, err
	}
	return replacement.Chain.Stages[replacement.Index : replacement.Index+replacement.Added], nil
}

// roundRobin cycles through the usable upstreams of each layer range without
// regard to their load or network distance. Only benchmarks use it, to compare
// with the planner.
type roundRobin struct {
	directory *upstream.Directory
	// turnCounters holds an *atomic.Uint64 for each first layer. With one
	// counter for all layer ranges, every request would get the same upstreams
	// if the number of replicas divides the number of stages.
	turnCounters sync.Map
}

func (c *roundRobin) chain(_ *rand.Rand, r planner.Request) (planner.Decision, error) {
	chain := planner.Chain{Model: r.Model}
	for nextLayer := 0; ; {
		u := c.nextUpstream(r, nextLayer, func(l pipeline.LayerRange) bool { return l.From == nextLayer })
		if u == nil {
			return planner.Decision{}, planner.ErrNoChain
		}
		chain.Stages = append(chain.Stages, newStage(u))
		nextLayer = u.Descriptor.Layers.To
		if nextLayer == u.Descriptor.ModelLayers {
			chain.Layers = nextLayer
			return planner.Decision{Chain: chain}, nil
		}
	}
}

func (c *roundRobin) replace(_ *rand.Rand, chain planner.Chain, index int, r planner.Request) ([]planner.Stage, error) {
	r.Exclude.Upstreams = append(r.Exclude.Upstreams, chain.Stages[index].ID)
	layers := chain.Stages[index].Layers
	u := c.nextUpstream(r, layers.From, func(l pipeline.LayerRange) bool { return l == layers })
	if u == nil {
		return nil, planner.ErrNoChain
	}
	return []planner.Stage{newStage(u)}, nil
}

// nextUpstream returns the next usable upstream of the model whose layer range
// matches, or nil if there is none. firstLayer selects the counter.
func (c *roundRobin) nextUpstream(r planner.Request, firstLayer int, matches func(pipeline.LayerRange) bool) *upstream.Upstream {
	var usable []*upstream.Upstream
	for _, u := range c.directory.All() {
		if u.Descriptor.Model == r.Model && u.Status().Usable() && matches(u.Descriptor.Layers) && !slices.Contains(r.Exclude.Upstreams, u.ID) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	counter, _ := c.turnCounters.LoadOrStore(firstLayer, new(atomic.Uint64))
	return usable[counter.(*atomic.Uint64).Add(1)%uint64(len(usable))]
}

func newStage(u *upstream.Upstream) planner.Stage {
	return planner.Stage{
		Upstream: u, ID: u.ID, Address: u.Address, Domain: u.Domain, Layers: u.Descriptor.Layers,
	}
}
