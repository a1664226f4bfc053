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

// testInstance describes an instance and the layer range that it holds.
type testInstance struct {
	id, accelerator, domain string
	from, to                int
}

func newView(list ...testInstance) *fleet.View {
	instances := make(map[string]fleet.Instance)
	for _, in := range list {
		instances[in.id] = fleet.Instance{
			ID: in.id, Service: "m", Address: in.id + ":1", Domain: in.domain, Accelerator: in.accelerator, Slots: 100,
			Layers: fleet.LayerRange{From: in.from, To: in.to},
		}
	}
	return &fleet.View{Instances: instances}
}

var twoChains = []testInstance{
	{"a1", "large", "a", 0, 29}, {"a2", "medium", "a", 29, 46}, {"a3", "medium", "a", 46, 63},
	{"a4", "medium", "a", 63, 80}, {"a5", "small", "a", 46, 55}, {"a6", "small", "a", 55, 63},
	{"b1", "large", "b", 0, 29}, {"b2", "medium", "b", 29, 46}, {"b3", "medium", "b", 46, 63},
	{"b4", "medium", "b", 63, 80},
}

// checkCoverage returns an error unless a path runs each layer once and in order,
// each on an instance that holds the layer, and uses no instance twice.
func checkCoverage(v *fleet.View, p Path, layers int) error {
	next, seen := 0, map[string]bool{}
	for _, stage := range p {
		held := v.Instances[stage.Instance].Layers
		switch {
		case stage.From != next || stage.To <= stage.From:
			return fmt.Errorf("stage %v does not start at layer %d", stage, next)
		case stage.From < held.From || stage.To > held.To:
			return fmt.Errorf("stage %v is not within the held layers %v", stage, held)
		case seen[stage.Instance]:
			return fmt.Errorf("%s is used twice", stage.Instance)
		}
		next, seen[stage.Instance] = stage.To, true
	}
	if next != layers {
		return fmt.Errorf("the path ends before layer %d", next)
	}
	return nil
}

// Guards against paths, also rerouted ones, that omit, repeat or reorder layers, for
// arbitrary layer ranges of the instances.
func TestPathsRunEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var instances []testInstance
		for i := range rapid.IntRange(0, 14).Draw(rt, "instances") {
			from := rapid.IntRange(0, 79).Draw(rt, "from")
			instances = append(instances, testInstance{
				id: fmt.Sprint(i), accelerator: rapid.SampledFrom([]string{"large", "medium", "small"}).Draw(rt, "accelerator"),
				domain: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"),
				from:   from, to: rapid.IntRange(from+1, 80).Draw(rt, "to"),
			})
		}
		v, tracker := newView(instances...), NewInstanceTracker()
		g, err := tracker.Choose(v, testService(), Demand{Tokens: 500, Domain: "a"}, start)
		if err != nil {
			return
		}
		if err := checkCoverage(v, g.Path, 80); err != nil {
			rt.Fatal(err)
		}
		if lost := g.Path[len(g.Path)-1].Instance; len(g.Path) > 1 {
			if g, ok := tracker.Reroute(v, testService(), g, lost, start); ok {
				if err := checkCoverage(v, g.Path, 80); err != nil || g.Path.Uses(lost) {
					rt.Fatalf("rerouted path %v: %v", g.Path, err)
				}
			}
		}
	})
}

// Guards against requests that leave their failure domain although it could serve
// them, and against requests that fail although another failure domain could
// serve them.
func TestChoosePrefersTheGivenFailureDomain(t *testing.T) {
	v, tracker := newView(twoChains...), NewInstanceTracker()
	g, err := tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "b"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "b1")
	tracker.RecordLost("b1", start)
	g, err = tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "b"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "a1")
}

// Guards against KV cache that is reserved twice, by this gateway or by its peers,
// and against KV cache that stays reserved after a release.
func TestCapacityIsSharedWithPeers(t *testing.T) {
	v, s := newView(twoChains[:4]...), testService()
	chooseUntilFull := func(tracker *InstanceTracker) (grants []Grant) {
		for {
			g, err := tracker.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start)
			if err != nil {
				assert.ErrorIs(t, err, ErrFull)
				return grants
			}
			grants = append(grants, g)
		}
	}
	tracker := NewInstanceTracker()
	grants := chooseUntilFull(tracker)
	capacityTokens := KVCacheCapacity(s.Model, s.Model.Accelerators["medium"], 17) / 17
	assert.Equal(t, len(grants), int(maxReservedShare*
		min(capacityTokens, KVCacheCapacity(s.Model, s.Model.Accelerators["large"], 29)/29)/5000))
	peer := NewInstanceTracker()
	peer.AddPeerReport("peer", 1, tracker.LocalReport(start), start)
	_, err := peer.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrFull)
	_, err = peer.Choose(v, s, Demand{Tokens: 5000, Domain: "a"}, start.Add(2*peerReportMaxAge))
	assert.NilError(t, err)
	for _, g := range grants {
		tracker.Release(g)
	}
	assert.Equal(t, len(chooseUntilFull(tracker)), len(grants))
}

