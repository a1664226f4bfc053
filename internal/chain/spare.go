package chain

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// ChooseSpare is Choose for work that may be left undone. It uses no avoided instance, sends
// nothing to one that has named a limit, since first attempts need what that allows, and
// returns ErrFull unless the share spare of the capacity stays free: of the slots of a plain
// service, or of the slots and the KV cache of each instance of the path.
func (t *InstanceTracker) ChooseSpare(
	view *fleet.View, s *routing.Service, d Demand, spare float64, now time.Time,
) (Grant, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, err := t.choose(view, s, d, now)
	if err != nil {
		return Grant{}, err
	}
	if !t.leavesSpare(view, s, g, 1-spare, now) {
		t.release(g)
		return Grant{}, ErrFull
	}
	t.takeSend(g.Path.First().Instance)
	return g, nil
}

// isLimited reports whether an instance has named a limit that holds.
func (t *InstanceTracker) isLimited(id string, now time.Time) bool {
	l := t.limits[id]
	return l != nil && !l.over(now)
}

// leavesSpare reports whether at most the share maxUsed of the capacity is in use while a
// grant is reserved, none of its instances is avoided and the first one has no limit.
func (t *InstanceTracker) leavesSpare(
	view *fleet.View, s *routing.Service, g Grant, maxUsed float64, now time.Time,
) bool {
	if t.isLimited(g.Path.First().Instance, now) {
		return false
	}
	for _, stage := range g.Path {
		if t.isAvoided(stage.Instance, now) {
			return false
		}
		if s.Model == nil {
			continue
		}
		in, state := view.Instances[stage.Instance], t.totalState(stage.Instance, now)
		limit := maxUsed * KVCacheCapacity(s.Model, s.Model.Accelerators[in.Accelerator], in.Layers.Len())
		if state.tokenLayers > limit || in.Slots > 0 && float64(state.requests) > maxUsed*float64(in.Slots) ||
			t.isFull(in.ID, now) {
			return false
		}
	}
	return s.Model != nil || t.plainServiceLeavesSpare(view, s, maxUsed, now)
}

// plainServiceLeavesSpare reports whether at most the share maxUsed of the slots of a plain
// service is in use. Instances that are avoided, have named a limit or want no requests have
// no slots.
func (t *InstanceTracker) plainServiceLeavesSpare(
	view *fleet.View, s *routing.Service, maxUsed float64, now time.Time,
) bool {
	used, slots := 0, 0
	for _, in := range view.Instances {
		if in.Service != s.Name || in.Draining || t.isAvoided(in.ID, now) || t.isLimited(in.ID, now) ||
			t.instances[in.ID].backsOff(now) {
			continue
		}
		if in.Slots <= 0 {
			return true // an instance without a limit always has free slots
		}
		slots += in.Slots
		used += t.totalState(in.ID, now).requests
	}
	return float64(used) <= maxUsed*float64(slots)
}
