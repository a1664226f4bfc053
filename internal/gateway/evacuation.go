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
	// evacuateInterval is the pause between two looks at the streams for which
	// no other instance was found.
	evacuateInterval = 250 * time.Millisecond
	// evacuateWorkers bounds the streams that are moved at a time.
	evacuateWorkers = 8
	// detourPause is the least time between two attempts to move one stream.
	detourPause = 500 * time.Millisecond
)

// activeStreams are the streams that instances work on.
type activeStreams struct {
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

// evacuate moves streams off instances that leave or give up layers, until ctx
// ends. Such an instance finishes the streams that pass through it, which can
// take longer than it stays, and delays the layers that it was ordered to hold.
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

func (g *Gateway) evacuateStreams(view *fleet.View) {
	var group errgroup.Group
	group.SetLimit(evacuateWorkers)
	for _, s := range g.streams.list() {
		path := s.currentGrant().Path
		for at, part := range path {
			if at > 0 && leaving(view, part) {
				group.Go(func() error {
					s.evacuatePart(part.Instance)
					return nil
				})
				break
			}
		}
	}
	_ = group.Wait()
}

// leaving reports whether an instance is about to stop running a part of a
// path. One that is gone without notice is found by the silence of its streams.
func leaving(view *fleet.View, part chain.Stage) bool {
	in, known := view.Instances[part.Instance]
	if !known {
		return false
	}
	return in.Draining || part.From < in.Layers.From || part.To > in.Layers.To
}

// evacuatePart replaces the part of an instance that leaves.
func (s *stream) evacuatePart(instance string) {
	now := time.Now()
	s.mu.Lock()
	early := now.Before(s.nextDetour)
	s.nextDetour = now.Add(detourPause)
	s.mu.Unlock()
	if !early {
		s.detour(instance)
	}
}
