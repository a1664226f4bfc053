package fleet

import (
	"maps"
	"time"
)

// Departure is the word of an instance that it leaves.
type Departure struct {
	ID string
	// StartedMS is the start of the instance. A later start under the same id does not leave.
	StartedMS int64
}

// departedMaxAge is how long a departure is remembered after the instance's entry was
// removed. An entry that expired while the store was unavailable comes back.
const departedMaxAge = 10 * time.Minute

// departure is a Departure that is remembered.
type departure struct {
	startedMS int64
	// removedAt is when the instance's entry was removed, zero while there is one.
	removedAt time.Time
}

// MarkLeaving records that an instance said that it leaves. From then on it counts as
// draining, whatever its entry in the store says, until it has started again. MarkLeaving
// reports whether that was not known.
func (d *Directory) MarkLeaving(leaving Departure, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.view.Load()
	in, listed := view.Instances[leaving.ID]
	known, marked := d.leaving[leaving.ID]
	if marked && known.startedMS >= leaving.StartedMS || listed && in.StartedMS > leaving.StartedMS {
		return false
	}
	mark := departure{startedMS: leaving.StartedMS}
	if !listed {
		mark.removedAt = now
	}
	d.leaving[leaving.ID] = mark
	if listed && !in.Draining {
		next := maps.Clone(view.Instances)
		in.Draining = true
		next[in.ID] = in
		d.publish(next, []string{in.ID})
	}
	return true
}

// Departures returns the instances that said that they leave and that still have an entry in
// the store.
func (d *Directory) Departures() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Departure
	for id, mark := range d.leaving {
		if mark.removedAt.IsZero() {
			list = append(list, Departure{id, mark.startedMS})
		}
	}
	return list
}

// isLeaving reports whether the instance of an entry said that it leaves. It forgets the word
// of an earlier start.
func (d *Directory) isLeaving(in Instance) bool {
	mark, marked := d.leaving[in.ID]
	if !marked {
		return false
	}
	if in.StartedMS > mark.startedMS {
		delete(d.leaving, in.ID)
		return false
	}
	d.leaving[in.ID] = departure{startedMS: mark.startedMS}
	return true
}

// recordRemoval records that the entry of an instance was removed. Without a start time, a
// later entry may be that of another start, so the departure is forgotten.
func (d *Directory) recordRemoval(id string, now time.Time) {
	mark, marked := d.leaving[id]
	switch {
	case !marked || !mark.removedAt.IsZero():
	case mark.startedMS == 0:
		delete(d.leaving, id)
	default:
		d.leaving[id] = departure{mark.startedMS, now}
	}
}

// expireDepartures forgets the departures of instances whose entries are gone for long.
func (d *Directory) expireDepartures(now time.Time) {
	for id, mark := range d.leaving {
		if !mark.removedAt.IsZero() && now.Sub(mark.removedAt) > departedMaxAge {
			delete(d.leaving, id)
		}
	}
}
