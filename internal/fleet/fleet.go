// Package fleet holds the known state of the upstream instances: their addresses,
// whether they accept work and which layers of a model they hold. It performs no
// I/O.
package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// LayerRange is the half-open range [From, To) of model layers.
type LayerRange struct{ From, To int }

// Len returns the number of layers.
func (r LayerRange) Len() int { return max(r.To-r.From, 0) }

// Intersect returns the layers that are in both ranges.
func (r LayerRange) Intersect(other LayerRange) LayerRange {
	intersection := LayerRange{From: max(r.From, other.From), To: min(r.To, other.To)}
	if intersection.Len() == 0 {
		return LayerRange{}
	}
	return intersection
}

// Contains reports whether layer is in the range.
func (r LayerRange) Contains(layer int) bool { return r.From <= layer && layer < r.To }

// Instance is one upstream instance as it describes itself.
type Instance struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	// Domain is the failure domain.
	Domain string
	// Draining instances accept no new work: their entry or they themselves say that they
	// leave.
	Draining bool
	// Slots is the maximum number of concurrent requests; 0 means no limit.
	Slots int
	// Accelerator is the name of the accelerator type. It is empty for plain
	// services.
	Accelerator string
	// Layers are the layers that the instance holds.
	Layers LayerRange
	// StartedMS is the start time in Unix milliseconds. It distinguishes restarts
	// under the same id.
	StartedMS int64
}

// View is an immutable snapshot of all instances.
type View struct {
	// Instances holds the instances by id. The map must not be modified.
	Instances map[string]Instance
	// Changed is closed when a newer view exists.
	Changed <-chan struct{}

	// changed is the same channel as Changed, for the directory to close.
	changed chan struct{}

	cells Cells
	// indexOnce guards the building of index.
	indexOnce sync.Once
	index     atomic.Pointer[index]
}

const (
	// reregisterGrace is how long after the recovery of the store a missing
	// instance is kept, so that it can register again.
	reregisterGrace = 2 * time.Second
	// removalGrace is the maximum time for which an instance is kept whose entry
	// is removed in the period reregisterGrace after the recovery. Such an
	// instance may be stopping, and a stopping instance must get no work 2 s after
	// the removal of its entry.
	removalGrace = 1200 * time.Millisecond
	// staleEntryTime is how long after a restore of the store an entry that may be older
	// than an instance's leaving does not revive the instance, if the store still has it then. Instances that run write
	// again within 2 s; the entry of one that has left is removed after three missed
	// writes.
	staleEntryTime = 4 * time.Second
)

// Directory maintains the newest view. It is safe for concurrent use.
type Directory struct {
	// mu guards revisions, observed, changedAt, removeAt, held, removedStarts, confirmedAt, leaving
	// and storeRecoveredAt,
	// and serializes changes of view.
	mu   sync.Mutex
	view atomic.Pointer[View]
	// revisions holds the highest known revision of each instance's entry in the
	// store.
	revisions map[string]revision.Revision
	// observed holds the layers that instances reported themselves.
	observed map[string]Observation
	// changedAt is the time at which an instance's entry in the store last
	// changed.
	changedAt map[string]time.Time
	// removeAt is the time at which an instance is removed that was found
	// missing after an outage of the store.
	removeAt map[string]time.Time
	// held holds the entries that are applied later, see staleEntryTime.
	held map[string]heldRecord
	// removedStarts holds the start of each instance that was removed, in Unix milliseconds.
	removedStarts map[string]int64
	// confirmedAt is a time at which the store had no change after the latest one known.
	confirmedAt time.Time
	// leaving holds the instances that said that they leave.
	leaving map[string]departure
	// storeRecoveredAt is the end of the last outage of the store.
	storeRecoveredAt time.Time
}

// heldRecord is an entry that is applied at a time unless the instance's entry changes
// before.
type heldRecord struct {
	Record
	until time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{
		revisions: make(map[string]revision.Revision), observed: make(map[string]Observation),
		changedAt: make(map[string]time.Time), removeAt: make(map[string]time.Time), held: make(map[string]heldRecord),
		leaving: make(map[string]departure), removedStarts: make(map[string]int64),
	}
	d.view.Store(newView(map[string]Instance{}, Cells{}))
	return d
}

func newView(instances map[string]Instance, cells Cells) *View {
	changed := make(chan struct{})
	return &View{Instances: instances, Changed: changed, changed: changed, cells: cells}
}

