package team

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateQueue simulates one server that takes 1 ms per token for 60 s of
// virtual time, with Poisson arrivals of a large team and of a small team with a
// tenth of its load. It returns the sorted waiting times of the served items by
// team. If fair is false, all items are queued for one team, and are thus served
// in FIFO order.
func simulateQueue(t *testing.T, fair bool) map[string][]time.Duration {
	rng := rand.New(rand.NewPCG(1, 2))
	q := NewFairQueue[time.Duration](QueueLimits{})
	nextArrival := map[string]time.Duration{}
	meanInterval := map[string]float64{"large": 10, "small": 100} // mean interval in ms between prompts of 10 tokens
	waits := map[string][]time.Duration{}
	const end = time.Minute
	for clock := time.Duration(0); clock < end; {
		for _, team := range []string{"large", "small"} {
			for nextArrival[team] <= clock {
				it := Item[time.Duration]{Team: team, Cost: 10, Value: nextArrival[team]}
				if !fair {
					it.Team = "all"
				}
				_, err := q.Push(it)
				assert.NilError(t, err)
				nextArrival[team] += time.Duration(rng.ExpFloat64() * meanInterval[team] * float64(time.Millisecond))
			}
		}
		run, _ := q.Pop(epoch.Add(clock), 1)
		if len(run) == 0 {
			clock += time.Millisecond
			continue
		}
		waits[run[0].Team] = append(waits[run[0].Team], clock-run[0].Value)
		clock += time.Duration(run[0].Cost) * time.Millisecond
	}
	for _, w := range waits {
		slices.Sort(w)
	}
	return waits
}

func p95(sorted []time.Duration) time.Duration { return sorted[len(sorted)*95/100] }

// Guards against a small team that waits behind a team with ten times its load.
// In FIFO order, both teams wait equally long.
func TestSimulationFairQueueAgainstFIFO(t *testing.T) {
	fair, fifo := simulateQueue(t, true), simulateQueue(t, false)
	t.Logf("fair: small %d served, p95 wait %v; large %d served, p95 wait %v", len(fair["small"]), p95(fair["small"]),
		len(fair["large"]), p95(fair["large"]))
	t.Logf("FIFO: %d served, p95 wait %v", len(fifo["all"]), p95(fifo["all"]))
	assert.Assert(t, p95(fair["small"])*10 < p95(fifo["all"]))
	assert.Assert(t, len(fair["small"])+len(fair["large"]) >= len(fifo["all"])*99/100)
}

// BenchmarkFairQueue measures one push and one pop with 100 waiting items per
// team. The baseline is one FIFO queue per team, served round robin.
func BenchmarkFairQueue(b *testing.B) {
	for _, teams := range []int{10, 260} {
		names := make([]string, teams)
		q := NewFairQueue[int](QueueLimits{Items: 1 << 20, Cost: 1 << 30})
		fifos := make([][]int, teams)
		for i := range names {
			names[i] = fmt.Sprint("team", i)
			fifos[i] = make([]int, 100)
			for range 100 {
				_, _ = q.Push(Item[int]{Team: names[i], Cost: 1, Deadline: epoch.Add(time.Minute)})
			}
		}
		b.Run(fmt.Sprintf("fair/teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = q.Push(Item[int]{Team: names[i%teams], Cost: 1, Deadline: epoch.Add(time.Minute)})
				q.Pop(epoch, 1)
			}
		})
		b.Run(fmt.Sprintf("round-robin/teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				fifos[i%teams] = append(fifos[i%teams], i)
				fifos[i%teams] = fifos[i%teams][1:]
			}
		})
	}
}
