package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRecord(id string, at revision.Revision, change func(*Instance)) Record {
	in := &Instance{ID: id, Service: "s"}
	if change != nil {
		change(in)
	}
	return Record{ID: id, Revision: at, Instance: in}
}

func isKnown(d *Directory, id string) bool {
	_, ok := d.View().Instances[id]
	return ok
}

// Guards against a record of an older revision that restores or changes an
// instance.
func TestOlderRecordsAreIgnored(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{newRecord("a", 5, func(in *Instance) { in.Draining = true })}, start)
	d.Update([]Record{newRecord("a", 4, nil)}, start)
	assert.Assert(t, d.View().Instances["a"].Draining)
	d.Update([]Record{{ID: "a", Revision: 6}}, start)
	d.Update([]Record{newRecord("a", 5, nil)}, start)
	assert.Assert(t, !isKnown(d, "a"))
}

// Guards against instances that are removed too early after an outage of the store:
// they lost their entry in the store during the outage and need time to register
// again. Also guards against missing instances that are never removed.
func TestMissingInstancesAreKeptAfterAnOutage(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{newRecord("a", 1, nil), newRecord("b", 2, nil)}, 0, false, start)
	d.Replace([]Record{newRecord("b", 3, nil)}, 0, true, start.Add(time.Minute))
	assert.Assert(t, isKnown(d, "a"))
	d.Expire(start.Add(time.Minute + reregisterGrace - time.Millisecond))
	assert.Assert(t, isKnown(d, "a"))
	d.Expire(start.Add(time.Minute + reregisterGrace))
	assert.Assert(t, !isKnown(d, "a") && isKnown(d, "b"))
}

// Guards against a delayed removal of an instance when the store had no outage
// before, and against a grace period for a draining instance after an outage.
func TestRemovalIsImmediateWithoutOutageOrWhenDraining(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{
		newRecord("a", 1, nil), newRecord("b", 2, func(in *Instance) { in.Draining = true }),
	}, 0, false, start)
	d.Update([]Record{{ID: "a", Revision: 7}}, start)
	assert.Assert(t, !isKnown(d, "a"))
	d.Replace(nil, 0, true, start.Add(time.Minute))
	assert.Assert(t, !isKnown(d, "b"))
}

// Guards against observed layers that are overwritten by a record with the same
// revision, and against observed layers that override a newer record.
func TestObservationsApplyUntilANewerRecord(t *testing.T) {
	d := NewDirectory()
	withLayers := func(from, to int) func(*Instance) {
		return func(in *Instance) { in.Layers = LayerRange{from, to} }
	}
	d.Update([]Record{newRecord("a", 5, withLayers(0, 10))}, start)
	d.Observe(Observation{"a", LayerRange{10, 20}, start.Add(time.Second)})
	d.Observe(Observation{"a", LayerRange{0, 0}, start.Add(-time.Second)})
	d.Observe(Observation{"unknown", LayerRange{0, 5}, start})
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{10, 20})
	d.Replace([]Record{newRecord("a", 5, withLayers(0, 10))}, 0, false, start)
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{10, 20})
	d.Update([]Record{newRecord("a", 6, withLayers(30, 40))}, start)
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{30, 40})
	assert.Assert(t, !isKnown(d, "unknown"))
}

// Guards against goroutines that wait for a change of the view and are not notified
// of it.
func TestUpdateClosesChanged(t *testing.T) {
	d := NewDirectory()
	view := d.View()
	d.Update([]Record{newRecord("a", 1, nil)}, start)
	select {
	case <-view.Changed:
	default:
		t.Fatal("Changed is not closed after an update")
	}
}

// Guards against an instance that is kept for too long after its entry was removed
// shortly after an outage, although it may be stopping. The rule DRAIN was broken
// because such an instance was kept for the full reregisterGrace from the removal
// of its entry (deployment sawt-muscat, day hunt-7900-11).
func TestInstancesRemovedAfterAnOutageAreKeptBriefly(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{newRecord("a", 1, nil)}, 0, false, start)
	storeRecoveredAt := start.Add(time.Minute)
	d.Replace([]Record{newRecord("a", 2, nil)}, 0, true, storeRecoveredAt)
	for _, tt := range []struct{ entryRemoved, instanceRemoved time.Duration }{
		{1500 * time.Millisecond, reregisterGrace},
		{200 * time.Millisecond, 200*time.Millisecond + removalGrace},
	} {
		d.Update([]Record{newRecord("a", 3, nil)}, storeRecoveredAt)
		d.Update([]Record{{ID: "a", Revision: 4}}, storeRecoveredAt.Add(tt.entryRemoved))
		d.Expire(storeRecoveredAt.Add(tt.instanceRemoved - time.Millisecond))
		assert.Assert(t, isKnown(d, "a"))
		d.Expire(storeRecoveredAt.Add(tt.instanceRemoved))
		assert.Assert(t, !isKnown(d, "a"))
		// Lets the next case add the instance again with revision 3.
		d.revisions["a"] = 2
	}
}

// Guards against an instance that has left and is used again because the store was restored
// from a copy older than its leaving, and against an instance that stays unused although it
// runs.
func TestEntriesOlderThanTheLeavingAreHeldAfterARestore(t *testing.T) {
	listed := []Record{
		newRecord("removed", revision.New(2, 3), nil), newRecord("drains", revision.New(2, 4), nil),
		newRecord("restarted", revision.New(2, 5), func(in *Instance) { in.StartedMS = 1 }),
		newRecord("new", revision.New(2, 6), nil),
	}
	newDirectory := func() *Directory {
		d := NewDirectory()
		draining := func(in *Instance) { in.Draining = true }
		d.Update([]Record{
			newRecord("removed", revision.New(1, 3), nil), {ID: "removed", Revision: revision.New(1, 50)},
			newRecord("drains", revision.New(1, 51), draining), newRecord("restarted", revision.New(1, 52), draining),
			newRecord("new", revision.New(1, 53), nil),
		}, start)
		d.Replace(listed, 0, true, start)
		return d
	}
	drains := func(d *Directory, id string) bool { return d.View().Instances[id].Draining }

	d := newDirectory()
	assert.Assert(t, !isKnown(d, "removed") && drains(d, "drains"))
	assert.Assert(t, !drains(d, "restarted"), "another start under the same id")
	assert.Assert(t, isKnown(d, "new"))
	d.Replace(listed, 0, false, start.Add(time.Second)) // the next list of the same era
	d.Expire(start.Add(staleEntryTime - time.Millisecond))
	assert.Assert(t, !isKnown(d, "removed") && drains(d, "drains"))
	d.Expire(start.Add(time.Minute))
	assert.Assert(t, !isKnown(d, "removed") && drains(d, "drains"), "the store has not confirmed them since")
	d.Confirm(start.Add(staleEntryTime))
	d.Expire(start.Add(time.Minute))
	assert.Assert(t, isKnown(d, "removed") && !drains(d, "drains"), "the instances run")

	d = newDirectory()
	d.Update([]Record{newRecord("removed", revision.New(2, 7), nil), {ID: "drains", Revision: revision.New(2, 8)}}, start)
	assert.Assert(t, isKnown(d, "removed"), "the instance has written again")
	d.Expire(start.Add(time.Minute))
	assert.Assert(t, !isKnown(d, "drains"), "a held entry outlives its removal")

	d = newDirectory()
	d.Replace(listed[1:], 0, false, start.Add(time.Second))
	d.Expire(start.Add(time.Minute))
	assert.Assert(t, !isKnown(d, "removed"), "a held entry outlives the list that lacks it")
}