// View returns the newest view.
func (d *Directory) View() *View { return d.view.Load() }

// Record is one instance's entry in the store and the revision of the entry.
type Record struct {
	ID       string
	Revision revision.Revision
	// Instance is nil if the entry was removed or is invalid.
	Instance *Instance
}

// Replace installs a complete list of instances, as of a revision of the store. After an
// outage of the store, instances that are missing in the list are kept for reregisterGrace
// unless they are draining.
func (d *Directory) Replace(records []Record, asOf revision.Revision, afterOutage bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if afterOutage {
		d.storeRecoveredAt = now
		clear(d.removeAt) // instances have the whole time again after a second outage
	}
	listed := make(map[string]bool, len(records))
	next := maps.Clone(d.view.Load().Instances)
	for _, r := range records {
		listed[r.ID] = true
		switch {
		case d.precedesStart(next, r):
		case d.mayPrecedeLeaving(next, r):
			d.hold(r, now)
		default:
			d.applyListed(next, r, now)
		}
	}
	for id := range d.held {
		if !listed[id] {
			delete(d.held, id)
		}
	}
	for id := range next {
		if !listed[id] {
			d.applyRecord(next, Record{ID: id, Revision: max(d.revisions[id]+1, asOf)}, now)
		}
	}
	d.publishAll(next, d.view.Load().cells)
}

// Update applies changes of individual instances. Shortly after an outage of the
// store, an instance that is removed is kept for up to removalGrace unless it is
// draining.
func (d *Directory) Update(records []Record, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.view.Load().Instances)
	ids := make([]string, len(records))
	for i, r := range records {
		d.applyRecord(next, r, now)
		ids[i] = r.ID
	}
	d.publish(next, ids)
}

// Observation is a layer range reported by the instance that holds it, as opposed
// to the one in the store.
type Observation struct {
	ID     string
	Layers LayerRange
	// At is the time of the report.
	At time.Time
}

// observationMaxAge is how long an observation is kept at most. Entries in the
// store are updated within a few seconds unless the store is unavailable.
const observationMaxAge = 20 * time.Second

// Observe applies what instances themselves reported. An observation is ignored if the
// instance's entry in the store changed after the report or a later report is known. It
// overrides the entry until the store has a newer one.
func (d *Directory) Observe(list ...Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// One copy of the view for all changes: a copy of 3,000 instances takes 590 kB.
	var next map[string]Instance
	var changed []string
	current := d.view.Load().Instances
	for _, o := range list {
		in, known := current[o.ID]
		if !known || !o.At.After(d.observed[o.ID].At) || !o.At.After(d.changedAt[o.ID]) {
			continue
		}
		d.observed[o.ID] = o
		if in.Layers == o.Layers {
			continue
		}
		if next == nil {
			next = maps.Clone(current)
			current = next
		}
		in.Layers = o.Layers
		next[o.ID] = in
		changed = append(changed, o.ID)
	}
	if next != nil {
		d.publish(next, changed)
	}
}

// Observations returns the observations made after since.
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

// Expire removes the missing instances whose grace period after an outage has
// ended, old observations and old departures, and applies the entries that were held long
// enough.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var next map[string]Instance
	var changed []string
	change := func(id string) {
		if next == nil {
			next = maps.Clone(d.view.Load().Instances)
		}
		changed = append(changed, id)
	}
	for id, h := range d.held {
		if !d.confirmedAt.Before(h.until) {
			change(id)
			d.applyRecord(next, h.Record, now)
		}
	}
	for id, at := range d.removeAt {
		if !now.Before(at) {
			change(id)
			d.removedStarts[id] = next[id].StartedMS
			delete(next, id)
			delete(d.removeAt, id)
			d.recordRemoval(id, now)
		}
	}
	for id, o := range d.observed {
		if now.Sub(o.At) > observationMaxAge {
			delete(d.observed, id)
		}
	}
	d.expireDepartures(now)
	if next != nil {
		d.publish(next, changed)
	}
}

