package config

import (
	"encoding/json"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/profile"
	"github.com/nutmegroute/nutmegroute/internal/team"
)

// Object is one configuration object with its last change. A deleted object
// remains as a tombstone without a value. Its version is never reset, so a
// change can be accepted at most once even if the object is deleted and created
// again.
type Object struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
	// Version is the revision of the object's last change.
	Version  Revision        `cbor:"3,keyasint" json:"version"`
	ChangeID string          `cbor:"4,keyasint" json:"change_id"`
	Author   string          `cbor:"5,keyasint" json:"author"`
	Time     time.Time       `cbor:"6,keyasint" json:"time"`
	Value    json.RawMessage `cbor:"7,keyasint,omitempty" json:"value,omitempty"`
	Deleted  bool            `cbor:"8,keyasint,omitempty" json:"deleted,omitempty"`

	// effective is the parsed value with defaults applied: a profile.Profile,
	// team.Team, Service or Placement. It is nil for a tombstone and for a value
	// that this release can't parse.
	effective any
}

// State is the whole configuration at one revision. It is immutable, and so
// are the slices it returns.
type State struct {
	revision       Revision
	tables         map[Kind]*table
	teamsByKeyHash *shardedMap[string]
}

// table holds the objects of one kind, including tombstones.
type table struct {
	objects *shardedMap[*Object]
	// sorted returns the objects without tombstones in order of their names.
	sorted func() []*Object
}

func newTable(objects *shardedMap[*Object]) *table {
	return &table{objects: objects, sorted: sync.OnceValue(func() []*Object {
		var list []*Object
		for _, m := range objects.maps {
			for _, o := range m {
				if !o.Deleted {
					list = append(list, o)
				}
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
		return list
	})}
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{tables: map[Kind]*table{}, teamsByKeyHash: &shardedMap[string]{}}
}

// Revision returns the revision of the last change in s.
func (s *State) Revision() Revision { return s.revision }

// Object returns the object and whether it exists. For a deleted object it
// returns the tombstone and false.
func (s *State) Object(kind Kind, name string) (Object, bool) {
	t, ok := s.tables[kind]
	if !ok {
		return Object{}, false
	}
	o, ok := t.objects.get(name)
	if !ok {
		return Object{}, false
	}
	return *o, !o.Deleted
}

// Objects returns the objects of a kind in order of their names, without
// tombstones.
func (s *State) Objects(kind Kind) []*Object {
	t, ok := s.tables[kind]
	if !ok {
		return nil
	}
	return t.sorted()
}

// Profile returns the profile with defaults applied.
func (s *State) Profile(name string) (profile.Profile, bool) {
	return lookup[profile.Profile](s, KindProfile, name)
}

// Team returns the team with defaults applied.
func (s *State) Team(name string) (team.Team, bool) {
	return lookup[team.Team](s, KindTeam, name)
}

// Service returns the service with defaults applied.
func (s *State) Service(name string) (Service, bool) {
	return lookup[Service](s, KindService, name)
}

// Placement returns the placement of a group of upstreams.
func (s *State) Placement(group string) (Placement, bool) {
	return lookup[Placement](s, KindPlacement, group)
}

// TeamByKeyHash returns the team that owns the key with the given SHA-256
// digest in lower-case hexadecimal.
func (s *State) TeamByKeyHash(hash string) (team.Team, bool) {
	name, ok := s.teamsByKeyHash.get(hash)
	if !ok {
		return team.Team{}, false
	}
	return s.Team(name)
}

// Profiles returns every profile in order of names.
func (s *State) Profiles() []profile.Profile { return listValues[profile.Profile](s, KindProfile) }

// Teams returns every team in order of names.
func (s *State) Teams() []team.Team { return listValues[team.Team](s, KindTeam) }

// Services returns every service in order of names.
func (s *State) Services() []Service { return listValues[Service](s, KindService) }

// Placements returns every placement in order of names.
func (s *State) Placements() []Placement { return listValues[Placement](s, KindPlacement) }

func lookup[T any](s *State, kind Kind, name string) (T, bool) {
	o, _ := s.Object(kind, name)
	v, ok := o.effective.(T)
	return v, ok
}

func listValues[T any](s *State, kind Kind) []T {
	objects := s.Objects(kind)
	values := make([]T, 0, len(objects))
	for _, o := range objects {
		if v, ok := o.effective.(T); ok {
			values = append(values, v)
		}
	}
	return values
}

// WithChange returns the state after c. It copies only the shards that c
// changes. The caller ensures that c is the next change.
func (s *State) WithChange(c Change) *State {
	o := &Object{Kind: c.Kind, Name: c.Name, Version: c.Revision, ChangeID: c.ID,
		Author: c.Author, Time: c.Time, Value: c.After, Deleted: c.Deleted}
	next := s.withObjects(o)
	next.revision = c.Revision
	return next
}

// withObjects returns a copy of s in which objects are added or replaced.
func (s *State) withObjects(objects ...*Object) *State {
	next := &State{revision: s.revision, tables: maps.Clone(s.tables)}
	editors := map[Kind]*editor[*Object]{}
	hashes := s.teamsByKeyHash.edit()
	for _, o := range objects {
		e, ok := editors[o.Kind]
		if !ok {
			base := &shardedMap[*Object]{}
			if t, exists := next.tables[o.Kind]; exists {
				base = t.objects
			}
			e = base.edit()
			editors[o.Kind] = e
		}
		if v, err := parseStored(o.Kind, o.Value); err == nil && !o.Deleted {
			o.effective = v.effective()
		}
		old, _ := e.get(o.Name)
		updateKeyHashes(hashes, old, o)
		e.set(o.Name, o)
	}
	for kind, e := range editors {
		next.tables[kind] = newTable(e.result)
	}
	next.teamsByKeyHash = hashes.result
	return next
}

// updateKeyHashes replaces the key hashes of a team's old value with those of
// its updated value.
func updateKeyHashes(hashes *editor[string], old, updated *Object) {
	if updated.Kind != KindTeam {
		return
	}
	if old != nil {
		t, _ := old.effective.(team.Team)
		for _, hash := range t.KeyHashes {
			if owner, _ := hashes.get(hash); owner == old.Name {
				hashes.remove(hash)
			}
		}
	}
	t, _ := updated.effective.(team.Team)
	for _, hash := range t.KeyHashes {
		hashes.set(hash, updated.Name)
	}
}

// Snapshot is the serializable form of a State.
type Snapshot struct {
	Revision Revision `cbor:"1,keyasint"`
	// Objects holds every object, including tombstones, in order of kind and
	// name.
	Objects []Object `cbor:"2,keyasint"`
}

// Snapshot returns the contents of s.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{Revision: s.revision}
	for _, t := range s.tables {
		for _, m := range t.objects.maps {
			for _, o := range m {
				snapshot.Objects = append(snapshot.Objects, *o)
			}
		}
	}
	sort.Slice(snapshot.Objects, func(i, j int) bool {
		return snapshot.Objects[i].before(&snapshot.Objects[j])
	})
	return snapshot
}

// before reports whether o precedes p in a snapshot.
func (o *Object) before(p *Object) bool {
	if o.Kind != p.Kind {
		return o.Kind < p.Kind
	}
	return o.Name < p.Name
}

// State returns the state that the snapshot holds.
func (s Snapshot) State() *State {
	objects := make([]*Object, len(s.Objects))
	for i := range s.Objects {
		o := s.Objects[i]
		objects[i] = &o
	}
	state := NewState().withObjects(objects...)
	state.revision = s.Revision
	return state
}