// Guards against a request that waits for free capacity although no instance holds
// some of the layers: Choose must not return ErrFull then.
func TestChooseWithMissingLayersReturnsErrNoInstance(t *testing.T) {
	_, err := NewInstanceTracker().Choose(newView(twoChains[:3]...), testService(), Demand{Tokens: 1, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrNoInstance)
}

// Guards against a reroute that changes other stages than the one of the given
// instance, and against a reroute whose reservation is counted twice.
func TestRerouteReplacesOneStage(t *testing.T) {
	v, tracker := newView(twoChains[:6]...), NewInstanceTracker()
	g, err := tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	g, ok := tracker.Reroute(v, testService(), g, "a3", start)
	assert.Assert(t, ok)
	want := Path{
		{"a1", "a1:1", 0, 29}, {"a2", "a2:1", 29, 46}, {"a5", "a5:1", 46, 55}, {"a6", "a6:1", 55, 63},
		{"a4", "a4:1", 63, 80},
	}
	assert.DeepEqual(t, g.Path, want)
	_, ok = tracker.Reroute(v, testService(), g, "a1", start)
	assert.Assert(t, !ok, "the first stage was replaced")
	tracker.Release(g)
	assert.Equal(t, len(tracker.LocalReport(start).Loads), 0)
}

// Guards against a stream that waits for a lost stage although the instances of its other
// stages hold a part of the missing layers.
func TestReroutePlansTheRestOfThePath(t *testing.T) {
	v, tracker := newView([]testInstance{
		{"r1", "large", "r", 0, 30}, {"r2", "large", "r", 30, 55}, {"r3", "large", "r", 55, 80},
	}...), NewInstanceTracker()
	g, err := tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "r"}, start)
	assert.NilError(t, err)
	v = newView([]testInstance{
		{"r1", "large", "r", 0, 30}, {"r3", "large", "r", 50, 80}, {"r4", "large", "r", 25, 50},
		{"r5", "small", "r", 0, 9},
	}...)
	tracker.RecordLost("r2", start)
	g, ok := tracker.Reroute(v, testService(), g, "r2", start)
	assert.Assert(t, ok)
	want := Path{{"r1", "r1:1", 0, 30}, {"r4", "r4:1", 30, 50}, {"r3", "r3:1", 50, 80}}
	assert.DeepEqual(t, g.Path, want)
	tracker.Release(g)
	assert.Equal(t, len(tracker.LocalReport(start).Loads), 0)
}

// Guards against a slow instance that continues to get requests, and against one
// that gets no requests after its measured slowness has expired.
func TestChooseBypassesSlowInstances(t *testing.T) {
	v, tracker := newView(twoChains...), NewInstanceTracker()
	firstInstance := func(at time.Time) string {
		g, err := tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, at)
		assert.NilError(t, err)
		tracker.Release(g)
		return g.Path.First().Instance
	}
	tracker.RecordSlowness("a2", 12, start)
	assert.Equal(t, firstInstance(start), "b1")
	assert.Equal(t, firstInstance(start.Add(2*slownessMaxAge)), "a1")
}

// Guards against an instance that still counts as lost after a successful
// response, and against one that counts as lost although it responds with
// errors.
func TestIsLost(t *testing.T) {
	tracker := NewInstanceTracker()
	for range maxConnectFailures + 1 {
		tracker.RecordFailure("a", start)
	}
	assert.Assert(t, !tracker.IsLost("a", start))
	for range maxConnectFailures {
		tracker.RecordUnreachable("a", start)
	}
	assert.Assert(t, tracker.IsLost("a", start))
	tracker.RecordSuccess("a")
	assert.Assert(t, !tracker.IsLost("a", start))
	tracker.RecordLost("a", start)
	assert.Assert(t, tracker.IsLost("a", start))
	assert.Assert(t, !tracker.IsLost("a", start.Add(lostDuration)))
}

