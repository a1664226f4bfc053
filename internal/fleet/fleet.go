// Package fleet holds what is known of the upstream instances: where they
// are, whether they accept work and which layers of a model they hold. It
// performs no I/O.
package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// LayerRange is the layers From to To, To exclusive.
type LayerRange struct{ From, To int }

// Len returns the number of layers.
func (r LayerRange) Len() int { return max(r.To-r.From, 0) }

// Intersect returns the layers that are in both ranges.
func (r LayerRange) Intersect(other LayerRange) LayerRange {
	both := LayerRange{From: max(r.From, other.From), To: min(r.To, other.To)}
	if both.Len() == 0 {
		return LayerRange{}
	}
	return both
}

// Contains reports whether layer is in the range.
func (r LayerRange) Contains(layer int) bool { return r.From <= layer && layer < r.To }

// Instance is one upstream as it describes itself.
type Instance struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	// Domain is the failure domain.
	Domain string
	// Draining instances accept no new work.
	Draining bool
	// Slots is the number of requests that run at the same time.
	Slots int
	// Accelerator names the type; it is empty for plain services.
	Accelerator string
	// Layers are those that the instance holds.
	Layers LayerRange
	// StartedMS is the time of its start in Unix milliseconds; it tells a
	// restart under the same id.
	StartedMS int64
}

// View is an immutable picture of all instances.
type View struct {
	// Instances by id. The map must not be changed.
	Instances map[string]Instance
	// Changed is closed when a newer view exists.
	Changed <-chan struct{}

	changed chan struct{}
}

const (
	// lapseGrace is how long after the return of the store an instance that is
	// missing may take to register again before it counts as gone.
	lapseGrace = 2 * time.Second
	// removalGrace bounds that for an instance which is removed after the
	// return: a leaving instance must get no work 2 s after its removal.
	removalGrace = 1200 * time.Millisecond
)

// Directory keeps the newest view. It is safe for concurrent use.
type Directory struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	revs map[string]uint64
	// observed are the layers that instances reported themselves.
	observed map[string]Observation
	// changed is when the store's entry of an instance last changed.
	changed  map[string]time.Time
	lapsed   map[string]time.Time
	regained time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{
		revs: make(map[string]uint64), observed: make(map[string]Observation),
		changed: make(map[string]time.Time), lapsed: make(map[string]time.Time),
	}
	d.view.Store(newView(map[string]Instance{}))
	return d
}

func newView(instances map[string]Instance) *View {
	changed := make(chan struct{})
	return &View{Instances: instances, Changed: changed, changed: changed}
}

// View returns the newest view.
func (d *Directory) View() *View { return d.view.Load() }

// Record is one instance with the store's revision of its entry.
type Record struct {
	ID       string
	Revision uint64
	// Instance is nil if the entry was removed or can't be used.
	Instance *Instance
}

// Replace installs a complete list. After an outage of the store, instances
// that are missing in it stay for lapseGrace.
func (d *Directory) Replace(records []Record, afterOutage bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if afterOutage {
		d.regained = now
	}
	listed := make(map[string]bool, len(records))
	next := maps.Clone(d.view.Load().Instances)
	for _, r := range records {
		listed[r.ID] = true
		d.apply(next, r, now)
	}
	for id := range next {
		if !listed[id] {
			d.apply(next, Record{ID: id, Revision: d.revs[id] + 1}, now)
		}
	}
	d.publish(next)
}

// Update installs changes of single instances.
func (d *Directory) Update(records []Record, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.view.Load().Instances)
	for _, r := range records {
		d.apply(next, r, now)
	}
	d.publish(next)
}

// Observation is what an instance itself said that it holds.
type Observation struct {
	ID     string
	Layers LayerRange
	// At is when it said so.
	At time.Time
}

// observationTime is how long an observation counts at most. Entries in the
// store follow within a few seconds unless the store is away.
const observationTime = 20 * time.Second

// Observe installs what an instance itself said, unless the store's entry
// changed after that. It counts until the store has a newer entry.
func (d *Directory) Observe(o Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	in, known := d.view.Load().Instances[o.ID]
	if !known || !o.At.After(d.observed[o.ID].At) || !o.At.After(d.changed[o.ID]) {
		return
	}
	d.observed[o.ID] = o
	if in.Layers == o.Layers {
		return
	}
	next := maps.Clone(d.view.Load().Instances)
	in.Layers = o.Layers
	next[o.ID] = in
	d.publish(next)
}

// Observations returns what instances said since a time.
func (d *Directory) Observations(since time.Time) []Observation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Observation
	for _, o := range d.observed {
		if o.At.After(since) {
			list = append(list, o)
		}
	}
	return list
}

// Expire removes the instances whose grace after an outage has passed.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.view.Load().Instances)
	removed := false
	for id, until := range d.lapsed {
		if !now.Before(until) {
			delete(next, id)
			delete(d.lapsed, id)
			removed = true
		}
	}
	for id, o := range d.observed {
		if now.Sub(o.At) > observationTime {
			delete(d.observed, id)
		}
	}
	if removed {
		d.publish(next)
	}
}

// apply changes next by one record. A record older than what is known is
// dropped, since a list may be read from a lagging replica of the store.
func (d *Directory) apply(next map[string]Instance, r Record, now time.Time) {
	if r.Revision < d.revs[r.ID] {
		return
	}
	if r.Revision > d.revs[r.ID] {
		delete(d.observed, r.ID)
		d.changed[r.ID] = now
	}
	d.revs[r.ID] = r.Revision
	if r.Instance != nil {
		in := *r.Instance
		if o, ok := d.observed[r.ID]; ok {
			in.Layers = o.Layers
		}
		next[r.ID] = in
		delete(d.lapsed, r.ID)
		return
	}
	if known, ok := next[r.ID]; ok && !known.Draining && now.Sub(d.regained) < lapseGrace {
		if _, waiting := d.lapsed[r.ID]; !waiting {
			d.lapsed[r.ID] = d.lapseEnd(now)
		}
		return
	}
	delete(next, r.ID)
	delete(d.lapsed, r.ID)
}

// lapseEnd returns until when an instance is kept that is found missing at now,
// shortly after an outage. One that is missing in the first list had lapsed
// before; one that is removed later may be leaving.
func (d *Directory) lapseEnd(now time.Time) time.Time {
	end := d.regained.Add(lapseGrace)
	if removal := now.Add(removalGrace); now.After(d.regained) && removal.Before(end) {
		return removal
	}
	return end
}

func (d *Directory) publish(next map[string]Instance) {
	old := d.view.Load()
	d.view.Store(newView(next))
	close(old.changed)
}
