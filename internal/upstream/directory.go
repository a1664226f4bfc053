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
	// upstream becomes suspect: four heartbeat intervals of 250 ms.
	DefaultSuspectAfter = time.Second
	// DefaultRemoveAfter is the time without a heartbeat after which an
	// upstream is dropped.
	DefaultRemoveAfter = time.Minute
)

// ErrUnknownUpstream is returned for an instance that the directory doesn't
// hold, or whose process has been replaced.
var ErrUnknownUpstream = errors.New("upstream: unknown instance or process")

// DirectoryConfig configures a Directory. Zero values select the defaults.
type DirectoryConfig struct {
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
}

// Registration introduces one process of an instance.
type Registration struct {
	ID InstanceID
	// Process is random for each start of the instance.
	Process    string
	Address    string
	Domain     string
	Descriptor Descriptor
	Revision   uint64
}

// Heartbeat is one report of a sidecar.
type Heartbeat struct {
	State State
	Load  Load
	// LinkDelay is the one-way delay; 0 keeps the last measurement.
	LinkDelay time.Duration
	Revision  uint64
}

// Transition is a change of an upstream's state. Sequences on an upstream that
// becomes suspect or gone must move to replacements.
type Transition struct {
	Upstream *Upstream
	From, To State
}

// Directory is what a process knows about the upstreams. Reads take no lock;
// writes are serialized and copy only the group or model that they change.
type Directory struct {
	config     DirectoryConfig
	links      *Links
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

// Register adds an instance as joining. If the directory holds another process or
// another descriptor of the instance, the old Upstream becomes gone and is
// returned as a transition. A repeated Register changes nothing.
func (d *Directory) Register(now time.Time, h Registration) (*Upstream, []Transition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var replaced []Transition
	u := newUpstream(h, now)
	if old, ok := d.Get(h.ID); ok {
		same := old.Address == h.Address && old.Domain == h.Domain && old.Descriptor == h.Descriptor
		if old.Process == h.Process && same {
			return old, nil
		}
		u.drained = old.drained && old.Process == h.Process
		replaced = append(replaced, d.drop(old))
	}
	key := groupKey(u)
	g, ok := d.groups[key]
	if !ok {
		g = newGroup(key)
		d.groups[key] = g
		d.index(g)
	}
	u.group = g
	g.known[u.ID] = u
	d.upstreams.Store(u.ID, u)
	return u, replaced
}

// Heartbeat installs a report. It returns ErrUnknownUpstream if the process is
// not the one that the last Hello introduced. An upstream that was once leaving
// never becomes ready again within the same process.
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
	u.drained = u.drained || hb.State == StateLeaving
	if u.drained {
		next.State = StateLeaving
	}
	next.OtherLoad = others(hb.Load, u.InFlight())
	next.Load, next.ReportedAt, next.LastHeartbeat = hb.Load, now, now
	next.LinkDelay = cmp.Or(hb.LinkDelay, old.LinkDelay)
	next.Revision = max(old.Revision, hb.Revision)
	return d.install(u, &next), nil
}

// ConnectionLost makes an upstream suspect because its connection broke.
func (d *Directory) ConnectionLost(id InstanceID, process string) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok || u.Process != process {
		return Transition{}, ErrUnknownUpstream
	}
	return d.setState(u, StateSuspect), nil
}

// MarkLeaving records that the platform's list or an operator says that the
// instance is leaving.
func (d *Directory) MarkLeaving(id InstanceID) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok {
		return Transition{}, ErrUnknownUpstream
	}
	u.drained = true
	if u.Status().State == StateSuspect {
		return Transition{Upstream: u, From: StateSuspect, To: StateSuspect}, nil
	}
	return d.setState(u, StateLeaving), nil
}

// Remove drops an instance.
func (d *Directory) Remove(id InstanceID) (Transition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.Get(id)
	if !ok {
		return Transition{}, ErrUnknownUpstream
	}
	return d.drop(u), nil
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
	d.install(u, &next)
	return nil
}

// Sweep makes upstreams without heartbeats suspect, drops those that stay
// silent, and corrects the groups' sums. It is O(n) and runs in the background,
// at least as often as the heartbeat interval. It returns the changes.
func (d *Directory) Sweep(now time.Time) []Transition {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Transition
	d.upstreams.Range(func(_, v any) bool {
		u := v.(*Upstream)
		s := u.Status()
		silent := now.Sub(s.LastHeartbeat)
		switch {
		case silent >= d.config.RemoveAfter:
			changes = append(changes, d.drop(u))
		case silent >= d.config.SuspectAfter && s.State != StateSuspect:
			changes = append(changes, d.setState(u, StateSuspect))
		}
		return true
	})
	for _, g := range d.groups {
		g.recount()
	}
	return changes
}

// Get returns an upstream by its instance id.
func (d *Directory) Get(id InstanceID) (*Upstream, bool) {
	v, ok := d.upstreams.Load(id)
	if !ok {
		return nil, false
	}
	return v.(*Upstream), true
}

// Model returns the groups of a model, or nil.
func (d *Directory) Model(name string) *ModelGroups { return (*d.models.Load())[name] }

// Models returns the models in order of name.
func (d *Directory) Models() []string { return slices.Sorted(maps.Keys(*d.models.Load())) }

// Service returns the pool of a plain service, or nil.
func (d *Directory) Service(name string) *Group { return (*d.services.Load())[name] }

// Links returns the measured links between failure domains.
func (d *Directory) Links() *Links { return d.links }

// Generation increases whenever the set of usable upstreams changes.
func (d *Directory) Generation() uint64 { return d.generation.Load() }

// Pools returns the ready upstreams of each group by the group's name, ejected
// or not, for Ejector.SetPool. A group without a ready upstream has an empty
// pool. It is O(n) and meant for background work.
func (d *Directory) Pools() map[string][]InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make(map[string][]InstanceID, len(d.groups))
	for _, g := range d.groups {
		ready := []InstanceID{}
		for id, u := range g.known {
			if u.Status().State == StateReady {
				ready = append(ready, id)
			}
		}
		slices.Sort(ready)
		pools[g.Name] = ready
	}
	return pools
}

// All returns every upstream in order of instance id.
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
	return d.install(u, &next)
}

// install stores a status and updates the group: its sums for a new report,
// its members if the upstream becomes usable or unusable.
func (d *Directory) install(u *Upstream, next *Status) Transition {
	old := u.status.Swap(next)
	switch {
	case old.Usable() != next.Usable():
		u.group.rebuild()
		d.generation.Add(1)
	case next.Usable():
		u.group.update(old, next)
	}
	return Transition{Upstream: u, From: old.State, To: next.State}
}

// drop makes an upstream gone and removes it, and its group if it was the last
// known member.
func (d *Directory) drop(u *Upstream) Transition {
	change := d.setState(u, StateGone)
	g := u.group
	d.upstreams.Delete(u.ID)
	delete(g.known, u.ID)
	if len(g.known) == 0 {
		delete(d.groups, g.Key)
		d.unindex(g)
	}
	return change
}

func (d *Directory) index(g *Group) {
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

func (d *Directory) unindex(g *Group) {
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
