package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// startedAt returns a record of an instance that started at a time.
func startedAt(startedMS int64, at revision.Revision) Record {
	return newRecord("a", at, func(in *Instance) { in.StartedMS = startedMS })
}

// Guards against an instance that said that it leaves and counts as ready again while its
// entry says so, and against one that has started again and still counts as leaving.
func TestLeavingByOwnWord(t *testing.T) {
	later := start.Add(time.Second)
	tests := []struct {
		name   string
		change func(d *Directory)
		want   bool
	}{
		{"no change", func(*Directory) {}, true},
		{"newer entry of the same start", func(d *Directory) { d.Update([]Record{startedAt(7, 3)}, later) }, true},
		{"entry of an earlier start", func(d *Directory) { d.Update([]Record{startedAt(6, 3)}, later) }, true},
		{"entry of a later start", func(d *Directory) { d.Update([]Record{startedAt(8, 3)}, later) }, false},
		{"list", func(d *Directory) { d.Replace([]Record{startedAt(7, 3)}, true, later) }, true},
		{"older copy of the store", func(d *Directory) {
			d.Update([]Record{startedAt(7, 3)}, later)
			d.Replace([]Record{startedAt(7, revision.New(1, 2))}, true, later)
			d.Expire(later.Add(staleEntryTime))
		}, true},
		{"removed, older copy of the store", func(d *Directory) {
			d.Update([]Record{{ID: "a", Revision: 3}}, later)
			d.Replace([]Record{startedAt(7, revision.New(1, 2))}, true, later)
			d.Expire(later.Add(staleEntryTime))
		}, true},
		{"own report of layers", func(d *Directory) {
			d.Observe(Observation{ID: "a", Layers: LayerRange{0, 4}, At: later})
		}, true},
		{"removed and back", func(d *Directory) {
			d.Update([]Record{{ID: "a", Revision: 3}}, later)
			d.Expire(later.Add(departedMaxAge))
			d.Update([]Record{startedAt(7, 4)}, later.Add(departedMaxAge))
		}, true},
		{"removed and back after long", func(d *Directory) {
			d.Update([]Record{{ID: "a", Revision: 3}}, later)
			d.Expire(later.Add(departedMaxAge + 1))
			d.Update([]Record{startedAt(7, 4)}, later.Add(departedMaxAge+1))
		}, false},
		{"later start, then word of the earlier one", func(d *Directory) {
			d.Update([]Record{startedAt(8, 3)}, later)
			assert.Assert(t, !d.MarkLeaving(Departure{"a", 7}, later))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirectory()
			d.Update([]Record{startedAt(7, 1)}, start)
			before := d.View()
			assert.Assert(t, d.MarkLeaving(Departure{"a", 7}, start))
			assert.Assert(t, !d.MarkLeaving(Departure{"a", 7}, start), "the same word is no news")
			select {
			case <-before.Changed:
			default:
				t.Fatal("the view's change is not signalled")
			}
			tt.change(d)
			assert.Equal(t, d.View().Instances["a"].Draining, tt.want)
			assert.Equal(t, len(d.Departures()) == 1, tt.want)
		})
	}
}

// Guards against the word of an instance that is lost because the entry comes later.
func TestLeavingBeforeTheEntryIsKnown(t *testing.T) {
	d := NewDirectory()
	assert.Assert(t, d.MarkLeaving(Departure{"a", 7}, start))
	assert.Equal(t, len(d.Departures()), 0)
	d.Update([]Record{startedAt(7, 1)}, start)
	assert.Assert(t, d.View().Instances["a"].Draining)
}

// Guards against an instance without a start time that counts as leaving under an entry
// which another start may have written.
func TestDepartureWithoutStartTimeEndsWithTheEntry(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{startedAt(0, 1)}, start)
	d.MarkLeaving(Departure{"a", 0}, start)
	d.Update([]Record{{ID: "a", Revision: 2}}, start)
	d.Update([]Record{startedAt(0, 3)}, start)
	assert.Assert(t, !d.View().Instances["a"].Draining)
}
