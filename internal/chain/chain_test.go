package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func service() *routing.Service {
	return &routing.Service{Name: "m", Model: &routing.Model{
		Layers: 80, LayerMB: 1750, TokenLayerBytes: 11_475, StepTime: time.Millisecond,
		StepTimePerSequence: 20 * time.Microsecond,
		Accelerators: map[string]routing.Accelerator{
			"large":  {Name: "large", MemoryMB: 72_000, StepFactor: 2.4},
			"medium": {Name: "medium", MemoryMB: 43_200, StepFactor: 5.6},
			"small":  {Name: "small", MemoryMB: 21_600, StepFactor: 16},
		},
	}}
}

type holder struct {
	id, kind, domain string
	from, to         int
}

func view(holders ...holder) *fleet.View {
	instances := make(map[string]fleet.Instance)
	for _, h := range holders {
		instances[h.id] = fleet.Instance{
			ID: h.id, Service: "m", Address: h.id + ":1", Domain: h.domain, Accelerator: h.kind, Slots: 100,
			Layers: fleet.LayerRange{From: h.from, To: h.to},
		}
	}
	return &fleet.View{Instances: instances}
}

var twoChains = []holder{
	{"a1", "large", "a", 0, 29}, {"a2", "medium", "a", 29, 46}, {"a3", "medium", "a", 46, 63},
	{"a4", "medium", "a", 63, 80}, {"a5", "small", "a", 46, 55}, {"a6", "small", "a", 55, 63},
	{"b1", "large", "b", 0, 29}, {"b2", "medium", "b", 29, 46}, {"b3", "medium", "b", 46, 63},
	{"b4", "medium", "b", 63, 80},
}

// covers checks that a path runs each layer once and in order, on instances
// that hold them, none twice.
func covers(v *fleet.View, p Path, layers int) error {
	at, seen := 0, map[string]bool{}
	for _, part := range p {
		held := v.Instances[part.Instance].Layers
		switch {
		case part.From != at || part.To <= part.From:
			return fmt.Errorf("part %v does not follow layer %d", part, at)
		case part.From < held.From || part.To > held.To:
			return fmt.Errorf("part %v is not held: %v", part, held)
		case seen[part.Instance]:
			return fmt.Errorf("%s stands twice", part.Instance)
		}
		at, seen[part.Instance] = part.To, true
	}
	if at != layers {
		return fmt.Errorf("the path ends at layer %d", at)
	}
	return nil
}

// Guards against paths that leave out, repeat or reorder layers, whatever the
// instances hold.
func TestPathsRunEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var holders []holder
		for i := range rapid.IntRange(0, 14).Draw(rt, "instances") {
			from := rapid.IntRange(0, 79).Draw(rt, "from")
			holders = append(holders, holder{
				id: fmt.Sprint(i), kind: rapid.SampledFrom([]string{"large", "medium", "small"}).Draw(rt, "kind"),
				domain: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"),
				from:   from, to: rapid.IntRange(from+1, 80).Draw(rt, "to"),
			})
		}
		v, l := view(holders...), NewLedger()
		g, err := l.Choose(v, service(), Demand{Tokens: 500, Domain: "a"}, start)
		if err != nil {
			return
		}
		if err := covers(v, g.Path, 80); err != nil {
			rt.Fatal(err)
		}
		if lost := g.Path[len(g.Path)-1].Instance; len(g.Path) > 1 {
			if g, ok := l.Detour(v, service(), g, lost, start); ok {
				if err := covers(v, g.Path, 80); err != nil || g.Path.Uses(lost) {
					rt.Fatalf("detour %v: %v", g.Path, err)
				}
			}
		}
	})
}

// Guards against requests that leave their failure domain without need, and
// against ones that fail though another domain could serve them.
func TestChooseDomain(t *testing.T) {
	v, l := view(twoChains...), NewLedger()
	g, err := l.Choose(v, service(), Demand{Tokens: 900, Domain: "b"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "b1")
	l.RecordFault("b1", start)
	g, err = l.Choose(v, service(), Demand{Tokens: 900, Domain: "b"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "a1")
}

// Guards against memory that is given out twice, by this process or by others,
// and against memory that is not returned.
func TestRoomIsShared(t *testing.T) {
	v, s := view(twoChains[:4]...), service()
	fill := func(l *Ledger) (grants []Grant) {
		for {
			g, err := l.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start)
			if err != nil {
				assert.ErrorIs(t, err, ErrFull)
				return grants
			}
			grants = append(grants, g)
		}
	}
	l := NewLedger()
	grants := fill(l)
	room := Capacity(s.Model, s.Model.Accelerators["medium"], 17) / 17
	assert.Equal(t, len(grants), int(memoryShare*min(room, Capacity(s.Model, s.Model.Accelerators["large"], 29)/29)/5000))
	other := NewLedger()
	other.AddPeerReport("peer", 1, l.LocalReport(start), start)
	_, err := other.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrFull)
	_, err = other.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start.Add(2*peerWorkAge))
	assert.NilError(t, err)
	for _, g := range grants {
		l.Release(g)
	}
	assert.Equal(t, len(fill(l)), len(grants))
}

