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
	// evacuateInterval is the maximum interval between two passes over the active
	// streams. A new view starts a pass at once.
	evacuateInterval = 250 * time.Millisecond
	// evacuateWorkers bounds the number of streams that a pass reroutes at the
	// same time.
	evacuateWorkers = 8
	// rerouteInterval is the minimum interval between two attempts to move the
	// same stream off a leaving instance.
	rerouteInterval = 500 * time.Millisecond
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

// evacuate moves streams off instances that are draining or releasing layers,
// until ctx ends. A draining instance may become unavailable before its streams
// end. An instance that was ordered to hold other layers does not load them until
// the streams that use the released layers have ended.
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

// evacuateStreams tries to replace at most one stage of each active stream: the
// first one that a leaving instance runs, apart from the first stage of the path,
// which can't be replaced.
func (g *Gateway) evacuateStreams(view *fleet.View) {
	var group errgroup.Group
	group.SetLimit(evacuateWorkers)
	for _, s := range g.streams.list() {
		path := s.currentGrant().Path
		for i, stage := range path {
			if i > 0 && stageLeaving(view, stage) {
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

// stageLeaving reports whether the instance of a stage is leaving: it is draining
// or no longer holds all layers of the stage. An instance that disappears without
// notice is not reported here: it is detected because its streams send no more
// events.
func stageLeaving(view *fleet.View, stage chain.Stage) bool {
	in, known := view.Instances[stage.Instance]
	if !known {
		return false
	}
	return in.Draining || stage.From < in.Layers.From || stage.To > in.Layers.To
}

// evacuateStage replaces the stage of the path that a leaving instance runs. It
// does nothing if it was last called for the stream less than rerouteInterval
// ago, even if it did nothing then either.
func (s *stream) evacuateStage(instance string) {
	now := time.Now()
	s.mu.Lock()
	tooEarly := now.Before(s.nextReroute)
	s.nextReroute = now.Add(rerouteInterval)
	s.mu.Unlock()
	if !tooEarly {
		s.reroute(instance)
	}
}
