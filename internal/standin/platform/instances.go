package platform

import (
	"maps"
	"slices"
	"time"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
)

// instanceList holds the current list of instances and the older list that
// clients see. It is not safe for concurrent use.
type instanceList struct {
	// lag is the delay after which a change becomes visible.
	lag     time.Duration
	current map[string]api.Instance
	// visible is the list that clients saw last.
	visible map[string]api.Instance
	// pending holds the changes that visible does not contain yet, oldest
	// first.
	pending []instanceChange
}

type instanceChange struct {
	time     time.Time
	instance api.Instance
	removed  bool
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, current: make(map[string]api.Instance), visible: make(map[string]api.Instance)}
}

// record applies a change to the current list and queues it for the visible
// one.
func (l *instanceList) record(now time.Time, i api.Instance, removed bool) {
	c := instanceChange{now, i, removed}
	c.apply(l.current)
	l.pending = append(l.pending, c)
}

func (c instanceChange) apply(instances map[string]api.Instance) {
	if c.removed {
		delete(instances, c.instance.ID)
		return
	}
	instances[c.instance.ID] = c.instance
}

// visibleAt returns the list that clients see at the time now: the list as it
// was one lag earlier. Increasing the lag does not hide changes that are
// already visible.
func (l *instanceList) visibleAt(now time.Time) []api.Instance {
	for len(l.pending) > 0 && !l.pending[0].time.After(now.Add(-l.lag)) {
		l.pending[0].apply(l.visible)
		l.pending = l.pending[1:]
	}
	return sortedByID(l.visible)
}

// sortedByID returns the instances sorted by ID.
func sortedByID(instances map[string]api.Instance) []api.Instance {
	rows := make([]api.Instance, 0, len(instances))
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		rows = append(rows, instances[id])
	}
	return rows
}
