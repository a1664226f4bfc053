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
	// DefaultStepTime is assumed for upstreams that have not reported a step time.
	DefaultStepTime = 20 * time.Millisecond
	// DefaultBatch is assumed for upstreams that don't state MaxBatch.
	DefaultBatch = 1
)

// GroupKey identifies a group: engines that can replace each other in a chain
// (same model, version, failure domain and layer range), or the pool of one
// plain service, for which only Service is set. The version is part of the key
// because stages of different versions must not be combined in one chain.
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

// Compare orders keys by version, layer range and failure domain.
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
	// Name is Key.String(); it names the group's pool in an Ejector.
	Name    string
	members atomic.Pointer[Members]
	// The sums cover the usable members. inFlight may be off by the work that
	// starts or ends during a change of membership; Sweep counts it anew.
	inFlight, others, stepMicros, steps, batch atomic.Int64
	// known holds every member, usable or not. Guarded by the directory's
	// mutex.
	known map[InstanceID]*Upstream
}

func newGroup(key GroupKey) *Group {
	g := &Group{Key: key, Name: key.String(), known: make(map[InstanceID]*Upstream)}
	g.members.Store(newMembers(nil))
	return g
}

// Members returns the usable members.
func (g *Group) Members() *Members { return g.members.Load() }

// Usable returns the number of usable members.
func (g *Group) Usable() int { return len(g.members.Load().List) }

// MeanOtherLoad returns the mean of the usable members' Status.Others.
func (g *Group) MeanOtherLoad() float64 {
	return float64(g.others.Load()) / float64(max(g.Usable(), 1))
}

// MeanLoad returns the mean of own work in flight plus the others' load.
func (g *Group) MeanLoad() float64 {
	return float64(max(g.inFlight.Load(), 0)+g.others.Load()) / float64(max(g.Usable(), 1))
}

// MeanStepTime returns the mean step time, or DefaultStep if none is reported.
func (g *Group) MeanStepTime() time.Duration {
	n := g.steps.Load()
	if n <= 0 {
		return DefaultStepTime
	}
	return time.Duration(g.stepMicros.Load()/n) * time.Microsecond
}

// MeanBatch returns the mean number of steps that a member runs at once.
func (g *Group) MeanBatch() float64 {
	return max(float64(g.batch.Load())/float64(max(g.Usable(), 1)), DefaultBatch)
}

// Cost returns the expected time of one step: queueing plus the step itself.
func (g *Group) Cost() time.Duration {
	step := g.MeanStepTime()
	return step + time.Duration(float64(step)*g.MeanLoad()/g.MeanBatch())
}

// MemberCost returns the expected time of one more step on a member.
func (g *Group) MemberCost(u *Upstream, now time.Time) time.Duration {
	step := time.Duration(u.Status().Load.StepMicros) * time.Microsecond
	if step <= 0 {
		step = g.MeanStepTime()
	}
	batch := float64(max(u.Descriptor.MaxBatch, DefaultBatch))
	return step + time.Duration(float64(step)*u.EstimatedLoad(now, g.MeanOtherLoad())/batch)
}

// rebuild recomputes the usable members. The directory's mutex must be held.
func (g *Group) rebuild() {
	var usable []*Upstream
	for _, u := range g.known {
		if u.Status().Usable() {
			usable = append(usable, u)
		}
	}
	g.members.Store(newMembers(usable))
	g.recount()
}

// recount recomputes the sums. The directory's mutex must be held.
func (g *Group) recount() {
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
	g.others.Store(load)
	g.stepMicros.Store(micros)
	g.steps.Store(steps)
	g.batch.Store(batch)
}

// update replaces the report of one usable member in the sums. The directory's
// mutex must be held.
func (g *Group) update(old, next *Status) {
	was, is := max(old.Load.StepMicros, 0), max(next.Load.StepMicros, 0)
	g.others.Add(next.OtherLoad - old.OtherLoad)
	g.stepMicros.Add(is - was)
	if (is > 0) != (was > 0) {
		if is > 0 {
			g.steps.Add(1)
		} else {
			g.steps.Add(-1)
		}
	}
}

// ModelGroups are the groups of one model. It is immutable.
type ModelGroups struct {
	Model string
	// Groups is in the order of GroupKey.Compare.
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
