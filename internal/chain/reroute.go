package chain

import (
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Reroute replaces the stage of a grant that runs on the given instance by stages
// on other instances of the same cell or failure domain and moves the reservation to them. If no
// instances outside the path can replace the stage alone, it plans the rest of the path
// anew, from that stage on or after the first stage. It returns false if there is no such
// path or if the given instance runs the first stage, which can't be replaced.
func (t *InstanceTracker) Reroute(view *fleet.View, s *routing.Service, g Grant, instance string,
	now time.Time) (Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	index := slices.IndexFunc(g.Path, func(p Stage) bool { return p.Instance == instance })
	if index <= 0 {
		return g, false
	}
	group := view.GroupOf(g.Path[0].Instance)
	if group == nil {
		return g, false
	}
	list, _ := withoutBackoff(t.candidates(group, s, false, 0, now))
	list = excludeInstances(list, []string{instance})
	// Stages that are kept need not compute their layers again, so that the shortest part of
	// the path is tried first.
	for _, part := range [][2]int{{index, index + 1}, {index, len(g.Path)}, {1, len(g.Path)}} {
		if path, ok := replaceStages(g.Path, part[0], part[1], list, g.tokens); ok {
			t.release(g)
			return t.reserve(path, g.tokens), true
		}
	}
	return g, false
}

// replaceStages returns the path with other stages in place of those from from to to
// (exclusive), on candidates that the other stages do not use.
func replaceStages(p Path, from, to int, list []candidate, tokens float64) (Path, bool) {
	var kept []string
	for _, stage := range slices.Concat(p[:from], p[to:]) {
		kept = append(kept, stage.Instance)
	}
	layers := fleet.LayerRange{From: p[from].From, To: p[to-1].To}
	replacement, _, ok := searchPath(excludeInstances(slices.Clone(list), kept), layers, tokens, infiniteCost)
	if !ok || len(p)-(to-from)+len(replacement) > maxStages {
		return nil, false
	}
	return slices.Concat(p[:from], replacement, p[to:]), true
}
