package upstream

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
)

var epoch = time.Unix(1_700_000_000, 0)

// expectedInstance is the expected status of one instance.
type expectedInstance struct {
	registration  Registration
	state         State
	markedLeaving bool
	ejected       bool
	lastHeartbeat time.Time
	load          Load
}

// Guards against indexes and sums that differ from a scan of all instances, a
// leaving upstream that becomes usable again, and upstreams that don't become
// suspect after missed heartbeats.
func TestDirectoryMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory(DirectoryConfig{})
		expected := map[InstanceID]*expectedInstance{}
		now := epoch
		for range rapid.IntRange(1, 80).Draw(t, "operations") {
			id := InstanceID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
			want, exists := expected[id]
			switch rapid.SampledFrom([]string{"register", "heartbeat", "heartbeat", "heartbeat", "lose connection", "leave", "eject", "sweep"}).Draw(t, "operation") {
			case "register":
				r := Registration{ID: id, Process: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "process"), Domain: "d",
					Descriptor: Descriptor{Kind: KindEngine, Model: "m", ModelLayers: 2,
						Layers: pipeline.LayerRange{From: 0, To: rapid.IntRange(1, 2).Draw(t, "to")}}}
				_, changes := d.Register(now, r)
				if exists && want.registration == r {
					break
				}
				assert.Equal(t, len(changes) == 1, exists)
				expected[id] = &expectedInstance{registration: r, state: StateJoining, lastHeartbeat: now,
					markedLeaving: exists && want.markedLeaving && want.registration.Process == r.Process}
			case "heartbeat":
				hb := Heartbeat{State: rapid.SampledFrom([]State{StateJoining, StateReady, StateReady, StateLeaving}).Draw(t, "state"),
					Load: Load{Queued: rapid.IntRange(0, 9).Draw(t, "queued"), StepMicros: int64(rapid.IntRange(0, 3).Draw(t, "step"))}}
				_, err := d.Heartbeat(now, id, "p", hb)
				if !exists || want.registration.Process != "p" {
					assert.ErrorIs(t, err, ErrUnknownUpstream)
					break
				}
				want.markedLeaving = want.markedLeaving || hb.State == StateLeaving
				want.state, want.lastHeartbeat, want.load = hb.State, now, hb.Load
				if want.markedLeaving {
					want.state = StateLeaving
				}
			case "lose connection":
				if _, err := d.MarkSuspect(id, "p"); err == nil {
					want.state = StateSuspect
				}
			case "leave":
				if _, err := d.MarkLeaving(id); err == nil {
					want.markedLeaving = true
					if want.state != StateSuspect {
						want.state = StateLeaving
					}
				}
			case "eject":
				if d.SetEjected(id, !exists || !want.ejected) == nil {
					want.ejected = !want.ejected
				}
			case "sweep":
				now = now.Add(time.Duration(rapid.SampledFrom([]int{100, 400, 30000}).Draw(t, "ms")) * time.Millisecond)
				d.Sweep(now)
				for id, want := range expected {
					if now.Sub(want.lastHeartbeat) >= DefaultRemoveAfter {
						delete(expected, id)
					} else if now.Sub(want.lastHeartbeat) >= DefaultSuspectAfter {
						want.state = StateSuspect
					}
				}
			}
			checkDirectory(t, d, expected)
		}
	})
}

func checkDirectory(t *rapid.T, d *Directory, expected map[InstanceID]*expectedInstance) {
	assert.Equal(t, len(d.All()), len(expected))
	usable, load, ready := map[int]int{}, map[int]int{}, map[int]int{}
	groups := map[int]bool{}
	for id, want := range expected {
		u, ok := d.Get(id)
		assert.Assert(t, ok)
		assert.Equal(t, u.Status().State, want.state)
		to := want.registration.Descriptor.Layers.To
		groups[to] = true
		if want.state == StateReady {
			ready[to]++
		}
		if want.state == StateReady && !want.ejected {
			usable[to]++
			load[to] += want.load.Queued
		}
	}
	var indexed []*Group
	if m := d.Model("m"); m != nil {
		indexed = m.Groups
	}
	assert.Equal(t, len(indexed), len(groups))
	for _, g := range indexed {
		to := g.Key.Layers.To
		assert.Equal(t, g.UsableCount(), usable[to])
		assert.Equal(t, len(d.Pools()[g.Name]), ready[to])
		assert.Equal(t, g.MeanOtherLoad(), float64(load[to])/float64(max(usable[to], 1)))
	}
}

func addEngines(d *Directory, n int) []*Upstream {
	var all []*Upstream
	for i := range n {
		id := InstanceID(fmt.Sprint("e", i))
		u, _ := d.Register(epoch, Registration{ID: id, Process: "p", Domain: "d", Descriptor: Descriptor{Kind: KindEngine, Model: "m"}})
		_, _ = d.Heartbeat(epoch, id, "p", Heartbeat{State: StateReady})
		all = append(all, u)
	}
	return all
}

