package upstream

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultSuspectAfter is the time without a heartbeat after which an
	// upstream becomes suspect. It is four heartbeat intervals of 250 ms.
	DefaultSuspectAfter = time.Second
	// DefaultRemoveAfter is the time without a heartbeat after which an
	// upstream is removed.
	DefaultRemoveAfter = time.Minute
)

// ErrUnknownUpstream is returned for an instance that is not in the directory
// and for a process that is not the registered one of its instance.
var ErrUnknownUpstream = errors.New("upstream: unknown instance or process")

// DirectoryConfig configures a Directory. Zero values select the defaults.
type DirectoryConfig struct {
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
}

// Registration describes one process of an instance.
type Registration struct {
	ID InstanceID
	// Process is random for each start of the process.
	Process string
	Address string
	// Domain is the failure domain.
	Domain     string
	Descriptor Descriptor
	Revision   uint64
}

// Heartbeat is one report of a sidecar.
type Heartbeat struct {
	State State
	Load  Load
	// LinkDelay is the measured one-way delay. 0 keeps the last measurement.
	LinkDelay time.Duration
	Revision  uint64
}

// Transition is a change of an upstream's state. From equals To if the state did
// not change. An upstream that becomes suspect or gone gets no new work, and the
// sequences that run on it must move to replacements.
type Transition struct {
	Upstream *Upstream
	From, To State
}

// Directory holds what a process knows about the upstreams. Lookups take no
// lock. Updates are serialized and copy only the tables of groups that they
// change.
type Directory struct {
	config DirectoryConfig
	links  *Links
	// mu serializes updates. It guards groups and the fields of upstreams and
	// groups that are marked as guarded by the directory's mutex.
	mu         sync.Mutex
	upstreams  sync.Map // of InstanceID to *Upstream
	groups     map[GroupKey]*Group
	models     atomic.Pointer[map[string]*ModelGroups]
	services   atomic.Pointer[map[string]*Group]
	generation atomic.Uint64
}

// NewDirectory returns an empty directory.
func NewDirectory(config DirectoryConfig) *Directory {
	config.SuspectAfter = cmp.Or(config.SuspectAfter, DefaultSuspectAfter)
	config.RemoveAfter = cmp.Or(config.RemoveAfter, DefaultRemoveAfter)
	d := &Directory{config: config, links: NewLinks(), groups: make(map[GroupKey]*Group)}
	d.models.Store(&map[string]*ModelGroups{})
	d.services.Store(&map[string]*Group{})
	return d
}

// Register adds an instance in StateJoining. If the instance is registered with
// another process, descriptor, address or failure domain, its old Upstream
// becomes gone and this transition is returned. Repeating a registration has no
// effect.
func (d *Directory) Register(now time.Time, r Registration) (*Upstream, []Transition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var replaced []Transition
	u := newUpstream(r, now)
	if old, ok := d.Get(r.ID); ok {
		same := old.Address == r.Address && old.Domain == r.Domain && old.Descriptor == r.Descriptor
		if old.Process == r.Process && same {
			return old, nil
		}
		u.markedLeaving = old.markedLeaving && old.Process == r.Process
		replaced = append(replaced, d.remove(old))
	}
	key := groupKey(u)
	g, ok := d.groups[key]
	if !ok {
		g = newGroup(key)
		d.groups[key] = g
		d.addToIndex(g)
	}
	u.group = g
	g.allMembers[u.ID] = u
	d.upstreams.Store(u.ID, u)
	return u, replaced
}

// Heartbeat stores a report. It returns ErrUnknownUpstream if process is not the
// registered process of the instance. An upstream that was leaving never becomes
// ready again within the same process.
func (d *Directory) Heartbeat(now time.Time, id InstanceID, process string, hb Heartbeat) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok || u.Process != process {
		return Transition{}, ErrUnknownUpstream
	}
	old := u.Status()
	next := *old
	next.State = hb.State
	u.markedLeaving = u.markedLeaving || hb.State == StateLeaving
	if u.markedLeaving {
		next.State = StateLeaving
	}
	next.OtherLoad = otherLoad(hb.Load, u.InFlight())
	next.Load, next.ReportedAt, next.LastHeartbeat = hb.Load, now, now
	next.LinkDelay = cmp.Or(hb.LinkDelay, old.LinkDelay)
	next.Revision = max(old.Revision, hb.Revision)
	return d.setStatus(u, &next), nil
}

// MarkSuspect marks an upstream as suspect until its next heartbeat, because its
// connection was lost or it did not answer a probe. It returns
// ErrUnknownUpstream if process is not the registered process of the instance.
func (d *Directory) MarkSuspect(id InstanceID, process string) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok || u.Process != process {
		return Transition{}, ErrUnknownUpstream
	}
	return d.setState(u, StateSuspect), nil
}

// MarkLeaving marks an instance as leaving because of the platform's list of
// instances or an operator. A suspect instance remains suspect until its next
// heartbeat.
func (d *Directory) MarkLeaving(id InstanceID) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok {
		return Transition{}, ErrUnknownUpstream
	}
	u.markedLeaving = true
	if u.Status().State == StateSuspect {
		return Transition{Upstream: u, From: StateSuspect, To: StateSuspect}, nil
	}
	return d.setState(u, StateLeaving), nil
}