// Guards against a lost instance that is used again before it answers a check,
// and against checks that are more frequent than recheckInterval.
func TestLostInstancesAreRechecked(t *testing.T) {
	tracker := NewInstanceTracker()
	tracker.RecordLost("a", start)
	assert.Equal(t, len(tracker.DueRechecks(start)), 0)
	at := start.Add(recheckInterval)
	assert.DeepEqual(t, tracker.DueRechecks(at), []string{"a"})
	assert.Equal(t, len(tracker.DueRechecks(at)), 0)
	tracker.RecordRecheck("a", false, at)
	assert.Assert(t, tracker.IsLost("a", start.Add(lostDuration)))
	tracker.RecordRecheck("a", true, at)
	assert.Assert(t, !tracker.IsLost("a", at))
}

// Guards against a plain service without usable instances because all of them are
// avoided.
func TestPlainServiceFallsBackToAvoidedInstances(t *testing.T) {
	v := &fleet.View{Instances: map[string]fleet.Instance{
		"p1": {ID: "p1", Service: "p", Domain: "a", Slots: 4}, "p2": {ID: "p2", Service: "p", Domain: "b", Slots: 4},
	}}
	tracker, s := NewInstanceTracker(), &routing.Service{Name: "p"}
	tracker.RecordFailure("p1", start)
	g, err := tracker.Choose(v, s, Demand{Domain: "a"}, start)
	assert.NilError(t, err)
	assert.Equal(t, g.Path.First().Instance, "p2")
	tracker.RecordFailure("p2", start)
	_, err = tracker.Choose(v, s, Demand{Domain: "a"}, start)
	assert.NilError(t, err)
}

// Guards against requests for a model that fail although running instances hold
// all its layers, because some of the instances are avoided after a request that
// they refused for lack of memory. Lost instances must not be used.
func TestModelFallsBackToAvoidedInstances(t *testing.T) {
	v, tracker := newView(twoChains...), NewInstanceTracker()
	tracker.RecordFailure("a1", start)
	tracker.RecordFailure("b2", start)
	g, err := tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	assert.NilError(t, checkCoverage(v, g.Path, 80))
	tracker.RecordLost("a1", start)
	tracker.RecordLost("b2", start)
	_, err = tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.ErrorIs(t, err, ErrNoInstance)
}

// Guards against failures of an instance in later stages that add up over a day,
// so that a single failure excludes the instance for seconds.
func TestPathSuccessResetsFailuresOfAllStages(t *testing.T) {
	v, tracker := newView(twoChains...), NewInstanceTracker()
	g, err := tracker.Choose(v, testService(), Demand{Tokens: 900, Domain: "a"}, start)
	assert.NilError(t, err)
	at := start
	for range 5 {
		tracker.RecordFailure("a2", at)
		tracker.RecordPathSuccess(g.Path)
		at = at.Add(time.Minute)
	}
	tracker.RecordFailure("a2", at)
	assert.Assert(t, !tracker.isAvoided("a2", at.Add(avoidBase)))
}

// Guards against an instance that is short of memory and is treated as faulty. It
// continues its current requests and accepts new ones when some of them end.
func TestRefusalMarksTheInstanceAsFull(t *testing.T) {
	v, tracker := newView(twoChains[:4]...), NewInstanceTracker()
	demand := Demand{Tokens: 900, Domain: "a"}
	var grants []Grant
	for range 10 {
		g, err := tracker.Choose(v, testService(), demand, start)
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	tracker.RecordRefusal("a2", start)
	_, err := tracker.Choose(v, testService(), demand, start)
	assert.ErrorIs(t, err, ErrFull)
	for _, g := range grants[:4] {
		tracker.Release(g)
	}
	_, err = tracker.Choose(v, testService(), demand, start)
	assert.NilError(t, err)
	for range 3 {
		g, err := tracker.Choose(v, testService(), demand, start.Add(fullDuration))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
}

// Guards against an instance that refuses every request and, because it has no
// load, is chosen again and again.
func TestConsecutiveRefusalsExtendTheFullPeriod(t *testing.T) {
	tracker := NewInstanceTracker()
	at := start
	for range 4 {
		tracker.RecordRefusal("a2", at)
		at = at.Add(fullDuration)
	}
	assert.Assert(t, tracker.isFull("a2", at))
	tracker.RecordSuccess("a2")
	assert.Assert(t, !tracker.isFull("a2", at))
}
