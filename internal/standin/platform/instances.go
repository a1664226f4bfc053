package platform

import (
	"maps"
	"slices"
	"time"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
)

// instanceList is the list of instances, and its older state that callers see.
// It is not safe for concurrent use.
type instanceList struct {
	lag     time.Duration
	current map[string]api.Instance
	visible map[string]api.Instance
	// changes are those that visible lacks, oldest first.
	changes []instanceChange
}

type instanceChange struct {
	time     time.Time
	instance api.Instance
	removed  bool
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, current: make(map[string]api.Instance), visible: make(map[string]api.Instance)}
}

func (l *instanceList) change(now time.Time, i api.Instance, removed bool) {
	c := instanceChange{now, i, removed}
	c.apply(l.current)
	l.changes = append(l.changes, c)
}

func (c instanceChange) apply(instances map[string]api.Instance) {
	if c.removed {
		delete(instances, c.instance.ID)
		return
	}
	instances[c.instance.ID] = c.instance
}

// lagging returns the list as it was one lag ago. A longer lag doesn't make
// visible changes invisible again.
func (l *instanceList) lagging(now time.Time) []api.Instance {
	for len(l.changes) > 0 && !l.changes[0].time.After(now.Add(-l.lag)) {
		l.changes[0].apply(l.visible)
		l.changes = l.changes[1:]
	}
	return sorted(l.visible)
}

func sorted(instances map[string]api.Instance) []api.Instance {
	rows := make([]api.Instance, 0, len(instances))
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		rows = append(rows, instances[id])
	}
	return rows
}