// Guards against keys that move to another member when an unrelated member is
// removed, and against an uneven distribution of keys, in groups above and below
// leafSize.
func TestPreferredIsStableAndEven(t *testing.T) {
	const keys = 20000
	for _, n := range []int{3, 30, 500} {
		d := NewDirectory(DirectoryConfig{})
		g := addEngines(d, n)[0].Group()
		all := func(*Upstream) bool { return true }
		before := make([]*Upstream, keys)
		count := map[*Upstream]int{}
		for k := range before {
			before[k] = g.Members().Preferred(uint64(k), all)
			count[before[k]]++
		}
		assert.Equal(t, len(count), n)
		mean := float64(keys) / float64(n)
		for _, c := range count {
			assert.Assert(t, math.Abs(float64(c)-mean) < 6*math.Sqrt(mean), "%d keys, mean is %f", c, mean)
		}
		_, err := d.Remove("e1")
		assert.NilError(t, err)
		moved := 0
		for k, u := range before {
			if u.ID != "e1" && g.Members().Preferred(uint64(k), all) != u {
				moved++
			}
		}
		if n <= leafSize {
			assert.Equal(t, moved, 0)
		}
		assert.Assert(t, moved <= keys/10, "%d members: %d keys moved", n, moved)
	}
}

// Guards against data races and wrong counts under concurrent requests,
// heartbeats and changes of membership.
func TestDirectoryConcurrentUse(t *testing.T) {
	d := NewDirectory(DirectoryConfig{})
	all := addEngines(d, 8)
	var wg sync.WaitGroup
	for _, u := range all {
		wg.Go(func() {
			for i := range 200 {
				u.Acquire()
				_ = u.Group().Cost() + u.Group().MemberCost(u, epoch)
				_, _ = d.Heartbeat(epoch, u.ID, "p", Heartbeat{State: StateReady, Load: Load{Queued: i}})
				_ = d.SetEjected(u.ID, i%2 == 0)
				u.Release()
			}
		})
	}
	wg.Wait()
	d.Sweep(epoch)
	assert.Equal(t, all[0].Group().UsableCount(), 8)
	// The last report of each upstream was 199 tokens, of which one was this
	// process's own work in flight.
	assert.Equal(t, all[0].Group().MeanLoad(), 198.0)
}

// Guards against ejecting more than a third of a pool, and against ejections
// that don't end.
func TestEjectorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEjector(EjectionConfig{})
		now := epoch
		var members []InstanceID
		for range rapid.IntRange(1, 200).Draw(t, "operations") {
			id := InstanceID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")))
			switch rapid.SampledFrom([]string{"pool", "fail", "fail", "fail", "slow", "fast", "tick"}).Draw(t, "operation") {
			case "pool":
				members = members[:0]
				for i := range rapid.IntRange(0, 10).Draw(t, "size") {
					members = append(members, InstanceID(fmt.Sprint(i)))
				}
				e.SetPool(now, "p", members)
			case "fail":
				for range DefaultConsecutiveFailures {
					e.Failure(now, "p", id)
				}
			case "slow", "fast":
				for range DefaultMinSamples {
					e.Success("p", id, time.Duration(rapid.SampledFrom([]int{1, 100}).Draw(t, "ms"))*time.Millisecond)
				}
			case "tick":
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				e.Tick(now)
			}
			assert.Assert(t, len(e.Ejected("p"))*3 <= len(members))
		}
		e.Tick(now.Add(DefaultMaxEjection))
		e.SetPool(now, "p", nil)
		assert.Equal(t, len(e.Ejected("p")), 0)
	})
}

// Guards against ejection times that don't double, and against slow members that
// are not ejected.
func TestEjectorDurationsAndSlowness(t *testing.T) {
	e := NewEjector(EjectionConfig{})
	now := epoch
	e.SetPool(now, "p", []InstanceID{"a", "b", "c"})
	for _, want := range []time.Duration{1, 2, 4, 8} {
		for range DefaultMinSamples {
			e.Success("p", "a", time.Millisecond)
			e.Success("p", "b", time.Millisecond)
			e.Success("p", "c", 4*time.Millisecond)
		}
		ejected, _ := e.Tick(now)
		assert.DeepEqual(t, ejected, []InstanceID{"c"})
		_, readmitted := e.Tick(now.Add(want*time.Second - 1))
		assert.Equal(t, len(readmitted), 0)
		now = now.Add(want * time.Second)
		_, readmitted = e.Tick(now)
		assert.Assert(t, slices.Equal(readmitted, []InstanceID{"c"}))
	}
}

// BenchmarkDirectory measures one heartbeat and one sweep.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range []int{30, 12000} {
		d := NewDirectory(DirectoryConfig{})
		all := addEngines(d, n)
		b.Run(fmt.Sprintf("heartbeat/upstreams=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				_, _ = d.Heartbeat(epoch, all[i%n].ID, "p", Heartbeat{State: StateReady, Load: Load{Queued: i}})
			}
		})
		b.Run(fmt.Sprintf("sweep/upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				d.Sweep(epoch)
			}
		})
	}
}
