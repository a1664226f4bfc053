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

func testService() *routing.Service {
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

func newView(holders ...holder) *fleet.View {
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

// checkCoverage returns an error unless a path runs each layer once and in order,
// each on an instance that holds the layer, and uses no instance twice.
func checkCoverage(v *fleet.View, p Path, layers int) error {
	at, seen := 0, map[string]bool{}
	for _, stage := range p {
		held := v.Instances[stage.Instance].Layers
		switch {
		case stage.From != at || stage.To <= stage.From:
			return fmt.Errorf("stage %v does not follow layer %d", stage, at)
		case stage.From < held.From || stage.To > held.To:
			return fmt.Errorf("stage %v is not within the held layers %v", stage, held)
		case seen[stage.Instance]:
			return fmt.Errorf("%s is used twice", stage.Instance)
		}
		at, seen[stage.Instance] = stage.To, true
	}
	if at != layers {
		return fmt.Errorf("the path ends at layer %d", at)
	}
	return nil
}

// Guards against paths and detours that omit, repeat or reorder layers, for
// arbitrary layer ranges of the instances.
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
		v, l := newView(holders...), NewInstanceTracker()
		g, err := l.Choose(v, testService(), Demand{Tokens: 500, Domain: "a"}, start)
		if err != nil {
			return
		}
		if err := checkCoverage(v, g.Path, 80); err != nil {
			rt.Fatal(err)
		}
		if lost := g.Path[len(g.Path)-1].Instance; len(g.Path) > 1 {
			if g, ok := l.Reroute(v, testService(), g, lost, start); ok {
				if err := checkCoverage(v, g.Path, 80); err != nil || g.Path.Uses(lost) {
					rt.Fatalf("detour %v: %v", g.Path, err)
				}
			}
		}
	})
}

// Guards against requests that leave their failure domain although it could serve
// them, and against requests that fail although another failure domain could
// serve them.
func TestChoosePrefersTheGivenFailureDomain(t *testing.T) {
	v, l := newView(twoChains...), NewInstanceTracker()
	g, err := l.Choose(v, testService(), Demand{Tokens: 900, Domain: "b"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "b1")
	l.RecordFault("b1", start)
	g, err = l.Choose(v, testService(), Demand{Tokens: 900, Domain: "b"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "a1")
}

// Guards against KV cache that is reserved twice, by this gateway or by its peers,
// and against KV cache that stays reserved after a release.
func TestCapacityIsSharedWithPeers(t *testing.T) {
	v, s := newView(twoChains[:4]...), testService()
	chooseUntilFull := func(l *InstanceTracker) (grants []Grant) {
		for {
			g, err := l.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start)
			if err != nil {
				assert.ErrorIs(t, err, ErrFull)
				return grants
			}
			grants = append(grants, g)
		}
	}
	l := NewInstanceTracker()
	grants := chooseUntilFull(l)
	room := KVCacheCapacity(s.Model, s.Model.Accelerators["medium"], 17) / 17
	assert.Equal(t, len(grants), int(memoryShare*min(room, KVCacheCapacity(s.Model, s.Model.Accelerators["large"], 29)/29)/5000))
	peer := NewInstanceTracker()
	peer.AddPeerReport("peer", 1, l.LocalReport(start), start)
	_, err := peer.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrFull)
	_, err = peer.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start.Add(2*peerReportMaxAge))
	assert.NilError(t, err)
	for _, g := range grants {
		l.Release(g)
	}
	assert.Equal(t, len(chooseUntilFull(l)), len(grants))
}

// Guards against a request that waits for room although no instance holds some of
// the layers: Choose must not return ErrFull then.
func TestChooseWithMissingLayersReturnsErrNoInstance(t *testing.T) {
	_, err := NewInstanceTracker().Choose(newView(twoChains[:3]...), testService(), Demand{Tokens: 1, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrNoInstance)
}

// Guards against a detour that changes stages other than the lost one, and
// against a detour whose reservation is counted twice.
func TestDetourReplacesOneStage(t *testing.T) {
	v, l := newView(twoChains[:6]...), NewInstanceTracker()
	g, err := l.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	g, ok := l.Reroute(v, testService(), g, "a3", start)
	assert.Assert(t, ok)
	want := Path{
		{"a1", "a1:1", 0, 29}, {"a2", "a2:1", 29, 46}, {"a5", "a5:1", 46, 55}, {"a6", "a6:1", 55, 63},
		{"a4", "a4:1", 63, 80},
	}
	assert.DeepEqual(t, g.Path, want)
	_, ok = l.Reroute(v, testService(), g, "a1", start)
	assert.Assert(t, !ok, "the first stage was replaced")
	l.Release(g)
	assert.Equal(t, len(l.LocalReport(start).Loads), 0)
}

// Guards against a slow instance that continues to get requests, and against one
// that gets no requests after its measured slowness has expired.
func TestChooseBypassesSlowInstances(t *testing.T) {
	v, l := newView(twoChains...), NewInstanceTracker()
	firstInstance := func(at time.Time) string {
		g, err := l.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, at)
		assert.NilError(t, err)
		l.Release(g)
		return g.Path.First().Instance
	}
	l.RecordSlowness("a2", 12, start)
	assert.Equal(t, firstInstance(start), "b1")
	assert.Equal(t, firstInstance(start.Add(2*slownessMaxAge)), "a1")
}

