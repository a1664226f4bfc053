package chain

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Guards against a time named by an instance that is not kept, that never ends or that a
// shorter one ends too early.
func TestBackoffTimes(t *testing.T) {
	type refusal struct{ at, wants time.Duration }
	tests := []struct {
		name     string
		refusals []refusal
		// begins is whether each refusal begins a backoff, end when the last one ends.
		begins []bool
		end    time.Duration
	}{
		{"seconds", []refusal{{0, 2 * time.Second}}, []bool{true}, 2 * time.Second},
		{"fraction", []refusal{{0, 300 * time.Millisecond}}, []bool{true}, 300 * time.Millisecond},
		{"none", []refusal{{0, 0}}, []bool{false}, 0},
		{"negative", []refusal{{0, -time.Second}}, []bool{false}, 0},
		{"huge", []refusal{{0, math.MaxInt64}}, []bool{true}, maxBackoff},
		{"longer later", []refusal{{0, time.Second}, {500 * time.Millisecond, time.Second}}, []bool{true, false},
			1500 * time.Millisecond},
		{"shorter later", []refusal{{0, 2 * time.Second}, {time.Second, 100 * time.Millisecond}}, []bool{true, false},
			2 * time.Second},
		{"again", []refusal{{0, time.Second}, {3 * time.Second, time.Second}}, []bool{true, true}, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewInstanceTracker()
			for i, r := range tt.refusals {
				assert.Equal(t, tracker.RecordBackoff("i", r.wants, start.Add(r.at)), tt.begins[i])
			}
			end := start.Add(tt.end)
			if tt.end > 0 {
				assert.Assert(t, tracker.InBackoff("i", end.Add(-1)))
			}
			assert.Assert(t, !tracker.InBackoff("i", end))
		})
	}
}

// Guards against plain instances that get requests although they want none, also as the last
// choice, and against a wrong time after which one takes requests.
func TestPlainInstancesInBackoffAreNotChosen(t *testing.T) {
	view := &fleet.View{Instances: map[string]fleet.Instance{
		"a": {ID: "a", Service: "s", Slots: 9}, "b": {ID: "b", Service: "s", Slots: 9}, "c": {ID: "c", Service: "o", Slots: 9},
	}}
	tracker, s := NewInstanceTracker(), &routing.Service{Name: "s"}
	tracker.RecordBackoff("a", 2*time.Second, start)
	tracker.RecordBackoff("c", time.Millisecond, start)
	for range 3 {
		g, err := tracker.Choose(view, s, Demand{}, start)
		assert.NilError(t, err)
		assert.Equal(t, g.Path.First().Instance, "b")
	}
	tracker.RecordFailure("b", start)
	tracker.RecordBackoff("b", time.Second, start)
	_, err := tracker.Choose(view, s, Demand{Avoid: []string{"b"}}, start)
	assert.ErrorIs(t, err, ErrBackoff)
	assert.Equal(t, tracker.BackoffEnd(view, "s", start), start.Add(time.Second))
	g, err := tracker.Choose(view, s, Demand{}, start.Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "b")
	assert.Assert(t, tracker.BackoffEnd(view, "none", start).IsZero())
}

// Guards against paths over instances that want no calls, as the first stage or a later one,
// also when a stage is replaced.
func TestPathsAvoidInstancesInBackoff(t *testing.T) {
	view := newView(testInstance{"a", "large", "z", 0, 40}, testInstance{"b", "large", "z", 40, 80},
		testInstance{"c", "large", "z", 40, 80})
	tracker, s := NewInstanceTracker(), testService()
	g, err := tracker.Choose(view, s, Demand{Tokens: 10}, start)
	assert.NilError(t, err)
	assert.Assert(t, g.Path.Uses("b"))
	tracker.RecordBackoff("c", time.Second, start)
	_, moved := tracker.Reroute(view, s, g, "b", start)
	assert.Assert(t, !moved)
	tracker.RecordBackoff("b", 2*time.Second, start)
	_, err = tracker.Choose(view, s, Demand{Tokens: 10}, start)
	assert.ErrorIs(t, err, ErrBackoff)
	g, err = tracker.Choose(view, s, Demand{Tokens: 10}, start.Add(time.Second))
	assert.NilError(t, err)
	assert.Assert(t, g.Path.Uses("c"))
	_, moved = tracker.Reroute(view, s, g, "c", start.Add(time.Second))
	assert.Assert(t, !moved, "b wants no calls")
}

// Guards against checks and measurements of instances that want no calls, and against a
// backoff that is forgotten with the entry of the instance.
func TestInstancesInBackoffAreNotChecked(t *testing.T) {
	tracker := NewInstanceTracker()
	tracker.RecordLost("i", start)
	tracker.RecordSlowness("i", 4, start)
	at := start.Add(slownessRefreshAge + time.Second)
	tracker.RecordBackoff("i", time.Second, at)
	assert.Equal(t, len(tracker.DueRechecks(at)), 0)
	assert.Equal(t, len(tracker.DueMeasurements(at)), 0)
	tracker.Prune(&fleet.View{}, at)
	assert.Assert(t, tracker.InBackoff("i", at))
	after := at.Add(time.Second)
	assert.Equal(t, len(tracker.DueRechecks(after)), 1)
	assert.Equal(t, len(tracker.DueMeasurements(after)), 1)
	tracker.Prune(&fleet.View{}, after)
	assert.Equal(t, len(tracker.instances), 0)
}
