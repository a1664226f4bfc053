package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func present(id string, revision uint64, change func(*Instance)) Record {
	in := &Instance{ID: id, Service: "s"}
	if change != nil {
		change(in)
	}
	return Record{ID: id, Revision: revision, Instance: in}
}

func known(d *Directory, id string) bool {
	_, ok := d.View().Instances[id]
	return ok
}

// Guards against a stale list that revives or changes an instance.
func TestOlderRecordsAreDropped(t *testing.T) {
	d := NewDirectory()
	d.Update([]Record{present("a", 5, func(in *Instance) { in.Draining = true })}, start)
	d.Update([]Record{present("a", 4, nil)}, start)
	assert.Assert(t, d.View().Instances["a"].Draining)
	d.Update([]Record{{ID: "a", Revision: 6}}, start)
	d.Update([]Record{present("a", 5, nil)}, start)
	assert.Assert(t, !known(d, "a"))
}

// Guards against instances that lapsed during an outage of the store and are
// dropped though they are about to register again, and against ones that stay
// for ever.
func TestLapsedInstancesHaveAGraceTime(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{present("a", 1, nil), present("b", 2, nil)}, false, start)
	d.Replace([]Record{present("b", 3, nil)}, true, start.Add(time.Minute))
	assert.Assert(t, known(d, "a"))
	d.Expire(start.Add(time.Minute + lapseGrace - time.Millisecond))
	assert.Assert(t, known(d, "a"))
	d.Expire(start.Add(time.Minute + lapseGrace))
	assert.Assert(t, !known(d, "a") && known(d, "b"))
}

// Guards against a removal in normal operation that is not in force at once,
// and against the grace time for an instance that has announced its leaving.
func TestRemovalIsImmediate(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{
		present("a", 1, nil), present("b", 2, func(in *Instance) { in.Draining = true }),
	}, false, start)
	d.Update([]Record{{ID: "a", Revision: 7}}, start)
	assert.Assert(t, !known(d, "a"))
	d.Replace(nil, true, start.Add(time.Minute))
	assert.Assert(t, !known(d, "b"))
}

// Guards against layers that are known from an instance itself and forgotten
// by a list, and against ones that outlive a newer entry of the store.
func TestObservationsCountUntilANewerEntry(t *testing.T) {
	d := NewDirectory()
	held := func(from, to int) func(*Instance) {
		return func(in *Instance) { in.Layers = LayerRange{from, to} }
	}
	d.Update([]Record{present("a", 5, held(0, 10))}, start)
	d.Observe(Observation{"a", LayerRange{10, 20}, start.Add(time.Second)})
	d.Observe(Observation{"a", LayerRange{0, 0}, start.Add(-time.Second)})
	d.Observe(Observation{"unknown", LayerRange{0, 5}, start})
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{10, 20})
	d.Replace([]Record{present("a", 5, held(0, 10))}, false, start)
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{10, 20})
	d.Update([]Record{present("a", 6, held(30, 40))}, start)
	assert.Equal(t, d.View().Instances["a"].Layers, LayerRange{30, 40})
	assert.Assert(t, !known(d, "unknown"))
}

// Guards against waiters that miss a change.
func TestChangedIsClosed(t *testing.T) {
	d := NewDirectory()
	view := d.View()
	d.Update([]Record{present("a", 1, nil)}, start)
	select {
	case <-view.Changed:
	default:
		t.Fatal("the change was not signalled")
	}
}

// Guards against an instance that is removed shortly after an outage and kept
// too long: it may be leaving (DRAIN on sawt-muscat, hunt-7900-11: the grace
// time was counted from the removal).
func TestRemovalAfterAnOutageIsInForceInTime(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Record{present("a", 1, nil)}, false, start)
	regained := start.Add(time.Minute)
	d.Replace([]Record{present("a", 2, nil)}, true, regained)
	for _, tt := range []struct{ removed, gone time.Duration }{
		{1500 * time.Millisecond, lapseGrace},
		{200 * time.Millisecond, 200*time.Millisecond + removalGrace},
	} {
		d.Update([]Record{present("a", 3, nil)}, regained)
		d.Update([]Record{{ID: "a", Revision: 4}}, regained.Add(tt.removed))
		d.Expire(regained.Add(tt.gone - time.Millisecond))
		assert.Assert(t, known(d, "a"))
		d.Expire(regained.Add(tt.gone))
		assert.Assert(t, !known(d, "a"))
		d.revs["a"] = 2
	}
}
