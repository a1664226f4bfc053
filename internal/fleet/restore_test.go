package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// Guards against an instance that has left, of which a list told, and that the copy revives.
func TestRemovalFoundByAListBindsAfterARestore(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{newRecord("a", revision.New(1, 100), nil)}, 0, false, start)
	// missed: a changes at 150 (copy at 160), a removed at 200; list at 210 lacks it
	d.Replace(nil, revision.New(1, 210), false, start.Add(time.Second))
	assert.Assert(t, !isKnown(d, "a"))
	d.Replace([]Record{newRecord("a", revision.New(2, 150), nil)}, 0, true, start.Add(2*time.Second))
	assert.Assert(t, !isKnown(d, "a"), "revived")
}

// Guards against a draining instance that an entry of its earlier start in the copy makes ready.
func TestEarlierStartInTheCopyDoesNotEndADrain(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{newRecord("a", revision.New(1, 200), func(in *Instance) { in.StartedMS, in.Draining = 2000, true })}, start)
	d.Replace([]Record{newRecord("a", revision.New(2, 100), func(in *Instance) { in.StartedMS = 1000 })}, 0, true, start.Add(time.Second))
	assert.Assert(t, d.View().Instances["a"].Draining, "revived by an earlier start: %+v", d.View().Instances["a"])
}

// Guards against the address of an earlier start in the copy, which another service may have by now.
func TestEarlierStartInTheCopyIsIgnored(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{newRecord("a", revision.New(1, 200), func(in *Instance) { in.StartedMS, in.Address = 2000, "new" })}, start)
	d.Replace([]Record{newRecord("a", revision.New(2, 100), func(in *Instance) { in.StartedMS, in.Address = 1000, "old" })}, 0, true, start.Add(time.Second))
	assert.Equal(t, d.View().Instances["a"].Address, "new")
}

// Guards against layers of the copy in place of those that the instance itself has reported since.
func TestLayersOfTheCopyDoNotReplaceAReport(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{newRecord("a", revision.New(1, 200), func(in *Instance) { in.Layers = LayerRange{0, 10} })}, start)
	d.Observe(Observation{ID: "a", Layers: LayerRange{20, 31}, At: start.Add(500 * time.Millisecond)})
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{20, 31})
	d.Replace([]Record{newRecord("a", revision.New(2, 100), func(in *Instance) { in.Layers = LayerRange{5, 9} })}, 0, true, start.Add(time.Second))
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{20, 31})
}

// Guards against a later start of a removed instance that is hidden for seconds.
func TestNewStartIsNotHeldAfterARestore(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{newRecord("a", revision.New(1, 200), func(in *Instance) { in.StartedMS = 1000 }), {ID: "a", Revision: revision.New(1, 201)}}, start)
	d.Replace([]Record{newRecord("a", revision.New(2, 150), func(in *Instance) { in.StartedMS = 2000 })}, 0, true, start.Add(time.Second))
	assert.Assert(t, isKnown(d, "a"), "a new start is hidden")
}

// Guards against an instance that registers again after a restore and is hidden for seconds, because a list tells of it.
func TestInstanceThatRegistersAgainIsNotHeld(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{newRecord("a", revision.New(1, 200), nil)}, start)
	at := start.Add(time.Second)
	d.Replace(nil, revision.New(2, 140), true, at) // restored, a missing
	d.Expire(at.Add(2 * time.Second))
	assert.Assert(t, !isKnown(d, "a"))
	// same era; written again at 2.1 s, seen by a list (history gone, change of relay)
	d.Replace([]Record{newRecord("a", revision.New(2, 150), nil)}, 0, false, at.Add(2100*time.Millisecond))
	assert.Assert(t, isKnown(d, "a"), "hidden")
}

// Guards against a removal that one event tells together with the last change of the entry.
func TestRemovalWithTheNumberOfTheEntryBinds(t *testing.T) {
	d := NewDirectory()
	// one event for change at 170 and removal (coalesced)
	d.Update([]Record{newRecord("a", revision.New(1, 100), nil)}, start)
	d.Update([]Record{{ID: "a", Revision: revision.New(1, 170)}}, start)
	d.Replace([]Record{newRecord("a", revision.New(2, 170), nil)}, 0, true, start.Add(time.Second))
	assert.Assert(t, !isKnown(d, "a"), "revived")
}
