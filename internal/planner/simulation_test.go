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

// activeRequest is a request that runs on a replica.
type activeRequest struct {
	until time.Duration
	u     *upstream.Upstream
}

// simulateChoice sends 20,000 Poisson arrivals from 3 entries to 10 replicas
// that each serve one request at a time in 20 ms, one of them slower by a factor.
// Each entry knows its own requests in flight and gets load reports every 250 ms.
// It returns the sorted latencies and the number of requests to the slow replica.
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
	var freeAt [replicas]time.Duration
	var running [replicas][]activeRequest
	var nextReport time.Duration
	clock := time.Duration(0)
	var nextReplica [entries]int
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
						State: upstream.StateReady, Load: upstream.Load{Queued: len(running[i]), StepMicros: serviceTime(i, factor).Microseconds()}})
					assert.NilError(t, err)
				}
			}
		}
		entry := rng.IntN(entries)
		u, ok := directories[entry].Get(upstream.InstanceID(fmt.Sprint(nextReplica[entry] % replicas)))
		nextReplica[entry]++
		assert.Assert(t, ok)
		if !roundRobin {
			d, err := planners[entry].Choose(epoch.Add(clock), rng, Request{Model: "m"})
			assert.NilError(t, err)
			u = d.Chain.Stages[0].Upstream
		}
		i := int(u.ID[0] - '0')
		u.Acquire()
		freeAt[i] = max(freeAt[i], clock) + serviceTime(i, factor)
		running[i] = append(running[i], activeRequest{freeAt[i], u})
		latencies = append(latencies, freeAt[i]-clock)
		if i == 0 {
			slow++
		}
	}
	slices.Sort(latencies)
	return latencies, slow
}

// serviceTime returns how long a replica takes for a request. Replica 0 is the slow
// one.
func serviceTime(replica, factor int) time.Duration {
	if replica == 0 {
		return time.Duration(factor) * 20 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// Guards against a choice that overloads a slow replica or that sends all requests
// between two load reports to the same replica.
func TestSimulationTwoChoicesAgainstRoundRobin(t *testing.T) {
	percentile := func(l []time.Duration, percent int) time.Duration {
		return l[len(l)*percent/100].Round(time.Millisecond)
	}
	for _, factor := range []int{2, 5} {
		twoChoices, twoChoicesSlow := simulateChoice(t, factor, false)
		roundRobin, roundRobinSlow := simulateChoice(t, factor, true)
		t.Logf("factor %d, two choices: p50 %v, p95 %v, p99 %v, %d to the slow replica", factor, percentile(twoChoices, 50), percentile(twoChoices, 95), percentile(twoChoices, 99), twoChoicesSlow)
		t.Logf("factor %d, round robin: p50 %v, p95 %v, p99 %v, %d to the slow replica", factor, percentile(roundRobin, 50), percentile(roundRobin, 95), percentile(roundRobin, 99), roundRobinSlow)
		assert.Assert(t, twoChoicesSlow < roundRobinSlow)
		assert.Assert(t, percentile(twoChoices, 95) < percentile(roundRobin, 95) && percentile(twoChoices, 99) < percentile(roundRobin, 99))
	}
}

// BenchmarkChoose measures one decision for a chain of four stages if all upstreams
// hold the same model. It compares the planner with a scan of all upstreams for
// the cheapest member of each stage and with round robin.
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
		run("naive-scan", func(int) { scanForCheapest(all, stages, layers) })
		run("round-robin", func(i int) { _ = all[i%n].InFlight() })
		run("rebuild", func(int) { p.Rebuild(epoch) })
	}
}

// scanForCheapest returns the cheapest upstream of each stage.
func scanForCheapest(all []*upstream.Upstream, stages, layers int) [4]*upstream.Upstream {
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
