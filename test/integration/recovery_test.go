package integration

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// frozenEntryStallTimeout is how long the client of the benchmark waits for the next
// token of a frozen entry before it repeats the request at the other entry. A frozen
// entry keeps its connections open, so the client can't detect the fault otherwise.
const frozenEntryStallTimeout = time.Second

// recoveryMeasurement measures the interruption of one answer.
type recoveryMeasurement struct {
	c      *cluster
	ctx    context.Context
	prompt string
	// fault injects the fault when the caller has received position tokens.
	position int
	fault    func(a *answer)
	// stallTimeout is the time without a token after which the client cancels the
	// request and repeats it.
	stallTimeout time.Duration

	faultTime time.Time
	// arrivals holds the time at which each token arrived for the first time. Tokens
	// that a repeated request delivers again are not counted.
	arrivals []time.Time
}

// measure sends the request and repeats it from the start at the other entry until
// the answer is complete. It returns the time from the fault to the first token
// after the interruption. The interruption is the longest gap after the fault,
// because tokens that left the failed process before the fault can still arrive.
func (r *recoveryMeasurement) measure(b *testing.B, profile string) time.Duration {
	for i := 0; ; i++ {
		ctx, cancel := context.WithCancel(r.ctx)
		stallTimer := time.AfterFunc(r.stallTimeout, cancel)
		a := r.c.chat(ctx, r.c.entries[i%2], profile, r.prompt, func(a *answer, n int) {
			if n > len(r.arrivals) {
				r.arrivals = append(r.arrivals, time.Now())
			}
			if r.faultTime.IsZero() && n == r.position {
				r.fault(a)
				r.faultTime = time.Now()
			}
			stallTimer.Reset(r.stallTimeout)
		})
		stallTimer.Stop()
		cancel()
		if a.done {
			if err := a.checkComplete(); err != nil {
				b.Fatal(err)
			}
			break
		}
	}
	longest, recoveryTime := time.Duration(0), time.Duration(0)
	for i := r.position; i < len(r.arrivals); i++ {
		if gap := r.arrivals[i].Sub(r.arrivals[i-1]); gap > longest {
			longest, recoveryTime = gap, r.arrivals[i].Sub(r.faultTime)
		}
	}
	return recoveryTime
}

// BenchmarkRecovery measures the time from a fault to the next correct token at the
// caller, as median, 95th percentile and maximum, and compares resuming the answer
// with restarting the whole request. Each iteration is one fault in a 30-token
// answer.
func BenchmarkRecovery(b *testing.B) {
	for _, m := range []struct {
		name, profile string
		entry, freeze bool
	}{
		{"stage killed/resume", "speech", false, false},
		{"stage killed/restart", "restart", false, false},
		{"stage frozen/resume", "speech", false, true},
		{"stage frozen/restart", "restart", false, true},
		{"entry killed/restart", "speech", true, false},
		{"entry frozen/restart", "speech", true, true},
	} {
		b.Run(m.name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(4, 0))
			c := startCluster(b, clusterOptions{entries: 2, replicas: 2, stepCost: 5 * time.Millisecond})
			var samples []time.Duration
			for i := range b.N {
				var target *process
				stage := random.IntN(stages)
				stallTimeout := waitTimeout
				if m.entry && m.freeze {
					stallTimeout = frozenEntryStallTimeout
				}
				r := recoveryMeasurement{c: c, ctx: b.Context(), prompt: uniquePrompt(i, 30), stallTimeout: stallTimeout, position: 5 + random.IntN(20), fault: func(a *answer) {
					target = c.entries[0]
					if !m.entry {
						target = c.engineThatRan(a.id, stage, nil).process
					}
					if m.freeze {
						target.freeze()
					} else {
						target.kill()
					}
				}}
				samples = append(samples, r.measure(b, m.profile))
				if m.freeze {
					target.unfreeze()
				} else {
					target.start()
				}
				c.waitReady()
			}
			slices.Sort(samples)
			report := func(unit string, d time.Duration) { b.ReportMetric(float64(d.Microseconds())/1000, unit) }
			report("median-ms", samples[len(samples)/2])
			report("p95-ms", samples[(len(samples)*95+99)/100-1])
			report("worst-ms", samples[len(samples)-1])
			b.ReportMetric(0, "ns/op")
		})
	}
}
