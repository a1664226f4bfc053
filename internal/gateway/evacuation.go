package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

const (
	// evacuateInterval is the interval between two attempts to move streams for
	// which no other instance was found.
	evacuateInterval = 250 * time.Millisecond
	// evacuateWorkers bounds the number of streams that are moved concurrently.
	evacuateWorkers = 8
	// detourInterval is the minimum interval between two attempts to move the
	// same stream.
	detourInterval = 500 * time.Millisecond
)

// activeStreams is the set of streams that are running on instances.
type activeStreams struct {
	// mu guards set.
	mu  sync.Mutex
	set map[*stream]struct{}
}

func newActiveStreams() *activeStreams {
	return &activeStreams{set: make(map[*stream]struct{})}
}

func (a *activeStreams) add(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set[s] = struct{}{}
}

func (a *activeStreams) remove(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.set, s)
}

func (a *activeStreams) list() []*stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*stream, 0, len(a.set))
	for s := range a.set {
		list = append(list, s)
	}
	return list
}

// evacuate moves streams off instances that are draining or giving up layers,
// until ctx ends. Such an instance would otherwise finish its streams first,
// which can take longer than the instance remains available and delays loading
// the layers that it was ordered to hold.
func (g *Gateway) evacuate(ctx context.Context) {
	ticker := time.NewTicker(evacuateInterval)
	defer ticker.Stop()
	for {
		view := g.directory.View()
		g.evacuateStreams(view)
		select {
		case <-ctx.Done():
			return
		case <-view.Changed:
		case <-ticker.C:
		}
	}
}

// evacuateStreams tries once to move every stream that passes through a leaving
// instance. The first instance of a path can't be replaced.
func (g *Gateway) evacuateStreams(view *fleet.View) {
	var group errgroup.Group
	group.SetLimit(evacuateWorkers)
	for _, s := range g.streams.list() {
		path := s.currentGrant().Path
		for at, stage := range path {
			if at > 0 && stageLeaving(view, stage) {
				group.Go(func() error {
					s.evacuateStage(stage.Instance)
					return nil
				})
				break
			}
		}
	}
	_ = group.Wait()
}

// stageLeaving reports whether an instance is about to stop running its stage
// of a path. An instance that disappears without notice is not reported here:
// it is detected because its streams fall silent.
func stageLeaving(view *fleet.View, stage chain.Stage) bool {
	in, known := view.Instances[stage.Instance]
	if !known {
		return false
	}
	return in.Draining || stage.From < in.Layers.From || stage.To > in.Layers.To
}

// evacuateStage replaces the stage of the path that a leaving instance runs,
// unless the stream was tried less than detourInterval ago.
func (s *stream) evacuateStage(instance string) {
	now := time.Now()
	s.mu.Lock()
	early := now.Before(s.nextDetour)
	s.nextDetour = now.Add(detourInterval)
	s.mu.Unlock()
	if !early {
		s.detour(instance)
	}
}