// Remove removes an instance, whose Upstream becomes gone.
func (d *Directory) Remove(id InstanceID) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok {
		return Transition{}, ErrUnknownUpstream
	}
	return d.remove(u), nil
}

// SetEjected marks an instance as ejected or readmits it.
func (d *Directory) SetEjected(id InstanceID, ejected bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok {
		return ErrUnknownUpstream
	}
	next := *u.Status()
	next.Ejected = ejected
	d.setStatus(u, &next)
	return nil
}

// Sweep makes upstreams without recent heartbeats suspect, removes those without
// heartbeats for longer, and recomputes the sums of all groups. It returns the
// transitions. It takes O(n) time and is called in the background, at least once
// per heartbeat interval.
func (d *Directory) Sweep(now time.Time) []Transition {
	d.mu.Lock()
	defer d.mu.Unlock()
	var transitions []Transition
	d.upstreams.Range(func(_, v any) bool {
		u := v.(*Upstream)
		s := u.Status()
		sinceHeartbeat := now.Sub(s.LastHeartbeat)
		switch {
		case sinceHeartbeat >= d.config.RemoveAfter:
			transitions = append(transitions, d.remove(u))
		case sinceHeartbeat >= d.config.SuspectAfter && s.State != StateSuspect:
			transitions = append(transitions, d.setState(u, StateSuspect))
		}
		return true
	})
	for _, g := range d.groups {
		g.recomputeSums()
	}
	return transitions
}

// Get returns the upstream with the given instance id.
func (d *Directory) Get(id InstanceID) (*Upstream, bool) {
	v, ok := d.upstreams.Load(id)
	if !ok {
		return nil, false
	}
	return v.(*Upstream), true
}

// Model returns the groups of a model, or nil.
func (d *Directory) Model(name string) *ModelGroups { return (*d.models.Load())[name] }

// Models returns the names of the models in ascending order.
func (d *Directory) Models() []string { return slices.Sorted(maps.Keys(*d.models.Load())) }

// Service returns the group of a plain service, or nil.
func (d *Directory) Service(name string) *Group { return (*d.services.Load())[name] }

// Links returns the table of links between failure domains.
func (d *Directory) Links() *Links { return d.links }

// Generation increases whenever the set of usable upstreams changes.
func (d *Directory) Generation() uint64 { return d.generation.Load() }

// Pools returns the ready upstreams of each group by the name of the group, in
// the form that Ejector.SetPool takes. Ejected upstreams are included. A group
// without a ready upstream has an empty pool. Pools takes O(n log n) time and is
// intended for background work.
func (d *Directory) Pools() map[string][]InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make(map[string][]InstanceID, len(d.groups))
	for _, g := range d.groups {
		ready := []InstanceID{}
		for id, u := range g.allMembers {
			if u.Status().State == StateReady {
				ready = append(ready, id)
			}
		}
		slices.Sort(ready)
		pools[g.Name] = ready
	}
	return pools
}

// All returns all upstreams sorted by instance id.
func (d *Directory) All() []*Upstream {
	var all []*Upstream
	d.upstreams.Range(func(_, v any) bool {
		all = append(all, v.(*Upstream))
		return true
	})
	slices.SortFunc(all, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (d *Directory) setState(u *Upstream, s State) Transition {
	next := *u.Status()
	next.State = s
	return d.setStatus(u, &next)
}

// setStatus stores a status and updates the group of the upstream: its usable
// members if the upstream becomes usable or unusable, or else its sums if the
// upstream is usable. d.mu must be held.
func (d *Directory) setStatus(u *Upstream, next *Status) Transition {
	old := u.status.Swap(next)
	switch {
	case old.Usable() != next.Usable():
		u.group.rebuildMembers()
		d.generation.Add(1)
	case next.Usable():
		u.group.updateSums(old, next)
	}
	return Transition{Upstream: u, From: old.State, To: next.State}
}

// remove makes an upstream gone and removes it. It also removes the group if no
// member, usable or not, is left. d.mu must be held.
func (d *Directory) remove(u *Upstream) Transition {
	transition := d.setState(u, StateGone)
	g := u.group
	d.upstreams.Delete(u.ID)
	delete(g.allMembers, u.ID)
	if len(g.allMembers) == 0 {
		delete(d.groups, g.Key)
		d.removeFromIndex(g)
	}
	return transition
}

func (d *Directory) addToIndex(g *Group) {
	if g.Key.Service != "" {
		services := maps.Clone(*d.services.Load())
		services[g.Key.Service] = g
		d.services.Store(&services)
		return
	}
	models := maps.Clone(*d.models.Load())
	models[g.Key.Model] = models[g.Key.Model].with(g)
	d.models.Store(&models)
}

func (d *Directory) removeFromIndex(g *Group) {
	if g.Key.Service != "" {
		services := maps.Clone(*d.services.Load())
		delete(services, g.Key.Service)
		d.services.Store(&services)
		return
	}
	models := maps.Clone(*d.models.Load())
	next := models[g.Key.Model].without(g)
	if len(next.Groups) == 0 {
		delete(models, g.Key.Model)
	} else {
		models[g.Key.Model] = next
	}
	d.models.Store(&models)
}
