package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// served is a request on a replica, until it completes.
type served struct {
	until time.Duration
	u     *upstream.Upstream
}

// simulateChoice sends 20,000 Poisson arrivals from 3 entries to 10 replicas
// that serve one request at a time in 20 ms, one of them slower by a factor. Each entry
// sees its own work and load reports every 250 ms. It returns the sorted
// latencies and the number of requests to the slow replica.
func simulateChoice(t *testing.T, factor int, roundRobin bool) (latencies []time.Duration, slow int) {
	const replicas, entries, interval = 10, 3, 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(3, 4))
	var directories [entries]*upstream.Directory
	var planners [entries]*Planner
	for e := range entries {
		directories[e] = upstream.NewDirectory(upstream.DirectoryConfig{})
		for i := range replicas {
			directories[e].Register(epoch, upstream.Registration{ID: upstream.InstanceID(fmt.Sprint(i)), Process: "p",
				Descriptor: upstream.Descriptor{Model: "m", ModelLayers: 1, Layers: pipeline.LayerRange{To: 1}, MaxBatch: 1}})
		}
		planners[e] = New(Config{}, directories[e])
	}
	var free [replicas]time.Duration
	var running [replicas][]served
	var nextReport time.Duration
	clock := time.Duration(0)
	var turn [entries]int
	for range 20000 {
		clock += time.Duration(rng.ExpFloat64() / 200 * float64(time.Second))
		for i := range running {
			for ; len(running[i]) > 0 && running[i][0].until <= clock; running[i] = running[i][1:] {
				running[i][0].u.Release()
			}
		}
		for ; nextReport <= clock; nextReport += interval {
			for _, d := range directories {
				for i := range replicas {
					_, err := d.Heartbeat(epoch.Add(nextReport), upstream.InstanceID(fmt.Sprint(i)), "p", upstream.Heartbeat{
						State: upstream.StateReady, Load: upstream.Load{Queued: len(running[i]), StepMicros: service(i, factor).Microseconds()}})
					assert.NilError(t, err)
				}
			}
		}
		entry := rng.IntN(entries)
		u, ok := directories[entry].Get(upstream.InstanceID(fmt.Sprint(turn[entry] % replicas)))
		turn[entry]++
		assert.Assert(t, ok)
		if !roundRobin {
			d, err := planners[entry].Choose(epoch.Add(clock), rng, Request{Model: "m"})
			assert.NilError(t, err)
			u = d.Chain.Stages[0].Upstream
		}
		i := int(u.ID[0] - '0')
		u.Acquire()
		free[i] = max(free[i], clock) + service(i, factor)
		running[i] = append(running[i], served{free[i], u})
		latencies = append(latencies, free[i]-clock)
		if i == 0 {
			slow++
		}
	}
	slices.Sort(latencies)
	return latencies, slow
}

func service(replica, factor int) time.Duration {
	if replica == 0 {
		return time.Duration(factor) * 20 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// Guards against a choice that overloads a slow replica or herds to one
// replica between two load reports.
func TestSimulationTwoChoicesAgainstRoundRobin(t *testing.T) {
	at := func(l []time.Duration, percent int) time.Duration {
		return l[len(l)*percent/100].Round(time.Millisecond)
	}
	for _, factor := range []int{2, 5} {
		two, twoSlow := simulateChoice(t, factor, false)
		robin, robinSlow := simulateChoice(t, factor, true)
		t.Logf("factor %d, two choices: p50 %v, p95 %v, p99 %v, %d to the slow replica", factor, at(two, 50), at(two, 95), at(two, 99), twoSlow)
		t.Logf("factor %d, round robin: p50 %v, p95 %v, p99 %v, %d to the slow replica", factor, at(robin, 50), at(robin, 95), at(robin, 99), robinSlow)
		assert.Assert(t, twoSlow < robinSlow)
		assert.Assert(t, at(two, 95) < at(robin, 95) && at(two, 99) < at(robin, 99))
	}
}

// BenchmarkChoose measures one decision for a chain of four stages with all
// upstreams holding one model, against a scan of all upstreams for the
// cheapest member of each stage and against round robin.
func BenchmarkChoose(b *testing.B) {
	const stages, layers = 4, 32
	for _, n := range []int{30, 300, 3000, 12000} {
		d := upstream.NewDirectory(upstream.DirectoryConfig{})
		rng := rand.New(rand.NewPCG(5, 6))
		domains := 3
		if n > 300 {
			domains = 22
		}
		for i := range n {
			from := i % stages * (layers / stages)
			addEngine(d, i, fmt.Sprint("domain", i/stages%domains), "", layers, pipeline.LayerRange{From: from, To: from + layers/stages},
				upstream.Load{Queued: rng.IntN(100), StepMicros: 5000})
		}
		p := New(Config{Domain: "domain0"}, d)
		p.Rebuild(epoch)
		all := d.All()
		run := func(name string, decide func(i int)) {
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					decide(i)
				}
			})
		}
		run("two-choices", func(int) { _, _ = p.Choose(epoch, rng, Request{Model: "m"}) })
		run("affinity", func(i int) { _, _ = p.Choose(epoch, rng, Request{Model: "m", Prefix: uint64(i + 1)}) })
		run("naive-scan", func(int) { scan(all, stages, layers) })
		run("round-robin", func(i int) { _ = all[i%n].InFlight() })
		run("rebuild", func(int) { p.Rebuild(epoch) })
	}
}

func scan(all []*upstream.Upstream, stages, layers int) [4]*upstream.Upstream {
	var best [4]*upstream.Upstream
	var costs [4]time.Duration
	for _, u := range all {
		s := u.Descriptor.Layers.From * stages / layers
		if cost := u.Group().MemberCost(u, epoch); best[s] == nil || cost < costs[s] {
			best[s], costs[s] = u, cost
		}
	}
	return best
}