// Guards against an instance that still counts as lost after a successful
// response, and against one that counts as lost although it responds with
// errors.
func TestIsLost(t *testing.T) {
	l := NewInstanceTracker()
	for range maxConnectFailures + 1 {
		l.RecordFailure("a", start)
	}
	assert.Assert(t, !l.IsLost("a", start))
	for range maxConnectFailures {
		l.RecordUnreachable("a", start)
	}
	assert.Assert(t, l.IsLost("a", start))
	l.RecordSuccess("a")
	assert.Assert(t, !l.IsLost("a", start))
	l.RecordFault("a", start)
	assert.Assert(t, l.IsLost("a", start))
	assert.Assert(t, !l.IsLost("a", start.Add(lostDuration)))
}

// Guards against a lost instance that is used again before it answers a check,
// and against checks that are more frequent than recheckInterval.
func TestLostInstancesAreRechecked(t *testing.T) {
	l := NewInstanceTracker()
	l.RecordFault("a", start)
	assert.Equal(t, len(l.DueRechecks(start)), 0)
	at := start.Add(recheckInterval)
	assert.DeepEqual(t, l.DueRechecks(at), []string{"a"})
	assert.Equal(t, len(l.DueRechecks(at)), 0)
	l.RecordRecheck("a", false, at)
	assert.Assert(t, l.IsLost("a", start.Add(lostDuration)))
	l.RecordRecheck("a", true, at)
	assert.Assert(t, !l.IsLost("a", at))
}

// Guards against a plain service without usable instances because all of them are
// avoided.
func TestPlainServiceFallsBackToAvoidedInstances(t *testing.T) {
	v := &fleet.View{Instances: map[string]fleet.Instance{
		"p1": {ID: "p1", Service: "p", Domain: "a", Slots: 4}, "p2": {ID: "p2", Service: "p", Domain: "b", Slots: 4},
	}}
	l, s := NewInstanceTracker(), &routing.Service{Name: "p"}
	l.RecordFailure("p1", start)
	g, err := l.Choose(v, s, Demand{Domain: "a"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "p2")
	l.RecordFailure("p2", start)
	_, err = l.Choose(v, s, Demand{Domain: "a"}, start)
	assert.NilError(t, err)
}

// Guards against requests for a model that fail although running instances hold
// all its layers, because some of the instances are avoided after a request that
// they refused for lack of memory. Lost instances must not be used.
func TestModelFallsBackToAvoidedInstances(t *testing.T) {
	v, l := newView(twoChains...), NewInstanceTracker()
	l.RecordFailure("a1", start)
	l.RecordFailure("b2", start)
	g, err := l.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	assert.NilError(t, checkCoverage(v, g.Path, 80))
	l.RecordFault("a1", start)
	l.RecordFault("b2", start)
	_, err = l.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrNoInstance)
}

// Guards against failures of an instance in later stages that add up over a day,
// so that a single failure excludes the instance for seconds.
func TestPathSuccessResetsFailuresOfAllStages(t *testing.T) {
	v, l := newView(twoChains...), NewInstanceTracker()
	g, err := l.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	at := start
	for range 5 {
		l.RecordFailure("a2", at)
		l.RecordPathSuccess(g.Path)
		at = at.Add(time.Minute)
	}
	l.RecordFailure("a2", at)
	assert.Assert(t, !l.isAvoided("a2", at.Add(avoidBase)))
}

// Guards against an instance that is short of memory and is treated as faulty. It
// continues its current requests and has room again when some of them end.
func TestRefusalMarksTheInstanceAsFull(t *testing.T) {
	v, l := newView(twoChains[:4]...), NewInstanceTracker()
	demand := Demand{Tokens: 900, Domain: "a"}
	var grants []Grant
	for range 10 {
		g, err := l.Choose(v, testService(), demand, start)
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	l.RecordRefusal("a2", start)
	_, err := l.Choose(v, testService(), demand, start)
	assert.ErrorIs(t, err, ErrFull)
	for _, g := range grants[:4] {
		l.Release(g)
	}
	_, err = l.Choose(v, testService(), demand, start)
	assert.NilError(t, err)
	for range 3 {
		g, err := l.Choose(v, testService(), demand, start.Add(fullDuration))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
}

// Guards against an instance that refuses every request and, because it has no
// load, is chosen again and again.
func TestConsecutiveRefusalsExtendTheFullPeriod(t *testing.T) {
	l := NewInstanceTracker()
	at := start
	for range 4 {
		l.RecordRefusal("a2", at)
		at = at.Add(fullDuration)
	}
	assert.Assert(t, l.isFull("a2", at))
	l.RecordSuccess("a2")
	assert.Assert(t, !l.isFull("a2", at))
}