// Guards against a request that waits for room though none of the instances
// that it needs exist.
func TestMissingLayersAreNoRoomProblem(t *testing.T) {
	_, err := NewLedger().Choose(view(twoChains[:3]...), service(), Demand{Tokens: 1, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrNoInstance)
}

// Guards against a detour that changes parts which work, or that is charged
// twice.
func TestDetourReplacesOnePart(t *testing.T) {
	v, l := view(twoChains[:6]...), NewLedger()
	g, err := l.Choose(v, service(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	g, ok := l.Detour(v, service(), g, "a3", start)
	assert.Assert(t, ok)
	want := Path{
		{"a1", "a1:1", 0, 29}, {"a2", "a2:1", 29, 46}, {"a5", "a5:1", 46, 55}, {"a6", "a6:1", 55, 63},
		{"a4", "a4:1", 63, 80},
	}
	assert.DeepEqual(t, g.Path, want)
	_, ok = l.Detour(v, service(), g, "a1", start)
	assert.Assert(t, !ok, "the first part can't be replaced")
	l.Release(g)
	assert.Equal(t, len(l.LocalReport(start).Loads), 0)
}

// Guards against a slow instance that goes on to get requests, and against one
// that is never used again.
func TestSlowInstancesAreLeftOut(t *testing.T) {
	v, l := view(twoChains...), NewLedger()
	first := func(at time.Time) string {
		g, err := l.Choose(v, service(), Demand{Tokens: 900, Domain: "a"}, at)
		assert.NilError(t, err)
		l.Release(g)
		return g.Path.First().Instance
	}
	l.RecordSlowness("a2", 12, start)
	assert.Equal(t, first(start), "b1")
	assert.Equal(t, first(start.Add(2*slownessAge)), "a1")
}

// Guards against evidence of a loss that stays after an answer, or is taken
// from errors of a server that answers.
func TestLost(t *testing.T) {
	l := NewLedger()
	for range lostConnections + 1 {
		l.RecordFailure("a", start)
	}
	assert.Assert(t, !l.IsLost("a", start))
	for range lostConnections {
		l.RecordUnreachable("a", start)
	}
	assert.Assert(t, l.IsLost("a", start))
	l.RecordSuccess("a")
	assert.Assert(t, !l.IsLost("a", start))
	l.RecordFault("a", start)
	assert.Assert(t, l.IsLost("a", start))
	assert.Assert(t, !l.IsLost("a", start.Add(lostTime)))
}

// Guards against a lost instance that is used again before it answers, and
// against one that is asked without end.
func TestLostInstancesAreAskedAgain(t *testing.T) {
	l := NewLedger()
	l.RecordFault("a", start)
	assert.Equal(t, len(l.DueRechecks(start)), 0)
	at := start.Add(recheckPause)
	assert.DeepEqual(t, l.DueRechecks(at), []string{"a"})
	assert.Equal(t, len(l.DueRechecks(at)), 0)
	l.RecordRecheck("a", false, at)
	assert.Assert(t, l.IsLost("a", start.Add(lostTime)))
	l.RecordRecheck("a", true, at)
	assert.Assert(t, !l.IsLost("a", at))
}

// Guards against avoidance that empties a plain service.
func TestAvoidanceNeverEmptiesAService(t *testing.T) {
	v := &fleet.View{Instances: map[string]fleet.Instance{
		"p1": {ID: "p1", Service: "p", Domain: "a", Slots: 4}, "p2": {ID: "p2", Service: "p", Domain: "b", Slots: 4},
	}}
	l, s := NewLedger(), &routing.Service{Name: "p"}
	l.RecordFailure("p1", start)
	g, err := l.Choose(v, s, Demand{Domain: "a"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "p2")
	l.RecordFailure("p2", start)
	_, err = l.Choose(v, s, Demand{Domain: "a"}, start)
	assert.NilError(t, err)
}

// Guards against a model that is refused although its layers are held by
// instances that live: one of them refused a request for lack of memory.
func TestAvoidanceNeverEmptiesAModel(t *testing.T) {
	v, l := view(twoChains...), NewLedger()
	l.RecordFailure("a1", start)
	l.RecordFailure("b2", start)
	g, err := l.Choose(v, service(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	assert.NilError(t, covers(v, g.Path, 80))
	l.RecordFault("a1", start)
	l.RecordFault("b2", start)
	_, err = l.Choose(v, service(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrNoInstance)
}

// Guards against failures of later parts that add up over a day, until one
// refusal keeps an instance out for seconds.
func TestSuccessCountsForAllParts(t *testing.T) {
	v, l := view(twoChains...), NewLedger()
	g, err := l.Choose(v, service(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	at := start
	for range 5 {
		l.RecordFailure("a2", at)
		l.RecordPathSuccess(g.Path)
		at = at.Add(time.Minute)
	}
	l.RecordFailure("a2", at)
	assert.Assert(t, !l.avoided("a2", at.Add(avoidBase)))
}

// Guards against an instance that is short of memory and taken for a faulty
// one: it serves what it has, and has room again when some of that ends.
func TestRefusalCountsAsFull(t *testing.T) {
	v, l := view(twoChains[:4]...), NewLedger()
	demand := Demand{Tokens: 900, Domain: "a"}
	var grants []Grant
	for range 10 {
		g, err := l.Choose(v, service(), demand, start)
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	l.RecordRefusal("a2", start)
	_, err := l.Choose(v, service(), demand, start)
	assert.ErrorIs(t, err, ErrFull)
	for _, g := range grants[:4] {
		l.Release(g)
	}
	_, err = l.Choose(v, service(), demand, start)
	assert.NilError(t, err)
	for range 3 {
		g, err := l.Choose(v, service(), demand, start.Add(fullTime))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
}

// Guards against an instance that refuses everything and is asked again and
// again because it has no work.
func TestRefusalsInARowLastLonger(t *testing.T) {
	l := NewLedger()
	at := start
	for range 4 {
		l.RecordRefusal("a2", at)
		at = at.Add(fullTime)
	}
	assert.Assert(t, l.full("a2", at))
	l.RecordSuccess("a2")
	assert.Assert(t, !l.full("a2", at))
}
