package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
)

const (
	// DefaultStepTime is the step time of upstreams that have not reported one.
	DefaultStepTime = 20 * time.Millisecond
	// DefaultBatch is the batch size of upstreams without MaxBatch.
	DefaultBatch = 1
)

// GroupKey identifies a group. A group holds either engines that can replace each
// other in a chain (same model, version, failure domain and layer range), or the
// pool of one plain service, for which only Service is set. The version is part
// of the key because stages of different versions must not be combined in one
// chain.
type GroupKey struct {
	Model       string
	Version     string
	ModelLayers int
	Domain      string
	Layers      pipeline.LayerRange
	Service     string
}

// String formats k for operators.
func (k GroupKey) String() string {
	if k.Service != "" {
		return "service " + k.Service
	}
	s := k.Model
	if k.Version != "" {
		s += "@" + k.Version
	}
	return fmt.Sprintf("%s%s in %s", s, k.Layers, k.Domain)
}

// Compare orders keys by service, model, version, number of model layers, layer
// range and failure domain.
func (k GroupKey) Compare(o GroupKey) int {
	return cmp.Or(cmp.Compare(k.Service, o.Service), cmp.Compare(k.Model, o.Model), cmp.Compare(k.Version, o.Version),
		cmp.Compare(k.ModelLayers, o.ModelLayers), cmp.Compare(k.Layers.From, o.Layers.From),
		cmp.Compare(k.Layers.To, o.Layers.To), cmp.Compare(k.Domain, o.Domain))
}

func groupKey(u *Upstream) GroupKey {
	d := u.Descriptor
	if d.Kind == KindService {
		return GroupKey{Service: d.Service}
	}
	return GroupKey{Model: d.Model, Version: d.Version, ModelLayers: d.ModelLayers, Domain: u.Domain, Layers: d.Layers}
}

// Group is a set of upstreams that can replace each other. Reads are safe for
// concurrent use and take no lock.
type Group struct {
	Key GroupKey
	// Name is Key.String(). Directory.Pools returns the group's pool under this
	// name.
	Name    string
	members atomic.Pointer[Members]
	// The following fields are sums over the usable members. reportedSteps is the
	// number of members with a reported step time. inFlight may miss work that
	// starts or ends during a change of membership until Sweep recomputes it.
	inFlight, otherLoad, stepMicrosSum, reportedSteps, batchSum atomic.Int64
	// allMembers holds every member, usable or not. Guarded by the directory's
	// mutex.
	allMembers map[InstanceID]*Upstream
}

func newGroup(key GroupKey) *Group {
	g := &Group{Key: key, Name: key.String(), allMembers: make(map[InstanceID]*Upstream)}
	g.members.Store(newMembers(nil))
	return g
}

// Members returns the usable members.
func (g *Group) Members() *Members { return g.members.Load() }

// UsableCount returns the number of usable members.
func (g *Group) UsableCount() int { return len(g.members.Load().List) }

// MeanOtherLoad returns the mean Status.OtherLoad of the usable members.
func (g *Group) MeanOtherLoad() float64 {
	return float64(g.otherLoad.Load()) / float64(max(g.UsableCount(), 1))
}

// MeanLoad returns the mean load of the usable members: this process's own work
// in flight plus the load of other processes.
func (g *Group) MeanLoad() float64 {
	return float64(max(g.inFlight.Load(), 0)+g.otherLoad.Load()) / float64(max(g.UsableCount(), 1))
}

// MeanStepTime returns the mean of the reported step times, or DefaultStepTime if
// there are none.
func (g *Group) MeanStepTime() time.Duration {
	n := g.reportedSteps.Load()
	if n <= 0 {
		return DefaultStepTime
	}
	return time.Duration(g.stepMicrosSum.Load()/n) * time.Microsecond
}

// MeanBatch returns the mean number of steps that a usable member runs at once.
func (g *Group) MeanBatch() float64 {
	return max(float64(g.batchSum.Load())/float64(max(g.UsableCount(), 1)), DefaultBatch)
}

// Cost returns the expected time of one step on an average member, including the
// time in the queue.
func (g *Group) Cost() time.Duration {
	step := g.MeanStepTime()
	return step + time.Duration(float64(step)*g.MeanLoad()/g.MeanBatch())
}

// MemberCost returns the expected time of one more step on a given member,
// including the time in the queue.
func (g *Group) MemberCost(u *Upstream, now time.Time) time.Duration {
	step := time.Duration(u.Status().Load.StepMicros) * time.Microsecond
	if step <= 0 {
		step = g.MeanStepTime()
	}
	batch := float64(max(u.Descriptor.MaxBatch, DefaultBatch))
	return step + time.Duration(float64(step)*u.EstimatedLoad(now, g.MeanOtherLoad())/batch)
}

// rebuildMembers recomputes the usable members and the sums. The directory's
// mutex must be held.
func (g *Group) rebuildMembers() {
	var usable []*Upstream
	for _, u := range g.allMembers {
		if u.Status().Usable() {
			usable = append(usable, u)
		}
	}
	g.members.Store(newMembers(usable))
	g.recomputeSums()
}

// recomputeSums recomputes the sums. The directory's mutex must be held.
func (g *Group) recomputeSums() {
	var inFlight, load, micros, steps, batch int64
	for _, u := range g.members.Load().List {
		l := u.Status().Load
		inFlight += u.inFlight.Load()
		load += u.Status().OtherLoad
		batch += int64(max(u.Descriptor.MaxBatch, DefaultBatch))
		if l.StepMicros > 0 {
			micros += l.StepMicros
			steps++
		}
	}
	g.inFlight.Store(inFlight)
	g.otherLoad.Store(load)
	g.stepMicrosSum.Store(micros)
	g.reportedSteps.Store(steps)
	g.batchSum.Store(batch)
}

// updateSums replaces the report of one usable member in the sums. The
// directory's mutex must be held.
func (g *Group) updateSums(old, next *Status) {
	oldMicros, nextMicros := max(old.Load.StepMicros, 0), max(next.Load.StepMicros, 0)
	g.otherLoad.Add(next.OtherLoad - old.OtherLoad)
	g.stepMicrosSum.Add(nextMicros - oldMicros)
	if (nextMicros > 0) != (oldMicros > 0) {
		if nextMicros > 0 {
			g.reportedSteps.Add(1)
		} else {
			g.reportedSteps.Add(-1)
		}
	}
}

// ModelGroups holds the groups of one model. It is immutable.
type ModelGroups struct {
	Model string
	// Groups is sorted by GroupKey.Compare.
	Groups []*Group
}

func (m *ModelGroups) with(g *Group) *ModelGroups {
	next := &ModelGroups{Model: g.Key.Model}
	if m != nil {
		next.Groups = slices.Clone(m.Groups)
	}
	i, _ := slices.BinarySearchFunc(next.Groups, g.Key, func(a *Group, k GroupKey) int { return a.Key.Compare(k) })
	next.Groups = slices.Insert(next.Groups, i, g)
	return next
}

func (m *ModelGroups) without(g *Group) *ModelGroups {
	next := &ModelGroups{Model: m.Model}
	for _, o := range m.Groups {
		if o != g {
			next.Groups = append(next.Groups, o)
		}
	}
	return next
}