// Confirm records that the store had no change after the latest list or update at a time.
func (d *Directory) Confirm(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// mayBeOfCopy reports whether a listed entry may be older than what is known: the store was
// restored from a copy, whose entries keep the numbers that they had.
func (d *Directory) mayBeOfCopy(r Record) bool {
	known := d.revisions[r.ID]
	return r.Instance != nil && r.Revision.Era() > known.Era() && r.Revision.Number() <= known.Number()
}

// precedesStart reports whether a listed entry is that of an earlier start of an instance.
func (d *Directory) precedesStart(next map[string]Instance, r Record) bool {
	current, present := next[r.ID]
	return present && d.mayBeOfCopy(r) && r.Instance.StartedMS > 0 && r.Instance.StartedMS < current.StartedMS
}

// mayPrecedeLeaving reports whether a listed entry would revive an instance that is known
// as draining or removed, although it may be older.
func (d *Directory) mayPrecedeLeaving(next map[string]Instance, r Record) bool {
	if !d.mayBeOfCopy(r) || r.Instance.Draining {
		return false
	}
	current, present := next[r.ID]
	if present {
		return current.Draining && current.StartedMS == r.Instance.StartedMS
	}
	return r.Instance.StartedMS <= d.removedStarts[r.ID]
}

// applyListed applies an entry of a list. What the instance itself reported is kept if the
// entry may be older.
func (d *Directory) applyListed(next map[string]Instance, r Record, now time.Time) {
	observed, known := d.observed[r.ID]
	ofCopy := known && d.mayBeOfCopy(r) && next[r.ID].StartedMS == r.Instance.StartedMS
	d.applyRecord(next, r, now)
	if in, present := next[r.ID]; ofCopy && present {
		d.observed[r.ID] = observed
		in.Layers = observed.Layers
		next[r.ID] = in
	}
}

// hold keeps an entry until the store confirms it staleEntryTime after it was first held.
func (d *Directory) hold(r Record, now time.Time) {
	until := now.Add(staleEntryTime)
	if earlier, held := d.held[r.ID]; held && earlier.Revision == r.Revision {
		until = earlier.until
	}
	d.held[r.ID] = heldRecord{r, until}
}

// applyRecord applies one record to next. A record with a lower revision than the
// known one is ignored, since a list may be read from a lagging replica of the
// store.
func (d *Directory) applyRecord(next map[string]Instance, r Record, now time.Time) {
	if r.Revision < d.revisions[r.ID] {
		return
	}
	delete(d.held, r.ID)
	if r.Revision > d.revisions[r.ID] {
		delete(d.observed, r.ID)
		d.changedAt[r.ID] = now
	}
	d.revisions[r.ID] = r.Revision
	if r.Instance != nil {
		in := *r.Instance
		if o, ok := d.observed[r.ID]; ok {
			in.Layers = o.Layers
		}
		in.Draining = in.Draining || d.isLeaving(in)
		next[r.ID] = in
		delete(d.removeAt, r.ID)
		return
	}
	if current, ok := next[r.ID]; ok && !current.Draining && now.Sub(d.storeRecoveredAt) < reregisterGrace {
		if _, scheduled := d.removeAt[r.ID]; !scheduled {
			d.removeAt[r.ID] = d.removalTime(now)
		}
		return
	}
	if in, present := next[r.ID]; present {
		d.removedStarts[r.ID] = in.StartedMS
	}
	delete(next, r.ID)
	delete(d.removeAt, r.ID)
	d.recordRemoval(r.ID, now)
}

// removalTime returns the time at which an instance is removed that is found
// missing at now, shortly after an outage. An instance that is missing in the
// first list after the outage expired in the store during the outage; an instance
// that is removed later may be stopping.
func (d *Directory) removalTime(now time.Time) time.Time {
	end := d.storeRecoveredAt.Add(reregisterGrace)
	if removal := now.Add(removalGrace); now.After(d.storeRecoveredAt) && removal.Before(end) {
		return removal
	}
	return end
}

// SetCells sets how the failure domains are divided.
func (d *Directory) SetCells(c Cells) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.view.Load(); !old.cells.equal(c) {
		d.publishAll(old.Instances, c.withKeys())
	}
}

// maxInherited is the number of changed instances up to which the index of a view is made
// from that of the view before.
const maxInherited = 64

// publish installs a view of the given instances, of which the changed ones differ from the
// view before, and signals the change.
func (d *Directory) publish(next map[string]Instance, changed []string) {
	old := d.view.Load()
	if len(changed) > maxInherited {
		d.publishAll(next, old.cells)
		return
	}
	v := newView(next, old.cells)
	v.inheritIndex(old, changed)
	d.view.Store(v)
	close(old.changed)
}

// publishAll installs a view of the given instances and signals the change.
func (d *Directory) publishAll(next map[string]Instance, c Cells) {
	old := d.view.Load()
	d.view.Store(newView(next, c))
	close(old.changed)
}
